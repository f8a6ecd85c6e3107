#include "rollout/shift.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <random>

using namespace tamarackweir;
using namespace tamarackweir::rollout;

namespace {

constexpr time_point kStart = time_point(100s);

/// A shift under constant load, to a version with a fault.
struct simulated_shift
{
  duration mLength = 11s;
  double mRequestsPerSecond = 40;
  double mExposureBound = 0.15;
  double mRouteShare = 0.27;   ///< share of the requests that go to the failing route
  double mFailureShare = 0;    ///< share of the requests on that route that fail
  double mSlowShare = 0;       ///< share of the requests on that route that come slower
  double mFailsFrom = 0;       ///< as a fraction of the length
  double mFailsAboveShare = 0; ///< the fault shows at a larger share of the new version only
  double mUsualFailures = 0.01;
  double mUsualSlow = 0.2;
  int mServers = 9;
  int mSlowServers = 0; ///< of the new version, from the disruptions of the day
};

struct simulation_end
{
  shift_phase mPhase = shift_phase::Running;
  double mAboveBound = 0; ///< requests on the new version beyond the bound
};

/// Simulates a shift on one instance that collects all results after a message delay.
simulation_end Simulate(const simulated_shift& aDay, std::uint64_t aSeed)
{
  shift_options options;
  options.mSchedule.mExposureBound = aDay.mExposureBound;
  constexpr duration kResultDelay = 400ms; // to the collectors, and of the decision to the others
  constexpr double kBoundSlack = 30;
  std::mt19937_64 random(aSeed);
  const auto happens = [&random](double aProbability) {
    return std::bernoulli_distribution(aProbability)(random);
  };
  shift running{ .mOrder = { .mService = service_id("llm"),
                             .mNewVersion = version_id("v2"),
                             .mDuration = aDay.mLength,
                             .mOrderId = 5 },
                 .mStartedAt = kStart };
  running.mProgress = shift_progress{ .mOrderId = 5 };
  struct result
  {
    time_point mAt{};
    result_key mKey;
    bool mFails = false;
    bool mIsSlow = false;
    bool mHasPace = false;
  };
  std::deque<result> inFlight;
  int total = 0;
  int exposed = 0;
  const auto step = std::chrono::duration_cast<duration>(
    std::chrono::duration<double>(1 / aDay.mRequestsPerSecond));
  const auto fraction = [&aDay](time_point aNow) {
    return std::chrono::duration<double>(aNow - kStart) / aDay.mLength;
  };
  for (time_point now = kStart; now < kStart + aDay.mLength; now += step) {
    ++total;
    for (; !inFlight.empty() && inFlight.front().mAt <= now; inFlight.pop_front()) {
      const result& ended = inFlight.front();
      RecordResult(running, ended.mKey, !ended.mFails);
      if (ended.mHasPace) {
        RecordPace(running, ended.mKey, ended.mIsSlow);
      }
    }
    running.mIsHalted = running.mIsHalted || IsNewVersionBad(running, options);
    if (const auto next = NextPhase(running, options, evidence_scope::Pooled, now)) {
      running.mProgress->mPhase = *next;
      if (*next == shift_phase::Passed) {
        running.mPassedAt = now;
      }
    }
    const double share = NewVersionShare(running, options, now);
    const bool isNew = happens(share);
    const bool isOnBadRoute = happens(aDay.mRouteShare);
    const bool isFaulty =
      isNew && isOnBadRoute && fraction(now) >= aDay.mFailsFrom && share >= aDay.mFailsAboveShare;
    const auto server =
      static_cast<int>(random() % static_cast<std::uint64_t>(std::max(1, aDay.mServers)));
    exposed += isNew ? 1 : 0;
    inFlight.push_back(
      { .mAt = now + kResultDelay,
        .mKey = { .mIsNew = isNew,
                  .mRoute = isOnBadRoute ? "bad" : "good",
                  .mServer = server_id(isNew ? "s-" + std::to_string(server) : "") },
        .mFails = happens(aDay.mUsualFailures) || (isFaulty && happens(aDay.mFailureShare)),
        .mIsSlow = happens(aDay.mUsualSlow) || (isFaulty && happens(aDay.mSlowShare)) ||
                   (isNew && server < aDay.mSlowServers),
        .mHasPace = IsCanaryShare(running, options, now) && happens(0.6) });
  }
  return { .mPhase = running.mIsHalted ? shift_phase::RolledBack : running.mProgress->mPhase,
           .mAboveBound = exposed - (aDay.mExposureBound * total + kBoundSlack) };
}

struct seed_counts
{
  int mAboveBound = 0;
  int mSucceeded = 0;
  int mRolledBack = 0;
};

seed_counts SimulateSeeds(const simulated_shift& aDay, int aSeeds)
{
  seed_counts counts;
  for (int seed = 1; seed <= aSeeds; ++seed) {
    const simulation_end end = Simulate(aDay, static_cast<std::uint64_t>(seed));
    counts.mAboveBound += end.mAboveBound > 0 ? 1 : 0;
    counts.mSucceeded += end.mPhase == shift_phase::Succeeded ? 1 : 0;
    counts.mRolledBack += end.mPhase == shift_phase::RolledBack ? 1 : 0;
  }
  MESSAGE("above the bound ", counts.mAboveBound, ", succeeded ", counts.mSucceeded,
          ", rolled back ", counts.mRolledBack, " of ", aSeeds);
  return counts;
}

constexpr int kSeeds = 300;

} // namespace

// Guards against taking the last step before the failing route has results: with mix --seed
// 819000406924 on kitamura-weir, a version that failed on one route got 101 requests, 98 allowed.
TEST_CASE("a version that fails on one route stays within the exposure bound")
{
  CHECK(SimulateSeeds({ .mFailureShare = 0.5 }, kSeeds).mAboveBound == 0);
  CHECK(SimulateSeeds({ .mLength = 24s, .mRequestsPerSecond = 400, .mFailureShare = 0.5 }, kSeeds)
          .mAboveBound == 0);
}

TEST_CASE("a version that fails a third of all requests is rolled back within the bound")
{
  const seed_counts counts = SimulateSeeds({ .mRouteShare = 1, .mFailureShare = 0.34 }, kSeeds);
  CHECK(counts.mAboveBound == 0);
  CHECK(counts.mSucceeded <= kSeeds / 100);
}

TEST_CASE("a version that is slow from the start is rolled back within the bound")
{
  for (const double rate : { 30.0, 400.0 }) {
    const seed_counts counts = SimulateSeeds(
      { .mLength = 20s, .mRequestsPerSecond = rate, .mRouteShare = 1, .mSlowShare = 0.9 }, kSeeds);
    CHECK(counts.mAboveBound == 0);
    CHECK(counts.mSucceeded <= kSeeds / 100);
  }
}

// Guards against a fault that begins after the new version has all requests.
TEST_CASE("a version that fails late stays within the exposure bound")
{
  for (const double from : { 0.3, 0.6, 0.8, 0.95 }) {
    CHECK(SimulateSeeds({ .mLength = 20s,
                          .mRequestsPerSecond = 400,
                          .mExposureBound = 0.12,
                          .mRouteShare = 1,
                          .mFailureShare = 0.5,
                          .mFailsFrom = from },
                        kSeeds)
            .mAboveBound == 0);
  }
}

// Guards against a fault that a canary can't show: with --seed 11 of a day with only such a version
// on gps-addis, it got 331 of 858 requests, 159 allowed.
TEST_CASE("a version that fails under full load only stays within the exposure bound")
{
  for (const double rate : { 30.0, 400.0 }) {
    CHECK(SimulateSeeds({ .mLength = 20s,
                          .mRequestsPerSecond = rate,
                          .mRouteShare = 1,
                          .mFailureShare = 0.5,
                          .mFailsAboveShare = 0.8 },
                        kSeeds)
            .mAboveBound == 0);
  }
}

TEST_CASE("a version that is no worse succeeds")
{
  constexpr int kManySeeds = 1000;
  constexpr int kMostRolledBack = 4; // fewer than 5 of 1,000
  for (const double rate : { 40.0, 400.0 }) {
    const seed_counts counts =
      SimulateSeeds({ .mLength = 20s, .mRequestsPerSecond = rate, .mSlowServers = 2 }, kManySeeds);
    CHECK(counts.mRolledBack <= kMostRolledBack);
    CHECK(counts.mSucceeded == kManySeeds - counts.mRolledBack);
  }
}
