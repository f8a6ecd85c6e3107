#include "backends/fleet.h"

#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::backends;

namespace {

constexpr time_point kStart = time_point(100s);

announcement MakeServer(const char* aId, std::int64_t aBorn = 1)
{
  return { .mId = server_id(aId),
           .mService = service_id("llm"),
           .mAddress = { boost::asio::ip::make_address("127.0.0.1"), 80 },
           .mDataCentre = data_centre_id("a"),
           .mVersion = version_id("v1"),
           .mStartId = aBorn };
}

/// Total requests that all instances send to one cold server in `aSeconds`, each trying every 10
/// ms.
int SendToColdServer(const std::vector<std::string>& aInstances, double aRate, int aSeconds)
{
  int sent = 0;
  for (const std::string& self : aInstances) {
    backend_server server;
    server.mAnnounced = MakeServer("cold");
    const cold_share share{ .mSelf = self, .mInstances = aInstances, .mRate = aRate };
    for (time_point now = kStart; now < kStart + std::chrono::seconds(aSeconds); now += 10ms) {
      sent += AcquireColdSlot(server, share, now) ? 1 : 0;
    }
  }
  return sent;
}

std::vector<std::string> MakeInstances(int aCount)
{
  std::vector<std::string> instances;
  instances.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    instances.push_back("instance-" + std::to_string(i));
  }
  return instances;
}

} // namespace

TEST_CASE("a server that restarts under the same id starts with an empty health record")
{
  fleet fleet;
  Announce(fleet, MakeServer("s"), kStart);
  const server_pointer old = fleet.mServers.at(server_id("s"));
  RecordEnd(*old, attempt_end::Broken, 0s, kStart);
  Announce(fleet, MakeServer("s", 2), kStart + 1s);
  CHECK(old->mIsGone);
  CHECK(FailureShare(*fleet.mServers.at(server_id("s")), kStart + 1s) == 0);
  CHECK(ServersOf(fleet, service_id("llm")).size() == 1);
}

TEST_CASE("a repeated announcement keeps the health record")
{
  fleet fleet;
  Announce(fleet, MakeServer("s"), kStart);
  RecordEnd(*fleet.mServers.at(server_id("s")), attempt_end::Broken, 0s, kStart);
  Announce(fleet, MakeServer("s"), kStart + 1s);
  CHECK(FailureShare(*fleet.mServers.at(server_id("s")), kStart + 1s) > 0);
}

TEST_CASE(
  "a server that lapsed while the list was unavailable is kept, and dropped if it stays missing")
{
  fleet fleet;
  Announce(fleet, MakeServer("s"), kStart);
  Withdraw(fleet, server_id("s"), true, kStart);
  CHECK(ServersOf(fleet, service_id("llm")).size() == 1);
  CHECK(DropMissing(fleet, kStart).empty());
  CHECK(DropMissing(fleet, kStart + 1ms) == std::vector{ server_id("s") });
  CHECK(ServersOf(fleet, service_id("llm")).empty());
}

TEST_CASE("a missing server that is announced again is no longer missing")
{
  fleet fleet;
  Announce(fleet, MakeServer("s"), kStart);
  Withdraw(fleet, server_id("s"), true, kStart);
  Announce(fleet, MakeServer("s"), kStart + 1s);
  CHECK(DropMissing(fleet, kStart + 10s).empty());
}

// Guards against treating a server that announced that it is leaving as lapsed.
TEST_CASE("a leaving server is not kept")
{
  fleet fleet;
  announcement server = MakeServer("s");
  server.mIsLeaving = true;
  Announce(fleet, server, kStart);
  Withdraw(fleet, server_id("s"), true, kStart);
  CHECK(ServersOf(fleet, service_id("llm")).empty());
}

// Guards against overloading a cold server by many instances that each send it a small share.
TEST_CASE("the requests to a cold server stay within its rate with any number of instances")
{
  constexpr double kRate = 9;
  constexpr int kSeconds = 4;
  // A cold server can handle a burst of up to 1.5 times its rate plus five requests.
  for (const int count : { 1, 2, 9, 74, 300 }) {
    CAPTURE(count);
    const int sent = SendToColdServer(MakeInstances(count), kRate, kSeconds);
    CHECK(sent <= kSeconds * kRate * 1.5 + 5);
    CHECK(sent >= kSeconds * kRate * 0.4);
  }
}

TEST_CASE("a cold server is served when one of its senders is down")
{
  std::vector<std::string> instances = MakeInstances(9);
  backend_server server;
  server.mAnnounced = MakeServer("cold");
  std::vector<std::string> senders;
  for (const std::string& self : instances) {
    server.mColdRefilledAt = {};
    if (AcquireColdSlot(server, { .mSelf = self, .mInstances = instances, .mRate = 9 }, kStart)) {
      senders.push_back(self);
    }
  }
  CHECK(senders.size() == kColdSenders);
}

TEST_CASE("a service without a cold rate has no limit")
{
  backend_server server;
  server.mAnnounced = MakeServer("cold");
  for (int i = 0; i < 100; ++i) {
    CHECK(AcquireColdSlot(server, { .mSelf = "a", .mInstances = { "a", "b", "c" } }, kStart));
  }
}

TEST_CASE("an unreachable server is suspect for longer each time, until it answers")
{
  backend_server server;
  RecordEnd(server, attempt_end::Unreachable, 0s, kStart);
  const duration first = server.mSuspectUntil - kStart;
  RecordEnd(server, attempt_end::Unreachable, 0s, kStart);
  CHECK(server.mSuspectUntil - kStart > first);
  for (int i = 0; i < 10; ++i) {
    RecordEnd(server, attempt_end::Unreachable, 0s, kStart);
  }
  CHECK(server.mSuspectUntil - kStart <= 3s);
  RecordEnd(server, attempt_end::Succeeded, 0s, kStart);
  CHECK(server.mSuspectUntil < kStart);
}

TEST_CASE("the share of failures decays over time")
{
  backend_server server;
  for (int i = 0; i < 10; ++i) {
    RecordEnd(server, attempt_end::Failed, 0s, kStart);
  }
  const double fresh = FailureShare(server, kStart);
  CHECK(fresh > 0.8);
  CHECK(FailureShare(server, kStart + 30s) < 0.05);
}

// Guards against using a server again that leaves, because its entry lapsed and came back.
TEST_CASE("a server that told of its leaving is not used again until it has restarted")
{
  fleet fleet;
  announcement entry{ .mId = server_id("s"), .mService = service_id("llm"), .mStartId = 1 };
  Announce(fleet, entry, kStart);
  CHECK(RecordLeaving(fleet, *fleet.mServers.at(entry.mId), kStart));
  CHECK_FALSE(RecordLeaving(fleet, *fleet.mServers.at(entry.mId), kStart));
  Withdraw(fleet, entry.mId, false, kStart + 1s);
  Announce(fleet, entry, kStart + 2s);
  CHECK_FALSE(TakesRequests(*fleet.mServers.at(entry.mId), kStart + 2s));
  entry.mVersion = version_id("v2");
  Announce(fleet, entry, kStart + 2s);
  CHECK_FALSE(TakesRequests(*fleet.mServers.at(entry.mId), kStart + 2s));
  entry.mStartId = 2;
  Announce(fleet, entry, kStart + 3s);
  CHECK(TakesRequests(*fleet.mServers.at(entry.mId), kStart + 3s));
}

TEST_CASE("a server that asks to wait is closed for the longest time that it has asked for")
{
  backend_server server;
  RecordClosed(server, 3s, kStart);
  RecordClosed(server, 1s, kStart + 1s);
  CHECK_FALSE(TakesRequests(server, kStart + 2999ms));
  CHECK(TakesRequests(server, kStart + 3s));
}
