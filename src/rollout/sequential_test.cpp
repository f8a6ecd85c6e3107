#include "rollout/rollout.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <map>
#include <random>

using namespace tamarackweir;
using namespace tamarackweir::rollout;

namespace {

const owner_id kOwner("plovdiv");

double RateAtOddsRatio(double aRate, double aOddsRatio)
{
  return aRate * aOddsRatio / (1 - aRate + aRate * aOddsRatio);
}

struct simulated_rollout
{
  bool mHalted = false;
  bool mPassedFirstStep = false;
  std::uint64_t mResults = 0; ///< of the candidate
};

/// Simulates a whole roll-out that runs the test after every ten results of the candidate.
simulated_rollout SimulateRollout(const test_design& aDesign, double aOldRate, double aNewRate,
                                  std::mt19937_64& aRandom)
{
  simulated_rollout result;
  result_counts old;
  for (const double share : kStepShares) {
    result_counts now;
    test_verdict verdict = test_verdict::Undecided;
    double oldResultsDue = 0;
    while (verdict == test_verdict::Undecided && now.mGood + now.mBad < 200000) {
      const auto bad =
        static_cast<std::uint64_t>(std::binomial_distribution<int>(10, aNewRate)(aRandom));
      now.mBad += bad;
      now.mGood += 10 - bad;
      oldResultsDue += 10 * (1 - share) / share;
      const int oldResults = static_cast<int>(oldResultsDue);
      oldResultsDue -= oldResults;
      const auto oldBad =
        static_cast<std::uint64_t>(std::binomial_distribution<int>(oldResults, aOldRate)(aRandom));
      old.mBad += oldBad;
      old.mGood += static_cast<std::uint64_t>(oldResults) - oldBad;
      verdict = RunSequentialTest(aDesign, old, now);
    }
    result.mResults += now.mGood + now.mBad;
    if (verdict != test_verdict::Accept) {
      result.mHalted = verdict == test_verdict::Halt;
      return result;
    }
    result.mPassedFirstStep = true;
  }
  return result;
}

/// Returns the number of requests on the candidate until the halt takes effect. 20 instances get
/// 200 requests/s in total, each sends its results to two random peers a second, and a proposal
/// takes effect after 4 s.
std::uint64_t RequestsUntilHalt(double aShare, double aOldRate, double aNewRate,
                                std::uint64_t aFixedCount, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  const rollout_settings settings{ .mOwner = kOwner,
                                   .mName = "seams",
                                   .mModel = model_id("seams"),
                                   .mOldVersion = version_id("v1"),
                                   .mNewVersion = version_id("v2"),
                                   .mShare = aShare };
  const test_design design;
  std::vector<evidence> instances(20);
  std::uniform_real_distribution<double> uniform;
  std::uint64_t exposed = 0;
  std::uint64_t haltAt = 0;
  for (std::uint64_t second = 0; second < 20000 && (haltAt == 0 || second < haltAt); ++second) {
    for (int i = 0; i < 200; ++i) {
      const std::size_t instance = random() % instances.size();
      const version_id version = ChooseVersion(settings, std::to_string(random()));
      const bool isNew = version == settings.mNewVersion;
      exposed += isNew ? 1 : 0;
      RecordResult(instances[instance],
                   { kOwner, "seams", StepIndex(aShare), version,
                     instance_id(std::to_string(instance)), start_epoch(1) },
                   uniform(random) >= (isNew ? aNewRate : aOldRate));
    }
    for (std::size_t i = 0; i < instances.size(); ++i) {
      for (int copies = 0; copies < 2; ++copies) {
        const std::size_t peer = random() % instances.size();
        Merge(instances[peer], Delta(instances[i], instances[peer]));
      }
    }
    for (std::size_t i = 0; i < instances.size() && haltAt == 0; ++i) {
      bool isHalted = false;
      if (aFixedCount > 0) {
        // The baseline compares the bad rate with the midpoint of both rates, once there is a fixed
        // number of results.
        const result_counts now = PoolCounts(instances[i], kOwner, "seams", settings.mNewVersion);
        const double rate = static_cast<double>(now.mBad) / static_cast<double>(aFixedCount);
        isHalted = now.mGood + now.mBad >= aFixedCount &&
                   rate > (aOldRate + RateAtOddsRatio(aOldRate, 2)) / 2;
      } else {
        isHalted = ProposeHalt(settings, instances[i], design).has_value();
      }
      haltAt = isHalted ? second + 4 : 0;
    }
  }
  return exposed;
}

} // namespace

// Guards against halting good versions, or accepting bad ones, more often than designed. Evaluating
// a test with a fixed significance level after every result would do so.
TEST_CASE("the sequential test keeps its false halt and miss probabilities")
{
  const test_design design;
  constexpr int kRuns = 1000;
  for (const double rate : { 0.02, 0.05, 0.2 }) {
    CAPTURE(rate);
    int falseHalts = 0;
    int firstStepMisses = 0;
    int misses = 0;
    double results = 0;
    for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
      std::mt19937_64 random(seed);
      const simulated_rollout good = SimulateRollout(design, rate, rate, random);
      falseHalts += good.mHalted ? 1 : 0;
      results += static_cast<double>(good.mResults) / kRuns;
      const simulated_rollout bad =
        SimulateRollout(design, rate, RateAtOddsRatio(rate, design.mOddsRatio), random);
      firstStepMisses += bad.mPassedFirstStep ? 1 : 0;
      misses += bad.mHalted ? 0 : 1;
    }
    MESSAGE("old rate ", rate, ": false halts ", falseHalts,
            " of 1000, bad versions past the 1% step ", firstStepMisses, " of 1000, completed ",
            misses, "; results of a good candidate per roll-out ", results);
    // Designed for 10 and 50 of 1000; the tolerance is three standard deviations of the count.
    CHECK(falseHalts <= 10 + 10);
    CHECK(firstStepMisses <= 50 + 21);
    CHECK(misses <= firstStepMisses);
  }
}

// Guards against a test that stays undecided on a version without any bad result.
TEST_CASE("a version without bad results is accepted and a worse one is halted early")
{
  const test_design design;
  CHECK(RunSequentialTest(design, { 100000, 0 }, { 1000, 0 }) == test_verdict::Accept);
  CHECK(RunSequentialTest(design, { 100000, 0 }, { 100, 0 }) == test_verdict::Undecided);
  CHECK(RunSequentialTest(design, { 9500, 500 }, { 5, 15 }) == test_verdict::Halt);
  CHECK(RunSequentialTest(design, { 9500, 500 }, { 0, 3 }) == test_verdict::Undecided);
  CHECK(RunSequentialTest(design, { 100, 5 }, { 0, 100 }) == test_verdict::Undecided);
}

// Guards against a late halt, which sends too many requests to a bad version.
TEST_CASE("the sequential test halts a bad version after fewer requests than a fixed-size test")
{
  // Sample size of a fixed-size test with the same error rates at odds ratio 2 and old rate 0.05,
  // by normal approximation: ((2.878 sd0 + 1.645 sd1) / (p1 - p0))^2.
  constexpr std::uint64_t kFixedCount = 604;
  for (const double share : { 0.05, 0.25 }) {
    for (const double oddsRatio : { 2.0, 5.0, 20.0 }) {
      std::vector<double> sequential;
      std::vector<double> fixed;
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        const double rate = RateAtOddsRatio(0.05, oddsRatio);
        sequential.push_back(static_cast<double>(RequestsUntilHalt(share, 0.05, rate, 0, seed)));
        fixed.push_back(
          static_cast<double>(RequestsUntilHalt(share, 0.05, rate, kFixedCount, seed)));
      }
      std::sort(sequential.begin(), sequential.end());
      std::sort(fixed.begin(), fixed.end());
      MESSAGE("share ", share, ", odds ratio ", oddsRatio,
              ": requests on the bad version until the halt, median ", sequential[5], ", most ",
              sequential.back(), "; fixed-size test median ", fixed[5], ", most ", fixed.back());
      CHECK(sequential[5] < fixed[5]);
    }
  }
}
