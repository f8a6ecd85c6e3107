#pragma once

#include "base/clock.h"
#include "billing/record.h"
#include "platform/table.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarackweir::billing {

/// Identifies an operation of this instance: a copy, an object write or a table operation.
using operation_id = strong_type<struct bill_operation_tag, std::uint64_t>;

/// Limits and timeouts of billing. Sizes are numbers of records, not bytes.
struct options
{
  duration mCopyBatchDelay = 20ms;      ///< maximum wait of a record for a full copy batch
  std::size_t mCopyBatchSize = 200;     ///< a batch of this size is sent without delay
  std::size_t mMaxCopiesInFlight = 16;  ///< unacknowledged batches; bounds a burst
  duration mCopyAckTimeout = 100ms;     ///< without an acknowledgement, the next peer is tried
  duration mReleaseTimeout = 250ms;     ///< without a copy by then, the answer is released at risk
  std::size_t mMaxAtRiskRecords = 1000; ///< `bill_at_risk_records`
  std::size_t mMaxBufferedRecords = 200000; ///< `bill_buffer_records`, own records and copies
  duration mSettleInterval = 10s;
  std::size_t mSettleBatchSize = 1000;  ///< a batch of this size is written without delay
  duration mStoreRetryDelay = 1s;       ///< between attempts of a store operation
  duration mStoreTimeout = 5s;          ///< a store operation without a reply counts as failed
  duration mOriginSilenceTimeout = 60s; ///< a holder then reads the silent origin's watermark
  duration mPeerPenalty = 5s; ///< a peer that missed an acknowledgement is last for this long
  /// Tests disable these to show the failures that they prevent.
  bool mCopyBeforeRelease = true;
  bool mRecoverCopies = true;
};

/// An instance that can hold copies of bill records.
struct peer
{
  origin_id mId;
  data_centre_id mDataCentre;

  bool operator==(const peer&) const = default;
};

/// Records of one origin, sent to a copy holder. Without records it only reports `mSettledUpTo`.
struct copy_batch
{
  origin_id mOrigin;
  operation_id mBatchId;
  sequence_number mSettledUpTo; ///< all records up to here are in the object store
  std::vector<record> mRecords;

  bool operator==(const copy_batch&) const = default;
};

/// A copy holder's reply to one batch.
struct copy_ack
{
  origin_id mHolder;
  origin_id mOrigin;
  operation_id mBatchId;
  bool mAccepted = false; ///< false if the holder's buffer is full

  bool operator==(const copy_ack&) const = default;
};

/// Encode and decode the messages between peers (protobuf). Decoding throws `error` of kind
/// `InvalidInput`.
std::string EncodeCopy(const copy_batch& aBatch);
copy_batch DecodeCopy(std::string_view aBytes);
std::string EncodeAck(const copy_ack& aAck);
copy_ack DecodeAck(std::string_view aBytes);

/// Result of an object write.
enum class object_status
{
  Stored,
  Unreachable, ///< the object was not written
  Unknown,     ///< the reply was lost; the object may be stored
};

/// Send a copy batch to the named peer.
struct send_copy
{
  origin_id mRecipient;
  copy_batch mBatch;
};

/// Send an acknowledgement to the origin of the batch.
struct send_ack
{
  origin_id mRecipient;
  copy_ack mAck;
};

/// Send the caller the last bytes of the answer, which were held back.
struct release_action
{
  sequence_number mSequence;
  bool mAtRisk = false; ///< no copy is acknowledged yet
};

/// Write an object; report the result with `OnObject`. A retry of a key has the same body.
struct object_action
{
  operation_id mOperation;
  std::string mKey;
  std::string mBody;
};

/// Commit a table transaction; report the result with `OnCommit`.
struct commit_action
{
  operation_id mOperation;
  platform::transaction mTransaction;
};

/// Read table rows; report the result with `OnRead`.
struct read_action
{
  operation_id mOperation;
  platform::read_request mRequest;
};

/// The I/O that the caller performs after an event.
struct actions
{
  std::vector<send_copy> mCopies;
  std::vector<send_ack> mAcks;
  std::vector<release_action> mReleases;
  std::vector<object_action> mObjects;
  std::vector<commit_action> mCommits;
  std::vector<read_action> mReads;
};

/// Whether a new request is admitted, or why it is refused with `not_run`.
enum class admission
{
  Admitted,
  AtRiskFull, ///< too many answers were released at risk, or one is overdue
  BufferFull, ///< too many records wait for the object store
};

/// Returns the name of an admission result, as problem types contain it.
const char* ToString(admission aAdmission);

namespace internal {

/// A record in its wire form. It takes a third of the memory of a `record`, which matters because
/// the buffers grow during a store outage.
using packed_record = std::string;

struct own_record
{
  packed_record mRecord;
  time_point mAddedAt{};
  std::uint64_t mHolderHash = 0; ///< hash of the id of the copy holder; valid if `mCopied`
  bool mReleased = false;
  bool mCopied = false;
};

struct copy_in_flight
{
  origin_id mPeer;
  std::vector<sequence_number> mSequences;
  sequence_number mSettledUpTo; ///< as the batch reported it
  time_point mSentAt{};
  bool mRequeued = false; ///< records are queued for another peer; a late ack counts
};

/// Records to write as one object. The body is fixed, so that a retry stores the same bytes.
struct settlement_batch
{
  std::string mKey;
  std::string mBody;
  sequence_number mLastSequence;
  operation_id mOperation;   ///< 0 if no write is in flight
  time_point mNextWriteAt{}; ///< next attempt; while a write is in flight, its timeout
};

/// Copies that this instance holds for one origin.
struct held_copies
{
  std::map<sequence_number, packed_record> mRecords;
  sequence_number mSettledUpTo;
  bool mOriginRemoved = false; ///< the origin left the membership: write the copies
  bool mWatermarkRead = false; ///< since the origin was reported removed
  operation_id mReadOperation; ///< 0 if no read is in flight
  time_point mLastHeardAt{};   ///< last copy, settlement report or watermark read
  time_point mNextReadAt{};    ///< next attempt; while a read is in flight, its timeout
  std::optional<settlement_batch> mBatch;
};

} // namespace internal

/// Billing state of one instance.
struct state
{
  options mOptions;
  origin_id mSelf;
  data_centre_id mDataCentre;
  std::vector<peer> mPeers; ///< in order of preference as copy holders
  std::map<origin_id, time_point> mPenalisedUntil;
  std::uint64_t mNextOperation = 1;
  std::uint64_t mNextUnkeyedCounter = 1;
  std::uint64_t mNextSequence = 1;
  std::map<sequence_number, internal::own_record> mOwnRecords; ///< not in the object store yet
  std::set<sequence_number> mUnreleased;
  std::set<sequence_number> mCopyQueue;   ///< records of held answers; copied first
  std::set<sequence_number> mRecopyQueue; ///< records of released answers
  std::size_t mAtRiskCount = 0;           ///< released, neither copied nor in the object store
  std::size_t mOverdueCount = 0;          ///< held although `mReleaseTimeout` has passed
  std::map<operation_id, internal::copy_in_flight> mSentCopies;
  std::size_t mCopiesInFlight = 0; ///< of those, the ones not requeued
  /// Highest sequence sent to each holder. Settlement is reported to it until that is covered.
  std::map<origin_id, sequence_number> mLastSentToHolder;
  time_point mNextSettleAt{};
  std::optional<internal::settlement_batch> mBatch;
  sequence_number mSettledUpTo;     ///< own records up to here are in the object store
  sequence_number mStoredWatermark; ///< value that the table is known to hold
  sequence_number mPendingWatermark;
  operation_id mWatermarkOperation; ///< 0 if none is in flight
  time_point mNextWatermarkAt{};
  bool mDraining = false;
  std::map<origin_id, internal::held_copies> mHeldCopies;
  std::size_t mHeldRecordCount = 0;
  std::set<origin_id> mRemovedOrigins;
  std::uint64_t mNextCopyObject = 1;
};

/// Returns the state of an instance that starts now, without records from an earlier run.
state Start(const options& aOptions, const origin_id& aSelf, const data_centre_id& aDataCentre,
            time_point aNow);

/// Returns the id of the next request without an idempotency key.
request_id NextUnkeyedId(state& aState);

/// Whether a request may start. Call it before dispatch, so that `not_run` holds for a refusal.
admission CheckAdmission(const state& aState);

/// Adds the record of an answer whose last bytes are held back. A `release_action` refers to it by
/// the returned sequence.
sequence_number Add(state& aState, record aRecord, time_point aNow, actions& aOut);

/// Sets the live instances that can hold copies. This one may be listed; leaving ones must not, so
/// that records are copied elsewhere before a holder exits. Records whose holder is no longer
/// listed are copied again. An instance missing here is not treated as removed.
void OnPeers(state& aState, const std::vector<peer>& aPeers, time_point aNow, actions& aOut);

/// Handles a copy batch from a peer; it may be late or a duplicate.
void OnCopy(state& aState, const copy_batch& aBatch, time_point aNow, actions& aOut);

/// Handles a holder's acknowledgement; it may be late or a duplicate.
void OnCopyAck(state& aState, const copy_ack& aAck, time_point aNow, actions& aOut);

/// Handles a report by membership that an origin is lost for good or has left. Writes its copies to
/// the store. If the report is wrong, records are stored twice and the bill counts them once.
void OnOriginRemoved(state& aState, const origin_id& aOrigin, time_point aNow, actions& aOut);

/// Handles the result of an object write.
void OnObject(state& aState, operation_id aOperation, object_status aStatus, time_point aNow,
              actions& aOut);

/// Handles the result of a transaction.
void OnCommit(state& aState, operation_id aOperation, const platform::commit_result& aResult,
              time_point aNow, actions& aOut);

/// Handles the result of a read.
void OnRead(state& aState, operation_id aOperation, const platform::read_result& aResult,
            time_point aNow, actions& aOut);

/// Performs due copies, releases, batch and watermark writes, and recovery. Call it every 5 ms.
void Tick(state& aState, time_point aNow, actions& aOut);

/// Starts to settle all records without waiting for the interval, for a graceful shutdown.
void Drain(state& aState, time_point aNow, actions& aOut);

/// Returns true if every own record is settled or held by a peer and every copy of a removed origin
/// is written, so that the instance can leave. Peers call `OnOriginRemoved` once it has left.
bool IsDrained(const state& aState);

/// Returns the number of own records and copies in memory.
std::size_t CountBuffered(const state& aState);

/// Returns the table key of an origin's watermark.
std::string WatermarkKey(const origin_id& aOrigin);

} // namespace tamarackweir::billing
