#include "gateway/crash_reports.h"

#include "base/digest.h"
#include "observe/event_log.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace tamarackweir::gateway {

namespace {

const char* NameOf(quarantine::run_stage aStage)
{
  switch (aStage) {
    case quarantine::run_stage::Waiting:
      return "waiting";
    case quarantine::run_stage::JustBegun:
      return "just_begun";
    case quarantine::run_stage::Streaming:
      return "streaming";
  }
  return "unknown";
}

quarantine::run_stage StageOf(const gateway_state& aState, const call& aCall, time_point aNow)
{
  if (aCall.mRoute->mKind != routing::call_kind::Stream) {
    // The answer arrives at once, so nothing tells a call that waits from one that runs.
    return quarantine::run_stage::JustBegun;
  }
  if (!aCall.mAnswerBegan) {
    return quarantine::run_stage::Waiting;
  }
  return aNow - *aCall.mAnswerBegan < aState.mCrashes.mOptions.mJustBegun
           ? quarantine::run_stage::JustBegun
           : quarantine::run_stage::Streaming;
}

/// The crash of the attempt's server at `aNow`, if there is one.
quarantine::crash_record CrashUnder(const gateway_state& aState, const call& aCall,
                                    const attempt_outcome& aOutcome, time_point aNow)
{
  const backends::announcement& server = aOutcome.mAttempt->Server().mAnnounced;
  const std::uint64_t start =
    StableHash(server.mId.Value(), static_cast<std::uint64_t>(server.mStartId));
  return { .mId = StableHash(aCall.mHeader.mAttempt, start),
           .mServer = start,
           .mStage = StageOf(aState, aCall, aNow),
           .mParts = SharedParts(aCall),
           .mRequest = aCall.mFingerprint,
           .mAt = aNow,
           .mSent = aOutcome.mAttempt->Started(),
           .mIsOwn = true };
}

/// Records a crash that this instance has seen.
/// \param aFound for the log: "at_once" or "later"
void RecordCrash(gateway_state& aState, const quarantine::crash_record& aCrash,
                 const std::string& aAttempt, const backends::backend_server& aServer,
                 const char* aFound)
{
  const quarantine::crash_effect effect = quarantine::RecordCrash(aState.mCrashes, aCrash);
  observe::event_line("server_crashed")
    .Text("request", aAttempt)
    .Text("server", aServer.mAnnounced.mId.Value())
    .Text("stage", NameOf(aCrash.mStage))
    .Text("found", aFound)
    .Text("fingerprint", ToHex({ aCrash.mRequest }))
    .Text("parts", ToHex(aCrash.mParts))
    .Write();
  ReportEvidence(aState, { { aCrash.mRequest, effect } }, "own");
}

const char* NameOf(unanswered_end aEnd)
{
  switch (aEnd) {
    case unanswered_end::Broken:
      return "broken";
    case unanswered_end::TimedOut:
      return "timed_out";
    case unanswered_end::Moved:
      return "moved";
    case unanswered_end::Withdrawn:
      return "withdrawn";
    case unanswered_end::CallerLeft:
      return "caller_left";
  }
  return "unknown";
}

const char* NameOf(quarantine::crash_effect aEffect)
{
  switch (aEffect) {
    case quarantine::crash_effect::Known:
      return "known";
    case quarantine::crash_effect::Counted:
      return "counted";
    case quarantine::crash_effect::Merged:
      return "merged";
    case quarantine::crash_effect::Answered:
      return "answered_since";
    case quarantine::crash_effect::Quarantined:
      return "quarantined";
    case quarantine::crash_effect::NoRequest:
      return "no_request";
  }
  return "unknown";
}

} // namespace

std::string ToHex(const std::vector<quarantine::cause_key>& aKeys)
{
  std::string text;
  for (const quarantine::cause_key key : aKeys) {
    std::array<char, 24> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx",
                  static_cast<unsigned long long>(key.Value()));
    text += (text.empty() ? "" : ",") + std::string(digits.data());
  }
  return text;
}

void ShareCrashNews(const gateway_state& aState, crash_news aNews)
{
  if (aState.mShareCrashNews) {
    aState.mShareCrashNews(aNews);
  }
}

std::vector<quarantine::cause_key> SharedParts(const call& aCall)
{
  std::vector<quarantine::cause_key> parts;
  for (std::size_t i = 0; i + 1 < aCall.mHeader.mParts.size(); ++i) {
    parts.emplace_back(aCall.mHeader.mParts[i].mId);
  }
  return parts;
}

quarantine::cause_key FingerprintOf(const call& aCall)
{
  std::uint64_t hash = StableHash(aCall.mAccount != nullptr ? aCall.mAccount->mId.Value() : "");
  hash = StableHash(aCall.mHeader.mHost, hash);
  hash = StableHash(aCall.mRequest->mMethod, hash);
  hash = StableHash(aCall.mRequest->mTarget, hash);
  hash = StableHash(aCall.mRequest->mBody, hash);
  for (const placement::prompt_part& part : aCall.mHeader.mParts) {
    hash = StableHash(std::to_string(part.mId), hash);
  }
  return quarantine::cause_key(std::max<std::uint64_t>(1, hash));
}

bool IsRequestQuarantined(const gateway_state& aState, const call& aCall)
{
  return quarantine::IsQuarantined(aState.mCrashes, { aCall.mFingerprint }, net::Now());
}

bool IsQuarantined(const gateway_state& aState, const call& aCall)
{
  return !aState.mCrashes.mQuarantined.empty() &&
         (IsRequestQuarantined(aState, aCall) ||
          quarantine::IsQuarantined(aState.mCrashes, SharedParts(aCall), net::Now()));
}

void KeepUnanswered(gateway_state& aState, const call& aCall, const attempt_outcome& aOutcome,
                    unanswered_end aEnd)
{
  if (aOutcome.mAttempt == nullptr || IsCertainlyNotRun(aOutcome.mResult)) {
    return;
  }
  Keep(aState.mUnanswered, { .mCrash = CrashUnder(aState, aCall, aOutcome, net::Now()),
                             .mAttempt = aCall.mHeader.mAttempt,
                             .mServer = aOutcome.mAttempt->Pointer(),
                             .mUntil = aCall.mDeadline + kCrashFollowsWithin });
  aState.mMetrics.Count("tamarackweir_runs_unanswered_total", { { "end", NameOf(aEnd) } });
  observe::event_line("run_unanswered")
    .Text("request", aCall.mHeader.mAttempt)
    .Text("server", aOutcome.mAttempt->Server().mAnnounced.mId.Value())
    .Text("end", NameOf(aEnd))
    .Text("fingerprint", ToHex({ aCall.mFingerprint }))
    .Write();
}

void RecordFoundCrashes(gateway_state& aState, time_point aNow)
{
  const std::vector<unanswered_run> crashed = TakeCrashed(aState.mUnanswered, aNow);
  for (const unanswered_run& run : crashed) {
    RecordCrash(aState, run.mCrash, run.mAttempt, *run.mServer, "later");
  }
  if (!crashed.empty()) {
    ShareCrashNews(aState, crash_news::Evidence);
  }
}

void ReportEvidence(
  gateway_state& aState,
  const std::vector<std::pair<quarantine::cause_key, quarantine::crash_effect>>& aEvidence,
  const char* aSource)
{
  for (const auto& [request, effect] : aEvidence) {
    aState.mMetrics.Count("tamarackweir_crash_evidence_total", { { "effect", NameOf(effect) } });
    observe::event_line("crash_evidence")
      .Text("fingerprint", ToHex({ request }))
      .Text("effect", NameOf(effect))
      .Text("source", aSource)
      .Write();
  }
}

net::task<> CheckForCrash(gateway_state& aState, call& aCall, const attempt_outcome& aOutcome)
{
  if (aCall.mIsWithdrawn || aCall.mCaller->IsGone()) {
    KeepUnanswered(aState, aCall, aOutcome,
                   aCall.mIsWithdrawn ? unanswered_end::Withdrawn : unanswered_end::CallerLeft);
    co_return;
  }
  const quarantine::crash_record crash = CrashUnder(aState, aCall, aOutcome, net::Now());
  const backends::server_pointer& server = aOutcome.mAttempt->Pointer();
  if (co_await AcceptsConnections(server, aCall.mCaller->Executor())) {
    // Its listener may close a moment later, or belong to another start already.
    KeepUnanswered(aState, aCall, aOutcome, unanswered_end::Broken);
    co_return;
  }
  aCall.mCrashes += crash.mStage == quarantine::run_stage::JustBegun ? 1 : 0;
  RecordCrash(aState, crash, aCall.mHeader.mAttempt, *server, "at_once");
  ShareCrashNews(aState, crash_news::Evidence);
}

void RecordWholeAnswer(gateway_state& aState, const call& aCall)
{
  quarantine::RecordAnswer(aState.mCrashes, SharedParts(aCall), net::Now());
  quarantine::RecordRequestAnswer(aState.mCrashes, aCall.mFingerprint, net::Now());
}

void QuarantineWorstSuspect(gateway_state& aState, time_point aNow)
{
  if (const auto key = quarantine::QuarantineWorstSuspect(aState.mCrashes, aNow); key) {
    OnQuarantined(aState, { *key }, "own");
    ShareCrashNews(aState, crash_news::Decision);
  }
}

void OnQuarantined(gateway_state& aState, const std::vector<quarantine::cause_key>& aKeys,
                   const char* aSource)
{
  if (aKeys.empty()) {
    return;
  }
  for (const quarantine::cause_key key : aKeys) {
    const bool isRequest = aState.mCrashes.mQuarantined.at(key).mIsRequest;
    aState.mMetrics.Count(isRequest ? "tamarackweir_requests_quarantined_total"
                                    : "tamarackweir_parts_quarantined_total");
    observe::event_line(isRequest ? "request_quarantined" : "part_quarantined")
      .Text(isRequest ? "fingerprint" : "parts", ToHex({ key }))
      .Text("source", aSource)
      .Number("crashes", static_cast<std::int64_t>(aState.mCrashes.mRecords.size()))
      .Number("suspected", static_cast<std::int64_t>(aState.mCrashes.mSuspected.size()))
      .Write();
  }
  for (call* const open : *aState.mOpenCalls) {
    // An answer that has begun goes on: if it ends well, the quarantine was wrong.
    if (open->mExchange != nullptr && !open->mAnswerBegan && !open->mKeepsRunning &&
        IsQuarantined(aState, *open)) {
      open->mIsWithdrawn = true;
      open->mExchange->Close();
    }
  }
}

open_call::open_call(gateway_state& aState, call& aCall)
  : mOpenCalls(aState.mOpenCalls)
  , mCall(aCall)
{
  mOpenCalls->insert(&mCall);
}

open_call::~open_call()
{
  mOpenCalls->erase(&mCall);
}

} // namespace tamarackweir::gateway
