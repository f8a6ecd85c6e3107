#pragma once

#include "base/clock.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace tamarackweir::overload {

/// Retries and hedges of the last 10 s against the requests of the last 10 s, in slots of 1 s.
struct retry_budget
{
  static constexpr std::size_t kSlots = 10;

  double mRatio = 0.1; ///< setting `retry_budget`
  double mSlack = 0;   ///< retries of 10 s that need no request
  std::array<std::uint32_t, kSlots> mRequests{};
  std::array<std::uint32_t, kSlots> mRetries{};
  std::int64_t mSecond = 0; ///< the second of the newest slot
};

/// What is known of an attempt that failed, or that has not answered yet.
struct attempt
{
  bool mRepeatable = false; ///< the call is idempotent
  bool mNotRun = false;     ///< the server refused before starting, or no byte has left
  bool mDelivered = false;  ///< bytes of the answer have reached the caller
  time_point mDeadline{};
  duration mExpected{}; ///< expected time of another attempt
};

/// A first attempt of a request was sent.
void OnRequest(retry_budget& aBudget, time_point aNow);

/// Whether a failed attempt is sent again; if so, the budget is charged.
///
/// A retry needs an idempotent call or a `not_run` answer, nothing delivered, time before the
/// deadline, and a place in the budget: with it, the retries of the last 10 s are at most the ratio
/// times the requests of the last 10 s. One retry in 10 s is always allowed, else an instance with
/// few requests could never retry.
bool TakeRetry(retry_budget& aBudget, const attempt& aAttempt, time_point aNow);

/// First-token times of one model's recent answers.
struct hedge_state
{
  std::size_t mCapacity = 256;  ///< answers remembered
  std::size_t mMinSamples = 20; ///< below it no hedge is sent
  std::vector<duration> mTimes;
  std::size_t mNext = 0;
};

/// An answer started after `aFirstToken`.
void OnFirstToken(hedge_state& aState, duration aFirstToken);

/// The time after which an attempt without an answer is hedged: the p95, or nothing with too few
/// answers.
std::optional<duration> HedgeDelay(const hedge_state& aState);

/// Whether a second copy of an unanswered attempt is sent; if so, the budget is charged.
/// \param aWaited since the first copy was sent
/// \param aOverloaded the admission control has queued requests; a hedge would take their place
bool TakeHedge(const hedge_state& aState, retry_budget& aBudget, const attempt& aAttempt,
               duration aWaited, bool aOverloaded, time_point aNow);

} // namespace tamarackweir::overload
