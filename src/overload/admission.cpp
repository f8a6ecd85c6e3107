#include "overload/admission.h"

#include <algorithm>
#include <cmath>

namespace tamarackweir::overload {

namespace {

/// Weight of one sample in the exponential moving averages, an effective window of 20 samples.
constexpr double kMeanWeight = 0.05;
/// A window with fewer than `mMinSamples` answers is evaluated after this time.
constexpr duration kMaxWindow = 1s;

double Micros(duration aTime)
{
  return static_cast<double>(aTime.count());
}

duration FromMicros(double aTime)
{
  return duration(static_cast<std::int64_t>(aTime));
}

void Initialise(admission_state& aState, time_point aNow)
{
  if (aState.mLimit <= 0) {
    aState.mLimit = aState.mOptions.mInitialLimit;
    aState.mBaselineStart = aNow;
    aState.mLastAdjust = aNow;
  }
}

std::size_t EffectiveLimit(const admission_state& aState, time_point aNow)
{
  const double factor = aNow < aState.mProbeUntil ? aState.mOptions.mProbeFactor : 1.0;
  return static_cast<std::size_t>(std::max(aState.mOptions.mMinLimit, aState.mLimit * factor));
}

/// Expected queueing time of a request with `aAhead` requests ahead of it.
duration ExpectedWait(const admission_state& aState, std::size_t aAhead)
{
  return FromMicros(static_cast<double>(aAhead) * aState.mMeanTotal / aState.mLimit);
}

/// Estimate of the 90th percentile of the service time. With the mean instead, about half of the
/// requests dispatched just before their deadline would time out and waste server capacity.
duration ServiceTimeBound(const admission_state& aState)
{
  return FromMicros(aState.mMeanTotal + 2 * aState.mTotalDeviation);
}

bool CanMeetDeadline(const admission_state& aState, const arrival& aArrival, std::size_t aAhead,
                     time_point aNow)
{
  return aNow + ExpectedWait(aState, aAhead) + ServiceTimeBound(aState) < aArrival.mDeadline;
}

std::size_t QueuedAtOrAbove(const admission_state& aState, priority aPriority)
{
  std::size_t count = 0;
  for (auto i = static_cast<std::size_t>(aPriority); i < kPriorityCount; ++i) {
    count += aState.mQueue[i].size();
  }
  return count;
}

void Refuse(const admission_state& aState, const arrival& aArrival, refusal_reason aReason,
            admission_actions& aOut)
{
  const duration drainTime = ExpectedWait(aState, QueueLength(aState) + 1);
  aOut.mRefuse.push_back({ aArrival.mRequest, aReason, std::max(drainTime, duration(100ms)) });
}

void DispatchQueued(admission_state& aState, admission_actions& aOut, time_point aNow)
{
  for (std::size_t i = kPriorityCount; i-- > 0;) {
    auto& queue = aState.mQueue[i];
    while (!queue.empty() && aState.mInFlight < EffectiveLimit(aState, aNow)) {
      const arrival next = queue.front();
      queue.pop_front();
      if (CanMeetDeadline(aState, next, 0, aNow)) {
        ++aState.mInFlight;
        aOut.mDispatch.push_back(next.mRequest);
      } else {
        Refuse(aState, next, refusal_reason::Deadline, aOut);
      }
    }
  }
}

void RotateBaseline(admission_state& aState, duration aInterval, time_point aNow)
{
  if (aNow - aState.mBaselineStart < aState.mOptions.mBaselineWindow) {
    return;
  }
  aState.mPreviousBaseline = aState.mCurrentBaseline;
  aState.mCurrentBaseline.reset();
  aState.mBaselineStart = aNow;
  if (aState.mLimitReachedInWindow) {
    // The first interval still has answers from before the probe; the second one measures.
    aState.mProbeUntil = aNow + 2 * aInterval;
  }
  aState.mLimitReachedInWindow = false;
}

void Adjust(admission_state& aState, time_point aNow)
{
  // A new limit affects first-token times only after one such time; earlier changes would add up.
  const duration interval =
    std::max(aState.mOptions.mAdjustInterval, FromMicros(aState.mMeanFirstToken));
  RotateBaseline(aState, interval, aNow);
  const duration elapsed = aNow - aState.mLastAdjust;
  const std::size_t answers = aState.mFirstTokens.size() + aState.mFailures;
  const bool enough = answers >= aState.mOptions.mMinSamples || elapsed >= kMaxWindow;
  if (elapsed < interval || answers == 0 || !enough) {
    return;
  }
  auto& times = aState.mFirstTokens;
  bool isDelayed = aState.mFailures * 4 > answers;
  if (!times.empty()) {
    const auto quartile = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 4);
    std::nth_element(times.begin(), quartile, times.end());
    auto& lowest = aState.mCurrentBaseline;
    lowest = lowest ? std::min(*lowest, *quartile) : *quartile;
    const duration baseline = std::min(*lowest, aState.mPreviousBaseline.value_or(*lowest));
    isDelayed = isDelayed || *quartile - baseline > aState.mOptions.mTargetDelay;
  }
  const bool isProbing = aNow < aState.mProbeUntil;
  if (isDelayed && !isProbing) {
    aState.mLimit = std::max(aState.mOptions.mMinLimit, aState.mLimit * aState.mOptions.mDecrease);
  } else if (aState.mLimitReached && !isProbing) {
    aState.mLimit = std::min(aState.mOptions.mMaxLimit, aState.mLimit + aState.mOptions.mIncrease);
  }
  times.clear();
  aState.mFailures = 0;
  aState.mLimitReached = false;
  aState.mLastAdjust = aNow;
}

void UpdateMean(double& aMean, duration aTime)
{
  aMean = aMean <= 0 ? Micros(aTime) : aMean + kMeanWeight * (Micros(aTime) - aMean);
}

} // namespace

admission_actions OnArrival(admission_state& aState, const arrival& aArrival, time_point aNow)
{
  Initialise(aState, aNow);
  admission_actions result;
  const bool isProbeRequest = static_cast<double>(aState.mInFlight) < aState.mOptions.mMinLimit;
  if (aNow < aArrival.mDeadline && isProbeRequest) {
    ++aState.mInFlight;
    result.mDispatch.push_back(aArrival.mRequest);
    return result;
  }
  const std::size_t ahead = QueuedAtOrAbove(aState, aArrival.mPriority);
  const bool hasPlace = ahead == 0 && aState.mInFlight < EffectiveLimit(aState, aNow);
  if (!CanMeetDeadline(aState, aArrival, hasPlace ? 0 : ahead + 1, aNow)) {
    Refuse(aState, aArrival, refusal_reason::Deadline, result);
    return result;
  }
  if (hasPlace) {
    ++aState.mInFlight;
    result.mDispatch.push_back(aArrival.mRequest);
    return result;
  }
  aState.mLimitReached = true;
  aState.mLimitReachedInWindow = true;
  if (QueueLength(aState) >= aState.mOptions.mMaxQueue) {
    const auto lower =
      std::find_if(aState.mQueue.begin(),
                   aState.mQueue.begin() + static_cast<std::ptrdiff_t>(aArrival.mPriority),
                   [](const auto& aQueue) { return !aQueue.empty(); });
    if (lower == aState.mQueue.begin() + static_cast<std::ptrdiff_t>(aArrival.mPriority)) {
      Refuse(aState, aArrival, refusal_reason::QueueFull, result);
      return result;
    }
    Refuse(aState, lower->back(), refusal_reason::QueueFull, result);
    lower->pop_back();
  }
  aState.mQueue[static_cast<std::size_t>(aArrival.mPriority)].push_back(aArrival);
  return result;
}

admission_actions OnCompletion(admission_state& aState, const completion& aCompletion,
                               time_point aNow)
{
  Initialise(aState, aNow);
  aState.mLimitReached = aState.mLimitReached || aState.mInFlight >= EffectiveLimit(aState, aNow);
  aState.mInFlight -= std::min<std::size_t>(aState.mInFlight, 1);
  if (aCompletion.mSucceeded) {
    aState.mFirstTokens.push_back(aCompletion.mFirstToken);
    UpdateMean(aState.mMeanFirstToken, aCompletion.mFirstToken);
    // Initialises the deviation to half of the first sample, as RFC 6298 does for RTTVAR.
    if (aState.mMeanTotal <= 0) {
      aState.mTotalDeviation = Micros(aCompletion.mTotal) / 2;
    } else {
      const double distance = std::abs(Micros(aCompletion.mTotal) - aState.mMeanTotal);
      aState.mTotalDeviation += kMeanWeight * (distance - aState.mTotalDeviation);
    }
    UpdateMean(aState.mMeanTotal, aCompletion.mTotal);
  } else {
    ++aState.mFailures;
  }
  Adjust(aState, aNow);
  admission_actions result;
  DispatchQueued(aState, result, aNow);
  return result;
}

bool OnCallerGone(admission_state& aState, const request_id& aRequest)
{
  for (auto& queue : aState.mQueue) {
    const auto found = std::find_if(queue.begin(), queue.end(), [&](const arrival& aQueued) {
      return aQueued.mRequest == aRequest;
    });
    if (found != queue.end()) {
      queue.erase(found);
      return true;
    }
  }
  return false;
}

admission_actions OnTick(admission_state& aState, time_point aNow)
{
  Initialise(aState, aNow);
  Adjust(aState, aNow);
  admission_actions result;
  for (std::size_t i = kPriorityCount; i-- > 0;) {
    std::size_t ahead =
      i + 1 < kPriorityCount ? QueuedAtOrAbove(aState, static_cast<priority>(i + 1)) : 0;
    std::deque<arrival> kept;
    for (const arrival& queued : aState.mQueue[i]) {
      if (CanMeetDeadline(aState, queued, ahead, aNow)) {
        kept.push_back(queued);
        ++ahead;
      } else {
        Refuse(aState, queued, refusal_reason::Deadline, result);
      }
    }
    aState.mQueue[i] = std::move(kept);
  }
  DispatchQueued(aState, result, aNow);
  return result;
}

std::size_t QueueLength(const admission_state& aState)
{
  return QueuedAtOrAbove(aState, priority::Low);
}

} // namespace tamarackweir::overload
