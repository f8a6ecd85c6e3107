#pragma once

#include "backends/fleet.h"
#include "base/duty_roster.h"
#include "cascade/confidence.h"
#include "cascade/engine_time.h"
#include "gateway/dialect.h"
#include "gateway/quantile_estimate.h"
#include "gateway/unanswered_runs.h"
#include "net/byte_budget.h"
#include "observe/metrics.h"
#include "overload/retry.h"
#include "overload/work_admission.h"
#include "placement/choose.h"
#include "placement/speed_board.h"
#include "quarantine/crash_board.h"
#include "quarantine/trial_claims.h"
#include "rollout/shift.h"
#include "routing/route_table.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarackweir::gateway {

struct call;
struct waiting_room;

/// Limits from the deployment's settings.
struct deployment_bounds
{
  double mRetryRatio = 0.1;    ///< retries per request of a service, over all instances
  double mRetrySlack = 0;      ///< retries per window beyond the ratio, over all instances
  duration mRetryWindow = 10s; ///< of the two bounds above
  duration mSessionGap = 5s;   ///< a session that is idle for longer has ended
  /// Age of the last confirmed configuration above which requests are refused, because a key or
  /// route may have been withdrawn meanwhile; absent: the known configuration stays in force.
  std::optional<duration> mRefuseAfter;
  /// Share of a service's requests that an unproven version may get during its roll-out.
  double mExposureShare = rollout::schedule_options().mExposureBound;
  /// From the acknowledgement that a server leaves until it may get no more requests.
  duration mDrain = 2s;
  duration mStopGrace = 8s; ///< from the stop request to the end of the process
  /// Memory for all answers that are read whole before they are passed on, and for events that are
  /// incomplete; a further one is given up.
  std::size_t mAnswerBytes = std::size_t{ 64 } << 20U;
  /// Memory for the headers and bodies of all callers' requests.
  std::size_t mCallerBytes = std::size_t{ 64 } << 20U;
  /// Longest time for which a server may close itself to this instance at once; so that a garbled
  /// answer does not take it away for good.
  duration mMaxServerWait = std::chrono::minutes(10);
};

/// Identity and location of this instance.
struct identity
{
  instance_id mId;
  data_centre_id mDataCentre;
  std::map<data_centre_id, routing::region_id> mRegions; ///< of all data centres
  double mLinkMbps = 0; ///< bandwidth of the machine's link; 0: not known
};

/// What is sent to other instances at once, rather than with the next load report.
enum class crash_news
{
  Evidence, ///< a crash; for those who decide by it
  Decision, ///< a quarantine or a claim; for all
};

/// Options of the gateway's decisions.
struct gateway_options
{
  deployment_bounds mBounds;
  placement::choice_options mPlacement;
  cascade::confidence_options mConfidence;
  cascade::engine_time_options mEngineTime;
  rollout::shift_options mShift;
};

/// Smoothed time to an answer, or to the first event, for one route and model; or between two
/// events of a stream, for one service and model.
struct latency_estimate
{
  double mMs = 0;
  std::uint64_t mSamples = 0;
};

/// State of the gateway on one instance. Used on the event loop only.
struct gateway_state
{
  identity mSelf;
  gateway_options mOptions;
  dialect mDialect;

  std::shared_ptr<const routing::route_table> mRoutes; ///< null until a configuration is known
  time_point
    mConfirmedAt{}; ///< when the store, or a peer that reaches it, last confirmed the configuration
  std::set<data_centre_id> mEvacuated;
  std::map<service_id, rollout::shift> mShifts;
  backends::fleet mFleet;
  std::vector<std::string> mInstances; ///< ids of all instances, this one included
  duty_roster mRoster;                 ///< the same instances, as candidates for duties
  /// Instances that did not accept results of a shift, and until when they are skipped.
  std::map<std::string, time_point> mSilentPeers;

  placement::prefix_caches mPrefixCaches;
  /// Shared with the calls, as they may outlive the state at the end of the process.
  std::unordered_map<service_id, std::shared_ptr<overload::retry_budget>> mBudgets;
  overload::recent_most mMostInstances; ///< of `mInstances`, in the budgets' window
  time_point mStartedAt{};
  bool mKnowsInstances = false; ///< the list of instances was read, here or at a peer
  std::unordered_map<std::string, latency_estimate> mLatencies; ///< by route and model
  std::map<std::pair<service_id, model_id>, placement::engine_speed> mEngineSpeeds;
  placement::speed_board mSpeedBoard; ///< estimates of all instances
  /// Of the old version: time between a stream's events, by service and model; time of a plain
  /// answer, by route.
  std::unordered_map<std::string, quantile_estimate> mPaces;
  std::unordered_map<service_id, placement::engine_load> mEngineLoads;
  overload::work_records mWork; ///< for decisions on admission
  std::unordered_map<service_id, cascade::going_rate> mGoingRates;
  /// By route and model.
  std::unordered_map<std::string, cascade::escalation_record> mEscalations;
  rollout::session_pins mSessions;
  quarantine::crash_board mCrashes;
  unanswered_runs mUnanswered;
  quarantine::trial_claims mTrialClaims;
  std::function<void(crash_news)> mShareCrashNews; ///< null while there are no other instances
  /// Where plain calls wait for places of servers, by service and version side. Shared with the
  /// calls, as they may outlive the state at the end of the process.
  std::unordered_map<std::string, std::shared_ptr<waiting_room>> mWaitingRooms;
  /// Calls that are being handled. Shared with them, as they may outlive the state at the end of
  /// the process.
  std::shared_ptr<std::set<call*>> mOpenCalls = std::make_shared<std::set<call*>>();
  /// Of `mAnswerBytes`; shared with the calls as well.
  std::shared_ptr<net::byte_budget> mAnswerBudget = std::make_shared<net::byte_budget>();
  std::mt19937_64 mRandom;
  observe::metrics mMetrics;
  time_point mStoreAnsweredAt{}; ///< when the store last answered this instance itself
  time_point mFollowedAt{};      ///< when another instance last followed the store through this one
  bool mIsStoreLost = false;     ///< this instance gets no answer from the store
  std::optional<time_point> mStoreReturnedAt; ///< when it answered again after an outage
  bool mIsStopping = false;
  time_point mStopsAt{}; ///< while stopping: when remaining requests are aborted
};

} // namespace tamarackweir::gateway
