#include "overload/retry.h"

#include <algorithm>
#include <numeric>

namespace tamarackweir::overload {

namespace {

/// Moves the sliding window to the current slot and clears the expired ones.
void AdvanceWindow(retry_budget& aBudget, time_point aNow)
{
  const auto slots = static_cast<std::int64_t>(retry_budget::kSlots);
  const std::int64_t current = aNow.time_since_epoch() / (aBudget.mWindow / slots);
  const std::int64_t passed = std::min(current - aBudget.mNewestSlot, slots);
  for (std::int64_t i = 0; i < passed; ++i) {
    const auto slot = static_cast<std::size_t>((current - i) % slots);
    aBudget.mRequests[slot] = 0;
  }
  aBudget.mNewestSlot = std::max(aBudget.mNewestSlot, current);
  while (!aBudget.mRetries.empty() && aBudget.mRetries.front() <= aNow - aBudget.mWindow) {
    aBudget.mRetries.pop_front();
  }
}

std::size_t Slot(const retry_budget& aBudget)
{
  return static_cast<std::size_t>(aBudget.mNewestSlot) % retry_budget::kSlots;
}

bool HasRoom(retry_budget& aBudget, time_point aNow)
{
  const budget_use use = UseOf(aBudget, aNow);
  const bool isFirst = aBudget.mAllowsFirst && aBudget.mRatio > 0 && use.mRetries < 1;
  return isFirst || use.mRetries + 1 <= use.mMost;
}

bool TryCharge(retry_budget& aBudget, time_point aNow)
{
  if (!HasRoom(aBudget, aNow)) {
    return false;
  }
  aBudget.mRetries.push_back(aNow);
  return true;
}

bool HasTimeForAttempt(const attempt& aAttempt, time_point aNow)
{
  return aNow + aAttempt.mExpectedDuration < aAttempt.mDeadline;
}

bool IsRetryable(const attempt& aAttempt, time_point aNow)
{
  const bool isSafe = aAttempt.mIdempotent || aAttempt.mNotRun;
  return isSafe && !aAttempt.mResponseStarted && HasTimeForAttempt(aAttempt, aNow);
}

} // namespace

budget_use UseOf(retry_budget& aBudget, time_point aNow)
{
  AdvanceWindow(aBudget, aNow);
  const double requests = std::accumulate(aBudget.mRequests.begin(), aBudget.mRequests.end(), 0.0);
  return { .mRequests = requests,
           .mRetries = static_cast<double>(aBudget.mRetries.size()) + aBudget.mOpenRetries,
           .mMost = aBudget.mRatio * requests + aBudget.mFixedAllowance };
}

void OnRequest(retry_budget& aBudget, time_point aNow)
{
  AdvanceWindow(aBudget, aNow);
  ++aBudget.mRequests[Slot(aBudget)];
}

bool TryAcquireRetry(retry_budget& aBudget, const attempt& aAttempt, time_point aNow)
{
  return IsRetryable(aAttempt, aNow) && TryCharge(aBudget, aNow);
}

bool TryOpenRetry(retry_budget& aBudget, const attempt& aAttempt, time_point aNow)
{
  if (!IsRetryable(aAttempt, aNow) || !HasRoom(aBudget, aNow)) {
    return false;
  }
  ++aBudget.mOpenRetries;
  return true;
}

void SettleRetry(retry_budget& aBudget, time_point aNow)
{
  aBudget.mOpenRetries -= std::min<std::uint32_t>(aBudget.mOpenRetries, 1);
  aBudget.mRetries.push_back(aNow);
}

double MostOf(recent_most& aMost, double aValue, duration aWindow, time_point aNow)
{
  while (!aMost.mValues.empty() && aMost.mValues.back().second <= aValue) {
    aMost.mValues.pop_back();
  }
  aMost.mValues.emplace_back(aNow, aValue);
  while (aMost.mValues.front().first <= aNow - aWindow) {
    aMost.mValues.pop_front();
  }
  return aMost.mValues.front().second;
}

void OnFirstToken(hedge_state& aState, duration aFirstToken)
{
  if (aState.mFirstTokenTimes.size() < aState.mCapacity) {
    aState.mFirstTokenTimes.push_back(aFirstToken);
  } else {
    aState.mFirstTokenTimes[aState.mNext] = aFirstToken;
  }
  aState.mNext = (aState.mNext + 1) % aState.mCapacity;
}

std::optional<duration> HedgeDelay(const hedge_state& aState)
{
  if (aState.mFirstTokenTimes.size() < aState.mMinSamples) {
    return std::nullopt;
  }
  auto times = aState.mFirstTokenTimes;
  const auto p95 = times.begin() + static_cast<std::ptrdiff_t>(times.size() * 95 / 100);
  std::nth_element(times.begin(), p95, times.end());
  return *p95;
}

bool TryAcquireHedge(const hedge_state& aState, retry_budget& aBudget, const attempt& aAttempt,
                     duration aWaited, bool aOverloaded, time_point aNow)
{
  const auto delay = HedgeDelay(aState);
  return aAttempt.mIdempotent && !aAttempt.mResponseStarted && !aOverloaded && delay &&
         aWaited >= *delay && HasTimeForAttempt(aAttempt, aNow) && TryCharge(aBudget, aNow);
}

} // namespace tamarackweir::overload
