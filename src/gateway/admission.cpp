#include "gateway/admission.h"

#include <algorithm>

namespace tamarackweir::gateway {

namespace {

constexpr double kPatience = 4;              ///< times the usual time before an attempt is given up
constexpr duration kShortestLimit = 80ms;    ///< a few round trips and a slot that is taken
constexpr double kTargetPart = 0.6;          ///< of the target latency that one attempt may take
constexpr std::uint64_t kMinSamples = 5;     ///< below it the usual time is not known
constexpr double kSmoothing = 0.1;           ///< weight of a new sample of the usual time
constexpr double kBudgetPart = 0.85;         ///< the rest is for windows that do not coincide

constexpr duration kShortestRetryAfter = 50ms;
constexpr duration kLongestRetryAfter = 1s;
constexpr double kRetryAfterPart = 0.25;     ///< of the caller's time; a third is honoured

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
      aHistory.mRuns >= aHistory.mMaxRuns || aHistory.mRefusals >= kMaxRefusals) {
    return false;
  }
  if (aResult == attempt_result::NotSent) {
    // Nothing reached a server, so the budget, which bounds arrivals, is not touched.
    return !aHistory.mDelivered && aNow < aHistory.mDeadline;
  }
  const overload::attempt attempt{ .mRepeatable = aHistory.mIsIdempotent,
                                   .mNotRun = aResult == attempt_result::NotRun,
                                   .mDelivered = aHistory.mDelivered,
                                   .mDeadline = aHistory.mDeadline,
                                   .mExpected = aHistory.mExpected };
  return overload::TakeRetry(aBudget, attempt, aNow);
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

duration AttemptLimit(const attempt_history& aHistory, const usual_time& aUsual, duration aTarget,
                      time_point aNow)
{
  const duration left = aHistory.mDeadline - aNow;
  const bool isLast = !aHistory.mIsIdempotent || aHistory.mRuns + 1 >= aHistory.mMaxRuns;
  if (isLast || aHistory.mDelivered) {
    return left;
  }
  const auto part = std::chrono::duration_cast<duration>(aTarget * kTargetPart);
  duration limit = part;
  if (aUsual.mSamples >= kMinSamples) {
    const auto usual = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(aUsual.mMs * kPatience));
    limit = std::max(usual, kShortestLimit);
  }
  return std::min(left, std::max(limit, part));
}

void RecordTime(usual_time& aUsual, duration aTime)
{
  const double milliseconds = std::chrono::duration<double, std::milli>(aTime).count();
  const double weight = aUsual.mSamples == 0 ? 1 : std::max(kSmoothing, 1.0 / (1.0 + static_cast<double>(aUsual.mSamples)));
  aUsual.mMs += weight * (milliseconds - aUsual.mMs);
  ++aUsual.mSamples;
}

overload::retry_budget& BudgetOf(gateway_state& aState, const service_id& aService)
{
  overload::retry_budget& budget = aState.mBudgets[aService];
  const double instances = std::max<double>(1, static_cast<double>(aState.mInstances.size()));
  budget.mRatio = aState.mOptions.mBounds.mRetryRatio * kBudgetPart;
  budget.mSlack = aState.mOptions.mBounds.mRetrySlack * kBudgetPart / instances;
  return budget;
}

} // namespace tamarackweir::gateway
