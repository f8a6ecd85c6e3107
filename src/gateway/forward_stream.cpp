#include "base/error.h"
#include "gateway/answer_end.h"
#include "gateway/call.h"
#include "gateway/crash_reports.h"
#include "gateway/escalation.h"
#include "gateway/shift_results.h"
#include "observe/event_log.h"
#include "relay/sse_splitter.h"

#include <algorithm>

namespace tamarackweir::gateway {

namespace {

/// A pause between events after which the stream is overdue; several steps of a busy engine.
constexpr duration kOverduePause = 700ms;

/// Progress of delivering a stream to the caller.
struct delivery
{
  bool mStarted = false;                   ///< the header was sent to the caller
  unsigned mStatus = 0;                    ///< in that header
  std::string mContentType;                ///< in that header
  std::optional<std::uint64_t> mLastEvent; ///< the last event sent to the caller
  std::size_t mEvents = 0;
  doubted_end mDoubtedEnd;
};

/// Whether the answer of a resumed stream has the form of the one that the caller has begun to
/// receive. An error page that comes as a success has not.
bool Continues(const delivery& aDelivery, const net::http::response_header<>& aHeader)
{
  return !aDelivery.mStarted || (aHeader.result_int() == aDelivery.mStatus &&
                                 aHeader[net::http::field::content_type] == aDelivery.mContentType);
}

/// Events of one attempt's stream, until its pace is known.
struct stream_pace
{
  std::optional<time_point> mFirstAt;
  std::size_t mEvents = 0; ///< after the first ones
  bool mIsKnown = false;
};

/// Counts events that have arrived together. Returns the mean time between events once, when
/// `kPaceEvents` have followed the first ones or the stream has ended.
std::optional<duration> PaceAfter(stream_pace& aPace, std::size_t aCount, bool aIsEnd)
{
  if (!aPace.mFirstAt) {
    aPace.mFirstAt = net::Now();
    return std::nullopt;
  }
  aPace.mEvents += aCount;
  if (aPace.mIsKnown || aPace.mEvents == 0 || (aPace.mEvents < kPaceEvents && !aIsEnd)) {
    return std::nullopt;
  }
  aPace.mIsKnown = true;
  return (net::Now() - *aPace.mFirstAt) / static_cast<std::int64_t>(aPace.mEvents);
}

/// How the body of one attempt's stream ended.
enum class run_end
{
  Complete,
  Doubtful, ///< in order, but the stream may go on
  Broken,
  Stalled,
  CallerLeft,
};

bool IsOver(const call& aCall)
{
  return net::Now() >= aCall.mDeadline;
}

net::task<run_end> PumpEvents(gateway_state& aState, call& aCall, attempt_outcome& aOutcome,
                              delivery& aDelivery)
{
  net::exchange& exchange = *aOutcome.mExchange;
  relay::sse_splitter events{ .mNeedsIds = aDelivery.mLastEvent.has_value() };
  const net::way_giver givesWay(&aOutcome.mBodyClaim, [&events, &exchange] {
    std::string().swap(events.mIncompleteEvent);
    exchange.Close();
  });
  std::string bytes;
  bool isFirst = true;
  stream_pace pace;
  while (!exchange.IsComplete()) {
    bytes.clear();
    const time_point paused = net::Now();
    const duration left = std::max(aCall.mDeadline - paused, duration::zero());
    duration check = std::min(left, kOverduePause);
    net::error_code failure = co_await exchange.ReadSome(bytes, check);
    while (failure == net::asio::error::timed_out && check < left && !aCall.mCaller->IsGone()) {
      if (aCall.mRoute->mIsResumable &&
          co_await MovesElsewhere(aState, aCall, *aOutcome.mAttempt, net::Now() - paused)) {
        aOutcome.mIsReplaced = true;
        co_return run_end::Stalled;
      }
      check = NextCheck(net::Now() - paused, left);
      failure = co_await exchange.ReadSome(bytes, paused + check - net::Now());
    }
    if (aCall.mCaller->IsGone()) {
      co_return run_end::CallerLeft;
    }
    if (aOutcome.mBodyClaim.IsGivenUp()) {
      failure = net::asio::error::no_buffer_space;
    }
    if (failure) {
      aOutcome.mReadFailure = failure;
      LogGivenUp(aState, aCall, aOutcome);
      co_return failure == net::asio::error::timed_out ? run_end::Stalled : run_end::Broken;
    }
    aOutcome.mAttempt->Server().mLastByte = net::Now();
    relay::complete_events completeEvents;
    try {
      completeEvents = relay::ExtractCompleteEvents(events, bytes, aDelivery.mLastEvent);
    } catch (const error& malformed) {
      observe::event_line("stream_malformed")
        .Text("request", aCall.mHeader.mAttempt)
        .Text("reason", malformed.what())
        .Write();
      co_return run_end::Broken;
    }
    if (!aOutcome.mBodyClaim.TryResize(events.mIncompleteEvent.capacity())) {
      aOutcome.mReadFailure = net::asio::error::no_buffer_space;
      LogGivenUp(aState, aCall, aOutcome);
      co_return run_end::Broken;
    }
    if (completeEvents.mFault != nullptr) {
      observe::event_line("stream_malformed")
        .Text("request", aCall.mHeader.mAttempt)
        .Text("reason", completeEvents.mFault)
        .Write();
    }
    if (completeEvents.mBytes.empty()) {
      if (completeEvents.mFault != nullptr) {
        co_return run_end::Broken;
      }
      continue;
    }
    if (isFirst) {
      isFirst = false;
      aOutcome.mAttempt->MarkPrefillDone();
    }
    if (const auto perEvent = PaceAfter(pace, completeEvents.mCount, exchange.IsComplete())) {
      RecordStreamPace(aState, aCall, *aOutcome.mAttempt, *perEvent);
    }
    if (co_await aCall.mCaller->WriteBody(completeEvents.mBytes)) {
      co_return run_end::CallerLeft;
    }
    aDelivery.mEvents += completeEvents.mCount - completeEvents.mComments;
    if (completeEvents.mLastId) {
      aDelivery.mLastEvent = completeEvents.mLastId;
    }
    if (completeEvents.mFault != nullptr) {
      co_return run_end::Broken;
    }
  }
  // A body that ends with its connection can't show that it was cut, but an unfinished event does.
  co_return events.mIncompleteEvent.empty() && !aOutcome.mBodyClaim.IsGivenUp() ? run_end::Complete
                                                                                : run_end::Broken;
}

const char* NameOf(run_end aEnd)
{
  switch (aEnd) {
    case run_end::Complete:
      return "complete";
    case run_end::Doubtful:
      return "doubtful";
    case run_end::Broken:
      return "broken";
    case run_end::Stalled:
      return "stalled";
    case run_end::CallerLeft:
      return "caller_lost";
  }
  return "unknown";
}

void LogRun(const call& aCall, const attempt_outcome& aOutcome, const delivery& aDelivery,
            run_end aEnd)
{
  observe::event_line("run")
    .Text("request", aCall.mHeader.mAttempt)
    .Text("server", aOutcome.mAttempt->Server().mAnnounced.mId.Value())
    .Text("end", NameOf(aEnd))
    .Text("reason", aOutcome.mReadFailure ? aOutcome.mReadFailure.message() : "")
    .Text("framing", net::ToString(aOutcome.mExchange->Framing()))
    .Text("write_failure",
          aOutcome.mExchange->WriteFailure() ? aOutcome.mExchange->WriteFailure().message() : "")
    .Number("events", static_cast<std::int64_t>(aDelivery.mEvents))
    .Number("last_event",
            aDelivery.mLastEvent ? static_cast<std::int64_t>(*aDelivery.mLastEvent) : -1)
    .Millis("ms", net::Now() - aOutcome.mAttempt->Started())
    .Write();
}

} // namespace

net::task<> ForwardStream(gateway_state& aState, call& aCall)
{
  delivery delivered{ .mLastEvent = aCall.mHeader.mLastEvent };
  while (true) {
    attempt_outcome outcome = co_await Attempt(aState, aCall, delivered.mLastEvent);
    const duration time =
      outcome.mAttempt != nullptr ? net::Now() - outcome.mAttempt->Started() : duration::zero();
    const std::shared_ptr<net::exchange> open = aCall.mExchange;
    FinishAttempt(aState, aCall, outcome, time);
    RecordRun(aState, aCall, outcome, time);
    if (aCall.mCaller->IsGone()) {
      if (outcome.mExchange != nullptr) {
        outcome.mExchange->Close();
      }
      KeepUnanswered(aState, aCall, outcome, unanswered_end::CallerLeft);
      LogEnd(aState, aCall, 0, "caller_left");
      co_return;
    }
    attempt_result result = outcome.mResult;
    if (result == attempt_result::Success && !Continues(delivered, outcome.mExchange->Header())) {
      observe::event_line("stream_not_continued")
        .Text("request", aCall.mHeader.mAttempt)
        .Text("server", outcome.mAttempt->Server().mAnnounced.mId.Value())
        .Number("status", outcome.mExchange->Header().result_int())
        .Write();
      outcome.mExchange->Close();
      result = attempt_result::Broken;
      backends::RecordEnd(outcome.mAttempt->Server(), backends::attempt_end::Broken,
                          duration::zero(), net::Now());
    } else if (result == attempt_result::Success &&
               outcome.mExchange->Header().result_int() < 300) {
      if (!delivered.mStarted && Escalates(aState, aCall, outcome)) {
        outcome.mExchange->Close();
        KeepUnanswered(aState, aCall, outcome, unanswered_end::Moved);
        continue;
      }
      aCall.mExchange = open;
      if (!delivered.mStarted) {
        net::http::response_header<> head;
        aState.mDialect.mWriteAnswer(outcome.mExchange->Header(), head);
        head.result(outcome.mExchange->Header().result_int());
        head.reason(outcome.mExchange->Header().reason());
        delivered.mStarted = true;
        delivered.mStatus = head.result_int();
        delivered.mContentType = std::string(head[net::http::field::content_type]);
        if (co_await aCall.mCaller->StartBody(head)) {
          outcome.mExchange->Close();
          aCall.mExchange.reset();
          aCall.mCaller->Break();
          KeepUnanswered(aState, aCall, outcome, unanswered_end::CallerLeft);
          LogEnd(aState, aCall, 0, "caller_lost");
          co_return;
        }
      }
      const bool isContinuation = delivered.mLastEvent.has_value();
      const std::optional<std::uint64_t> lastEventBefore = delivered.mLastEvent;
      run_end end = co_await PumpEvents(aState, aCall, outcome, delivered);
      bool isCertain = true;
      if (end == run_end::Complete) {
        isCertain = co_await IsEndCertain(aState, aCall, outcome);
        end = ConfirmStreamEnd(delivered.mDoubtedEnd,
                               { .mIsCertain = isCertain,
                                 .mIsContinuation = isContinuation,
                                 .mHasEvents = delivered.mLastEvent != lastEventBefore,
                                 .mLastEvent = delivered.mLastEvent })
                ? run_end::Complete
                : run_end::Doubtful;
      }
      outcome.mExchange->Close();
      aCall.mExchange.reset();
      LogRun(aCall, outcome, delivered, end);
      if (end == run_end::Complete) {
        RecordWholeAnswer(aState, aCall);
        RecordEvents(aState, aCall, delivered.mEvents);
        const auto failure = co_await aCall.mCaller->FinishBody();
        LogEnd(aState, aCall, 200, failure ? "caller_lost" : "answered");
        co_return;
      }
      if (end == run_end::CallerLeft) {
        aCall.mCaller->Break();
        KeepUnanswered(aState, aCall, outcome, unanswered_end::CallerLeft);
        LogEnd(aState, aCall, 0, "caller_left");
        co_return;
      }
      result = end == run_end::Stalled ? attempt_result::TimedOut : attempt_result::Broken;
      if (end != run_end::Doubtful || !isCertain) {
        backends::RecordEnd(outcome.mAttempt->Server(),
                            end == run_end::Stalled ? backends::attempt_end::TimedOut
                                                    : backends::attempt_end::Broken,
                            duration::zero(), net::Now());
      }
    } else if (outcome.mExchange != nullptr) {
      outcome.mExchange->Close();
    }
    if (result == attempt_result::Broken && outcome.mAttempt != nullptr) {
      co_await CheckForCrash(aState, aCall, outcome);
    } else if (result == attempt_result::TimedOut) {
      KeepUnanswered(aState, aCall, outcome,
                     outcome.mIsReplaced ? unanswered_end::Moved : unanswered_end::TimedOut);
    }
    // Without an id to go on from, another run would begin anew.
    const bool mayGoOn = delivered.mEvents == 0 || delivered.mLastEvent.has_value();
    const bool isWhole = result == attempt_result::Failure || result == attempt_result::Success;
    if (outcome.mIsReplaced || (result != attempt_result::Success && mayGoOn && !IsOver(aCall) &&
                                ConsumeRetry(aState, aCall, result))) {
      continue;
    }
    if (delivered.mStarted) {
      // Breaking the connection shows the caller that the stream is incomplete; it may resume it.
      aCall.mCaller->Break();
      LogEnd(aState, aCall, 200, "broken_off");
      co_return;
    }
    if (isWhole &&
        (result == attempt_result::Success || co_await IsEndCertain(aState, aCall, outcome))) {
      co_await SendAnswer(aState, aCall, outcome);
      co_return;
    }
    co_await Refuse(aState, aCall, RefusalOf(aState, aCall, outcome, result));
    co_return;
  }
}

} // namespace tamarackweir::gateway
