#include "gateway/admission.h"

#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::gateway;

namespace {

constexpr time_point kStart = time_point(100s);

attempt_history MakeHistory(bool aIsIdempotent, int aRuns = 1)
{
  return { .mIsIdempotent = aIsIdempotent,
           .mRuns = aRuns,
           .mMaxRuns = 3,
           .mDeadline = kStart + 1s,
           .mExpected = 30ms };
}

overload::retry_budget AmpleBudget()
{
  return { .mRatio = 1, .mFixedAllowance = 100 };
}

constexpr std::array kAllResults{ attempt_result::NoServer, attempt_result::NotSent,
                                  attempt_result::NotRun,   attempt_result::Broken,
                                  attempt_result::TimedOut, attempt_result::Failure,
                                  attempt_result::Success };

} // namespace

// Guards against a second run of a call that is not idempotent.
TEST_CASE("a call that is not idempotent is retried only if it certainly did not run")
{
  for (const attempt_result result : kAllResults) {
    CAPTURE(static_cast<int>(result));
    auto budget = AmpleBudget();
    if (MayRetry(result, MakeHistory(false), budget, kStart)) {
      CHECK(IsCertainlyNotRun(result));
    }
  }
  auto budget = AmpleBudget();
  CHECK(MayRetry(attempt_result::NotRun, MakeHistory(false, 0), budget, kStart));
  CHECK(MayRetry(attempt_result::NotSent, MakeHistory(false, 0), budget, kStart));
}

// Guards against a refusal that says "not run" for a request that may have run.
TEST_CASE("a request that may have run is never reported as not run")
{
  for (const attempt_result result : kAllResults) {
    const refusal answer =
      RefusalAfter(result, true, { .mTimeLeft = 1s, .mAnswerTime = 30ms }, 0.5);
    CHECK_FALSE(answer.mNotRun);
    CHECK(answer.mStatus != 503);
    CHECK(answer.mStatus != 429);
    CHECK_FALSE(answer.mRetryAfter.has_value());
  }
}

TEST_CASE("a request that has not run is refused with a retry delay within its caller's deadline")
{
  for (const duration left : { duration(300ms), duration(1s), duration(10s) }) {
    const retry_outlook outlook{ .mTimeLeft = left, .mAnswerTime = 30ms };
    const refusal early = RefusalAfter(attempt_result::NotRun, false, outlook, 0);
    const refusal late = RefusalAfter(attempt_result::NotRun, false, outlook, 0.999);
    CHECK(early.mNotRun);
    REQUIRE(early.mRetryAfter.has_value());
    CHECK(*early.mRetryAfter < *late.mRetryAfter);
    CHECK(*late.mRetryAfter <= left / 3);
  }
  const retry_outlook late{ .mTimeLeft = 100ms, .mAnswerTime = 60ms };
  CHECK_FALSE(RefusalAfter(attempt_result::NotRun, false, late, 0.5).mRetryAfter.has_value());
}

// Guards against a delay that is a part of the caller's time: a caller with 20 s left waited for
// seconds though servers had room again after some milliseconds.
TEST_CASE("a refused caller comes back when servers have room, however much time it has")
{
  const auto hasRoom = RetryAfter({ .mTimeLeft = 20s, .mAnswerTime = 60ms }, 0.999);
  REQUIRE(hasRoom.has_value());
  CHECK(*hasRoom <= 120ms);
  const auto isSlow = RetryAfter({ .mTimeLeft = 20s, .mAnswerTime = 2s }, 0);
  REQUIRE(isSlow.has_value());
  CHECK(*isSlow >= 2s);
}

TEST_CASE("callers of closed servers come back after the first opening, over as long a time")
{
  const retry_outlook closed{ .mTimeLeft = 60s, .mAnswerTime = 100ms, .mOpensIn = 5s };
  CHECK(*RetryAfter(closed, 0) >= 5s);
  CHECK(*RetryAfter(closed, 0.999) >= 9s);
  CHECK(*RetryAfter(closed, 0.999) <= 11s);
  CHECK_FALSE(RetryAfter({ .mTimeLeft = 4s, .mAnswerTime = 100ms, .mOpensIn = 5s }, 0).has_value());
}

// Guards against callers that ask again and again during an outage of the store for all instances.
TEST_CASE("callers come back later the longer an outage has lasted")
{
  CHECK(*RetryAfterOutage(10ms, 10s, 0.5) == 50ms);
  CHECK(*RetryAfterOutage(4s, 10s, 0.5) == 2s);
  CHECK(*RetryAfterOutage(4s, std::nullopt, 0.75) == 3s);
  CHECK_FALSE(RetryAfterOutage(30s, 10s, 0.5).has_value());
}

TEST_CASE("attempts end at the route's limit, and after repeated rejections")
{
  auto budget = AmpleBudget();
  CHECK_FALSE(MayRetry(attempt_result::Broken, MakeHistory(true, 3), budget, kStart));
  attempt_history refused = MakeHistory(true, 0);
  refused.mRefusals = kMaxRefusals;
  CHECK_FALSE(MayRetry(attempt_result::NotRun, refused, budget, kStart));
}

// Guards against refusing a request because a data centre that lost power takes down several
// servers at once (inc-f3eb, plovdiv-zlato).
TEST_CASE("failed connects do not use up the attempts at reachable servers")
{
  auto budget = AmpleBudget();
  attempt_history history = MakeHistory(false, 0);
  history.mNotSent = kMaxRefusals + 1;
  CHECK(MayRetry(attempt_result::NotSent, history, budget, kStart));
  history.mNotSent = kMaxNotSent;
  CHECK_FALSE(MayRetry(attempt_result::NotSent, history, budget, kStart));
}

TEST_CASE("retries that reach a server are charged to the budget, and a failed connect is not")
{
  overload::retry_budget empty{ .mRatio = 0, .mFixedAllowance = 1 };
  CHECK(MayRetry(attempt_result::NotSent, MakeHistory(true), empty, kStart));
  CHECK(MayRetry(attempt_result::Broken, MakeHistory(true), empty, kStart));
  CHECK_FALSE(MayRetry(attempt_result::Broken, MakeHistory(true), empty, kStart));
}

TEST_CASE("an answer is overdue after several times its usual time, except for the last attempt")
{
  using routing::call_kind;
  latency_estimate latency;
  for (int i = 0; i < 20; ++i) {
    RecordLatency(latency, 30ms);
  }
  const duration first = OverdueAfter(MakeHistory(true, 1), latency, call_kind::Idempotent, kStart);
  CHECK(first < 500ms);
  CHECK(first >= 80ms);
  CHECK(OverdueAfter(MakeHistory(true, 3), latency, call_kind::Idempotent, kStart) == 1s);
  CHECK(OverdueAfter(MakeHistory(false, 1), latency, call_kind::Idempotent, kStart) == 1s);
  for (int i = 0; i < 50; ++i) {
    RecordLatency(latency, 200ms);
  }
  const duration stream = OverdueAfter(MakeHistory(true, 1), latency, call_kind::Stream, kStart);
  CHECK(stream >= 400ms);
  CHECK(stream < 1s);
}

// Guards against giving up an attempt by a time that nobody has measured.
TEST_CASE("while the usual time is not known, each attempt left gets an even share of the time")
{
  using routing::call_kind;
  CHECK(OverdueAfter(MakeHistory(true, 1), {}, call_kind::Stream, kStart) == duration(1s) / 3);
  CHECK(OverdueAfter(MakeHistory(true, 2), {}, call_kind::Stream, kStart) == duration(1s) / 2);
  CHECK(OverdueAfter(MakeHistory(true, 3), {}, call_kind::Stream, kStart) == 1s);
}

// Guards against failovers that delay all streams while every engine is busy (inc-f3eb,
// plovdiv-zlato): each one prefills its prompt again.
TEST_CASE("an overdue request stays unless it gains more elsewhere than others lose by it")
{
  const other_server busy{ .mAnswersIn = 500ms, .mCost = 1500ms };
  CHECK_FALSE(MovesOn({ .mWaited = 1s, .mLeft = 9s, .mElsewhere = busy }));
  CHECK(MovesOn({ .mWaited = 2s, .mLeft = 8s, .mElsewhere = busy }));
  const other_server idle{ .mAnswersIn = 500ms, .mCost = 500ms };
  CHECK(MovesOn({ .mWaited = 1s, .mLeft = 9s, .mElsewhere = idle }));
}

TEST_CASE("a request does not move to a server that would answer after the caller's deadline")
{
  const other_server other{ .mAnswersIn = 1500ms, .mCost = 1500ms };
  CHECK_FALSE(MovesOn({ .mWaited = 4s, .mLeft = 1s, .mElsewhere = other }));
  CHECK_FALSE(MovesOn({ .mWaited = 4s, .mLeft = 1s, .mIsReachable = false, .mElsewhere = other }));
}

TEST_CASE("a request leaves an unreachable server at once, if there is another one")
{
  const other_server other{ .mAnswersIn = 2s, .mCost = 5s };
  CHECK(MovesOn({ .mWaited = 400ms, .mLeft = 9s, .mIsReachable = false, .mElsewhere = other }));
  CHECK_FALSE(MovesOn({ .mWaited = 400ms, .mLeft = 9s, .mIsReachable = false }));
}

TEST_CASE("the checks of an overdue wait become rarer and end with the caller's time")
{
  CHECK(NextCheck(400ms, 10s) == 800ms);
  CHECK(NextCheck(8s, 10s) == 10s);
  CHECK(NextCheck(0s, 10s) > 0s);
}

// Guards against answers that the end of the process cuts: a stream that usually takes 3 s may wait
// for longer than that at a busy server.
TEST_CASE("an instance that is stopping accepts requests that are certain to end in time")
{
  CHECK(IsAcceptedWhileStopping(1s, 2s));
  CHECK_FALSE(IsAcceptedWhileStopping(3s, 2s));
  CHECK(IsAcceptedWhileStopping(6s, 7s));
  CHECK_FALSE(IsAcceptedWhileStopping(25s, 7s));
  CHECK_FALSE(IsAcceptedWhileStopping(10s, 4300ms));
}
