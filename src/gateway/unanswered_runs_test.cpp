#include "gateway/unanswered_runs.h"

#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace std::chrono_literals;
using namespace tamarackweir::gateway;

namespace {

constexpr time_point kSent = time_point(1000s);
constexpr time_point kUntil = kSent + 2s;

backends::announcement Server(const char* aId, std::int64_t aStart, unsigned short aPort = 1)
{
  return { .mId = server_id(aId),
           .mAddress = { boost::asio::ip::make_address("127.0.0.1"), aPort },
           .mStartId = aStart };
}

/// A fleet with one server, on which a run ended without an answer.
struct abandoned
{
  abandoned()
  {
    backends::Announce(mFleet, Server("i", 1), kSent - 1min);
    mServer = mFleet.mServers.at(server_id("i"));
    Keep(mRuns, { .mCrash = { .mId = 1, .mAt = kSent + 300ms, .mSent = kSent },
                  .mServer = mServer,
                  .mUntil = kUntil });
  }

  backends::fleet mFleet;
  backends::server_pointer mServer;
  unanswered_runs mRuns;
};

} // namespace

// Guards against counting only crashes of servers under requests that still wait.
TEST_CASE("a server that refuses connections crashed under a run that its caller has left")
{
  abandoned world;
  CHECK(TakeCrashed(world.mRuns, kSent + 500ms).empty());
  world.mServer->mSeen.mRefusedAt = kSent + 800ms;
  const auto crashed = TakeCrashed(world.mRuns, kSent + 1s);
  REQUIRE(crashed.size() == 1);
  CHECK(crashed[0].mCrash.mAt == kSent + 800ms);
  CHECK(world.mRuns.mRuns.empty());
}

// Guards against servers that are back before anybody looks.
TEST_CASE("a server whose address another start has crashed, though it always accepted")
{
  for (const auto& next : { Server("i", 2), Server("j", 1), Server("j", 2) }) {
    abandoned world;
    backends::Announce(world.mFleet, next, kSent + 1s);
    CHECK(TakeCrashed(world.mRuns, kSent + 1s).size() == 1);
  }
  abandoned world;
  backends::Announce(world.mFleet, Server("j", 1, 2), kSent + 1s);
  backends::Announce(world.mFleet, Server("i", 1), kSent + 1s);
  CHECK(TakeCrashed(world.mRuns, kSent + 1s).empty());
}

TEST_CASE("a server that lapsed and whose address is announced again crashed")
{
  abandoned world;
  backends::Withdraw(world.mFleet, server_id("i"), false, kSent + 3s);
  CHECK(TakeCrashed(world.mRuns, kSent + 4s).empty());
  backends::Announce(world.mFleet, Server("j", 2), kSent + 5s);
  CHECK(TakeCrashed(world.mRuns, kSent + 5s).size() == 1);
}

// Guards against blaming a run for the end of a server that has outlived it.
TEST_CASE("a server that answers a later request has outlived the run")
{
  abandoned world;
  world.mServer->mSeen.mAnsweredSentAt = kUntil + 1ms;
  world.mServer->mSeen.mRefusedAt = kUntil + 1s;
  CHECK(TakeCrashed(world.mRuns, kUntil + 1s).empty());
  CHECK(world.mRuns.mRuns.empty());
}

TEST_CASE("an answer to a request that was sent before the end of a run clears nothing")
{
  abandoned world;
  world.mServer->mSeen.mAnsweredSentAt = kUntil - 1s;
  world.mServer->mSeen.mRefusedAt = kUntil - 500ms;
  CHECK(TakeCrashed(world.mRuns, kUntil).size() == 1);
}

TEST_CASE("a server that had announced its end did not crash")
{
  abandoned world;
  world.mServer->mSaysItLeaves = true;
  world.mServer->mSeen.mRefusedAt = kSent + 1s;
  CHECK(TakeCrashed(world.mRuns, kSent + 1s).empty());
}

TEST_CASE("runs whose servers are not found out are forgotten, as are the oldest of very many")
{
  abandoned world;
  CHECK(TakeCrashed(world.mRuns, kUntil + kCrashFoundWithin).empty());
  CHECK(world.mRuns.mRuns.size() == 1);
  CHECK(TakeCrashed(world.mRuns, kUntil + kCrashFoundWithin + 1ms).empty());
  CHECK(world.mRuns.mRuns.empty());
  for (std::size_t i = 0; i < kMaxUnansweredRuns + 5; ++i) {
    Keep(world.mRuns, { .mCrash = { .mId = i }, .mServer = world.mServer, .mUntil = kUntil });
  }
  CHECK(world.mRuns.mRuns.size() == kMaxUnansweredRuns);
  CHECK(world.mRuns.mRuns.front().mCrash.mId == 5);
}
