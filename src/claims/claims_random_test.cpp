#include "claims/claims.h"

#include "claims/test_simulation.h"

#include <chrono>
#include <doctest/doctest.h>
#include <iostream>
#include <set>

using namespace tamarackweir;
using namespace tamarackweir::claims;
using namespace tamarackweir::claims::test;
using platform::memory_table;

namespace {

struct summary
{
  int mRunTwice = 0;     ///< keys whose call ran more than once
  int mFalseNotRun = 0;  ///< attempts answered `not_run` whose call was sent
  int mWrongAnswers = 0; ///< attempts that got the stored answer of another call
  int mUnfinished = 0;   ///< attempts that never got a result
  int mUnstored = 0;     ///< outcomes and releases that never reached the table
  int mAnswered = 0;
};

/// Simulates 400 attempts with 40 keys at 3 random instances, with random faults, kills, pauses
/// and outages.
summary RunSeed(std::uint64_t aSeed, const options& aOptions)
{
  simulation simulated;
  simulated.mRandom.seed(aSeed);
  simulated.mOptions = aOptions;
  simulated.mFaults = { .mLoseRequest = 0.1,
                        .mLoseAnswer = 0.15,
                        .mLate = 0.1,
                        .mServerRefuses = 0.1,
                        .mServerAnswerLost = 0.1 };
  const std::vector<std::string> names{ "a", "b", "c" };
  for (const auto& name : names) {
    simulated.Start(name);
  }
  const auto randomBelow = [&](std::uint64_t aBound) { return simulated.mRandom() % aBound; };
  std::set<std::string> killed;
  for (int round = 0; round < 400; ++round) {
    const std::string& name = names[randomBelow(3)];
    simulated.StartAttempt(name, KeyName(static_cast<std::int64_t>(randomBelow(40))), "digest",
                           std::chrono::milliseconds(randomBelow(20) == 0 ? 3 : 20000));
    if (randomBelow(40) == 0) {
      simulated.Kill(name);
      simulated.Start(name);
    } else if (randomBelow(40) == 0) {
      simulated.mNodes.at(name).mPauseBeforeSend = std::chrono::milliseconds(randomBelow(30000));
    } else if (randomBelow(60) == 0) {
      simulated.mNodes.at(name).mPausedUntil =
        simulated.mNow + std::chrono::milliseconds(randomBelow(30000));
    } else if (randomBelow(60) == 0) {
      simulated.mTable.mFault =
        randomBelow(2) == 0 ? memory_table::fault::Down : memory_table::fault::LoseAnswer;
    } else if (randomBelow(10) == 0) {
      simulated.mTable.mFault = memory_table::fault::None;
    }
    if (randomBelow(3) == 0) {
      simulated.Advance(std::chrono::milliseconds(randomBelow(60)));
    }
  }
  simulated.mTable.mFault = memory_table::fault::None;
  simulated.mFaults = {};
  // Two consecutive pauses take up to 60 s. Then an instance rechecks the row of a released claim
  // for `mMaxWriteDelay`, 30 s. The rest is margin.
  simulated.Advance(200s);
  summary result;
  for (const auto& [key, runs] : simulated.mRuns) {
    result.mRunTwice += runs > 1 ? 1 : 0;
  }
  for (const attempt& entry : simulated.mAttempts) {
    const std::string expected = "answer to " + entry.mKey;
    result.mFalseNotRun += entry.mResult == "not_run" && entry.mSent ? 1 : 0;
    result.mWrongAnswers += entry.mResult == "stored" && entry.mBody != expected ? 1 : 0;
    result.mUnfinished += entry.mResult == "waiting" ? 1 : 0;
    result.mAnswered += entry.mResult == "answered" || entry.mResult == "stored" ? 1 : 0;
  }
  for (const auto& [name, instance] : simulated.mNodes) {
    result.mUnstored += static_cast<int>(CountUnstored(instance.mState));
  }
  return result;
}

} // namespace

// Guards against combinations of lost, late and repeated writes, kills, pauses and outages that
// make a call run twice, or answer `not_run` for a call that was sent.
TEST_CASE("under random faults a call runs at most once and every not_run is correct, 100 seeds")
{
  int answered = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const summary result = RunSeed(seed, {});
    answered += result.mAnswered;
    INFO("failing seed ", seed);
    CHECK(result.mRunTwice == 0);
    CHECK(result.mFalseNotRun == 0);
    CHECK(result.mWrongAnswers == 0);
    CHECK(result.mUnfinished == 0);
    CHECK(result.mUnstored == 0);
  }
  std::cout << "claims: 100 seeds, 40,000 attempts, " << answered << " answered or stored\n";
  CHECK(answered > 1000);
}

// Guards against a random test that can't fail: with either mechanism switched off, it must find
// calls that run twice.
TEST_CASE("without the claim or the read-back random faults make calls run twice")
{
  int withoutClaim = 0;
  int withoutReadBack = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    withoutClaim += RunSeed(seed, { .mClaimBeforeDispatch = false }).mRunTwice;
    withoutReadBack += RunSeed(seed, { .mReadBack = false }).mRunTwice;
  }
  std::cout << "claims: keys run twice in 10 seeds: " << withoutClaim << " without the claim, "
            << withoutReadBack << " without the read-back\n";
  CHECK(withoutClaim > 0);
  CHECK(withoutReadBack > 0);
}

// Prints how many calls/s 300 table writes/s allow. Guards against groups that shrink to one row
// when the store is busy.
TEST_CASE("group commit puts more than 20 claims in a transaction at 5000 calls per second")
{
  std::cout
    << "claims: calls/s of one instance, rows per claim transaction, table writes per call\n";
  double fullRows = 0;
  for (const int rate : { 1, 10, 100, 1000, 5000 }) {
    simulation simulated;
    simulated.mServerDelay = 20ms;
    simulated.Start("a");
    const int total = std::min(rate * 10, 20000);
    for (int sent = 0; sent < total;) {
      simulated.Advance(1ms);
      const auto due = (simulated.mNow - time_point{}) * rate / 1s;
      for (; sent < std::min<std::int64_t>(due, total); ++sent) {
        simulated.StartAttempt("a", KeyName(sent));
      }
    }
    simulated.Advance(3s);
    const counters& counted = simulated.mNodes.at("a").mState.mCounters;
    const double rows =
      static_cast<double>(counted.mRows) / static_cast<double>(counted.mTransactions);
    const double writes = static_cast<double>(simulated.mTable.mWrites) / total;
    std::cout << "claims:   " << rate << ", " << rows << ", " << writes << "; 300 writes/s allow "
              << 300 / writes << " calls/s\n";
    fullRows = rows;
  }
  CHECK(fullRows > 20);
}

// Prints the cost of a tick, which runs every millisecond. Guards against a tick that iterates
// over all dispatched calls.
TEST_CASE("a tick with 5000 dispatched calls takes less than 10 us")
{
  simulation simulated;
  simulated.Start("a");
  simulated.mServerDelay = 60s;
  for (int i = 0; i < 5000; ++i) {
    simulated.StartAttempt("a", KeyName(i));
  }
  simulated.Advance(2s);
  state& busy = simulated.mNodes.at("a").mState;
  REQUIRE(busy.mCalls.size() == 5000);
  REQUIRE(busy.mUndecidedCalls.empty());
  const auto start = std::chrono::steady_clock::now();
  constexpr int kTicks = 100000;
  for (int i = 0; i < kTicks; ++i) {
    actions out;
    Tick(busy, simulated.mNow + 1ms, out);
  }
  const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - start;
  std::cout << "claims: a tick with 5,000 dispatched calls takes " << spent.count() / kTicks
            << " ns\n";
  CHECK(spent.count() / kTicks < 10000);
}
