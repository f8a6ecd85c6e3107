#include "entry/stage.h"

#include "base/digest.h"
#include "base/error.h"
#include "entry/engine_client.h"
#include "relay/relay.h"
#include "settings/gate.h"

#include <algorithm>

namespace tamarackweir::entry {

using nlohmann::json;

namespace {

/// A choice whose server stops being eligible before the send is made again this often.
constexpr int kMaxChoices = 8;
/// Prompts are compared in blocks of this many bytes, so that a longer conversation shares its
/// beginning.
constexpr std::size_t kPrefixBlock = 1024;
constexpr std::size_t kMaxPrefixes = 8;
/// Tokens of an answer whose engine reports no usage: one event carries about one token, and
/// English and Japanese prompts have about 4 bytes a token.
constexpr std::size_t kBytesPerToken = 4;

/// Hashes of the prompt's prefixes, the longest first.
std::vector<std::uint64_t> PrefixHashes(const std::string& aPrompt)
{
  std::vector<std::uint64_t> hashes;
  for (std::size_t block = 1; block <= kMaxPrefixes && block * kPrefixBlock <= aPrompt.size();
       ++block) {
    hashes.insert(hashes.begin(), StableHash(aPrompt.substr(0, block * kPrefixBlock)));
  }
  return hashes;
}

/// The body that goes to the engine; the same for every attempt, so that its digest identifies the
/// request.
std::string EngineBody(const stage_input& aStage)
{
  json body = aStage.mInput->mRequest.mBody;
  body["model"] = ToString(aStage.mVersion);
  body["stream"] = true;
  body["stream_options"] = { { "include_usage", true } };
  return body.dump();
}

control::attempt_end ToEnd(call_end aEnd)
{
  switch (aEnd) {
    case call_end::Complete:
      return control::attempt_end::Answered;
    case call_end::NotSent:
      return control::attempt_end::NotSent;
    case call_end::Refused:
      return control::attempt_end::Refused;
    case call_end::Rejected:
      return control::attempt_end::Rejected;
    case call_end::Broken:
      return control::attempt_end::Crashed;
    case call_end::Cancelled:
      return control::attempt_end::Cancelled;
  }
  return control::attempt_end::Crashed;
}

problem EngineProblem(const call_result& aResult)
{
  const bool isCallersFault = aResult.mStatus >= 400 && aResult.mStatus < 500;
  return { .mStatus = isCallersFault ? aResult.mStatus : 502,
           .mType = isCallersFault ? "engine-rejected" : "engine-error",
           .mTitle = "The backend server rejected the request",
           .mDetail = "the backend server answered " + std::to_string(aResult.mStatus) + ": " +
                      aResult.mBody.substr(0, 500) +
                      "; correct the request, or send it again later",
           .mOutcome = outcome::Unknown,
           .mRetryAfter = {} };
}

problem EndProblem(relay::next_step aStep)
{
  const bool notRun = aStep == relay::next_step::EndNotRun;
  return { .mStatus = notRun ? 503 : 502,
           .mType = notRun ? "no-server" : "answer-lost",
           .mTitle = notRun ? "No backend server could take the request"
                            : "The backend servers broke off before the answer was whole",
           .mDetail = "send the request again after the time in Retry-After",
           .mOutcome = notRun ? outcome::NotRun : outcome::Unknown,
           .mRetryAfter = duration(1s) };
}

/// One stage on its way; members change with each attempt.
struct stage_run
{
  const runtime& mRuntime;
  const stage_input& mStage;
  const stage_event& mOnEvent;
  std::string mBody;
  control::choose mChoose;
  relay::state mRelay;
  stage_result mResult;
  std::vector<server_id> mTried;
};

/// Takes one event's data in order: adds up the answer, passes it on, holds it back from the finish
/// reason on.
bool TakeData(stage_run& aRun, const std::string& aData)
{
  stage_result& result = aRun.mResult;
  const json chunk = json::parse(aData, nullptr, false);
  if (chunk.is_object()) {
    if (const auto usage = chunk.find("usage"); usage != chunk.end() && usage->is_object()) {
      result.mPromptTokens = token_count(usage->value("prompt_tokens", std::int64_t{ 0 }));
      result.mAnswerTokens = token_count(usage->value("completion_tokens", std::int64_t{ 0 }));
    }
    const auto choices = chunk.find("choices");
    if (choices != chunk.end() && choices->is_array() && !choices->empty()) {
      const json& choice = choices->at(0);
      const json delta = choice.value("delta", json::object());
      if (delta.is_object() && delta.contains("content") && delta.at("content").is_string()) {
        result.mText += delta.at("content").get<std::string>();
        result.mAnswerTokens = token_count(result.mAnswerTokens.Value() + 1);
      }
      if (choice.contains("finish_reason") && choice.at("finish_reason").is_string()) {
        result.mFinishReason = choice.at("finish_reason").get<std::string>();
      }
    }
  }
  if (!result.mFinishReason.empty()) {
    result.mHeld.push_back(aData);
    return true;
  }
  result.mBegun = true;
  return aRun.mOnEvent(aData);
}

/// Chooses a server and passes the last check before the send. Returns a refusal, or nothing.
std::optional<problem> PrepareAttempt(stage_run& aRun, control::chosen& aChosen,
                                      control::dispatched& aDispatched)
{
  for (int i = 0; i < kMaxChoices; ++i) {
    aRun.mChoose.mExclude = aRun.mTried;
    const auto choice = Ask(aRun.mRuntime, aRun.mChoose);
    if (const auto* refusal = std::get_if<problem>(&choice)) {
      return *refusal;
    }
    aChosen = std::get<control::chosen>(choice);
    const auto checked = Ask(aRun.mRuntime, control::dispatch{ aRun.mChoose, aChosen });
    if (const auto* passed = std::get_if<control::dispatched>(&checked)) {
      aDispatched = *passed;
      return std::nullopt;
    }
    const auto& refusal = std::get<problem>(checked);
    if (refusal.mType != "server-changed") {
      return refusal;
    }
  }
  return EndProblem(relay::next_step::EndNotRun);
}

backend_call MakeCall(const stage_run& aRun, const control::chosen& aChosen,
                      const control::dispatched& aDispatched, const trace_context& aSpan,
                      std::optional<std::uint64_t> aLastEventId)
{
  backend_call call{ .mServer = platform::ParseEndpoint(aChosen.mAddress),
                     .mPath = "/v1/chat/completions",
                     .mBody = aRun.mBody,
                     .mHeaders = {} };
  call.mHeaders["Tamarackweir-Request"] = aRun.mStage.mRequest.Value();
  call.mHeaders["Tamarackweir-Revision"] = std::to_string(aDispatched.mRevision.Value());
  call.mHeaders["traceparent"] = ToHeader(aSpan);
  if (aLastEventId) {
    call.mHeaders["Last-Event-ID"] = std::to_string(*aLastEventId);
  }
  // The deadline may have passed meanwhile.
  call.mReadTimeout = std::clamp(aRun.mRelay.mCall.mDeadline - Now(aRun.mRuntime.mSystem),
                                 duration(10ms), aRun.mRelay.mOptions.mIdleTimeout);
  call.mLimit = std::max(aRun.mRelay.mCall.mDeadline - Now(aRun.mRuntime.mSystem), duration(10ms));
  return call;
}

/// What an attempt came to.
struct attempt_outcome
{
  call_result mCall;
  bool mTimedOut = false;
  relay::actions mNext; ///< what the events asked for: finish, or a break
};

/// Sends one attempt and takes its events.
attempt_outcome SendAttempt(stage_run& aRun, const control::chosen& aChosen,
                            const control::dispatched& aDispatched,
                            std::optional<std::uint64_t> aLastEventId)
{
  caf::actor_system& system = aRun.mRuntime.mSystem;
  const trace_context context{ aRun.mStage.mTrace.mTraceId, aRun.mRuntime.mIds.Hex(8) };
  const time_point sentAt = Now(system);
  const int attempt = relay::OnAttempt(aRun.mRelay, true, sentAt);
  attempt_outcome outcome;
  bool hasFirst = false;
  time_point lastArrival = sentAt;
  std::uint64_t implicitId = aLastEventId ? *aLastEventId + 1 : 0;
  const backend_call call = MakeCall(aRun, aChosen, aDispatched, context, aLastEventId);
  outcome.mCall = CallStreaming(call, aRun.mStage.mRequest, [&](const relay::sse_event& aEvent) {
    const time_point now = Now(system);
    lastArrival = now;
    if (now >= aRun.mRelay.mCall.mDeadline) {
      outcome.mTimedOut = true;
      return false;
    }
    if (!hasFirst) {
      hasFirst = true;
      aRun.mResult.mFirstToken = now - sentAt;
      Tell(aRun.mRuntime, control::first_token{ aChosen.mServer, now - sentAt });
      aRun.mRuntime.mMetrics.Observe("tamarackweir_first_token_seconds",
                                     std::chrono::duration<double>(now - sentAt).count());
    }
    const std::uint64_t id = aEvent.mId.value_or(implicitId);
    implicitId = id + 1;
    outcome.mNext =
      relay::OnChunk(aRun.mRelay, { aRun.mStage.mRequest, id, aEvent.mData, attempt }, now);
    for (const std::string& data : outcome.mNext.mDeliver) {
      if (!TakeData(aRun, data)) {
        aRun.mResult.mCallerGone = true;
        return false;
      }
    }
    return outcome.mNext.mNext == relay::next_step::Continue ||
           outcome.mNext.mNext == relay::next_step::Finish;
  });
  outcome.mTimedOut = outcome.mTimedOut ||
                      IsTimeout(outcome.mCall.mEnd, Now(system) - lastArrival, call.mReadTimeout) ||
                      IsTimeout(outcome.mCall.mEnd, Now(system) - sentAt, call.mLimit);
  aRun.mRuntime.mSpans.Add(
    { .mContext = context,
      .mParentId = aRun.mStage.mTrace.mSpanId,
      .mName = "backend " + aChosen.mServer.Value(),
      .mStart = sentAt,
      .mDuration = Now(system) - sentAt,
      .mTags = {
        { "server", aChosen.mServer.Value() },
        { "data_centre", aChosen.mDataCentre.Value() },
        { "version", ToString(aRun.mStage.mVersion) },
        { "attempt", std::to_string(attempt) },
        { "end", outcome.mCall.mEnd == call_end::Complete ? "complete" : "not complete" } } });
  return outcome;
}

relay::break_reason ToReason(const attempt_outcome& aOutcome)
{
  if (aOutcome.mTimedOut) {
    return relay::break_reason::Idle;
  }
  const call_end end = aOutcome.mCall.mEnd;
  return end == call_end::Refused || end == call_end::NotSent ? relay::break_reason::Refused
                                                              : relay::break_reason::Closed;
}

/// Runs attempts until the answer is whole or no other may be made.
void RunAttempts(stage_run& aRun)
{
  std::optional<std::uint64_t> lastEventId;
  for (;;) {
    control::chosen chosen;
    control::dispatched dispatched;
    if (auto refusal = PrepareAttempt(aRun, chosen, dispatched)) {
      const auto end = relay::OnNoServer(aRun.mRelay).mNext;
      aRun.mResult.mProblem =
        end == relay::next_step::EndNotRun || aRun.mRelay.mAttempt == 0 ? refusal : EndProblem(end);
      return;
    }
    if (!settings::MayStillSend(dispatched.mCheckedAt, Now(aRun.mRuntime.mSystem))) {
      // The process was paused after the check; nothing has left, so the attempt starts over.
      Ask(aRun.mRuntime, control::finished{ aRun.mStage.mRequest, chosen, dispatched.mCheckedAt,
                                            control::attempt_end::Refused, aRun.mStage.mVersion,
                                            aRun.mStage.mOwner });
      continue;
    }
    const attempt_outcome outcome = SendAttempt(aRun, chosen, dispatched, lastEventId);
    const bool isForeign = outcome.mNext.mReason.has_value();
    control::attempt_end end =
      isForeign ? control::attempt_end::Rejected : ToEnd(outcome.mCall.mEnd);
    if (outcome.mTimedOut) {
      end = control::attempt_end::TimedOut;
    }
    Ask(aRun.mRuntime, control::finished{ aRun.mStage.mRequest, chosen, dispatched.mCheckedAt, end,
                                          aRun.mStage.mVersion, aRun.mStage.mOwner });
    if (outcome.mNext.mNext == relay::next_step::Finish || aRun.mResult.mCallerGone) {
      return;
    }
    if (outcome.mCall.mEnd == call_end::Rejected && !aRun.mResult.mBegun) {
      aRun.mResult.mProblem = EngineProblem(outcome.mCall);
      return;
    }
    const relay::actions next = isForeign
                                  ? outcome.mNext
                                  : relay::OnBreak(aRun.mRelay, aRun.mRelay.mAttempt,
                                                   ToReason(outcome), Now(aRun.mRuntime.mSystem));
    if (next.mNext != relay::next_step::Resume && next.mNext != relay::next_step::Restart) {
      aRun.mResult.mProblem = EndProblem(next.mNext);
      return;
    }
    lastEventId = next.mLastEventId;
    aRun.mTried.push_back(chosen.mServer);
    aRun.mChoose.mRetry = true;
    aRun.mChoose.mAfterNotRun = ToReason(outcome) == relay::break_reason::Refused;
    aRun.mRuntime.mMetrics.Count("tamarackweir_retries_total");
  }
}

} // namespace

stage_result RunStage(const runtime& aRuntime, const stage_input& aStage,
                      const stage_event& aOnEvent)
{
  stage_run run{ .mRuntime = aRuntime,
                 .mStage = aStage,
                 .mOnEvent = aOnEvent,
                 .mBody = EngineBody(aStage),
                 .mChoose = {},
                 .mRelay = {},
                 .mResult = {},
                 .mTried = {} };
  const std::string prompt = PromptText(aStage.mInput->mRequest);
  run.mChoose = { .mRequest = aStage.mRequest,
                  .mAccount = aStage.mInput->mAccount,
                  .mVersion = aStage.mVersion,
                  .mCascade = aStage.mCascade,
                  .mSession = aStage.mSession,
                  .mPrefixes = PrefixHashes(prompt),
                  .mExclude = {},
                  .mFingerprint = quarantine::MakeFingerprint(aStage.mInput->mAccount, run.mBody),
                  .mDeadline = aStage.mDeadline };
  run.mRelay.mCall = { .mRequest = aStage.mRequest,
                       .mRepeatable = true,
                       .mDeadline = aStage.mDeadline };
  RunAttempts(run);
  if (run.mResult.mPromptTokens == token_count(0) && run.mResult.mAnswerTokens != token_count(0)) {
    run.mResult.mPromptTokens =
      token_count(static_cast<std::int64_t>(prompt.size() / kBytesPerToken + 1));
  }
  return run.mResult;
}

} // namespace tamarackweir::entry
