#include "settings/gate.h"

#include "settings/inherit.h"

#include <algorithm>

namespace tamarackweir::settings {

namespace {

gate_answer Refuse(gate_refusal aRefusal, std::string aDetail)
{
  return { aRefusal, std::move(aDetail) };
}

/// Whether one of the cascade's stages runs the version.
bool HasStage(const owner& aOwner, const cascade_id& aCascade, const model_version& aVersion)
{
  const auto found = aOwner.mCascades.find(aCascade);
  return found != aOwner.mCascades.end() &&
         std::any_of(found->second.mStages.begin(), found->second.mStages.end(),
                     [&](const cascade_stage& aStage) {
                       return aStage.mModel == aVersion.mModel &&
                              (!aStage.mVersion || *aStage.mVersion == aVersion.mVersion);
                     });
}

bool IsAllowed(const account_entry& aEntry, const version_work& aWork)
{
  const allowance& allow = aEntry.mAccount->mAllow;
  return allow.mModels.contains(aWork.mVersion.mModel) ||
         allow.mVersions.contains(aWork.mVersion) ||
         (aWork.mCascade && allow.mCascades.contains(*aWork.mCascade) &&
          HasStage(*aEntry.mOwner, *aWork.mCascade, aWork.mVersion));
}

gate_answer MayRunVersion(const tree& aTree, const account_entry& aEntry,
                          const account_id& aAccount, const version_work& aWork)
{
  const auto state = StateOf(aTree, aWork.mVersion);
  // A version that the account does not allow is refused in the same way whether it exists or not,
  // so that a caller can't list the models of other accounts.
  if (!IsAllowed(aEntry, aWork)) {
    return Refuse(gate_refusal::NotAllowed, "the client account '" + aAccount.Value() +
                                              "' does not allow " + ToString(aWork.mVersion) +
                                              "; use a model that GET /v1/models lists");
  }
  if (!state) {
    return Refuse(gate_refusal::Unknown, "there is no version " + ToString(aWork.mVersion) +
                                           "; use one that GET /v1/models lists");
  }
  if (*state == version_state::Withdrawn) {
    const bool isSession = aWork.mSession == aWork.mVersion;
    return Refuse(
      gate_refusal::Withdrawn,
      "the version " + ToString(aWork.mVersion) + " is withdrawn" +
        (isSession ? ", which ends its sessions; start a new session" : "; use another version"));
  }
  if (*state == version_state::Leaving && aWork.mSession != aWork.mVersion) {
    return Refuse(gate_refusal::Leaving, "the version " + ToString(aWork.mVersion) +
                                           " takes no new sessions; use another version");
  }
  return {};
}

gate_answer MayRunCall(const tree& aTree, const account_entry& aEntry, const account_id& aAccount,
                       const call_work& aWork)
{
  const std::string name = aWork.mService.Value() + "/" + aWork.mCall.Value();
  if (!aEntry.mAccount->mAllow.mServices.contains(aWork.mService)) {
    return Refuse(gate_refusal::NotAllowed,
                  "the client account '" + aAccount.Value() + "' does not allow the service '" +
                    aWork.mService.Value() + "'; ask the operator to add it to 'allow'");
  }
  const auto found = aTree.mServices.find(aWork.mService);
  if (found == aTree.mServices.end() || !found->second.mCalls.contains(aWork.mCall)) {
    return Refuse(gate_refusal::Unknown,
                  "there is no call " + name + "; use one that the settings list");
  }
  return {};
}

} // namespace

const char* ToString(gate_refusal aRefusal)
{
  switch (aRefusal) {
    case gate_refusal::NotAllowed:
      return "not_allowed";
    case gate_refusal::Withdrawn:
      return "withdrawn";
    case gate_refusal::Leaving:
      return "leaving";
    case gate_refusal::DataCentreOut:
      return "data_centre_out";
    case gate_refusal::Unknown:
      return "unknown";
    case gate_refusal::Isolated:
      return "isolated";
  }
  return "unknown";
}

gate_answer MayRun(const tree& aTree, const dispatch& aDispatch)
{
  const auto entry = FindAccount(aTree, aDispatch.mAccount);
  if (!entry) {
    return Refuse(gate_refusal::Unknown, "there is no client account '" +
                                           aDispatch.mAccount.Value() +
                                           "'; use the key of an existing one");
  }
  const auto* call = std::get_if<call_work>(&aDispatch.mWork);
  auto answer = call != nullptr ? MayRunCall(aTree, *entry, aDispatch.mAccount, *call)
                                : MayRunVersion(aTree, *entry, aDispatch.mAccount,
                                                std::get<version_work>(aDispatch.mWork));
  if (!answer.IsAllowed()) {
    return answer;
  }
  const std::string& name = aDispatch.mDataCentre.Value();
  const auto found = aTree.mDataCentres.find(aDispatch.mDataCentre);
  if (found == aTree.mDataCentres.end()) {
    return Refuse(gate_refusal::Unknown,
                  "there is no data centre '" + name + "'; add it to /fleet/data_centres");
  }
  if (found->second.mState == data_centre_state::Out) {
    return Refuse(gate_refusal::DataCentreOut,
                  "the data centre '" + name + "' is out of service; use another one");
  }
  return {};
}

gate_answer MayDispatch(const tree& aTree, const dispatch& aDispatch, verdict aVerdict)
{
  auto answer = MayRun(aTree, aDispatch);
  if (!answer.IsAllowed() || aVerdict != verdict::Isolated) {
    return answer;
  }
  const auto* work = std::get_if<version_work>(&aDispatch.mWork);
  if (work != nullptr &&
      AccountValues(aTree, aDispatch.mAccount).mWhenIsolated == isolated_behaviour::ServeStable &&
      StateOf(aTree, work->mVersion) == version_state::Active &&
      !IsInRollout(aTree, work->mVersion)) {
    return answer;
  }
  return Refuse(gate_refusal::Isolated, "this instance can't confirm its settings; send the "
                                        "request again to reach another instance");
}

} // namespace tamarackweir::settings
