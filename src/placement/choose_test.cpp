#include "placement/choose.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::placement;

namespace {

constexpr time_point kStart = time_point(100s);

backends::fleet MakeFleet(int aServers)
{
  backends::fleet fleet;
  for (int i = 0; i < aServers; ++i) {
    backends::Announce(fleet,
                       { .mId = server_id("s-" + std::to_string(i)),
                         .mService = service_id("llm"),
                         .mDataCentre = data_centre_id(i % 2 == 0 ? "a" : "b"),
                         .mVersion = version_id("v1") },
                       kStart);
  }
  return fleet;
}

demand MakeDemand(std::uint64_t aShared, std::uint64_t aOwn = 0)
{
  demand demand;
  demand.mService = service_id("llm");
  demand.mDataCentre = data_centre_id("a");
  demand.mIsAllowed = [](const auto&) { return true; };
  demand.mAcquireColdSlot = [](auto&) { return false; };
  if (aShared != 0) {
    demand.mParts = { { .mId = aShared, .mTokens = 6000 }, { .mId = aOwn, .mTokens = 3000 } };
  }
  return demand;
}

struct chooser
{
  std::mt19937_64 mRandom{ 7 };
  prefix_caches mCaches;
  choice_options mOptions;

  choice operator()(const backends::fleet& aFleet, const demand& aDemand, time_point aNow = kStart)
  {
    return Choose(aFleet, aDemand, mCaches, mOptions, mRandom, aNow);
  }
};

} // namespace

TEST_CASE("instances without common state send a shared prompt to the same server")
{
  const backends::fleet fleet = MakeFleet(9);
  for (std::uint64_t subject = 1; subject <= 50; ++subject) {
    chooser first;
    chooser second{ .mRandom = std::mt19937_64(99) };
    CHECK(first(fleet, MakeDemand(subject, 1000)).mServer->mAnnounced.mId ==
          second(fleet, MakeDemand(subject, 2000)).mServer->mAnnounced.mId);
  }
}

TEST_CASE("shared prompts are spread evenly over the servers")
{
  const backends::fleet fleet = MakeFleet(9);
  chooser choose;
  std::map<server_id, int> used;
  for (std::uint64_t subject = 1; subject <= 900; ++subject) {
    ++used[choose(fleet, MakeDemand(subject * 7919, 1)).mServer->mAnnounced.mId];
  }
  CHECK(used.size() == 9);
  for (const auto& [server, count] : used) {
    CHECK(count < 200);
  }
}

TEST_CASE("a server with late answers loses its prompts to others until it recovers")
{
  const backends::fleet fleet = MakeFleet(3);
  chooser choose;
  const auto home = choose(fleet, MakeDemand(1, 2)).mServer;
  for (int i = 0; i < 6; ++i) {
    backends::RecordEnd(*home, backends::attempt_end::Succeeded, 2s, kStart);
  }
  CHECK(choose(fleet, MakeDemand(1, 3)).mServer != home);
  CHECK(choose(fleet, MakeDemand(1, 3), kStart + 60s).mServer == home);
}

TEST_CASE("servers that were tried, are leaving, or are not allowed are excluded")
{
  backends::fleet fleet = MakeFleet(3);
  chooser choose;
  demand demand = MakeDemand(0);
  const std::vector<server_id> tried{ server_id("s-0") };
  demand.mTriedServers = &tried;
  demand.mIsAllowed = [](const auto& aServer) {
    return aServer.mAnnounced.mId != server_id("s-1");
  };
  CHECK(choose(fleet, demand).mServer->mAnnounced.mId == server_id("s-2"));
  fleet.mServers.at(server_id("s-2"))->mAnnounced.mIsLeaving = true;
  const choice none = choose(fleet, demand);
  CHECK(none.mServer == nullptr);
  CHECK(none.mReason == no_choice::AllTried);
  CHECK(choose(MakeFleet(0), demand).mReason == no_choice::NoServers);
}

TEST_CASE("after a failed connect, servers of another data centre are preferred")
{
  const backends::fleet fleet = MakeFleet(6);
  chooser choose;
  demand demand = MakeDemand(0);
  const std::vector<data_centre_id> unreached{ data_centre_id("a") };
  demand.mUnreached = &unreached;
  for (int i = 0; i < 20; ++i) {
    CHECK(choose(fleet, demand).mServer->mAnnounced.mDataCentre == data_centre_id("b"));
  }
}

TEST_CASE("suspects are used only without alternatives, and cold servers only with a free slot")
{
  backends::fleet fleet = MakeFleet(2);
  chooser choose;
  demand demand = MakeDemand(0);
  backends::RecordEnd(*fleet.mServers.at(server_id("s-0")), backends::attempt_end::Unreachable, 0s,
                      kStart);
  for (int i = 0; i < 20; ++i) {
    CHECK(choose(fleet, demand).mServer->mAnnounced.mId == server_id("s-1"));
  }
  fleet.mServers.at(server_id("s-1"))->mColdUntil = kStart + 3s;
  CHECK(choose(fleet, demand).mServer->mAnnounced.mId == server_id("s-0"));
  fleet.mServers.at(server_id("s-0"))->mColdUntil = kStart + 3s;
  CHECK(choose(fleet, demand).mReason == no_choice::ColdOnly);
  demand.mAcquireColdSlot = [](auto&) { return true; };
  CHECK(choose(fleet, demand).mServer != nullptr);
}

TEST_CASE("calls without a prompt go to the server with the fewest requests in flight")
{
  backends::fleet fleet = MakeFleet(3);
  chooser choose;
  fleet.mServers.at(server_id("s-0"))->mInFlight = 5;
  fleet.mServers.at(server_id("s-2"))->mInFlight = 5;
  CHECK(choose(fleet, MakeDemand(0)).mServer->mAnnounced.mId == server_id("s-1"));
}

TEST_CASE(
  "a closed server is passed over, and with only closed ones left the first opening is told")
{
  backends::fleet fleet = MakeFleet(3);
  const auto server = [&fleet](int aNumber) -> backends::backend_server& {
    return *fleet.mServers.at(server_id("s-" + std::to_string(aNumber)));
  };
  chooser choose;
  backends::RecordClosed(server(0), 5s, kStart);
  backends::RecordClosed(server(1), 2s, kStart);
  CHECK(choose(fleet, MakeDemand(1, 1000)).mServer->mAnnounced.mId == server_id("s-2"));
  backends::RecordLeaving(fleet, server(2), kStart);
  const choice none = choose(fleet, MakeDemand(1, 1000));
  CHECK(none.mServer == nullptr);
  CHECK(none.mReason == no_choice::Closed);
  CHECK(none.mOpensAt == kStart + 2s);
  CHECK(choose(fleet, MakeDemand(1, 1000), kStart + 2s).mServer->mAnnounced.mId ==
        server_id("s-1"));
}

// Guards against a wait that counts as long by the engines of one deployment: on slow engines a
// prefix would be prefilled again though the wait for its server is shorter, on fast ones callers
// would wait for longer than the prefill takes.
TEST_CASE("another server takes over a shared part once the wait exceeds the part's prefill")
{
  struct engine_case
  {
    double mMsPerToken;
    double mWaitMs;
    bool mMoves;
  };
  for (const engine_case& one :
       { engine_case{ 0.01, 40, false }, engine_case{ 0.01, 200, true },
         engine_case{ 0.15, 500, false }, engine_case{ 0.15, 1500, true } }) {
    CAPTURE(one.mMsPerToken);
    CAPTURE(one.mWaitMs);
    const backends::fleet fleet = MakeFleet(9);
    chooser choose;
    demand demand = MakeDemand(1, 2);
    demand.mPrefill = { .mBaseMs = 0, .mMsPerToken = one.mMsPerToken };
    const auto home = choose(fleet, demand).mServer;
    home->mPrefillMs = one.mWaitMs;
    CHECK((choose(fleet, demand).mServer != home) == one.mMoves);
  }
}

TEST_CASE("a request in flight counts as the time by which it delays another one")
{
  backends::fleet fleet = MakeFleet(2);
  chooser choose;
  demand demand = MakeDemand(0);
  demand.mTurnMs = 100;
  fleet.mServers.at(server_id("s-0"))->mInFlight = 2;
  CHECK(choose(fleet, demand).mServer->mAnnounced.mId == server_id("s-1"));
  CHECK(choose(fleet, demand).mWaitMs < 100);
  fleet.mServers.at(server_id("s-1"))->mInFlight = 5;
  CHECK(choose(fleet, demand).mWaitMs >= 200);
}

// Guards against forgetting what a server caches after a time that says nothing of its memory: a
// session that pauses for a minute would be prefilled anew at another server.
TEST_CASE("a prompt returns to the server that prefilled it, after a long pause too")
{
  const backends::fleet fleet = MakeFleet(9);
  chooser choose;
  demand first = MakeDemand(1, 2);
  first.mParts.erase(first.mParts.begin());
  const auto server = fleet.mServers.at(server_id("s-4"));
  RecordPrefill(choose.mCaches, server->mAnnounced.mId, first, kStart);
  CHECK(choose(fleet, first, kStart + 60s).mServer == server);
}

TEST_CASE("the estimate of caches is bounded, and keeps the newer prompts")
{
  prefix_caches caches{ .mMaxEntries = 100 };
  for (std::uint64_t i = 1; i <= 1000; ++i) {
    demand demand = MakeDemand(i, 5000 + i);
    RecordPrefill(caches, server_id("s-1"), demand, kStart + std::chrono::milliseconds(i));
    CHECK(caches.mPrefilledAt.size() <= 101);
  }
  CHECK(std::any_of(caches.mPrefilledAt.begin(), caches.mPrefilledAt.end(),
                    [](const auto& aEntry) { return aEntry.second == kStart + 1000ms; }));
}

// Guards against a request that stays with a dead server because the only other one has failed
// recently: a penalty is no time that the caller has to wait.
TEST_CASE("failures make a server less wanted, and not its expected wait longer")
{
  backends::fleet fleet = MakeFleet(1);
  chooser choose;
  backends::backend_server& server = *fleet.mServers.at(server_id("s-0"));
  for (int i = 0; i < 20; ++i) {
    backends::RecordEnd(server, backends::attempt_end::Failed, 0s, kStart);
  }
  const choice only = choose(fleet, MakeDemand(0));
  CHECK(only.mCostMs > 1000);
  CHECK(only.mWaitMs < 10);
}

// Guards against admission and escalation that go by one busy server, or by none at all.
TEST_CASE("the load of a service shows its median and least wait, and which servers are busy")
{
  backends::fleet fleet = MakeFleet(10);
  const auto server = [&fleet](int aNumber) -> backends::backend_server& {
    return *fleet.mServers.at(server_id("s-" + std::to_string(aNumber)));
  };
  for (int i = 0; i < 8; ++i) {
    server(i).mPrefillMs = 100.0 * i;
  }
  server(8).mSuspectUntil = kStart + 1s;
  server(9).mPooled = { .mFullAt = kStart, .mExpiresAt = kStart + 1s };
  demand demand = MakeDemand(1, 2);
  demand.mTurnMs = 50;
  const service_load load = LoadOf(fleet, demand, {}, kStart);
  CHECK(load.mServers == 9);
  CHECK(load.mLeastWaitMs < 10);
  CHECK(load.mMedianWaitMs == doctest::Approx(300).epsilon(0.02));
  CHECK(load.mBusyShare == doctest::Approx(8.0 / 9));
  CHECK(LoadOf(MakeFleet(0), demand, {}, kStart).mServers == 0);
}
