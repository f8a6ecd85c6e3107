#include "rollout/sequential.h"

#include <algorithm>
#include <cmath>

namespace tamarackweir::rollout {

namespace {

double Logistic(double aLogOdds)
{
  return 1 / (1 + std::exp(-aLogOdds));
}

/// Returns the binomial log-likelihood of the counts for a bad rate given by its log-odds.
double LogLikelihood(double aGood, double aBad, double aLogOdds)
{
  return aBad * aLogOdds - (aGood + aBad) * std::log1p(std::exp(aLogOdds));
}

/// Returns the maximum log-likelihood over the old version's rates at or above the floor, if the
/// candidate's log-odds are higher by `aLogOddsShift`. The log-likelihood is concave in the
/// log-odds, so bisection finds the only root of its slope.
double MaxLogLikelihood(const result_counts& aOld, const result_counts& aNew, double aLogOddsShift,
                        double aFloor)
{
  const auto oldGood = static_cast<double>(aOld.mGood);
  const auto oldBad = static_cast<double>(aOld.mBad);
  const auto newGood = static_cast<double>(aNew.mGood);
  const auto newBad = static_cast<double>(aNew.mBad);
  double low = std::log(aFloor / (1 - aFloor));
  double high = 10;
  for (int i = 0; i < 40; ++i) {
    const double middle = (low + high) / 2;
    const double slope = oldBad + newBad - (oldGood + oldBad) * Logistic(middle) -
                         (newGood + newBad) * Logistic(middle + aLogOddsShift);
    (slope > 0 ? low : high) = middle;
  }
  return LogLikelihood(oldGood, oldBad, low) + LogLikelihood(newGood, newBad, low + aLogOddsShift);
}

} // namespace

double LogLikelihoodRatio(const test_design& aDesign, const result_counts& aOld,
                          const result_counts& aNew)
{
  return MaxLogLikelihood(aOld, aNew, std::log(aDesign.mOddsRatio), aDesign.mBadRateFloor) -
         MaxLogLikelihood(aOld, aNew, 0, aDesign.mBadRateFloor);
}

test_verdict RunSequentialTest(const test_design& aDesign, const result_counts& aOld,
                               const result_counts& aNew)
{
  if (aOld.mGood + aOld.mBad < aDesign.mMinOldResults) {
    return test_verdict::Undecided;
  }
  // Wald's bounds. Each step runs its own test, so the probabilities of a false halt add up over
  // the steps.
  const double falseHalt = aDesign.mFalseHaltProbability / aDesign.mSteps;
  const double ratio = LogLikelihoodRatio(aDesign, aOld, aNew);
  if (ratio >= std::log((1 - aDesign.mMissProbability) / falseHalt)) {
    return test_verdict::Halt;
  }
  if (ratio <= std::log(aDesign.mMissProbability / (1 - falseHalt))) {
    return test_verdict::Accept;
  }
  return test_verdict::Undecided;
}

} // namespace tamarackweir::rollout
