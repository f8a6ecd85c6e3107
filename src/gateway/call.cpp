#include "gateway/call.h"

#include "backends/evidence.h"
#include "base/digest.h"
#include "gateway/answer_end.h"
#include "gateway/crash_reports.h"
#include "gateway/early_refusal.h"
#include "gateway/server_choice.h"
#include "gateway/server_message.h"
#include "gateway/shift_results.h"
#include "gateway/trial.h"
#include "gateway/work_check.h"
#include "observe/event_log.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace tamarackweir::gateway {

namespace {

constexpr duration kStartRetryAfter = 200ms;       ///< an instance reads its configuration in less
constexpr std::size_t kMaxAnswerBytes = 1U << 24U; ///< of an answer that is buffered

/// A random number, uniform in [0, 1).
double Draw(gateway_state& aState)
{
  return std::uniform_real_distribution<double>()(aState.mRandom);
}

/// Whether nothing is sent to servers any more, since the process ends.
bool IsEnding(const gateway_state& aState)
{
  return aState.mIsStopping && net::Now() >= aState.mStopsAt;
}

double PointOf(std::uint64_t aHash)
{
  return static_cast<double>(aHash >> 11U) * 0x1.0p-53;
}

const char* NameOf(attempt_result aResult)
{
  switch (aResult) {
    case attempt_result::NoServer:
      return "no_server";
    case attempt_result::NotSent:
      return "not_sent";
    case attempt_result::NotRun:
      return "not_run";
    case attempt_result::Broken:
      return "broken";
    case attempt_result::TimedOut:
      return "silent";
    case attempt_result::Failure:
      return "failure";
    case attempt_result::Success:
      return "success";
  }
  return "unknown";
}

backends::attempt_end EndOf(const attempt_outcome& aOutcome)
{
  switch (aOutcome.mResult) {
    case attempt_result::NotSent:
    case attempt_result::NoServer:
      return backends::attempt_end::Unreachable;
    case attempt_result::NotRun:
      return aOutcome.mHeader.mWrongServer ? backends::attempt_end::WrongServer
                                           : backends::attempt_end::Refused;
    case attempt_result::Broken:
      return backends::attempt_end::Broken;
    case attempt_result::TimedOut:
      return backends::attempt_end::TimedOut;
    case attempt_result::Failure:
      return backends::attempt_end::Failed;
    case attempt_result::Success:
      return backends::attempt_end::Succeeded;
  }
  return backends::attempt_end::Broken;
}

/// Records what a server states of itself in the header of an answer. Another server that now uses
/// the address speaks for itself only.
void RecordWishes(gateway_state& aState, const attempt_outcome& aOutcome)
{
  const answer_header& header = aOutcome.mHeader;
  if (header.mWrongServer) {
    return;
  }
  const time_point now = net::Now();
  backends::backend_server& server = aOutcome.mAttempt->Server();
  if (header.mIsLeaving && backends::RecordLeaving(aState.mFleet, server, now)) {
    observe::event_line("server_leaving").Text("server", server.mAnnounced.mId.Value()).Write();
  }
  if (header.mWait) {
    const duration wait = std::min(*header.mWait, aState.mOptions.mBounds.mMaxServerWait);
    backends::RecordClosed(server, wait, now);
    observe::event_line("server_closed")
      .Text("server", server.mAnnounced.mId.Value())
      .Millis("asked_ms", *header.mWait)
      .Millis("for_ms", wait)
      .Write();
  }
}

/// Records the time to the first event, which also shows how busy the engines are.
void RecordPrefillTime(gateway_state& aState, const call& aCall, const attempt& aAttempt,
                       duration aTime)
{
  if (aCall.mRoute->mKind != routing::call_kind::Stream || aCall.mHeader.mParts.empty()) {
    return;
  }
  placement::engine_speed& speed = aState.mEngineSpeeds[{ aCall.mService, ModelOf(aCall) }];
  if (placement::IsKnown(speed)) {
    placement::RecordLoad(
      aState.mEngineLoads[aCall.mService],
      placement::PrefillMs(placement::PrefillTimeOf(speed), aAttempt.PrefillTokens()), aTime);
  }
  if (aAttempt.IsUnobstructed()) {
    placement::RecordFirstEvent(speed, aAttempt.PrefillTokens(), aTime);
  }
}

} // namespace

attempt::attempt(const placement::choice& aChoice, bool aIsNewVersion,
                 const backends::pending_answer& aPending)
  : mServer(aChoice.mServer)
  , mPrefillTokens(aChoice.mPrefillTokens)
  , mPrefillMs(aChoice.mPrefillMs)
  , mIsUnobstructed(aChoice.mIsUnobstructed)
  , mIsNewVersion(aIsNewVersion)
  , mPending(aPending)
{
  ++mServer->mInFlight;
  mServer->mPrefillMs += mPrefillMs;
  mServer->mPending.push_back(&mPending);
}

attempt::~attempt()
{
  MarkPrefillDone();
  --mServer->mInFlight;
}

void attempt::MarkPrefillDone()
{
  mServer->mPrefillMs -= mPrefillMs;
  mPrefillMs = 0;
  std::erase(mServer->mPending, &mPending);
  if (mServer->mPending.empty()) {
    mServer->mPrefillMs = 0; // Rounding would leave a rest that looks like a waiting prompt.
  }
}

int UrgencyOf(const call& aCall)
{
  return aCall.mAccount != nullptr && aCall.mAccount->mUrgency ? aCall.mAccount->mUrgency->Value()
                                                               : aCall.mRoute->mUrgency.Value();
}

latency_estimate& LatencyOf(gateway_state& aState, const call& aCall)
{
  std::string key = aCall.mRoute->mName;
  if (!aCall.mRoute->mModels.empty()) {
    key += '/' + aCall.mRoute->mModels[aCall.mModelIndex].Value();
  }
  return aState.mLatencies[key];
}

attempt_history HistoryOf(gateway_state& aState, const call& aCall)
{
  const latency_estimate& latency = LatencyOf(aState, aCall);
  const bool isIdempotent =
    aCall.mRoute->mKind == routing::call_kind::Idempotent ||
    (aCall.mRoute->mKind == routing::call_kind::Stream && aCall.mRoute->mIsResumable);
  return { .mIsIdempotent = isIdempotent,
           .mRuns = aCall.mRuns,
           .mMaxRuns = aCall.mRoute->mMaxAttempts,
           .mRefusals = aCall.mRefusals,
           .mNotSent = aCall.mNotSent,
           .mCrashes = aCall.mCrashes,
           .mDeadline = aCall.mDeadline,
           .mExpected = std::chrono::duration_cast<duration>(
             std::chrono::duration<double, std::milli>(latency.mMs)) };
}

refusal RefusalOf(gateway_state& aState, const call& aCall, const attempt_outcome& aOutcome,
                  attempt_result aResult)
{
  if (IsEnding(aState)) {
    return aCall.mRuns > 0 ? refusal{ .mStatus = 504, .mTitle = kStopTitle, .mNotRun = false }
                           : refusal{ .mTitle = kStopTitle, .mRetryAfter = kStopRetryAfter };
  }
  if (aOutcome.mWork.mRefusal) {
    return *aOutcome.mWork.mRefusal;
  }
  const time_point now = net::Now();
  const retry_outlook outlook{ .mTimeLeft = aCall.mDeadline - now,
                               .mAnswerTime = HistoryOf(aState, aCall).mExpected,
                               .mOpensIn = aOutcome.mOpensAt.value_or(now) - now };
  return RefusalAfter(aResult, aCall.mRuns > 0, outlook, Draw(aState));
}

bool ConsumeRetry(gateway_state& aState, call& aCall, attempt_result aResult)
{
  if (aCall.mCaller->IsGone() || IsEnding(aState) || IsQuarantined(aState, aCall) ||
      (!IsCertainlyNotRun(aResult) && IsOnTrial(aState, aCall))) {
    return false;
  }
  const auto budget = BudgetOf(aState, aCall.mService, net::Now());
  const bool mayRetry = MayRetry(aResult, HistoryOf(aState, aCall), *budget, net::Now());
  if (mayRetry && aResult != attempt_result::NotSent) {
    aCall.mRetry = charged_retry(budget);
  }
  const overload::budget_use use = overload::UseOf(*budget, net::Now());
  observe::event_line("retry")
    .Text("request", aCall.mHeader.mAttempt)
    .Text("service", aCall.mService.Value())
    .Text("after", NameOf(aResult))
    .Flag("allowed", mayRetry)
    .Real("requests", use.mRequests)
    .Real("retries", use.mRetries)
    .Real("most", use.mMost)
    .Number("instances", static_cast<std::int64_t>(aState.mInstances.size()))
    .Write();
  return mayRetry;
}

net::task<bool> MovesElsewhere(gateway_state& aState, call& aCall, attempt& aAttempt,
                               duration aWaited)
{
  const auto elsewhere = FindElsewhere(aState, aCall);
  if (!elsewhere) {
    co_return false;
  }
  const bool isReachable = co_await IsReachable(aAttempt.Pointer(), aCall.mCaller->Executor());
  const bool moves = MovesOn({ .mWaited = aWaited,
                               .mLeft = aCall.mDeadline - net::Now(),
                               .mIsReachable = isReachable,
                               .mElsewhere = elsewhere });
  observe::event_line("overdue")
    .Text("request", aCall.mHeader.mAttempt)
    .Text("server", aAttempt.Server().mAnnounced.mId.Value())
    .Text("reachable", isReachable ? "yes" : "no")
    .Millis("waited_ms", aWaited)
    .Millis("elsewhere_ms", elsewhere->mAnswersIn)
    .Millis("cost_ms", elsewhere->mCost)
    .Millis("left_ms", aCall.mDeadline - net::Now())
    .Text("moves", moves ? "yes" : "no")
    .Write();
  co_return moves&& ConsumeRetry(aState, aCall, attempt_result::TimedOut);
}

net::task<attempt_outcome> Attempt(gateway_state& aState, call& aCall,
                                   std::optional<std::uint64_t> aLastEvent)
{
  attempt_outcome outcome;
  if (IsEnding(aState)) {
    co_return outcome;
  }
  if (auto refused = co_await AwaitTrial(aState, aCall)) {
    outcome.mWork.mRefusal = *refused;
    co_return outcome;
  }
  const time_point now = net::Now();
  const auto service = aCall.mRoutes->mServices.find(aCall.mService);
  const double coldRate = service == aCall.mRoutes->mServices.end() ? 0 : service->second.mColdRate;
  const backends::cold_share coldShare{ .mSelf = aState.mSelf.mId.Value(),
                                        .mInstances = aState.mInstances,
                                        .mRate = coldRate };
  placement::demand demand = DemandOf(aState, aCall);
  demand.mAcquireColdSlot = [&coldShare, now](backends::backend_server& aServer) {
    return backends::AcquireColdSlot(aServer, coldShare, now);
  };
  const std::optional<model_id> model =
    IsModelChosenHere(aCall) ? std::optional(ModelOf(aCall)) : std::nullopt;
  const rollout::shift* const shift = ShiftOf(aState, aCall.mService);
  const placement::choice choice = ChooseServer(aState, aCall, demand, shift, now);
  ++aCall.mAttempts;
  if (choice.mServer == nullptr) {
    observe::event_line("no_server")
      .Text("request", aCall.mHeader.mAttempt)
      .Text("service", aCall.mService.Value())
      .Number("reason", static_cast<int>(choice.mReason))
      .Number("tried", static_cast<std::int64_t>(aCall.mTriedServers.size()))
      .Write();
    outcome.mOpensAt = choice.mOpensAt;
    co_return outcome;
  }
  outcome.mWork = CheckWork(aState, aCall, demand, choice, now);
  if (outcome.mWork.mRefusal) {
    co_return outcome;
  }
  const backends::announcement announced = choice.mServer->mAnnounced;
  const bool isNewVersion = shift != nullptr && announced.mVersion == shift->mOrder.mNewVersion;
  outcome.mAttempt = std::make_unique<attempt>(
    choice, isNewVersion,
    backends::pending_answer{ .mSent = now, .mExpected = HistoryOf(aState, aCall).mExpected });
  outcome.mExchange = std::make_shared<net::exchange>(aCall.mCaller->Executor());
  outcome.mBodyClaim = net::byte_claim(aState.mAnswerBudget);
  outcome.mCandidateCount = choice.mCandidateCount;
  outcome.mCostMs = choice.mCostMs;
  aCall.mExchange = outcome.mExchange;
  aCall.mTriedServers.push_back(announced.mId);
  outcome.mResult = attempt_result::NotSent;
  aCall.mKeepsRunning = false;
  aCall.mAnswerBegan.reset();

  const duration connectLimit =
    std::min(kConnectLimit, std::max(duration(1ms), aCall.mDeadline - now));
  const auto connectFailure =
    co_await outcome.mExchange->Connect(announced.mAddress, connectLimit, net::silence_limits{});
  // A connect that ended early, because the caller left or has little time, says nothing.
  if (!aCall.mCaller->IsGone() && (!connectFailure || connectLimit == kConnectLimit)) {
    RecordConnect(outcome.mAttempt->Server(), connectFailure);
  }
  if (connectFailure || aCall.mCaller->IsGone()) {
    ++aCall.mNotSent;
    aCall.mUnreached.push_back(announced.mDataCentre);
    co_return outcome;
  }

  const time_point sending = net::Now();
  if (IsEnding(aState) || !backends::TakesRequests(outcome.mAttempt->Server(), sending)) {
    // The stop ended, or another answer of the server arrived, while the connection was being
    // opened.
    ++aCall.mNotSent;
    co_return outcome;
  }
  const dispatch details{ .mServer = announced.mId,
                          .mTimeLeft = aCall.mDeadline - sending,
                          .mAccount = aCall.mAccount != nullptr ? std::optional(aCall.mAccount->mId)
                                                                : std::nullopt,
                          .mModel = model,
                          .mLastEvent = aLastEvent,
                          .mUrgency = UrgencyOf(aCall) };
  auto message = MessageFor(aState, aCall, details);
  const attempt_history history = HistoryOf(aState, aCall);
  placement::RecordPrefill(aState.mPrefixCaches, announced.mId, demand, sending);
  ++aCall.mRuns;
  aCall.mKeepsRunning = !history.mIsIdempotent;
  outcome.mExchange->Send(std::move(message));
  outcome.mResult = attempt_result::Broken;
  net::error_code failure = co_await AwaitHeader(aState, aCall, outcome, history, sending);
  if (failure) {
    co_return outcome;
  }
  outcome.mAttempt->Server().mLastByte = net::Now();
  aCall.mAnswerBegan = net::Now();
  aCall.mRetry.Settle();
  const auto& header = outcome.mExchange->Header();
  outcome.mHeader = aState.mDialect.mReadAnswer(header, aCall.mHeader.mAttempt);
  if (outcome.mHeader.mIsMismatched) {
    co_return outcome;
  }
  if (!outcome.mHeader.mWrongServer) {
    time_point& answered = outcome.mAttempt->Server().mSeen.mAnsweredSentAt;
    answered = std::max(answered, sending);
  }
  RecordWishes(aState, outcome);
  if (outcome.mHeader.mNotRun) {
    --aCall.mRuns;
    ++aCall.mRefusals;
    outcome.mResult = attempt_result::NotRun;
    co_return outcome;
  }
  const bool isSuccess = header.result_int() >= 200 && header.result_int() < 300;
  if (isSuccess && !outcome.mHeader.mIsSealed) {
    observe::event_line("answer_unsealed")
      .Text("request", aCall.mHeader.mAttempt)
      .Text("server", announced.mId.Value())
      .Number("status", header.result_int())
      .Write();
    co_return outcome;
  }
  if (!isSuccess || aCall.mRoute->mKind != routing::call_kind::Stream) {
    failure = co_await outcome.mExchange->ReadAll(
      outcome.mBody, kMaxAnswerBytes, aCall.mDeadline - net::Now(), &outcome.mBodyClaim);
    if (failure) {
      outcome.mReadFailure = failure;
      LogGivenUp(aState, aCall, outcome);
      outcome.mResult =
        failure == net::asio::error::timed_out ? attempt_result::TimedOut : attempt_result::Broken;
      co_return outcome;
    }
    // A failure is one however its body ends; its end matters once it is passed on.
    if (header.result_int() < 500 && !co_await IsEndCertain(aState, aCall, outcome)) {
      co_return outcome;
    }
  }
  outcome.mResult = header.result_int() >= 500 ? attempt_result::Failure : attempt_result::Success;
  if (isSuccess && !isNewVersion) {
    RecordWork(aState, aCall, outcome.mWork, *aCall.mAnswerBegan - sending, false);
  }
  co_return outcome;
}

void FinishAttempt(gateway_state& aState, call& aCall, attempt_outcome& aOutcome, duration aTime)
{
  aCall.mExchange.reset();
  if (aOutcome.mAttempt == nullptr) {
    return;
  }
  if (aOutcome.mResult != attempt_result::NotSent && !aOutcome.mIsReplaced) {
    aCall.mRetry.Settle();
  }
  const time_point now = net::Now();
  backends::backend_server& server = aOutcome.mAttempt->Server();
  const bool wasEndedHere = aCall.mCaller->IsGone() || aCall.mIsWithdrawn;
  latency_estimate& latency = LatencyOf(aState, aCall);
  const bool isSuccess = aOutcome.mResult == attempt_result::Success;
  duration delay{};
  if (isSuccess && latency.mSamples > 0) {
    delay = aTime - std::chrono::duration_cast<duration>(
                      std::chrono::duration<double, std::milli>(latency.mMs));
  }
  if (!wasEndedHere) {
    if (delay != duration::zero()) {
      backends::RecordSlowdown(server, aTime, aTime - delay, now);
    }
    backends::RecordEnd(server, EndOf(aOutcome), delay, now);
    RecordShiftResult(aState, aCall, aOutcome, aTime);
    if (isSuccess && !aOutcome.mAttempt->IsNewVersion()) {
      RecordLatency(latency, aTime);
      RecordPrefillTime(aState, aCall, *aOutcome.mAttempt, aTime);
    }
  }
  aState.mMetrics.Count("tamarackweir_attempts_total", { { "result", NameOf(aOutcome.mResult) } });
  observe::event_line("attempt")
    .Text("request", aCall.mHeader.mAttempt)
    .Number("attempt", aCall.mAttempts)
    .Text("server", server.mAnnounced.mId.Value())
    .Text("version", server.mAnnounced.mVersion.Value())
    .Number("size", static_cast<std::int64_t>(aCall.mModelIndex))
    .Text("result", NameOf(aOutcome.mResult))
    .Number("status", aOutcome.mExchange != nullptr && aOutcome.mResult >= attempt_result::Failure
                        ? aOutcome.mExchange->Header().result_int()
                        : 0)
    .Text("reason", aOutcome.mReadFailure ? aOutcome.mReadFailure.message() : "")
    .Text("framing",
          aOutcome.mExchange != nullptr ? net::ToString(aOutcome.mExchange->Framing()) : "")
    .Number("confidence", aOutcome.mHeader.mConfidence.value_or(-1))
    .Millis("ms", aTime)
    .Number("candidates", static_cast<std::int64_t>(aOutcome.mCandidateCount))
    .Real("cost_ms", aOutcome.mCostMs)
    .Number("prefill_tokens", aOutcome.mAttempt->PrefillTokens())
    .Real("ms_per_token", PrefillTimeOf(aState, aCall).mMsPerToken)
    .Real("failure_share", backends::FailureShare(server, now))
    .Number("in_flight", server.mInFlight)
    .Number("config", static_cast<std::int64_t>(aCall.mRoutes->mVersion))
    .Write();
}

void LogEnd(gateway_state& aState, const call& aCall, int aStatus, const char* aOutcome)
{
  const duration time = net::Now() - aCall.mRequest->mArrived;
  const std::string route = aCall.mRoute != nullptr ? aCall.mRoute->mName : "";
  aState.mMetrics.Count("tamarackweir_requests_total", { { "outcome", aOutcome } });
  aState.mMetrics.Observe("tamarackweir_request_seconds",
                          std::chrono::duration<double>(time).count(), { { "outcome", aOutcome } });
  observe::event_line("request")
    .Text("request", aCall.mHeader.mAttempt)
    .Text("route", route)
    .Text("account", aCall.mAccount != nullptr ? aCall.mAccount->mId.Value() : "")
    .Number("status", aStatus)
    .Text("outcome", aOutcome)
    .Number("attempts", aCall.mAttempts)
    .Number("runs", aCall.mRuns)
    .Number("config",
            aCall.mRoutes != nullptr ? static_cast<std::int64_t>(aCall.mRoutes->mVersion) : 0)
    .Millis("ms", time)
    .Write();
}

net::task<> SendAnswer(gateway_state& aState, call& aCall, attempt_outcome& aOutcome)
{
  const auto& header = aOutcome.mExchange->Header();
  net::outbound_answer answer{ header.result(), 11 };
  aState.mDialect.mWriteAnswer(header, answer.base());
  answer.result(header.result_int());
  answer.reason(header.reason());
  answer.body() = std::move(aOutcome.mBody);
  const int status = static_cast<int>(header.result_int());
  // The exchange is closed, and the caller may be slow to read.
  std::string().swap(aCall.mRequest->mBody);
  (void)aCall.mRequest->mClaim.TryResize(0);
  const auto failure = co_await aCall.mCaller->Answer(answer);
  LogEnd(aState, aCall, status, failure ? "caller_lost" : "answered");
}

net::task<> Refuse(gateway_state& aState, call& aCall, const refusal& aRefusal)
{
  net::outbound_answer answer{ static_cast<net::http::status>(aRefusal.mStatus), 11 };
  answer.set(net::http::field::content_type, "application/problem+json");
  if (aRefusal.mRetryAfter) {
    std::array<char, 32> seconds{};
    std::snprintf(seconds.data(), seconds.size(), "%.3f",
                  std::chrono::duration<double>(*aRefusal.mRetryAfter).count());
    answer.set(net::http::field::retry_after, seconds.data());
  }
  aState.mDialect.mMarkRefusal(aCall.mHeader, answer);
  answer.body() = "{\"title\":\"" + std::string(aRefusal.mTitle) + "\",\"outcome\":\"" +
                  (aRefusal.mNotRun ? "not_run" : "unknown") + "\"}";
  (void)co_await aCall.mCaller->Answer(answer);
  LogEnd(aState, aCall, aRefusal.mStatus, aRefusal.mTitle);
}

void EndOpenCalls(gateway_state& aState)
{
  for (call* const open : *aState.mOpenCalls) {
    open->mIsWithdrawn = true;
    if (open->mExchange != nullptr) {
      open->mExchange->Close();
    }
    if (open->mPlaceTimer != nullptr) {
      open->mPlaceTimer->cancel();
    }
  }
}

void AssignService(call& aCall)
{
  const std::uint64_t hash = StableHash(aCall.mHeader.mSession.value_or(aCall.mHeader.mAttempt));
  aCall.mPoint = PointOf(hash);
  aCall.mService = routing::PickService(*aCall.mRoute, PointOf(StableHash("service", hash)));
  if (aCall.mHeader.mSession) {
    aCall.mSession = StableHash(aCall.mService.Value(), hash);
  }
}

net::task<> HandleCall(gateway_state& aState, std::shared_ptr<net::caller_connection> aCaller,
                       std::shared_ptr<net::inbound_request> aRequest)
{
  call current;
  current.mCaller = std::move(aCaller);
  current.mRequest = std::move(aRequest);
  current.mHeader = aState.mDialect.mReadCall(*current.mRequest);
  current.mRoutes = aState.mRoutes;
  if (current.mRoutes == nullptr) {
    const refusal notConfigured{ .mTitle = "no configuration yet",
                                 .mRetryAfter = kStartRetryAfter };
    co_await Refuse(aState, current, notConfigured);
    co_return;
  }
  if (const auto unconfirmed =
        RefusalIfUnconfirmed(aState, current.mHeader.mTimeLeft, Draw(aState), net::Now())) {
    co_await Refuse(aState, current, *unconfirmed);
    co_return;
  }
  const routing::resolution found = routing::Resolve(
    *current.mRoutes, current.mHeader.mHost, current.mRequest->mTarget, current.mHeader.mKey);
  if (found.mRoute == nullptr) {
    const refusal denied = found.mDenial == routing::denial::NoRoute
                             ? refusal{ .mStatus = 404, .mTitle = "no route" }
                             : refusal{ .mStatus = 401, .mTitle = "unknown key" };
    co_await Refuse(aState, current, denied);
    co_return;
  }
  current.mRoute = found.mRoute;
  current.mAccount = found.mAccount;
  const time_point arrived = current.mRequest->mArrived;
  current.mDeadline =
    arrived + std::min(current.mRoute->mTimeout,
                       current.mHeader.mTimeLeft.value_or(current.mRoute->mTimeout));
  current.mCaller->SetTimeLeft(current.mHeader.mTimeLeft.value_or(current.mRoute->mTimeout));
  if (const auto stopping = RefusalIfStopping(aState, current.mDeadline - arrived, arrived)) {
    co_await Refuse(aState, current, *stopping);
    co_return;
  }
  AssignService(current);
  current.mFingerprint = FingerprintOf(current);
  if (const auto quarantined = RefusalIfQuarantined(aState, current)) {
    co_await Refuse(aState, current, *quarantined);
    co_return;
  }
  overload::OnRequest(*BudgetOf(aState, current.mService, net::Now()), net::Now());

  const open_call open(aState, current);
  current.mCaller->OnGone([&current] {
    if (current.mPlaceTimer != nullptr) {
      current.mPlaceTimer->cancel();
    }
    if (current.mExchange != nullptr && !current.mKeepsRunning) {
      current.mExchange->Close();
    }
  });
  if (current.mRoute->mKind == routing::call_kind::Stream) {
    co_await ForwardStream(aState, current);
  } else {
    co_await ForwardPlain(aState, current);
  }
  current.mCaller->OnGone(nullptr);
  EndTrial(aState, current);
}

} // namespace tamarackweir::gateway
