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
  version_id mTo;
  duration mDuration = 0s;  ///< from the order to its deadline
  std::uint64_t mOrder = 0; ///< identity of the order; a later one is higher

  bool operator==(const shift_order&) const = default;
};

/// How far a shift is.
enum class shift_phase
{
  Running,
  Passed,     ///< runs on; the results allow the last steps
  Succeeded,  ///< the old version may stop
  RolledBack, ///< the new version gets nothing more
};

/// What the instances agree on about a shift; kept in the store.
struct shift_progress
{
  std::uint64_t mOrder = 0;
  shift_phase mPhase = shift_phase::Running;
  std::int64_t mStartedMs = 0; ///< on the store's clock
  std::int64_t mPassedMs = 0;  ///< on the store's clock; 0: not yet
};

/// Course of a shift, as fractions of its duration, and the test of the new version.
struct shift_options
{
  double mTrialShare = 0.08; ///< of the sessions, in the first half; half of a usual exposure bound
  double mTrialEnd = 0.5;    ///< sessions keep their version until here
  /// After the trial, until the results allow more.
  double mProbeShare = 0.5;
  double mSecondStepShare = 0.5;
  double mSecondStepLength = 0.06; ///< after the shift has passed; then everything goes there
  double mPassAtLatest = 0.74;     ///< a route without results holds the shift no longer
  double mSuccessAt = 0.8;         ///< at the earliest
  double mDrainLength = 0.12;      ///< requests of the old version have ended by then
  double mSuccessAtLatest = 0.92;  ///< leaves time for the write
  double mDecideAt = 0.95;         ///< a shift that is still suspicious is rolled back
  double mBadRateFloor = 0.02;     ///< a rate of failures that is borne in any version
  double mOddsFactor = 2;          ///< the new version may fail this often, relative to the old one
  double mSignificance = 1e-4;     ///< chance of so many failures of a version that is no worse
  double mHoldAt = 0.1;            ///< such a chance holds the shift at the probe's share
  double mRollBackAt = 0.05;       ///< such a chance rolls it back once it would have to pass
  std::uint64_t mRouteResults = 12; ///< of each route, to pass; half of them failing is then seen
  std::uint64_t mCertainFailures = 25; ///< failures that count even if they come from one server
  duration mSessionGap = 5s;           ///< a session that pauses for longer may change its version
  /// At first everything goes to the old version, until all instances know of the shift and of the
  /// sessions that were under way.
  duration mNotice = 2s;
  duration mKeepListAfter = 1200ms; ///< when each instance tells its sessions that are under way
};

/// Which results belong together.
struct result_key
{
  bool mIsNew = false;
  std::string mRoute;
  server_id mServer;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the compiler's comparison with 0
  auto operator<=>(const result_key&) const = default;
};

/// Results of one instance, or pooled over all.
using shift_results = std::map<result_key, counts>;

/// One shift on one instance.
struct shift
{
  shift_order mOrder;
  std::optional<shift_progress> mProgress; ///< absent: nobody has written it yet
  time_point mStarted{};                   ///< on this instance's clock
  std::optional<time_point> mPassedAt;     ///< on this instance's clock
  bool mIsHalted = false; ///< the new version is taken for bad, whatever the store says
  shift_results mOwn;
  std::map<std::string, shift_results> mOthers; ///< newest results by instance and its start
  std::set<std::uint64_t> mKeptSessions; ///< sessions, of any instance, that the trial leaves alone
};

/// The version that a session uses.
struct session_pin
{
  bool mIsNew = false;
  double mPoint = 0;
  time_point mLastActive{};
};

/// Sessions that this instance has served lately, by a hash of service and session.
using session_pins = std::unordered_map<std::uint64_t, session_pin>;

/// Which side of a shift a request goes to.
enum class side
{
  Old,
  New,
};

/// Fraction of the shift's duration that has passed, from 0.
double Elapsed(const shift& aShift, time_point aNow);

/// Share of sessions that go to the new version.
double NewShare(const shift& aShift, const shift_options& aOptions, time_point aNow);

/// The sessions that are under way on the old version though their point is in the trial. Every
/// instance has to know them, since a session may move to another instance.
std::vector<std::uint64_t> SessionsToKeep(const shift_options& aOptions, const session_pins& aPins,
                                          time_point aNow);

/// Picks the side of a request and notes it for the session.
///
/// In the first half a session that was under way keeps its side. Every instance takes the same
/// point of a session, so that it finds the same side wherever the session's requests arrive.
/// \param aPoint of the session, or of the request if it has none; uniform in [0, 1)
/// \param aSession key of the session; absent: the request belongs to none
side PickSide(const shift& aShift, const shift_options& aOptions, double aPoint,
              std::optional<std::uint64_t> aSession, session_pins& aPins, time_point aNow);

/// Whether the shift is over, or judged to be bad.
bool IsRunning(const shift& aShift);

/// Counts a result of this instance.
void Record(shift& aShift, const result_key& aKey, bool aGood);

/// Takes over the results of another instance. A number never falls.
void MergeResults(shift& aShift, const std::string& aInstance, const shift_results& aResults);

/// Whether the results show that the new version is bad.
///
/// For each route, and for all together, the failures of the new version are compared with those of
/// the old one. The server with the most failures is left out, because a single faulty server is no
/// fault of its version.
bool IsBad(const shift& aShift, const shift_options& aOptions);

/// Whose results an instance knows.
enum class evidence_scope
{
  Own,
  Pooled, ///< of all instances
};

/// What is to be written to the store now, if anything.
///
/// A shift passes once each route has results enough and none of them is suspicious. One that is
/// still suspicious when it has to pass is rolled back, unless only one of several servers fails.
/// Only an instance with the results of all may say either.
std::optional<shift_phase> NextPhase(const shift& aShift, const shift_options& aOptions,
                                     evidence_scope aScope, time_point aNow);

/// Removes the pins of sessions that ended.
void ForgetSessions(session_pins& aPins, duration aGap, time_point aNow);

} // namespace tamarackweir::rollout
