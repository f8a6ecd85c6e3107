#include "gateway/quantile_estimate.h"

#include <cmath>

namespace tamarackweir::gateway {

void RecordQuantile(quantile_estimate& aEstimate, double aQuantile, duration aTime)
{
  constexpr double kStep = 1.08; // factor of the median's steps
  const double ms = std::chrono::duration<double, std::milli>(aTime).count();
  if (++aEstimate.mSamples == 1) {
    aEstimate.mMs = ms;
    return;
  }
  // In balance where samples above, times the step up, equal samples below, times the step down.
  const double steps = ms > aEstimate.mMs ? 2 * aQuantile : -2 * (1 - aQuantile);
  aEstimate.mMs *= std::pow(kStep, steps);
}

} // namespace tamarackweir::gateway
