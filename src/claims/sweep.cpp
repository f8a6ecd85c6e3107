#include "base/digest.h"
#include "claims/internal.h"

#include <cstdio>

namespace tamarackweir::claims::internal {

using nlohmann::json;
using platform::commit_status;

namespace {

// Instances sweep the same minute at different times, so that the first one removes its rows and
// the others find none.
constexpr std::uint64_t kSweepJitterSeconds = 3600;

std::string MinutePrefix(std::int64_t aMinute)
{
  std::string digits = std::to_string(aMinute);
  digits.insert(0, digits.size() < 10 ? 10 - digits.size() : 0, '0');
  return "claim_group/" + digits + "/";
}

void ScheduleNextSweep(state& aState, time_point aNow)
{
  aState.mSweep.mOperationInFlight = false;
  aState.mSweep.mDueAt = aNow + aState.mOptions.mSweepInterval;
}

void ReadMinute(state& aState, time_point aNow, actions& aOut)
{
  aState.mSweep.mOperationInFlight = true;
  aOut.mReads.push_back(
    { StartOperation(aState, { .mKind = operation_kind::SweepIndex, .mItems = {} }, aNow),
      { {}, MinutePrefix(aState.mSweep.mNextMinute) } });
}

} // namespace

std::int64_t WallSeconds(const state& aState, time_point aNow)
{
  const auto elapsed = std::chrono::duration_cast<std::chrono::seconds>(aNow - aState.mStartedAt);
  return aState.mWallAtStart.Value() + elapsed.count();
}

std::string GroupKey(const state& aState, std::uint64_t aNumber, time_point aNow)
{
  return MinutePrefix(WallSeconds(aState, aNow) / 60) + aState.mInstance.Value() + "-" +
         std::to_string(aState.mEpoch.Value()) + "-" + std::to_string(aNumber);
}

std::vector<listed_claim> ListedClaims(const platform::row& aGroup)
{
  std::vector<listed_claim> listed;
  if (!aGroup.mValue.is_object() || !aGroup.mValue.contains("claims")) {
    return listed;
  }
  for (const json& entry : aGroup.mValue.at("claims")) {
    if (entry.is_array() && entry.size() == 2 && entry.at(0).is_string() &&
        entry.at(1).is_string()) {
      listed.push_back({ entry.at(0).get<std::string>(), entry.at(1).get<std::string>() });
    }
  }
  return listed;
}

void SweepStep(state& aState, time_point aNow, actions& aOut)
{
  if (aState.mSweep.mOperationInFlight || aState.mSweep.mDueAt > aNow) {
    return;
  }
  const auto retention =
    std::chrono::duration_cast<std::chrono::seconds>(aState.mOptions.mRetention).count();
  const auto jitter = static_cast<std::int64_t>(
    StableHash(aState.mInstance.Value(), aState.mEpoch.Value()) % kSweepJitterSeconds);
  // Counts from the end of the minute, so that its last claim has reached the retention as well.
  if ((aState.mSweep.mNextMinute + 1) * 60 + retention + jitter > WallSeconds(aState, aNow)) {
    ScheduleNextSweep(aState, aNow);
    return;
  }
  ReadMinute(aState, aNow, aOut);
}

void OnSweepRead(state& aState, const operation& aOperation, const platform::read_result& aResult,
                 time_point aNow, actions& aOut)
{
  if (!aResult.mReachable) {
    ScheduleNextSweep(aState, aNow);
    return;
  }
  if (aOperation.mKind == operation_kind::SweepIndex) {
    if (aResult.mRows.empty()) {
      ++aState.mSweep.mNextMinute;
      ScheduleNextSweep(aState, aNow);
      return;
    }
    const platform::row& group = aResult.mRows.front();
    platform::read_request request;
    for (const listed_claim& listed : ListedClaims(group)) {
      request.mKeys.push_back(listed.mKey);
    }
    aOut.mReads.push_back(
      { StartOperation(
          aState, { .mKind = operation_kind::SweepRows, .mItems = {}, .mGroup = { group } }, aNow),
        std::move(request) });
    return;
  }
  const platform::row& group = aOperation.mGroup.front();
  // Expecting the group row's version makes the removal take effect only once: another instance's
  // sweep, or a late write of this one, must not remove a newer claim with the same key.
  platform::transaction removal{ { { group.mKey, group.mVersion } }, {}, { group.mKey } };
  for (const listed_claim& listed : ListedClaims(group)) {
    const platform::row* row = Find(aResult, listed.mKey);
    if (row != nullptr && TextMember(*row, "token") == listed.mToken) {
      removal.mExpect.push_back({ row->mKey, row->mVersion });
      removal.mRemove.push_back(row->mKey);
    }
  }
  operation write{ .mKind = operation_kind::SweepRemove, .mItems = { removal.mRemove.size() - 1 } };
  aOut.mCommits.push_back({ StartOperation(aState, std::move(write), aNow), std::move(removal) });
}

void OnSweepCommit(state& aState, const operation& aOperation, commit_status aStatus,
                   time_point aNow)
{
  if (aStatus == commit_status::Committed) {
    aState.mCounters.mRemoved += aOperation.mItems.front();
    aState.mSweep.mOperationInFlight = false;
    aState.mSweep.mDueAt = aNow; // the minute may have more groups
    return;
  }
  // Another instance removed the group, or the answer was lost; reading the minute again tells
  // which.
  ScheduleNextSweep(aState, aNow);
}

} // namespace tamarackweir::claims::internal
