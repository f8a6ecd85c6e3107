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

double LoadStepShare(std::size_t aNewServers, double aLoad, const schedule_options& aOptions)
{
  const auto servers = static_cast<double>(std::max<std::size_t>(1, aNewServers));
  return std::min(aOptions.mLargestStep, aLoad / servers);
}

exposure_schedule PlanExposure(duration aLength, double aCanaryShare,
                               const schedule_options& aOptions, const load_step& aStep)
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
  double left = std::max(0.0, bound - schedule.mCanaryShare * canaryLength);
  schedule.mLoadShare = schedule.mCanaryShare;
  double step = 0;
  if (const double more = aStep.mShare - schedule.mCanaryShare; more > 0) {
    step = std::min(fraction(aStep.mLength), (left - settle) * aOptions.mLoadPart / more);
    if (step >= fraction(aOptions.mShortestStep)) {
      schedule.mLoadShare = aStep.mShare;
      left -= step * more;
    } else {
      step = 0;
    }
  }
  const double drain = std::max(settle, left * aOptions.mDrainPart);
  const double ramp =
    std::max(0.0, (left - drain) / ((1 + schedule.mLoadShare) / 2 - schedule.mCanaryShare));
  schedule.mRampEnd = std::max(kEarliestRamp, 1 - drain);
  schedule.mRampStart = std::max(kEarliestRamp, schedule.mRampEnd - ramp);
  schedule.mLoadStart = std::max(kEarliestRamp, schedule.mRampStart - step);
  return schedule;
}

double CanaryShareBeforeLoad(duration aLength, double aCanaryShare, double aLoadShare,
                             const schedule_options& aOptions)
{
  const double length = std::max(1e-3, std::chrono::duration<double>(aLength).count());
  const double settle = std::chrono::duration<double>(aOptions.mSettleTime).count() / length;
  const double spare = aOptions.mExposureBound * (1 - aOptions.mReserve) - settle;
  const double canaryStart = PlanExposure(aLength, aCanaryShare, aOptions).mCanaryStart;
  const double reduced =
    std::min(aCanaryShare, spare * aOptions.mCanaryBeforeLoad / (1 - canaryStart));
  return reduced > 0 &&
             HasLoadStep(PlanExposure(aLength, reduced, aOptions,
                                      { .mShare = aLoadShare, .mLength = aOptions.mShortestStep }))
           ? reduced
           : aCanaryShare;
}

double ShareAt(const exposure_schedule& aSchedule, double aElapsed, double aPassed)
{
  if (aElapsed < aSchedule.mCanaryStart) {
    return 0;
  }
  const double rampStart = std::max(aSchedule.mRampStart, aPassed);
  if (aPassed < 0 || aElapsed < rampStart) {
    return aElapsed < aSchedule.mLoadStart ? aSchedule.mCanaryShare : aSchedule.mLoadShare;
  }
  if (aElapsed >= aSchedule.mRampEnd) {
    return 1;
  }
  const double progress = (aElapsed - rampStart) / (aSchedule.mRampEnd - rampStart);
  return aSchedule.mLoadShare + (1 - aSchedule.mLoadShare) * progress;
}

double ExpectedExposure(const exposure_schedule& aSchedule)
{
  const double canary = aSchedule.mCanaryShare * (aSchedule.mLoadStart - aSchedule.mCanaryStart);
  const double step = aSchedule.mLoadShare * (aSchedule.mRampStart - aSchedule.mLoadStart);
  const double ramp = (1 + aSchedule.mLoadShare) / 2 * (aSchedule.mRampEnd - aSchedule.mRampStart);
  return canary + step + ramp + (1 - aSchedule.mRampEnd);
}

} // namespace tamarackweir::rollout
