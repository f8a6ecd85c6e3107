#include "entry/service_call.h"

#include "base/digest.h"
#include "base/log.h"
#include "entry/engine_client.h"
#include "entry/http_support.h"
#include "settings/gate.h"
#include "settings/inherit.h"

namespace tamarackweir::entry {

namespace {

/// A service call on its way.
struct call_run
{
  const runtime& mRuntime;
  const service_input& mInput;
  settings::service mService;
  owner_id mOwner;
  trace_context mTrace;
  time_point mDeadline{};
};

problem Unknown(const std::string& aDetail)
{
  problem result = NotRun(502, "outcome-unknown", "The call may have run", aDetail);
  result.mOutcome = outcome::Unknown;
  return result;
}

/// The refusal of a call that the gate does not allow, or whose claim has run out of time.
problem GateProblem(const control::begun_call& aBegun)
{
  problem result =
    NotRun(aBegun.mStatus, "not-allowed", "The call is not allowed now", *aBegun.mRefusal);
  if (aBegun.mStatus == 503) {
    result.mRetryAfter = duration(1s);
  }
  return result;
}

problem Unreachable()
{
  problem result =
    NotRun(503, "service-unreachable", "The service can't be reached",
           "the service took no connection, or refused before it began; send the call again "
           "after the time in Retry-After");
  result.mRetryAfter = duration(1s);
  return result;
}

backend_call MakeCall(const call_run& aRun)
{
  const settings::call_work& work = aRun.mInput.mWork;
  backend_call call{ .mServer = platform::ParseEndpoint(aRun.mService.mAddress.Value()),
                     .mPath = "/v1/services/" + work.mService.Value() + "/" + work.mCall.Value(),
                     .mBody = aRun.mInput.mBody,
                     .mHeaders = {} };
  call.mHeaders["traceparent"] = ToHeader(aRun.mTrace);
  if (!aRun.mInput.mIdempotencyKey.empty()) {
    call.mHeaders["Idempotency-Key"] = aRun.mInput.mIdempotencyKey;
  }
  return call;
}

/// Bills a call that ran; its price is zero, the record counts it.
void Bill(const call_run& aRun)
{
  const settings::call_work& work = aRun.mInput.mWork;
  billing::usage usage{
    .mId = {},
    .mOwner = aRun.mOwner,
    .mAccount = aRun.mInput.mAccount,
    .mStages = { { { model_id(work.mService.Value()), version_id(work.mCall.Value()) },
                   token_count(0),
                   token_count(0),
                   billing::price{} } },
    .mTrace = aRun.mTrace.mTraceId,
    .mEnd = billing::request_end::Answered,
    .mDelivered = {}
  };
  if (aRun.mInput.mIdempotencyKey.empty()) {
    const auto drawn = Ask(aRun.mRuntime, control::draw_id{});
    if (const auto* id = std::get_if<control::drawn_id>(&drawn)) {
      usage.mId = id->mRequest;
    }
  } else {
    usage.mId = billing::KeyedId(aRun.mInput.mAccount, aRun.mInput.mIdempotencyKey);
  }
  Ask(aRun.mRuntime, control::bill{ std::move(usage) });
}

problem ClaimProblem(const claims::decision& aDecision)
{
  const claims::claim_result verdict = aDecision.mResult;
  int status = 503;
  if (verdict == claims::claim_result::KeyReused) {
    status = 422;
  } else if (verdict == claims::claim_result::KeyMissing) {
    status = 400;
  } else if (verdict == claims::claim_result::Unknown) {
    status = 409;
  }
  problem result = NotRun(status, std::string("claim-") + claims::ToString(verdict),
                          "The call was not run by this attempt", claims::Detail(verdict));
  result.mOutcome = claims::IsNotRun(verdict) ? outcome::NotRun : outcome::Unknown;
  if (status == 503 || status == 409) {
    result.mRetryAfter = duration(1s);
  }
  return result;
}

/// Sends a claimed call once and records how it ended.
std::variant<service_answer, problem> SendClaimed(const call_run& aRun, claims::call_id aCall)
{
  const auto reply =
    Ask(aRun.mRuntime, control::begin_call{ aCall, aRun.mInput.mAccount, aRun.mInput.mWork });
  const auto* begun = std::get_if<control::begun_call>(&reply);
  if (begun == nullptr || begun->mRefusal ||
      !settings::MayStillSend(begun->mCheckedAt, Now(aRun.mRuntime.mSystem))) {
    Ask(aRun.mRuntime, control::finish_call{ aCall, {}, true });
    return begun != nullptr && begun->mRefusal
             ? GateProblem(*begun)
             : NotRun(503, "not-dispatched", "The call was not sent",
                      "the instance was paused; send the call again");
  }
  const call_result result = CallPlain(MakeCall(aRun));
  switch (result.mEnd) {
    case call_end::Complete:
    case call_end::Rejected:
      Ask(aRun.mRuntime,
          control::finish_call{ aCall, claims::outcome{ result.mStatus, result.mBody }, false });
      Bill(aRun);
      return service_answer{ result.mStatus, result.mBody, false };
    case call_end::NotSent:
    case call_end::Refused:
      Ask(aRun.mRuntime, control::finish_call{ aCall, {}, true });
      return Unreachable();
    case call_end::Broken:
    case call_end::Cancelled:
      break;
  }
  Ask(aRun.mRuntime, control::finish_call{ aCall, {}, false });
  return Unknown(
    "the connection to the service broke after the call was sent; ask the service's operators, "
    "or send the same call with the same Idempotency-Key to hear whether an outcome is known");
}

std::variant<service_answer, problem> RunOnce(const call_run& aRun)
{
  const settings::call_work& work = aRun.mInput.mWork;
  const claims::call call{ .mAccount = aRun.mInput.mAccount,
                           .mKey = aRun.mInput.mIdempotencyKey,
                           .mDigest = Sha256Hex(work.mService.Value() + "\n" + work.mCall.Value() +
                                                "\n" + aRun.mInput.mBody),
                           .mDeadline = aRun.mDeadline };
  const auto reply = Ask(aRun.mRuntime, control::claim{ call });
  const auto* decision = std::get_if<claims::decision>(&reply);
  if (decision == nullptr) {
    return std::get<problem>(reply);
  }
  if (decision->mResult == claims::claim_result::Proceed) {
    return SendClaimed(aRun, decision->mCall);
  }
  if (decision->mResult == claims::claim_result::Stored && decision->mOutcome) {
    // The instance that ran the call may have gone before it billed it; the same id is billed once.
    Bill(aRun);
    return service_answer{ decision->mOutcome->mStatus, decision->mOutcome->mBody, true };
  }
  return ClaimProblem(*decision);
}

std::variant<service_answer, problem> RunRepeatable(const call_run& aRun)
{
  constexpr int kAttempts = 2;
  bool mayHaveRun = false;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const auto reply =
      Ask(aRun.mRuntime, control::check_call{ aRun.mInput.mAccount, aRun.mInput.mWork });
    const auto* begun = std::get_if<control::begun_call>(&reply);
    if (mayHaveRun && (begun == nullptr || begun->mRefusal)) {
      break; // "not_run" is false once an attempt was sent
    }
    if (begun == nullptr) {
      return std::get<problem>(reply);
    }
    if (begun->mRefusal) {
      return GateProblem(*begun);
    }
    const call_result result = CallPlain(MakeCall(aRun));
    const bool hasAnswer = result.mEnd == call_end::Complete || result.mEnd == call_end::Rejected;
    if (hasAnswer) {
      Bill(aRun);
    }
    Ask(aRun.mRuntime, control::finish_repeatable{});
    if (hasAnswer) {
      return service_answer{ result.mStatus, result.mBody, false };
    }
    mayHaveRun = mayHaveRun || result.mEnd == call_end::Broken;
  }
  return mayHaveRun ? Unknown("the connection to the service broke; send the call again")
                    : Unreachable();
}

std::variant<service_answer, problem> Run(const runtime& aRuntime, const service_input& aInput,
                                          const trace_context& aTrace)
{
  const settings_view view = aRuntime.mPublished.Get();
  const auto& [service, callName] = aInput.mWork;
  const settings::tree& tree = *view.mTree;
  const auto found = tree.mServices.find(service);
  const auto account = settings::FindAccount(tree, aInput.mAccount);
  if (found == tree.mServices.end() || !found->second.mCalls.contains(callName) || !account ||
      !account->mAccount->mAllow.mServices.contains(service)) {
    return NotRun(404, "unknown-call",
                  "The service has no such call, or the client account may not use it",
                  "check the service and the call, or ask the operators for access");
  }
  const settings::values values = settings::AccountValues(tree, aInput.mAccount);
  const call_run run{ .mRuntime = aRuntime,
                      .mInput = aInput,
                      .mService = found->second,
                      .mOwner = *account->mOwnerId,
                      .mTrace = aTrace,
                      .mDeadline = Now(aRuntime.mSystem) + values.mDeadline };
  if (aInput.mBody.size() > values.mMaxRequestBytes.Value()) {
    return NotRun(413, "too-large", "The call is too large", "shorten the body");
  }
  return found->second.mCalls.at(callName).mRepeatable ? RunRepeatable(run) : RunOnce(run);
}

} // namespace

std::variant<service_answer, problem> RunServiceCall(const runtime& aRuntime,
                                                     const service_input& aInput)
{
  const trace_context trace = aRuntime.mIds.NewSpan(aInput.mTraceParent);
  const time_point begin = Now(aRuntime.mSystem);
  auto result = Run(aRuntime, aInput, trace);
  const auto* refusal = std::get_if<problem>(&result);
  const std::string end = refusal == nullptr ? "answered" : refusal->mType;
  const duration total = Now(aRuntime.mSystem) - begin;
  aRuntime.mMetrics.Count("tamarackweir_service_calls_total", { { "outcome", end } });
  aRuntime.mSpans.Add({ .mContext = trace,
                        .mParentId = ParentOf(aInput.mTraceParent),
                        .mName = "service " + aInput.mWork.mService.Value(),
                        .mStart = begin,
                        .mDuration = total,
                        .mTags = { { "account", aInput.mAccount.Value() },
                                   { "call", aInput.mWork.mCall.Value() },
                                   { "outcome", end } } });
  Log(log_level::Info, "service_call_ended",
      { { "service", aInput.mWork.mService.Value() },
        { "call", aInput.mWork.mCall.Value() },
        { "account", aInput.mAccount.Value() },
        { "trace", trace.mTraceId },
        { "outcome", end },
        { "micros", total.count() } });
  return result;
}

} // namespace tamarackweir::entry
