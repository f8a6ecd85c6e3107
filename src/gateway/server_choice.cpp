#include "gateway/server_choice.h"

#include "backends/evidence.h"
#include "base/digest.h"
#include "net/loop.h"
#include "rollout/canary_servers.h"

#include <algorithm>

namespace tamarackweir::gateway {

namespace {

constexpr duration kUnknownVersionDelay = 4s; ///< so that an order naming the version can arrive

/// Whether a server's version may serve without a shift: known for long enough, or the oldest one.
bool IsEstablished(const gateway_state& aState, const backends::backend_server& aServer,
                   time_point aNow)
{
  const service_id& service = aServer.mAnnounced.mService;
  const auto seen = aState.mFleet.mVersions.find({ service, aServer.mAnnounced.mVersion });
  if (seen == aState.mFleet.mVersions.end() || aNow - seen->second >= kUnknownVersionDelay) {
    return true;
  }
  // A new version is held back only while an older one can serve.
  return std::none_of(aState.mFleet.mVersions.begin(), aState.mFleet.mVersions.end(),
                      [&](const auto& aEntry) {
                        return aEntry.first.first == service && aEntry.second < seen->second &&
                               aNow - aEntry.second >= kUnknownVersionDelay;
                      });
}

bool IsInRegion(const gateway_state& aState, const std::vector<routing::region_id>& aRegions,
                const data_centre_id& aDataCentre)
{
  if (aRegions.empty()) {
    return true;
  }
  const auto region = aState.mSelf.mRegions.find(aDataCentre);
  return region != aState.mSelf.mRegions.end() &&
         std::find(aRegions.begin(), aRegions.end(), region->second) != aRegions.end();
}

bool IsEligible(const gateway_state& aState, const call& aCall, const rollout::shift* aShift,
                std::optional<rollout::version_side> aSide, const backends::backend_server& aServer,
                time_point aNow)
{
  return RuleAgainst(aState, aCall, aShift, aSide, aServer, aNow) == server_rule::None;
}

/// The side that the service's shift assigns to the call, if there is a shift.
std::optional<rollout::version_side> SideOf(gateway_state& aState, call& aCall,
                                            const rollout::shift* aShift, time_point aNow)
{
  if (aShift == nullptr) {
    if (aCall.mSession) {
      // A shift that starts later must know which sessions are active.
      aState.mSessions[*aCall.mSession] =
        rollout::session_pin{ .mHashPoint = aCall.mPoint, .mLastActive = aNow };
    }
    return std::nullopt;
  }
  if (aCall.mSide && *aCall.mSide == rollout::version_side::New && !rollout::IsRunning(*aShift) &&
      rollout::NewVersionShare(*aShift, aState.mOptions.mShift, aNow) == 0) {
    aCall.mSide = rollout::version_side::Old;
  }
  if (aCall.mSide && *aCall.mSide == rollout::version_side::Old &&
      rollout::NewVersionShare(*aShift, aState.mOptions.mShift, aNow) >= 1) {
    // The old version's servers stop soon, or have stopped in the middle of this call.
    aCall.mSide = rollout::version_side::New;
  }
  if (!aCall.mSide) {
    aCall.mSide = rollout::ChooseSide(*aShift, aState.mOptions.mShift, aCall.mPoint, aCall.mSession,
                                      aState.mSessions, aNow);
  }
  return aCall.mSide;
}

/// Whether the canary may load the server: the call may use it now, it is not cold, and it does not
/// fail here. The next server then shows whether the version fails there too.
bool IsUsableForCanary(const gateway_state& aState, const call& aCall, const rollout::shift& aShift,
                       const backends::backend_server& aServer, time_point aNow)
{
  const bool wasTried = std::find(aCall.mTriedServers.begin(), aCall.mTriedServers.end(),
                                  aServer.mAnnounced.mId) != aCall.mTriedServers.end();
  return !aServer.mAnnounced.mIsLeaving && !aServer.mSaysItLeaves && !aServer.mMissingSince &&
         !backends::IsSuspect(aServer, aNow) && !wasTried &&
         backends::FailureShare(aServer, aNow) <= aState.mOptions.mPlacement.mToleratedFailures &&
         !backends::IsCold(aServer, aNow) && backends::TakesRequests(aServer, aNow) &&
         IsEligible(aState, aCall, &aShift, rollout::version_side::New, aServer, aNow);
}

/// The servers of the new version that carry its load now; empty if it is not concentrated.
std::vector<server_id> ServersInCanary(const gateway_state& aState, const call& aCall,
                                       const rollout::shift& aShift, time_point aNow)
{
  if (rollout::NewVersionShare(aShift, aState.mOptions.mShift, aNow) >= 1) {
    return {};
  }
  std::vector<rollout::canary_candidate> listed;
  for (const auto& server : backends::ServersOf(aState.mFleet, aShift.mOrder.mService)) {
    if (server->mAnnounced.mVersion == aShift.mOrder.mNewVersion) {
      listed.push_back({ .mId = server->mAnnounced.mId,
                         .mIsUsable = IsUsableForCanary(aState, aCall, aShift, *server, aNow) });
    }
  }
  return rollout::CanaryServers(aShift, aState.mOptions.mShift, std::move(listed), aNow);
}

void SetConditionOfSide(const gateway_state& aState, const call& aCall, placement::demand& aDemand,
                        const rollout::shift* aShift, std::optional<rollout::version_side> aSide,
                        time_point aNow)
{
  const std::vector<server_id> canary = aShift != nullptr && aSide == rollout::version_side::New
                                          ? ServersInCanary(aState, aCall, *aShift, aNow)
                                          : std::vector<server_id>();
  aDemand.mIsAllowed = [&aState, &aCall, aShift, aSide, aNow, canary](const auto& aServer) {
    return IsEligible(aState, aCall, aShift, aSide, aServer, aNow) &&
           (canary.empty() ||
            std::find(canary.begin(), canary.end(), aServer.mAnnounced.mId) != canary.end());
  };
}

} // namespace

server_rule RuleAgainst(const gateway_state& aState, const call& aCall,
                        const rollout::shift* aShift, std::optional<rollout::version_side> aSide,
                        const backends::backend_server& aServer, time_point aNow)
{
  if (aState.mEvacuated.contains(aServer.mAnnounced.mDataCentre)) {
    return server_rule::Evacuated;
  }
  if (!IsInRegion(aState, aCall.mRoute->mRegions, aServer.mAnnounced.mDataCentre) ||
      (aCall.mAccount != nullptr &&
       !IsInRegion(aState, aCall.mAccount->mRegions, aServer.mAnnounced.mDataCentre))) {
    return server_rule::Region;
  }
  if (aShift == nullptr || !aSide) {
    return IsEstablished(aState, aServer, aNow) ? server_rule::None : server_rule::Version;
  }
  const bool isNewVersion = aServer.mAnnounced.mVersion == aShift->mOrder.mNewVersion;
  return isNewVersion == (*aSide == rollout::version_side::New) ? server_rule::None
                                                                : server_rule::Version;
}

void SetCondition(gateway_state& aState, call& aCall, placement::demand& aDemand,
                  const rollout::shift* aShift, time_point aNow)
{
  SetConditionOfSide(aState, aCall, aDemand, aShift, SideOf(aState, aCall, aShift, aNow), aNow);
}

placement::choice ChooseServer(gateway_state& aState, call& aCall, placement::demand& aDemand,
                               const rollout::shift* aShift, time_point aNow)
{
  const auto side = SideOf(aState, aCall, aShift, aNow);
  const auto choose = [&](std::optional<rollout::version_side> aSide) {
    SetConditionOfSide(aState, aCall, aDemand, aShift, aSide, aNow);
    return placement::Choose(aState.mFleet, aDemand, aState.mPrefixCaches,
                             aState.mOptions.mPlacement, aState.mRandom, aNow);
  };
  placement::choice choice = choose(side);
  if (choice.mServer == nullptr && side && aShift != nullptr) {
    // Falls back to the other side, unless the new version is known to be bad.
    if (*side == rollout::version_side::New) {
      choice = choose(rollout::version_side::Old);
    } else if (rollout::NewVersionShare(*aShift, aState.mOptions.mShift, aNow) > 0 &&
               rollout::ElapsedFraction(*aShift, aNow) >= aState.mOptions.mShift.mCanaryEnd) {
      choice = choose(rollout::version_side::New);
    }
  }
  return choice;
}

bool IsModelChosenHere(const call& aCall)
{
  return !aCall.mRoute->mModels.empty() && aCall.mHeader.mAnyModel;
}

model_id ModelOf(const call& aCall)
{
  return IsModelChosenHere(aCall) ? aCall.mRoute->mModels[aCall.mModelIndex]
                                  : model_id(aCall.mHeader.mModel);
}

std::string PaceKeyOf(const call& aCall)
{
  std::string key = aCall.mService.Value();
  if (!aCall.mRoute->mModels.empty()) {
    key += '/' + aCall.mRoute->mModels[aCall.mModelIndex].Value();
  }
  return key;
}

namespace {

/// See `placement::demand`; 0 while it is not known.
double TurnMs(gateway_state& aState, const call& aCall)
{
  if (aCall.mRoute->mKind != routing::call_kind::Stream) {
    return LatencyOf(aState, aCall).mMs;
  }
  const auto pace = aState.mPaces.find(PaceKeyOf(aCall));
  return pace == aState.mPaces.end() ? 0 : pace->second.mMs;
}

} // namespace

placement::demand DemandOf(gateway_state& aState, const call& aCall)
{
  placement::demand demand;
  demand.mService = aCall.mService;
  demand.mModelHash = StableHash(ModelOf(aCall).Value());
  demand.mParts = aCall.mHeader.mParts;
  demand.mPrefill = PrefillTimeOf(aState, aCall);
  demand.mTurnMs = std::max(1.0, TurnMs(aState, aCall));
  demand.mDataCentre = aState.mSelf.mDataCentre;
  demand.mTriedServers = &aCall.mTriedServers;
  demand.mUnreached = &aCall.mUnreached;
  demand.mAcquireColdSlot = [](backends::backend_server&) { return false; };
  return demand;
}

std::optional<other_server> FindElsewhere(gateway_state& aState, call& aCall)
{
  placement::demand demand = DemandOf(aState, aCall);
  const placement::choice choice =
    ChooseServer(aState, aCall, demand, ShiftOf(aState, aCall.mService), net::Now());
  if (choice.mServer == nullptr) {
    return std::nullopt;
  }
  const double ownMs = demand.mParts.empty()
                         ? LatencyOf(aState, aCall).mMs
                         : placement::PrefillMs(demand.mPrefill, choice.mPrefillTokens);
  const auto fromMs = [](double aMs) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(aMs));
  };
  return other_server{ .mAnswersIn = fromMs(choice.mWaitMs + ownMs),
                       .mCost = fromMs(std::max(choice.mCostMs, choice.mWaitMs + ownMs)) };
}

placement::prefill_time PrefillTimeOf(const gateway_state& aState, const call& aCall)
{
  const model_id model = ModelOf(aCall);
  if (const auto pooled = placement::PooledSpeed(
        aState.mSpeedBoard, placement::SpeedKey(aCall.mService, model), net::Now())) {
    return pooled->mTime;
  }
  const auto speed = aState.mEngineSpeeds.find({ aCall.mService, model });
  return placement::PrefillTimeOf(speed == aState.mEngineSpeeds.end() ? placement::engine_speed{}
                                                                      : speed->second);
}

rollout::shift* ShiftOf(gateway_state& aState, const service_id& aService)
{
  const auto found = aState.mShifts.find(aService);
  return found == aState.mShifts.end() ? nullptr : &found->second;
}

} // namespace tamarackweir::gateway
