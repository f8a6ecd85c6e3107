#include "gateway/admission.h"

#include <algorithm>

namespace tamarackweir::gateway {

namespace {

constexpr double kPatience = 4;            ///< times the usual time before an attempt is given up
constexpr duration kShortestLimit = 80ms;  ///< a few round trips and a slot that is taken
constexpr double kTargetPart = 0.6;        ///< of the target latency that one attempt may take
constexpr double kStreamMovePart = 0.9;    ///< of the target latency; then the answer is late here
constexpr duration kShortestProbe = 400ms; ///< a step of a busy engine takes up to half of it
constexpr std::uint64_t kMinSamples = 5;   ///< below it the usual time is not known
constexpr double kSmoothing = 0.1;         ///< weight of a new sample of the usual time
constexpr double kBudgetPart = 0.85;       ///< the rest is for windows that do not coincide

constexpr duration kShortestRetryAfter = 50ms;
constexpr duration kLongestRetryAfter = 1s;
constexpr double kRetryAfterPart = 0.25; ///< of the caller's time; a third is honoured

} // namespace

bool IsCertainlyNotRun(attempt_result aResult)
{
  return aResult == attempt_result::NoServer || aResult == attempt_result::NotSent ||
         aResult == attempt_result::NotRun;
}

bool MaySendAgain(attempt_result aResult, const attempt_history& aHistory,
                  overload::retry_budget& aBudget, time_point aNow)
{
  if (aResult == attempt_result::NoServer || aResult == attempt_result::Success ||
      aHistory.mRuns >= aHistory.mMaxRuns || aHistory.mRefusals >= kMaxRefusals ||
      aHistory.mNotSent >= kMaxNotSent) {
    return false;
  }
  if (aResult == attempt_result::NotSent) {
    // Nothing reached a server, so the budget, which bounds arrivals, is not touched.
    return !aHistory.mDelivered && aNow < aHistory.mDeadline;
  }
  const overload::attempt attempt{ .mIdempotent = aHistory.mIsIdempotent,
                                   .mNotRun = aResult == attempt_result::NotRun,
                                   .mResponseStarted = aHistory.mDelivered,
                                   .mDeadline = aHistory.mDeadline,
                                   .mExpectedDuration = aHistory.mExpected };
  return overload::TryAcquireRetry(aBudget, attempt, aNow);
}

refusal RefusalAfter(attempt_result aResult, bool aAnyRun, duration aTimeLeft, double aPoint)
{
  if (aAnyRun) {
    if (aResult == attempt_result::Silent) {
      return { .mStatus = 504, .mTitle = "no answer in time", .mNotRun = false };
    }
    return { .mStatus = 502, .mTitle = "the backend server broke off", .mNotRun = false };
  }
  refusal result{ .mTitle = "no backend server took the request" };
  const duration most = std::min<duration>(
    kLongestRetryAfter, std::chrono::duration_cast<duration>(aTimeLeft * kRetryAfterPart));
  if (most > kShortestRetryAfter) {
    const auto spread = std::chrono::duration_cast<duration>((most - kShortestRetryAfter) * aPoint);
    result.mRetryAfter = kShortestRetryAfter + spread;
  }
  return result;
}

bool IsTakenWhileStopping(routing::call_kind aKind, duration aLongest, duration aLeft,
                          duration aGrace)
{
  constexpr double kStreamPart = 0.7; // Two of the platform's checks fit into what is before.
  if (aKind == routing::call_kind::Stream) {
    return aLeft > std::chrono::duration_cast<duration>(aGrace * kStreamPart);
  }
  return aLongest < aLeft;
}

attempt_limits LimitsOf(const attempt_history& aHistory, const usual_time& aUsual,
                        const routing::route& aRoute, time_point aNow)
{
  const duration left = std::max(aHistory.mDeadline - aNow, duration::zero());
  const bool isLast = !aHistory.mIsIdempotent || aHistory.mRuns >= aHistory.mMaxRuns;
  if (isLast || aHistory.mDelivered) {
    return { .mProbe = left, .mMove = left };
  }
  const auto part = [&aRoute](double aPart) {
    return std::chrono::duration_cast<duration>(aRoute.mTargetLatency * aPart);
  };
  const bool isKnown = aUsual.mSamples >= kMinSamples;
  const auto patient = std::chrono::duration_cast<duration>(
    std::chrono::duration<double, std::milli>(isKnown ? aUsual.mMs * kPatience : 0));
  if (aRoute.mKind != routing::call_kind::Stream) {
    const duration limit = std::min(left, std::max({ patient, kShortestLimit, part(kTargetPart) }));
    return { .mProbe = limit, .mMove = limit };
  }
  const duration move = std::min(left, std::max(patient, part(kStreamMovePart)));
  const duration probe =
    std::min(move, isKnown ? std::max(patient, kShortestProbe) : part(kTargetPart));
  return { .mProbe = probe, .mMove = move };
}

void RecordTime(usual_time& aUsual, duration aTime)
{
  const double milliseconds = std::chrono::duration<double, std::milli>(aTime).count();
  const double weight =
    aUsual.mSamples == 0 ? 1
                         : std::max(kSmoothing, 1.0 / (1.0 + static_cast<double>(aUsual.mSamples)));
  aUsual.mMs += weight * (milliseconds - aUsual.mMs);
  ++aUsual.mSamples;
}

overload::retry_budget& BudgetOf(gateway_state& aState, const service_id& aService)
{
  overload::retry_budget& budget = aState.mBudgets[aService];
  const double instances = std::max<double>(1, static_cast<double>(aState.mInstances.size()));
  budget.mRatio = aState.mOptions.mBounds.mRetryRatio * kBudgetPart;
  budget.mFixedAllowance = aState.mOptions.mBounds.mRetrySlack * kBudgetPart / instances;
  return budget;
}

} // namespace tamarackweir::gateway
