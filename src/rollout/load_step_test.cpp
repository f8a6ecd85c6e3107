#include "rollout/results_message.h"
#include "rollout/shift.h"

#include "base/error.h"

#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::rollout;

namespace {

constexpr time_point kStart = time_point(100s);

shift StartedShift()
{
  shift started{ .mOrder = { .mService = service_id("llm"),
                             .mNewVersion = version_id("v2"),
                             .mDuration = 24s,
                             .mOrderId = 5 },
                 .mStartedAt = kStart };
  started.mProgress = shift_progress{ .mOrderId = 5, .mCanaryShare = 0.03 };
  started.mUsualLoads = { .mOld = 4, .mFuture = 4, .mNewServers = 6 };
  started.mUsualTime = 100ms;
  return started;
}

time_point At(double aElapsed)
{
  return kStart + std::chrono::duration_cast<duration>(24s * aElapsed);
}

void RecordMany(shift& aShift, const result_key& aKey, int aGood, int aBad)
{
  for (int i = 0; i < aGood + aBad; ++i) {
    RecordResult(aShift, aKey, i < aGood);
  }
}

} // namespace

// Guards against a load step that is planned when its time is over. It can't load a server any
// more, so that a good version is rolled back.
TEST_CASE("a load step is not planned after its time")
{
  const shift late = StartedShift();
  REQUIRE(PlannedLoadStep(late, {}).mShare > 0);
  CHECK(NextPhase(late, {}, evidence_scope::Pooled, At(0.96)) != shift_phase::Running);
}

// Guards against the success of a version whose one loaded server fails half of its requests,
// because that server had few results before the load step.
TEST_CASE("failures under load of a server with few results before do not pass")
{
  shift loaded = StartedShift();
  loaded.mProgress->mLoadStep = load_step{ .mShare = 0.2, .mLength = 2s };
  RecordMany(loaded, { .mRoute = "r" }, 1000, 0);
  for (const char* const server : { "a", "b", "c", "d", "e", "f" }) {
    RecordMany(loaded, { .mIsNew = true, .mRoute = "r", .mServer = server_id(server) }, 10, 0);
  }
  RecordMany(loaded,
             { .mIsNew = true, .mRoute = "r", .mServer = server_id("a"), .mIsLoaded = true }, 25,
             25);
  loaded.mOwnLoads.back() = 60;
  CHECK(NextPhase(loaded, {}, evidence_scope::Pooled, At(0.96)) == shift_phase::RolledBack);
}

// Guards against success by an instance alone, without the load that was asked for. It knows the
// requests in flight of all instances, but only its own results, so its usual time is far too long.
TEST_CASE("an instance alone does not take the load to be one that can't be seen")
{
  shift passed = StartedShift();
  passed.mProgress->mPhase = shift_phase::Passed;
  passed.mProgress->mLoadStep = load_step{ .mShare = 0.2, .mLength = 2s };
  passed.mPassedAt = At(0.9);
  passed.mUsualLoads = {};
  // 400 requests/s of 60 ms at 90 instances: 24 in flight, of which this instance gets 4.4/s.
  RecordMany(passed, { .mRoute = "r" }, 53, 0);
  RecordUsualLoads(passed, {}, { .mOld = 4, .mFuture = 4, .mNewServers = 6 }, At(0.5 - 1e-3));
  passed.mOwnLoads.front() = 50;
  CHECK(NextPhase(passed, {}, evidence_scope::Own, At(0.999)) != shift_phase::Succeeded);
}

// Guards against a count that is no count: the test of the results loops over it.
TEST_CASE("a report with negative counts is refused")
{
  const char* const text =
    R"({"service":"llm","order":5,"instance":"i","results":[[true,"r","s",1,-1,0,0,false]]})";
  CHECK_THROWS_AS(DecodeReport(text), error);
}
