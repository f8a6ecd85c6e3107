#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "rollout/evidence.h"

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
  std::uint64_t mOrderId = 0; ///< later orders have higher ids

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
  std::int64_t mStartedMs = 0; ///< on the store's clock
  std::int64_t mPassedMs = 0;  ///< on the store's clock; 0 if it has not passed
};

/// Schedule of a shift, as fractions of its duration, and limits of the test of the new version.
struct shift_options
{
  double mCanaryShare = 0.08; ///< of the sessions; half of a usual exposure bound
  double mCanaryEnd = 0.5;    ///< end of the canary phase, in which sessions keep their version
  /// Share after the canary phase, until the results let the shift pass.
  double mProbeShare = 0.5;
  double mSecondStepShare = 0.5;
  double mSecondStepLength = 0.06;     ///< after the pass; then all requests go to the new version
  double mPassAtLatest = 0.74;         ///< routes with too few results delay the pass no longer
  double mSuccessAt = 0.8;             ///< earliest success
  double mDrainLength = 0.12;          ///< for requests on the old version to end
  double mSuccessAtLatest = 0.92;      ///< latest success; leaves time to write it to the store
  double mDecideAt = 0.95;             ///< a shift with suspicious results is rolled back then
  double mBadRateFloor = 0.02;         ///< failure rate that is tolerated in any version
  double mBadRateFactor = 2;           ///< tolerated failure rate relative to the old version's
  double mHaltSignificance = 1e-4;     ///< p-value below which the new version is bad
  double mHoldSignificance = 0.1;      ///< p-value below which the probe share is kept
  double mRollBackSignificance = 0.05; ///< p-value below which it is not passed but rolled back
  std::uint64_t mMinRouteResults = 12; ///< of each route, to pass; enough to detect 50% failures
  std::uint64_t mConclusiveFailures = 25; ///< enough failures even if one server caused them all
  duration mSessionGap = 5s;              ///< after a longer pause a session may change its version
  /// All requests go to the old version for this long, until all instances know of the shift and of
  /// the sessions that were active before it.
  duration mStartDelay = 2s;
  duration mSessionListDelay = 1200ms; ///< until each instance publishes its active sessions
};

/// Key by which results are counted.
struct result_key
{
  bool mIsNew = false;
  std::string mRoute;
  server_id mServer;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the compiler's comparison with 0
  auto operator<=>(const result_key&) const = default;
};

/// Results of one instance.
using shift_results = std::map<result_key, result_counts>;

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

/// Returns the share of sessions that go to the new version.
double NewVersionShare(const shift& aShift, const shift_options& aOptions, time_point aNow);

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

/// Returns whether the shift is neither finished nor halted.
bool IsRunning(const shift& aShift);

/// Counts a result that this instance observed.
void RecordResult(shift& aShift, const result_key& aKey, bool aGood);

/// Merges the results of another instance. Counts never decrease.
void MergeResults(shift& aShift, const std::string& aInstance, const shift_results& aResults);

/// Returns whether the results prove that the new version is bad.
///
/// Compares the failures of the new version with those of the old one, for each route and for all
/// routes together. Unless there are `mConclusiveFailures`, at least two must come from servers
/// other than the worst one, because a single faulty server is not a fault of its version.
bool IsNewVersionBad(const shift& aShift, const shift_options& aOptions);

/// The instances whose results a decision is based on.
enum class evidence_scope
{
  Own,
  Pooled, ///< of all instances
};

/// Returns the phase to write to the store now, if any.
///
/// A shift passes once each route has enough results and none is suspicious. A shift that is still
/// suspicious at `mPassAtLatest` is rolled back, unless only one of several servers fails. Both
/// decisions require the results of all instances.
std::optional<shift_phase> NextPhase(const shift& aShift, const shift_options& aOptions,
                                     evidence_scope aScope, time_point aNow);

/// Removes the pins of sessions without requests for twice `aGap`.
void RemoveIdlePins(session_pins& aPins, duration aGap, time_point aNow);

} // namespace tamarackweir::rollout
