#include "billing/bill.h"
#include "billing/internal.h"

#include <algorithm>

namespace tamarackweir::billing {

using namespace internal;
using platform::commit_status;

namespace {

std::string ObjectPrefix(const origin_id& aOrigin)
{
  return "bills/" + ToString(aOrigin) + "/";
}

std::string PadSequence(sequence_number aSequence)
{
  std::string digits = std::to_string(aSequence.Value());
  digits.insert(0, digits.size() < 12 ? 12 - digits.size() : 0, '0');
  return digits;
}

/// Returns a batch of the first records of a map, whose values `aToRecord` converts to records.
template<class Map, class Convert>
settlement_batch MakeBatch(const options& aOptions, const Map& aFrom, Convert aToRecord)
{
  settlement_batch made;
  std::vector<record> records;
  for (const auto& [sequence, entry] : aFrom) {
    if (records.size() == aOptions.mSettleBatchSize) {
      break;
    }
    records.push_back(aToRecord(entry));
    made.mLastSequence = sequence;
  }
  made.mBody = EncodeObject(records);
  return made;
}

/// Ends the write in flight. Returns true if the batch is stored; otherwise sets the next attempt.
bool FinishWrite(const options& aOptions, settlement_batch& aBatch, object_status aStatus,
                 time_point aNow)
{
  aBatch.mOperation = {};
  aBatch.mNextWriteAt = aNow + aOptions.mStoreRetryDelay;
  return aStatus == object_status::Stored;
}

void WriteWatermark(state& aState, time_point aNow, actions& aOut)
{
  if (aState.mStoredWatermark == aState.mSettledUpTo || aState.mNextWatermarkAt > aNow) {
    return; // up to date, in flight, or waiting for the next attempt
  }
  aState.mPendingWatermark = aState.mSettledUpTo;
  aState.mWatermarkOperation = NextOperation(aState);
  aState.mNextWatermarkAt = aNow + aState.mOptions.mStoreTimeout;
  // Write without a precondition: this run is the only writer of the row, and a delayed older value
  // only makes a copy holder write records twice.
  aOut.mCommits.push_back(
    { aState.mWatermarkOperation,
      { {},
        { { WatermarkKey(aState.mSelf), { { "sequence", aState.mSettledUpTo.Value() } } } },
        {} } });
}

} // namespace

namespace internal {

void WriteBatch(state& aState, settlement_batch& aBatch, time_point aNow, actions& aOut)
{
  if (aBatch.mNextWriteAt > aNow) {
    return;
  }
  aBatch.mOperation = NextOperation(aState);
  aBatch.mNextWriteAt = aNow + aState.mOptions.mStoreTimeout;
  aOut.mObjects.push_back({ aBatch.mOperation, aBatch.mKey, aBatch.mBody });
}

void SettleRecords(state& aState, time_point aNow, actions& aOut)
{
  const bool due = aState.mNextSettleAt <= aNow;
  if (due) {
    aState.mNextSettleAt = aNow + aState.mOptions.mSettleInterval;
    ReportSettled(aState, aNow, aOut);
  }
  const bool full = aState.mOwnRecords.size() >= aState.mOptions.mSettleBatchSize;
  if (!aState.mBatch && !aState.mOwnRecords.empty() && (due || full || aState.mDraining)) {
    aState.mBatch = MakeBatch(aState.mOptions, aState.mOwnRecords, [&](const own_record& aOwn) {
      return Unpack(aOwn.mRecord, aState.mSelf);
    });
    aState.mBatch->mKey =
      ObjectPrefix(aState.mSelf) + PadSequence(aState.mOwnRecords.begin()->first);
  }
  if (aState.mBatch) {
    WriteBatch(aState, *aState.mBatch, aNow, aOut);
  }
  WriteWatermark(aState, aNow, aOut);
}

void RecoverCopies(state& aState, time_point aNow, actions& aOut)
{
  for (auto it = aState.mHeldCopies.begin(); it != aState.mHeldCopies.end();) {
    auto& [origin, held] = *it;
    if (held.mRecords.empty() && !held.mBatch && held.mReadOperation == operation_id()) {
      it = aState.mHeldCopies.erase(it);
      continue;
    }
    // Settlement reports can be lost, and copies can arrive late or after a false report that the
    // origin or holder was removed. The watermark still shows which copies can be discarded.
    const bool silent = held.mLastHeardAt + aState.mOptions.mOriginSilenceTimeout <= aNow;
    const bool readDue = held.mOriginRemoved ? !held.mWatermarkRead : silent;
    if (readDue && held.mNextReadAt <= aNow) {
      held.mReadOperation = NextOperation(aState);
      held.mNextReadAt = aNow + aState.mOptions.mStoreTimeout;
      aOut.mReads.push_back({ held.mReadOperation, { { WatermarkKey(origin) }, "" } });
    }
    if (held.mOriginRemoved && held.mWatermarkRead && !held.mBatch && !held.mRecords.empty()) {
      held.mBatch =
        MakeBatch(aState.mOptions, held.mRecords,
                  [id = origin](const packed_record& aPacked) { return Unpack(aPacked, id); });
      held.mBatch->mKey = ObjectPrefix(origin) + "copy-" + ToString(aState.mSelf) + "-" +
                          std::to_string(aState.mNextCopyObject++);
    }
    if (held.mBatch) {
      WriteBatch(aState, *held.mBatch, aNow, aOut);
    }
    ++it;
  }
}

void DiscardCopies(state& aState, held_copies& aHeld, sequence_number aLast)
{
  const auto end = aHeld.mRecords.upper_bound(aLast);
  aState.mHeldRecordCount -= static_cast<std::size_t>(std::distance(aHeld.mRecords.begin(), end));
  aHeld.mRecords.erase(aHeld.mRecords.begin(), end);
}

} // namespace internal

std::string WatermarkKey(const origin_id& aOrigin)
{
  return "bill/watermark/" + ToString(aOrigin);
}

void OnCopy(state& aState, const copy_batch& aBatch, time_point aNow, actions& aOut)
{
  copy_ack ack{ aState.mSelf, aBatch.mOrigin, aBatch.mBatchId, true };
  if (CountBuffered(aState) + aBatch.mRecords.size() > aState.mOptions.mMaxBufferedRecords) {
    ack.mAccepted = false;
  }
  const auto known = aState.mHeldCopies.find(aBatch.mOrigin);
  if (known == aState.mHeldCopies.end() && (aBatch.mRecords.empty() || !ack.mAccepted)) {
    aOut.mAcks.push_back({ aBatch.mOrigin, ack });
    return;
  }
  held_copies& held = aState.mHeldCopies[aBatch.mOrigin];
  held.mLastHeardAt = aNow;
  held.mSettledUpTo = std::max(held.mSettledUpTo, aBatch.mSettledUpTo);
  DiscardCopies(aState, held, held.mSettledUpTo);
  if (ack.mAccepted) {
    for (const record& entry : aBatch.mRecords) {
      // A late or duplicate copy of a settled record would never be discarded.
      if (entry.mSequence > held.mSettledUpTo &&
          held.mRecords.try_emplace(entry.mSequence, Pack(entry)).second) {
        ++aState.mHeldRecordCount;
      }
    }
  }
  aOut.mAcks.push_back({ aBatch.mOrigin, ack });
  if (aState.mRemovedOrigins.contains(aBatch.mOrigin)) {
    held.mOriginRemoved = true; // the copy was in transit when its origin was removed
  }
  if (held.mRecords.empty() && !held.mBatch && held.mReadOperation == operation_id()) {
    aState.mHeldCopies.erase(aBatch.mOrigin);
  }
  RecoverCopies(aState, aNow, aOut);
}

void OnOriginRemoved(state& aState, const origin_id& aOrigin, time_point aNow, actions& aOut)
{
  if (!aState.mOptions.mRecoverCopies || aOrigin == aState.mSelf) {
    return;
  }
  aState.mRemovedOrigins.insert(aOrigin);
  if (const auto held = aState.mHeldCopies.find(aOrigin); held != aState.mHeldCopies.end()) {
    held->second.mOriginRemoved = true;
    held->second.mWatermarkRead = false;
    held->second.mNextReadAt = aNow;
  }
  RecoverCopies(aState, aNow, aOut);
}

void OnObject(state& aState, operation_id aOperation, object_status aStatus, time_point aNow,
              actions& aOut)
{
  if (aState.mBatch && aState.mBatch->mOperation == aOperation) {
    if (FinishWrite(aState.mOptions, *aState.mBatch, aStatus, aNow)) {
      const auto end = aState.mOwnRecords.upper_bound(aState.mBatch->mLastSequence);
      for (auto it = aState.mOwnRecords.begin(); it != end; ++it) {
        MarkSecured(aState, it->first, it->second, aOut);
      }
      aState.mOwnRecords.erase(aState.mOwnRecords.begin(), end);
      aState.mSettledUpTo = aState.mBatch->mLastSequence;
      aState.mBatch.reset();
      ReleaseOverdueAnswers(aState, aNow, aOut);
    }
    SettleRecords(aState, aNow, aOut);
    return;
  }
  for (auto& [origin, held] : aState.mHeldCopies) {
    if (held.mBatch && held.mBatch->mOperation == aOperation) {
      if (FinishWrite(aState.mOptions, *held.mBatch, aStatus, aNow)) {
        DiscardCopies(aState, held, held.mBatch->mLastSequence);
        held.mBatch.reset();
      }
      RecoverCopies(aState, aNow, aOut);
      return;
    }
  }
}

void OnCommit(state& aState, operation_id aOperation, const platform::commit_result& aResult,
              time_point aNow, actions& aOut)
{
  if (aState.mWatermarkOperation != aOperation) {
    return;
  }
  aState.mWatermarkOperation = {};
  if (aResult.mStatus == commit_status::Committed) {
    aState.mStoredWatermark = aState.mPendingWatermark;
    aState.mNextWatermarkAt = aNow;
  } else {
    aState.mNextWatermarkAt = aNow + aState.mOptions.mStoreRetryDelay;
  }
  WriteWatermark(aState, aNow, aOut);
}

void OnRead(state& aState, operation_id aOperation, const platform::read_result& aResult,
            time_point aNow, actions& aOut)
{
  for (auto& [origin, held] : aState.mHeldCopies) {
    if (held.mReadOperation != aOperation) {
      continue;
    }
    held.mReadOperation = {};
    held.mNextReadAt = aNow + aState.mOptions.mStoreRetryDelay;
    if (aResult.mReachable) {
      held.mWatermarkRead = held.mOriginRemoved;
      held.mLastHeardAt = aNow;
      if (const auto* row = Find(aResult, WatermarkKey(origin))) {
        held.mSettledUpTo = std::max(
          held.mSettledUpTo, sequence_number(row->mValue.value("sequence", std::uint64_t{ 0 })));
        DiscardCopies(aState, held, held.mSettledUpTo);
      }
    }
    RecoverCopies(aState, aNow, aOut);
    return;
  }
}

} // namespace tamarackweir::billing
