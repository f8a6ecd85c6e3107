#include "base/digest.h"
#include "claims/internal.h"

#include <algorithm>

namespace tamarackweir::claims::internal {

using nlohmann::json;
using platform::commit_status;

operation_id StartOperation(state& aState, operation aOperation, time_point aNow)
{
  const std::uint64_t number = aState.mNextNumber++;
  aOperation.mStartedAt = aNow;
  aState.mOperations[number] = std::move(aOperation);
  return operation_id(number);
}

json ClaimValue(const call& aCall, const claim_token& aToken, const char* aState)
{
  return { { "token", aToken.Value() }, { "digest", aCall.mDigest }, { "state", aState } };
}

std::string TextMember(const platform::row& aRow, const char* aName)
{
  if (!aRow.mValue.is_object()) {
    return {};
  }
  const auto found = aRow.mValue.find(aName);
  return found != aRow.mValue.end() && found->is_string() ? found->get<std::string>() : "";
}

json EncodeOutcome(const outcome& aOutcome)
{
  json value{ { "status", aOutcome.mStatus } };
  if (aOutcome.mBodyOmitted) {
    value["body_omitted"] = true;
    return value;
  }
  try {
    // Throws if the body is not valid UTF-8, which JSON requires.
    (void)json(aOutcome.mBody).dump();
    value["body"] = aOutcome.mBody;
  } catch (const json::type_error&) {
    value["body_base64url"] = Base64UrlEncode(aOutcome.mBody);
  }
  return value;
}

outcome DecodeOutcome(const json& aValue)
{
  outcome decoded{ .mStatus = 0, .mBody = {}, .mBodyOmitted = true };
  if (!aValue.is_object() || !aValue.contains("status") ||
      !aValue.at("status").is_number_integer()) {
    return decoded;
  }
  decoded.mStatus = aValue.at("status").get<int>();
  if (aValue.contains("body") && aValue.at("body").is_string()) {
    decoded.mBody = aValue.at("body").get<std::string>();
    decoded.mBodyOmitted = false;
  } else if (aValue.contains("body_base64url") && aValue.at("body_base64url").is_string()) {
    decoded.mBody = Base64UrlDecode(aValue.at("body_base64url").get_ref<const std::string&>());
    decoded.mBodyOmitted = false;
  }
  return decoded;
}

void AddRelease(state& aState, const open_call& aCall, time_point aNow)
{
  const bool mayBeWritten = aCall.mMayBeWritten;
  aState.mReleases[aState.mNextNumber++] = {
    .mKey = ClaimKey(aCall.mCall.mAccount, aCall.mCall.mKey),
    .mToken = aCall.mToken,
    .mDueAt = aNow,
    .mWatchUntil = mayBeWritten ? aNow + aState.mOptions.mMaxWriteDelay : aNow,
  };
}

namespace {

// No caller waits for these writes, and in an outage each check scans thousands of entries, which
// is too much for every tick.
constexpr duration kStoreInterval = 10ms;

void StoreOutcomes(state& aState, time_point aNow, actions& aOut)
{
  const auto due = std::any_of(aState.mOutcomes.begin(), aState.mOutcomes.end(),
                               [&](const auto& aEntry) { return aEntry.second.mDueAt <= aNow; });
  if (aState.mOutcomeInFlight || (!due && aState.mOutcomes.size() < aState.mOptions.mMaxRows)) {
    return;
  }
  operation write{ .mKind = operation_kind::Outcome, .mItems = {} };
  platform::transaction transaction;
  for (auto& [number, stored] : aState.mOutcomes) {
    if (write.mItems.size() == aState.mOptions.mMaxRows) {
      break;
    }
    if (stored.mNotBefore > aNow) {
      continue;
    }
    write.mItems.push_back(number);
    json value = ClaimValue(stored.mCall, stored.mToken, "done");
    value["outcome"] = EncodeOutcome(stored.mOutcome);
    transaction.mPut.push_back({ ClaimKey(stored.mCall.mAccount, stored.mCall.mKey), value });
  }
  if (write.mItems.empty()) {
    return;
  }
  // Unconditional: the row belongs to this holder until its retention ends, only a recovery mark
  // can have replaced it, and a repeated write stores the same value.
  aState.mOutcomeInFlight = true;
  aOut.mCommits.push_back(
    { StartOperation(aState, std::move(write), aNow), std::move(transaction) });
}

void ReadReleases(state& aState, time_point aNow, actions& aOut)
{
  operation read{ .mKind = operation_kind::ReleaseRead, .mItems = {} };
  platform::read_request request;
  for (auto& [number, entry] : aState.mReleases) {
    if (!entry.mOperationInFlight && entry.mDueAt <= aNow &&
        read.mItems.size() < aState.mOptions.mMaxRows) {
      entry.mOperationInFlight = true;
      read.mItems.push_back(number);
      request.mKeys.push_back(entry.mKey);
    }
  }
  if (!read.mItems.empty()) {
    aOut.mReads.push_back({ StartOperation(aState, std::move(read), aNow), std::move(request) });
  }
}

/// The row does not belong to this holder now: drops the release, unless a late claim write may
/// still take effect.
void EndRelease(state& aState, std::map<std::uint64_t, release>::iterator aEntry, time_point aNow)
{
  if (aEntry->second.mWatchUntil <= aNow) {
    aState.mReleases.erase(aEntry);
  } else {
    aEntry->second.mOperationInFlight = false;
    aEntry->second.mDueAt = std::min(aEntry->second.mWatchUntil, aNow + 1s);
  }
}

} // namespace

void StoreStep(state& aState, time_point aNow, actions& aOut)
{
  if (aState.mNextStoreAt > aNow) {
    return;
  }
  aState.mNextStoreAt = aNow + kStoreInterval;
  StoreOutcomes(aState, aNow, aOut);
  ReadReleases(aState, aNow, aOut);
}

void OnStoreCommit(state& aState, const operation& aOperation, commit_status aStatus,
                   time_point aNow)
{
  const bool committed = aStatus == commit_status::Committed;
  if (aOperation.mKind == operation_kind::Outcome) {
    aState.mOutcomeInFlight = false;
    for (const std::uint64_t number : aOperation.mItems) {
      if (committed) {
        aState.mOutcomes.erase(number);
      } else if (const auto found = aState.mOutcomes.find(number);
                 found != aState.mOutcomes.end()) {
        found->second.mDueAt = aNow + aState.mOptions.mRetryDelay;
        found->second.mNotBefore = found->second.mDueAt;
      }
    }
    return;
  }
  for (const std::uint64_t number : aOperation.mItems) {
    const auto found = aState.mReleases.find(number);
    if (found == aState.mReleases.end()) {
      continue;
    }
    if (committed) {
      EndRelease(aState, found, aNow);
    } else {
      // The removal is conditional on the row's version, so it never removes a later holder's row;
      // reading again tells whether it took effect.
      found->second.mOperationInFlight = false;
      found->second.mDueAt = aNow + aState.mOptions.mRetryDelay;
    }
  }
}

void OnReleaseRead(state& aState, const operation& aOperation, const platform::read_result& aResult,
                   time_point aNow, actions& aOut)
{
  for (const std::uint64_t number : aOperation.mItems) {
    const auto found = aState.mReleases.find(number);
    if (found == aState.mReleases.end()) {
      continue;
    }
    if (!aResult.mReachable) {
      found->second.mOperationInFlight = false;
      found->second.mDueAt = aNow + aState.mOptions.mRetryDelay;
      continue;
    }
    const platform::row* row = Find(aResult, found->second.mKey);
    if (row == nullptr || TextMember(*row, "token") != found->second.mToken.Value()) {
      EndRelease(aState, found, aNow);
      continue;
    }
    aOut.mCommits.push_back(
      { StartOperation(aState, { .mKind = operation_kind::ReleaseWrite, .mItems = { number } },
                       aNow),
        { { { row->mKey, row->mVersion } }, {}, { row->mKey } } });
  }
}

} // namespace tamarackweir::claims::internal
