#include "rollout/shift.h"

#include "base/digest.h"
#include "base/error.h"
#include "rollout/results_message.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace tamarackweir;
using namespace tamarackweir::rollout;

namespace {

constexpr time_point kStart = time_point(100s);

shift MakeShift(duration aDuration = 24s)
{
  return { .mOrder = { .mService = service_id("llm"),
                       .mTo = version_id("v2"),
                       .mDuration = aDuration,
                       .mOrder = 5 },
           .mStarted = kStart };
}

time_point At(const shift& aShift, double aElapsed)
{
  return aShift.mStarted + std::chrono::duration_cast<duration>(aShift.mOrder.mDuration * aElapsed);
}

void RecordMany(shift& aShift, bool aIsNew, const char* aServer, int aGood, int aBad,
                const char* aRoute = "r")
{
  const result_key key{ .mIsNew = aIsNew, .mRoute = aRoute, .mServer = server_id(aServer) };
  for (int i = 0; i < aGood; ++i) {
    Record(aShift, key, true);
  }
  for (int i = 0; i < aBad; ++i) {
    Record(aShift, key, false);
  }
}

} // namespace

TEST_CASE("the share of the new version grows over the shift and never falls while it runs")
{
  const shift_options options;
  const shift running = MakeShift();
  double last = 0;
  for (double elapsed = 0; elapsed <= 1; elapsed += 0.01) {
    const double share = NewShare(running, options, At(running, elapsed));
    CHECK(share >= last);
    last = share;
  }
  CHECK(NewShare(running, options, kStart) == 0);
  CHECK(last == 1);
}

TEST_CASE("a shift that is rolled back or halted sends nothing to the new version")
{
  const shift_options options;
  shift back = MakeShift();
  back.mProgress = shift_progress{ .mOrder = 5, .mPhase = shift_phase::RolledBack };
  CHECK(NewShare(back, options, At(back, 0.9)) == 0);
  shift halted = MakeShift();
  halted.mIsHalted = true;
  CHECK(NewShare(halted, options, At(halted, 0.9)) == 0);
}

TEST_CASE("a session keeps its version through the trial")
{
  const shift_options options;
  const shift running = MakeShift();
  session_pins pins;
  pins[1] = session_pin{ .mPoint = 0.01, .mLastActive = kStart };
  for (time_point now = kStart; now < At(running, 0.49); now += 3s) {
    CHECK(PickSide(running, options, 0.01, 1, pins, now) == side::Old);
  }
}

TEST_CASE("a session that begins in the trial takes the new version and does not go back")
{
  const shift_options options;
  const shift running = MakeShift();
  session_pins pins;
  for (time_point now = kStart + options.mNotice; now < At(running, 1); now += 3s) {
    CHECK(PickSide(running, options, 0.01, 1, pins, now) == side::New);
  }
}

// A session that moves to an instance that has not seen it must not change its version. The seed of
// the first failure: hunt-0841-35 on plovdiv-zlato, where callers moved to another data centre.
TEST_CASE("a session under way keeps its version when it moves to another instance in the trial")
{
  const shift_options options;
  shift here = MakeShift();
  shift there = MakeShift();
  session_pins pinsHere;
  session_pins pinsThere;
  REQUIRE(PickSide(here, options, 0.01, 1, pinsHere, kStart + 500ms) == side::Old);
  const auto kept = SessionsToKeep(options, pinsHere, kStart + options.mKeepListAfter);
  there.mKeptSessions.insert(kept.begin(), kept.end());
  REQUIRE(PickSide(here, options, 0.01, 1, pinsHere, kStart + 3s) == side::Old);
  CHECK(PickSide(there, options, 0.01, 1, pinsThere, kStart + 4s) == side::Old);
}

TEST_CASE("only sessions under way that the trial would take are told to the others")
{
  const shift_options options;
  session_pins pins;
  pins[1] = { .mPoint = 0.01, .mLastActive = kStart };
  pins[2] = { .mPoint = 0.5, .mLastActive = kStart };
  pins[3] = { .mPoint = 0.01, .mLastActive = kStart - 10s };
  CHECK(SessionsToKeep(options, pins, kStart + 1s) == std::vector<std::uint64_t>{ 1 });
}

TEST_CASE("every instance finds the same side for a session")
{
  const shift_options options;
  const shift running = MakeShift();
  for (std::uint64_t session = 0; session < 1000; ++session) {
    const double point =
      static_cast<double>(StableHash(std::to_string(session)) >> 11U) * 0x1.0p-53;
    session_pins first;
    session_pins second;
    const time_point now = At(running, 0.4);
    CHECK(PickSide(running, options, point, session, first, now) ==
          PickSide(running, options, point, session, second, now));
  }
}

TEST_CASE("a version that fails a third of its requests is found within few failures")
{
  const shift_options options;
  int worst = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    shift running = MakeShift();
    RecordMany(running, false, "old", 200, 1);
    int bad = 0;
    while (!IsBad(running, options) && bad < 50) {
      const bool fails = std::bernoulli_distribution(0.34)(random);
      bad += fails ? 1 : 0;
      RecordMany(running, true, random() % 2 == 0 ? "new-1" : "new-2", fails ? 0 : 1,
                 fails ? 1 : 0);
    }
    worst = std::max(worst, bad);
  }
  // Traffic has to stop within seconds of the fiftieth failure.
  CHECK(worst < 25);
}

TEST_CASE("a version that is no worse is seldom taken for bad")
{
  const shift_options options;
  int halted = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    shift running = MakeShift();
    bool isBad = false;
    for (int i = 0; i < 400 && !isBad; ++i) {
      const bool isNew = std::bernoulli_distribution(0.3)(random);
      const bool fails = std::bernoulli_distribution(0.01)(random);
      RecordMany(running, isNew, random() % 2 == 0 ? "s-1" : "s-2", fails ? 0 : 1, fails ? 1 : 0);
      isBad = IsBad(running, options);
    }
    halted += isBad ? 1 : 0;
  }
  CHECK(halted <= 6); // 2 in 100 shifts
}

TEST_CASE("a single faulty server does not make its version bad")
{
  const shift_options options;
  shift running = MakeShift();
  RecordMany(running, false, "old", 200, 1);
  RecordMany(running, true, "new-1", 4, 8);
  RecordMany(running, true, "new-2", 30, 1);
  CHECK_FALSE(IsBad(running, options));
}

TEST_CASE("failures on one route alone are found")
{
  const shift_options options;
  shift running = MakeShift();
  RecordMany(running, false, "old", 400, 2, "a");
  RecordMany(running, true, "new-1", 100, 0, "a");
  RecordMany(running, true, "new-1", 4, 3, "b");
  RecordMany(running, true, "new-2", 4, 3, "b");
  CHECK(IsBad(running, options));
}

// mix --seed 819000406924 on kitamura-weir: a version that failed on one route got 101 requests
// where 98 were allowed, because the last step came before the failing route had results.
TEST_CASE("a version that fails on one route is found within the bound on its exposure")
{
  const shift_options options;
  constexpr double kRequestsPerSecond = 40;
  constexpr duration kKnownAfter =
    400ms; // results reach the collectors, and the verdict the others
  constexpr double kBoundShare = 0.15;
  constexpr double kBoundSlack = 30;
  int above = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    shift running = MakeShift(11s);
    std::vector<std::pair<time_point, std::pair<result_key, bool>>> onTheWay;
    int total = 0;
    int exposed = 0;
    const auto step =
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / kRequestsPerSecond));
    for (time_point now = kStart; now < At(running, 1); now += step) {
      ++total;
      while (!onTheWay.empty() && onTheWay.front().first <= now) {
        Record(running, onTheWay.front().second.first, onTheWay.front().second.second);
        onTheWay.erase(onTheWay.begin());
      }
      running.mIsHalted = running.mIsHalted || IsBad(running, options);
      const bool isNew = std::bernoulli_distribution(NewShare(running, options, now))(random);
      const bool isOnBadRoute = std::bernoulli_distribution(0.27)(random);
      const bool fails = isNew && isOnBadRoute && std::bernoulli_distribution(0.5)(random);
      exposed += isNew ? 1 : 0;
      const result_key key{ .mIsNew = isNew,
                            .mRoute = isOnBadRoute ? "bad" : "good",
                            .mServer = server_id(random() % 2 == 0 ? "s-1" : "s-2") };
      onTheWay.push_back({ now + kKnownAfter, { key, !fails } });
    }
    above += exposed > kBoundShare * total + kBoundSlack ? 1 : 0;
  }
  CHECK(above == 0);
}

TEST_CASE("the evidence of several instances counts together")
{
  const shift_options options;
  shift collector = MakeShift();
  RecordMany(collector, false, "old", 100, 1);
  for (const char* const instance : { "a", "b", "c" }) {
    shift other = MakeShift();
    RecordMany(other, true, "new-1", 2, 1);
    RecordMany(other, true, "new-2", 2, 1);
    REQUIRE_FALSE(IsBad(other, options));
    MergeResults(collector, instance, other.mOwn);
  }
  CHECK(IsBad(collector, options));
}

TEST_CASE("results that arrive twice or out of order count once")
{
  shift collector = MakeShift();
  shift other = MakeShift();
  RecordMany(other, true, "new-1", 5, 1);
  const shift_results early = other.mOwn;
  RecordMany(other, true, "new-1", 5, 1);
  MergeResults(collector, "a", other.mOwn);
  MergeResults(collector, "a", early);
  CHECK(collector.mOthers.at("a").begin()->second == counts{ .mGood = 10, .mBad = 2 });
}

TEST_CASE("the phases follow one another and end")
{
  const shift_options options;
  shift running = MakeShift();
  CHECK(NextPhase(running, options, kStart) == shift_phase::Running);
  running.mProgress = shift_progress{ .mOrder = 5 };
  CHECK_FALSE(NextPhase(running, options, At(running, 0.5)).has_value());
  CHECK(NextPhase(running, options, At(running, 0.85)) == shift_phase::Succeeded);
  running.mIsHalted = true;
  CHECK(NextPhase(running, options, At(running, 0.85)) == shift_phase::RolledBack);
  running.mProgress->mPhase = shift_phase::RolledBack;
  CHECK_FALSE(NextPhase(running, options, At(running, 0.9)).has_value());
}

// All traffic has left the old version well before its servers stop.
TEST_CASE("a shift succeeds before its deadline and after the last share")
{
  const shift_options options;
  CHECK(options.mSecondStepEnd < options.mSuccessAt);
  CHECK(options.mSuccessAt < 0.9);
}

TEST_CASE("a report of results survives its way, and an unreadable one is refused")
{
  shift running = MakeShift();
  RecordMany(running, true, "new-1", 3, 1);
  const results_report sent{
    .mService = service_id("llm"), .mOrder = 5, .mInstance = "a/1", .mResults = running.mOwn
  };
  const results_report read = DecodeReport(EncodeReport(sent));
  CHECK(read.mResults == sent.mResults);
  CHECK(read.mInstance == "a/1");
  CHECK_THROWS_AS(DecodeReport("{}"), error);
  CHECK_THROWS_AS(DecodeReport("["), error);
}
