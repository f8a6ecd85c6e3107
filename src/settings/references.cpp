#include "settings/check.h"
#include "settings/keys.h"

#include <map>

namespace tamarackweir::settings {

namespace {

/// Adds problems for the parts of a tree that refer to other parts.
class reference_checker
{
public:
  reference_checker(const tree& aTree, const std::string& aFile, std::vector<problem>& aProblems)
    : mTree(aTree)
    , mFile(aFile)
    , mProblems(aProblems)
  {
  }

  void Run()
  {
    for (const auto& [id, entry] : mTree.mServices) {
      if (const std::string path = internal::Append("/fleet/services", id.Value());
          !entry.mOwner.Value().empty() && !mTree.mOwners.contains(entry.mOwner)) {
        Add(severity::Error, path + "/owner", "there is no owner '" + entry.mOwner.Value() + "'",
            "name an owner of /owners");
      }
      if (mTree.mModels.contains(model_id(id.Value()))) {
        Add(severity::Error, internal::Append("/fleet/services", id.Value()),
            "a model has the same name", kRenameRemedy);
      }
    }
    values defaults;
    internal::Apply(defaults, mTree.mDefaults);
    for (const auto& [id, entry] : mTree.mOwners) {
      CheckOwner(id, entry, defaults);
    }
  }

private:
  void CheckOwner(const owner_id& aId, const owner& aOwner, const values& aInherited)
  {
    const std::string path = internal::Append("/owners", aId.Value());
    const values inherited = CheckOverrides(aOwner.mSettings, aInherited, path + "/settings");
    for (const auto& [id, entry] : aOwner.mOperators) {
      CheckKeys(entry.mKeys, internal::Append(path + "/operators", id.Value()));
    }
    for (const auto& [id, entry] : aOwner.mCascades) {
      CheckCascade(internal::Append(path + "/cascades", id.Value()), id, entry);
    }
    for (const auto& [id, entry] : aOwner.mRollouts) {
      CheckRollout(internal::Append(path + "/rollouts", id.Value()), id, entry);
    }
    for (const auto& [id, entry] : aOwner.mAccounts) {
      CheckAccount(internal::Append(path + "/accounts", id.Value()), id, entry, inherited);
    }
  }

  void CheckCascade(const std::string& aPath, const cascade_id& aId, const cascade& aCascade)
  {
    if (mTree.mModels.contains(model_id(aId.Value())) ||
        mTree.mServices.contains(service_id(aId.Value()))) {
      Add(severity::Error, aPath, "a model or service has the same name", kRenameRemedy);
    }
    if (aCascade.mStages.empty()) {
      Add(severity::Error, aPath + "/stages", "the cascade has no valid stage",
          "name at least one model, from cheap to expensive");
    }
    micro_cost previous{ 0 };
    for (std::size_t i = 0; i < aCascade.mStages.size(); ++i) {
      const auto& [modelId, versionId] = aCascade.mStages[i];
      const std::string path = internal::Append(aPath + "/stages", std::to_string(i));
      const auto found = mTree.mModels.find(modelId);
      if (found == mTree.mModels.end()) {
        Add(severity::Error, path, "there is no model '" + modelId.Value() + "'",
            "name a model of /fleet/models, or a version as model@version");
        continue;
      }
      if (versionId && !found->second.mVersions.contains(*versionId)) {
        Add(severity::Error, path,
            "there is no version " + ToString(model_version{ modelId, *versionId }),
            "name a version of the model");
      }
      if (found->second.mCostPer1kTokens < previous) {
        Add(severity::Warning, path, "the stage costs less than the one before it",
            "order the stages from cheap to expensive");
      }
      previous = found->second.mCostPer1kTokens;
    }
  }

  void CheckRollout(const std::string& aPath, const model_id& aModel, const rollout& aRollout)
  {
    if (!mTree.mModels.contains(aModel)) {
      Add(severity::Error, aPath, "there is no model '" + aModel.Value() + "'",
          "name a model of /fleet/models");
      return;
    }
    CheckRolloutVersion(aPath + "/from", { aModel, aRollout.mFrom }, aRollout);
    CheckRolloutVersion(aPath + "/to", { aModel, aRollout.mTo }, aRollout);
    if (aRollout.mFrom == aRollout.mTo && !aRollout.mFrom.Value().empty()) {
      Add(severity::Error, aPath, "the roll-out goes from a version to itself",
          "name two versions");
    }
  }

  /// A state that does not fit is only a warning: withdrawing a bad version must not have to wait
  /// until the other owner ends its roll-out.
  void CheckRolloutVersion(const std::string& aPath, const model_version& aVersion,
                           const rollout& aRollout)
  {
    if (aVersion.mVersion.Value().empty()) {
      return; // already reported
    }
    const auto state = StateOf(mTree, aVersion);
    if (!state) {
      Add(severity::Error, aPath, "there is no version " + ToString(aVersion),
          "name a version of the model");
    } else if (*state == version_state::Withdrawn && aRollout.mState == rollout_state::Running) {
      Add(severity::Warning, aPath, "the version " + ToString(aVersion) + " is withdrawn",
          "set the roll-out to halted or done");
    }
  }

  void CheckAccount(const std::string& aPath, const account_id& aId, const client_account& aAccount,
                    const values& aInherited)
  {
    if (const auto [first, isNew] = mAccounts.emplace(aId, aPath); !isNew) {
      Add(severity::Error, aPath, "the account name is in use at " + first->second,
          "rename one; account names are unique over all owners");
    }
    CheckKeys(aAccount.mKeys, aPath);
    const values inherited = CheckOverrides(aAccount.mSettings, aInherited, aPath + "/settings");
    for (const auto& [id, settings] : aAccount.mModelSettings) {
      CheckOverrides(settings, inherited,
                     internal::Append(aPath + "/models", id.Value()) + "/settings");
    }
    for (const auto& [id, settings] : aAccount.mCascadeSettings) {
      CheckOverrides(settings, inherited,
                     internal::Append(aPath + "/models", id.Value()) + "/settings");
    }
  }

  /// A key in two places would make it random whose it is.
  void CheckKeys(const std::set<key_digest>& aKeys, const std::string& aPath)
  {
    for (const key_digest& key : aKeys) {
      if (const auto [first, isNew] = mKeys.emplace(key, aPath); !isNew) {
        Add(severity::Error, aPath + "/key_sha256", "a key is in use at " + first->second,
            "give each account and operator keys of its own");
      }
    }
  }

  /// Warns of overrides without effect; returns the values below this level.
  values CheckOverrides(const overrides& aLevel, const values& aInherited, const std::string& aPath)
  {
    internal::ForEachKey([&](const auto& aKey) {
      const auto& value = aLevel.*aKey.mOverride;
      if (value && *value == aInherited.*aKey.mValue) {
        Add(severity::Warning, internal::Append(aPath, aKey.mName),
            "the value equals the inherited one", "remove the override");
      }
    });
    values result = aInherited;
    internal::Apply(result, aLevel);
    return result;
  }

  void Add(severity aSeverity, const std::string& aPath, const std::string& aWhat,
           const std::string& aRemedy)
  {
    mProblems.push_back({ aSeverity, mFile, aPath, aWhat, aRemedy });
  }

  static constexpr const char* kRenameRemedy =
    "rename one; models, cascades and services share the names of 'allow'";

  const tree& mTree;
  std::string mFile;
  std::vector<problem>& mProblems;
  std::map<account_id, std::string> mAccounts;
  std::map<key_digest, std::string> mKeys;
};

} // namespace

namespace internal {

void CheckReferences(const tree& aTree, const std::string& aFile, std::vector<problem>& aProblems)
{
  reference_checker(aTree, aFile, aProblems).Run();
}

} // namespace internal
} // namespace tamarackweir::settings
