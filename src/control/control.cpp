#include "control/internal.h"

#include "settings/gate.h"

#include <algorithm>

namespace tamarackweir::control {

namespace {

/// Membership news for billing and the cold flags of servers change slowly.
constexpr duration kSlowTick = 100ms;
/// Reports of peers are the fast way to learn of a quarantine; the table is for those that a
/// partition kept away.
constexpr duration kQuarantineReadInterval = 180s;

void OnComplete(state& aState, const complete& aComplete, time_point aNow, effects& aOut)
{
  if (aState.mActive > 0) {
    --aState.mActive;
  }
  internal::Apply(aState, overload::OnCompletion(aState.mAdmission, aComplete.mCompletion, aNow),
                  aNow, aOut);
}

request_reply OnCheckCall(state& aState, const check_call& aCheck, time_point aNow)
{
  if (!IsReady(aState)) {
    return internal::NotReady();
  }
  begun_call checked = internal::CheckServiceCall(aState, aCheck.mAccount, aCheck.mWork, aNow);
  if (!checked.mRefusal) {
    ++aState.mActive;
  }
  return checked;
}

void OnDrain(state& aState, ticket aTicket, time_point aNow)
{
  aState.mDrainTicket = aTicket;
  aState.mDrainSince = aNow;
  membership::BeginLeaving(aState.mMembership);
}

/// Leaves when no request runs, bills are with the store or a peer, and outcomes of claimed calls
/// are stored.
void TickDrain(state& aState, time_point aNow, effects& aOut)
{
  if (!aState.mDrainTicket || aState.mActive > 0 || !aState.mClaimWaits.empty()) {
    return;
  }
  if (!aState.mBilling.mDraining) {
    billing::actions actions;
    billing::Drain(aState.mBilling, aNow, actions);
    internal::Apply(aState, actions, aNow, aOut);
  }
  if (billing::IsDrained(aState.mBilling) && claims::CountUnstored(aState.mClaims) == 0) {
    internal::Apply(aState, membership::Leave(aState.mMembership, {}, aNow, aState.mRandom), aNow,
                    aOut);
    aOut.mReplies.push_back({ *aState.mDrainTicket, done{} });
    aState.mDrainTicket.reset();
    aState.mHasLeft = true;
  }
}

/// Starts the concurrency limit from the servers' reported capacity. It grows by one for several
/// answers, so that from 32 an instance with streams of half a minute would queue for minutes while
/// its servers are free.
void ScaleAdmission(state& aState)
{
  std::int64_t capacity = 0;
  for (const balancing::server& server : aState.mBalancing.mServers) {
    if (!server.mReported) {
      return;
    }
    capacity += server.mCapacity;
  }
  const auto instances =
    static_cast<double>(membership::LiveMembers(aState.mMembership).size() + 1);
  const double share = static_cast<double>(capacity) / instances;
  overload::admission_options& options = aState.mAdmission.mOptions;
  if (capacity > 0) {
    options.mInitialLimit = std::clamp(share, options.mInitialLimit, options.mMaxLimit);
    aState.mAdmission.mLimit = std::max(aState.mAdmission.mLimit, options.mInitialLimit);
    aState.mAdmissionScaled = true;
  }
}

void TickSlow(state& aState, time_point aNow, effects& aOut)
{
  if (!aState.mAdmissionScaled) {
    ScaleAdmission(aState);
  }
  internal::UpdateBillingPeers(aState, aNow, aOut);
  internal::TickLoads(aState, aNow, aOut);
  for (const balancing::server& server : aState.mBalancing.mServers) {
    balancing::OnColdState(aState.mBalancing, server.mId,
                           capacity::IsCold(aState.mCapacity, server.mId), aNow);
  }
  internal::Apply(aState, capacity::Tick(aState.mCapacity, aNow), aNow, aOut);
  if (aNow >= aState.mNextCascadeTick) {
    aState.mNextCascadeTick = aNow + 1s;
    cascade::OnTick(aState.mCascade, aNow);
  }
  if (aNow >= aState.mNextQuarantineRead) {
    aState.mNextQuarantineRead = aNow + kQuarantineReadInterval;
    aOut.mReads.push_back({ { slice::Quarantine, 0, "" }, quarantine::MakeAllRowsRead(), aNow });
  }
  internal::TickRollouts(aState, aNow, aOut);
  internal::PublishEvidence(aState, aNow, aOut);
}

} // namespace

void OnRequest(state& aState, ticket aTicket, const request_event& aEvent, time_point aNow,
               effects& aOut)
{
  const auto answer = [&](request_reply aReply) {
    aOut.mReplies.push_back({ aTicket, std::move(aReply) });
  };
  std::visit(
    overloaded{
      [&](const start& aStart) { internal::OnStart(aState, aTicket, aStart, aNow, aOut); },
      [&](const choose& aChoose) { internal::OnChoose(aState, aTicket, aChoose, aNow, aOut); },
      [&](const issue& aIssue) {
        answer(issued{ sessions::IssueToken(aState.mSessions, aIssue.mSession) });
      },
      [&](const dispatch& aDispatch) {
        internal::OnDispatch(aState, aTicket, aDispatch, aNow, aOut);
      },
      [&](const first_token& aFirst) {
        internal::Apply(
          aState, capacity::OnFirstToken(aState.mCapacity, aFirst.mServer, aFirst.mTime, aNow),
          aNow, aOut);
        answer(done{});
      },
      [&](const finished& aFinished) {
        internal::OnFinished(aState, aTicket, aFinished, aNow, aOut);
      },
      [&](const judge& aJudge) {
        answer(judged{ cascade::IsFinal(aState.mCascade, aJudge.mTraffic, aJudge.mStages,
                                        aJudge.mPlan, aJudge.mScore) });
      },
      [&](const rated& aRated) {
        internal::OnRated(aState, aRated, aNow);
        answer(done{});
      },
      [&](const bill& aBill) { internal::OnBill(aState, aTicket, aBill, aNow, aOut); },
      [&](const complete& aComplete) {
        OnComplete(aState, aComplete, aNow, aOut);
        answer(done{});
      },
      [&](const draw_id&) { answer(drawn_id{ billing::NextUnkeyedId(aState.mBilling) }); },
      [&](const claim& aClaim) { internal::OnClaim(aState, aTicket, aClaim, aNow, aOut); },
      [&](const begin_call& aBegin) { answer(internal::OnBeginCall(aState, aBegin, aNow)); },
      [&](const finish_call& aFinish) {
        internal::OnFinishCall(aState, aFinish, aNow);
        answer(done{});
      },
      [&](const check_call& aCheck) { answer(OnCheckCall(aState, aCheck, aNow)); },
      [&](const finish_repeatable&) {
        if (aState.mActive > 0) {
          --aState.mActive;
        }
        answer(done{});
      },
      [&](const propose& aPropose) {
        internal::OnPropose(aState, aTicket, aPropose.mChange, aNow, aOut);
      },
      [&](const read_history& aRead) {
        aOut.mReads.push_back({ { slice::SettingsHistory, aTicket.Value(), "" },
                                settings::HistoryRequest(aState.mPropagation.mHeld, aRead.mCount),
                                aNow });
      },
      [&](const read_unconfirmed& aRead) {
        answer(report{ internal::Unconfirmed(aState, aRead.mRevision, aNow, aOut) });
      },
      [&](const read_status&) { answer(report{ internal::Status(aState, aNow) }); },
      [&](const drain&) { OnDrain(aState, aTicket, aNow); },
    },
    aEvent);
}

void OnCommit(state& aState, const table_commit& aCommit, const platform::commit_result& aResult,
              time_point aNow, effects& aOut)
{
  const operation& awaited = aCommit.mOperation;
  switch (awaited.mSlice) {
    case slice::SettingsAcceptance:
      if (const auto proposal = aState.mProposals.find(ticket(awaited.mNumber));
          proposal != aState.mProposals.end()) {
        internal::ApplyAcceptance(aState, proposal->first,
                                  settings::OnCommit(proposal->second, aResult), aNow, aOut);
      }
      break;
    case slice::Claims: {
      claims::actions actions;
      claims::OnCommit(aState.mClaims, claims::operation_id(awaited.mNumber), aResult, aNow,
                       actions);
      internal::Apply(aState, actions, aNow, aOut);
      break;
    }
    case slice::Billing: {
      billing::actions actions;
      billing::OnCommit(aState.mBilling, billing::operation_id(awaited.mNumber), aResult, aNow,
                        actions);
      internal::Apply(aState, actions, aNow, aOut);
      break;
    }
    case slice::Capacity:
      internal::Apply(
        aState,
        capacity::OnLeaseWritten(aState.mCapacity, server_id(awaited.mSubject), aResult, aNow),
        aNow, aOut);
      break;
    case slice::QuarantineRerun:
      internal::OnRerunCommit(aState, ticket(awaited.mNumber), aNow);
      break;
    case slice::Rollout:
      internal::OnRolloutCommit(aState, aCommit, aResult);
      break;
    case slice::Quarantine:
      quarantine::OnStored(aState.mQuarantine, awaited.mNumber, aResult);
      break;
    case slice::SettingsHead:
    case slice::SettingsContent:
    case slice::SettingsHistory:
      break;
  }
}

void OnRead(state& aState, const table_read& aRead, const platform::read_result& aResult,
            time_point aNow, effects& aOut)
{
  const operation& awaited = aRead.mOperation;
  switch (awaited.mSlice) {
    case slice::SettingsHead:
      internal::Apply(aState,
                      settings::OnHeadRead(aState.mPropagation, aResult, aRead.mSentAt, aNow), aNow,
                      aOut);
      break;
    case slice::SettingsContent: {
      const revision content(awaited.mNumber);
      const platform::row* row = platform::Find(aResult, settings::RevisionKey(content));
      internal::Apply(aState,
                      settings::OnContent(aState.mPropagation, content,
                                          row == nullptr ? nlohmann::json(nullptr) : row->mValue,
                                          aNow),
                      aNow, aOut);
      break;
    }
    case slice::SettingsAcceptance:
      if (const auto proposal = aState.mProposals.find(ticket(awaited.mNumber));
          proposal != aState.mProposals.end()) {
        internal::ApplyAcceptance(aState, proposal->first,
                                  settings::OnRead(proposal->second, aResult), aNow, aOut);
      }
      break;
    case slice::SettingsHistory: {
      nlohmann::json entries = nlohmann::json::array();
      for (const auto& [entryRevision, change, author, paths] : settings::History(aResult)) {
        entries.push_back({ { "revision", entryRevision.Value() },
                            { "change", change.Value() },
                            { "owner", author.mOwner.Value() },
                            { "operator", author.mOperator.Value() },
                            { "paths", paths } });
      }
      aOut.mReplies.push_back(
        { ticket(awaited.mNumber),
          report{ { { "reachable", aResult.mReachable }, { "history", entries } } } });
      break;
    }
    case slice::Claims: {
      claims::actions actions;
      claims::OnRead(aState.mClaims, claims::operation_id(awaited.mNumber), aResult, aNow, actions);
      internal::Apply(aState, actions, aNow, aOut);
      break;
    }
    case slice::Billing: {
      billing::actions actions;
      billing::OnRead(aState.mBilling, billing::operation_id(awaited.mNumber), aResult, aNow,
                      actions);
      internal::Apply(aState, actions, aNow, aOut);
      break;
    }
    case slice::Capacity:
      internal::Apply(
        aState, capacity::OnLeaseRowsRead(aState.mCapacity, aRead.mRequest.mKeys, aResult, aNow),
        aNow, aOut);
      break;
    case slice::QuarantineRerun:
      internal::OnRerunRead(aState, ticket(awaited.mNumber), aResult, aNow, aOut);
      break;
    case slice::Rollout:
      internal::OnRolloutRow(aState, awaited.mSubject, aResult, aNow);
      break;
    case slice::Quarantine:
      internal::Apply(aState, quarantine::OnAllRows(aState.mQuarantine, aResult, aNow), aNow, aOut);
      break;
  }
}

void OnObject(state& aState, billing::operation_id aOperation, billing::object_status aStatus,
              time_point aNow, effects& aOut)
{
  billing::actions actions;
  billing::OnObject(aState.mBilling, aOperation, aStatus, aNow, actions);
  internal::Apply(aState, actions, aNow, aOut);
}

void Tick(state& aState, time_point aNow, effects& aOut)
{
  internal::TickGossip(aState, aNow, aOut);
  internal::TickProposals(aState, aNow, aOut);
  internal::Apply(aState, overload::OnTick(aState.mAdmission, aNow), aNow, aOut);
  internal::Apply(aState, quarantine::OnTick(aState.mQuarantine, aNow), aNow, aOut);
  claims::actions claimActions;
  claims::Tick(aState.mClaims, aNow, claimActions);
  internal::Apply(aState, claimActions, aNow, aOut);
  billing::actions billActions;
  billing::Tick(aState.mBilling, aNow, billActions);
  internal::Apply(aState, billActions, aNow, aOut);
  internal::TickChoices(aState, aNow, aOut);
  if (aNow >= aState.mNextSlowTick) {
    aState.mNextSlowTick = aNow + kSlowTick;
    TickSlow(aState, aNow, aOut);
  }
  TickDrain(aState, aNow, aOut);
}

} // namespace tamarackweir::control
