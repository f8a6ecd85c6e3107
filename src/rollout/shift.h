#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "rollout/exposure_schedule.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarackweir::rollout {

/// An operator's order to move a service's traffic to the backend servers of another version.
struct shift_order
{
  service_id mService;
  version_id mNewVersion;
  duration mDuration = 0s;    ///< from the order to its deadline
  std::uint64_t mOrderId = 0; ///< of this order alone

  bool operator==(const shift_order&) const = default;
};

/// Phase of a traffic shift.
enum class shift_phase
{
  Running,
  Passed,     ///< still running; the results allow the last steps
  Succeeded,  ///< the old version's servers may stop
  RolledBack, ///< the new version gets no more requests
};

/// Progress of a shift that all instances agree on; kept in the store.
struct shift_progress
{
  std::uint64_t mOrderId = 0;
  shift_phase mPhase = shift_phase::Running;
  std::int64_t mStartedMs = 0;        ///< on the store's clock
  std::int64_t mPassedMs = 0;         ///< on the store's clock; 0 if it has not passed
  double mCanaryShare = 0;            ///< of the sessions; 0: the largest
  std::optional<load_step> mLoadStep; ///< absent until it is planned
};

/// Limits of the test of the new version.
struct shift_options
{
  schedule_options mSchedule;
  double mCanaryEnd = 0.5; ///< fraction of the duration; until then sessions keep their version
  /// Between the decision to pass and the ramp, so that all instances know of it.
  duration mPassLead = 1500ms;
  double mBadRateFloor = 0.02;         ///< failure rate that is tolerated in any version
  double mSlowRateFloor = 0.15;        ///< rate of slow answers that is tolerated in any version
  double mBadRateFactor = 2;           ///< tolerated rate relative to the old version's
  double mSlowRateFactor = 1.5;        ///< the same for slow answers
  double mSlowEverywhereShare = 0.75;  ///< of the answers, and of the servers, of a slow version
  double mHaltSignificance = 1e-4;     ///< p-value below which the new version is bad
  double mHoldSignificance = 0.1;      ///< p-value below which the pass waits for more results
  double mRollBackSignificance = 0.01; ///< p-value below which it is not passed but rolled back
  /// The same for slow answers; a slow version that succeeds serves everybody slowly.
  double mSlowRollBackSignificance = 0.014;
  /// The same for the servers without the worst one, if a single server may be faulty.
  double mElsewhereSignificance = 0.03;
  std::uint64_t mMinRouteResults = 12;  ///< of each route, to pass; enough to detect 50% failures
  std::uint64_t mMinResults = 6;        ///< of all routes, to pass at all, if there is traffic
  std::uint64_t mMinPaceResults = 6;    ///< to compare the pace
  std::uint64_t mMinSlowEverywhere = 5; ///< the same if nearly all answers are slow
  /// Enough failures of a single server while no other one has `mMinResults`. The canary's next
  /// turn shows sooner whether the version fails, unless it has one server only.
  std::uint64_t mConclusiveFailures = 50;
  /// Share of the future load at which the new version must have been judged. Far below 1, as the
  /// load varies and the instances know it late.
  double mLeastJudgedLoad = 0.3;
  /// Until a result is known to the collectors, and their decision to all instances.
  duration mResultDelay = 800ms;
  /// The same to pass early from a load step, which brings the whole future load.
  double mLoadedFrom = 0.7;
  duration mSessionGap = 5s;           ///< after a longer pause a session may change its version
  duration mSessionListDelay = 1200ms; ///< until each instance publishes its active sessions
};

/// Key by which results are counted.
struct result_key
{
  bool mIsNew = false;
  std::string mRoute;
  server_id mServer;      ///< empty for the old version
  bool mIsLoaded = false; ///< of the new version, sent in the load step or in the ramp

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the compiler's comparison with 0
  auto operator<=>(const result_key&) const = default;
};

/// Numbers of results. All only grow.
struct shift_counts
{
  std::uint64_t mGood = 0;
  std::uint64_t mBad = 0;    ///< failed, or far later than usual
  std::uint64_t mOnPace = 0; ///< answers whose pace was judged, and was the usual one
  std::uint64_t mSlow = 0;   ///< answers that came several times slower than the old version's

  bool operator==(const shift_counts&) const = default;
};

/// Results of one instance.
using shift_results = std::map<result_key, shift_counts>;

/// Judged answers of the new version by the load of their server, in tenths of the load that each
/// server will carry after success. The last entry counts that load and above.
using load_counts = std::array<std::uint64_t, 11>;

/// Mean requests in flight per server.
struct server_loads
{
  double mOld = 0;    ///< at the old version's servers
  double mFuture = 0; ///< at the new version's servers, once they serve all requests
  std::size_t mNewServers = 0;
};

/// State that one instance keeps about a shift.
struct shift
{
  shift_order mOrder;
  std::optional<shift_progress> mProgress; ///< absent until an instance has written it
  time_point mStartedAt{};                 ///< on this instance's clock
  std::optional<time_point> mPassedAt;     ///< on this instance's clock
  bool mIsHalted = false; ///< the new version was found bad, whatever the store says
  shift_results mOwnResults;
  std::map<std::string, shift_results> mPeerResults; ///< highest counts, by instance id and start
  load_counts mOwnLoads{};
  std::map<std::string, load_counts> mPeerLoads; ///< highest counts, by instance id and start
  server_loads mUsualLoads;              ///< smoothed, of the canary phase; 0 until they are known
  duration mUsualTime{};                 ///< of a request until its end, once the loads are known
  std::set<std::uint64_t> mKeptSessions; ///< on the old version during the canary, of all instances
};

/// The version that a session uses.
struct session_pin
{
  bool mIsNew = false;
  double mHashPoint = 0;
  time_point mLastActive{};
};

/// Sessions that this instance has served recently, by a hash of service and session.
using session_pins = std::unordered_map<std::uint64_t, session_pin>;

/// The version of a shift that a request goes to.
enum class version_side
{
  Old,
  New,
};

/// Returns the elapsed time as a fraction of the shift's duration; may exceed 1.
double ElapsedFraction(const shift& aShift, time_point aNow);

/// Returns the plan of the shift.
exposure_schedule ScheduleOf(const shift& aShift, const shift_options& aOptions);

/// The load step for the servers known now. There is none if the canary loads a server as after
/// success, or if requests would end too late to show a fault.
load_step PlannedLoadStep(const shift& aShift, const shift_options& aOptions);

/// Returns whether a request sent at `aSent` belongs to the load step or the ramp.
bool IsSentUnderLoad(const shift& aShift, const shift_options& aOptions, time_point aSent);

/// Returns the share of sessions that go to the new version.
double NewVersionShare(const shift& aShift, const shift_options& aOptions, time_point aNow);

/// Returns whether both versions serve under their usual load, so that their pace can be compared:
/// the new version has the canary share.
bool IsCanaryShare(const shift& aShift, const shift_options& aOptions, time_point aNow);

/// Returns the active sessions on the old version whose hash point lies in the canary share. Every
/// instance has to know them, because a session may move to another instance.
std::vector<std::uint64_t> SessionsToKeepOnOldVersion(const shift_options& aOptions,
                                                      const session_pins& aPins, time_point aNow);

/// Chooses the version for a request and records it for the session.
///
/// In the canary phase an active session keeps its version. All instances use the same hash point
/// for a session, so they choose the same version wherever its requests arrive.
/// \param aPoint hash of the session, or of the request if it has none; uniform in [0, 1)
/// \param aSession key of the session; absent if the request belongs to none
version_side ChooseSide(const shift& aShift, const shift_options& aOptions, double aPoint,
                        std::optional<std::uint64_t> aSession, session_pins& aPins,
                        time_point aNow);

/// Returns whether a phase comes before another one in the course of a shift.
bool IsBefore(shift_phase aPhase, shift_phase aOther);

/// Returns whether the shift is neither finished nor halted.
bool IsRunning(const shift& aShift);

/// Counts a result that this instance observed.
void RecordResult(shift& aShift, const result_key& aKey, bool aGood);

/// Counts an answer by its pace: the time between a stream's events, or the time of a plain answer,
/// compared with the old version's.
void RecordPace(shift& aShift, const result_key& aKey, bool aIsSlow);

/// Returns whether the new version has more bad results than in an earlier state of the counts.
bool HasNewBadResults(const shift_results& aResults, const shift_results& aEarlier);

/// Merges the results of another instance. Counts never decrease.
void MergeResults(shift& aShift, const std::string& aInstance, const shift_results& aResults);

/// Counts a judged answer of the new version by the requests in flight at its server. A service
/// with less than one request in flight per server has no load that could show a fault.
void RecordLoad(shift& aShift, int aInFlight, const server_loads& aLoads);

/// Smooths the usual loads while the canary runs.
void RecordUsualLoads(shift& aShift, const shift_options& aOptions, const server_loads& aLoads,
                      time_point aNow);

/// Merges the loads at which another instance judged. Counts never decrease.
void MergeLoads(shift& aShift, const std::string& aInstance, const load_counts& aLoads);

/// The highest load at which enough answers of the new version were judged, relative to its future
/// load, in tenths up to 1. Nothing if the service has no load.
std::optional<double> JudgedLoadShare(const shift& aShift, const shift_options& aOptions);

/// Totals of all routes and instances, as far as known here.
struct shift_totals
{
  shift_counts mOld;
  shift_counts mNew;
};

shift_totals TotalsOf(const shift& aShift);

/// Returns whether the results prove that the new version is bad.
///
/// Compares the failures and the slow answers of the new version with those of the old one, for
/// each route and for all routes together. Unless `mConclusiveFailures` applies, at least two
/// must come from servers other than the worst one, because a single faulty server is not a fault
/// of its version. Servers that worked in the canary and fail in the load step or the ramp show
/// that the version fails under load, even if it is one server. A version is slow only if most of
/// its servers are.
bool IsNewVersionBad(const shift& aShift, const shift_options& aOptions);

/// The instances whose results a decision is based on.
enum class evidence_scope
{
  Own,
  Pooled, ///< of all instances
};

/// Returns the phase to write to the store now, if any.
///
/// A shift passes shortly before its ramp, if each route has enough results and none is suspicious.
/// A shift that is still suspicious when the ramp should start, or has almost no results, is rolled
/// back, unless only one of several servers fails. The ramp waits for a load step to show the load
/// to come. `Running` is written again to plan the load step. A version that was judged only far
/// below its future load does not succeed. These decisions require the results of all instances.
std::optional<shift_phase> NextPhase(const shift& aShift, const shift_options& aOptions,
                                     evidence_scope aScope, time_point aNow);

/// Removes the pins of sessions without requests for twice `aGap`.
void RemoveIdlePins(session_pins& aPins, duration aGap, time_point aNow);

} // namespace tamarackweir::rollout
