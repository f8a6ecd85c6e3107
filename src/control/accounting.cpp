#include "control/internal.h"

#include "settings/gate.h"

namespace tamarackweir::control::internal {

namespace {

/// An origin that was not heard for this long is taken for gone. At 370 instances random gossip
/// meets each peer about every 46 s; a wrong guess only stores records twice, and the bill counts
/// them once.
constexpr duration kSilentOrigin = 300s;

data_centre_id DataCentreOf(const state& aState, const service_id& aService)
{
  const auto service = aState.mTree->mServices.find(aService);
  if (service != aState.mTree->mServices.end()) {
    for (const auto& [id, server] : aState.mMembership.mServers) {
      if (server.mAddress == service->second.mAddress.Value()) {
        return server.mDataCentre;
      }
    }
  }
  return aState.mSelf.mDataCentre;
}

} // namespace

void Apply(state& aState, const claims::actions& aActions, time_point aNow, effects& aOut)
{
  for (const auto& [number, transaction] : aActions.mCommits) {
    aOut.mCommits.push_back({ { slice::Claims, number.Value(), "" }, transaction, aNow });
  }
  for (const auto& [number, request] : aActions.mReads) {
    aOut.mReads.push_back({ { slice::Claims, number.Value(), "" }, request, aNow });
  }
  for (const claims::decision& decision : aActions.mDecisions) {
    if (const auto waiting = aState.mClaimWaits.extract(decision.mCall)) {
      if (decision.mResult == claims::claim_result::Proceed) {
        ++aState.mActive;
      }
      aOut.mReplies.push_back({ waiting.mapped(), decision });
    }
  }
}

void Apply(state& aState, const billing::actions& aActions, time_point aNow, effects& aOut)
{
  for (const auto& [to, batch] : aActions.mCopies) {
    AddPart(aState, to.mInstance, batch, aOut);
  }
  for (const auto& [to, ack] : aActions.mAcks) {
    AddPart(aState, to.mInstance, ack, aOut);
  }
  for (const auto& [sequence, isAtRisk] : aActions.mReleases) {
    if (const auto waiting = aState.mBillWaits.extract(sequence)) {
      aOut.mReplies.push_back({ waiting.mapped(), released{ isAtRisk } });
    }
  }
  for (const auto& [number, key, body] : aActions.mObjects) {
    aOut.mObjects.push_back({ number, key, body });
  }
  for (const auto& [number, transaction] : aActions.mCommits) {
    aOut.mCommits.push_back({ { slice::Billing, number.Value(), "" }, transaction, aNow });
  }
  for (const auto& [number, request] : aActions.mReads) {
    aOut.mReads.push_back({ { slice::Billing, number.Value(), "" }, request, aNow });
  }
}

void OnBill(state& aState, ticket aTicket, const bill& aBill, time_point aNow, effects& aOut)
{
  auto record = billing::MakeRecord(aBill.mUsage);
  if (!record) {
    aOut.mReplies.push_back({ aTicket, released{ false } });
    return;
  }
  billing::actions actions;
  const billing::sequence_number sequence =
    billing::Add(aState.mBilling, std::move(*record), aNow, actions);
  aState.mBillWaits[sequence] = aTicket;
  Apply(aState, actions, aNow, aOut);
}

void UpdateBillingPeers(state& aState, time_point aNow, effects& aOut)
{
  std::vector<billing::peer> peers;
  for (const membership::member* member : membership::LiveMembers(aState.mMembership)) {
    if (member->mEpoch != start_epoch(0)) {
      peers.push_back({ { member->mId, member->mEpoch }, member->mDataCentre });
    }
  }
  billing::actions actions;
  billing::OnPeers(aState.mBilling, peers, aNow, actions);
  // An origin whose copies are held here is gone when its address has a new start epoch, when it
  // has left, or when neither the list nor gossip knows it any more.
  std::vector<billing::origin_id> gone;
  for (const auto& [origin, copies] : aState.mBilling.mHeldCopies) {
    const auto member = aState.mMembership.mMembers.find(origin.mInstance);
    const bool isKnown = member != aState.mMembership.mMembers.end();
    // Of an instance that has just started, the copies may arrive before its first gossip.
    const time_point heard = isKnown && member->second.mLastMessageAt != time_point{}
                               ? member->second.mLastMessageAt
                               : copies.mLastHeardAt;
    const bool isGone =
      !isKnown || member->second.mLeft || aNow - heard > kSilentOrigin ||
      (member->second.mEpoch != start_epoch(0) && member->second.mEpoch != origin.mEpoch);
    if (isGone && !copies.mOriginRemoved) {
      gone.push_back(origin);
    }
  }
  for (const billing::origin_id& origin : gone) {
    billing::OnOriginRemoved(aState.mBilling, origin, aNow, actions);
    claims::OnInstanceGone(aState.mClaims, origin.mInstance, origin.mEpoch);
  }
  Apply(aState, actions, aNow, aOut);
}

void OnClaim(state& aState, ticket aTicket, const claim& aClaim, time_point aNow, effects& aOut)
{
  if (!IsReady(aState)) {
    aOut.mReplies.push_back({ aTicket, NotReady() });
    return;
  }
  claims::actions actions;
  const claims::call_id call = claims::RequestClaim(aState.mClaims, aClaim.mCall, aNow, actions);
  aState.mClaimWaits[call] = aTicket;
  Apply(aState, actions, aNow, aOut);
}

begun_call CheckServiceCall(const state& aState, const account_id& aAccount,
                            const settings::call_work& aWork, time_point aNow)
{
  const auto answer =
    settings::MayDispatch(*aState.mTree, { aAccount, DataCentreOf(aState, aWork.mService), aWork },
                          settings::CurrentVerdict(aState.mPropagation, aNow));
  if (!answer.IsAllowed()) {
    return { answer.mDetail, aNow, StatusOf(*answer.mRefusal) };
  }
  return { std::nullopt, aNow };
}

begun_call OnBeginCall(state& aState, const begin_call& aBegin, time_point aNow)
{
  begun_call checked = CheckServiceCall(aState, aBegin.mAccount, aBegin.mWork, aNow);
  if (!checked.mRefusal &&
      claims::BeginDispatch(aState.mClaims, aBegin.mCall, aNow) != claims::dispatch::Send) {
    checked.mRefusal = "the claim's deadline has passed; send the call again";
  }
  return checked;
}

void OnFinishCall(state& aState, const finish_call& aFinish, time_point aNow)
{
  if (aState.mActive > 0) {
    --aState.mActive;
  }
  if (aFinish.mNotRun) {
    claims::FinishNotRun(aState.mClaims, aFinish.mCall, aNow);
  } else if (aFinish.mOutcome) {
    claims::Finish(aState.mClaims, aFinish.mCall, *aFinish.mOutcome, aNow);
  } else {
    claims::FinishUnknown(aState.mClaims, aFinish.mCall);
  }
}

} // namespace tamarackweir::control::internal
