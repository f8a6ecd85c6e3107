#pragma once

#include "base/clock.h"

#include <cstddef>

namespace tamarackweir::rollout {

/// Limits that the schedule of a traffic shift is derived from.
struct schedule_options
{
  /// Share of all requests of the shift's duration that the new version may get while it is
  /// unproven; a setting of the deployment.
  double mExposureBound = 0.15;
  double mCanaryPart = 0.45; ///< canary share of the sessions, relative to the bound
  /// Servers of the old version whose share of the load the canary gets, below the part above. A
  /// service with many servers has results enough from a smaller share, and more is left to drain.
  double mCanaryServers = 3;
  double mDrainPart = 0.7; ///< of what the canary leaves, for the drain; the rest is for the ramp
  double mReserve = 0.05;  ///< of the bound, for traffic that is not even over time
  /// All requests go to the old version for this long, until all instances know of the shift and of
  /// the sessions that were active before it.
  duration mStartDelay = 2s;
  /// From the success to the deadline: to write it to the store, with one repetition.
  duration mSettleTime = 700ms;
};

/// When a shift moves traffic, as fractions of its duration.
///
/// The new version keeps the canary share until late, because some faults show only under its full
/// load or begin only after some time. What the canary leaves of the exposure bound pays for the
/// ramp to all requests and for the time until success, so a version with a fault that nothing has
/// shown yet stays within the bound, too.
struct exposure_schedule
{
  double mCanaryShare = 0; ///< of the sessions
  double mCanaryStart = 0;
  double mRampStart = 0; ///< the share rises linearly from here, once the shift has passed
  double mRampEnd = 0;   ///< the new version has all requests; those on the old one drain
  double mSuccess = 0;   ///< the old version's servers may stop
};

/// The largest canary share of any shift with these options.
double MaxCanaryShare(const schedule_options& aOptions);

/// The canary share for a service with that many servers of the old version.
double CanaryShareFor(std::size_t aServers, const schedule_options& aOptions);

/// Plans a shift of the given length with the wanted canary share. A shift that is too short for a
/// ramp has a step instead; one whose settling alone takes up the bound exceeds it.
exposure_schedule PlanExposure(duration aLength, double aCanaryShare,
                               const schedule_options& aOptions);

/// The share of sessions on the new version while the shift runs.
/// \param aPassed when the shift passed; negative if it has not
double ShareAt(const exposure_schedule& aSchedule, double aElapsed, double aPassed);

/// Share of the requests of the whole shift that the new version gets under even traffic, if it
/// passes at the start of the ramp.
double ExpectedExposure(const exposure_schedule& aSchedule);

} // namespace tamarackweir::rollout
