#pragma once

#include "base/clock.h"
#include "base/ids.h"

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
  /// Of what the settling leaves, for the canary before a load step. It has to show faults that
  /// every request meets; the rest is left for the load.
  double mCanaryBeforeLoad = 0.25;
  double mLoadPart = 0.85; ///< of what canary and settling leave, for the load step
  /// Load of the server in use in the load step, relative to the mean after success. Above 1, as
  /// the requests in flight vary around their mean.
  double mStepLoad = 1.2;      ///< or 1 if there is no time for that load
  double mLargestStep = 0.9;   ///< the old version is still needed to compare with
  duration mShortestStep = 1s; ///< a shorter load step ends before its results are known
  double mReserve = 0.05;      ///< of the bound, for traffic that is not even over time
  /// All requests go to the old version for this long, until all instances know of the shift and of
  /// the sessions that were active before it.
  duration mStartDelay = 2s;
  /// From the success to the deadline: to write it to the store, with one repetition.
  duration mSettleTime = 700ms;
};

/// A larger share for a shorter time, after the canary.
struct load_step
{
  double mShare = 0; ///< of the sessions; 0: there is none
  duration mLength{};
  server_id mFirst; ///< server that is loaded first

  bool operator==(const load_step&) const = default;
};

/// When a shift moves traffic, as fractions of its duration.
///
/// The new version keeps the canary share until late, because some faults show only under its full
/// load or begin only after some time. What the canary leaves of the exposure bound pays for the
/// ramp to all requests and for the time until success, so a version with a fault that nothing has
/// shown yet stays within the bound, too.
///
/// If the canary share is too small to load one of few servers, a load step follows it in the
/// second half: a larger share for a shorter time. Canary and ramp are smaller for it.
struct exposure_schedule
{
  double mCanaryShare = 0; ///< of the sessions
  double mCanaryStart = 0;
  double mLoadShare = 0; ///< in the load step; the canary share if there is none
  double mLoadStart = 0; ///< of the load step; the start of the ramp if there is none
  double mRampStart = 0; ///< the share rises linearly from here, once the shift has passed
  double mRampEnd = 0;   ///< the new version has all requests; those on the old one drain
  double mSuccess = 0;   ///< the old version's servers may stop
};

inline bool HasLoadStep(const exposure_schedule& aSchedule)
{
  return aSchedule.mLoadShare > aSchedule.mCanaryShare;
}

/// The largest canary share of any shift with these options.
double MaxCanaryShare(const schedule_options& aOptions);

/// The canary share for a service with that many servers of the old version.
double CanaryShareFor(std::size_t aServers, const schedule_options& aOptions);

/// The share that brings `aLoad` times the mean load after success to one of the new version's
/// servers.
double LoadStepShare(std::size_t aNewServers, double aLoad, const schedule_options& aOptions);

/// Plans a shift of the given length with the wanted canary share, and with a load step if its
/// share is larger and there is time for it. A shift that is too short for a ramp has a step
/// instead; one whose settling alone takes up the bound exceeds it.
exposure_schedule PlanExposure(duration aLength, double aCanaryShare,
                               const schedule_options& aOptions, const load_step& aStep = {});

/// The canary share that leaves room for a load step of the wanted share, if there is time for one.
double CanaryShareBeforeLoad(duration aLength, double aCanaryShare, double aLoadShare,
                             const schedule_options& aOptions);

/// The share of sessions on the new version while the shift runs.
/// \param aPassed when the shift passed; negative if it has not
double ShareAt(const exposure_schedule& aSchedule, double aElapsed, double aPassed);

/// Share of the requests of the whole shift that the new version gets under even traffic, if it
/// passes at the start of the ramp.
double ExpectedExposure(const exposure_schedule& aSchedule);

} // namespace tamarackweir::rollout
