#include "capacity/capacity.h"

#include "platform/memory_table.h"
#include "scenario/scenario.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::capacity;
using nlohmann::json;

namespace {

const duration kOffset = 1h;
const server_id kServer("runner-1");

// One instance, and a table that answers immediately.
struct test_instance
{
  state mState = Start({}, instance_id("self"), start_epoch(7));
  platform::memory_table mTable;
  std::mt19937_64 mRandom{ 1 };
  std::vector<credit_id> mUsableCredits;
  std::size_t mAnnouncementCount = 0;
  bool mLastGranted = false;
  instance_id mLastHolder;
};

void Perform(test_instance& aInstance, const actions& aActions, time_point aNow)
{
  for (const lease_write& each : aActions.mWrites) {
    const auto result = Commit(aInstance.mTable, each.mTransaction);
    Perform(aInstance, OnLeaseWritten(aInstance.mState, each.mServer, result, aNow), aNow);
  }
  if (!aActions.mReadKeys.empty()) {
    const auto result = Read(aInstance.mTable, { aActions.mReadKeys, "" });
    Perform(aInstance, OnLeaseRowsRead(aInstance.mState, aActions.mReadKeys, result, aNow), aNow);
  }
  for (const auto& each : aActions.mAnswers) {
    aInstance.mLastGranted = each.mMessage.mGranted;
    aInstance.mLastHolder = each.mMessage.mHolder;
  }
  for (const auto& each : aActions.mUsableCredits) {
    aInstance.mUsableCredits.push_back(each.mId);
  }
  aInstance.mAnnouncementCount += aActions.mAnnouncements.size();
}

json View(const test_instance& aInstance, time_point aNow)
{
  const auto& server = aInstance.mState.mServers.at(kServer);
  return { { "cold", server.mCold },
           { "held", server.mHeldLease.has_value() },
           { "free", FreeCredits(aInstance.mState, kServer, aNow) },
           { "lease", server.mHeldLease ? server.mHeldLease->mFencingNumber.Value() : 0 },
           { "announced", aInstance.mAnnouncementCount },
           { "holder", server.mHolder.Value() } };
}

// Ticks every 100 ms from the previous step up to `aNow`.
void TickUntil(test_instance& aInstance, time_point& aTicked, time_point aNow)
{
  for (; aTicked < aNow; aTicked += 100ms) {
    Perform(aInstance, Tick(aInstance.mState, aTicked), aTicked);
  }
}

scenario::verb_table Verbs(test_instance& aInstance, time_point& aTicked)
{
  return {
    { "see",
      [&](const json&, time_point aNow) {
        TickUntil(aInstance, aTicked, aNow + kOffset);
        return View(aInstance, aNow + kOffset);
      } },
    { "pause",
      [&](const json&, time_point aNow) {
        aTicked = aNow + kOffset; // Skips the ticks since the last step.
        return View(aInstance, aNow + kOffset);
      } },
    { "report",
      [&](const json& aWith, time_point aNow) {
        const time_point now = aNow + kOffset;
        TickUntil(aInstance, aTicked, now);
        OnLoadReport(aInstance.mState,
                     { kServer, start_epoch(aWith.value("epoch", 1U)), aWith.at("sequence"),
                       aWith.value("running", 0), aWith.value("cold", false),
                       aWith.value("cold_limit", 0),
                       now - duration(1000 * aWith.value("age_ms", 0)) },
                     now);
        return View(aInstance, now);
      } },
    { "refusal",
      [&](const json&, time_point aNow) {
        OnServerRefusal(aInstance.mState, kServer, aNow + kOffset);
        return View(aInstance, aNow + kOffset);
      } },
    { "answers",
      [&](const json& aWith, time_point aNow) {
        for (const int ms : aWith.at("first_token_ms")) {
          OnFirstToken(aInstance.mState, kServer, duration(1000 * ms), aNow + kOffset);
        }
        return View(aInstance, aNow + kOffset);
      } },
    { "rumour",
      [&](const json& aWith, time_point aNow) {
        OnColdAnnouncement(aInstance.mState,
                           { kServer, start_epoch(aWith.value("epoch", 1U)),
                             instance_id(aWith.at("holder")), fencing_number(aWith.at("lease")) },
                           aNow + kOffset);
        return View(aInstance, aNow + kOffset);
      } },
    { "ask",
      [&](const json& aWith, time_point aNow) {
        const time_point now = aNow + kOffset;
        TickUntil(aInstance, aTicked, now);
        const credit_id id{ instance_id("peer"), start_epoch(9),
                            credit_number(aWith.at("number")) };
        Perform(aInstance,
                OnCreditAsk(aInstance.mState,
                            { id, kServer, duration(1000 * aWith.value("max_run_ms", 30000)) },
                            now),
                now);
        return json{ { "granted", aInstance.mLastGranted },
                     { "holder", aInstance.mLastHolder.Value() } };
      } },
    { "release",
      [&](const json& aWith, time_point aNow) {
        OnCreditRelease(
          aInstance.mState,
          { { instance_id("peer"), start_epoch(9), credit_number(aWith.at("number")) }, kServer },
          aNow + kOffset);
        return View(aInstance, aNow + kOffset);
      } },
    { "table",
      [&](const json& aWith, time_point aNow) {
        TickUntil(aInstance, aTicked, aNow + kOffset);
        const std::string fault = aWith.value("fault", "none");
        aInstance.mTable.mFault = fault == "down"   ? platform::memory_table::fault::Down
                                  : fault == "lose" ? platform::memory_table::fault::LoseAnswer
                                                    : platform::memory_table::fault::None;
        if (aWith.contains("row")) {
          Commit(aInstance.mTable, { {}, { { "cold/runner-1", aWith["row"] } }, {} });
        }
        return json::object();
      } },
  };
}

} // namespace

// Guards against wrong detection of cold servers and grants without a valid lease.
TEST_CASE("capacity scenarios produce the expected results")
{
  std::size_t count = 0;
  for (const auto& file :
       std::filesystem::directory_iterator(std::string(TAMARACKWEIR_SLICE_DIR) + "/scenarios")) {
    test_instance instance;
    time_point ticked{ kOffset };
    const auto script = scenario::Load(file.path());
    const std::string differences =
      scenario::Describe(scenario::Run(script, Verbs(instance, ticked)));
    CHECK_MESSAGE(differences.empty(), file.path().string(), "\n", differences);
    ++count;
  }
  CHECK(count == 4);
}

// Guards against use of an expired credit when the lease holder is paused for 30 s between its
// check and the send of the grant: the requester checks the lifetime on its own clock.
TEST_CASE("a grant that arrives 30 s late starts no request and is released")
{
  const time_point now{ kOffset };
  state self = Start({}, instance_id("self"), start_epoch(7));
  OnColdAnnouncement(self, { kServer, start_epoch(1), instance_id("peer"), fencing_number(3) },
                     now);
  std::mt19937_64 random(1);
  for (const duration delay : { duration(1s), duration(30s) }) {
    actions requested;
    std::optional<credit_id> id;
    time_point askedAt = now + 2 * delay;
    while (!id) {
      askedAt += 100ms;
      id = RequestCredit(self, kServer, 60s, requested, askedAt, random);
    }
    REQUIRE(requested.mAsks.size() == 1);
    CHECK(requested.mAsks[0].mTo.Value() == "peer");
    CHECK(requested.mAsks[0].mMessage.mMaxRun == duration(30s));
    const auto result =
      OnCreditAnswer(self, { *id, kServer, true, fencing_number(3), instance_id("peer"), 0s },
                     askedAt + delay, random);
    const bool usable = delay < 2s;
    CHECK(result.mUsableCredits.size() == (usable ? 1 : 0));
    CHECK(result.mReleases.size() == (usable ? 0 : 1));
    // The requester may also be paused after the answer.
    CHECK_FALSE(TryUseCredit(self, *id, askedAt + 30s));
    CHECK(TryUseCredit(self, *id, askedAt + delay) == usable);
    CHECK_FALSE(TryUseCredit(self, *id, askedAt + delay));
  }
}

// Guards against a lost release, which would block a credit until its deadline.
TEST_CASE("a release is resent until it is acknowledged")
{
  const time_point now{ kOffset };
  state self = Start({}, instance_id("self"), start_epoch(7));
  OnColdAnnouncement(self, { kServer, start_epoch(1), instance_id("peer"), fencing_number(3) },
                     now);
  std::mt19937_64 random(1);
  actions requested;
  const auto id = RequestCredit(self, kServer, 30s, requested, now + 10s, random);
  const auto later = id ? id : RequestCredit(self, kServer, 30s, requested, now + 20s, random);
  REQUIRE(later);
  const time_point askedAt = self.mOwnCredits.at(*later).mAskedAt;
  OnCreditAnswer(self, { *later, kServer, true, fencing_number(3), instance_id("peer"), 0s },
                 askedAt + 10ms, random);
  CHECK(TryUseCredit(self, *later, askedAt + 20ms));
  CHECK(FinishCredit(self, *later, askedAt + 1s).mReleases.size() == 1);
  CHECK(Tick(self, askedAt + 1100ms).mReleases.empty());
  CHECK(Tick(self, askedAt + 1600ms).mReleases.size() == 1);
  OnCreditReleaseAck(self, { *later, kServer });
  CHECK(Tick(self, askedAt + 3s).mReleases.empty());
  CHECK(self.mOwnCredits.empty());
}

// Guards against all instances contending for the same row.
TEST_CASE("all instances agree on the order of lease candidates, which differs between servers")
{
  std::vector<instance_id> live(20);
  for (std::size_t i = 0; i < live.size(); ++i) {
    live[i] = instance_id(std::to_string(i));
  }
  state first = Start({}, live[3], start_epoch(1));
  OnLiveInstances(first, live);
  std::reverse(live.begin(), live.end());
  state second = Start({}, live[3], start_epoch(2));
  OnLiveInstances(second, live);
  std::size_t same = 0;
  for (int i = 0; i < 20; ++i) {
    const server_id id(std::to_string(i));
    CHECK(LeaseCandidates(first, id) == LeaseCandidates(second, id));
    same += LeaseCandidates(first, id)[0] == LeaseCandidates(first, kServer)[0] ? 1 : 0;
  }
  CHECK(same < 10);
}
