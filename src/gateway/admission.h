#pragma once

#include "gateway/state.h"

#include <optional>

namespace tamarackweir::gateway {

/// How one attempt at a backend server ended, as far as the next step depends on it.
enum class attempt_result
{
  NoServer, ///< none could be chosen; nothing was sent
  NotSent,  ///< no connection; no byte was sent
  NotRun,   ///< the server states that it did not run the request
  Broken,   ///< sent, and the answer is missing or damaged
  TimedOut, ///< sent, and no answer within the attempt's limit
  Failure,  ///< a whole answer that says that the server failed
  Success,  ///< a whole answer, or the beginning of a stream
};

/// Whether the attempt certainly left nothing running or done.
bool IsCertainlyNotRun(attempt_result aResult);

/// What is known of a request when an attempt has ended.
struct attempt_history
{
  bool mIsIdempotent = false;
  int mRuns = 0;           ///< attempts that may have run
  int mMaxRuns = 1;        ///< the route's bound
  int mRefusals = 0;       ///< attempts that servers refused
  int mNotSent = 0;        ///< attempts that reached no server
  bool mDelivered = false; ///< the caller has bytes of an answer that can't go on elsewhere
  time_point mDeadline{};
  duration mExpected{}; ///< latency time of another attempt
};

/// Attempts that did not run before the request is refused: after three servers refused it, the
/// others are most likely as full.
inline constexpr int kMaxRefusals = 4;

/// Attempts that reached no server before the request is refused. They are over within
/// milliseconds, and a data centre that lost its power takes several servers at once.
inline constexpr int kMaxNotSent = 10;

/// Whether the request is sent again; if so, the budget is charged.
bool MayRetry(attempt_result aResult, const attempt_history& aHistory,
              overload::retry_budget& aBudget, time_point aNow);

/// How the caller of a request without an answer is told.
struct refusal
{
  int mStatus = 503;
  const char* mTitle = "";
  bool mNotRun = true;                 ///< the request has not run and will not
  std::optional<duration> mRetryAfter; ///< absent: another try is of no use
};

/// The refusal of a request whose last attempt ended with `aResult`.
/// \param aAnyRun an attempt may have run
/// \param aTimeLeft of the caller
/// \param aPoint uniform in [0, 1); spreads the callers that come back
refusal RefusalAfter(attempt_result aResult, bool aAnyRun, duration aTimeLeft, double aPoint);

/// Whether an instance that stops may still take the request, so that its answer is whole before
/// the end. Streams are taken only early; their length is not known.
bool IsAcceptedWhileStopping(routing::call_kind aKind, duration aLongest, duration aLeft,
                             duration aGrace);

/// Limits of one attempt up to its answer, or its first event; from its sending.
struct attempt_limits
{
  duration mProbeAfter{};    ///< then it is checked whether the server's machine is there
  duration mFailOverAfter{}; ///< then another server may take over
};

/// The limits of an attempt. The last one that the route allows has all the time that is left.
///
/// A call is cheap to repeat, so a server that takes several times as long as latency is given up.
/// A prompt is not: the next server would read it again, and with all engines busy each move adds
/// to what makes them late. A stream moves early only if its server's machine is gone.
attempt_limits LimitsOf(const attempt_history& aHistory, const latency_estimate& aLatency,
                        const routing::route& aRoute, time_point aNow);

/// Notes a time to an answer or first event.
void RecordLatency(latency_estimate& aLatency, duration aTime);

/// The budget of a service, with this instance's part of the bounds.
overload::retry_budget& BudgetOf(gateway_state& aState, const service_id& aService);

} // namespace tamarackweir::gateway
