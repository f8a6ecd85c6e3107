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
                                  attempt_result::Silent,   attempt_result::Failure,
                                  attempt_result::Success };

} // namespace

// Guards the promise that a call which may not be repeated runs at most once.
TEST_CASE("a call that may not be repeated is sent again only if it certainly did not run")
{
  for (const attempt_result result : kAllResults) {
    CAPTURE(static_cast<int>(result));
    auto budget = AmpleBudget();
    if (MaySendAgain(result, MakeHistory(false), budget, kStart)) {
      CHECK(IsCertainlyNotRun(result));
    }
  }
  auto budget = AmpleBudget();
  CHECK(MaySendAgain(attempt_result::NotRun, MakeHistory(false, 0), budget, kStart));
  CHECK(MaySendAgain(attempt_result::NotSent, MakeHistory(false, 0), budget, kStart));
}

// Guards the promise that a refusal which says "not run" is true.
TEST_CASE("a request that may have run is never refused as not run")
{
  for (const attempt_result result : kAllResults) {
    const refusal told = RefusalAfter(result, true, 1s, 0.5);
    CHECK_FALSE(told.mNotRun);
    CHECK(told.mStatus != 503);
    CHECK(told.mStatus != 429);
    CHECK_FALSE(told.mRetryAfter.has_value());
  }
}

TEST_CASE("a request that has not run is refused with a time to come back that its caller has")
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

TEST_CASE("attempts end at the route's bound, and at servers that all refuse")
{
  auto budget = AmpleBudget();
  CHECK_FALSE(MaySendAgain(attempt_result::Broken, MakeHistory(true, 3), budget, kStart));
  attempt_history refused = MakeHistory(true, 0);
  refused.mRefusals = kMaxRefusals;
  CHECK_FALSE(MaySendAgain(attempt_result::NotRun, refused, budget, kStart));
}

// A data centre that loses its power takes several servers at once (inc-f3eb, plovdiv-zlato).
TEST_CASE("servers that are not reached do not use up the tries at those that are there")
{
  auto budget = AmpleBudget();
  attempt_history history = MakeHistory(false, 0);
  history.mNotSent = kMaxRefusals + 1;
  CHECK(MaySendAgain(attempt_result::NotSent, history, budget, kStart));
  history.mNotSent = kMaxNotSent;
  CHECK_FALSE(MaySendAgain(attempt_result::NotSent, history, budget, kStart));
}

TEST_CASE("arrivals beyond the first are charged to the budget, and a failed connect is not")
{
  overload::retry_budget empty{ .mRatio = 0, .mFixedAllowance = 1 };
  CHECK(MaySendAgain(attempt_result::NotSent, MakeHistory(true), empty, kStart));
  CHECK(MaySendAgain(attempt_result::Broken, MakeHistory(true), empty, kStart));
  CHECK_FALSE(MaySendAgain(attempt_result::Broken, MakeHistory(true), empty, kStart));
}

TEST_CASE("a call that may be repeated is given up early, the last attempt is not")
{
  const routing::route route{ .mKind = routing::call_kind::Idempotent, .mTargetLatency = 150ms };
  usual_time usual;
  for (int i = 0; i < 20; ++i) {
    RecordTime(usual, 30ms);
  }
  const duration first = LimitsOf(MakeHistory(true, 1), usual, route, kStart).mMove;
  CHECK(first < 500ms);
  CHECK(first >= 80ms);
  CHECK(LimitsOf(MakeHistory(true, 3), usual, route, kStart).mMove == 1s);
  CHECK(LimitsOf(MakeHistory(false, 1), usual, route, kStart).mMove == 1s);
}

// With all engines busy, streams that moved early made each other later (inc-f3eb, plovdiv-zlato).
TEST_CASE("a stream whose server is there waits until it is late")
{
  const routing::route route{ .mKind = routing::call_kind::Stream, .mTargetLatency = 4s };
  usual_time usual;
  for (int i = 0; i < 20; ++i) {
    RecordTime(usual, 200ms);
  }
  attempt_history history = MakeHistory(true, 1);
  history.mDeadline = kStart + 10s;
  const attempt_limits limits = LimitsOf(history, usual, route, kStart);
  CHECK(limits.mProbe < 1s);
  CHECK(limits.mMove > 3s);
  CHECK(limits.mMove <= 4s);
}

TEST_CASE("an instance that stops takes what ends in time")
{
  using routing::call_kind;
  CHECK(IsTakenWhileStopping(call_kind::RunOnce, 1s, 2s, 8s));
  CHECK_FALSE(IsTakenWhileStopping(call_kind::RunOnce, 3s, 2s, 8s));
  CHECK(IsTakenWhileStopping(call_kind::Stream, 25s, 7s, 8s));
  CHECK_FALSE(IsTakenWhileStopping(call_kind::Stream, 25s, 4s, 8s));
}
