#include "rollout/rollout.h"

#include "base/digest.h"

#include <algorithm>
#include <cmath>

namespace tamarackweir::rollout {

using nlohmann::json;

namespace {

/// Tolerance for comparing shares, which JSON may round.
constexpr double kShareTolerance = 1e-9;

const char* NameOf(rollout_state aState)
{
  switch (aState) {
    case rollout_state::Running:
      return "running";
    case rollout_state::Halted:
      return "halted";
    case rollout_state::Done:
      return "done";
  }
  return "halted";
}

settings_proposal MakeProposal(const rollout_settings& aRollout, double aShare,
                               rollout_state aState)
{
  const std::string text = aRollout.mOwner.Value() + "/" + aRollout.mName + "/" +
                           aRollout.mNewVersion.Value() + "/" +
                           std::to_string(aRollout.mRevision.Value()) + "/" +
                           std::to_string(StepIndex(aShare)) + "/" + NameOf(aState);
  return { "rollout-" + Sha256Hex(text).substr(0, 32), aRollout.mOwner, aRollout.mName, aShare,
           aState };
}

test_verdict TestCandidate(const rollout_settings& aRollout, const evidence& aEvidence,
                           const test_design& aDesign)
{
  // Uses the old version's results of all steps: the version does not change, and in the last steps
  // it gets few or no new results.
  return RunSequentialTest(
    aDesign, PoolCounts(aEvidence, aRollout.mOwner, aRollout.mName, aRollout.mOldVersion),
    PoolCounts(aEvidence, aRollout.mOwner, aRollout.mName, aRollout.mNewVersion,
               StepIndex(aRollout.mShare)));
}

void DropLease(driver_state& aState)
{
  aState.mHoldsLease = false;
  aState.mGrantedLoads = 0;
}

/// Updates the state after a commit of this instance that is known to have taken effect.
void ApplyCommit(driver_state& aState, const json& aRow, time_point aStarted)
{
  const fencing_number fencing(aRow.value("fencing", std::uint64_t{ 0 }));
  const std::int64_t loads = aRow.value("loads", std::int64_t{ 0 });
  if (!aState.mHoldsLease || aState.mFencing != fencing) {
    // A new driver starts without granted loads: its predecessor may have used the rate up to
    // its end.
    aState.mGrantedLoads = 0;
    aState.mGrantsAccruedUntil = aStarted;
    aState.mLoadOrderedAt.clear();
    aState.mStep.reset();
  } else {
    const std::int64_t added = loads - aState.mRow.value("loads", std::int64_t{ 0 });
    aState.mGrantedLoads += added;
    // The fraction of a load that a renewal can't grant carries over, unless the burst limit is
    // reached.
    const std::chrono::duration<double> grantedTime(static_cast<double>(added) /
                                                    aState.mOptions.mLoadsPerSecond);
    aState.mGrantsAccruedUntil += std::chrono::duration_cast<duration>(grantedTime);
    if (static_cast<double>(aState.mGrantedLoads + 1) > aState.mOptions.mMaxLoadBurst) {
      aState.mGrantsAccruedUntil = aStarted;
    }
  }
  aState.mHoldsLease = true;
  aState.mFencing = fencing;
  aState.mRow = aRow;
  aState.mRenewedAt = aStarted;
}

platform::transaction MakeRowWrite(driver_state& aState, const rollout_settings& aRollout,
                                   json aRow, time_point aNow)
{
  aState.mPendingCommit = { aRow, aNow };
  return { { { RowKey(aRollout), aState.mRowVersion } },
           { { RowKey(aRollout), std::move(aRow) } },
           {} };
}

platform::transaction TakeOverLease(driver_state& aState, const rollout_settings& aRollout,
                                    time_point aNow)
{
  const json& old = aState.mRow;
  const bool exists = aState.mRowVersion != 0;
  const json row{
    { "step", StepIndex(aRollout.mShare) },
    { "driver", aState.mSelf.Value() },
    { "fencing", (exists ? old.value("fencing", std::uint64_t{ 0 }) : 0) + 1 },
    { "renewal", (exists ? old.value("renewal", std::uint64_t{ 0 }) : 0) + 1 },
    { "loads", exists ? old.value("loads", std::int64_t{ 0 }) : 0 },
  };
  return MakeRowWrite(aState, aRollout, row, aNow);
}

platform::transaction RenewLease(driver_state& aState, const rollout_settings& aRollout,
                                 time_point aNow)
{
  const driver_options& limits = aState.mOptions;
  const double elapsed = std::chrono::duration<double>(aNow - aState.mGrantsAccruedUntil).count();
  const double remainingBurst = limits.mMaxLoadBurst - static_cast<double>(aState.mGrantedLoads);
  const auto grant = static_cast<std::int64_t>(
    std::floor(std::clamp(limits.mLoadsPerSecond * elapsed, 0.0, std::max(0.0, remainingBurst))));
  json row = aState.mRow;
  row["step"] = StepIndex(aRollout.mShare);
  row["renewal"] = row.value("renewal", std::uint64_t{ 0 }) + 1;
  row["loads"] = row.value("loads", std::int64_t{ 0 }) + grant;
  return MakeRowWrite(aState, aRollout, std::move(row), aNow);
}

bool HasVersion(const engine_report& aEngine, const model_version& aVersion)
{
  return aEngine.mVersions.contains(aVersion);
}

/// Orders engines of the target without the candidate to load it. Returns whether the target has
/// engines and all of them have the candidate.
bool OrderLoads(driver_state& aState, const rollout_target& aTarget,
                const std::vector<engine_report>& aEngines, std::vector<engine_order>& aOrders,
                time_point aNow)
{
  const model_version candidate{ aTarget.mRollout.mModel, aTarget.mRollout.mNewVersion };
  // Without a server for the candidate, the sessions of the next share could not be served.
  bool ready = !aTarget.mServers.empty();
  for (const server_id& server : aTarget.mServers) {
    const auto found =
      std::find_if(aEngines.begin(), aEngines.end(),
                   [&](const engine_report& aEngine) { return aEngine.mServer == server; });
    if (found != aEngines.end() && HasVersion(*found, candidate)) {
      continue;
    }
    ready = false;
    const auto ordered = aState.mLoadOrderedAt.find(server);
    const bool isDue = ordered == aState.mLoadOrderedAt.end() ||
                       aNow - ordered->second >= aState.mOptions.mOrderRetryInterval;
    if (found != aEngines.end() && isDue && aState.mGrantedLoads > 0) {
      --aState.mGrantedLoads;
      aState.mLoadOrderedAt[server] = aNow;
      aOrders.push_back({ server, engine_order_kind::Load, candidate, aState.mFencing });
    }
  }
  return ready;
}

void AdvanceRollout(driver_state& aState, const rollout_target& aTarget,
                    const std::vector<engine_report>& aEngines, const evidence& aEvidence,
                    driver_actions& aOut, time_point aNow)
{
  const rollout_settings& rollout = aTarget.mRollout;
  if (aState.mStep != StepIndex(rollout.mShare)) {
    aState.mStep = StepIndex(rollout.mShare);
    aState.mStepSince = aNow;
  }
  aOut.mOrdersValidUntil =
    aState.mRenewedAt + aState.mOptions.mLeaseDuration - aState.mOptions.mLeaseMargin;
  if (const auto halt = ProposeHalt(rollout, aEvidence, aState.mDesign)) {
    aOut.mProposal = halt;
    return;
  }
  const bool ready = OrderLoads(aState, aTarget, aEngines, aOut.mOrders, aNow);
  if (rollout.mState == rollout_state::Done) {
    return;
  }
  const bool isFirst = rollout.mShare < kStepShares.front() - kShareTolerance;
  const bool isAccepted =
    isFirst || (TestCandidate(rollout, aEvidence, aState.mDesign) == test_verdict::Accept &&
                aNow - aState.mStepSince >= aState.mOptions.mMinStepDuration);
  if (!ready || !isAccepted) {
    return;
  }
  const bool isLast = rollout.mShare > kStepShares.back() - kShareTolerance;
  aOut.mProposal = MakeProposal(rollout, NextShare(rollout.mShare),
                                isLast ? rollout_state::Done : rollout_state::Running);
}

} // namespace

version_id ChooseVersion(const rollout_settings& aRollout, std::string_view aSession)
{
  if (aRollout.mState != rollout_state::Running) {
    return aRollout.mState == rollout_state::Done ? aRollout.mNewVersion : aRollout.mOldVersion;
  }
  // Each roll-out has its own hash seed; otherwise the same sessions would get every new version
  // first.
  const std::uint64_t seed = StableHash(RowKey(aRollout) + "/" + aRollout.mNewVersion.Value());
  const double hashPoint = std::ldexp(static_cast<double>(StableHash(aSession, seed) >> 11U), -53);
  return hashPoint < aRollout.mShare ? aRollout.mNewVersion : aRollout.mOldVersion;
}

std::uint32_t StepIndex(double aShare)
{
  std::uint32_t step = 0;
  while (step + 1 < kStepShares.size() && aShare > kStepShares[step + 1] - kShareTolerance) {
    ++step;
  }
  return step;
}

double NextShare(double aShare)
{
  const auto next = std::find_if(kStepShares.begin(), kStepShares.end(),
                                 [&](double aStep) { return aStep > aShare + kShareTolerance; });
  return next == kStepShares.end() ? kStepShares.back() : *next;
}

std::vector<instance_id> LeaseContenders(const rollout_settings& aRollout,
                                         const std::vector<instance_id>& aLive, std::size_t aCount)
{
  const std::uint64_t seed = StableHash(RowKey(aRollout));
  std::vector<instance_id> ranked = aLive;
  std::sort(ranked.begin(), ranked.end(), [&](const instance_id& aLeft, const instance_id& aRight) {
    return StableHash(aLeft.Value(), seed) < StableHash(aRight.Value(), seed);
  });
  ranked.resize(std::min(aCount, ranked.size()));
  return ranked;
}

std::optional<settings_proposal> ProposeHalt(const rollout_settings& aRollout,
                                             const evidence& aEvidence, const test_design& aDesign)
{
  if (aRollout.mState != rollout_state::Running ||
      TestCandidate(aRollout, aEvidence, aDesign) != test_verdict::Halt) {
    return std::nullopt;
  }
  return MakeProposal(aRollout, aRollout.mShare, rollout_state::Halted);
}

std::string RowKey(const rollout_settings& aRollout)
{
  return "rollout/" + aRollout.mOwner.Value() + "/" + aRollout.mName;
}

void OnRowRead(driver_state& aState, const rollout_settings& aRollout,
               const platform::read_result& aRows, time_point aNow)
{
  if (!aRows.mReachable) {
    return;
  }
  const platform::row* found = Find(aRows, RowKey(aRollout));
  const std::uint64_t version = found == nullptr ? 0 : found->mVersion;
  const json value = found == nullptr ? json::object() : found->mValue;
  if (version != aState.mRowVersion) {
    aState.mRowUnchangedSince = aNow;
  }
  aState.mRowVersion = version;
  aState.mIsRowCurrent = true;
  if (aState.mPendingCommit && aState.mPendingCommit->mRow == value) {
    ApplyCommit(aState, value, aState.mPendingCommit->mStarted);
  } else if (aState.mHoldsLease && value != aState.mRow) {
    DropLease(aState);
  }
  aState.mPendingCommit.reset();
  aState.mRow = value;
}

void OnCommit(driver_state& aState, const platform::transaction& aTransaction,
              const platform::commit_result& aResult, time_point aStarted)
{
  switch (aResult.mStatus) {
    case platform::commit_status::Committed:
      if (aTransaction.mPut.empty()) {
        DropLease(aState);
      } else {
        ApplyCommit(aState, aTransaction.mPut.front().mValue, aStarted);
      }
      aState.mPendingCommit.reset();
      // A commit does not return the row's new version, which the next renewal needs.
      aState.mIsRowCurrent = false;
      break;
    case platform::commit_status::Conflict:
      DropLease(aState);
      aState.mPendingCommit.reset();
      aState.mIsRowCurrent = false;
      break;
    case platform::commit_status::Unreachable:
      aState.mPendingCommit.reset();
      break;
    case platform::commit_status::Unknown:
      DropLease(aState);
      aState.mIsRowCurrent = false;
      break;
  }
}

bool IsDriver(const driver_state& aState, time_point aNow)
{
  return aState.mHoldsLease &&
         aNow < aState.mRenewedAt + aState.mOptions.mLeaseDuration - aState.mOptions.mLeaseMargin;
}

driver_actions OnTick(driver_state& aState, const rollout_target& aTarget,
                      const std::vector<engine_report>& aEngines, const evidence& aEvidence,
                      time_point aNow)
{
  driver_actions result;
  const driver_options& limits = aState.mOptions;
  const rollout_settings& rollout = aTarget.mRollout;
  if (aState.mHoldsLease && !IsDriver(aState, aNow)) {
    DropLease(aState);
  }
  if (rollout.mState == rollout_state::Running) {
    aState.mFinishedSince.reset();
  } else if (!aState.mFinishedSince) {
    aState.mFinishedSince = aNow;
  }
  const bool isFinished =
    rollout.mState == rollout_state::Halted ||
    (aState.mFinishedSince && aNow - *aState.mFinishedSince >= limits.mReconcilePeriod);
  if (isFinished) {
    if (aState.mHoldsLease && aState.mIsRowCurrent) {
      result.mTransaction = { { { RowKey(rollout), aState.mRowVersion } },
                              {},
                              { RowKey(rollout) } };
    } else {
      result.mReadRow = aState.mHoldsLease;
    }
    return result;
  }
  // A finished roll-out without a row has been cleaned up and needs no driver.
  const bool canTakeOver = aState.mRowVersion == 0 ? rollout.mState == rollout_state::Running
                                                   : aNow - aState.mRowUnchangedSince >=
                                                       limits.mLeaseDuration + limits.mLeaseMargin;
  if (!aState.mIsRowCurrent ||
      (!aState.mHoldsLease && aNow - aState.mLastReadAt >= limits.mRenewInterval)) {
    result.mReadRow = true;
    aState.mLastReadAt = aNow;
  }
  if (aState.mHoldsLease) {
    if (aState.mIsRowCurrent && !aState.mPendingCommit &&
        aNow - aState.mRenewedAt >= limits.mRenewInterval) {
      result.mTransaction = RenewLease(aState, rollout, aNow);
    }
    AdvanceRollout(aState, aTarget, aEngines, aEvidence, result, aNow);
  } else if (aState.mIsRowCurrent && !aState.mPendingCommit && canTakeOver) {
    result.mTransaction = TakeOverLease(aState, rollout, aNow);
  }
  return result;
}

} // namespace tamarackweir::rollout
