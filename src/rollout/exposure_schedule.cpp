#include "rollout/exposure_schedule.h"

#include <algorithm>

namespace tamarackweir::rollout {

double MaxCanaryShare(const schedule_options& aOptions)
{
  return aOptions.mCanaryPart * aOptions.mExposureBound;
}

exposure_schedule PlanExposure(duration aLength, const schedule_options& aOptions)
{
  constexpr double kLatestCanaryStart = 0.5;
  constexpr double kEarliestRamp = 0.5; // sessions keep their version in the first half
  const double length = std::max(1e-3, std::chrono::duration<double>(aLength).count());
  const auto fraction = [length](duration aTime) {
    return std::chrono::duration<double>(aTime).count() / length;
  };
  exposure_schedule schedule;
  schedule.mCanaryStart = std::min(kLatestCanaryStart, fraction(aOptions.mStartDelay));
  schedule.mRampEnd = std::max(kEarliestRamp, 1 - fraction(aOptions.mSettleTime));
  const double bound = aOptions.mExposureBound * (1 - aOptions.mReserve);
  const double settle = 1 - schedule.mRampEnd;
  const double canaryLength = std::max(1e-3, schedule.mRampEnd - schedule.mCanaryStart);
  const double largestCanary = MaxCanaryShare(aOptions);
  // A short shift has less left for its canary; without any, nothing would be known of the version.
  constexpr double kSmallestCanary = 0.2;
  schedule.mCanaryShare =
    std::clamp((bound - settle) / canaryLength, largestCanary * kSmallestCanary, largestCanary);
  const double left = bound - settle - schedule.mCanaryShare * canaryLength;
  const double ramp = std::max(0.0, 2 * left / (1 - schedule.mCanaryShare));
  schedule.mRampStart = std::max(kEarliestRamp, schedule.mRampEnd - ramp);
  return schedule;
}

double ShareAt(const exposure_schedule& aSchedule, double aElapsed, double aPassed)
{
  if (aElapsed < aSchedule.mCanaryStart) {
    return 0;
  }
  const double rampStart = std::max(aSchedule.mRampStart, aPassed);
  if (aPassed < 0 || aElapsed < rampStart) {
    return aSchedule.mCanaryShare;
  }
  if (aElapsed >= aSchedule.mRampEnd) {
    return 1;
  }
  const double progress = (aElapsed - rampStart) / (aSchedule.mRampEnd - rampStart);
  return aSchedule.mCanaryShare + (1 - aSchedule.mCanaryShare) * progress;
}

double ExpectedExposure(const exposure_schedule& aSchedule)
{
  const double canary = aSchedule.mCanaryShare * (aSchedule.mRampStart - aSchedule.mCanaryStart);
  const double ramp =
    (1 + aSchedule.mCanaryShare) / 2 * (aSchedule.mRampEnd - aSchedule.mRampStart);
  return canary + ramp + (1 - aSchedule.mRampEnd);
}

} // namespace tamarackweir::rollout
