#pragma once

#include "base/clock.h"

#include <cstdint>

namespace tamarackweir::gateway {

/// Running quantile of a time, which a few very late answers do not move.
struct quantile_estimate
{
  double mMs = 0;
  std::uint64_t mSamples = 0;
};

/// Adds a sample; the estimate settles within some dozens of them.
/// \param aQuantile in (0, 1); 0.5 is the median. The same for all samples of an estimate.
void RecordQuantile(quantile_estimate& aEstimate, double aQuantile, duration aTime);

} // namespace tamarackweir::gateway
