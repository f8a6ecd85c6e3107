#include "rollout/exposure_schedule.h"

#include <algorithm>

namespace tamarackweir::rollout {

double MaxCanaryShare(const schedule_options& aOptions)
{
  return aOptions.mCanaryPart * aOptions.mExposureBound;
}

double CanaryShareFor(std::size_t aServers, const schedule_options& aOptions)
{
  return std::min(MaxCanaryShare(aOptions),
                  aOptions.mCanaryServers /
                    static_cast<double>(std::max<std::size_t>(1, aServers)));
}

exposure_schedule PlanExposure(duration aLength, double aCanaryShare,
                               const schedule_options& aOptions)
{
  constexpr double kLatestCanaryStart = 0.5;
  constexpr double kEarliestRamp = 0.5; // sessions keep their version in the first half
  const double length = std::max(1e-3, std::chrono::duration<double>(aLength).count());
  const auto fraction = [length](duration aTime) {
    return std::chrono::duration<double>(aTime).count() / length;
  };
  exposure_schedule schedule;
  schedule.mCanaryStart = std::min(kLatestCanaryStart, fraction(aOptions.mStartDelay));
  const double settle = fraction(aOptions.mSettleTime);
  schedule.mSuccess = std::max(kEarliestRamp, 1 - settle);
  const double bound = aOptions.mExposureBound * (1 - aOptions.mReserve);
  const double canaryLength = 1 - schedule.mCanaryStart;
  // A short shift has less left for its canary; without any, nothing would be known of the version.
  constexpr double kSmallestCanary = 0.2;
  const double wanted = std::min(aCanaryShare, MaxCanaryShare(aOptions));
  schedule.mCanaryShare =
    std::clamp((bound - settle) / canaryLength, wanted * kSmallestCanary, wanted);
  const double left = std::max(0.0, bound - schedule.mCanaryShare * canaryLength);
  const double drain = std::max(settle, left * aOptions.mDrainPart);
  const double ramp = std::max(0.0, 2 * (left - drain) / (1 - schedule.mCanaryShare));
  schedule.mRampEnd = std::max(kEarliestRamp, 1 - drain);
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
