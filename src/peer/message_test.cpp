#include "peer/message.h"

#include "base/error.h"

#include <doctest/doctest.h>

using namespace tamarackweir;

namespace {

peer::message MakeMessage()
{
  const capacity::credit_id credit{ instance_id("k-1"), start_epoch(7),
                                    capacity::credit_number(3) };
  membership::gossip_message gossip;
  gossip.mProbe = 9;
  gossip.mRumours.push_back(membership::ServerLeavingRumour(server_id("runner-1"), start_epoch(5)));
  quarantine::report report;
  report.mSequence = 4;
  report.mCrashes[{ account_id("depot"), "aa" }] = { { server_id("runner-2"), start_epoch(6) } };
  report.mQuarantined.insert({ account_id("depot"), "aa" });
  return { instance_id("k-1"),
           start_epoch(7),
           "127.0.0.1:7501",
           { gossip,
             settings::revision_gossip{ { instance_id("k-1"), start_epoch(7) },
                                        revision(3),
                                        5ms,
                                        {},
                                        true,
                                        settings::probe_id(2),
                                        false },
             capacity::credit_ask{ credit, server_id("runner-1"), 30s }, report,
             peer::revision_content{ revision(3), revision(2), "[]" } } };
}

} // namespace

// Guards against fields that get lost between instances.
TEST_CASE("a message is read as it was written")
{
  const peer::message read = peer::Open(peer::Seal(MakeMessage(), "secret"), "secret");
  REQUIRE(read.mParts.size() == 5);
  CHECK(read.mReplyTo == "127.0.0.1:7501");
  const auto& gossip = std::get<membership::gossip_message>(read.mParts[0]);
  CHECK(gossip.mSender == instance_id("k-1"));
  CHECK(gossip.mProbe == 9);
  REQUIRE(gossip.mRumours.size() == 1);
  CHECK(gossip.mRumours[0].mKey.mSubject == "runner-1");
  const auto& head = std::get<settings::revision_gossip>(read.mParts[1]);
  CHECK(head.mHeld == revision(3));
  CHECK(head.mConfirmationAge == duration(5ms));
  CHECK(!head.mReadAge);
  CHECK(std::get<capacity::credit_ask>(read.mParts[2]).mMaxRun == duration(30s));
  const auto& report = std::get<quarantine::report>(read.mParts[3]);
  CHECK(report.mCrashes.size() == 1);
  CHECK(report.mQuarantined.size() == 1);
  CHECK(std::get<peer::revision_content>(read.mParts[4]).mBase == revision(2));
}

// Guards against an outsider on the peer port who could send a halt or a leaving.
TEST_CASE("a message with another key, a changed byte or a cut is refused")
{
  const std::string bytes = peer::Seal(MakeMessage(), "secret");
  CHECK_THROWS_AS(peer::Open(bytes, "other"), error);
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    std::string changed = bytes;
    changed[at] = static_cast<char>(changed[at] ^ 1);
    CHECK_THROWS_AS(peer::Open(changed, "secret"), error);
    CHECK_THROWS_AS(peer::Open(bytes.substr(0, at), "secret"), error);
  }
}
