#include "membership/membership.h"

#include "base/error.h"
#include "membership/internal.h"

#include <algorithm>
#include <set>

namespace tamarackweir::membership {

namespace {

// Peers to which a leaving instance sends `InstanceLeft`. Each of them spreads the rumour, so that
// the loss of one message does not matter.
constexpr std::size_t kLeavePeers = 4;

bool HasRumour(const state& aState, rumour_kind aKind, const std::string& aSubject,
               start_epoch aEpoch)
{
  return aState.mRumours.contains({ aKind, aSubject, aEpoch });
}

// Whether gossip can be sent to the member.
bool IsGossipTarget(const member& aMember)
{
  return !aMember.mLeft && !aMember.mPeerAddress.empty();
}

void SetServerEpoch(state& aState, server& aServer, start_epoch aEpoch)
{
  if (aEpoch.Value() == 0 || aEpoch == aServer.mEpoch) {
    return;
  }
  aServer.mEpoch = aEpoch;
  if (HasRumour(aState, rumour_kind::ServerLeaving, aServer.mId.Value(), aEpoch)) {
    aServer.mLeavingEpoch = aEpoch;
  }
}

// Applies a new rumour to members and servers.
void ApplyRumour(state& aState, const rumour& aRumour)
{
  const rumour_key& key = aRumour.mKey;
  if (key.mKind == rumour_kind::ServerLeaving) {
    const auto found = aState.mServers.find(server_id(key.mSubject));
    if (found != aState.mServers.end() &&
        (found->second.mEpoch.Value() == 0 || found->second.mEpoch == key.mEpoch)) {
      found->second.mLeavingEpoch = key.mEpoch;
    }
  } else if (key.mKind == rumour_kind::InstanceLeft) {
    const auto found = aState.mMembers.find(instance_id(key.mSubject));
    // A member whose epoch is unknown is assumed to be the one that left; a message from its
    // replacement corrects that.
    if (found != aState.mMembers.end() &&
        (found->second.mEpoch.Value() == 0 || found->second.mEpoch == key.mEpoch)) {
      found->second.mEpoch = key.mEpoch;
      found->second.mLeft = true;
    }
  }
}

void ApplyIfNew(state& aState, const rumour& aRumour, actions& aActions, time_point aNow)
{
  if (internal::Merge(aState, aRumour, aNow)) {
    ApplyRumour(aState, aRumour);
    aActions.mNewRumours.push_back(aRumour);
  }
}

// Updates the epoch of a member from its message. Returns false if a predecessor sent it.
bool SetMemberEpoch(state& aState, member& aMember, start_epoch aEpoch, time_point aNow)
{
  if (HasRumour(aState, rumour_kind::InstanceLeft, aMember.mId.Value(), aEpoch)) {
    return false;
  }
  if (aEpoch == aMember.mEpoch) {
    // No rumour that this epoch left is stored, so `mLeft` must stem from a reused address.
    aMember.mLeft = false;
    return true;
  }
  if (aEpoch == aMember.mSupersededEpoch &&
      aNow - aMember.mSupersededAt < aState.mOptions.mSupersededEpochTimeout) {
    return false;
  }
  aMember.mSupersededEpoch = aMember.mEpoch;
  aMember.mSupersededAt = aNow;
  aMember.mEpoch = aEpoch;
  aMember.mLeft = false;
  return true;
}

void UpdateSender(state& aState, const gossip_message& aMessage, const std::string& aFromAddress,
                  time_point aNow)
{
  const auto [found, added] = aState.mMembers.try_emplace(aMessage.mSender);
  member& sender = found->second;
  if (added) {
    sender.mId = aMessage.mSender;
  }
  if (!SetMemberEpoch(aState, sender, aMessage.mEpoch, aNow)) {
    if (added) {
      aState.mMembers.erase(found);
    }
    return;
  }
  const bool addressChanged =
    sender.mPeerAddress != aFromAddress || sender.mLastMessageAt == time_point{};
  sender.mPeerAddress = aFromAddress;
  sender.mLastMessageAt = aNow;
  sender.mLeaving = aMessage.mLeaving;
  if (!addressChanged) {
    return;
  }
  for (auto& [id, other] : aState.mMembers) {
    if (other.mPeerAddress == aFromAddress && id != aMessage.mSender) {
      other.mLeft = true; // Its address now belongs to the sender.
    }
  }
}

void UpdateListedMember(state& aState, const listed_instance& aEntry)
{
  const instance_id id(aEntry.mId);
  if (id == aState.mSelf) {
    return;
  }
  member& listed = aState.mMembers[id];
  const bool noMessageYet = listed.mLastMessageAt == time_point{};
  listed.mId = id;
  listed.mListed = true;
  listed.mAddress = aEntry.mAddress;
  listed.mDataCentre = aEntry.mDataCentre;
  listed.mLeaving = listed.mLeaving || aEntry.mLeaving;
  if (noMessageYet || listed.mPeerAddress.empty()) {
    listed.mPeerAddress = aEntry.mPeerAddress;
  }
  // What a peer reports about itself is newer than the list.
  if (noMessageYet && aEntry.mEpoch.Value() != 0 && aEntry.mEpoch != listed.mEpoch) {
    listed.mEpoch = aEntry.mEpoch;
    listed.mLeft = HasRumour(aState, rumour_kind::InstanceLeft, aEntry.mId, aEntry.mEpoch);
  }
}

void UpdateListedServer(state& aState, const listed_instance& aEntry)
{
  const server_id id(aEntry.mId);
  server& listed = aState.mServers[id];
  listed.mId = id;
  listed.mRole = aEntry.mRole;
  listed.mAddress = aEntry.mAddress;
  listed.mDataCentre = aEntry.mDataCentre;
  if (listed.mEpoch.Value() == 0) {
    SetServerEpoch(aState, listed, aEntry.mEpoch);
  }
  if (aEntry.mLeaving && !listed.mListedLeaving) {
    listed.mListedLeavingEpoch = aEntry.mEpoch.Value() != 0 ? aEntry.mEpoch : listed.mEpoch;
    if (listed.mListedLeavingEpoch.Value() != 0 && listed.mListedLeavingEpoch == listed.mEpoch) {
      listed.mLeavingEpoch = listed.mEpoch;
    }
  }
  listed.mListedLeaving = aEntry.mLeaving;
}

gossip_message MakeMessage(state& aState, const head_confirmation& aHead, bool aRepair,
                           time_point aNow)
{
  gossip_message message{ .mSender = aState.mSelf,
                          .mEpoch = aState.mEpoch,
                          .mHead = aHead,
                          .mLeaving = aState.mLeaving,
                          .mDigest = internal::Digest(aState, aNow),
                          .mRumours = {} };
  internal::AddRumours(aState, message, aRepair, aNow);
  return message;
}

// Up to `aCount` random gossip targets. With `aRemoteFirst`, the first one is in another data
// centre if possible.
std::vector<const member*> PickPeers(const state& aState, std::size_t aCount, bool aRemoteFirst,
                                     std::mt19937_64& aRandom)
{
  std::vector<const member*> peers;
  for (const auto& [id, each] : aState.mMembers) {
    if (IsGossipTarget(each)) {
      peers.push_back(&each);
    }
  }
  std::vector<const member*> picked;
  if (aRemoteFirst) {
    std::vector<const member*> remote;
    std::copy_if(
      peers.begin(), peers.end(), std::back_inserter(remote),
      [&aState](const member* aPeer) { return aPeer->mDataCentre != aState.mDataCentre; });
    std::sample(remote.begin(), remote.end(), std::back_inserter(picked), 1, aRandom);
  }
  while (picked.size() < std::min(aCount, peers.size())) {
    const std::size_t at = std::uniform_int_distribution<std::size_t>(0, peers.size() - 1)(aRandom);
    if (std::find(picked.begin(), picked.end(), peers[at]) == picked.end()) {
      picked.push_back(peers[at]);
    }
  }
  return picked;
}

} // namespace

state Start(const options& aOptions, const instance_id& aSelf, start_epoch aEpoch,
            const data_centre_id& aDataCentre, time_point aNow)
{
  state started;
  started.mOptions = aOptions;
  started.mSelf = aSelf;
  started.mEpoch = aEpoch;
  started.mDataCentre = aDataCentre;
  started.mNextRound = aNow;
  started.mRumourTokens = aOptions.mRumourBurst;
  started.mTokensUpdatedAt = aNow;
  return started;
}

void OnInstanceList(state& aState, const std::vector<listed_instance>& aList, time_point aNow)
{
  std::set<std::string> listed;
  for (auto& [id, each] : aState.mMembers) {
    each.mListed = false;
  }
  for (const listed_instance& entry : aList) {
    listed.insert(entry.mId);
    if (entry.mRole == role::Entry) {
      UpdateListedMember(aState, entry);
    } else {
      UpdateListedServer(aState, entry);
    }
  }
  std::erase_if(aState.mMembers, [&aState, aNow](const auto& aEntry) {
    const member& each = aEntry.second;
    return !each.mListed &&
           (each.mLeft || aNow - each.mLastMessageAt >= aState.mOptions.mUnlistedRetention);
  });
  std::erase_if(aState.mServers,
                [&listed](const auto& aEntry) { return !listed.contains(aEntry.first.Value()); });
}

actions OnGossip(state& aState, const gossip_message& aMessage, const std::string& aFromAddress,
                 const head_confirmation& aHead, time_point aNow)
{
  actions result;
  // A message with this instance's own id comes from a predecessor, so its sender is ignored.
  if (aMessage.mAnswerTo == 0 && aMessage.mSender != aState.mSelf) {
    UpdateSender(aState, aMessage, aFromAddress, aNow);
    result.mHead = aMessage.mHead;
    result.mHead->mAge = duration::max();
    result.mHeadFrom = aMessage.mSender;
  }
  for (const rumour& each : aMessage.mRumours) {
    ApplyIfNew(aState, each, result, aNow);
  }
  if (aMessage.mAnswerTo != 0) {
    const auto found =
      std::find_if(aState.mProbes.begin(), aState.mProbes.end(),
                   [&](const probe& aProbe) { return aProbe.mNumber == aMessage.mAnswerTo; });
    if (found != aState.mProbes.end()) {
      found->mAnswered = true;
      found->mStoreReachable = aMessage.mHead.mStoreReachable;
      result.mHead = aMessage.mHead;
      if (result.mHead->mAge != duration::max()) {
        result.mHead->mAge += aNow - found->mSentAt;
      }
      result.mHeadFrom = found->mPeer;
    }
  }
  if (aMessage.mProbe != 0) {
    const bool repair =
      aState.mOptions.mRepair && aMessage.mDigest != internal::Digest(aState, aNow);
    gossip_message answer = MakeMessage(aState, aHead, repair, aNow);
    answer.mSender = {};
    answer.mEpoch = {};
    answer.mDigest = 0;
    answer.mAnswerTo = aMessage.mProbe;
    result.mSend.push_back({ aMessage.mSender, aFromAddress, std::move(answer) });
  }
  return result;
}

actions Tick(state& aState, const head_confirmation& aHead, time_point aNow,
             std::mt19937_64& aRandom)
{
  actions result;
  if (aNow < aState.mNextRound) {
    return result;
  }
  // After a pause only one round is sent, not all that were missed.
  aState.mNextRound = std::max(aState.mNextRound + aState.mOptions.mRoundInterval,
                               aNow + aState.mOptions.mRoundInterval / 2);
  internal::Expire(aState, aNow);
  while (!aState.mProbes.empty() &&
         aNow - aState.mProbes.front().mSentAt > aState.mOptions.mProbeWindow) {
    aState.mProbes.pop_front();
  }
  const bool remote = ++aState.mRounds % aState.mOptions.mRemoteEvery == 0;
  for (const member* peer : PickPeers(aState, aState.mOptions.mFanOut, remote, aRandom)) {
    gossip_message message = MakeMessage(aState, aHead, false, aNow);
    // One probe per round gives 16 samples in the window; answering every message would exceed the
    // limit on control traffic.
    if (result.mSend.empty()) {
      message.mProbe = aState.mNextProbe++;
      aState.mProbes.push_back({ message.mProbe, peer->mId, aNow });
    }
    result.mSend.push_back({ peer->mId, peer->mPeerAddress, std::move(message) });
  }
  return result;
}

actions Spread(state& aState, const rumour& aRumour, time_point aNow)
{
  if (aRumour.mPayload.size() > aState.mOptions.mMaxPayload) {
    throw error(error_kind::InvalidInput,
                "rumour payload has " + std::to_string(aRumour.mPayload.size()) + " bytes",
                "shorten it to at most " + std::to_string(aState.mOptions.mMaxPayload) + " bytes");
  }
  actions result;
  ApplyIfNew(aState, aRumour, result, aNow);
  return result;
}

actions OnServerReport(state& aState, const server_id& aServer, start_epoch aEpoch, bool aLeaving,
                       time_point aNow)
{
  if (const auto found = aState.mServers.find(aServer); found != aState.mServers.end()) {
    SetServerEpoch(aState, found->second, aEpoch);
  }
  return aLeaving ? Spread(aState, ServerLeavingRumour(aServer, aEpoch), aNow) : actions{};
}

void BeginLeaving(state& aState)
{
  aState.mLeaving = true;
}

actions Leave(state& aState, const head_confirmation& aHead, time_point aNow,
              std::mt19937_64& aRandom)
{
  actions result;
  aState.mLeaving = true;
  aState.mNextRound = time_point::max();
  internal::Merge(aState, InstanceLeftRumour(aState.mSelf, aState.mEpoch), aNow);
  for (const member* peer : PickPeers(aState, kLeavePeers, true, aRandom)) {
    result.mSend.push_back(
      { peer->mId, peer->mPeerAddress, MakeMessage(aState, aHead, false, aNow) });
  }
  return result;
}

probe_counts CountProbes(const state& aState, time_point aNow)
{
  probe_counts counts;
  for (const probe& each : aState.mProbes) {
    const duration age = aNow - each.mSentAt;
    if (age > aState.mOptions.mProbeWindow ||
        (!each.mAnswered && age < aState.mOptions.mAnswerTimeout)) {
      continue;
    }
    ++counts.mCountedProbes;
    counts.mAnsweredProbes += each.mAnswered ? 1 : 0;
    counts.mAnsweredStoreReachable += each.mAnswered && each.mStoreReachable ? 1 : 0;
  }
  return counts;
}

bool IsLeaving(const server& aServer)
{
  const auto appliesToCurrentEpoch = [&aServer](start_epoch aEpoch) {
    return aEpoch.Value() == 0 || aServer.mEpoch.Value() == 0 || aEpoch == aServer.mEpoch;
  };
  return (aServer.mLeavingEpoch && appliesToCurrentEpoch(*aServer.mLeavingEpoch)) ||
         (aServer.mListedLeaving && appliesToCurrentEpoch(aServer.mListedLeavingEpoch));
}

std::vector<const member*> LiveMembers(const state& aState)
{
  std::vector<const member*> live;
  for (const auto& [id, each] : aState.mMembers) {
    if (!each.mLeft && !each.mLeaving) {
      live.push_back(&each);
    }
  }
  return live;
}

} // namespace tamarackweir::membership
