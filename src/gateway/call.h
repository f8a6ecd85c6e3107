#pragma once

#include "gateway/admission.h"
#include "gateway/state.h"
#include "net/exchange.h"
#include "net/http_server.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarackweir::gateway {

/// A caller's request on its way through the gateway.
struct call
{
  std::shared_ptr<net::caller_connection> mCaller;
  std::shared_ptr<net::inbound_request> mRequest;
  call_facts mFacts;
  std::shared_ptr<const routing::route_table> mRoutes; ///< keeps `mRoute` and `mAccount` alive
  const routing::route* mRoute = nullptr;
  const routing::account* mAccount = nullptr;
  service_id mService;
  time_point mDeadline{};                ///< the caller's, or the route's timeout if that is sooner
  double mPoint = 0;                     ///< of the session or request, uniform in [0, 1)
  std::optional<std::uint64_t> mSession; ///< key of the session
  std::optional<rollout::version_side> mSide; ///< of the service's shift, once one was met

  std::size_t mSize = 0; ///< index of the model among the route's sizes
  std::vector<server_id> mTried;
  int mAttempts = 0;
  int mRuns = 0;                            ///< attempts that may have run
  int mRefusals = 0;                        ///< attempts that servers refused
  int mNotSent = 0;                         ///< attempts that reached no server
  std::vector<data_centre_id> mUnreached;   ///< data centres of servers that were not reached
  std::shared_ptr<net::exchange> mExchange; ///< of the attempt that is under way
  bool mKeepsRunning = false;               ///< the attempt goes on when the caller leaves
};

/// One attempt at a backend server. While it lives it counts as load of the server.
class attempt
{
public:
  /// \param aPending when it was sent, and the usual time to its answer or first event
  attempt(backends::server_pointer aServer, double aUnreadTokens, bool aIsNew,
          const backends::pending_answer& aPending);
  ~attempt();
  attempt(const attempt&) = delete;
  attempt& operator=(const attempt&) = delete;

  /// The answer, or its first event, is there.
  void MarkRead();

  backends::backend_server& Server() { return *mServer; }
  const backends::server_pointer& Pointer() const { return mServer; }
  time_point Started() const { return mPending.mSent; }
  /// Whether the server is of the version that a shift leads to.
  bool IsNew() const { return mIsNew; }

private:
  backends::server_pointer mServer;
  double mUnreadTokens;
  bool mIsNew;
  backends::pending_answer mPending;
};

/// Answers one request of a caller.
net::task<> HandleCall(gateway_state& aState, std::shared_ptr<net::caller_connection> aCaller,
                       std::shared_ptr<net::inbound_request> aRequest);

/// What an attempt brought.
struct attempt_outcome
{
  attempt_result mResult = attempt_result::NoServer;
  bool mIsReplaced = false; ///< given up for another attempt, which the budget was charged for
  std::unique_ptr<attempt> mAttempt;        ///< null if no server was chosen
  std::shared_ptr<net::exchange> mExchange; ///< with the header of an answer, if there is one
  std::size_t mCandidates = 0;              ///< servers among which it was chosen
  double mCostMs = 0;                       ///< expected delay at the server that was chosen
  answer_facts mFacts;
  std::string mBody; ///< of a whole answer
};

/// Chooses a server, sends the request and reads the header of the answer. Answers that are no
/// streams are read whole. `aLastEvent` is the last event that the caller has.
net::task<attempt_outcome> Attempt(gateway_state& aState, call& aCall,
                                   std::optional<std::uint64_t> aLastEvent);

/// Whether the machine of a server that keeps this instance waiting answers at all. One that is not
/// reached becomes suspect.
net::task<bool> IsReachable(backends::server_pointer aServer, net::asio::any_io_executor aExecutor);

/// Records the end of an attempt: health of the server, evidence of a shift, the log.
void Conclude(gateway_state& aState, call& aCall, attempt_outcome& aOutcome, duration aTime);

/// Takes the new version for bad from now on, whatever the store says.
/// \param aBy the instance that judged so
void HaltShift(rollout::shift& aShift, const instance_id& aBy);

/// Whether another attempt follows; if so, the budget is charged.
bool TryAgain(gateway_state& aState, const call& aCall, attempt_result aResult);

/// Sends an answer that was read whole.
net::task<> Deliver(gateway_state& aState, call& aCall, attempt_outcome& aOutcome);

/// Sends a refusal.
net::task<> Refuse(gateway_state& aState, call& aCall, const refusal& aRefusal);

/// Forwards a request that has one answer.
net::task<> ForwardPlain(gateway_state& aState, call& aCall);

/// Forwards a request whose answer is a stream of events.
net::task<> ForwardStream(gateway_state& aState, call& aCall);

/// The usual times of the call's route and model.
usual_time& UsualTime(gateway_state& aState, const call& aCall);

/// The decision inputs of the call at this moment.
attempt_history HistoryOf(gateway_state& aState, const call& aCall);

/// Logs the end of a request.
void LogEnd(gateway_state& aState, const call& aCall, int aStatus, const char* aOutcome);

} // namespace tamarackweir::gateway
