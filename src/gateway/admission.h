#pragma once

#include "gateway/state.h"

#include <optional>

namespace tamarackweir::gateway {

/// How one attempt at a backend server ended, as far as the decision to retry depends on it.
enum class attempt_result
{
  NoServer, ///< no server was eligible; nothing was sent
  NotSent,  ///< no connection; no byte was sent
  NotRun,   ///< the server states that it did not run the request
  Broken,   ///< sent, but the answer is missing or malformed
  TimedOut, ///< sent, but no answer within the attempt's timeout
  Failure,  ///< a complete answer that reports a server error
  Success,  ///< a complete answer, or the start of a stream
};

/// Whether the request certainly did not run, not even in part.
bool IsCertainlyNotRun(attempt_result aResult);

/// State of a request after an attempt has ended.
struct attempt_history
{
  bool mIsIdempotent = false;
  int mRuns = 0;           ///< attempts that may have run
  int mMaxRuns = 1;        ///< the route's limit on runs
  int mRefusals = 0;       ///< attempts that servers rejected
  int mNotSent = 0;        ///< attempts that failed to connect
  int mCrashes = 0;        ///< servers that crashed just after they had begun to answer
  bool mDelivered = false; ///< the caller has part of an answer that can't be resumed
  time_point mDeadline{};
  duration mExpected{}; ///< estimated latency of another attempt
};

/// Rejected attempts after which the request is refused: after three servers rejected it, the
/// others are most likely overloaded too.
inline constexpr int kMaxRefusals = 4;

/// Failed connects after which the request is refused. They take milliseconds each, and a data
/// centre that loses power takes down several servers at once.
inline constexpr int kMaxNotSent = 10;

/// Servers that crashed as they began to answer, after which the request is given up: it is likely
/// to be the cause.
inline constexpr int kMaxCrashes = 2;

/// Whether the request is sent again. If so, and if the attempt may have reached a server, opens a
/// retry in the budget.
bool MayRetry(attempt_result aResult, const attempt_history& aHistory,
              overload::retry_budget& aBudget, time_point aNow);

/// The gateway's own answer to a request that no server answered.
struct refusal
{
  int mStatus = 503;
  const char* mTitle = "";
  bool mNotRun = true;                 ///< the request did not run and will not run
  std::optional<duration> mRetryAfter; ///< absent: retrying does not help
};

/// Whether an attempt is made, by the work ahead of it.
struct work_check
{
  /// Time to the answer or first event at the chosen server; absent if it isn't known.
  std::optional<double> mExpectedMs;
  std::optional<refusal> mRefusal; ///< no server can answer in time
};

/// What a caller that comes back can expect.
struct retry_outlook
{
  duration mTimeLeft{};   ///< until the caller's deadline
  duration mAnswerTime{}; ///< usual time of such an answer; 0: unknown
  duration mOpensIn{};    ///< until a server that wants no request now may be used again; 0: now
};

/// When a refused caller is to come back: once a server is open, and some of the requests that fill
/// the servers now have ended. Callers are spread over as long as that takes, so that they return
/// no faster than room appears. Absent if an answer could not begin before the caller's deadline.
/// \param aPoint uniform in [0, 1); spreads the callers
std::optional<duration> RetryAfter(const retry_outlook& aOutlook, double aPoint);

/// The same during an outage of everything that would let this instance serve the request. Another
/// instance may be able to serve, but the longer the outage has lasted, the more likely it is that
/// none is, and that it lasts on.
/// \param aTimeLeft until the caller's deadline, if it is known
std::optional<duration> RetryAfterOutage(duration aOutage, std::optional<duration> aTimeLeft,
                                         double aPoint);

/// The refusal of a request whose last attempt ended with `aResult`.
/// \param aAnyRun an attempt may have run
refusal RefusalAfter(attempt_result aResult, bool aAnyRun, const retry_outlook& aOutlook,
                     double aPoint);

/// Whether an instance that is stopping still accepts the request: its answer is certain to end
/// before the process does. Another instance serves a refused request at once, while an answer that
/// is cut has to be made again.
/// \param aLongest until the caller's deadline
/// \param aLeft until the process ends
bool IsAcceptedWhileStopping(duration aLongest, duration aLeft);

/// When an attempt's answer or first event is overdue, counted from the send time; then it is
/// decided whether the request moves, see `MovesOn`. Several times the usual latency, or an even
/// share of the caller's time for each attempt left while that is not known. The last attempt that
/// the route allows gets all the remaining time.
duration OverdueAfter(const attempt_history& aHistory, const latency_estimate& aLatency,
                      routing::call_kind aKind, time_point aNow);

/// How long after the start of an overdue wait the move is considered again.
duration NextCheck(duration aWaited, duration aLeft);

/// What a request would find at another server.
struct other_server
{
  duration mAnswersIn{}; ///< with the work ahead of the request there
  duration mCost{};      ///< the same, and the delay of the requests that are there
};

/// A request that waits for an overdue answer, first event or next event.
struct overdue_wait
{
  duration mWaited{};
  duration mLeft{};                       ///< until the caller's deadline
  bool mIsReachable = true;               ///< the server's machine accepts connections
  std::optional<other_server> mElsewhere; ///< absent: there is no other server
};

/// Whether the request moves to another server. That one must answer before the caller's deadline,
/// and the request must gain more than it takes from the requests there, unless its own server is
/// dead. A wait that is overdue is expected to last as long again as it has lasted.
bool MovesOn(const overdue_wait& aWait);

/// Whether the estimate has samples enough to decide by it.
bool IsKnown(const latency_estimate& aLatency);

/// Updates the estimate with the time to an answer or first event.
void RecordLatency(latency_estimate& aLatency, duration aTime);

/// Takes over the ids of all instances, this one included.
void SetInstances(gateway_state& aState, std::vector<std::string> aInstances, time_point aNow);

/// The retry budget of a service, with this instance's share of the bounds.
std::shared_ptr<overload::retry_budget> BudgetOf(gateway_state& aState, const service_id& aService,
                                                 time_point aNow);

/// A retry that the budget has allowed. It is open until it is settled or destroyed; see
/// `overload::TryOpenRetry`.
class charged_retry
{
public:
  charged_retry() = default;
  explicit charged_retry(std::shared_ptr<overload::retry_budget> aBudget);
  ~charged_retry();
  charged_retry(charged_retry&&) = default;
  charged_retry& operator=(charged_retry&& aOther) noexcept;

  /// The retry has reached its server, or can't any more.
  void Settle();

private:
  std::shared_ptr<overload::retry_budget> mBudget;
};

} // namespace tamarackweir::gateway
