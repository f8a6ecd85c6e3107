#include "gateway/admission.h"

#include "net/loop.h"

#include <algorithm>
#include <utility>

namespace tamarackweir::gateway {

namespace {

constexpr double kOverdueFactor = 4;       ///< times the usual latency
constexpr duration kMinPlainWait = 80ms;   ///< a few round trips and a wait for a slot
constexpr duration kMinStreamWait = 400ms; ///< a busy engine's step takes up to half of this
constexpr std::uint64_t kMinSamples = 5;   ///< until then the latency counts as unknown
constexpr double kSmoothing = 0.1;         ///< weight of a new latency sample
constexpr double kBudgetPart = 0.85;       ///< margin for lists of instances that are out of date

constexpr duration kMinRetryAfter = 50ms; ///< several round trips

duration PartOf(duration aTime, double aPart)
{
  return std::chrono::duration_cast<duration>(aTime * aPart);
}

} // namespace

bool IsCertainlyNotRun(attempt_result aResult)
{
  return aResult == attempt_result::NoServer || aResult == attempt_result::NotSent ||
         aResult == attempt_result::NotRun;
}

bool MayRetry(attempt_result aResult, const attempt_history& aHistory,
              overload::retry_budget& aBudget, time_point aNow)
{
  if (aResult == attempt_result::NoServer || aResult == attempt_result::Success ||
      aHistory.mRuns >= aHistory.mMaxRuns || aHistory.mRefusals >= kMaxRefusals ||
      aHistory.mNotSent >= kMaxNotSent || aHistory.mCrashes >= kMaxCrashes) {
    return false;
  }
  if (aResult == attempt_result::NotSent) {
    // The budget bounds requests that reach servers, so a failed connect is not charged.
    return !aHistory.mDelivered && aNow < aHistory.mDeadline;
  }
  const overload::attempt attempt{ .mIdempotent = aHistory.mIsIdempotent,
                                   .mNotRun = aResult == attempt_result::NotRun,
                                   .mResponseStarted = aHistory.mDelivered,
                                   .mDeadline = aHistory.mDeadline,
                                   .mExpectedDuration = aHistory.mExpected };
  return overload::TryOpenRetry(aBudget, attempt, aNow);
}

std::optional<duration> RetryAfter(const retry_outlook& aOutlook, double aPoint)
{
  const duration opensIn = std::max(aOutlook.mOpensIn, duration::zero());
  const duration turnover = std::max(aOutlook.mAnswerTime, kMinRetryAfter);
  const duration earliest = opensIn + turnover;
  const duration latest = aOutlook.mTimeLeft - aOutlook.mAnswerTime;
  if (earliest > latest) {
    return std::nullopt;
  }
  // Half of the time after the first opening stays for the answer.
  const duration spread = std::min(std::max(opensIn, turnover), (latest - earliest) / 2);
  return earliest + PartOf(spread, aPoint);
}

std::optional<duration> RetryAfterOutage(duration aOutage, std::optional<duration> aTimeLeft,
                                         double aPoint)
{
  const duration wait = std::max(kMinRetryAfter, PartOf(aOutage, aPoint));
  return aTimeLeft && wait >= *aTimeLeft ? std::nullopt : std::optional(wait);
}

refusal RefusalAfter(attempt_result aResult, bool aAnyRun, const retry_outlook& aOutlook,
                     double aPoint)
{
  if (aAnyRun) {
    if (aResult == attempt_result::TimedOut) {
      return { .mStatus = 504, .mTitle = "no answer in time", .mNotRun = false };
    }
    return { .mStatus = 502, .mTitle = "the backend server broke off", .mNotRun = false };
  }
  return { .mTitle = "no backend server took the request",
           .mRetryAfter = RetryAfter(aOutlook, aPoint) };
}

bool IsAcceptedWhileStopping(duration aLongest, duration aLeft)
{
  return aLongest < aLeft;
}

duration OverdueAfter(const attempt_history& aHistory, const latency_estimate& aLatency,
                      routing::call_kind aKind, time_point aNow)
{
  const duration left = std::max(aHistory.mDeadline - aNow, duration::zero());
  const int attemptsLeft = aHistory.mMaxRuns - aHistory.mRuns + 1; // with this one
  if (!aHistory.mIsIdempotent || attemptsLeft <= 1 || aHistory.mDelivered) {
    return left;
  }
  if (!IsKnown(aLatency)) {
    return left / attemptsLeft;
  }
  const duration least = aKind == routing::call_kind::Stream ? kMinStreamWait : kMinPlainWait;
  return std::min(
    left,
    std::max(least, std::chrono::duration_cast<duration>(
                      std::chrono::duration<double, std::milli>(aLatency.mMs * kOverdueFactor))));
}

duration NextCheck(duration aWaited, duration aLeft)
{
  return std::min(aLeft, std::max<duration>(1ms, 2 * aWaited));
}

bool MovesOn(const overdue_wait& aWait)
{
  return aWait.mElsewhere && aWait.mElsewhere->mAnswersIn < aWait.mLeft &&
         (!aWait.mIsReachable || aWait.mElsewhere->mCost < aWait.mWaited);
}

bool IsKnown(const latency_estimate& aLatency)
{
  return aLatency.mSamples >= kMinSamples;
}

void RecordLatency(latency_estimate& aLatency, duration aTime)
{
  const double milliseconds = std::chrono::duration<double, std::milli>(aTime).count();
  const double weight =
    aLatency.mSamples == 0
      ? 1
      : std::max(kSmoothing, 1.0 / (1.0 + static_cast<double>(aLatency.mSamples)));
  aLatency.mMs += weight * (milliseconds - aLatency.mMs);
  ++aLatency.mSamples;
}

void SetInstances(gateway_state& aState, std::vector<std::string> aInstances, time_point aNow)
{
  // The list was in force until now, also if no request has asked for the budget lately.
  overload::MostOf(aState.mMostInstances, static_cast<double>(aState.mInstances.size()),
                   aState.mOptions.mBounds.mRetryWindow, aNow);
  aState.mInstances = std::move(aInstances);
  aState.mKnowsInstances = true;
}

std::shared_ptr<overload::retry_budget> BudgetOf(gateway_state& aState, const service_id& aService,
                                                 time_point aNow)
{
  std::shared_ptr<overload::retry_budget>& budget = aState.mBudgets[aService];
  if (budget == nullptr) {
    budget = std::make_shared<overload::retry_budget>();
  }
  const deployment_bounds& bounds = aState.mOptions.mBounds;
  // Instances that have left may have spent their parts in this window.
  const double instances =
    overload::MostOf(aState.mMostInstances, static_cast<double>(aState.mInstances.size()),
                     bounds.mRetryWindow, aNow);
  // What ran here before this start may have spent its part as well, and is not known.
  const bool hasPart = aState.mKnowsInstances && aNow >= aState.mStartedAt + bounds.mRetryWindow;
  budget->mWindow = bounds.mRetryWindow;
  budget->mRatio = bounds.mRetryRatio * kBudgetPart;
  budget->mFixedAllowance =
    hasPart ? bounds.mRetrySlack * kBudgetPart / std::max(1.0, instances) : 0;
  budget->mAllowsFirst = false;
  return budget;
}

charged_retry::charged_retry(std::shared_ptr<overload::retry_budget> aBudget)
  : mBudget(std::move(aBudget))
{
}

charged_retry::~charged_retry()
{
  Settle();
}

charged_retry& charged_retry::operator=(charged_retry&& aOther) noexcept
{
  Settle();
  mBudget = std::move(aOther.mBudget);
  return *this;
}

void charged_retry::Settle()
{
  if (const auto budget = std::exchange(mBudget, nullptr)) {
    overload::SettleRetry(*budget, net::Now());
  }
}

} // namespace tamarackweir::gateway
