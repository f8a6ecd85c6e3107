#include "control/internal.h"

#include "settings/gate.h"

#include <algorithm>

namespace tamarackweir::control::internal {

namespace {

/// A request that waits for a credit or a re-run tries again after this.
constexpr duration kChoiceRetry = 50ms;

problem Refuse(int aStatus, std::string aType, std::string aTitle, std::string aDetail,
               std::optional<duration> aRetryAfter = {})
{
  return { .mStatus = aStatus,
           .mType = std::move(aType),
           .mTitle = std::move(aTitle),
           .mDetail = std::move(aDetail),
           .mOutcome = outcome::NotRun,
           .mRetryAfter = aRetryAfter };
}

problem NoServer(const choose& aRequest)
{
  return Refuse(503, "no-server", "No backend server can take the request",
                "no eligible backend server serves " + ToString(aRequest.mVersion) +
                  "; send the request again after the time in Retry-After",
                duration(1s));
}

problem Quarantined()
{
  return Refuse(
    422, "quarantined", "The request crashed backend servers",
    "this request crashed two backend servers and is refused for an hour; change its content");
}

settings::dispatch GateInput(const choose& aRequest, const data_centre_id& aDataCentre)
{
  return { aRequest.mAccount, aDataCentre,
           settings::version_work{ aRequest.mVersion, aRequest.mCascade, aRequest.mSession } };
}

balancing::request ToBalancing(const choose& aRequest, bool aAllowCold)
{
  return { aRequest.mVersion, aRequest.mPrefixes, aRequest.mExclude, aAllowCold };
}

std::string AddressOf(const state& aState, const server_id& aServer)
{
  const auto found = aState.mServerAddresses.find(aServer);
  return found == aState.mServerAddresses.end() ? "" : found->second;
}

chosen MakeChosen(const state& aState, const server_id& aServer)
{
  const auto index = aState.mBalancing.mServerIndices.find(aServer);
  const data_centre_id dataCentre = index == aState.mBalancing.mServerIndices.end()
                                      ? data_centre_id()
                                      : aState.mBalancing.mServers[index->second].mDataCentre;
  return { .mServer = aServer,
           .mAddress = AddressOf(aState, aServer),
           .mDataCentre = dataCentre,
           .mCredit = {},
           .mAlone = false };
}

std::vector<server_id> EligibleServers(const state& aState, const model_version& aVersion,
                                       time_point aNow)
{
  std::vector<server_id> servers;
  for (const balancing::server& server : aState.mBalancing.mServers) {
    if (balancing::IsEligible(aState.mBalancing, server.mId, aVersion, aNow)) {
      servers.push_back(server.mId);
    }
  }
  return servers;
}

/// Tries to find a server now; asks for a credit where only cold ones are left. Returns whether it
/// replied.
bool TryChoose(state& aState, ticket aTicket, waiting_choice& aWaiting, time_point aNow,
               effects& aOut)
{
  const choose& request = aWaiting.mRequest;
  if (const auto warm =
        balancing::Choose(aState.mBalancing, ToBalancing(request, false), aNow, aState.mRandom)) {
    if (aWaiting.mCredit) {
      Apply(aState, capacity::FinishCredit(aState.mCapacity, *aWaiting.mCredit, aNow), aNow, aOut);
    }
    aOut.mReplies.push_back({ aTicket, MakeChosen(aState, warm->mServer) });
    return true;
  }
  if (aWaiting.mCredit) {
    return false;
  }
  const auto cold =
    balancing::Choose(aState.mBalancing, ToBalancing(request, true), aNow, aState.mRandom);
  if (!cold && request.mAfterNotRun && !request.mExclude.empty()) {
    // The servers that refused or took no connection are better than none.
    aWaiting.mRequest.mExclude.clear();
    aWaiting.mNextTry = aNow + kChoiceRetry;
    return false;
  }
  if (!cold) {
    aOut.mReplies.push_back({ aTicket, NoServer(request) });
    return true;
  }
  aWaiting.mServer = cold->mServer;
  capacity::actions actions;
  aWaiting.mCredit = capacity::RequestCredit(
    aState.mCapacity, cold->mServer, request.mDeadline - aNow, actions, aNow, aState.mRandom);
  // A credit that this instance grants itself is usable at once, so the request must be findable.
  aState.mChoices[aTicket] = aWaiting;
  Apply(aState, actions, aNow, aOut);
  return !aState.mChoices.contains(aTicket);
}

/// The servers that a re-run may use: the fingerprint's home servers among the eligible ones.
std::vector<server_id> RerunCandidates(const state& aState, const choose& aRequest, time_point aNow)
{
  return quarantine::HomeServers(aRequest.mFingerprint,
                                 EligibleServers(aState, aRequest.mVersion, aNow));
}

void ReadRerun(state& aState, ticket aTicket, waiting_choice& aWaiting, time_point aNow,
               effects& aOut)
{
  const auto candidates = RerunCandidates(aState, aWaiting.mRequest, aNow);
  if (candidates.empty()) {
    return;
  }
  aWaiting.mBusy = true;
  aOut.mReads.push_back({ { slice::QuarantineRerun, aTicket.Value(), "" },
                          quarantine::MakeRerunRead(aWaiting.mRequest.mFingerprint, candidates),
                          aNow });
}

} // namespace

int StatusOf(settings::gate_refusal aRefusal)
{
  switch (aRefusal) {
    case settings::gate_refusal::NotAllowed:
      return 403;
    case settings::gate_refusal::Withdrawn:
      return 410;
    case settings::gate_refusal::Unknown:
      return 404;
    case settings::gate_refusal::Leaving:
    case settings::gate_refusal::DataCentreOut:
    case settings::gate_refusal::Isolated:
      return 503;
  }
  return 503;
}

std::set<instance_id> LivePeers(const state& aState)
{
  std::set<instance_id> peers;
  for (const membership::member* member : membership::LiveMembers(aState.mMembership)) {
    peers.insert(member->mId);
  }
  return peers;
}

void OnChoose(state& aState, ticket aTicket, const choose& aChoose, time_point aNow, effects& aOut)
{
  if (aChoose.mRetry) {
    const overload::attempt attempt{ .mIdempotent = true,
                                     .mNotRun = aChoose.mAfterNotRun,
                                     .mResponseStarted = false,
                                     .mDeadline = aChoose.mDeadline,
                                     .mExpectedDuration = {} };
    if (!overload::TryAcquireRetry(aState.mRetries, attempt, aNow)) {
      aOut.mReplies.push_back(
        { aTicket, Refuse(503, "retry-budget", "The retry budget is used up",
                          "send the request again after the time in Retry-After", duration(1s)) });
      return;
    }
  } else {
    overload::OnRequest(aState.mRetries, aNow);
  }
  waiting_choice waiting{ .mRequest = aChoose,
                          .mServer = {},
                          .mCredit = {},
                          .mRerunToken = {},
                          .mNextTry = aNow + kChoiceRetry };
  switch (quarantine::GetStatus(aState.mQuarantine, aChoose.mFingerprint, aNow)) {
    case quarantine::fingerprint_status::Quarantined:
      aOut.mReplies.push_back({ aTicket, Quarantined() });
      return;
    case quarantine::fingerprint_status::Suspect:
      waiting.mIsRerun = true;
      waiting.mRerunToken = aState.mSelf.mId.Value() + "/" +
                            std::to_string(aState.mSelf.mEpoch.Value()) + "/" +
                            std::to_string(aTicket.Value());
      ReadRerun(aState, aTicket, waiting, aNow, aOut);
      aState.mChoices[aTicket] = waiting;
      return;
    case quarantine::fingerprint_status::Normal:
      break;
  }
  if (!TryChoose(aState, aTicket, waiting, aNow, aOut)) {
    aState.mChoices.try_emplace(aTicket, waiting);
  }
}

void OnUsableCredit(state& aState, const capacity::credit_id& aCredit, time_point aNow,
                    effects& aOut)
{
  const auto waiting =
    std::find_if(aState.mChoices.begin(), aState.mChoices.end(),
                 [&](const auto& aEntry) { return aEntry.second.mCredit == aCredit; });
  if (waiting == aState.mChoices.end()) { // its request found another server meanwhile
    Apply(aState, capacity::FinishCredit(aState.mCapacity, aCredit, aNow), aNow, aOut);
    return;
  }
  chosen result = MakeChosen(aState, waiting->second.mServer);
  result.mCredit = aCredit;
  const ticket answered = waiting->first;
  aState.mChoices.erase(waiting);
  aOut.mReplies.push_back({ answered, std::move(result) });
}

void TickChoices(state& aState, time_point aNow, effects& aOut)
{
  std::vector<ticket> due;
  for (const auto& [waitingTicket, waiting] : aState.mChoices) {
    if (!waiting.mBusy && waiting.mNextTry <= aNow) {
      due.push_back(waitingTicket);
    }
  }
  for (const ticket& waitingTicket : due) {
    const auto found = aState.mChoices.find(waitingTicket);
    if (found == aState.mChoices.end()) {
      continue;
    }
    waiting_choice waiting = found->second;
    waiting.mNextTry = aNow + kChoiceRetry;
    if (waiting.mRequest.mDeadline <= aNow) {
      if (waiting.mCredit) {
        Apply(aState, capacity::FinishCredit(aState.mCapacity, *waiting.mCredit, aNow), aNow, aOut);
      }
      aState.mChoices.erase(waitingTicket);
      aOut.mReplies.push_back({ waitingTicket, NoServer(waiting.mRequest) });
      continue;
    }
    if (waiting.mIsRerun) {
      ReadRerun(aState, waitingTicket, waiting, aNow, aOut);
      aState.mChoices[waitingTicket] = waiting;
      continue;
    }
    if (waiting.mCredit && !aState.mCapacity.mOwnCredits.contains(*waiting.mCredit)) {
      waiting.mCredit.reset(); // denied or expired: another server or another ask
    }
    aState.mChoices[waitingTicket] = waiting;
    if (TryChoose(aState, waitingTicket, waiting, aNow, aOut)) {
      aState.mChoices.erase(waitingTicket);
    } else if (const auto still = aState.mChoices.find(waitingTicket);
               still != aState.mChoices.end()) {
      still->second = waiting;
    }
  }
}

void OnRerunRead(state& aState, ticket aTicket, const platform::read_result& aResult,
                 time_point aNow, effects& aOut)
{
  const auto found = aState.mChoices.find(aTicket);
  if (found == aState.mChoices.end()) {
    return;
  }
  waiting_choice& waiting = found->second;
  waiting.mBusy = false;
  waiting.mNextTry = aNow + kChoiceRetry;
  const quarantine::rerun_plan plan = quarantine::PlanRerun(
    aState.mQuarantine, waiting.mRequest.mFingerprint, aResult,
    RerunCandidates(aState, waiting.mRequest, aNow), waiting.mRerunToken, aNow);
  const bool commits = !plan.mTransaction.mPut.empty() || !plan.mTransaction.mRemove.empty();
  if (commits) {
    aOut.mCommits.push_back(
      { { slice::QuarantineRerun, aTicket.Value(), "" }, plan.mTransaction, aNow });
  }
  switch (plan.mStep) {
    case quarantine::rerun_step::Run: {
      chosen result = MakeChosen(aState, plan.mServer);
      result.mAlone = true;
      aState.mChoices.erase(found);
      aOut.mReplies.push_back({ aTicket, std::move(result) });
      break;
    }
    case quarantine::rerun_step::Commit:
      waiting.mBusy = true;
      break;
    case quarantine::rerun_step::Wait:
      break;
    case quarantine::rerun_step::Quarantined:
      aState.mChoices.erase(found);
      aOut.mReplies.push_back({ aTicket, Quarantined() });
      break;
    case quarantine::rerun_step::Unavailable:
      aState.mChoices.erase(found);
      aOut.mReplies.push_back(
        { aTicket,
          Refuse(503, "rerun-unavailable", "The request can't be run alone at the moment",
                 "a backend server crashed while it ran this request, and the table that lets it "
                 "run alone does not answer; send it again later",
                 duration(5s)) });
      break;
  }
}

void OnRerunCommit(state& aState, ticket aTicket, time_point aNow)
{
  if (const auto found = aState.mChoices.find(aTicket); found != aState.mChoices.end()) {
    // Whatever the answer, the rows are read again: they tell whether this try holds them.
    found->second.mBusy = false;
    found->second.mNextTry = aNow;
  }
}

void OnDispatch(state& aState, ticket aTicket, const dispatch& aDispatch, time_point aNow,
                effects& aOut)
{
  const choose& request = aDispatch.mChoice;
  const chosen& target = aDispatch.mChosen;
  const auto abandon = [&](problem aProblem) {
    if (target.mCredit) {
      Apply(aState, capacity::FinishCredit(aState.mCapacity, *target.mCredit, aNow), aNow, aOut);
    }
    aOut.mReplies.push_back({ aTicket, std::move(aProblem) });
  };
  const auto answer = settings::MayDispatch(*aState.mTree, GateInput(request, target.mDataCentre),
                                            settings::CurrentVerdict(aState.mPropagation, aNow));
  if (!answer.IsAllowed()) {
    abandon(Refuse(StatusOf(*answer.mRefusal),
                   *answer.mRefusal == settings::gate_refusal::DataCentreOut
                     ? "server-changed"
                     : std::string("gate-") + settings::ToString(*answer.mRefusal),
                   "The settings in force do not allow the request", answer.mDetail,
                   StatusOf(*answer.mRefusal) == 503 ? std::optional(duration(1s)) : std::nullopt));
    return;
  }
  const bool isSuspect =
    !target.mAlone && quarantine::GetStatus(aState.mQuarantine, request.mFingerprint, aNow) !=
                        quarantine::fingerprint_status::Normal;
  const bool needsCredit =
    !target.mCredit && !target.mAlone && capacity::IsCold(aState.mCapacity, target.mServer);
  if (isSuspect || needsCredit ||
      !balancing::IsEligible(aState.mBalancing, target.mServer, request.mVersion, aNow) ||
      (target.mCredit && !capacity::TryUseCredit(aState.mCapacity, *target.mCredit, aNow))) {
    abandon(Refuse(503, "server-changed", "The backend server is no longer eligible",
                   "send the request again", duration(1s)));
    return;
  }
  const auto server = aState.mMembership.mServers.find(target.mServer);
  const start_epoch epoch =
    server == aState.mMembership.mServers.end() ? start_epoch(0) : server->second.mEpoch;
  balancing::OnDispatch(aState.mBalancing, target.mServer, aNow);
  quarantine::OnDispatch(aState.mQuarantine, request.mRequest,
                         { request.mFingerprint, { target.mServer, epoch }, target.mAlone, {} });
  aOut.mReplies.push_back({ aTicket, dispatched{ aNow, aState.mPropagation.mHeld } });
}

void OnFinished(state& aState, ticket aTicket, const finished& aFinished, time_point aNow,
                effects& aOut)
{
  const chosen& target = aFinished.mChosen;
  const bool failed =
    aFinished.mEnd == attempt_end::Crashed || aFinished.mEnd == attempt_end::NotSent ||
    aFinished.mEnd == attempt_end::TimedOut || aFinished.mEnd == attempt_end::Rejected;
  balancing::OnRequestEnded(aState.mBalancing, target.mServer, aFinished.mDispatchedAt, failed,
                            aNow);
  if (target.mCredit) {
    Apply(aState, capacity::FinishCredit(aState.mCapacity, *target.mCredit, aNow), aNow, aOut);
  }
  if (failed) {
    CountResult(aState, aFinished.mOwner, aFinished.mVersion, false);
  }
  const auto run = aState.mQuarantine.mRuns.find(aFinished.mRequest);
  bool waits = false;
  switch (aFinished.mEnd) {
    case attempt_end::Answered:
    case attempt_end::Rejected:
      Apply(
        aState,
        quarantine::OnCompleted(aState.mQuarantine, aFinished.mRequest, LivePeers(aState), aNow),
        aNow, aOut);
      break;
    case attempt_end::TimedOut: // no crash, but the request may still cause one
    case attempt_end::Cancelled:
      quarantine::OnCancelled(aState.mQuarantine, aFinished.mRequest, aNow);
      break;
    case attempt_end::Refused:
      Apply(aState, capacity::OnServerRefusal(aState.mCapacity, target.mServer, aNow), aNow, aOut);
      [[fallthrough]];
    case attempt_end::NotSent:
      // The request did not run, which proves nothing about it.
      quarantine::OnCancelled(aState.mQuarantine, aFinished.mRequest, aNow);
      break;
    case attempt_end::Crashed:
      aState.mCrashWaits[aFinished.mRequest] = aTicket;
      waits = true;
      // Without a run the crash has been reported before, for another request on the same server.
      if (run != aState.mQuarantine.mRuns.end()) {
        const quarantine::server_incarnation crash = run->second.mIncarnation;
        Apply(aState, quarantine::OnServerCrash(aState.mQuarantine, crash, LivePeers(aState), aNow),
              aNow, aOut);
      }
      break;
  }
  if (!waits) {
    aOut.mReplies.push_back({ aTicket, done{} });
    return;
  }
  const bool isHeld =
    std::any_of(aState.mQuarantine.mPendingReports.begin(),
                aState.mQuarantine.mPendingReports.end(), [&](const auto& aEntry) {
                  const auto& held = aEntry.second.mHeldRequests;
                  return std::find(held.begin(), held.end(), aFinished.mRequest) != held.end();
                });
  if (const auto waiting = aState.mCrashWaits.find(aFinished.mRequest);
      !isHeld && waiting != aState.mCrashWaits.end()) {
    aOut.mReplies.push_back({ waiting->second, done{} });
    aState.mCrashWaits.erase(waiting);
  }
}

void Apply(state& aState, const quarantine::actions& aActions, time_point aNow, effects& aOut)
{
  for (const auto& [report, to] : aActions.mSend) {
    for (const instance_id& peer : to) {
      AddPart(aState, peer, report, aOut);
    }
  }
  for (const request_id& request : aActions.mAnswer) {
    if (const auto waiting = aState.mCrashWaits.extract(request)) {
      aOut.mReplies.push_back({ waiting.mapped(), done{} });
    }
  }
  for (const auto& [id, transaction] : aActions.mStore) {
    aOut.mCommits.push_back({ { slice::Quarantine, id, "" }, transaction, aNow });
  }
}

} // namespace tamarackweir::control::internal
