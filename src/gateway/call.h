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

/// An answer that was given up for one of a larger model.
struct doubted_answer
{
  std::size_t mModelIndex = 0;
  int mConfidence = 0; ///< percent
};

/// State of a caller's request while the gateway handles it.
struct call
{
  std::shared_ptr<net::caller_connection> mCaller;
  std::shared_ptr<net::inbound_request> mRequest;
  call_header mHeader;
  std::shared_ptr<const routing::route_table> mRoutes; ///< keeps `mRoute` and `mAccount` alive
  const routing::route* mRoute = nullptr;
  const routing::account* mAccount = nullptr;
  service_id mService;
  time_point mDeadline{}; ///< the earlier of the caller's deadline and the route's timeout
  double mPoint = 0;      ///< hash of the session or request, mapped to [0, 1)
  std::optional<std::uint64_t> mSession;      ///< hash of the service and session id
  std::optional<rollout::version_side> mSide; ///< in the service's shift, once it is assigned
  quarantine::cause_key mFingerprint;         ///< of the request, see `FingerprintOf`

  std::size_t mModelIndex = 0; ///< index into the route's models
  std::optional<doubted_answer> mDoubted;
  std::vector<server_id> mTriedServers;
  int mAttempts = 0;
  int mRuns = 0;                            ///< attempts that may have run
  int mRefusals = 0;                        ///< attempts that servers rejected
  int mNotSent = 0;                         ///< attempts that failed to connect
  std::vector<data_centre_id> mUnreached;   ///< data centres of servers that could not be reached
  std::shared_ptr<net::exchange> mExchange; ///< of the current attempt
  /// While the call waits for a place at a server; cancelled if its caller leaves.
  std::shared_ptr<net::asio::steady_timer> mPlaceTimer;
  std::optional<time_point> mAnswerBegan; ///< when the current attempt's answer began to arrive
  bool mKeepsRunning = false;             ///< the attempt continues if the caller disconnects
  bool mIsWithdrawn = false; ///< closed here: it was quarantined, or the instance stops
  bool mHoldsTrial = false;  ///< its request is on trial, and this is the only run of it
  charged_retry mRetry;      ///< of the current attempt
  int mCrashes = 0;          ///< servers that crashed just after they had begun to answer
};

/// One attempt at a backend server. Counts towards the server's load until it is destroyed.
class attempt
{
public:
  /// \param aPending send time, and the expected time to the answer or first event
  attempt(const placement::choice& aChoice, bool aIsNewVersion,
          const backends::pending_answer& aPending);
  ~attempt();
  attempt(const attempt&) = delete;
  attempt& operator=(const attempt&) = delete;

  /// Call on the answer or its first event: the server has processed the prompt.
  void MarkPrefillDone();

  backends::backend_server& Server() { return *mServer; }
  const backends::backend_server& Server() const { return *mServer; }
  const backends::server_pointer& Pointer() const { return mServer; }
  time_point Started() const { return mPending.mSent; }
  /// Whether the server runs the version that a shift moves traffic to.
  bool IsNewVersion() const { return mIsNewVersion; }
  /// Prompt tokens that the server was expected to prefill.
  std::int64_t PrefillTokens() const { return mPrefillTokens; }
  /// Whether no other prompt waited at the server, as far as known.
  bool IsUnobstructed() const { return mIsUnobstructed; }

private:
  backends::server_pointer mServer;
  std::int64_t mPrefillTokens;
  double mPrefillMs; ///< counted at the server; 0 once the prompt is processed
  bool mIsUnobstructed;
  bool mIsNewVersion;
  backends::pending_answer mPending;
};

/// Handles one request of a caller, from routing to the end of the answer.
net::task<> HandleCall(gateway_state& aState, std::shared_ptr<net::caller_connection> aCaller,
                       std::shared_ptr<net::inbound_request> aRequest);

/// Sets the call's service, its point in a shift and its session, from its header and route.
void AssignService(call& aCall);

/// Ends the attempts of all calls, once `gateway_state::mStopsAt` has come. Each call is answered,
/// except streams that have begun; these break off.
void EndOpenCalls(gateway_state& aState);

/// The result of an attempt.
struct attempt_outcome
{
  attempt_result mResult = attempt_result::NoServer;
  bool mIsReplaced = false; ///< abandoned for a retry that the budget is already charged for
  std::unique_ptr<attempt> mAttempt;        ///< null if no server was eligible
  std::shared_ptr<net::exchange> mExchange; ///< holds the answer's header, if one arrived
  std::size_t mCandidateCount = 0;          ///< servers that the choice considered
  double mCostMs = 0;                       ///< expected delay at the chosen server
  std::optional<time_point> mOpensAt; ///< without a server: when a closed one may be used again
  answer_header mHeader;
  std::string mBody;            ///< of an answer that is not streamed
  net::byte_claim mBodyClaim;   ///< on the memory for the body, or for an incomplete event
  net::error_code mReadFailure; ///< why reading the answer failed, if it did
  work_check mWork;
};

/// The gateway's answer to a request that this attempt, its last one, has left without an answer.
refusal RefusalOf(gateway_state& aState, const call& aCall, const attempt_outcome& aOutcome,
                  attempt_result aResult);

/// Chooses a server, sends the request and reads the header of the answer. An answer that is not a
/// stream is read completely. `aLastEvent` is the last event that the caller has received.
net::task<attempt_outcome> Attempt(gateway_state& aState, call& aCall,
                                   std::optional<std::uint64_t> aLastEvent);

/// For a connect to a server: a hundred round trips, and less than a lost SYN takes.
inline constexpr duration kConnectLimit = 300ms;

/// Records what the end of a connect says of the server: it accepted, refused, reset, or stayed
/// silent. Another failure, such as a lack of descriptors, is this instance's own.
void RecordConnect(backends::backend_server& aServer, const net::error_code& aFailure);

/// Whether the machine of a server with an overdue answer accepts connections. A server that cannot
/// be reached is marked as suspect.
net::task<bool> IsReachable(backends::server_pointer aServer, net::asio::any_io_executor aExecutor);

/// Whether a server's machine accepts connections. A server that doesn't is marked as suspect.
net::task<bool> AcceptsConnections(backends::server_pointer aServer,
                                   net::asio::any_io_executor aExecutor);

/// Whether the call moves to another server because its answer, first event or next event is
/// overdue for `aWaited`; if so, charges the retry budget.
net::task<bool> MovesElsewhere(gateway_state& aState, call& aCall, attempt& aAttempt,
                               duration aWaited);

/// Records the result of an attempt in the server's health, the shift's statistics and the log.
void FinishAttempt(gateway_state& aState, call& aCall, attempt_outcome& aOutcome, duration aTime);

/// Whether the request is retried; if so, charges the retry budget.
bool ConsumeRetry(gateway_state& aState, call& aCall, attempt_result aResult);

/// Sends an answer that was read completely.
net::task<> SendAnswer(gateway_state& aState, call& aCall, attempt_outcome& aOutcome);

/// Answers the caller with a refusal.
net::task<> Refuse(gateway_state& aState, call& aCall, const refusal& aRefusal);

/// Forwards a request whose answer is not a stream.
net::task<> ForwardPlain(gateway_state& aState, call& aCall);

/// Forwards a request whose answer is a stream of events.
net::task<> ForwardStream(gateway_state& aState, call& aCall);

/// Urgency of the call: its account's, else its route's; 0 is the most urgent.
int UrgencyOf(const call& aCall);

/// Estimated latency of the call's route and model.
latency_estimate& LatencyOf(gateway_state& aState, const call& aCall);

/// The current inputs for decisions on retries and timeouts of the call.
attempt_history HistoryOf(gateway_state& aState, const call& aCall);

/// Logs the end of a request.
void LogEnd(gateway_state& aState, const call& aCall, int aStatus, const char* aOutcome);

} // namespace tamarackweir::gateway
