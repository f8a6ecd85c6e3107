#pragma once

#include "rollout/evidence.h"

namespace tamarackweir::rollout {

/// Parameters of the sequential probability ratio test.
struct test_design
{
  /// Odds ratio of bad results, candidate to old version, that the test must detect.
  double mOddsRatio = 2.0;
  double mFalseHaltProbability = 0.01; ///< over the whole roll-out, split evenly over the steps
  double mMissProbability = 0.05;      ///< of a version with this odds ratio, per step
  std::uint32_t mSteps = 5;
  /// The test does not distinguish rates of bad results below this one: it would need more results
  /// than a small share yields.
  double mBadRateFloor = 0.005;
  /// With fewer results of the old version the test stays undecided.
  std::uint64_t mMinOldResults = 200;
};

enum class test_verdict
{
  Undecided,
  Accept, ///< the candidate's odds are not worse by the odds ratio; the step may end
  Halt,
};

/// Returns the log-likelihood ratio of "the candidate's odds are worse by the odds ratio" to "the
/// odds are equal", each maximised over the old version's rates at or above the floor (profile
/// likelihood).
double LogLikelihoodRatio(const test_design& aDesign, const result_counts& aOld,
                          const result_counts& aNew);

/// Compares the results of the candidate with those of the old version.
test_verdict RunSequentialTest(const test_design& aDesign, const result_counts& aOld,
                               const result_counts& aNew);

} // namespace tamarackweir::rollout
