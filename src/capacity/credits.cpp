#include "capacity/capacity.h"

#include "capacity/internal.h"

#include <algorithm>

namespace tamarackweir::capacity {

namespace {

// For this long after a take-over, instances that gossip has not reached yet may send requests
// without a credit.
constexpr duration kMaxGossipDelay = 5s;
// Sliding window in which the holder counts its peers' credit requests.
constexpr duration kAskWindow = 5s;
constexpr duration kMinRetryAfter = 500ms;
constexpr duration kReleaseInterval = 500ms;

std::int64_t ColdLimit(const state& aState, const server_state& aServer)
{
  std::int64_t limit = aServer.mReport.mColdLimit;
  if (aServer.mSettingsColdLimit > 0 && (limit == 0 || aServer.mSettingsColdLimit < limit)) {
    limit = aServer.mSettingsColdLimit;
  }
  return limit > 0 ? limit : aState.mOptions.mDefaultColdLimit;
}

bool ReportCoversEarlierCredits(const state& aState, const server_state& aServer)
{
  return aServer.mReported && aServer.mReport.mMeasuredAt >=
                                aServer.mHeldLease->mTakenAt + aState.mOptions.mCreditLifetime;
}

// Returns an upper bound of the requests that run or may still start at the server.
std::int64_t MaxActiveRequests(const state& aState, const server_state& aServer, time_point aNow)
{
  const held_lease& held = *aServer.mHeldLease;
  const std::int64_t byCredits =
    held.mUncreditedRequests + static_cast<std::int64_t>(held.mCredits.size());
  if (!ReportCoversEarlierCredits(aState, aServer)) {
    return byCredits;
  }
  // The report counts all requests that had started. The request of a credit issued more than its
  // lifetime before the measurement had started by then, or never will.
  const time_point since = aServer.mReport.mMeasuredAt - aState.mOptions.mCreditLifetime;
  const auto recent =
    std::count_if(held.mCredits.begin(), held.mCredits.end(),
                  [since](const auto& aEntry) { return aEntry.second.mGrantedAt >= since; });
  const std::int64_t byReport = aServer.mReport.mRunningRequests + recent;
  return aNow < held.mTakenAt + kMaxGossipDelay ? byReport : std::min(byReport, byCredits);
}

duration RetryAfter(const state& aState, const held_lease& aHeld)
{
  const double rate = aState.mOptions.mAsksPerSecond;
  const double seconds = std::chrono::duration<double>(kAskWindow).count();
  if (static_cast<double>(aHeld.mAskTimes.size()) <= rate * seconds) {
    return kMinRetryAfter;
  }
  return std::max(kMinRetryAfter,
                  duration(static_cast<std::int64_t>(
                    1e6 * static_cast<double>(aState.mLiveInstances.size()) / rate)));
}

duration Jitter(duration aTime, double aFrom, double aTo, std::mt19937_64& aRandom)
{
  return duration(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) *
                              std::uniform_real_distribution<double>(aFrom, aTo)(aRandom)));
}

void GrantCredit(held_lease& aHeld, const credit_id& aId, duration aMaxRun, time_point aNow)
{
  aHeld.mCredits[aId] = { aNow, aNow + aMaxRun };
}

void RemoveCredit(server_state& aServer, const credit_id& aId, time_point aNow)
{
  if (aServer.mHeldLease && aServer.mHeldLease->mCredits.erase(aId) > 0) {
    aServer.mHeldLease->mReleaseTimes.push_back(aNow);
  }
}

void SendRelease(own_credit& aCredit, const credit_id& aId, actions& aActions, time_point aNow)
{
  aCredit.mReleasing = true;
  aCredit.mNextReleaseAt = aNow + kReleaseInterval;
  aActions.mReleases.push_back({ aCredit.mIssuer, { aId, aCredit.mServer } });
}

// Expires unused credits, resends releases and times out unanswered credit requests.
void TickOwnCredits(state& aState, actions& aActions, time_point aNow)
{
  for (auto it = aState.mOwnCredits.begin(); it != aState.mOwnCredits.end();) {
    own_credit& credit = it->second;
    const duration age = aNow - credit.mAskedAt;
    const bool expired = age >= aState.mOptions.mCreditLifetime;
    if (credit.mReleasing) {
      if (aNow >= credit.mEndsBy) {
        it = aState.mOwnCredits.erase(it);
        continue;
      }
      if (aNow >= credit.mNextReleaseAt) {
        SendRelease(credit, it->first, aActions, aNow);
      }
    } else if (credit.mGranted && !credit.mStarted && expired) {
      const actions finished = FinishCredit(aState, (it++)->first, aNow);
      aActions.mReleases.insert(aActions.mReleases.end(), finished.mReleases.begin(),
                                finished.mReleases.end());
      continue;
    } else if (!credit.mGranted) {
      if (!credit.mTimedOut && age >= aState.mOptions.mAskTimeout) {
        credit.mTimedOut = true;
        server_state& server = internal::FindOrAddServer(aState, credit.mServer);
        if (server.mHolder == credit.mIssuer) {
          server.mHolder = {};
        } else {
          ++server.mCandidateRank;
        }
      }
      if (expired) {
        it = aState.mOwnCredits.erase(it);
        continue;
      }
    }
    ++it;
  }
}

} // namespace

namespace internal {

void ApplyReportToLease(const state& aState, server_state& aServer, time_point aNow)
{
  if (!aServer.mHeldLease || !ReportCoversEarlierCredits(aState, aServer)) {
    return;
  }
  held_lease& held = *aServer.mHeldLease;
  const std::int64_t running = aServer.mReport.mRunningRequests;
  const time_point measuredAt = aServer.mReport.mMeasuredAt;
  while (!held.mReleaseTimes.empty() && held.mReleaseTimes.front() < measuredAt) {
    held.mReleaseTimes.pop_front();
  }
  if (!held.mMayGrant) {
    held.mMayGrant = true;
    held.mUncreditedRequests = running;
    return;
  }
  const auto possible = static_cast<std::int64_t>(held.mCredits.size() + held.mReleaseTimes.size());
  if (running > possible && running - possible > held.mUncreditedRequests) {
    held.mUncreditedEndBy = aNow + aState.mOptions.mMaxRequestDuration;
  }
  held.mUncreditedRequests =
    std::max(std::min(held.mUncreditedRequests, running), running - possible);
}

void ExpireCredits(const state& aState, server_state& aServer, time_point aNow)
{
  if (!aServer.mHeldLease) {
    return;
  }
  held_lease& held = *aServer.mHeldLease;
  if (aNow >= held.mUncreditedEndBy) {
    held.mMayGrant = true;
    held.mUncreditedRequests = 0;
  }
  // The requester may be paused while its request still runs, so an expired credit counts as an
  // uncredited request until a report or the maximum request duration rules it out.
  const auto expired = std::erase_if(
    held.mCredits, [aNow](const auto& aEntry) { return aNow >= aEntry.second.mEndsBy; });
  if (expired > 0) {
    held.mUncreditedRequests += static_cast<std::int64_t>(expired);
    held.mUncreditedEndBy = aNow + aState.mOptions.mMaxRequestDuration;
  }
  while (!held.mAskTimes.empty() && aNow - held.mAskTimes.front() > kAskWindow) {
    held.mAskTimes.pop_front();
  }
}

} // namespace internal

state Start(const options& aOptions, const instance_id& aSelf, start_epoch aEpoch)
{
  state initial;
  initial.mOptions = aOptions;
  initial.mSelf = aSelf;
  initial.mEpoch = aEpoch;
  return initial;
}

void OnLiveInstances(state& aState, std::vector<instance_id> aLive)
{
  aState.mLiveInstances = std::move(aLive);
}

std::int64_t FreeCredits(const state& aState, const server_id& aServer, time_point aNow)
{
  const auto found = aState.mServers.find(aServer);
  if (found == aState.mServers.end() || !found->second.mHeldLease || !found->second.mCold) {
    return 0;
  }
  const server_state& server = found->second;
  const bool valid = aNow - server.mHeldLease->mRenewedAt <
                     aState.mOptions.mLeaseDuration - aState.mOptions.mLeaseMargin;
  if (!valid || !server.mHeldLease->mMayGrant) {
    return 0;
  }
  return std::max<std::int64_t>(0, ColdLimit(aState, server) -
                                     MaxActiveRequests(aState, server, aNow));
}

std::optional<credit_id> RequestCredit(state& aState, const server_id& aServer, duration aMaxRun,
                                       actions& aActions, time_point aNow, std::mt19937_64& aRandom)
{
  server_state& server = internal::FindOrAddServer(aState, aServer);
  const duration maxRun = std::min(aMaxRun, aState.mOptions.mMaxRequestDuration);
  const credit_id id{ aState.mSelf, aState.mEpoch, credit_number(aState.mNextCreditNumber) };
  if (server.mHeldLease) {
    server.mHeldLease->mLastAskAt = aNow;
    if (FreeCredits(aState, aServer, aNow) == 0) {
      return std::nullopt;
    }
    GrantCredit(*server.mHeldLease, id, maxRun, aNow);
    aState.mOwnCredits[id] = { .mServer = aServer,
                               .mIssuer = aState.mSelf,
                               .mAskedAt = aNow,
                               .mEndsBy = aNow + maxRun,
                               .mGranted = true };
    ++aState.mNextCreditNumber;
    aActions.mUsableCredits.push_back({ aServer, id });
    return id;
  }
  if (server.mNextAskAt == time_point{}) {
    // Spreads the first credit requests of all instances, which would otherwise reach the holder at
    // the same time.
    const double seconds =
      static_cast<double>(aState.mLiveInstances.size()) / aState.mOptions.mAsksPerSecond;
    server.mNextAskAt =
      aNow + Jitter(duration(static_cast<std::int64_t>(1e6 * seconds)), 0, 1, aRandom);
  }
  if (aNow < server.mNextAskAt) {
    return std::nullopt;
  }
  instance_id target = server.mHolder;
  if (target.Value().empty() || target == aState.mSelf) {
    const auto candidates = LeaseCandidates(aState, aServer);
    target = candidates[server.mCandidateRank % candidates.size()];
  }
  server.mNextAskAt = aNow + aState.mOptions.mAskTimeout;
  if (target == aState.mSelf) {
    server.mContending = true;
    server.mLastWantedAt = aNow;
    return std::nullopt;
  }
  aState.mOwnCredits[id] = {
    .mServer = aServer, .mIssuer = target, .mAskedAt = aNow, .mEndsBy = aNow + maxRun
  };
  ++aState.mNextCreditNumber;
  aActions.mAsks.push_back({ target, { id, aServer, maxRun } });
  return id;
}

actions OnCreditAsk(state& aState, const credit_ask& aAsk, time_point aNow)
{
  actions result;
  credit_answer answer;
  answer.mId = aAsk.mId;
  answer.mServer = aAsk.mServer;
  answer.mRetryAfter = kMinRetryAfter;
  server_state& server = internal::FindOrAddServer(aState, aAsk.mServer);
  server.mLastWantedAt = aNow;
  if (server.mHeldLease) {
    held_lease& held = *server.mHeldLease;
    held.mLastAskAt = aNow;
    held.mAskTimes.push_back(aNow);
    answer.mHolder = aState.mSelf;
    answer.mFencingNumber = held.mFencingNumber;
    // A repeated credit request gets the same credit.
    if (held.mCredits.contains(aAsk.mId)) {
      answer.mGranted = true;
    } else if (FreeCredits(aState, aAsk.mServer, aNow) > 0) {
      GrantCredit(held, aAsk.mId, std::min(aAsk.mMaxRun, aState.mOptions.mMaxRequestDuration),
                  aNow);
      answer.mGranted = true;
    }
    answer.mRetryAfter = RetryAfter(aState, held);
  } else {
    // Contends even if a holder is known: the row shows whether that holder still renews.
    server.mContending = server.mCold;
    if (server.mHolder != aAsk.mId.mRequester) {
      answer.mHolder = server.mHolder;
      answer.mFencingNumber = server.mHolderFencingNumber;
    }
  }
  result.mAnswers.push_back({ aAsk.mId.mRequester, std::move(answer) });
  return result;
}

actions OnCreditAnswer(state& aState, const credit_answer& aAnswer, time_point aNow,
                       std::mt19937_64& aRandom)
{
  actions result;
  server_state& server = internal::FindOrAddServer(aState, aAnswer.mServer);
  if (!server.mHeldLease && aAnswer.mFencingNumber >= server.mHolderFencingNumber &&
      !aAnswer.mHolder.Value().empty() && aAnswer.mHolder != aState.mSelf) {
    server.mHolder = aAnswer.mHolder;
    server.mHolderFencingNumber = std::max(server.mHolderFencingNumber, aAnswer.mFencingNumber);
  }
  const auto found = aState.mOwnCredits.find(aAnswer.mId);
  if (found == aState.mOwnCredits.end()) {
    if (aAnswer.mGranted) {
      result.mReleases.push_back({ aAnswer.mHolder, { aAnswer.mId, aAnswer.mServer } });
    }
    return result;
  }
  own_credit& credit = found->second;
  if (credit.mGranted || credit.mReleasing) {
    return result; // Duplicate answer.
  }
  if (!aAnswer.mGranted) {
    server.mNextAskAt = aNow + Jitter(aAnswer.mRetryAfter, 0.5, 1.5, aRandom);
    aState.mOwnCredits.erase(found);
    return result;
  }
  credit.mGranted = true;
  credit.mIssuer = aAnswer.mHolder;
  server.mNextAskAt = aNow + Jitter(aAnswer.mRetryAfter, 0.5, 1.5, aRandom);
  if (aNow - credit.mAskedAt >= aState.mOptions.mCreditLifetime) {
    return FinishCredit(aState, aAnswer.mId, aNow);
  }
  result.mUsableCredits.push_back({ aAnswer.mServer, aAnswer.mId });
  return result;
}

bool TryUseCredit(state& aState, const credit_id& aCredit, time_point aNow)
{
  const auto found = aState.mOwnCredits.find(aCredit);
  if (found == aState.mOwnCredits.end()) {
    return false;
  }
  own_credit& credit = found->second;
  if (!credit.mGranted || credit.mStarted || credit.mReleasing ||
      aNow - credit.mAskedAt >= aState.mOptions.mCreditLifetime) {
    return false;
  }
  credit.mStarted = true;
  return true;
}

actions FinishCredit(state& aState, const credit_id& aCredit, time_point aNow)
{
  actions result;
  const auto found = aState.mOwnCredits.find(aCredit);
  if (found == aState.mOwnCredits.end()) {
    return result;
  }
  if (found->second.mIssuer == aState.mSelf) {
    RemoveCredit(internal::FindOrAddServer(aState, found->second.mServer), aCredit, aNow);
    aState.mOwnCredits.erase(found);
  } else if (!found->second.mReleasing) {
    SendRelease(found->second, aCredit, result, aNow);
  }
  return result;
}

actions OnCreditRelease(state& aState, const credit_release& aRelease, time_point aNow)
{
  actions result;
  if (const auto found = aState.mServers.find(aRelease.mServer); found != aState.mServers.end()) {
    RemoveCredit(found->second, aRelease.mId, aNow);
  }
  result.mReleaseAcks.push_back({ aRelease.mId.mRequester, { aRelease.mId, aRelease.mServer } });
  return result;
}

void OnCreditReleaseAck(state& aState, const credit_release_ack& aAck)
{
  const auto found = aState.mOwnCredits.find(aAck.mId);
  if (found != aState.mOwnCredits.end() && found->second.mReleasing) {
    aState.mOwnCredits.erase(found);
  }
}

actions Tick(state& aState, time_point aNow)
{
  actions result;
  for (auto& [id, server] : aState.mServers) {
    internal::ExpireCredits(aState, server, aNow);
    internal::TickLease(aState, id, server, result, aNow);
  }
  TickOwnCredits(aState, result, aNow);
  return result;
}

} // namespace tamarackweir::capacity
