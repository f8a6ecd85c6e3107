#include "settings/tree.h"

namespace tamarackweir::settings {

std::optional<account_entry> FindAccount(const tree& aTree, const account_id& aAccount)
{
  for (const auto& [id, candidate] : aTree.mOwners) {
    if (const auto found = candidate.mAccounts.find(aAccount); found != candidate.mAccounts.end()) {
      return account_entry{ &id, &candidate, &found->second };
    }
  }
  return std::nullopt;
}

std::optional<account_id> FindAccountByKey(const tree& aTree, const key_digest& aKey)
{
  for (const auto& [ownerId, candidate] : aTree.mOwners) {
    for (const auto& [id, account] : candidate.mAccounts) {
      if (account.mKeys.contains(aKey)) {
        return id;
      }
    }
  }
  return std::nullopt;
}

std::optional<version_state> StateOf(const tree& aTree, const model_version& aVersion)
{
  if (const auto found = aTree.mModels.find(aVersion.mModel); found != aTree.mModels.end()) {
    const auto& versions = found->second.mVersions;
    if (const auto state = versions.find(aVersion.mVersion); state != versions.end()) {
      return state->second;
    }
  }
  return std::nullopt;
}

bool IsInRollout(const tree& aTree, const model_version& aVersion)
{
  for (const auto& [id, candidate] : aTree.mOwners) {
    const auto found = candidate.mRollouts.find(aVersion.mModel);
    if (found == candidate.mRollouts.end()) {
      continue;
    }
    const rollout& current = found->second;
    const bool isNew = aVersion.mVersion == current.mTo;
    const bool isOld = aVersion.mVersion == current.mFrom;
    if ((current.mState == rollout_state::Running && (isNew || isOld)) ||
        (current.mState == rollout_state::Halted && isNew)) {
      return true;
    }
  }
  return false;
}

} // namespace tamarackweir::settings
