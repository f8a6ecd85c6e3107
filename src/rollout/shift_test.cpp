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
                       .mNewVersion = version_id("v2"),
                       .mDuration = aDuration,
                       .mOrderId = 5 },
           .mStartedAt = kStart };
}

time_point At(const shift& aShift, double aElapsed)
{
  return aShift.mStartedAt +
         std::chrono::duration_cast<duration>(aShift.mOrder.mDuration * aElapsed);
}

/// Returns the next phase by all instances' results, with default options.
std::optional<shift_phase> PhaseAt(const shift& aShift, double aElapsed)
{
  return NextPhase(aShift, {}, evidence_scope::Pooled, At(aShift, aElapsed));
}

void RecordMany(shift& aShift, bool aIsNew, const char* aServer, int aGood, int aBad,
                const char* aRoute = "r")
{
  const result_key key{ .mIsNew = aIsNew, .mRoute = aRoute, .mServer = server_id(aServer) };
  for (int i = 0; i < aGood; ++i) {
    RecordResult(aShift, key, true);
  }
  for (int i = 0; i < aBad; ++i) {
    RecordResult(aShift, key, false);
  }
}

} // namespace

TEST_CASE("the share of the new version rises to 1 and never decreases in a shift that passes")
{
  const shift_options options;
  shift running = MakeShift();
  double last = 0;
  for (double elapsed = 0; elapsed <= 1; elapsed += 0.01) {
    if (elapsed > 0.6 && !running.mPassedAt) {
      running.mPassedAt = At(running, elapsed);
    }
    const double share = NewVersionShare(running, options, At(running, elapsed));
    CHECK(share >= last);
    last = share;
  }
  CHECK(NewVersionShare(running, options, kStart) == 0);
  CHECK(last == 1);
}

TEST_CASE("a shift that has not passed stays at the probe share")
{
  const shift_options options;
  const shift running = MakeShift();
  CHECK(NewVersionShare(running, options, At(running, 0.55)) == options.mProbeShare);
  CHECK(NewVersionShare(running, options, At(running, 0.99)) == options.mProbeShare);
}

TEST_CASE("a rolled back or halted shift sends no requests to the new version")
{
  const shift_options options;
  shift rolledBack = MakeShift();
  rolledBack.mProgress = shift_progress{ .mOrderId = 5, .mPhase = shift_phase::RolledBack };
  CHECK(NewVersionShare(rolledBack, options, At(rolledBack, 0.9)) == 0);
  shift halted = MakeShift();
  halted.mIsHalted = true;
  CHECK(NewVersionShare(halted, options, At(halted, 0.9)) == 0);
}

TEST_CASE("an active session keeps its version during the canary phase")
{
  const shift_options options;
  const shift running = MakeShift();
  session_pins pins;
  pins[1] = session_pin{ .mHashPoint = 0.01, .mLastActive = kStart };
  for (time_point now = kStart; now < At(running, 0.49); now += 3s) {
    CHECK(ChooseSide(running, options, 0.01, 1, pins, now) == version_side::Old);
  }
}

TEST_CASE("a session that starts in the canary phase stays on the new version")
{
  const shift_options options;
  const shift running = MakeShift();
  session_pins pins;
  for (time_point now = kStart + options.mStartDelay; now < At(running, 1); now += 3s) {
    CHECK(ChooseSide(running, options, 0.01, 1, pins, now) == version_side::New);
  }
}

// Guards against a session that changes its version when it moves to an instance that has not seen
// it. First seen with seed hunt-0841-35 on plovdiv-zlato, where callers moved to another data
// centre.
TEST_CASE("an active session keeps its version on another instance during the canary phase")
{
  const shift_options options;
  shift here = MakeShift();
  shift there = MakeShift();
  session_pins pinsHere;
  session_pins pinsThere;
  REQUIRE(ChooseSide(here, options, 0.01, 1, pinsHere, kStart + 500ms) == version_side::Old);
  const auto kept =
    SessionsToKeepOnOldVersion(options, pinsHere, kStart + options.mSessionListDelay);
  there.mKeptSessions.insert(kept.begin(), kept.end());
  REQUIRE(ChooseSide(here, options, 0.01, 1, pinsHere, kStart + 3s) == version_side::Old);
  CHECK(ChooseSide(there, options, 0.01, 1, pinsThere, kStart + 4s) == version_side::Old);
}

TEST_CASE("only active sessions in the canary share are published to other instances")
{
  const shift_options options;
  session_pins pins;
  pins[1] = { .mHashPoint = 0.01, .mLastActive = kStart };
  pins[2] = { .mHashPoint = 0.5, .mLastActive = kStart };
  pins[3] = { .mHashPoint = 0.01, .mLastActive = kStart - 10s };
  CHECK(SessionsToKeepOnOldVersion(options, pins, kStart + 1s) == std::vector<std::uint64_t>{ 1 });
}

TEST_CASE("all instances choose the same version for a session")
{
  const shift_options options;
  const shift running = MakeShift();
  for (std::uint64_t session = 0; session < 1000; ++session) {
    const double point =
      static_cast<double>(StableHash(std::to_string(session)) >> 11U) * 0x1.0p-53;
    session_pins first;
    session_pins second;
    const time_point now = At(running, 0.4);
    CHECK(ChooseSide(running, options, point, session, first, now) ==
          ChooseSide(running, options, point, session, second, now));
  }
}

TEST_CASE("a version that fails a third of its requests is detected after few failures")
{
  const shift_options options;
  int worst = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    shift running = MakeShift();
    RecordMany(running, false, "old", 200, 1);
    int bad = 0;
    while (!IsNewVersionBad(running, options) && bad < 50) {
      const bool fails = std::bernoulli_distribution(0.34)(random);
      bad += fails ? 1 : 0;
      RecordMany(running, true, random() % 2 == 0 ? "new-1" : "new-2", fails ? 0 : 1,
                 fails ? 1 : 0);
    }
    worst = std::max(worst, bad);
  }
  // Traffic has to stop within seconds of the 50th failure.
  CHECK(worst < 25);
}

TEST_CASE("a version that is no worse is rarely found bad")
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
      isBad = IsNewVersionBad(running, options);
    }
    halted += isBad ? 1 : 0;
  }
  CHECK(halted <= 6); // 2 in 100 shifts
}

TEST_CASE("failures of a single server do not make its version bad")
{
  const shift_options options;
  shift running = MakeShift();
  RecordMany(running, false, "old", 200, 1);
  RecordMany(running, true, "new-1", 4, 8);
  RecordMany(running, true, "new-2", 30, 1);
  CHECK_FALSE(IsNewVersionBad(running, options));
}

TEST_CASE("failures on only one route are detected")
{
  const shift_options options;
  shift running = MakeShift();
  RecordMany(running, false, "old", 400, 2, "a");
  RecordMany(running, true, "new-1", 100, 0, "a");
  RecordMany(running, true, "new-1", 4, 3, "b");
  RecordMany(running, true, "new-2", 4, 3, "b");
  CHECK(IsNewVersionBad(running, options));
}

namespace {

/// A failing version under constant load.
struct failing_version
{
  duration mLength = 11s;
  double mRequestsPerSecond = 40;
  double mRouteShare = 0.27;  ///< share of the requests that go to the failing route
  double mFailureShare = 0.5; ///< share of the requests on that route that fail
  double mFailsFrom = 0;      ///< as a fraction of the length
};

/// Simulates a shift on one instance that collects all results after a message delay. Returns by
/// how much the number of requests on the new version exceeds the bound, 0.15 of all requests
/// plus 30.
double ExposureAboveBound(const failing_version& aRollout, std::uint64_t aSeed)
{
  const shift_options options;
  constexpr duration kResultDelay =
    400ms; // for results to reach the collectors, and the decision the others
  constexpr double kBoundShare = 0.15;
  constexpr double kBoundSlack = 30;
  std::mt19937_64 random(aSeed);
  shift running = MakeShift(aRollout.mLength);
  running.mProgress = shift_progress{ .mOrderId = 5 };
  std::vector<std::pair<time_point, std::pair<result_key, bool>>> inFlight;
  int total = 0;
  int exposed = 0;
  const auto step = std::chrono::duration_cast<duration>(
    std::chrono::duration<double>(1 / aRollout.mRequestsPerSecond));
  for (time_point now = kStart; now < At(running, 1); now += step) {
    ++total;
    while (!inFlight.empty() && inFlight.front().first <= now) {
      RecordResult(running, inFlight.front().second.first, inFlight.front().second.second);
      inFlight.erase(inFlight.begin());
    }
    running.mIsHalted = running.mIsHalted || IsNewVersionBad(running, options);
    if (const auto next = NextPhase(running, options, evidence_scope::Pooled, now)) {
      running.mProgress->mPhase = *next;
      if (*next == shift_phase::Passed) {
        running.mPassedAt = now;
      }
    }
    const bool isNew = std::bernoulli_distribution(NewVersionShare(running, options, now))(random);
    const bool isOnBadRoute = std::bernoulli_distribution(aRollout.mRouteShare)(random);
    const bool fails = isNew && isOnBadRoute && now >= At(running, aRollout.mFailsFrom) &&
                       std::bernoulli_distribution(aRollout.mFailureShare)(random);
    exposed += isNew ? 1 : 0;
    const result_key key{ .mIsNew = isNew,
                          .mRoute = isOnBadRoute ? "bad" : "good",
                          .mServer = server_id(random() % 2 == 0 ? "s-1" : "s-2") };
    inFlight.push_back({ now + kResultDelay, { key, !fails } });
  }
  return exposed - (kBoundShare * total + kBoundSlack);
}

int SeedsAboveBound(const failing_version& aRollout)
{
  int above = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    above += ExposureAboveBound(aRollout, seed) > 0 ? 1 : 0;
  }
  return above;
}

} // namespace

// Guards against taking the last step before the failing route has results: with mix --seed
// 819000406924 on kitamura-weir, a version that failed on one route got 101 requests, 98 allowed.
TEST_CASE("a version that fails on one route is detected within the exposure bound")
{
  CHECK(SeedsAboveBound({}) == 0);
}

TEST_CASE("a version that fails a third of all requests is detected within the exposure bound")
{
  CHECK(SeedsAboveBound({ .mRouteShare = 1, .mFailureShare = 0.34 }) == 0);
}

TEST_CASE("a version that fails only after the pass is detected within the exposure bound")
{
  CHECK(SeedsAboveBound({ .mLength = 20s, .mRouteShare = 1, .mFailsFrom = 0.6 }) == 0);
}

TEST_CASE("a version that fails on one route under heavy load is detected within the bound")
{
  CHECK(SeedsAboveBound({ .mLength = 24s, .mRequestsPerSecond = 400 }) == 0);
}

TEST_CASE("results of several instances are summed")
{
  const shift_options options;
  shift collector = MakeShift();
  RecordMany(collector, false, "old", 100, 1);
  for (const char* const instance : { "a", "b", "c" }) {
    shift other = MakeShift();
    RecordMany(other, true, "new-1", 2, 1);
    RecordMany(other, true, "new-2", 2, 1);
    REQUIRE_FALSE(IsNewVersionBad(other, options));
    MergeResults(collector, instance, other.mOwnResults);
  }
  CHECK(IsNewVersionBad(collector, options));
}

TEST_CASE("repeated or reordered results of an instance are counted once")
{
  shift collector = MakeShift();
  shift other = MakeShift();
  RecordMany(other, true, "new-1", 5, 1);
  const shift_results early = other.mOwnResults;
  RecordMany(other, true, "new-1", 5, 1);
  MergeResults(collector, "a", other.mOwnResults);
  MergeResults(collector, "a", early);
  CHECK(collector.mPeerResults.at("a").begin()->second == result_counts{ .mGood = 10, .mBad = 2 });
}

TEST_CASE("a shift goes through its phases and ends")
{
  const auto next = PhaseAt;
  shift running = MakeShift();
  CHECK(next(running, 0) == shift_phase::Running);
  running.mProgress = shift_progress{ .mOrderId = 5 };
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

TEST_CASE("a shift passes once each route has enough results, or at the latest time to pass")
{
  const shift_options options;
  shift running = MakeShift();
  running.mProgress = shift_progress{ .mOrderId = 5 };
  RecordMany(running, false, "old", 40, 0, "a");
  RecordMany(running, false, "old", 10, 0, "b");
  RecordMany(running, true, "new", 20, 0, "a");
  RecordMany(running, true, "new", static_cast<int>(options.mMinRouteResults) - 1, 0, "b");
  const auto next = [&](double aElapsed) { return PhaseAt(running, aElapsed); };
  CHECK_FALSE(next(0.6).has_value());
  CHECK(next(options.mPassAtLatest + 0.01) == shift_phase::Passed);
  RecordMany(running, true, "new", 1, 0, "b");
  CHECK(next(0.6) == shift_phase::Passed);
}

TEST_CASE("a shift with suspicious failures is held, then rolled back at the latest time to pass")
{
  const shift_options options;
  shift running = MakeShift();
  running.mProgress = shift_progress{ .mOrderId = 5 };
  RecordMany(running, false, "old", 200, 0);
  RecordMany(running, true, "new-1", 4, 1);
  RecordMany(running, true, "new-2", 4, 1);
  REQUIRE_FALSE(IsNewVersionBad(running, options));
  const auto next = [&](double aElapsed) { return PhaseAt(running, aElapsed); };
  CHECK_FALSE(next(0.6).has_value());
  CHECK(next(0.76) == shift_phase::RolledBack);
}

TEST_CASE("a shift with suspicious failures after the pass is rolled back")
{
  const shift_options options;
  shift running = MakeShift();
  running.mProgress = shift_progress{ .mOrderId = 5, .mPhase = shift_phase::Passed };
  running.mPassedAt = At(running, 0.6);
  RecordMany(running, false, "old", 200, 0);
  RecordMany(running, true, "new-1", 10, 2);
  RecordMany(running, true, "new-2", 10, 1);
  REQUIRE_FALSE(IsNewVersionBad(running, options));
  const auto next = [&](double aElapsed) { return PhaseAt(running, aElapsed); };
  CHECK_FALSE(next(0.85).has_value());
  CHECK(next(options.mDecideAt + 0.005) == shift_phase::RolledBack);
}

TEST_CASE("a shift in which only one server fails is held, then passes at the latest time")
{
  shift running = MakeShift();
  running.mProgress = shift_progress{ .mOrderId = 5 };
  RecordMany(running, false, "old", 200, 0);
  RecordMany(running, true, "new-1", 6, 4);
  RecordMany(running, true, "new-2", 60, 0);
  const auto next = [&](double aElapsed) { return PhaseAt(running, aElapsed); };
  CHECK_FALSE(next(0.6).has_value());
  CHECK(next(0.76) == shift_phase::Passed);
}

TEST_CASE("a version that is no worse is rarely rolled back after the canary phase")
{
  const shift_options options;
  int rolledBack = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    shift running = MakeShift();
    running.mProgress = shift_progress{ .mOrderId = 5 };
    std::optional<shift_phase> end;
    for (double elapsed = options.mCanaryEnd; elapsed < 0.8 && !end; elapsed += 0.01) {
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

TEST_CASE("an instance with only its own results does not let a shift pass")
{
  const shift_options options;
  shift running = MakeShift();
  running.mProgress = shift_progress{ .mOrderId = 5 };
  RecordMany(running, true, "new", 50, 0);
  for (const double elapsed : { 0.6, 0.76, 0.99 }) {
    CHECK_FALSE(NextPhase(running, options, evidence_scope::Own, At(running, elapsed)).has_value());
  }
}

// The old version's servers stop without notice once the shift succeeds, so their requests must
// have ended.
TEST_CASE("a shift succeeds before its deadline and after the old version's requests have ended")
{
  const shift_options options;
  for (const double passed : { 0.5, 0.6, options.mPassAtLatest }) {
    shift running = MakeShift();
    running.mProgress = shift_progress{ .mOrderId = 5, .mPhase = shift_phase::Passed };
    running.mPassedAt = At(running, passed);
    double success = 0;
    for (double elapsed = 0; elapsed < 1 && success == 0; elapsed += 0.005) {
      const auto next = NextPhase(running, options, evidence_scope::Pooled, At(running, elapsed));
      success = next == shift_phase::Succeeded ? elapsed : 0;
    }
    REQUIRE(success > 0);
    CHECK(success < 0.95);
    CHECK(NewVersionShare(running, options, At(running, success - 0.1)) == 1);
  }
}

TEST_CASE("a results report is encoded and decoded unchanged, and a malformed one is rejected")
{
  shift running = MakeShift();
  RecordMany(running, true, "new-1", 3, 1);
  const results_report sent{ .mService = service_id("llm"),
                             .mOrderId = 5,
                             .mInstance = "a/1",
                             .mResults = running.mOwnResults };
  const results_report read = DecodeReport(EncodeReport(sent));
  CHECK(read.mResults == sent.mResults);
  CHECK(read.mInstance == "a/1");
  CHECK_THROWS_AS(DecodeReport("{}"), error);
  CHECK_THROWS_AS(DecodeReport("["), error);
}
