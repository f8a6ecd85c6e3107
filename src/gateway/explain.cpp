#include "gateway/explain.h"

#include "backends/evidence.h"
#include "base/digest.h"
#include "gateway/crash_reports.h"
#include "gateway/early_refusal.h"
#include "placement/server_room.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>

namespace tamarackweir::gateway {

namespace {

using nlohmann::json;

/// Puts back what the choice of a server changes in the state.
class state_guard
{
public:
  state_guard(gateway_state& aState, const std::optional<std::uint64_t>& aSession)
    : mState(aState)
    , mRandom(aState.mRandom)
    , mSession(aSession)
  {
    for (const auto& [key, latency] : aState.mLatencies) {
      mLatencies.insert(key);
    }
    if (aSession) {
      if (const auto pin = aState.mSessions.find(*aSession); pin != aState.mSessions.end()) {
        mPin = pin->second;
      }
    }
  }
  ~state_guard()
  {
    mState.mRandom = mRandom;
    std::erase_if(mState.mLatencies,
                  [this](const auto& aEntry) { return !mLatencies.contains(aEntry.first); });
    if (mPin) {
      mState.mSessions[*mSession] = *mPin;
    } else if (mSession) {
      mState.mSessions.erase(*mSession);
    }
  }
  state_guard(const state_guard&) = delete;
  state_guard& operator=(const state_guard&) = delete;

private:
  gateway_state& mState;
  std::mt19937_64 mRandom;
  std::set<std::string> mLatencies;
  std::optional<std::uint64_t> mSession;
  std::optional<rollout::session_pin> mPin;
};

const char* ToString(server_rule aRule)
{
  switch (aRule) {
    case server_rule::None:
      return "";
    case server_rule::Evacuated:
      return "evacuated";
    case server_rule::Region:
      return "region";
    case server_rule::Version:
      return "version";
  }
  return "unknown";
}

const char* LastResortOf(const backends::backend_server& aServer, time_point aNow)
{
  if (backends::IsLost(aServer, aNow)) {
    return "lost";
  }
  if (backends::IsSuspect(aServer, aNow)) {
    return "suspect";
  }
  if (backends::IsCold(aServer, aNow)) {
    return "cold";
  }
  if (aServer.mMissingSince) {
    return "missing";
  }
  return placement::IsFull(aServer, aNow) ? "full" : "";
}

/// \param aRule of the version that is used
std::string RuledOutBy(const backends::backend_server& aServer, const placement::demand& aDemand,
                       server_rule aRule, time_point aNow)
{
  switch (placement::ExclusionOf(aServer, aDemand, aNow)) {
    case placement::exclusion::None:
      return "";
    case placement::exclusion::Leaving:
      return "leaving";
    case placement::exclusion::NotAllowed:
      return aRule == server_rule::None ? "canary" : ToString(aRule);
    case placement::exclusion::Closed:
      return "closed";
    case placement::exclusion::Tried:
      return "tried";
  }
  return "unknown";
}

server_explanation Describe(const backends::backend_server& aServer, time_point aNow)
{
  return { .mServer = aServer.mAnnounced.mId,
           .mDataCentre = aServer.mAnnounced.mDataCentre,
           .mVersion = aServer.mAnnounced.mVersion,
           .mLastResort = LastResortOf(aServer, aNow),
           .mRequests = backends::RequestsAt(aServer, aNow),
           .mPrefillMs = backends::PrefillMsAt(aServer, aNow),
           .mFailureShare = backends::FailureShare(aServer, aNow) };
}

/// The refusal that the gateway decides on before it chooses a server; nothing if it chooses one.
std::optional<refusal> RefusalBeforeChoice(const gateway_state& aState, const call& aCall,
                                           duration aTimeLeft, time_point aNow)
{
  constexpr double kMiddle = 0.5; // of the times that callers are spread over
  if (const auto refused = RefusalIfUnconfirmed(aState, aCall.mHeader.mTimeLeft, kMiddle, aNow)) {
    return refused;
  }
  if (const auto refused = RefusalIfStopping(aState, aTimeLeft, aNow)) {
    return refused;
  }
  return RefusalIfQuarantined(aState, aCall);
}

std::string ReasonOf(placement::no_choice aReason)
{
  switch (aReason) {
    case placement::no_choice::None:
      return "";
    case placement::no_choice::NoServers:
      return "no server of the service may be used";
    case placement::no_choice::AllTried:
      return "all servers that may be used were tried";
    case placement::no_choice::ColdOnly:
      return "only cold servers are left, and they are at their rate limit";
    case placement::no_choice::Closed:
      return "all servers that may be used are closed to this instance";
  }
  return "unknown";
}

void ExplainChoice(gateway_state& aState, call& aCall, explanation& aResult, time_point aNow)
{
  const auto service = aCall.mRoutes->mServices.find(aCall.mService);
  const backends::cold_share share{ .mSelf = aState.mSelf.mId.Value(),
                                    .mInstances = aState.mInstances,
                                    .mRate = service == aCall.mRoutes->mServices.end()
                                               ? 0
                                               : service->second.mColdRate };
  placement::demand demand = DemandOf(aState, aCall);
  demand.mAcquireColdSlot = [&share, aNow](const backends::backend_server& aServer) {
    backends::backend_server copy = aServer;
    return backends::AcquireColdSlot(copy, share, aNow);
  };
  const rollout::shift* const shift = ShiftOf(aState, aCall.mService);
  const placement::choice choice = ChooseServer(aState, aCall, demand, shift, aNow);
  std::optional<rollout::version_side> side = aCall.mSide;
  if (shift != nullptr && choice.mServer != nullptr) {
    // The other side than the assigned one is used if that has no server.
    side = choice.mServer->mAnnounced.mVersion == shift->mOrder.mNewVersion
             ? rollout::version_side::New
             : rollout::version_side::Old;
  }
  const auto ruleOf = [&](const backends::backend_server& aServer) {
    return RuleAgainst(aState, aCall, shift, side, aServer, aNow);
  };
  if (choice.mServer == nullptr) {
    // The condition is that of the side which was tried last.
    demand.mIsAllowed = [&](const auto& aServer) { return ruleOf(aServer) == server_rule::None; };
    const refusal refused =
      RefusalOf(aState, aCall, { .mOpensAt = choice.mOpensAt }, attempt_result::NoServer);
    aResult.mStatus = refused.mStatus;
    aResult.mReason = ReasonOf(choice.mReason);
    aResult.mRetryAfter = refused.mRetryAfter;
  } else {
    aResult.mChosen = Describe(*choice.mServer, aNow);
    aResult.mWaitMs = choice.mWaitMs;
    aResult.mPrefillMs = choice.mPrefillMs;
    aResult.mPrefillTokens = choice.mPrefillTokens;
  }
  if (side) {
    aResult.mSide = *side == rollout::version_side::New ? "new" : "old";
  }
  aResult.mLoad = placement::LoadOf(aState.mFleet, demand, aState.mOptions.mPlacement, aNow);
  for (const auto& server : backends::ServersOf(aState.mFleet, aCall.mService)) {
    aResult.mServers.push_back(Describe(*server, aNow));
    aResult.mServers.back().mRuledOutBy = RuledOutBy(*server, demand, ruleOf(*server), aNow);
  }
}

json ToJson(const server_explanation& aServer)
{
  return { { "server", aServer.mServer.Value() },   { "data_centre", aServer.mDataCentre.Value() },
           { "version", aServer.mVersion.Value() }, { "ruled_out_by", aServer.mRuledOutBy },
           { "last_resort", aServer.mLastResort },  { "requests", aServer.mRequests },
           { "prefill_ms", aServer.mPrefillMs },    { "failure_share", aServer.mFailureShare } };
}

std::string Rounded(const json& aNumber)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.1f", aNumber.get<double>());
  return text.data();
}

} // namespace

explanation Explain(gateway_state& aState, const explain_question& aQuestion, time_point aNow)
{
  explanation result;
  if (aState.mRoutes == nullptr) {
    result.mError = "the instance has no configuration yet; ask again later";
    return result;
  }
  call asked;
  asked.mHeader = aQuestion.mHeader;
  asked.mRoutes = aState.mRoutes;
  asked.mTriedServers = aQuestion.mTried;
  asked.mRequest = std::make_shared<net::inbound_request>();
  asked.mRequest->mMethod = aQuestion.mMethod;
  asked.mRequest->mTarget = aQuestion.mTarget;
  const call_header& header = asked.mHeader;
  const routing::resolution found =
    routing::Resolve(*asked.mRoutes, header.mHost, aQuestion.mTarget, header.mKey);
  if (found.mRoute == nullptr) {
    result.mError = found.mDenial == routing::denial::NoRoute
                      ? "no route for the host '" + header.mHost + "' and this path"
                      : std::string("the route needs a key of a client account, and this key is "
                                    "missing or unknown");
    return result;
  }
  asked.mRoute = found.mRoute;
  asked.mAccount = found.mAccount;
  const auto& models = asked.mRoute->mModels;
  if (!models.empty() && !header.mAnyModel && !header.mModel.empty() &&
      std::find(models.begin(), models.end(), model_id(header.mModel)) == models.end()) {
    result.mError = "the route '" + asked.mRoute->mName + "' has no model '" + header.mModel + "'";
    return result;
  }
  result.mTimeLeft =
    std::min(asked.mRoute->mTimeout, header.mTimeLeft.value_or(asked.mRoute->mTimeout));
  asked.mDeadline = aNow + result.mTimeLeft;
  AssignService(asked);
  asked.mFingerprint = FingerprintOf(asked);
  result.mRoute = asked.mRoute->mName;
  result.mAccount = asked.mAccount != nullptr ? asked.mAccount->mId : account_id();
  result.mService = asked.mService;
  result.mModel = ModelOf(asked);
  result.mIsModelChosenHere = IsModelChosenHere(asked);
  if (const auto refused = RefusalBeforeChoice(aState, asked, result.mTimeLeft, aNow)) {
    result.mStatus = refused->mStatus;
    result.mReason = refused->mTitle;
    result.mRetryAfter = refused->mRetryAfter;
    return result;
  }
  const state_guard guard(aState, asked.mSession);
  ExplainChoice(aState, asked, result, aNow);
  return result;
}

json ToJson(const explanation& aExplanation)
{
  if (!aExplanation.mError.empty()) {
    return { { "error", aExplanation.mError } };
  }
  const auto ms = [](duration aTime) {
    return std::chrono::duration<double, std::milli>(aTime).count();
  };
  json servers = json::array();
  for (const server_explanation& server : aExplanation.mServers) {
    servers.push_back(ToJson(server));
  }
  json result{ { "route", aExplanation.mRoute },
               { "account", aExplanation.mAccount.Value() },
               { "service", aExplanation.mService.Value() },
               { "model", aExplanation.mModel.Value() },
               { "model_chosen_by_route", aExplanation.mIsModelChosenHere },
               { "time_left_ms", ms(aExplanation.mTimeLeft) },
               { "admission",
                 { { "admitted", aExplanation.mStatus == 200 },
                   { "status", aExplanation.mStatus },
                   { "reason", aExplanation.mReason } } },
               { "rollout_side", aExplanation.mSide },
               { "load",
                 { { "usable_servers", aExplanation.mLoad.mServers },
                   { "median_wait_ms", aExplanation.mLoad.mMedianWaitMs },
                   { "least_wait_ms", aExplanation.mLoad.mLeastWaitMs },
                   { "busy_share", aExplanation.mLoad.mBusyShare } } },
               { "servers", servers } };
  if (aExplanation.mRetryAfter) {
    result["admission"]["retry_after_ms"] = ms(*aExplanation.mRetryAfter);
  }
  if (aExplanation.mChosen) {
    result["chosen"] = { { "server", aExplanation.mChosen->mServer.Value() },
                         { "data_centre", aExplanation.mChosen->mDataCentre.Value() },
                         { "version", aExplanation.mChosen->mVersion.Value() },
                         { "wait_ms", aExplanation.mWaitMs },
                         { "prefill_ms", aExplanation.mPrefillMs },
                         { "prefill_tokens", aExplanation.mPrefillTokens } };
  }
  return result;
}

std::string ToText(const json& aExplanation)
{
  if (aExplanation.contains("error")) {
    return "error: " + aExplanation.at("error").get<std::string>() + "\n";
  }
  const auto text = [](const json& aObject, const char* aName) {
    return aObject.at(aName).get<std::string>();
  };
  const std::string account = text(aExplanation, "account");
  std::string result = "route " + text(aExplanation, "route") + ", account " +
                       (account.empty() ? "(anonymous)" : account) + ", service " +
                       text(aExplanation, "service") + "\n";
  if (const std::string model = text(aExplanation, "model"); !model.empty()) {
    result += "model " + model +
              (aExplanation.at("model_chosen_by_route") ? " (the route's first)\n" : "\n");
  }
  const json& admission = aExplanation.at("admission");
  if (!admission.at("admitted")) {
    result += "refused with " + std::to_string(admission.at("status").get<int>()) + ": " +
              text(admission, "reason") + "\n";
    if (admission.contains("retry_after_ms")) {
      result += "retry after " + Rounded(admission.at("retry_after_ms")) + " ms\n";
    }
  }
  if (aExplanation.contains("chosen")) {
    const json& chosen = aExplanation.at("chosen");
    const std::string side = text(aExplanation, "rollout_side");
    result += "server " + text(chosen, "server") + " in " + text(chosen, "data_centre") +
              ", version " + text(chosen, "version") +
              (side.empty() ? "" : " (the " + side + " one of the roll-out)") + "\n";
    result += "expected wait " + Rounded(chosen.at("wait_ms")) + " ms, then prefill " +
              Rounded(chosen.at("prefill_ms")) + " ms; median wait of " +
              std::to_string(aExplanation.at("load").at("usable_servers").get<int>()) +
              " usable servers " + Rounded(aExplanation.at("load").at("median_wait_ms")) + " ms\n";
  }
  for (const json& server : aExplanation.at("servers")) {
    const std::string rule = text(server, "ruled_out_by");
    const std::string lastResort = text(server, "last_resort");
    result += "  " + text(server, "server") + " " + text(server, "version") + ": " +
              (!rule.empty()         ? "ruled out: " + rule
               : !lastResort.empty() ? "only without alternatives: " + lastResort
                                     : std::string("usable")) +
              ", " + std::to_string(server.at("requests").get<int>()) + " requests, prefill " +
              Rounded(server.at("prefill_ms")) + " ms\n";
  }
  return result;
}

} // namespace tamarackweir::gateway
