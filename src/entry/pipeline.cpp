#include "entry/pipeline.h"

#include "base/log.h"
#include "entry/stage.h"
#include "platform/http_clients.h"
#include "relay/relay.h"

namespace tamarackweir::entry {

using nlohmann::json;

namespace {

/// A caller waits at most this long for the rating that decides whether a cheap answer is final.
const platform::call_options kRatingCall{ .mConnectTimeout = 100ms, .mTimeout = 300ms };

/// One chat request on its way.
struct chat_run
{
  const runtime& mRuntime;
  const chat_input& mInput;
  const stream_sink& mSink;
  request_id mRequest; ///< of this run
  trace_context mTrace;
  control::started mPlan;
  std::vector<billing::stage_use> mUses;
  bool mStarted = false;         ///< headers of the stream have gone
  bool mEarlierStageRan = false; ///< a cheap stage answered, and the request escalated
  std::string mToken;
  duration mFirstToken{}; ///< of the stage that ran last
};

std::vector<cascade::stage> CascadeStages(const control::started& aPlan)
{
  std::vector<cascade::stage> stages;
  for (const auto& [version, price] : aPlan.mStages) {
    stages.push_back({ version.mModel, micro_cost(price.mMicroPer1kTokens) });
  }
  return stages;
}

cascade::traffic_key TrafficOf(const chat_run& aRun)
{
  return { aRun.mInput.mAccount, aRun.mInput.mRequest.mKind };
}

/// The token of the session on the version that answers.
std::string TokenFor(const chat_run& aRun, const model_version& aVersion)
{
  sessions::session session = aRun.mPlan.mSession;
  session.mVersion = aVersion;
  const auto reply = Ask(aRun.mRuntime, control::issue{ session });
  const auto* issued = std::get_if<control::issued>(&reply);
  return issued == nullptr ? "" : issued->mToken.Value();
}

std::map<std::string, std::string> AnswerHeaders(const chat_run& aRun)
{
  return { { "Tamarackweir-Session", aRun.mToken },
           { "Tamarackweir-Request", aRun.mRequest.Value() },
           { "traceparent", ToHeader(aRun.mTrace) } };
}

/// Sends one event of a stream; the headers go first.
bool SendEvent(chat_run& aRun, const model_version& aVersion, const std::string& aData)
{
  if (!aRun.mStarted) {
    aRun.mStarted = true;
    aRun.mToken = TokenFor(aRun, aVersion);
    if (!aRun.mSink.mStart(AnswerHeaders(aRun))) {
      return false;
    }
  }
  return aRun.mSink.mEvent(aData);
}

/// Bills what ran and waits until the record is safe.
void Bill(const chat_run& aRun, billing::request_end aEnd, token_count aDelivered)
{
  if (aRun.mUses.empty()) {
    return;
  }
  billing::usage usage{ .mId = aRun.mRequest,
                        .mOwner = aRun.mPlan.mOwner,
                        .mAccount = aRun.mInput.mAccount,
                        .mStages = aRun.mUses,
                        .mTrace = aRun.mTrace.mTraceId,
                        .mEnd = aEnd,
                        .mDelivered = aDelivered };
  if (!aRun.mInput.mIdempotencyKey.empty()) {
    usage.mId = billing::KeyedId(aRun.mInput.mAccount, aRun.mInput.mIdempotencyKey);
  }
  Ask(aRun.mRuntime, control::bill{ std::move(usage) });
}

/// Whether a cheap answer is final, by the rating service if it answers in time.
bool IsFinal(const chat_run& aRun, const model_version& aVersion, const stage_result& aResult)
{
  std::optional<double> score;
  if (const auto& rating = aRun.mRuntime.mSettings.mRating) {
    score = platform::Rate(*rating, aRun.mRequest, aVersion.mModel, aRun.mInput.mRequest.mKind,
                           aResult.mText, kRatingCall);
  }
  const auto reply = Ask(aRun.mRuntime, control::judge{ TrafficOf(aRun), CascadeStages(aRun.mPlan),
                                                        aRun.mPlan.mPlan, score });
  const auto* judged = std::get_if<control::judged>(&reply);
  const bool isFinal = judged == nullptr || judged->mIsFinal;
  if (aRun.mRuntime.mSettings.mRating) {
    Tell(aRun.mRuntime, control::rated{ TrafficOf(aRun), aVersion, aRun.mPlan.mOwner, score,
                                        isFinal && score ? cascade::delivery::Accepted
                                                         : cascade::delivery::None });
  }
  return isFinal;
}

std::string PlainBody(const chat_run& aRun, const model_version& aVersion,
                      const stage_result& aResult)
{
  const json body{
    { "id", "chatcmpl-" + aRun.mRequest.Value() },
    { "object", "chat.completion" },
    { "model", ToString(aVersion) },
    { "choices",
      { { { "index", 0 },
          { "message", { { "role", "assistant" }, { "content", aResult.mText } } },
          { "finish_reason", aResult.mFinishReason } } } },
    { "usage",
      { { "prompt_tokens", aResult.mPromptTokens.Value() },
        { "completion_tokens", aResult.mAnswerTokens.Value() },
        { "total_tokens", aResult.mPromptTokens.Value() + aResult.mAnswerTokens.Value() } } }
  };
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Ends a request whose stage gave no whole answer.
chat_result EndWithoutAnswer(chat_run& aRun, const stage_result& aResult)
{
  const bool partial = aResult.mBegun && aRun.mInput.mRequest.mStream;
  Bill(aRun, partial ? billing::request_end::Partial : billing::request_end::NotRun,
       aResult.mAnswerTokens);
  if (aRun.mStarted) {
    if (!aResult.mCallerGone) {
      aRun.mSink.mEvent(ToJson(aResult.mProblem.value_or(problem())));
    }
    return { std::monostate(), aRun.mTrace.mTraceId };
  }
  problem refusal = aResult.mProblem.value_or(problem());
  if (aRun.mEarlierStageRan) {
    refusal.mOutcome = outcome::Unknown;
  }
  return { refusal, aRun.mTrace.mTraceId };
}

/// Ends a request whose answer is whole: bill first, then the last bytes.
chat_result EndWithAnswer(chat_run& aRun, const model_version& aVersion,
                          const stage_result& aResult, const std::vector<std::string>& aBuffered)
{
  Bill(aRun, billing::request_end::Answered, aResult.mAnswerTokens);
  if (!aRun.mInput.mRequest.mStream) {
    aRun.mToken = TokenFor(aRun, aVersion);
    return { plain_answer{ AnswerHeaders(aRun), PlainBody(aRun, aVersion, aResult) },
             aRun.mTrace.mTraceId };
  }
  std::vector<std::string> rest = aBuffered;
  rest.insert(rest.end(), aResult.mHeld.begin(), aResult.mHeld.end());
  rest.emplace_back("[DONE]");
  for (const std::string& data : rest) {
    if (!SendEvent(aRun, aVersion, data)) {
      break;
    }
  }
  return { std::monostate(), aRun.mTrace.mTraceId };
}

/// Has an answer rated that was not rated for a decision, without keeping the caller waiting.
void RateAfterwards(const chat_run& aRun, const model_version& aVersion,
                    const stage_result& aResult)
{
  if (aRun.mRuntime.mSettings.mRating) {
    RequestRating(aRun.mRuntime, { .mRequest = aRun.mRequest,
                                   .mTraffic = TrafficOf(aRun),
                                   .mVersion = aVersion,
                                   .mOwner = aRun.mPlan.mOwner,
                                   .mAnswer = aResult.mText,
                                   .mEndedAt = Now(aRun.mRuntime.mSystem) });
  }
}

/// Runs the planned stages until one is final.
chat_result RunStages(chat_run& aRun)
{
  const cascade::plan& plan = aRun.mPlan.mPlan;
  std::size_t index = plan.mFirst;
  for (;;) {
    const control::planned_stage& planned = aRun.mPlan.mStages.at(index);
    const bool mayEscalate = plan.mNext && index == plan.mFirst;
    const bool streams = aRun.mInput.mRequest.mStream && !mayEscalate;
    std::vector<std::string> buffered;
    const stage_input stage{ .mInput = &aRun.mInput,
                             .mRequest = aRun.mRequest,
                             .mVersion = planned.mVersion,
                             .mCascade = aRun.mPlan.mCascade,
                             .mSession = aRun.mPlan.mContinues
                                           ? std::optional(aRun.mPlan.mSession.mVersion)
                                           : std::nullopt,
                             .mOwner = aRun.mPlan.mOwner,
                             .mDeadline = aRun.mPlan.mDeadline,
                             .mTrace = aRun.mTrace };
    const stage_result result = RunStage(aRun.mRuntime, stage, [&](const std::string& aData) {
      if (streams) {
        return SendEvent(aRun, planned.mVersion, aData);
      }
      if (aRun.mInput.mRequest.mStream) {
        buffered.push_back(aData); // the caller sees a cheap answer only once it is final
      }
      return true;
    });
    aRun.mFirstToken = result.mFirstToken;
    if (result.mAnswerTokens != token_count(0)) {
      aRun.mUses.push_back(
        { planned.mVersion, result.mPromptTokens, result.mAnswerTokens, planned.mPrice });
    }
    if (result.mProblem || result.mCallerGone) {
      return EndWithoutAnswer(aRun, result);
    }
    if (mayEscalate && !IsFinal(aRun, planned.mVersion, result)) {
      aRun.mRuntime.mMetrics.Count("tamarackweir_escalations_total");
      aRun.mEarlierStageRan = true;
      index = *plan.mNext;
      continue;
    }
    chat_result answer = EndWithAnswer(aRun, planned.mVersion, result, buffered);
    if (!mayEscalate) {
      RateAfterwards(aRun, planned.mVersion, result);
    }
    return answer;
  }
}

std::string OutcomeLabel(const chat_result& aResult)
{
  const auto* refusal = std::get_if<problem>(&aResult.mAnswer);
  return refusal == nullptr ? "answered" : refusal->mType;
}

} // namespace

chat_result RunChat(const runtime& aRuntime, const chat_input& aInput, const stream_sink& aSink)
{
  const time_point begin = Now(aRuntime.mSystem);
  chat_run run{ .mRuntime = aRuntime,
                .mInput = aInput,
                .mSink = aSink,
                .mRequest = {},
                .mTrace = aRuntime.mIds.NewSpan(aInput.mTraceParent),
                .mPlan = {},
                .mUses = {},
                .mToken = {},
                .mFirstToken = {} };
  chat_result result{ std::monostate(), run.mTrace.mTraceId };
  const auto drawn = Ask(aRuntime, control::draw_id{});
  if (const auto* refusal = std::get_if<problem>(&drawn)) {
    return { *refusal, run.mTrace.mTraceId };
  }
  run.mRequest = std::get<control::drawn_id>(drawn).mRequest;
  const auto start = Ask(aRuntime, control::start{ .mRequest = run.mRequest,
                                                   .mAccount = aInput.mAccount,
                                                   .mModel = aInput.mRequest.mModel,
                                                   .mKind = aInput.mRequest.mKind,
                                                   .mSession = aInput.mSession,
                                                   .mDeadline = aInput.mDeadline });
  if (const auto* refusal = std::get_if<problem>(&start)) {
    result.mAnswer = *refusal;
  } else {
    run.mPlan = std::get<control::started>(start);
    const time_point dispatchedAt = Now(aRuntime.mSystem);
    result = RunStages(run);
    const bool succeeded = !std::holds_alternative<problem>(result.mAnswer);
    Ask(aRuntime, control::complete{ run.mRequest,
                                     { .mFirstToken = run.mFirstToken,
                                       .mTotal = Now(aRuntime.mSystem) - dispatchedAt,
                                       .mSucceeded = succeeded } });
  }
  const duration total = Now(aRuntime.mSystem) - begin;
  aRuntime.mMetrics.Count("tamarackweir_requests_total", { { "outcome", OutcomeLabel(result) } });
  aRuntime.mMetrics.Observe("tamarackweir_request_seconds",
                            std::chrono::duration<double>(total).count());
  aRuntime.mSpans.Add({ .mContext = run.mTrace,
                        .mParentId = ParentOf(aInput.mTraceParent),
                        .mName = "chat",
                        .mStart = begin,
                        .mDuration = total,
                        .mTags = { { "account", aInput.mAccount.Value() },
                                   { "model", aInput.mRequest.mModel },
                                   { "request", run.mRequest.Value() },
                                   { "outcome", OutcomeLabel(result) } } });
  Log(log_level::Info, "request_ended",
      { { "request", run.mRequest.Value() },
        { "trace", run.mTrace.mTraceId },
        { "account", aInput.mAccount.Value() },
        { "model", aInput.mRequest.mModel },
        { "outcome", OutcomeLabel(result) },
        { "micros", total.count() } });
  return result;
}

} // namespace tamarackweir::entry
