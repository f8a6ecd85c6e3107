#include "gateway/answer_end.h"
#include "gateway/call.h"
#include "gateway/crash_reports.h"
#include "gateway/waiting_room.h"

namespace tamarackweir::gateway {

net::task<> ForwardPlain(gateway_state& aState, call& aCall)
{
  attempt_result last = attempt_result::NoServer;
  while (true) {
    const std::optional<refusal> noPlace = co_await WaitForPlace(aState, aCall, last);
    if (aCall.mCaller->IsGone()) {
      LogEnd(aState, aCall, 0, "caller_left");
      co_return;
    }
    if (noPlace) {
      co_await Refuse(aState, aCall, *noPlace);
      co_return;
    }
    attempt_outcome outcome = co_await Attempt(aState, aCall, std::nullopt);
    const duration time =
      outcome.mAttempt != nullptr ? net::Now() - outcome.mAttempt->Started() : duration::zero();
    FinishAttempt(aState, aCall, outcome, time);
    RecordPlace(aState, aCall, outcome);
    last = outcome.mResult;
    if (outcome.mExchange != nullptr) {
      outcome.mExchange->Close();
    }
    if (aCall.mCaller->IsGone()) {
      KeepUnanswered(aState, aCall, outcome, unanswered_end::CallerLeft);
      LogEnd(aState, aCall, 0, "caller_left");
      co_return;
    }
    if (outcome.mResult == attempt_result::Success) {
      RecordWholeAnswer(aState, aCall);
      co_await SendAnswer(aState, aCall, outcome);
      co_return;
    }
    if (outcome.mResult == attempt_result::Broken && outcome.mAttempt != nullptr) {
      co_await CheckForCrash(aState, aCall, outcome);
    } else if (outcome.mResult == attempt_result::TimedOut) {
      KeepUnanswered(aState, aCall, outcome,
                     outcome.mIsReplaced ? unanswered_end::Moved : unanswered_end::TimedOut);
    }
    if (outcome.mIsReplaced || ConsumeRetry(aState, aCall, outcome.mResult)) {
      continue;
    }
    if (outcome.mResult == attempt_result::Failure &&
        co_await IsEndCertain(aState, aCall, outcome)) {
      co_await SendAnswer(aState, aCall, outcome);
      co_return;
    }
    co_await Refuse(aState, aCall, RefusalOf(aState, aCall, outcome, outcome.mResult));
    co_return;
  }
}

} // namespace tamarackweir::gateway
