#include "overload/retry.h"

#include <algorithm>
#include <numeric>

namespace tamarackweir::overload {

namespace {

/// Clears the slots of the seconds that passed.
void Advance(retry_budget& aBudget, time_point aNow)
{
  const std::int64_t second =
    std::chrono::duration_cast<std::chrono::seconds>(aNow.time_since_epoch()).count();
  const auto slots = static_cast<std::int64_t>(retry_budget::kSlots);
  const std::int64_t passed = std::min(second - aBudget.mSecond, slots);
  for (std::int64_t i = 0; i < passed; ++i) {
    const auto slot = static_cast<std::size_t>((second - i) % slots);
    aBudget.mRequests[slot] = 0;
    aBudget.mRetries[slot] = 0;
  }
  aBudget.mSecond = std::max(aBudget.mSecond, second);
}

std::size_t Slot(const retry_budget& aBudget)
{
  return static_cast<std::size_t>(aBudget.mSecond) % retry_budget::kSlots;
}

bool Charge(retry_budget& aBudget, time_point aNow)
{
  Advance(aBudget, aNow);
  const auto sum = [](const auto& aSlots) {
    return std::accumulate(aSlots.begin(), aSlots.end(), 0.0);
  };
  const double allowed = aBudget.mRatio * sum(aBudget.mRequests) + aBudget.mSlack;
  const bool isUnused = aBudget.mRatio > 0 && sum(aBudget.mRetries) < 1;
  if (!isUnused && sum(aBudget.mRetries) + 1 > allowed) {
    return false;
  }
  ++aBudget.mRetries[Slot(aBudget)];
  return true;
}

bool HasTime(const attempt& aAttempt, time_point aNow)
{
  return aNow + aAttempt.mExpected < aAttempt.mDeadline;
}

} // namespace

void OnRequest(retry_budget& aBudget, time_point aNow)
{
  Advance(aBudget, aNow);
  ++aBudget.mRequests[Slot(aBudget)];
}

bool TakeRetry(retry_budget& aBudget, const attempt& aAttempt, time_point aNow)
{
  const bool isSafe = aAttempt.mRepeatable || aAttempt.mNotRun;
  return isSafe && !aAttempt.mDelivered && HasTime(aAttempt, aNow) && Charge(aBudget, aNow);
}

void OnFirstToken(hedge_state& aState, duration aFirstToken)
{
  if (aState.mTimes.size() < aState.mCapacity) {
    aState.mTimes.push_back(aFirstToken);
  } else {
    aState.mTimes[aState.mNext] = aFirstToken;
  }
  aState.mNext = (aState.mNext + 1) % aState.mCapacity;
}

std::optional<duration> HedgeDelay(const hedge_state& aState)
{
  if (aState.mTimes.size() < aState.mMinSamples) {
    return std::nullopt;
  }
  auto times = aState.mTimes;
  const auto p95 = times.begin() + static_cast<std::ptrdiff_t>(times.size() * 95 / 100);
  std::nth_element(times.begin(), p95, times.end());
  return *p95;
}

bool TakeHedge(const hedge_state& aState, retry_budget& aBudget, const attempt& aAttempt,
               duration aWaited, bool aOverloaded, time_point aNow)
{
  const auto delay = HedgeDelay(aState);
  return aAttempt.mRepeatable && !aAttempt.mDelivered && !aOverloaded && delay &&
         aWaited >= *delay && HasTime(aAttempt, aNow) && Charge(aBudget, aNow);
}

} // namespace tamarackweir::overload
