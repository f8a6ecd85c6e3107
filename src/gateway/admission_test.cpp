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
    const refusal answer = RefusalAfter(result, true, 1s, 0.5);
    CHECK_FALSE(answer.mNotRun);
    CHECK(answer.mStatus != 503);
    CHECK(answer.mStatus != 429);
    CHECK_FALSE(answer.mRetryAfter.has_value());
  }
}

TEST_CASE("a request that has not run is refused with a retry delay within its caller's deadline")
{
  for (const duration left : { duration(300ms), duration(1s), duration(10s) }) {
    const refusal early = RefusalAfter(attempt_result::NotRun, false, left, 0);
    const refusal late = RefusalAfter(attempt_result::NotRun, false, left, 0.999);
    CHECK(early.mNotRun);
    REQUIRE(early.mRetryAfter.has_value());
    CHECK(*early.mRetryAfter < *late.mRetryAfter);
    CHECK(*late.mRetryAfter <= left / 3);
  }
  CHECK_FALSE(RefusalAfter(attempt_result::NotRun, false, 100ms, 0.5).mRetryAfter.has_value());
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

TEST_CASE("an idempotent call times out early, except for its last attempt")
{
  const routing::route route{ .mKind = routing::call_kind::Idempotent, .mTargetLatency = 150ms };
  latency_estimate latency;
  for (int i = 0; i < 20; ++i) {
    RecordLatency(latency, 30ms);
  }
  const duration first = LimitsOf(MakeHistory(true, 1), latency, route, kStart).mFailOverAfter;
  CHECK(first < 500ms);
  CHECK(first >= 80ms);
  CHECK(LimitsOf(MakeHistory(true, 3), latency, route, kStart).mFailOverAfter == 1s);
  CHECK(LimitsOf(MakeHistory(false, 1), latency, route, kStart).mFailOverAfter == 1s);
}

// Guards against early failovers that delay all streams while every engine is busy (inc-f3eb,
// plovdiv-zlato).
TEST_CASE("a stream fails over from a reachable server only near its target latency")
{
  const routing::route route{ .mKind = routing::call_kind::Stream, .mTargetLatency = 4s };
  latency_estimate latency;
  for (int i = 0; i < 20; ++i) {
    RecordLatency(latency, 200ms);
  }
  attempt_history history = MakeHistory(true, 1);
  history.mDeadline = kStart + 10s;
  const attempt_limits limits = LimitsOf(history, latency, route, kStart);
  CHECK(limits.mProbeAfter < 1s);
  CHECK(limits.mFailOverAfter > 3s);
  CHECK(limits.mFailOverAfter <= 4s);
}

TEST_CASE("an instance that is stopping accepts requests that can end in time")
{
  using routing::call_kind;
  CHECK(IsAcceptedWhileStopping(call_kind::RunOnce, 1s, 2s, 8s));
  CHECK_FALSE(IsAcceptedWhileStopping(call_kind::RunOnce, 3s, 2s, 8s));
  CHECK(IsAcceptedWhileStopping(call_kind::Stream, 25s, 7s, 8s));
  CHECK_FALSE(IsAcceptedWhileStopping(call_kind::Stream, 25s, 4s, 8s));
}
