#include "capacity/capacity.h"

#include "base/digest.h"
#include "capacity/internal.h"

#include <algorithm>

namespace tamarackweir::capacity {

namespace {

// A contender without credit requests for this long stops reading the row.
constexpr duration kContendTimeout = 5s;
// After this time without an answer, a write is verified by reading the row.
constexpr duration kWriteTimeout = 2s;

bool IsHeldBySelf(const state& aState, const lease_row& aRow)
{
  return aRow.mHolder == internal::HolderName(aState);
}

bool IsSameLease(const lease_row& aLeft, const lease_row& aRight)
{
  return aLeft.mHolder == aRight.mHolder && aLeft.mFencingNumber == aRight.mFencingNumber &&
         aLeft.mRenewal == aRight.mRenewal;
}

lease_row ParseLeaseRow(const platform::row* aRow)
{
  lease_row parsed;
  if (aRow == nullptr || aRow->mVersion == 0) {
    return parsed;
  }
  parsed.mVersion = aRow->mVersion;
  parsed.mHolder = aRow->mValue.value("holder", "");
  parsed.mFencingNumber = fencing_number(aRow->mValue.value("epoch", std::uint64_t{ 0 }));
  parsed.mRenewal = aRow->mValue.value("renewal", std::uint64_t{ 0 });
  return parsed;
}

void WriteLeaseRow(server_state& aServer, const server_id& aId, lease_row aWanted,
                   actions& aActions, time_point aNow)
{
  const std::string key = internal::RowKey(aId);
  platform::transaction transaction;
  transaction.mExpect.push_back({ key, aServer.mRow->mVersion });
  transaction.mPut.push_back({ key,
                               { { "holder", aWanted.mHolder },
                                 { "epoch", aWanted.mFencingNumber.Value() },
                                 { "renewal", aWanted.mRenewal } } });
  aServer.mPendingWrite = pending_write{ std::move(aWanted), aNow, false };
  aActions.mWrites.push_back({ aId, std::move(transaction) });
}

void StartHolding(const state& aState, const server_id& aId, server_state& aServer,
                  fencing_number aFencingNumber, time_point aRenewedAt, actions& aActions,
                  time_point aNow)
{
  held_lease held;
  held.mFencingNumber = aFencingNumber;
  held.mTakenAt = aNow;
  held.mRenewedAt = aRenewedAt;
  held.mUncreditedEndBy =
    aNow + aState.mOptions.mCreditLifetime + aState.mOptions.mMaxRequestDuration;
  held.mLastAskAt = aNow;
  held.mMayGrant = !aState.mOptions.mWaitAfterTakeOver;
  aServer.mHeldLease = std::move(held);
  aServer.mHolder = aState.mSelf;
  aServer.mHolderFencingNumber = aFencingNumber;
  aActions.mAnnouncements.push_back({ aId, aServer.mReport.mEpoch, aState.mSelf, aFencingNumber });
}

// Applies the pending write after it is known to have committed.
void ApplyCommittedWrite(const state& aState, const server_id& aId, server_state& aServer,
                         actions& aActions, time_point aNow)
{
  const pending_write committed = *aServer.mPendingWrite;
  aServer.mPendingWrite.reset();
  if (!IsHeldBySelf(aState, committed.mWanted)) {
    return; // The write released the lease.
  }
  if (!aServer.mHeldLease) {
    StartHolding(aState, aId, aServer, committed.mWanted.mFencingNumber, committed.mSentAt,
                 aActions, aNow);
  } else {
    aServer.mHeldLease->mRenewedAt = std::max(aServer.mHeldLease->mRenewedAt, committed.mSentAt);
  }
}

// Applies the row as read or as returned by a write conflict.
void ApplyLeaseRow(const state& aState, const server_id& aId, server_state& aServer, lease_row aRow,
                   actions& aActions, time_point aNow)
{
  const bool changed = !aServer.mRow || !IsSameLease(*aServer.mRow, aRow);
  aRow.mUnchangedSince = changed ? aNow : aServer.mRow->mUnchangedSince;
  aServer.mRow = aRow;
  aServer.mRowReadAt = aNow;
  if (aServer.mPendingWrite && aServer.mPendingWrite->mNeedsReadBack) {
    if (IsSameLease(aServer.mPendingWrite->mWanted, aRow)) {
      ApplyCommittedWrite(aState, aId, aServer, aActions, aNow);
    } else {
      // Not committed. If the write still arrives, its expected version mismatches or a later read
      // shows the result.
      aServer.mPendingWrite.reset();
    }
  }
  const bool heldBySelf = IsHeldBySelf(aState, aRow);
  if (aServer.mHeldLease &&
      (!heldBySelf || aRow.mFencingNumber != aServer.mHeldLease->mFencingNumber)) {
    aServer.mHeldLease.reset();
    aServer.mHolder = {};
  }
  if (heldBySelf && !aServer.mHeldLease && !aServer.mPendingWrite) {
    // An earlier write of this instance committed late. When it was sent is unknown, so no credit
    // is granted before the next renewal.
    StartHolding(aState, aId, aServer, aRow.mFencingNumber, time_point{}, aActions, aNow);
  }
  if (!heldBySelf && !aRow.mHolder.empty()) {
    aServer.mHolder = instance_id(aRow.mHolder.substr(0, aRow.mHolder.rfind('#')));
    aServer.mHolderFencingNumber = aRow.mFencingNumber;
  }
}

void RenewOrRelease(const state& aState, const server_id& aId, server_state& aServer,
                    actions& aActions, time_point aNow)
{
  const bool needed =
    aServer.mCold && aNow - aServer.mHeldLease->mLastAskAt < aState.mOptions.mIdleReleaseTimeout;
  lease_row wanted = *aServer.mRow;
  wanted.mRenewal += 1;
  if (!needed) {
    wanted.mHolder.clear();
    // From here on no credits are granted, whether or not the write succeeds.
    aServer.mHeldLease.reset();
    aServer.mHolder = {};
    aServer.mContending = false;
  } else if (aNow - aServer.mHeldLease->mRenewedAt < aState.mOptions.mRenewInterval) {
    return;
  }
  WriteLeaseRow(aServer, aId, std::move(wanted), aActions, aNow);
}

void TakeOver(const state& aState, const server_id& aId, server_state& aServer, actions& aActions,
              time_point aNow)
{
  const lease_row& row = *aServer.mRow;
  const bool expired =
    aNow - row.mUnchangedSince >= aState.mOptions.mLeaseDuration + aState.mOptions.mLeaseMargin;
  if (!row.mHolder.empty() && !expired) {
    return;
  }
  lease_row wanted = row;
  wanted.mHolder = internal::HolderName(aState);
  wanted.mFencingNumber = fencing_number(row.mFencingNumber.Value() + 1);
  wanted.mRenewal = row.mRenewal + 1;
  WriteLeaseRow(aServer, aId, std::move(wanted), aActions, aNow);
}

} // namespace

namespace internal {

std::string RowKey(const server_id& aServer)
{
  return "cold/" + aServer.Value();
}

std::string HolderName(const state& aState)
{
  return aState.mSelf.Value() + "#" + std::to_string(aState.mEpoch.Value());
}

void TickLease(state& aState, const server_id& aServer, server_state& aServerState,
               actions& aActions, time_point aNow)
{
  server_state& server = aServerState;
  if (!server.mHeldLease) {
    server.mContending =
      server.mContending && server.mCold && aNow - server.mLastWantedAt < kContendTimeout;
  }
  if (server.mPendingWrite && !server.mPendingWrite->mNeedsReadBack &&
      aNow - server.mPendingWrite->mSentAt >= kWriteTimeout) {
    server.mPendingWrite->mNeedsReadBack = true;
  }
  if (!server.mHeldLease && !server.mContending && !server.mPendingWrite) {
    return;
  }
  const bool rowUncertain = !server.mRow || !server.mRow->mVersionKnown ||
                            (server.mPendingWrite && server.mPendingWrite->mNeedsReadBack);
  const bool pollsRow = !server.mHeldLease && !server.mPendingWrite;
  const duration wait =
    rowUncertain ? aState.mOptions.mReadInterval / 4 : aState.mOptions.mReadInterval;
  if ((rowUncertain || pollsRow) && (!server.mRow || aNow - server.mRowReadAt >= wait)) {
    // Set when the read starts, so that an outage does not increase the read rate.
    server.mRowReadAt = aNow;
    aActions.mReadKeys.push_back(RowKey(aServer));
  }
  if (rowUncertain || server.mPendingWrite || aNow < server.mNextWriteAt) {
    return;
  }
  if (server.mHeldLease) {
    RenewOrRelease(aState, aServer, server, aActions, aNow);
  } else if (server.mContending) {
    TakeOver(aState, aServer, server, aActions, aNow);
  }
}

} // namespace internal

actions OnLeaseWritten(state& aState, const server_id& aServer,
                       const platform::commit_result& aResult, time_point aNow)
{
  actions result;
  const auto found = aState.mServers.find(aServer);
  if (found == aState.mServers.end() || !found->second.mPendingWrite) {
    return result;
  }
  server_state& server = found->second;
  switch (aResult.mStatus) {
    case platform::commit_status::Committed: {
      lease_row written = server.mPendingWrite->mWanted;
      written.mVersionKnown = false;
      written.mUnchangedSince = aNow;
      server.mRow = written;
      server.mRowReadAt = {};
      ApplyCommittedWrite(aState, aServer, server, result, aNow);
      break;
    }
    case platform::commit_status::Conflict:
      server.mPendingWrite.reset();
      if (!aResult.mConflicts.empty()) {
        ApplyLeaseRow(aState, aServer, server, ParseLeaseRow(&aResult.mConflicts.front()), result,
                      aNow);
      }
      break;
    case platform::commit_status::Unreachable:
      server.mPendingWrite.reset();
      server.mNextWriteAt = aNow + aState.mOptions.mRenewInterval / 2;
      break;
    case platform::commit_status::Unknown:
      server.mPendingWrite->mNeedsReadBack = true;
      break;
  }
  return result;
}

actions OnLeaseRowsRead(state& aState, const std::vector<std::string>& aKeys,
                        const platform::read_result& aResult, time_point aNow)
{
  actions result;
  if (!aResult.mReachable) {
    return result;
  }
  for (auto& [id, server] : aState.mServers) {
    const std::string key = internal::RowKey(id);
    // A row that is read during a write may predate the write.
    const bool writePending = server.mPendingWrite && !server.mPendingWrite->mNeedsReadBack;
    if (!writePending && std::find(aKeys.begin(), aKeys.end(), key) != aKeys.end()) {
      ApplyLeaseRow(aState, id, server, ParseLeaseRow(Find(aResult, key)), result, aNow);
    }
  }
  return result;
}

std::vector<instance_id> LeaseCandidates(const state& aState, const server_id& aServer)
{
  const std::uint64_t seed = StableHash(aServer.Value());
  std::vector<std::pair<std::uint64_t, instance_id>> ranked;
  bool selfListed = false;
  for (const instance_id& each : aState.mLiveInstances) {
    selfListed = selfListed || each == aState.mSelf;
    ranked.emplace_back(StableHash(each.Value(), seed), each);
  }
  if (!selfListed) {
    ranked.emplace_back(StableHash(aState.mSelf.Value(), seed), aState.mSelf);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<instance_id> ordered;
  ordered.reserve(ranked.size());
  for (auto& [weight, id] : ranked) {
    ordered.push_back(std::move(id));
  }
  return ordered;
}

} // namespace tamarackweir::capacity
