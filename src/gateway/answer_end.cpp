#include "gateway/answer_end.h"

#include "net/http_call.h"
#include "observe/event_log.h"

#include <algorithm>

namespace tamarackweir::gateway {

namespace {

/// Time for the statement of a server; a busy one takes several steps of its engine.
constexpr duration kStatementLimit = 1s;
constexpr duration kAskAgain = 20ms;
constexpr std::size_t kMaxStatementBytes = std::size_t{ 64 } * 1024;

/// Whether a connection that was open has ended without an answer.
bool IsCut(const net::error_code& aFailure)
{
  return aFailure == net::asio::error::connection_reset || aFailure == net::asio::error::eof ||
         aFailure == net::asio::error::broken_pipe;
}

/// Whether a statement may come from this start of the server.
bool IsSameStart(const server_statement& aStatement, const backends::announcement& aServer)
{
  return !aStatement.mIsWrongServer &&
         (!aStatement.mServer || *aStatement.mServer == aServer.mId) &&
         (aStatement.mStartId == 0 || aServer.mStartId == 0 ||
          aStatement.mStartId == aServer.mStartId);
}

} // namespace

bool ConfirmStreamEnd(doubted_end& aDoubted, const stream_end& aEnd)
{
  const bool isConfirmed = aDoubted.mIsSet && aDoubted.mLastEvent == aEnd.mLastEvent;
  if (aEnd.mIsCertain && (!aEnd.mIsContinuation || aEnd.mHasEvents || isConfirmed)) {
    return true;
  }
  aDoubted = { .mIsSet = true, .mLastEvent = aEnd.mLastEvent };
  return false;
}

net::task<bool> IsEndCertain(gateway_state& aState, const call& aCall,
                             const attempt_outcome& aOutcome)
{
  if (aOutcome.mExchange->Framing() != net::body_framing::Connection) {
    co_return true;
  }
  const backends::announcement server = aOutcome.mAttempt->Server().mAnnounced;
  const auto service = aCall.mRoutes->mServices.find(aCall.mService);
  const time_point asked = net::Now();
  const time_point end = std::min(asked + kStatementLimit, aCall.mDeadline);
  if (service == aCall.mRoutes->mServices.end() || service->second.mStatementTarget.empty()) {
    const bool accepts =
      co_await AcceptsConnections(aOutcome.mAttempt->Pointer(), aCall.mCaller->Executor()) &&
      !aOutcome.mExchange->HasFailed();
    observe::event_line("answer_end")
      .Text("request", aCall.mHeader.mAttempt)
      .Text("server", server.mId.Value())
      .Flag("certain", accepts)
      .Text("reason", "nowhere to ask; only connected")
      .Write();
    aState.mMetrics.Count("tamarackweir_answer_ends_total",
                          { { "certain", accepts ? "yes" : "no" } });
    co_return accepts;
  }
  net::http_call question;
  question.mServer = server.mAddress;
  question.mTarget = service->second.mStatementTarget;
  question.mMaxAnswerBytes = kMaxStatementBytes;
  aState.mDialect.mWriteQuestion(server.mId, question);
  net::http_result answer;
  do {
    question.mLimit = std::max(end - net::Now(), duration::zero());
    answer = co_await net::Perform(aCall.mCaller->Executor(), question);
    if (!answer.mFailure || !IsCut(answer.mFailure)) {
      break;
    }
    // A server with too many connections resets further ones; one that has ended refuses the next.
    co_await net::SleepFor(aCall.mCaller->Executor(), kAskAgain);
  } while (net::Now() < end && !aCall.mCaller->IsGone());
  // A busy server that has taken the question and has no time for it still runs.
  const bool isBusy = answer.mMayBeDone && answer.mFailure == net::asio::error::timed_out;
  const bool isReset = aOutcome.mExchange->HasFailed();
  const bool isCertain =
    !isReset &&
    (isBusy || (!answer.mFailure && IsSameStart(aState.mDialect.mReadStatement(answer), server)));
  observe::event_line("answer_end")
    .Text("request", aCall.mHeader.mAttempt)
    .Text("server", server.mId.Value())
    .Flag("certain", isCertain)
    .Flag("reset", isReset)
    .Text("reason", answer.mFailure ? answer.mFailure.message() : "")
    .Number("status", answer.mStatus)
    .Millis("ms", net::Now() - asked)
    .Write();
  aState.mMetrics.Count("tamarackweir_answer_ends_total",
                        { { "certain", isCertain ? "yes" : "no" } });
  co_return isCertain;
}

void LogGivenUp(gateway_state& aState, const call& aCall, const attempt_outcome& aOutcome)
{
  if (aOutcome.mReadFailure != net::asio::error::no_buffer_space) {
    return;
  }
  const bool gaveWay = aOutcome.mBodyClaim.IsGivenUp();
  observe::event_line("answer_given_up")
    .Text("request", aCall.mHeader.mAttempt)
    .Text("server", aOutcome.mAttempt->Server().mAnnounced.mId.Value())
    .Text("reason", gaveWay ? "memory is short, the largest gave way to a smaller one"
                            : "memory is short, none that can give way is larger")
    .Number("bytes", static_cast<std::int64_t>(aOutcome.mBodyClaim.Bytes()))
    .Number("held", static_cast<std::int64_t>(aState.mAnswerBudget->mUsed))
    .Write();
  aState.mMetrics.Count("tamarackweir_answers_given_up_total",
                        { { "reason", gaveWay ? "gave_way" : "refused" } });
}

} // namespace tamarackweir::gateway
