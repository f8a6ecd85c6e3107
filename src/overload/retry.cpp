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
    aBudget.mRetries[slot] = 0;
  }
  aBudget.mNewestSlot = std::max(aBudget.mNewestSlot, current);
}

std::size_t Slot(const retry_budget& aBudget)
{
  return static_cast<std::size_t>(aBudget.mNewestSlot) % retry_budget::kSlots;
}

bool TryCharge(retry_budget& aBudget, time_point aNow)
{
  const budget_use use = UseOf(aBudget, aNow);
  const bool isUnused = aBudget.mRatio > 0 && use.mRetries < 1;
  if (!isUnused && use.mRetries + 1 > use.mMost) {
    return false;
  }
  ++aBudget.mRetries[Slot(aBudget)];
  return true;
}

bool HasTimeForAttempt(const attempt& aAttempt, time_point aNow)
{
  return aNow + aAttempt.mExpectedDuration < aAttempt.mDeadline;
}

} // namespace

budget_use UseOf(retry_budget& aBudget, time_point aNow)
{
  AdvanceWindow(aBudget, aNow);
  const auto sum = [](const auto& aSlots) {
    return std::accumulate(aSlots.begin(), aSlots.end(), 0.0);
  };
  const double requests = sum(aBudget.mRequests);
  return { .mRequests = requests,
           .mRetries = sum(aBudget.mRetries),
           .mMost = aBudget.mRatio * requests + aBudget.mFixedAllowance };
}

void OnRequest(retry_budget& aBudget, time_point aNow)
{
  AdvanceWindow(aBudget, aNow);
  ++aBudget.mRequests[Slot(aBudget)];
}

bool TryAcquireRetry(retry_budget& aBudget, const attempt& aAttempt, time_point aNow)
{
  const bool isSafe = aAttempt.mIdempotent || aAttempt.mNotRun;
  return isSafe && !aAttempt.mResponseStarted && HasTimeForAttempt(aAttempt, aNow) &&
         TryCharge(aBudget, aNow);
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
