#include "claims/claims.h"

#include "base/digest.h"
#include "claims/internal.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace tamarackweir::claims {

using namespace internal;
using nlohmann::json;
using platform::commit_status;

namespace {

// A longer idempotency key is replaced by its digest, to keep the store's keys short.
constexpr std::size_t kMaxKeyBytes = 200;
// 430 instances are replaced a day; no caller retries a call whose holder has been gone for days.
constexpr std::size_t kMaxGoneInstances = 4096;

std::string Hex(std::uint64_t aNumber)
{
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.begin(), digits.end(), aNumber, 16).ptr;
  return { digits.begin(), end };
}

std::string Escape(const std::string& aText)
{
  std::string text;
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    const bool plain = (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') ||
                       (byte >= 'A' && byte <= 'Z') || byte == '-' || byte == '_' || byte == '.';
    if (plain) {
      text += character;
    } else {
      text += byte < 16 ? "%0" : "%";
      text += Hex(byte);
    }
  }
  return text;
}

claim_token MakeToken(const state& aState, std::uint64_t aNumber)
{
  return claim_token(aState.mInstance.Value() + "/" + Hex(aState.mEpoch.Value()) + "/" +
                     std::to_string(aNumber));
}

/// Instance and epoch of a token; empty strings if the token is malformed.
std::pair<std::string, std::string> HolderOf(const std::string& aToken)
{
  const auto last = aToken.rfind('/');
  const auto middle = last == std::string::npos || last == 0 ? last : aToken.rfind('/', last - 1);
  if (middle == std::string::npos || last == 0) {
    return {};
  }
  return { aToken.substr(0, middle), aToken.substr(middle + 1, last - middle - 1) };
}

void Decide(state& aState, std::uint64_t aNumber, claim_result aResult,
            std::optional<outcome> aOutcome, time_point aNow, actions& aOut)
{
  const auto found = aState.mCalls.find(aNumber);
  aState.mUndecidedCalls.erase(aNumber);
  if (aResult == claim_result::Proceed) {
    found->second.mPhase = phase::Owned;
  } else {
    if (found->second.mMayBeWritten) {
      AddRelease(aState, found->second, aNow);
    }
    aState.mCalls.erase(found);
  }
  aOut.mDecisions.push_back({ call_id(aNumber), aResult, std::move(aOutcome) });
}

void Requeue(state& aState, std::uint64_t aNumber)
{
  aState.mCalls.at(aNumber).mPhase = phase::Queued;
  aState.mQueue.push_front(aNumber);
  aState.mFlushNow = true;
}

void DecideFromRow(state& aState, std::uint64_t aNumber, const platform::row& aRow, time_point aNow,
                   actions& aOut)
{
  const open_call& open = aState.mCalls.at(aNumber);
  const std::string token = TextMember(aRow, "token");
  const std::string rowState = TextMember(aRow, "state");
  if (token == open.mToken.Value()) {
    Decide(aState, aNumber, claim_result::Proceed, {}, aNow, aOut);
  } else if (TextMember(aRow, "digest") != open.mCall.mDigest) {
    Decide(aState, aNumber, claim_result::KeyReused, {}, aNow, aOut);
  } else if (rowState == "done") {
    Decide(aState, aNumber, claim_result::Stored,
           DecodeOutcome(aRow.mValue.value("outcome", json())), aNow, aOut);
  } else {
    if (rowState == "claimed" && aState.mGoneInstances.contains(HolderOf(token))) {
      json value = aRow.mValue;
      value["state"] = "unknown";
      aOut.mCommits.push_back(
        { StartOperation(aState, { .mKind = operation_kind::Recover, .mItems = {} }, aNow),
          { { { aRow.mKey, aRow.mVersion } }, { { aRow.mKey, value } }, {} } });
    }
    Decide(aState, aNumber, claim_result::Unknown, {}, aNow, aOut);
  }
}

/// Commits the next groups that are full or whose window has passed.
void FlushGroup(state& aState, time_point aNow, actions& aOut)
{
  while (aState.mClaimCommitsInFlight < aState.mOptions.mMaxInFlight && !aState.mQueue.empty()) {
    std::erase_if(aState.mQueue, [&](std::uint64_t aNumber) {
      const auto found = aState.mCalls.find(aNumber);
      return found == aState.mCalls.end() || found->second.mPhase != phase::Queued;
    });
    const bool windowPassed =
      std::any_of(aState.mQueue.begin(), aState.mQueue.end(), [&](std::uint64_t aNumber) {
        return aState.mCalls.at(aNumber).mRequestedAt + aState.mOptions.mWindow <= aNow;
      });
    if (!windowPassed && !aState.mFlushNow && aState.mQueue.size() < aState.mOptions.mMaxRows) {
      return;
    }
    aState.mFlushNow = false;
    operation group{ .mKind = operation_kind::Claim, .mItems = {} };
    platform::transaction transaction;
    json listed = json::array();
    std::set<std::string> keys;
    std::deque<std::uint64_t> remaining;
    for (const std::uint64_t number : aState.mQueue) {
      open_call& open = aState.mCalls.at(number);
      const std::string key = ClaimKey(open.mCall.mAccount, open.mCall.mKey);
      // Calls with the same key must be in different transactions: in one, both would expect an
      // absent row, and both would commit.
      if (group.mItems.size() == aState.mOptions.mMaxRows || !keys.insert(key).second) {
        remaining.push_back(number);
        continue;
      }
      open.mPhase = phase::Committing;
      group.mItems.push_back(number);
      transaction.mExpect.push_back({ key, 0 });
      transaction.mPut.push_back({ key, ClaimValue(open.mCall, open.mToken, "claimed") });
      listed.push_back({ key, open.mToken.Value() });
    }
    aState.mQueue = std::move(remaining);
    if (group.mItems.empty()) {
      return;
    }
    ++aState.mClaimCommitsInFlight;
    ++aState.mCounters.mTransactions;
    aState.mCounters.mRows += group.mItems.size();
    const operation_id operation = StartOperation(aState, std::move(group), aNow);
    transaction.mPut.push_back(
      { GroupKey(aState, operation.Value(), aNow), json{ { "claims", listed } } });
    aOut.mCommits.push_back({ operation, std::move(transaction) });
  }
}

void OnClaimCommit(state& aState, const operation& aOperation,
                   const platform::commit_result& aResult, time_point aNow, actions& aOut)
{
  --aState.mClaimCommitsInFlight;
  std::vector<std::uint64_t> toRequeue;
  for (const std::uint64_t number : aOperation.mItems) {
    const auto found = aState.mCalls.find(number);
    if (found == aState.mCalls.end() || found->second.mPhase != phase::Committing) {
      continue;
    }
    open_call& open = found->second;
    switch (aResult.mStatus) {
      case commit_status::Committed:
        Decide(aState, number, claim_result::Proceed, {}, aNow, aOut);
        break;
      case commit_status::Unreachable:
        Decide(aState, number, claim_result::NotRun, {}, aNow, aOut);
        break;
      case commit_status::Unknown:
        open.mMayBeWritten = true;
        if (aState.mOptions.mReadBack) {
          open.mPhase = phase::ReadBack;
          open.mRetryAt = aNow;
        } else {
          Decide(aState, number, claim_result::Proceed, {}, aNow, aOut);
        }
        break;
      case commit_status::Conflict: {
        const std::string key = ClaimKey(open.mCall.mAccount, open.mCall.mKey);
        const auto conflict =
          std::find_if(aResult.mConflicts.begin(), aResult.mConflicts.end(),
                       [&](const platform::row& aRow) { return aRow.mKey == key; });
        if (conflict == aResult.mConflicts.end() || conflict->mVersion == 0) {
          toRequeue.push_back(number);
        } else {
          DecideFromRow(aState, number, *conflict, aNow, aOut);
        }
        break;
      }
    }
  }
  std::for_each(toRequeue.rbegin(), toRequeue.rend(),
                [&](std::uint64_t aNumber) { Requeue(aState, aNumber); });
}

void OnReadBack(state& aState, const operation& aOperation, const platform::read_result& aResult,
                time_point aNow, actions& aOut)
{
  for (const std::uint64_t number : aOperation.mItems) {
    const auto found = aState.mCalls.find(number);
    if (found == aState.mCalls.end() || found->second.mPhase != phase::ReadBack) {
      continue;
    }
    open_call& open = found->second;
    open.mReadBackInFlight = false;
    if (!aResult.mReachable) {
      open.mRetryAt = aNow + aState.mOptions.mRetryDelay;
    } else if (const auto* row = Find(aResult, ClaimKey(open.mCall.mAccount, open.mCall.mKey))) {
      DecideFromRow(aState, number, *row, aNow, aOut);
    } else {
      // The write was lost or is delayed. The repeated write has the same token, so that this call
      // becomes the holder whichever of the two commits.
      Requeue(aState, number);
    }
  }
}

void ReadBackStep(state& aState, time_point aNow, actions& aOut)
{
  operation readBack{ .mKind = operation_kind::ReadBack, .mItems = {} };
  platform::read_request request;
  for (const std::uint64_t number : aState.mUndecidedCalls) {
    open_call& open = aState.mCalls.at(number);
    if (open.mPhase == phase::ReadBack && !open.mReadBackInFlight && open.mRetryAt <= aNow) {
      open.mReadBackInFlight = true;
      readBack.mItems.push_back(number);
      request.mKeys.push_back(ClaimKey(open.mCall.mAccount, open.mCall.mKey));
    }
  }
  if (!readBack.mItems.empty()) {
    ++aState.mCounters.mReadBacks;
    aOut.mReads.push_back(
      { StartOperation(aState, std::move(readBack), aNow), std::move(request) });
  }
}

void ExpireOperations(state& aState, time_point aNow, actions& aOut)
{
  std::vector<std::uint64_t> expired;
  for (const auto& [number, open] : aState.mOperations) {
    if (open.mStartedAt + aState.mOptions.mAnswerTimeout <= aNow) {
      expired.push_back(number);
    }
  }
  for (const std::uint64_t number : expired) {
    const auto kind = aState.mOperations.at(number).mKind;
    if (kind == operation_kind::ReadBack || kind == operation_kind::ReleaseRead ||
        kind == operation_kind::SweepIndex || kind == operation_kind::SweepRows) {
      OnRead(aState, operation_id(number), {}, aNow, aOut);
    } else {
      OnCommit(aState, operation_id(number), { commit_status::Unknown, {} }, aNow, aOut);
    }
  }
}

void ExpireCalls(state& aState, time_point aNow, actions& aOut)
{
  std::vector<std::uint64_t> expired;
  for (const std::uint64_t number : aState.mUndecidedCalls) {
    open_call& open = aState.mCalls.at(number);
    if (open.mRequestedAt + aState.mOptions.mClaimTimeout <= aNow || open.mCall.mDeadline <= aNow) {
      open.mMayBeWritten = open.mMayBeWritten || open.mPhase == phase::Committing;
      expired.push_back(number);
    }
  }
  for (const std::uint64_t number : expired) {
    Decide(aState, number, claim_result::NotRun, {}, aNow, aOut);
  }
}

} // namespace

std::string ClaimKey(const account_id& aAccount, const std::string& aKey)
{
  // Escaping never produces "%h", so a digest can't equal another caller's key.
  const std::string key = aKey.size() > kMaxKeyBytes ? "%h" + Sha256Hex(aKey) : Escape(aKey);
  return "claim/" + Escape(aAccount.Value()) + "/" + key;
}

state Start(const options& aOptions, const instance_id& aInstance, start_epoch aEpoch,
            time_point aNow, wall_seconds aWallNow)
{
  state started;
  started.mOptions = aOptions;
  started.mInstance = aInstance;
  started.mEpoch = aEpoch;
  started.mStartedAt = aNow;
  started.mWallAtStart = aWallNow;
  const auto age =
    std::chrono::duration_cast<std::chrono::minutes>(aOptions.mRetention + aOptions.mSweepLookBack);
  started.mSweep.mNextMinute = aWallNow.Value() / 60 - age.count();
  started.mSweep.mDueAt = aNow + aOptions.mSweepInterval;
  return started;
}

call_id RequestClaim(state& aState, const call& aCall, time_point aNow, actions& aOut)
{
  const std::uint64_t callNumber = aState.mNextNumber++;
  std::optional<claim_result> refused;
  if (aCall.mKey.empty()) {
    refused = claim_result::KeyMissing;
  } else if (aCall.mDeadline <= aNow) {
    refused = claim_result::NotRun;
  } else if (CountUnstored(aState) >= aState.mOptions.mMaxUnstored) {
    refused = claim_result::TooManyCalls;
  }
  if (refused) {
    aOut.mDecisions.push_back({ call_id(callNumber), *refused, {} });
    return call_id(callNumber);
  }
  aState.mCalls[callNumber] = { .mCall = aCall,
                                .mToken = MakeToken(aState, callNumber),
                                .mRequestedAt = aNow };
  if (!aState.mOptions.mClaimBeforeDispatch) {
    Decide(aState, callNumber, claim_result::Proceed, {}, aNow, aOut);
    return call_id(callNumber);
  }
  aState.mUndecidedCalls.insert(callNumber);
  aState.mQueue.push_back(callNumber);
  FlushGroup(aState, aNow, aOut);
  return call_id(callNumber);
}

dispatch BeginDispatch(state& aState, call_id aCall, time_point aNow)
{
  const auto found = aState.mCalls.find(aCall.Value());
  if (found == aState.mCalls.end() || found->second.mPhase != phase::Owned) {
    return dispatch::AlreadySent;
  }
  if (found->second.mCall.mDeadline <= aNow) {
    FinishNotRun(aState, aCall, aNow);
    return dispatch::NotRun;
  }
  found->second.mPhase = phase::Dispatched;
  return dispatch::Send;
}

void OnServerRefused(state& aState, call_id aCall)
{
  if (const auto found = aState.mCalls.find(aCall.Value());
      found != aState.mCalls.end() && found->second.mPhase == phase::Dispatched) {
    found->second.mPhase = phase::Owned;
  }
}

void Finish(state& aState, call_id aCall, const outcome& aOutcome, time_point aNow)
{
  const auto found = aState.mCalls.find(aCall.Value());
  if (found == aState.mCalls.end() || found->second.mPhase != phase::Dispatched) {
    return;
  }
  stored_outcome stored{ .mCall = found->second.mCall,
                         .mToken = found->second.mToken,
                         .mOutcome = aOutcome,
                         .mDueAt = aNow + aState.mOptions.mOutcomeWindow };
  if (stored.mOutcome.mBody.size() > aState.mOptions.mMaxOutcomeBytes) {
    stored.mOutcome.mBody.clear();
    stored.mOutcome.mBodyOmitted = true;
  }
  aState.mOutcomes[aCall.Value()] = std::move(stored);
  aState.mCalls.erase(found);
}

void FinishNotRun(state& aState, call_id aCall, time_point aNow)
{
  const auto found = aState.mCalls.find(aCall.Value());
  if (found == aState.mCalls.end()) {
    return;
  }
  open_call& open = found->second;
  open.mMayBeWritten = open.mMayBeWritten || open.mPhase == phase::Committing;
  if (open.mPhase != phase::Queued || open.mMayBeWritten) {
    AddRelease(aState, open, aNow);
  }
  aState.mUndecidedCalls.erase(aCall.Value());
  aState.mCalls.erase(found);
}

void FinishUnknown(state& aState, call_id aCall)
{
  aState.mCalls.erase(aCall.Value());
}

void OnInstanceGone(state& aState, const instance_id& aInstance, start_epoch aEpoch)
{
  aState.mGoneInstances.insert({ aInstance.Value(), Hex(aEpoch.Value()) });
  if (aState.mGoneInstances.size() > kMaxGoneInstances) {
    aState.mGoneInstances.erase(aState.mGoneInstances.begin());
  }
}

void OnCommit(state& aState, operation_id aOperation, const platform::commit_result& aResult,
              time_point aNow, actions& aOut)
{
  const auto node = aState.mOperations.extract(aOperation.Value());
  if (node.empty()) {
    return; // a duplicate result, or one after the timeout
  }
  switch (node.mapped().mKind) {
    case operation_kind::Claim:
      OnClaimCommit(aState, node.mapped(), aResult, aNow, aOut);
      break;
    case operation_kind::Outcome:
    case operation_kind::ReleaseWrite:
      OnStoreCommit(aState, node.mapped(), aResult.mStatus, aNow);
      break;
    case operation_kind::SweepRemove:
      OnSweepCommit(aState, node.mapped(), aResult.mStatus, aNow);
      break;
    default:
      break; // a lost recovery mark is written again on the next request for the claim
  }
  ReadBackStep(aState, aNow, aOut);
  FlushGroup(aState, aNow, aOut);
}

void OnRead(state& aState, operation_id aOperation, const platform::read_result& aResult,
            time_point aNow, actions& aOut)
{
  const auto node = aState.mOperations.extract(aOperation.Value());
  if (node.empty()) {
    return;
  }
  switch (node.mapped().mKind) {
    case operation_kind::ReadBack:
      OnReadBack(aState, node.mapped(), aResult, aNow, aOut);
      break;
    case operation_kind::ReleaseRead:
      OnReleaseRead(aState, node.mapped(), aResult, aNow, aOut);
      break;
    default:
      OnSweepRead(aState, node.mapped(), aResult, aNow, aOut);
      break;
  }
  FlushGroup(aState, aNow, aOut);
}

void Tick(state& aState, time_point aNow, actions& aOut)
{
  ExpireOperations(aState, aNow, aOut);
  ExpireCalls(aState, aNow, aOut);
  ReadBackStep(aState, aNow, aOut);
  FlushGroup(aState, aNow, aOut);
  StoreStep(aState, aNow, aOut);
  SweepStep(aState, aNow, aOut);
}

bool IsIdle(const state& aState)
{
  return aState.mCalls.empty() && aState.mOperations.empty() && CountUnstored(aState) == 0;
}

std::size_t CountUnstored(const state& aState)
{
  return aState.mOutcomes.size() + aState.mReleases.size();
}

} // namespace tamarackweir::claims
