#include "control/internal.h"

#include "settings/inherit.h"

namespace tamarackweir::control::internal {

using nlohmann::json;

namespace {

json ServerStatus(const state& aState, const balancing::server& aServer, time_point aNow)
{
  json versions = json::array();
  for (const model_version& version : aServer.mVersions) {
    versions.push_back(ToString(version));
  }
  return { { "id", aServer.mId.Value() },
           { "data_centre", aServer.mDataCentre.Value() },
           { "load", balancing::EstimatedLoad(aState.mBalancing, aServer) },
           { "capacity", aServer.mCapacity },
           { "cold", capacity::IsCold(aState.mCapacity, aServer.mId) },
           { "ejected", aServer.mEjectedUntil > aNow },
           { "leaving", aServer.mListedLeaving },
           { "versions", versions } };
}

/// Whether the load balancer should send requests: an isolated instance refuses them, unless its
/// owner has stable versions served.
bool MayServe(const state& aState, time_point aNow)
{
  if (!IsReady(aState)) {
    return false;
  }
  const auto owner = aState.mTree->mOwners.find(aState.mSelf.mOwner);
  return settings::CurrentVerdict(aState.mPropagation, aNow) != settings::verdict::Isolated ||
         (owner != aState.mTree->mOwners.end() &&
          settings::OwnerValues(*aState.mTree, owner->first).mWhenIsolated ==
            settings::isolated_behaviour::ServeStable);
}

json RolloutStatus(const state& aState)
{
  json rollouts = json::array();
  if (aState.mTree == nullptr) {
    return rollouts;
  }
  for (const auto& [ownerId, owner] : aState.mTree->mOwners) {
    for (const auto& [model, settingsOfRollout] : owner.mRollouts) {
      const auto rollout = FindRollout(*aState.mTree, ownerId, model);
      const auto pool = [&aState, &rollout](const version_id& aVersion) {
        const rollout::result_counts counts =
          rollout::PoolCounts(aState.mEvidence, rollout->mOwner, rollout->mName, aVersion);
        return json{ { "good", counts.mGood }, { "bad", counts.mBad } };
      };
      rollouts.push_back(
        { { "owner", ownerId.Value() },
          { "model", model.Value() },
          { "from", rollout->mOldVersion.Value() },
          { "to", rollout->mNewVersion.Value() },
          { "share", rollout->mShare },
          { "running", rollout->mState == rollout::rollout_state::Running },
          { "evidence",
            { { "from", pool(rollout->mOldVersion) }, { "to", pool(rollout->mNewVersion) } } } });
    }
  }
  return rollouts;
}

} // namespace

json Status(const state& aState, time_point aNow)
{
  json members = json::array();
  for (const auto& [id, member] : aState.mMembership.mMembers) {
    members.push_back({ { "id", id.Value() },
                        { "data_centre", member.mDataCentre.Value() },
                        { "leaving", member.mLeaving },
                        { "left", member.mLeft } });
  }
  json servers = json::array();
  for (const balancing::server& server : aState.mBalancing.mServers) {
    servers.push_back(ServerStatus(aState, server, aNow));
  }
  return { { "instance", aState.mSelf.mId.Value() },
           { "owner", aState.mSelf.mOwner.Value() },
           { "data_centre", aState.mSelf.mDataCentre.Value() },
           { "ready", MayServe(aState, aNow) },
           { "revision", aState.mPropagation.mHeld.Value() },
           { "settings", settings::ToString(settings::CurrentVerdict(aState.mPropagation, aNow)) },
           { "active_requests", aState.mActive },
           { "queued_requests", overload::QueueLength(aState.mAdmission) },
           { "admission_limit", aState.mAdmission.mLimit },
           { "bill_records_buffered", billing::CountBuffered(aState.mBilling) },
           { "bill_records_at_risk", aState.mBilling.mAtRiskCount },
           { "claims_unstored", claims::CountUnstored(aState.mClaims) },
           { "rating_outage", aState.mCascade.mOutage },
           { "quarantine_entries", aState.mQuarantine.mEntries.size() },
           { "rollouts", RolloutStatus(aState) },
           { "instances", members },
           { "servers", servers } };
}

} // namespace tamarackweir::control::internal
