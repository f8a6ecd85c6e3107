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

/// What an instance that knows all results writes, by the usual options.
std::optional<shift_phase> PhaseAt(const shift& aShift, double aElapsed)
{
  return NextPhase(aShift, {}, evidence_scope::Pooled, At(aShift, aElapsed));
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

TEST_CASE("the share of the new version grows over a shift that passes and never falls")
{
  const shift_options options;
  shift running = MakeShift();
  double last = 0;
  for (double elapsed = 0; elapsed <= 1; elapsed += 0.01) {
    if (elapsed > 0.6 && !running.mPassedAt) {
      running.mPassedAt = At(running, elapsed);
    }
    const double share = NewShare(running, options, At(running, elapsed));
    CHECK(share >= last);
    last = share;
  }
  CHECK(NewShare(running, options, kStart) == 0);
  CHECK(last == 1);
}

TEST_CASE("a shift that has not passed stays at the share of the probe")
{
  const shift_options options;
  const shift running = MakeShift();
  CHECK(NewShare(running, options, At(running, 0.55)) == options.mProbeShare);
  CHECK(NewShare(running, options, At(running, 0.99)) == options.mProbeShare);
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

namespace {

/// A bad version under steady load.
struct bad_rollout
{
  duration mLength = 11s;
  double mRequestsPerSecond = 40;
  double mRouteShare = 0.27; ///< of the requests, that go to the route on which it fails
  double mFailing = 0.5;     ///< share of the requests there that fail
  double mFailsFrom = 0;     ///< fraction of the length
};

/// Plays it on one instance that collects all results. Returns by how much its exposure is above
/// the bound of 0.15 of the requests and 30; the verdict and the phases take the time of their
/// messages.
double ExposureAboveBound(const bad_rollout& aRollout, std::uint64_t aSeed)
{
  const shift_options options;
  constexpr duration kKnownAfter =
    400ms; // results reach the collectors, and the verdict the others
  constexpr double kBoundShare = 0.15;
  constexpr double kBoundSlack = 30;
  std::mt19937_64 random(aSeed);
  shift running = MakeShift(aRollout.mLength);
  running.mProgress = shift_progress{ .mOrder = 5 };
  std::vector<std::pair<time_point, std::pair<result_key, bool>>> onTheWay;
  int total = 0;
  int exposed = 0;
  const auto step = std::chrono::duration_cast<duration>(
    std::chrono::duration<double>(1 / aRollout.mRequestsPerSecond));
  for (time_point now = kStart; now < At(running, 1); now += step) {
    ++total;
    while (!onTheWay.empty() && onTheWay.front().first <= now) {
      Record(running, onTheWay.front().second.first, onTheWay.front().second.second);
      onTheWay.erase(onTheWay.begin());
    }
    running.mIsHalted = running.mIsHalted || IsBad(running, options);
    if (const auto next = NextPhase(running, options, evidence_scope::Pooled, now)) {
      running.mProgress->mPhase = *next;
      if (*next == shift_phase::Passed) {
        running.mPassedAt = now;
      }
    }
    const bool isNew = std::bernoulli_distribution(NewShare(running, options, now))(random);
    const bool isOnBadRoute = std::bernoulli_distribution(aRollout.mRouteShare)(random);
    const bool fails = isNew && isOnBadRoute && now >= At(running, aRollout.mFailsFrom) &&
                       std::bernoulli_distribution(aRollout.mFailing)(random);
    exposed += isNew ? 1 : 0;
    const result_key key{ .mIsNew = isNew,
                          .mRoute = isOnBadRoute ? "bad" : "good",
                          .mServer = server_id(random() % 2 == 0 ? "s-1" : "s-2") };
    onTheWay.push_back({ now + kKnownAfter, { key, !fails } });
  }
  return exposed - (kBoundShare * total + kBoundSlack);
}

int SeedsAboveBound(const bad_rollout& aRollout)
{
  int above = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    above += ExposureAboveBound(aRollout, seed) > 0 ? 1 : 0;
  }
  return above;
}

} // namespace

// mix --seed 819000406924 on kitamura-weir: a version that failed on one route got 101 requests
// where 98 were allowed, because the last step came before the failing route had results.
TEST_CASE("a version that fails on one route is found within the bound on its exposure")
{
  CHECK(SeedsAboveBound({}) == 0);
}

TEST_CASE("a version that fails a third of all requests is found within the bound")
{
  CHECK(SeedsAboveBound({ .mRouteShare = 1, .mFailing = 0.34 }) == 0);
}

TEST_CASE("a version that turns bad when it has passed is found within the bound")
{
  CHECK(SeedsAboveBound({ .mLength = 20s, .mRouteShare = 1, .mFailsFrom = 0.6 }) == 0);
}

TEST_CASE("a version that fails under a heavy load on one route is found within the bound")
{
  CHECK(SeedsAboveBound({ .mLength = 24s, .mRequestsPerSecond = 400 }) == 0);
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
  const auto next = PhaseAt;
  shift running = MakeShift();
  CHECK(next(running, 0) == shift_phase::Running);
  running.mProgress = shift_progress{ .mOrder = 5 };
  RecordMany(running, false, "old", 40, 0);
  RecordMany(running, true, "new", 20, 0);
  CHECK_FALSE(next(running, 0.49).has_value());
  CHECK(next(running, 0.55) == shift_phase::Passed);
  running.mProgress->mPhase = shift_phase::Passed;
  running.mPassedAt = At(running, 0.55);
  CHECK_FALSE(next(running, 0.79).has_value());
  CHECK(next(running, 0.81) == shift_phase::Succeeded);
  running.mIsHalted = true;
  CHECK(next(running, 0.81) == shift_phase::RolledBack);
  running.mProgress->mPhase = shift_phase::RolledBack;
  CHECK_FALSE(next(running, 0.9).has_value());
}

TEST_CASE("a shift passes when each route has results enough, and without them in the end")
{
  const shift_options options;
  shift running = MakeShift();
  running.mProgress = shift_progress{ .mOrder = 5 };
  RecordMany(running, false, "old", 40, 0, "a");
  RecordMany(running, false, "old", 10, 0, "b");
  RecordMany(running, true, "new", 20, 0, "a");
  RecordMany(running, true, "new", static_cast<int>(options.mRouteResults) - 1, 0, "b");
  const auto next = [&](double aElapsed) { return PhaseAt(running, aElapsed); };
  CHECK_FALSE(next(0.6).has_value());
  CHECK(next(options.mPassAtLatest + 0.01) == shift_phase::Passed);
  RecordMany(running, true, "new", 1, 0, "b");
  CHECK(next(0.6) == shift_phase::Passed);
}

TEST_CASE("a shift with suspicious failures is held, and rolled back when it would have to pass")
{
  const shift_options options;
  shift running = MakeShift();
  running.mProgress = shift_progress{ .mOrder = 5 };
  RecordMany(running, false, "old", 200, 0);
  RecordMany(running, true, "new-1", 4, 1);
  RecordMany(running, true, "new-2", 4, 1);
  REQUIRE_FALSE(IsBad(running, options));
  const auto next = [&](double aElapsed) { return PhaseAt(running, aElapsed); };
  CHECK_FALSE(next(0.6).has_value());
  CHECK(next(0.76) == shift_phase::RolledBack);
}

TEST_CASE("a shift that turns suspicious after it has passed does not succeed")
{
  const shift_options options;
  shift running = MakeShift();
  running.mProgress = shift_progress{ .mOrder = 5, .mPhase = shift_phase::Passed };
  running.mPassedAt = At(running, 0.6);
  RecordMany(running, false, "old", 200, 0);
  RecordMany(running, true, "new-1", 10, 2);
  RecordMany(running, true, "new-2", 10, 1);
  REQUIRE_FALSE(IsBad(running, options));
  const auto next = [&](double aElapsed) { return PhaseAt(running, aElapsed); };
  CHECK_FALSE(next(0.85).has_value());
  CHECK(next(options.mDecideAt + 0.005) == shift_phase::RolledBack);
}

TEST_CASE("a shift whose failures are those of one server is held, and passes in the end")
{
  shift running = MakeShift();
  running.mProgress = shift_progress{ .mOrder = 5 };
  RecordMany(running, false, "old", 200, 0);
  RecordMany(running, true, "new-1", 6, 4);
  RecordMany(running, true, "new-2", 60, 0);
  const auto next = [&](double aElapsed) { return PhaseAt(running, aElapsed); };
  CHECK_FALSE(next(0.6).has_value());
  CHECK(next(0.76) == shift_phase::Passed);
}

TEST_CASE("a version that is no worse is seldom rolled back at the end of its trial")
{
  const shift_options options;
  int rolledBack = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    shift running = MakeShift();
    running.mProgress = shift_progress{ .mOrder = 5 };
    std::optional<shift_phase> end;
    for (double elapsed = options.mTrialEnd; elapsed < 0.8 && !end; elapsed += 0.01) {
      for (int i = 0; i < 10; ++i) {
        const bool isNew = std::bernoulli_distribution(0.3)(random);
        const bool fails = std::bernoulli_distribution(0.01)(random);
        RecordMany(running, isNew, random() % 2 == 0 ? "s-1" : "s-2", fails ? 0 : 1, fails ? 1 : 0,
                   random() % 4 == 0 ? "a" : "b");
      }
      end = NextPhase(running, options, evidence_scope::Pooled, At(running, elapsed));
    }
    REQUIRE(end.has_value());
    rolledBack += *end == shift_phase::RolledBack ? 1 : 0;
  }
  CHECK(rolledBack <= 6); // 2 in 100 shifts
}

TEST_CASE("an instance that knows its own results alone lets no shift pass")
{
  const shift_options options;
  shift running = MakeShift();
  running.mProgress = shift_progress{ .mOrder = 5 };
  RecordMany(running, true, "new", 50, 0);
  for (const double elapsed : { 0.6, 0.76, 0.99 }) {
    CHECK_FALSE(NextPhase(running, options, evidence_scope::Own, At(running, elapsed)).has_value());
  }
}

// The old servers stop at the success, without a notice, so their requests must have ended.
TEST_CASE("a shift succeeds before its deadline and after the requests of the old version ended")
{
  const shift_options options;
  for (const double passed : { 0.5, 0.6, options.mPassAtLatest }) {
    shift running = MakeShift();
    running.mProgress = shift_progress{ .mOrder = 5, .mPhase = shift_phase::Passed };
    running.mPassedAt = At(running, passed);
    double success = 0;
    for (double elapsed = 0; elapsed < 1 && success == 0; elapsed += 0.005) {
      const auto next = NextPhase(running, options, evidence_scope::Pooled, At(running, elapsed));
      success = next == shift_phase::Succeeded ? elapsed : 0;
    }
    REQUIRE(success > 0);
    CHECK(success < 0.95);
    CHECK(NewShare(running, options, At(running, success - 0.1)) == 1);
  }
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
