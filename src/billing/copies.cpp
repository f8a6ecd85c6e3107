#include "base/digest.h"
#include "billing/internal.h"

#include <algorithm>
#include <tuple>

namespace tamarackweir::billing {

using namespace internal;

namespace internal {

namespace {

// A later acknowledgement is ignored; the records were copied again in the meantime.
constexpr duration kLateAckTimeout = 5s;

/// Returns the first peer in order without a penalty, or else the one whose penalty ends first.
const peer* ChoosePeer(const state& aState, time_point aNow)
{
  const peer* best = nullptr;
  time_point bestEnd{};
  for (const peer& candidate : aState.mPeers) {
    const auto penalty = aState.mPenalisedUntil.find(candidate.mId);
    if (penalty == aState.mPenalisedUntil.end() || penalty->second <= aNow) {
      return &candidate;
    }
    if (best == nullptr || penalty->second < bestEnd) {
      best = &candidate;
      bestEnd = penalty->second;
    }
  }
  return best;
}

std::uint64_t HashOf(const origin_id& aId)
{
  return StableHash(ToString(aId));
}

void QueueForCopy(state& aState, sequence_number aSequence)
{
  const auto found = aState.mOwnRecords.find(aSequence);
  if (found != aState.mOwnRecords.end() && !found->second.mCopied) {
    (found->second.mReleased ? aState.mRecopyQueue : aState.mCopyQueue).insert(aSequence);
  }
}

/// Requeues the records of a copy that was refused or timed out, and penalises its peer.
void RequeueCopy(state& aState, copy_in_flight& aCopy, time_point aNow)
{
  if (!aCopy.mRequeued) {
    aCopy.mRequeued = true;
    --aState.mCopiesInFlight;
    aState.mPenalisedUntil[aCopy.mPeer] = aNow + aState.mOptions.mPeerPenalty;
    for (const sequence_number sequence : aCopy.mSequences) {
      QueueForCopy(aState, sequence);
    }
  }
}

void MoveToBatch(state& aState, std::set<sequence_number>& aFrom, copy_batch& aBatch,
                 std::vector<sequence_number>& aMoved)
{
  while (!aFrom.empty() && aMoved.size() < aState.mOptions.mCopyBatchSize) {
    const sequence_number sequence = *aFrom.begin();
    aFrom.erase(aFrom.begin());
    aMoved.push_back(sequence);
    aBatch.mRecords.push_back(Unpack(aState.mOwnRecords.at(sequence).mRecord, aState.mSelf));
  }
}

void SendBatch(state& aState, const origin_id& aPeer, copy_batch aBatch,
               std::vector<sequence_number> aSequences, time_point aNow, actions& aOut)
{
  ++aState.mCopiesInFlight;
  if (!aSequences.empty()) {
    sequence_number& last = aState.mLastSentToHolder[aPeer];
    last = std::max(last, *std::max_element(aSequences.begin(), aSequences.end()));
  }
  aState.mSentCopies[aBatch.mBatchId] = { .mPeer = aPeer,
                                          .mSequences = std::move(aSequences),
                                          .mSettledUpTo = aBatch.mSettledUpTo,
                                          .mSentAt = aNow };
  aOut.mCopies.push_back({ aPeer, std::move(aBatch) });
}

bool IsCopyDue(const state& aState, time_point aNow)
{
  if (aState.mCopyQueue.size() + aState.mRecopyQueue.size() >= aState.mOptions.mCopyBatchSize ||
      !aState.mRecopyQueue.empty()) {
    return true;
  }
  return !aState.mCopyQueue.empty() && aState.mOwnRecords.at(*aState.mCopyQueue.begin()).mAddedAt +
                                           aState.mOptions.mCopyBatchDelay <=
                                         aNow;
}

} // namespace

void MarkSecured(state& aState, sequence_number aSequence, own_record& aRecord, actions& aOut)
{
  if (!aRecord.mReleased) {
    aRecord.mReleased = true;
    aState.mUnreleased.erase(aSequence);
    aOut.mReleases.push_back({ aSequence, false });
  } else if (!aRecord.mCopied) {
    --aState.mAtRiskCount;
  }
  aRecord.mCopied = true;
  aState.mCopyQueue.erase(aSequence);
  aState.mRecopyQueue.erase(aSequence);
}

void SendDueCopies(state& aState, time_point aNow, actions& aOut)
{
  for (auto it = aState.mSentCopies.begin(); it != aState.mSentCopies.end();) {
    if (it->second.mSentAt + aState.mOptions.mCopyAckTimeout <= aNow) {
      RequeueCopy(aState, it->second, aNow);
    }
    const bool expired = it->second.mSentAt + kLateAckTimeout <= aNow;
    it = expired ? aState.mSentCopies.erase(it) : std::next(it);
  }
  while (IsCopyDue(aState, aNow) && aState.mCopiesInFlight < aState.mOptions.mMaxCopiesInFlight) {
    const peer* chosen = ChoosePeer(aState, aNow);
    if (chosen == nullptr) {
      return;
    }
    copy_batch batch{ .mOrigin = aState.mSelf,
                      .mBatchId = NextOperation(aState),
                      .mSettledUpTo = aState.mSettledUpTo,
                      .mRecords = {} };
    std::vector<sequence_number> moved;
    MoveToBatch(aState, aState.mCopyQueue, batch, moved);
    MoveToBatch(aState, aState.mRecopyQueue, batch, moved);
    SendBatch(aState, chosen->mId, std::move(batch), std::move(moved), aNow, aOut);
  }
}

void ReportSettled(state& aState, time_point aNow, actions& aOut)
{
  for (const auto& [holder, last] : aState.mLastSentToHolder) {
    copy_batch report{ .mOrigin = aState.mSelf,
                       .mBatchId = NextOperation(aState),
                       .mSettledUpTo = aState.mSettledUpTo,
                       .mRecords = {} };
    SendBatch(aState, holder, std::move(report), {}, aNow, aOut);
  }
}

void ReleaseOverdueAnswers(state& aState, time_point aNow, actions& aOut)
{
  aState.mOverdueCount = 0;
  for (auto it = aState.mUnreleased.begin(); it != aState.mUnreleased.end();) {
    own_record& held = aState.mOwnRecords.at(*it);
    if (held.mAddedAt + aState.mOptions.mReleaseTimeout > aNow) {
      break;
    }
    if (aState.mAtRiskCount >= aState.mOptions.mMaxAtRiskRecords) {
      ++aState.mOverdueCount;
      ++it;
      continue;
    }
    held.mReleased = true;
    ++aState.mAtRiskCount;
    aOut.mReleases.push_back({ *it, true });
    if (aState.mCopyQueue.erase(*it) > 0) {
      aState.mRecopyQueue.insert(*it);
    }
    it = aState.mUnreleased.erase(it);
  }
}

} // namespace internal

sequence_number Add(state& aState, record aRecord, time_point aNow, actions& aOut)
{
  const sequence_number sequence(aState.mNextSequence++);
  aRecord.mOrigin = aState.mSelf;
  aRecord.mSequence = sequence;
  own_record added{ .mRecord = Pack(aRecord), .mAddedAt = aNow };
  if (aState.mOptions.mCopyBeforeRelease) {
    aState.mUnreleased.insert(sequence);
  } else {
    added.mReleased = true;
    ++aState.mAtRiskCount;
    aOut.mReleases.push_back({ sequence, true });
  }
  aState.mOwnRecords.emplace(sequence, std::move(added));
  aState.mCopyQueue.insert(sequence);
  SendDueCopies(aState, aNow, aOut);
  return sequence;
}

void OnPeers(state& aState, const std::vector<peer>& aPeers, time_point aNow, actions& aOut)
{
  std::set<origin_id> listed;
  std::set<std::uint64_t> hashes;
  std::vector<std::tuple<bool, std::uint64_t, peer>> order;
  for (const peer& candidate : aPeers) {
    if (candidate.mId == aState.mSelf) {
      continue;
    }
    listed.insert(candidate.mId);
    hashes.insert(HashOf(candidate.mId));
    // Peers in another data centre come first; the hash spreads the copies over the holders.
    order.emplace_back(candidate.mDataCentre == aState.mDataCentre,
                       StableHash(ToString(aState.mSelf) + "/" + ToString(candidate.mId)),
                       candidate);
  }
  std::sort(order.begin(), order.end(), [](const auto& aLeft, const auto& aRight) {
    return std::tie(std::get<0>(aLeft), std::get<1>(aLeft)) <
           std::tie(std::get<0>(aRight), std::get<1>(aRight));
  });
  aState.mPeers.clear();
  for (auto& entry : order) {
    aState.mPeers.push_back(std::move(std::get<2>(entry)));
  }
  std::erase_if(aState.mPenalisedUntil,
                [&](const auto& aEntry) { return !listed.contains(aEntry.first); });
  std::erase_if(aState.mLastSentToHolder,
                [&](const auto& aEntry) { return !listed.contains(aEntry.first); });
  for (auto& [sequence, own] : aState.mOwnRecords) {
    if (own.mCopied && !hashes.contains(own.mHolderHash)) {
      own.mCopied = false;
      ++aState.mAtRiskCount;
      aState.mRecopyQueue.insert(sequence);
    }
  }
  for (auto& [operation, copy] : aState.mSentCopies) {
    if (!listed.contains(copy.mPeer)) {
      RequeueCopy(aState, copy, aNow);
    }
  }
  for (const origin_id& id : listed) {
    if (aState.mRemovedOrigins.erase(id) > 0) {
      if (const auto held = aState.mHeldCopies.find(id); held != aState.mHeldCopies.end()) {
        held->second.mOriginRemoved = false;
        held->second.mWatermarkRead = false;
      }
    }
  }
  SendDueCopies(aState, aNow, aOut);
}

void OnCopyAck(state& aState, const copy_ack& aAck, time_point aNow, actions& aOut)
{
  const auto found = aState.mSentCopies.find(aAck.mBatchId);
  if (aAck.mOrigin != aState.mSelf || found == aState.mSentCopies.end() ||
      found->second.mPeer != aAck.mHolder) {
    return; // a duplicate, or an acknowledgement to a predecessor at this address
  }
  const bool listed = std::any_of(aState.mPeers.begin(), aState.mPeers.end(),
                                  [&](const peer& aPeer) { return aPeer.mId == aAck.mHolder; });
  if (!aAck.mAccepted || !listed) {
    RequeueCopy(aState, found->second, aNow);
    aState.mSentCopies.erase(found);
    SendDueCopies(aState, aNow, aOut);
    return;
  }
  const copy_in_flight copy = std::move(found->second);
  aState.mSentCopies.erase(found);
  if (!copy.mRequeued) {
    --aState.mCopiesInFlight;
  }
  aState.mPenalisedUntil.erase(copy.mPeer);
  for (const sequence_number sequence : copy.mSequences) {
    if (const auto own = aState.mOwnRecords.find(sequence);
        own != aState.mOwnRecords.end() && !own->second.mCopied) {
      MarkSecured(aState, sequence, own->second, aOut);
      own->second.mHolderHash = HashOf(copy.mPeer);
    }
  }
  if (const auto holder = aState.mLastSentToHolder.find(copy.mPeer);
      holder != aState.mLastSentToHolder.end() && holder->second <= copy.mSettledUpTo) {
    aState.mLastSentToHolder.erase(holder); // acknowledged that all records sent to it are settled
  }
  ReleaseOverdueAnswers(aState, aNow, aOut);
  SendDueCopies(aState, aNow, aOut);
}

} // namespace tamarackweir::billing
