#include "overload/work_admission.h"

#include "placement/load_board.h"

#include <doctest/doctest.h>
#include <limits>

using namespace tamarackweir;
using namespace tamarackweir::overload;

namespace {

constexpr time_point kNow = time_point(100s);
constexpr double kNan = std::numeric_limits<double>::quiet_NaN();

wait_error ErrorOf(double aRatio)
{
  wait_error error;
  for (int i = 0; i < 10; ++i) {
    RecordSeenWait(error, 1000, std::chrono::milliseconds(static_cast<int>(1000 * aRatio)), false,
                   kNow);
  }
  return error;
}

work_verdict Judge(wait_error aError, const work_ahead& aAhead, duration aTimeLeft)
{
  return JudgeWork(aError, aAhead, 0, aTimeLeft, kNow).mVerdict;
}

const work_ahead kTenSeconds{ .mIsKnown = true, .mWaitMs = 10'000, .mServers = 3 };

} // namespace

// Guards against refusals on a guess: only known work that is certainly too much counts.
TEST_CASE("a request is refused only if its least wait exceeds the caller's time")
{
  CHECK(Judge(ErrorOf(1), kTenSeconds, 9s) == work_verdict::Refused);
  CHECK(Judge(ErrorOf(1), kTenSeconds, 11s) == work_verdict::Admitted);
  // Waits are half or three times as long as expected.
  CHECK(Judge(ErrorOf(0.5), kTenSeconds, 9s) == work_verdict::Admitted);
  CHECK(Judge(ErrorOf(3), kTenSeconds, 11s) == work_verdict::Refused);
  // An instance that has just started, an unknown load, and an idle server.
  CHECK(Judge({}, kTenSeconds, 1s) == work_verdict::Admitted);
  CHECK(Judge(ErrorOf(1), { .mWaitMs = 10'000, .mServers = 3 }, 1s) == work_verdict::Admitted);
  work_ahead idle = kTenSeconds;
  idle.mHasIdleServer = true;
  CHECK(Judge(ErrorOf(1), idle, 1s) == work_verdict::Admitted);
}

// Guards against a few quick answers being overlooked, and against given-up waits that lower it.
TEST_CASE("the least ratio is one that 19 in 20 requests exceed")
{
  wait_error error = ErrorOf(2);
  RecordSeenWait(error, 1000, 100ms, true, kNow);
  CHECK(LeastRatio(error, 1000, kNow) == doctest::Approx(2));
  RecordSeenWait(error, 1000, 500ms, false, kNow);
  CHECK(LeastRatio(error, 1000, kNow) == doctest::Approx(0.5));
  CHECK(LeastRatio(error, 8000, kNow) == doctest::Approx(0.5)); // by the nearest shorter waits
  for (int i = 0; i < 11; ++i) {
    RecordSeenWait(error, 1000, 2s, false, kNow);
  }
  CHECK(LeastRatio(error, 1000, kNow) == doctest::Approx(2));
  CHECK_FALSE(LeastRatio(error, 100, kNow));
  CHECK_FALSE(LeastRatio(error, 1000, kNow + 11s));
}

// Guards against an instance that refuses everything after its own freeze or a cut link.
TEST_CASE("waits that all ended without an answer refuse nothing")
{
  wait_error error;
  for (int i = 0; i < 30; ++i) {
    RecordSeenWait(error, 1000, 8s, true, kNow);
  }
  CHECK(Judge(error, { .mIsKnown = true, .mWaitMs = 1100, .mServers = 3 }, 8s) ==
        work_verdict::Admitted);
  for (int i = 0; i < 10; ++i) {
    RecordSeenWait(error, 300, 300ms, false, kNow);
  }
  CHECK(LeastRatio(error, 1000, kNow) == doctest::Approx(1));
}

// Guards against bad input that ends the process or decides.
TEST_CASE("invalid input leaves the last valid value in force")
{
  wait_error error = ErrorOf(1);
  JudgeWork(error, kTenSeconds, 0, 9s, kNow);
  for (const double invalid : { kNan, -1.0, std::numeric_limits<double>::infinity() }) {
    work_ahead ahead = kTenSeconds;
    ahead.mWaitMs = invalid;
    const work_decision decision = JudgeWork(error, ahead, invalid, 9s, kNow);
    CHECK_FALSE(decision.mIsValid);
    CHECK(decision.mExpectedMs == doctest::Approx(10'000));
    CHECK(decision.mVerdict == work_verdict::Refused);
    CHECK_FALSE(RecordSeenWait(error, invalid, 1s, false, kNow));
    CHECK_FALSE(IsBeyondTime(error, invalid, 1s, 1s, kNow));
    room_schedule schedule{ .mDrainRate = 2 };
    RecordWorkAhead(schedule, invalid, kNow);
    CHECK_FALSE(schedule.mWaitMs);
    CHECK_FALSE(RetryAfterWork(schedule, { .mLeastMs = invalid, .mTimeLeft = 1s }, 0, kNow));
  }
  CHECK_FALSE(RecordSeenWait(error, 1000, -1s, false, kNow));
  CHECK_FALSE(LeastRatio(error, 1000, kNow - 50s)); // the clock was set back
}

// Guards against a server that is taken for loaded by what another one reports, or by nothing.
TEST_CASE("the work ahead is that of the best usable server")
{
  backends::fleet fleet;
  for (const char* id : { "a", "b", "cold", "leaving" }) {
    backends::Announce(fleet,
                       { .mId = server_id(id),
                         .mService = service_id("llm"),
                         .mIsLeaving = std::string(id) == "leaving",
                         .mColdRemaining = std::string(id) == "cold" ? 3s : 0s },
                       kNow);
  }
  placement::demand demand;
  demand.mService = service_id("llm");
  demand.mParts = { { .mId = 1, .mTokens = 100 } };
  demand.mIsAllowed = [](const auto&) { return true; };
  CHECK_FALSE(WorkAheadOf(fleet, demand, {}, 2, kNow).mIsKnown);
  placement::ApplyTotals(
    fleet,
    { { backends::ServerKey(server_id("a")), { .mPrefillMs = 900, .mRequests = 9 } },
      { backends::ServerKey(server_id("b")), { .mPrefillMs = 500, .mRequests = 5 } } },
    kNow);
  const work_ahead ahead = WorkAheadOf(fleet, demand, {}, 2, kNow);
  CHECK(ahead.mIsKnown);
  CHECK_FALSE(ahead.mHasIdleServer);
  CHECK(ahead.mServers == 2);
  CHECK(ahead.mWaitMs == doctest::Approx(505));
  CHECK(ahead.mOpensIn == 3s);
  // What the other instance has sent since the report counts.
  sent_work sent;
  RecordSentWork(sent, 400, kNow);
  CHECK(WorkAheadOf(fleet, demand, sent, 2, kNow).mWaitMs > 505);
  CHECK_FALSE(WorkAheadOf(fleet, demand, {}, 2, kNow + 2s).mIsKnown);
  placement::ApplyTotals(fleet, {}, kNow);
  CHECK(WorkAheadOf(fleet, demand, {}, 2, kNow).mHasIdleServer);
}

// Guards against callers that are sent back in vain, or return all at once.
TEST_CASE("refused callers return when there is room, no faster than it appears")
{
  refused_work refused{
    .mLeastMs = 9000, .mOwnMs = 100, .mTimeLeft = 8s, .mServers = 10, .mInstances = 20
  };
  room_schedule schedule;
  CHECK_FALSE(RetryAfterWork(schedule, refused, 0, kNow)); // the work drains no faster than time
  RecordWorkAhead(schedule, 9000, kNow);
  for (int i = 1; i <= 20; ++i) { // twice as fast
    RecordWorkAhead(schedule, 9000 - 200 * i, kNow + i * 100ms);
  }
  CHECK(schedule.mDrainRate == doctest::Approx(2).epsilon(0.01));
  const time_point now = kNow + 2s;
  duration last{};
  int callers = 0; // refused, with a Retry-After
  while (const auto wait = RetryAfterWork(schedule, refused, 0, now)) {
    CHECK(*wait >= 990ms);
    CHECK(*wait <= 7900ms);
    // A request takes 100 ms, and one of twenty instances has half of one of the ten servers.
    CHECK((callers == 0 || *wait - last >= 199ms));
    last = *wait;
    ++callers;
  }
  CHECK(callers == 35);
  room_schedule closed;
  refused.mOpensIn = 3s;
  CHECK(RetryAfterWork(closed, refused, 0.5, now) == 3100ms);
  refused.mOpensIn = 8s;
  CHECK_FALSE(RetryAfterWork(closed, refused, 0.5, now));
}

// Guards against waits that go on in vain, and against cancelling on the first small delay.
TEST_CASE("a waiting request is cancelled once its server has become far slower")
{
  CHECK_FALSE(IsBeyondTime(ErrorOf(1), 4000, 1s, 3s, kNow));
  CHECK_FALSE(IsBeyondTime(ErrorOf(1.4), 4000, 1s, 3s, kNow));
  CHECK(IsBeyondTime(ErrorOf(3), 4000, 1s, 3s, kNow));
  CHECK_FALSE(IsBeyondTime({}, 4000, 1s, 3s, kNow));
}

// Guards against refusals of nearly all requests for 10 s, because successes at a new version are
// not recorded and time-outs are.
TEST_CASE("time-outs alone do not tell how long requests take at least")
{
  wait_error error;
  const time_point now = time_point(100s);
  for (const duration seen : { 4000ms, 4000ms, 4000ms, 8000ms }) {
    REQUIRE(RecordSeenWait(error, 100, seen, true, now));
  }
  const work_ahead ahead{ .mIsKnown = true, .mWaitMs = 100, .mServers = 2 };
  CHECK(JudgeWork(error, ahead, 50, 6s, now).mVerdict == work_verdict::Admitted);
}
