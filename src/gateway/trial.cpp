#include "gateway/trial.h"

#include "base/digest.h"
#include "gateway/crash_reports.h"
#include "gateway/early_refusal.h"
#include "observe/event_log.h"

namespace tamarackweir::gateway {

namespace {

std::uint64_t OwnerOf(const gateway_state& aState, const call& aCall)
{
  // With the attempt, as an instance may have two calls of the request.
  return StableHash(aState.mSelf.mId.Value(),
                    StableHash(aCall.mHeader.mAttempt, aCall.mFingerprint.Value()));
}

void LogTrial(gateway_state& aState, const call& aCall, const char* aStep)
{
  aState.mMetrics.Count("tamarackweir_trials_total", { { "step", aStep } });
  observe::event_line("trial")
    .Text("request", aCall.mHeader.mAttempt)
    .Text("fingerprint", ToHex({ aCall.mFingerprint }))
    .Text("step", aStep)
    .Write();
}

refusal TrialRefusal(gateway_state& aState, const call& aCall)
{
  LogTrial(aState, aCall, "refused");
  if (aCall.mRuns > 0) {
    return RefusalAfter(attempt_result::Broken, true, {}, 0);
  }
  // The run that is under way will be answered in the usual time, if the request is sound.
  const duration usual = HistoryOf(aState, aCall).mExpected;
  const retry_outlook outlook{ .mTimeLeft = aCall.mDeadline - net::Now(),
                               .mAnswerTime = usual,
                               .mOpensIn = quarantine::kClaimWait + usual };
  return { .mTitle = "servers crashed under the request, and another run of it is under way",
           .mRetryAfter =
             RetryAfter(outlook, std::uniform_real_distribution<double>()(aState.mRandom)) };
}

} // namespace

bool IsOnTrial(const gateway_state& aState, const call& aCall)
{
  return quarantine::IsOnTrial(aState.mCrashes, aCall.mFingerprint, net::Now());
}

net::task<std::optional<refusal>> AwaitTrial(gateway_state& aState, call& aCall)
{
  if (aCall.mHoldsTrial || !IsOnTrial(aState, aCall)) {
    co_return std::nullopt;
  }
  const time_point now = net::Now();
  const std::uint64_t owner = OwnerOf(aState, aCall);
  if (!quarantine::TryClaim(aState.mTrialClaims, aCall.mFingerprint,
                            { .mOwner = owner, .mSince = now, .mUntil = aCall.mDeadline })) {
    co_return TrialRefusal(aState, aCall);
  }
  aCall.mHoldsTrial = true;
  LogTrial(aState, aCall, "claimed");
  ShareCrashNews(aState, crash_news::Decision);
  co_await net::SleepFor(aCall.mCaller->Executor(), quarantine::kClaimWait);
  if (auto quarantined = RefusalIfQuarantined(aState, aCall)) {
    co_return aCall.mRuns > 0 ? TrialRefusal(aState, aCall) : *quarantined;
  }
  if (!quarantine::HoldsClaim(aState.mTrialClaims, aCall.mFingerprint, owner, net::Now())) {
    aCall.mHoldsTrial = false;
    co_return TrialRefusal(aState, aCall);
  }
  co_return std::nullopt;
}

void EndTrial(gateway_state& aState, call& aCall)
{
  if (!aCall.mHoldsTrial) {
    return;
  }
  const std::uint64_t owner = OwnerOf(aState, aCall);
  const auto claim = aState.mTrialClaims.find(aCall.mFingerprint);
  if (claim == aState.mTrialClaims.end() || claim->second.mOwner != owner) {
    return;
  }
  const bool isAnswered =
    quarantine::LastAnswer(aState.mCrashes, aCall.mFingerprint) >= claim->second.mSince;
  claim->second.mUntil = net::Now() + (isAnswered ? duration::zero() : kCrashFollowsWithin);
  LogTrial(aState, aCall, isAnswered ? "answered" : "unanswered");
  ShareCrashNews(aState, crash_news::Decision);
}

} // namespace tamarackweir::gateway
