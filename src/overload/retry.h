#pragma once

#include "base/clock.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace tamarackweir::overload {

/// Limits retries and hedges to a share of the requests in a sliding window.
///
/// Requests are counted in slots, which span the window or a little less of it, so that the share
/// is never too large.
struct retry_budget
{
  static constexpr std::size_t kSlots = 10;

  double mRatio = 0.1;        ///< setting `retry_budget`
  double mFixedAllowance = 0; ///< retries per window allowed regardless of requests
  bool mAllowsFirst = true;   ///< one retry in a window is allowed in any case
  duration mWindow = 10s;     ///< positive
  std::array<std::uint32_t, kSlots> mRequests{};
  std::int64_t mNewestSlot = 0;    ///< number of the newest slot
  std::deque<time_point> mRetries; ///< of the window, the oldest first
  std::uint32_t mOpenRetries = 0;  ///< allowed, and may still reach a server
};

/// An attempt that failed or has not been answered yet.
struct attempt
{
  bool mIdempotent = false;      ///< the call may run more than once
  bool mNotRun = false;          ///< the server refused it before starting, or no byte was sent
  bool mResponseStarted = false; ///< bytes of the answer were sent to the caller
  time_point mDeadline{};
  duration mExpectedDuration{}; ///< expected duration of another attempt
};

/// What a budget holds of its window.
struct budget_use
{
  double mRequests = 0;
  double mRetries = 0; ///< with those that are open
  double mMost = 0;    ///< retries that these requests allow
};

budget_use UseOf(retry_budget& aBudget, time_point aNow);

/// Counts a request whose first attempt was sent.
void OnRequest(retry_budget& aBudget, time_point aNow);

/// Returns whether to retry a failed attempt; if so, charges the budget.
///
/// A retry needs an idempotent call or a `not_run` answer, no byte of the answer sent to the
/// caller, time before the deadline, and remaining budget: including it, the retries of the last
/// `mWindow` must not exceed `mRatio` times the requests of that time, plus `mFixedAllowance`. If
/// `mRatio` is above 0 and `mAllowsFirst` is set, one retry in a window is always allowed, or an
/// instance with few requests could never retry.
bool TryAcquireRetry(retry_budget& aBudget, const attempt& aAttempt, time_point aNow);

/// The same for a retry that may reach its server any time later. It counts until `SettleRetry`,
/// and for a window after that.
bool TryOpenRetry(retry_budget& aBudget, const attempt& aAttempt, time_point aNow);

/// Records that an open retry has reached its server, or can't reach it any more.
void SettleRetry(retry_budget& aBudget, time_point aNow);

/// Largest value that was in use in a sliding window.
struct recent_most
{
  std::deque<std::pair<time_point, double>> mValues; ///< when last in use; the largest first
};

/// Records that `aValue` is in use now, and returns the largest one of the last `aWindow`.
double MostOf(recent_most& aMost, double aValue, duration aWindow, time_point aNow);

/// Ring buffer of the first-token times of one model's recent answers.
struct hedge_state
{
  std::size_t mCapacity = 256;  ///< number of answers kept
  std::size_t mMinSamples = 20; ///< with fewer answers no hedge is sent
  std::vector<duration> mFirstTokenTimes;
  std::size_t mNext = 0;
};

/// Records the first-token time of an answer.
void OnFirstToken(hedge_state& aState, duration aFirstToken);

/// Time after which an unanswered attempt is hedged: the p95 of the first-token times, or nothing
/// with fewer than `mMinSamples` answers.
std::optional<duration> HedgeDelay(const hedge_state& aState);

/// Returns whether to hedge an unanswered attempt with a second one; if so, charges the budget.
/// \param aWaited time since the first attempt was sent
/// \param aOverloaded whether requests wait for admission; a hedge would use their capacity
bool TryAcquireHedge(const hedge_state& aState, retry_budget& aBudget, const attempt& aAttempt,
                     duration aWaited, bool aOverloaded, time_point aNow);

} // namespace tamarackweir::overload
