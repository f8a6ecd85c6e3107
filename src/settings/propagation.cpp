#include "settings/propagation.h"

#include "base/error.h"
#include "settings/acceptance.h"

#include <algorithm>

namespace tamarackweir::settings {

namespace {

duration AgeOf(time_point aWhen, time_point aNow)
{
  return std::max(duration{}, aNow - aWhen);
}

/// The own gossip message as of now, without addressee.
revision_gossip MakeMessage(const propagation_state& aState, time_point aNow)
{
  revision_gossip message{ .mSender = aState.mSelf,
                           .mHeld = aState.mHeld,
                           .mConfirmationAge = {},
                           .mReadAge = {},
                           .mStoreReachable = false,
                           .mProbe = {},
                           .mIsAnswer = false };
  if (const auto confirmed = ConfirmedAt(aState.mFreshness, aState.mHeld)) {
    message.mConfirmationAge = AgeOf(*confirmed, aNow);
  }
  if (const auto& read = aState.mFreshness.mLastRead) {
    message.mReadAge = AgeOf(read->mSentAt, aNow);
    message.mStoreReachable = read->mReachable;
  }
  return message;
}

void RecordRead(freshness_state& aState, const store_read& aRead)
{
  if (!aState.mLastRead || aState.mLastRead->mSentAt <= aRead.mSentAt) {
    aState.mLastRead = aRead;
  }
}

bool IsWanted(const propagation_state& aState, revision aRevision,
              const propagation_options& aOptions)
{
  return aOptions.mOnlyHigher ? aRevision > aState.mHeld : aRevision != aState.mHeld;
}

/// Starts a fetch. One of the same or a higher revision that is under way is repeated from an
/// announcing peer only if it has had no answer for `mFetchRetry`.
void Fetch(propagation_state& aState, revision aRevision, std::optional<instance_id> aFrom,
           time_point aNow, const propagation_options& aOptions, propagation_actions& aActions)
{
  pending_fetch next{ aRevision, aFrom, aNow, aNow };
  if (const auto& current = aState.mFetch; current && current->mRevision >= aRevision) {
    if (!aFrom || current->mRevision != aRevision ||
        AgeOf(current->mAskedAt, aNow) < aOptions.mFetchRetry) {
      return;
    }
    next.mSince = current->mSince;
  }
  aState.mFetch = next;
  if (aFrom) {
    aActions.emplace_back(fetch_revision{ *aFrom, aRevision });
  } else {
    aActions.emplace_back(read_store{ { { RevisionKey(aRevision) }, "" }, aRevision, aNow });
  }
}

/// Repeats a fetch that a peer did not answer from the table; gives up one from the table, which
/// the next gossip or head read starts again.
void FetchElsewhere(propagation_state& aState, time_point aNow, const propagation_options& aOptions,
                    propagation_actions& aActions)
{
  const pending_fetch failed = *aState.mFetch;
  aState.mFetch.reset();
  if (failed.mFrom) {
    Fetch(aState, failed.mRevision, std::nullopt, aNow, aOptions, aActions);
  }
}

void SendProbe(propagation_state& aState, const instance_id& aPeer, time_point aNow,
               propagation_actions& aActions)
{
  const probe_id id(++aState.mLastProbe);
  aState.mProbes[id] = { aPeer, aNow };
  aState.mFreshness.mPeers[aPeer].mLastSentAt = aNow;
  revision_gossip message = MakeMessage(aState, aNow);
  message.mProbe = id;
  aActions.emplace_back(send_gossip{ aPeer, std::move(message) });
}

/// Whether the instance must ask the store itself: its confirmation is old, or its last read
/// failed, which it must know as long as it lasts.
bool IsUrgent(const propagation_state& aState, time_point aNow, const propagation_options& aOptions)
{
  const auto confirmed = ConfirmedAt(aState.mFreshness, aState.mHeld);
  const auto& read = aState.mFreshness.mLastRead;
  return !confirmed || (read && !read->mReachable) ||
         AgeOf(*confirmed, aNow) > aOptions.mUrgentAge + aState.mUrgentExtra;
}

void PollIfDue(propagation_state& aState, std::size_t aLiveInstances, time_point aNow,
               std::mt19937_64& aRandom, const propagation_options& aOptions,
               propagation_actions& aActions)
{
  if (aState.mReadSentAt && AgeOf(*aState.mReadSentAt, aNow) > aOptions.mReadTimeout) {
    RecordRead(aState.mFreshness, { *aState.mReadSentAt, false });
    aState.mReadSentAt.reset();
  }
  const bool isRegular = aNow >= aState.mNextPoll;
  const bool isExtra = IsUrgent(aState, aNow, aOptions) &&
                       (!aState.mLastPoll || aNow - *aState.mLastPoll >= aOptions.mMinPollInterval);
  if (aState.mReadSentAt || (!isRegular && !isExtra)) {
    return;
  }
  std::uniform_real_distribution<> part;
  const auto scale = [](duration aTime, double aFactor) {
    return std::chrono::duration_cast<duration>(aTime * aFactor);
  };
  if (isRegular) {
    // The first interval has a random length from zero on and the others spread around the mean,
    // so that instances that started together do not read together. Extra polls leave the regular
    // ones as they are, or one outage would synchronise the fleet.
    const double factor = aState.mLastPoll ? 0.5 + part(aRandom) : part(aRandom);
    aState.mNextPoll = aNow + scale(PollInterval(aLiveInstances, aOptions), factor);
  }
  aState.mUrgentExtra = scale(aOptions.mUrgentSpread, part(aRandom));
  aState.mLastPoll = aNow;
  aState.mReadSentAt = aNow;
  aActions.emplace_back(read_store{ { { HeadKey() }, "" }, std::nullopt, aNow });
}

void TakeAnswer(propagation_state& aState, const revision_gossip& aMessage, time_point aNow,
                const propagation_options& aOptions)
{
  const auto probe = aState.mProbes.find(aMessage.mProbe);
  if (probe == aState.mProbes.end() || probe->second.first != aMessage.mSender.mId) {
    return; // a duplicate, or too late to confirm anything
  }
  const time_point sentAt = aOptions.mCountFromArrival ? aNow : probe->second.second;
  aState.mProbes.erase(probe);
  freshness_state& freshness = aState.mFreshness;
  if (aMessage.mConfirmationAge) {
    Confirm(freshness, { aMessage.mHeld, sentAt - *aMessage.mConfirmationAge });
  }
  peer_probe& peer = freshness.mPeers[aMessage.mSender.mId];
  if (!peer.mAnsweredProbeAt || *peer.mAnsweredProbeAt <= sentAt) {
    peer.mAnsweredProbeAt = sentAt;
    peer.mStoreRead.reset();
    if (aMessage.mReadAge) {
      peer.mStoreRead = store_read{ sentAt - *aMessage.mReadAge, aMessage.mStoreReachable };
    }
  }
}

} // namespace

duration PollInterval(std::size_t aLiveInstances, const propagation_options& aOptions)
{
  const std::chrono::duration<double> shared(static_cast<double>(aLiveInstances) /
                                             aOptions.mFleetReadsPerSecond);
  return std::max(aOptions.mMinPollInterval, std::chrono::duration_cast<duration>(shared));
}

propagation_actions OnTick(propagation_state& aState, const std::vector<instance_id>& aPeers,
                           time_point aNow, std::mt19937_64& aRandom,
                           const propagation_options& aOptions)
{
  propagation_actions actions;
  ForgetOld(aState.mFreshness, aState.mHeld, aNow, aOptions.mFreshness);
  std::erase_if(aState.mProbes, [&](const auto& aEntry) {
    return aNow - aEntry.second.second > aOptions.mFreshness.mLimit;
  });
  PollIfDue(aState, aPeers.size() + 1, aNow, aRandom, aOptions, actions);
  if (aState.mFetch) {
    const pending_fetch& fetch = *aState.mFetch;
    const duration limit = fetch.mFrom ? aOptions.mFetchTimeout : aOptions.mReadTimeout;
    if (AgeOf(fetch.mSince, aNow) > limit) {
      FetchElsewhere(aState, aNow, aOptions, actions);
    } else if (fetch.mFrom) {
      Fetch(aState, fetch.mRevision, fetch.mFrom, aNow, aOptions, actions);
    }
  }
  if (aNow >= aState.mNextGossip) {
    aState.mNextGossip = aNow + aOptions.mGossipPeriod;
    std::vector<instance_id> chosen;
    std::sample(aPeers.begin(), aPeers.end(), std::back_inserter(chosen), aOptions.mFanOut,
                aRandom);
    for (const instance_id& peer : chosen) {
      SendProbe(aState, peer, aNow, actions);
    }
  }
  return actions;
}

propagation_actions OnHeadRead(propagation_state& aState, const platform::read_result& aResult,
                               time_point aSentAt, time_point aNow,
                               const propagation_options& aOptions)
{
  propagation_actions actions;
  if (aState.mReadSentAt == aSentAt) {
    aState.mReadSentAt.reset();
  }
  RecordRead(aState.mFreshness, { aSentAt, aResult.mReachable });
  if (!aResult.mReachable) {
    return actions;
  }
  const platform::row* row = Find(aResult, HeadKey());
  if (row == nullptr) {
    return actions;
  }
  try {
    const revision head = HeadRevision(*row);
    // A head below the held revision means that the table lost accepted revisions, or that the held
    // one arrived during the read. It confirms nothing: in the first case other settings may be
    // accepted under the same numbers, and the instance must stop serving.
    if (head >= aState.mHeld) {
      Confirm(aState.mFreshness, { head, aOptions.mCountFromArrival ? aNow : aSentAt });
    }
    if (IsWanted(aState, head, aOptions)) {
      Fetch(aState, head, std::nullopt, aNow, aOptions, actions);
    }
  } catch (const error&) {
    // A damaged head confirms nothing; the verdict becomes isolated, not outage, because the
    // store was reached.
  }
  return actions;
}

propagation_actions OnGossip(propagation_state& aState, const revision_gossip& aMessage,
                             time_point aNow, const propagation_options& aOptions)
{
  propagation_actions actions;
  if (aMessage.mSender.mId == aState.mSelf.mId) {
    return actions;
  }
  aState.mFreshness.mHighest = std::max(aState.mFreshness.mHighest, aMessage.mHeld);
  if (aMessage.mIsAnswer) {
    TakeAnswer(aState, aMessage, aNow, aOptions);
  } else {
    revision_gossip answer = MakeMessage(aState, aNow);
    answer.mProbe = aMessage.mProbe;
    answer.mIsAnswer = true;
    actions.emplace_back(send_gossip{ aMessage.mSender.mId, std::move(answer) });
  }
  if (aMessage.mHeld != revision(0) && IsWanted(aState, aMessage.mHeld, aOptions)) {
    Fetch(aState, aMessage.mHeld, aMessage.mSender.mId, aNow, aOptions, actions);
  }
  return actions;
}

propagation_actions OnContent(propagation_state& aState, revision aRevision,
                              const nlohmann::json& aTree, time_point aNow,
                              const propagation_options& aOptions)
{
  propagation_actions actions;
  if (aTree.is_null()) {
    if (aState.mFetch && aState.mFetch->mRevision == aRevision) {
      FetchElsewhere(aState, aNow, aOptions, actions);
    }
    return actions;
  }
  if (aState.mFetch && aState.mFetch->mRevision <= aRevision) {
    aState.mFetch.reset();
  }
  if (IsWanted(aState, aRevision, aOptions)) {
    aState.mHeld = aRevision;
    aState.mTree = aTree;
    aState.mFreshness.mHighest = std::max(aState.mFreshness.mHighest, aRevision);
    actions.emplace_back(adopt_revision{ aRevision, aTree });
  }
  return actions;
}

propagation_actions OnAccepted(propagation_state& aState, revision aRevision,
                               const nlohmann::json& aTree, time_point aNow,
                               const propagation_options& aOptions)
{
  aState.mNextGossip = aNow;
  return OnContent(aState, aRevision, aTree, aNow, aOptions);
}

propagation_actions Probe(propagation_state& aState, const std::vector<instance_id>& aPeers,
                          std::size_t aCount, time_point aNow)
{
  propagation_actions actions;
  for (std::size_t i = 0; i < std::min(aCount, aPeers.size()); ++i) {
    SendProbe(aState, aPeers[i], aNow, actions);
  }
  return actions;
}

verdict CurrentVerdict(const propagation_state& aState, time_point aNow,
                       const propagation_options& aOptions)
{
  return Verdict(aState.mFreshness, aState.mHeld, aNow, aOptions.mFreshness);
}

void OnReport(enforcement_state& aState, const instance_run& aInstance, revision aHeld)
{
  revision& known = aState.mHeld[aInstance];
  known = std::max(known, aHeld);
}

std::vector<instance_run> Unconfirmed(enforcement_state& aState,
                                      const std::set<instance_run>& aLive, revision aRevision)
{
  std::erase_if(aState.mHeld, [&](const auto& aEntry) { return !aLive.contains(aEntry.first); });
  std::vector<instance_run> result;
  for (const instance_run& instance : aLive) {
    const auto found = aState.mHeld.find(instance);
    if (found == aState.mHeld.end() || found->second < aRevision) {
      result.push_back(instance);
    }
  }
  return result;
}

} // namespace tamarackweir::settings
