#include "gateway/work_check.h"

#include "gateway/server_choice.h"
#include "observe/event_log.h"

#include <algorithm>

namespace tamarackweir::gateway {

namespace {

bool IsStream(const call& aCall)
{
  return aCall.mRoute->mKind == routing::call_kind::Stream;
}

/// Engines serve urgent requests first, so the same work ahead means different waits.
overload::wait_error& ErrorOf(gateway_state& aState, const call& aCall)
{
  const std::string key =
    IsStream(aCall) ? "stream " + aCall.mService.Value() : "plain " + aCall.mRoute->mName;
  return aState.mWork.mErrors[key + ' ' + std::to_string(UrgencyOf(aCall))];
}

/// Whether the time of a request without work ahead is measured.
bool IsSpeedKnown(gateway_state& aState, const call& aCall, time_point aNow)
{
  if (!IsStream(aCall)) {
    return IsKnown(LatencyOf(aState, aCall));
  }
  const model_id model = ModelOf(aCall);
  const auto own = aState.mEngineSpeeds.find({ aCall.mService, model });
  return (own != aState.mEngineSpeeds.end() && placement::IsKnown(own->second)) ||
         placement::PooledSpeed(aState.mSpeedBoard, placement::SpeedKey(aCall.mService, model),
                                aNow);
}

/// Time of the request itself until its first event or answer.
double OwnMs(gateway_state& aState, const call& aCall, const placement::demand& aDemand,
             std::int64_t aPrefillTokens)
{
  return IsStream(aCall) ? placement::PrefillMs(aDemand.mPrefill, aPrefillTokens)
                         : LatencyOf(aState, aCall).mMs;
}

void CountDecision(gateway_state& aState, const char* aOutcome)
{
  aState.mMetrics.Count("tamarackweir_work_decisions_total", { { "outcome", aOutcome } });
}

/// What is known of the time to an answer at any server that the call may use.
struct outlook
{
  overload::work_ahead mAhead;
  overload::work_decision mDecision;
  double mOwnMs = 0;
};

outlook OutlookOf(gateway_state& aState, const call& aCall, const placement::demand& aDemand,
                  time_point aNow)
{
  // The prompt's own prefill doesn't count. Under lasting overload the backlog stays where the
  // shortest prompts just fit, so longer ones would be refused always.
  outlook found{ .mAhead =
                   overload::WorkAheadOf(aState.mFleet, aDemand, aState.mWork.mSent[aCall.mService],
                                         aState.mInstances.size(), aNow),
                 .mOwnMs = OwnMs(aState, aCall, aDemand, 0) };
  found.mDecision = overload::JudgeWork(ErrorOf(aState, aCall), found.mAhead, found.mOwnMs,
                                        aCall.mDeadline - aNow, aNow);
  if (!found.mDecision.mIsValid) {
    CountDecision(aState, "invalid");
    observe::event_line("work_invalid")
      .Text("request", aCall.mHeader.mAttempt)
      .Text("service", aCall.mService.Value())
      .Real("ahead_ms", found.mAhead.mWaitMs)
      .Real("own_ms", found.mOwnMs)
      .Real("used_ms", found.mDecision.mExpectedMs)
      .Write();
  }
  return found;
}

refusal RefusalFor(gateway_state& aState, const call& aCall, const outlook& aOutlook,
                   time_point aNow)
{
  if (aCall.mRuns > 0) {
    return { .mStatus = 504, .mTitle = "no answer in time", .mNotRun = false };
  }
  const overload::refused_work refused{ .mLeastMs = aOutlook.mDecision.mLeastMs,
                                        .mOwnMs = aOutlook.mOwnMs,
                                        .mOpensIn = aOutlook.mAhead.mOpensIn,
                                        .mTimeLeft = aCall.mDeadline - aNow,
                                        .mServers = aOutlook.mAhead.mServers,
                                        .mInstances =
                                          std::max<std::size_t>(1, aState.mInstances.size()) };
  const double point = std::uniform_real_distribution<double>()(aState.mRandom);
  return { .mTitle = "the work ahead exceeds the caller's time",
           .mRetryAfter =
             overload::RetryAfterWork(aState.mWork.mRooms[aCall.mService], refused, point, aNow) };
}

void LogRefusal(const call& aCall, const outlook& aOutlook, const refusal& aRefusal,
                time_point aNow)
{
  observe::event_line line("work_refused");
  line.Text("request", aCall.mHeader.mAttempt)
    .Text("service", aCall.mService.Value())
    .Text("outcome", aRefusal.mNotRun ? "refused" : "given_up")
    .Real("ahead_ms", aOutlook.mAhead.mWaitMs)
    .Millis("age_ms", aOutlook.mAhead.mAge)
    .Real("own_ms", aOutlook.mOwnMs)
    .Real("least_ms", aOutlook.mDecision.mLeastMs)
    .Millis("left_ms", aCall.mDeadline - aNow)
    .Number("servers", static_cast<std::int64_t>(aOutlook.mAhead.mServers))
    .Number("attempts", aCall.mAttempts);
  if (aRefusal.mRetryAfter) {
    line.Millis("retry_after_ms", *aRefusal.mRetryAfter);
  }
  line.Write();
}

/// Whether an attempt without an answer is cancelled, as it can't get one in time any more.
bool IsCancelled(gateway_state& aState, const call& aCall, const work_check& aWork,
                 duration aWaited, time_point aNow)
{
  const duration left = aCall.mDeadline - aNow;
  if (!aWork.mExpectedMs || !HistoryOf(aState, aCall).mIsIdempotent ||
      !overload::IsBeyondTime(ErrorOf(aState, aCall), *aWork.mExpectedMs, aWaited, left, aNow)) {
    return false;
  }
  CountDecision(aState, "cancelled");
  observe::event_line("work_cancelled")
    .Text("request", aCall.mHeader.mAttempt)
    .Text("service", aCall.mService.Value())
    .Real("expected_ms", *aWork.mExpectedMs)
    .Millis("waited_ms", aWaited)
    .Millis("left_ms", left)
    .Write();
  return true;
}

} // namespace

work_check CheckWork(gateway_state& aState, call& aCall, const placement::demand& aDemand,
                     const placement::choice& aChoice, time_point aNow)
{
  work_check check;
  const std::size_t instances = aState.mInstances.size();
  const backends::backend_server& server = *aChoice.mServer;
  overload::sent_work& sent = aState.mWork.mSent[aCall.mService];
  if (!IsSpeedKnown(aState, aCall, aNow) || backends::IsCold(server, aNow) ||
      (instances > 1 && aNow > server.mRemoteLoad.mExpiresAt)) {
    CountDecision(aState, "unknown");
    overload::RecordSentWork(sent, aChoice.mPrefillMs, aNow);
    return check;
  }
  const double othersRate = overload::OthersRate(
    sent, instances, backends::ServersOf(aState.mFleet, aCall.mService).size(), aNow);
  const double expectedMs =
    overload::WorkAtMs(server, aDemand, placement::MeanLoad(aState.mFleet, aDemand, aNow),
                       othersRate, aNow) +
    OwnMs(aState, aCall, aDemand, aChoice.mPrefillTokens);
  check.mExpectedMs = expectedMs;
  // Other servers matter only if the request may be too late at the chosen one.
  const double leastMs =
    expectedMs * overload::LeastRatio(ErrorOf(aState, aCall), expectedMs, aNow).value_or(0);
  if (leastMs <= std::chrono::duration<double, std::milli>(aCall.mDeadline - aNow).count()) {
    CountDecision(aState, "admitted");
    overload::RecordSentWork(sent, aChoice.mPrefillMs, aNow);
    return check;
  }
  const outlook found = OutlookOf(aState, aCall, aDemand, aNow);
  overload::RecordWorkAhead(aState.mWork.mRooms[aCall.mService], found.mAhead.mWaitMs, aNow);
  if (found.mDecision.mVerdict == overload::work_verdict::Admitted) {
    CountDecision(aState, "admitted");
    overload::RecordSentWork(sent, aChoice.mPrefillMs, aNow);
    return check;
  }
  check.mRefusal = RefusalFor(aState, aCall, found, aNow);
  CountDecision(aState, check.mRefusal->mNotRun ? "refused" : "given_up");
  LogRefusal(aCall, found, *check.mRefusal, aNow);
  return check;
}

bool MayBeginInTime(gateway_state& aState, call& aCall, time_point aNow)
{
  if (!IsSpeedKnown(aState, aCall, aNow)) {
    return true;
  }
  placement::demand demand = DemandOf(aState, aCall);
  SetCondition(aState, aCall, demand, ShiftOf(aState, aCall.mService), aNow);
  const outlook found = OutlookOf(aState, aCall, demand, aNow);
  const bool mayBegin = found.mDecision.mVerdict == overload::work_verdict::Admitted;
  if (!mayBegin) {
    CountDecision(aState, "escalation_dropped");
  }
  return mayBegin;
}

void RecordWork(gateway_state& aState, const call& aCall, const work_check& aWork, duration aSeen,
                bool aIsGivenUp)
{
  if (aWork.mExpectedMs && !overload::RecordSeenWait(ErrorOf(aState, aCall), *aWork.mExpectedMs,
                                                     aSeen, aIsGivenUp, net::Now())) {
    CountDecision(aState, "invalid");
    observe::event_line("work_invalid")
      .Text("request", aCall.mHeader.mAttempt)
      .Text("service", aCall.mService.Value())
      .Real("expected_ms", *aWork.mExpectedMs)
      .Millis("seen_ms", aSeen)
      .Write();
  }
}

net::task<net::error_code> AwaitHeader(gateway_state& aState, call& aCall,
                                       attempt_outcome& aOutcome, const attempt_history& aHistory,
                                       time_point aSending)
{
  const duration left = aCall.mDeadline - aSending;
  const duration overdueAfter =
    OverdueAfter(aHistory, LatencyOf(aState, aCall), aCall.mRoute->mKind, aSending);
  duration check = FirstCheck(overdueAfter, aHistory.mIsIdempotent, left);
  net::error_code failure = co_await aOutcome.mExchange->ReadHeader(check);
  while (failure == net::asio::error::timed_out && check < left && !aCall.mCaller->IsGone()) {
    const duration waited = net::Now() - aSending;
    if (IsCancelled(aState, aCall, aOutcome.mWork, waited, net::Now())) {
      break;
    }
    // An answer that never becomes overdue is looked at for the cancellation only.
    if (overdueAfter < left && co_await MovesElsewhere(aState, aCall, *aOutcome.mAttempt, waited)) {
      aOutcome.mResult = attempt_result::TimedOut;
      aOutcome.mIsReplaced = true;
      co_return failure;
    }
    check = NextCheck(net::Now() - aSending, left);
    failure = co_await aOutcome.mExchange->ReadHeader(aSending + check - net::Now());
  }
  if (failure) {
    aOutcome.mReadFailure = failure;
    if (failure == net::asio::error::timed_out) {
      aOutcome.mResult = attempt_result::TimedOut;
      // Successes of a new version aren't recorded either: with one of the two alone, the waits
      // would seem longer or shorter than they are.
      if (!aOutcome.mAttempt->IsNewVersion()) {
        RecordWork(aState, aCall, aOutcome.mWork, net::Now() - aSending, true);
      }
    }
  }
  co_return failure;
}

duration FirstCheck(duration aOverdueAfter, bool aIsIdempotent, duration aLeft)
{
  return aIsIdempotent && aOverdueAfter >= aLeft ? aLeft / 2 : aOverdueAfter;
}

} // namespace tamarackweir::gateway
