#include "control/internal.h"

#include "settings/inherit.h"

#include <algorithm>

namespace tamarackweir::control::internal {

namespace {

problem Refuse(int aStatus, std::string aType, std::string aTitle, std::string aDetail)
{
  return { .mStatus = aStatus,
           .mType = std::move(aType),
           .mTitle = std::move(aTitle),
           .mDetail = std::move(aDetail),
           .mOutcome = outcome::NotRun,
           .mRetryAfter = {} };
}

problem NotAllowed(const std::string& aModel)
{
  return Refuse(403, "not-allowed", "The client account may not use this model",
                "'" + aModel + "' is not allowed or does not exist; use a model of GET /v1/models");
}

/// Whether the account may run the version as the caller named it, outside a cascade.
bool IsAllowed(const settings::allowance& aAllow, const model_version& aVersion)
{
  return aAllow.mModels.contains(aVersion.mModel) || aAllow.mVersions.contains(aVersion);
}

/// The version of a model for new sessions: the roll-out's choice where the owner has one, else the
/// last active version by name that `aMayUse` admits.
template<class MayUse>
std::optional<model_version> VersionForNewSession(const settings::tree& aTree,
                                                  const owner_id& aOwner, const model_id& aModel,
                                                  std::uint64_t aSession, MayUse aMayUse)
{
  const auto model = aTree.mModels.find(aModel);
  if (model == aTree.mModels.end()) {
    return std::nullopt;
  }
  const auto isUsable = [&](const version_id& aVersion) {
    const auto found = model->second.mVersions.find(aVersion);
    return found != model->second.mVersions.end() &&
           found->second == settings::version_state::Active && aMayUse({ aModel, aVersion });
  };
  if (const auto rollout = FindRollout(aTree, aOwner, aModel)) {
    const version_id version = rollout::ChooseVersion(*rollout, std::to_string(aSession));
    if (isUsable(version)) {
      return model_version{ aModel, version };
    }
  }
  std::optional<model_version> result;
  for (const auto& [version, state] : model->second.mVersions) {
    if (isUsable(version)) {
      result = model_version{ aModel, version };
    }
  }
  return result;
}

/// The stages that a request may run on, or a refusal.
struct resolution
{
  std::vector<model_version> mStages;
  std::optional<cascade_id> mCascade;
  std::optional<problem> mRefusal;
};

/// The model names that the caller's text can mean: one model, or the stages of a cascade.
resolution Resolve(const settings::tree& aTree, const settings::account_entry& aAccount,
                   const std::string& aText, std::uint64_t aSession)
{
  resolution result;
  const settings::allowance& allow = aAccount.mAccount->mAllow;
  const owner_id& owner = *aAccount.mOwnerId;
  const cascade_id cascadeId(aText);
  if (const auto cascade = aAccount.mOwner->mCascades.find(cascadeId);
      cascade != aAccount.mOwner->mCascades.end() && allow.mCascades.contains(cascadeId)) {
    result.mCascade = cascadeId;
    for (const auto& [model, version] : cascade->second.mStages) {
      if (version) {
        result.mStages.push_back({ model, *version });
      } else if (const auto found = VersionForNewSession(
                   aTree, owner, model, aSession, [](const model_version&) { return true; })) {
        result.mStages.push_back(*found);
      }
    }
  } else if (const auto at = aText.find('@'); at != std::string::npos) {
    const model_version version{ model_id(aText.substr(0, at)), version_id(aText.substr(at + 1)) };
    if (IsAllowed(allow, version)) {
      result.mStages.push_back(version);
    }
  } else if (const auto found = VersionForNewSession(
               aTree, owner, model_id(aText), aSession,
               [&](const model_version& aVersion) { return IsAllowed(allow, aVersion); })) {
    result.mStages.push_back(*found);
  }
  if (result.mStages.empty()) {
    result.mRefusal = NotAllowed(aText);
  }
  return result;
}

billing::price PriceOf(const settings::tree& aTree, const model_id& aModel)
{
  const auto model = aTree.mModels.find(aModel);
  return { model == aTree.mModels.end() ? 0 : model->second.mCostPer1kTokens.Value() };
}

/// Whether the session's version may answer what the caller named.
bool Names(const settings::tree& aTree, const settings::account_entry& aAccount,
           const std::string& aText, const model_version& aVersion)
{
  if (aText == aVersion.mModel.Value() || aText == ToString(aVersion)) {
    return true;
  }
  const auto cascade = aAccount.mOwner->mCascades.find(cascade_id(aText));
  return cascade != aAccount.mOwner->mCascades.end() &&
         std::any_of(cascade->second.mStages.begin(), cascade->second.mStages.end(),
                     [&](const settings::cascade_stage& aStage) {
                       return aStage.mModel == aVersion.mModel;
                     }) &&
         aTree.mModels.contains(aVersion.mModel);
}

/// The values at the level that the caller named: a cascade, or a model.
settings::values ValuesFor(const settings::tree& aTree, const settings::account_entry& aAccount,
                           const start& aStart)
{
  if (aAccount.mOwner->mCascades.contains(cascade_id(aStart.mModel))) {
    return settings::AccountValues(aTree, aStart.mAccount, cascade_id(aStart.mModel));
  }
  return settings::AccountValues(aTree, aStart.mAccount,
                                 model_id(aStart.mModel.substr(0, aStart.mModel.find('@'))));
}

sessions::version_state SessionState(const settings::tree& aTree, const model_version& aVersion)
{
  const auto found = settings::StateOf(aTree, aVersion);
  if (!found) {
    return sessions::version_state::Absent;
  }
  switch (*found) {
    case settings::version_state::Active:
      return sessions::version_state::Active;
    case settings::version_state::Leaving:
      return sessions::version_state::Leaving;
    case settings::version_state::Withdrawn:
      return sessions::version_state::Withdrawn;
  }
  return sessions::version_state::Absent;
}

problem SessionProblem(sessions::refusal aRefusal)
{
  const bool isGone = aRefusal == sessions::refusal::VersionWithdrawn;
  return Refuse(isGone ? 410 : 400, sessions::ToString(aRefusal), "The session can't go on",
                sessions::Detail(aRefusal));
}

/// Fills in session and stages; returns a refusal or nothing.
std::optional<problem> PlanStages(state& aState, const settings::tree& aTree,
                                  const settings::account_entry& aAccount, const start& aStart,
                                  started& aPlan)
{
  std::vector<model_version> stages;
  if (aStart.mSession.empty()) {
    aPlan.mSession = sessions::CreateSession(aState.mSessions, aStart.mAccount, {});
    resolution resolved = Resolve(aTree, aAccount, aStart.mModel, aPlan.mSession.mNumber.Value());
    if (resolved.mRefusal) {
      return resolved.mRefusal;
    }
    aPlan.mCascade = resolved.mCascade;
    stages = std::move(resolved.mStages);
  } else {
    const auto verified = sessions::VerifyToken(
      aState.mSessions, sessions::session_token(aStart.mSession), aStart.mAccount);
    if (const auto* refusal = std::get_if<sessions::refusal>(&verified)) {
      return SessionProblem(*refusal);
    }
    aPlan.mSession = std::get<sessions::session>(verified);
    aPlan.mContinues = true;
    const model_version& version = aPlan.mSession.mVersion;
    if (const auto refusal = sessions::CheckContinue(SessionState(aTree, version))) {
      return SessionProblem(*refusal);
    }
    if (!Names(aTree, aAccount, aStart.mModel, version)) {
      return Refuse(409, "session-model", "The session runs on another model",
                    "the session runs on " + ToString(version) +
                      "; name its model, or leave out the session header to start a new session");
    }
    if (aAccount.mOwner->mCascades.contains(cascade_id(aStart.mModel))) {
      aPlan.mCascade = cascade_id(aStart.mModel);
    }
    stages = { version };
  }
  for (const model_version& version : stages) {
    aPlan.mStages.push_back({ version, PriceOf(aTree, version.mModel) });
  }
  return std::nullopt;
}

cascade::plan PlanCascade(state& aState, const start& aStart, const started& aPlan, time_point aNow)
{
  if (aPlan.mStages.size() < 2) {
    return {};
  }
  std::vector<cascade::stage> stages;
  for (const auto& [version, price] : aPlan.mStages) {
    stages.push_back({ version.mModel, micro_cost(price.mMicroPer1kTokens) });
  }
  return cascade::Choose(aState.mCascade, { aStart.mAccount, aStart.mKind }, stages,
                         aPlan.mValues.mQualityTarget.Value(), aState.mRandom, aNow);
}

overload::priority ToAdmission(settings::priority aPriority)
{
  switch (aPriority) {
    case settings::priority::Low:
      return overload::priority::Low;
    case settings::priority::Normal:
      return overload::priority::Normal;
    case settings::priority::High:
      return overload::priority::High;
  }
  return overload::priority::Normal;
}

problem BillingProblem(billing::admission aAdmission)
{
  problem refusal =
    Refuse(503, std::string("billing-") + billing::ToString(aAdmission),
           "Bills can't be kept safe at the moment",
           "send the request again later; operators: see the alarm for bill records at risk");
  refusal.mRetryAfter = duration(2s);
  return refusal;
}

} // namespace

problem NotReady()
{
  problem refusal = Refuse(503, "not-ready", "The instance is starting or shutting down",
                           "send the request to another instance");
  refusal.mRetryAfter = duration(1s);
  return refusal;
}

void OnStart(state& aState, ticket aTicket, const start& aStart, time_point aNow, effects& aOut)
{
  const auto refuse = [&](problem aProblem) {
    aOut.mReplies.push_back({ aTicket, std::move(aProblem) });
  };
  if (!IsReady(aState)) {
    refuse(NotReady());
    return;
  }
  const settings::tree& tree = *aState.mTree;
  const auto account = settings::FindAccount(tree, aStart.mAccount);
  if (!account) {
    refuse(Refuse(401, "unknown-account", "The client account does not exist",
                  "ask the operators for a key"));
    return;
  }
  if (const auto admission = billing::CheckAdmission(aState.mBilling);
      admission != billing::admission::Admitted) {
    refuse(BillingProblem(admission));
    return;
  }
  started plan;
  plan.mOwner = *account->mOwnerId;
  plan.mValues = ValuesFor(tree, *account, aStart);
  const duration limit = plan.mValues.mDeadline;
  plan.mDeadline = aNow + std::min(limit, aStart.mDeadline.value_or(limit));
  if (auto refusal = PlanStages(aState, tree, *account, aStart, plan)) {
    refuse(std::move(*refusal));
    return;
  }
  plan.mPlan = PlanCascade(aState, aStart, plan, aNow);
  const overload::arrival arrival{ aStart.mRequest, ToAdmission(plan.mValues.mPriority),
                                   plan.mDeadline };
  aState.mQueued[aStart.mRequest] = { aTicket, std::move(plan) };
  Apply(aState, overload::OnArrival(aState.mAdmission, arrival, aNow), aNow, aOut);
}

void Apply(state& aState, const overload::admission_actions& aActions, time_point, effects& aOut)
{
  for (const request_id& request : aActions.mDispatch) {
    if (auto queued = aState.mQueued.extract(request)) {
      ++aState.mActive;
      aOut.mReplies.push_back({ queued.mapped().first, std::move(queued.mapped().second) });
    }
  }
  for (const auto& [request, reason, retryAfter] : aActions.mRefuse) {
    if (auto queued = aState.mQueued.extract(request)) {
      problem refusal = Refuse(
        503, reason == overload::refusal_reason::Deadline ? "deadline" : "overloaded",
        "The instance is overloaded", "send the request again after the time in Retry-After");
      refusal.mRetryAfter = retryAfter;
      aOut.mReplies.push_back({ queued.mapped().first, std::move(refusal) });
    }
  }
}

} // namespace tamarackweir::control::internal
