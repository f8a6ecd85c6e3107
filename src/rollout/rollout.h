#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "platform/table.h"
#include "rollout/evidence.h"
#include "rollout/sequential.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarackweir::rollout {

/// Share of new sessions that the candidate version gets in each step.
inline constexpr std::array<double, 5> kStepShares{ 0.01, 0.05, 0.25, 0.5, 1.0 };

enum class rollout_state
{
  Running,
  Halted,
  Done,
};

/// A roll-out as described by the settings in force.
struct rollout_settings
{
  owner_id mOwner;
  std::string mName;
  model_id mModel;
  version_id mOldVersion;
  version_id mNewVersion;
  double mShare = 0;
  rollout_state mState = rollout_state::Running;
  revision mRevision{}; ///< of the settings; part of change ids, so that a later run can halt again
};

/// Returns the version for a new session. The share of sessions with the lowest hashes gets the
/// candidate, so a growing share moves no session back to the old version.
version_id ChooseVersion(const rollout_settings& aRollout, std::string_view aSession);

/// Returns the index of the step whose share is in force, 0 also before the first step.
std::uint32_t StepIndex(double aShare);

/// Returns the share of the next step, or 1 at the last one.
double NextShare(double aShare);

/// Returns the instances that compete for the driver's lease: the first `aCount` by rendezvous
/// hashing. If the whole fleet read the row, that would use most of the table's read capacity.
std::vector<instance_id> LeaseContenders(const rollout_settings& aRollout,
                                         const std::vector<instance_id>& aLive,
                                         std::size_t aCount = 3);

/// A settings change that any instance may propose. The change id depends only on the settings and
/// on the proposed values, so equal proposals of several instances count as one change.
struct settings_proposal
{
  std::string mChangeId;
  owner_id mOwner;
  std::string mName;
  double mShare = 0;
  rollout_state mState = rollout_state::Halted;
};

/// Returns a proposal to halt if the results of all instances call for it. It need not come from
/// the driver.
std::optional<settings_proposal> ProposeHalt(const rollout_settings& aRollout,
                                             const evidence& aEvidence, const test_design& aDesign);

/// Limits of the driver: its lease, its orders and the load on the weight store.
struct driver_options
{
  duration mLeaseDuration = 10s; ///< after this plus the margin an unchanged row may be taken
  duration mLeaseMargin = 2s;
  duration mRenewInterval = 2s;
  duration mOrderRetryInterval = 30s; ///< until an order without effect is sent again
  double mLoadsPerSecond = 0.5;       ///< this roll-out's share of the weight store's rate; above 0
  double mMaxLoadBurst = 4;           ///< loads that may start at the same time
  duration mMinStepDuration = 60s;    ///< lower bound for a step's duration
  duration mReconcilePeriod = 120s;   ///< orders are still sent for this long after the end
};

/// The versions that an engine has loaded, from its last load report.
struct engine_report
{
  server_id mServer;
  std::set<model_version> mVersions;
};

/// Action of an order. The driver only sends `Load`: sessions may need a version until they end, so
/// operators decide when to unload it.
enum class engine_order_kind
{
  Load,
  Unload,
};

/// A command to an engine, fenced by the driver's lease.
struct engine_order
{
  server_id mServer;
  engine_order_kind mKind = engine_order_kind::Load;
  model_version mVersion;
  fencing_number mFencing;
};

/// Desired state of a roll-out: the engines that must have the candidate before the next share is
/// proposed.
struct rollout_target
{
  rollout_settings mRollout;
  std::vector<server_id> mServers; ///< enough to serve the next share
};

/// A commit of the lease row whose outcome is not known yet.
struct pending_commit
{
  nlohmann::json mRow;
  time_point mStarted{};
};

/// State that one instance keeps about one roll-out and its driver lease.
struct driver_state
{
  instance_id mSelf;
  driver_options mOptions;
  test_design mDesign;
  std::uint64_t mRowVersion = 0; ///< 0 if the row does not exist
  nlohmann::json mRow;
  bool mIsRowCurrent = false; ///< version and value have been read since the last commit
  time_point mLastReadAt{};
  time_point mRowUnchangedSince{}; ///< when this version of the row was first read
  bool mHoldsLease = false;
  time_point mRenewedAt{}; ///< when the last successful renewal was sent
  fencing_number mFencing;
  std::optional<pending_commit> mPendingCommit;
  std::int64_t mGrantedLoads = 0;   ///< loads granted by the row and not ordered yet
  time_point mGrantsAccruedUntil{}; ///< `mLoadsPerSecond` is granted up to this time
  std::map<server_id, time_point> mLoadOrderedAt;
  std::optional<std::uint32_t> mStep;
  time_point mStepSince{};
  std::optional<time_point> mFinishedSince; ///< when the roll-out was first seen halted or done
};

/// Actions that the caller carries out after a tick.
struct driver_actions
{
  bool mReadRow = false;                             ///< read the row and call `OnRowRead`
  std::optional<platform::transaction> mTransaction; ///< commit it and call `OnCommit`
  std::vector<engine_order> mOrders; ///< check `mOrdersValidUntil` again before sending
  time_point mOrdersValidUntil{};
  std::optional<settings_proposal> mProposal; ///< next share, halt or completion
};

/// Returns the key of the roll-out's lease row in the table.
std::string RowKey(const rollout_settings& aRollout);

/// Handles the result of reading the lease row.
void OnRowRead(driver_state& aState, const rollout_settings& aRollout,
               const platform::read_result& aRows, time_point aNow);

/// Handles the outcome of a transaction of `OnTick`. An unknown outcome drops the lease until the
/// row has been read. \param aStarted when the transaction was sent; the lease runs from then
void OnCommit(driver_state& aState, const platform::transaction& aTransaction,
              const platform::commit_result& aResult, time_point aStarted);

/// Returns whether this instance holds an unexpired lease; false after a long pause.
bool IsDriver(const driver_state& aState, time_point aNow);

/// Runs one round, about once a second: acquires or renews the lease, orders engines to load the
/// candidate and proposes the next share. Decisions depend only on the row, the settings and the
/// engines' reports, so a new driver continues where the last one stopped. If an engine without
/// fencing executes a stale order, its next report shows it and the driver orders the load again,
/// until `mReconcilePeriod` after the end of the roll-out.
driver_actions OnTick(driver_state& aState, const rollout_target& aTarget,
                      const std::vector<engine_report>& aEngines, const evidence& aEvidence,
                      time_point aNow);

} // namespace tamarackweir::rollout
