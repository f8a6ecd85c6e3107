#include "backends/evidence.h"

#include "base/digest.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>

namespace tamarackweir::backends {

namespace {

constexpr duration kSlowdownHalfLife = 1500ms; ///< a replaced server is judged anew in seconds
/// Limits one instance's weight in the pooled slowdown.
constexpr double kMaxSlowdownSamples = 20;

bool IsFresh(time_point aAt, time_point aNow)
{
  return aAt != time_point{} && aNow - aAt <= kEvidenceLifetime;
}

/// The time if it is fresh, else never.
time_point FreshOrNever(time_point aAt, time_point aNow)
{
  return IsFresh(aAt, aNow) ? aAt : time_point{};
}

time_point LatestOf(const observation& aSeen)
{
  return std::max({ aSeen.mFailedAt, aSeen.mAliveAt, aSeen.mFullAt });
}

void KeepNewest(observations& aObservations, std::size_t aCount)
{
  SortNewestFirst(aObservations);
  aObservations.resize(std::min(aObservations.size(), aCount));
}

observation OwnObservation(const backend_server& aServer, time_point aNow)
{
  const own_view& seen = aServer.mSeen;
  observation result{ .mServer = ServerKey(aServer.mAnnounced.mId),
                      .mStart = StartKey(aServer.mAnnounced.mStartId),
                      .mFailedAt = FreshOrNever(seen.mConnectFailedAt, aNow),
                      .mAliveAt = FreshOrNever(AliveAt(aServer), aNow),
                      .mFullAt = FreshOrNever(seen.mFullAt, aNow) };
  result.mFailed = result.mFailedAt > result.mAliveAt ? 1 : 0;
  result.mTried = result.mFailed == 1 || IsFresh(seen.mConnectedAt, aNow) ? 1 : 0;
  const double count = ValueAt(seen.mSlowdownCount, kSlowdownHalfLife, aNow);
  if (count >= 0.5) {
    result.mSlowdown = std::exp(ValueAt(seen.mSlowdownSum, kSlowdownHalfLife, aNow) / count);
    result.mSamples = static_cast<std::uint32_t>(std::lround(std::min(count, kMaxSlowdownSamples)));
  }
  return result;
}

using server_start = std::pair<std::uint64_t, std::uint64_t>;
using seen_by_start = std::map<server_start, std::vector<const observation*>>;

/// Sets the weighted lower median, which needs two instances: the error of one does no harm.
void SetSlowdown(observation& aPooled, std::vector<const observation*> aSeen)
{
  std::erase_if(aSeen, [](const observation* aOne) { return aOne->mSamples == 0; });
  if (aSeen.size() < 2) {
    return;
  }
  std::sort(aSeen.begin(), aSeen.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->mSlowdown < aRight->mSlowdown;
  });
  for (const observation* const one : aSeen) {
    aPooled.mSamples += one->mSamples;
  }
  std::uint32_t below = 0;
  for (const observation* const one : aSeen) {
    below += one->mSamples;
    if (2 * below >= aPooled.mSamples) {
      aPooled.mSlowdown = one->mSlowdown;
      return;
    }
  }
}

/// Pools what distinct instances have seen of one start of a server. Each counts once.
observation PoolOne(const std::vector<const observation*>& aSeen, time_point aNow)
{
  observation pooled{ .mServer = aSeen.front()->mServer, .mStart = aSeen.front()->mStart };
  for (const observation* const one : aSeen) {
    pooled.mTried += std::min(one->mTried, 1U);
    pooled.mFailedAt = std::max(pooled.mFailedAt, FreshOrNever(one->mFailedAt, aNow));
    pooled.mAliveAt = std::max(pooled.mAliveAt, FreshOrNever(one->mAliveAt, aNow));
    pooled.mFullAt = std::max(pooled.mFullAt, FreshOrNever(one->mFullAt, aNow));
  }
  // A failure before the last proof of liveness says nothing about the present.
  pooled.mFailed = static_cast<std::uint32_t>(
    std::count_if(aSeen.begin(), aSeen.end(), [&pooled, aNow](const observation* aOne) {
      return aOne->mFailed > 0 && IsFresh(aOne->mFailedAt, aNow) &&
             aOne->mFailedAt > pooled.mAliveAt;
    }));
  SetSlowdown(pooled, aSeen);
  return pooled;
}

/// Whether enough instances failed to connect since anyone's last proof of liveness.
bool IsFoundUnreachable(const observation& aPooled)
{
  return aPooled.mFailed >= kMinFailedInstances &&
         aPooled.mFailed * kTriedPerFailed >= aPooled.mTried;
}

/// Updates the server's view. Returns whether it is now unreachable and was not, or the reverse.
bool ApplyTo(backend_server& aServer, const observation& aPooled, time_point aNow)
{
  pooled_view& view = aServer.mPooled;
  const bool wasLost = view.mIsUnreachable && aNow <= view.mExpiresAt;
  // Only the probing instance still tries a lost server, so its failures alone keep it lost.
  const bool staysLost = wasLost && aPooled.mFailed > 0 && aPooled.mAliveAt <= view.mLostAt;
  view.mIsUnreachable = staysLost || IsFoundUnreachable(aPooled);
  if (view.mIsUnreachable && !staysLost) {
    view.mLostAt = aPooled.mFailedAt;
  }
  view.mFailedAt = std::max(view.mFailedAt, aPooled.mFailedAt);
  view.mFullAt = std::max(view.mFullAt, aPooled.mFullAt);
  view.mSlowdown = aPooled.mSlowdown;
  view.mExpiresAt = aNow + kViewLifetime;
  if (wasLost && !view.mIsUnreachable) {
    aServer.mSuspectUntil = {};
    aServer.mSuspicions = 0;
  }
  return wasLost != view.mIsUnreachable;
}

} // namespace

std::uint64_t ServerKey(const server_id& aServer)
{
  return StableHash(aServer.Value()) & 0xffffffffU;
}

std::uint64_t StartKey(std::int64_t aStartId)
{
  return StableHash(std::to_string(aStartId)) & 0xffffffffU;
}

void RecordConnect(backend_server& aServer, bool aIsAccepted, time_point aNow)
{
  own_view& seen = aServer.mSeen;
  if (!aIsAccepted) {
    seen.mConnectFailedAt = aNow;
    return;
  }
  if (seen.mConnectFailedAt > seen.mConnectedAt) {
    aServer.mSuspectUntil = {};
  }
  seen.mConnectedAt = aNow;
}

void RecordSlowdown(backend_server& aServer, duration aTime, duration aExpected, time_point aNow)
{
  if (aTime <= duration::zero() || aExpected <= duration::zero()) {
    return;
  }
  const double ratio =
    std::chrono::duration<double>(aTime) / std::chrono::duration<double>(aExpected);
  Add(aServer.mSeen.mSlowdownSum, std::log(ratio), kSlowdownHalfLife, aNow);
  Add(aServer.mSeen.mSlowdownCount, 1, kSlowdownHalfLife, aNow);
}

time_point AliveAt(const backend_server& aServer)
{
  return std::max(aServer.mSeen.mConnectedAt, aServer.mLastByte);
}

bool IsLost(const backend_server& aServer, time_point aNow)
{
  const pooled_view& view = aServer.mPooled;
  if (!view.mIsUnreachable || aNow > view.mExpiresAt) {
    return false;
  }
  const time_point alive = AliveAt(aServer);
  return alive <= view.mLostAt && (alive == time_point{} || aNow - alive > kOwnProofLifetime);
}

bool IsSuspect(const backend_server& aServer, time_point aNow)
{
  return aNow < aServer.mSuspectUntil || IsLost(aServer, aNow);
}

bool IsProbeDue(const backend_server& aServer, std::size_t aRank, time_point aNow)
{
  const own_view& seen = aServer.mSeen;
  if (seen.mIsProbing || aServer.mAnnounced.mIsLeaving || aServer.mSaysItLeaves) {
    return false;
  }
  if (!IsLost(aServer, aNow)) {
    return seen.mConnectFailedAt > seen.mConnectedAt && aNow < aServer.mSuspectUntil &&
           aServer.mSuspectUntil - aNow <= kProbeAhead;
  }
  constexpr int kMaxDoublings = 3;
  const duration pause =
    std::min(kMaxProbePause, kMinProbePause * (1 << std::min(seen.mFailedProbes, kMaxDoublings)));
  return aRank == 0 ? aNow - seen.mProbedAt >= pause
                    : aRank == 1 && aNow - aServer.mPooled.mFailedAt >= kTakeOverAfter;
}

void RecordProbe(backend_server& aServer, bool aIsAccepted, time_point aNow)
{
  own_view& seen = aServer.mSeen;
  seen.mIsProbing = false;
  seen.mProbedAt = aNow;
  seen.mFailedProbes = aIsAccepted ? 0 : seen.mFailedProbes + 1;
}

observations OwnObservations(const fleet& aFleet, time_point aNow)
{
  observations result;
  for (const auto& [id, server] : aFleet.mServers) {
    const time_point latest =
      std::max({ server->mSeen.mConnectFailedAt, AliveAt(*server), server->mSeen.mFullAt });
    if (IsFresh(latest, aNow)) {
      result.push_back(OwnObservation(*server, aNow));
    }
  }
  KeepNewest(result, kMaxReportedServers);
  return result;
}

observations Pool(const std::vector<const observations*>& aWitnesses, time_point aNow)
{
  seen_by_start seen;
  for (const observations* const witness : aWitnesses) {
    for (const observation& one : *witness) {
      if (IsFresh(LatestOf(one), aNow)) {
        seen[{ one.mServer, one.mStart }].push_back(&one);
      }
    }
  }
  observations pooled;
  pooled.reserve(seen.size());
  for (const auto& [start, all] : seen) {
    pooled.push_back(PoolOne(all, aNow));
  }
  KeepNewest(pooled, kMaxPooledServers);
  return pooled;
}

std::vector<view_change> ApplyPooled(fleet& aFleet, const observations& aPooled, time_point aNow)
{
  std::unordered_multimap<std::uint64_t, const observation*> byServer;
  for (const observation& pooled : aPooled) {
    byServer.emplace(pooled.mServer, &pooled);
  }
  std::vector<view_change> changes;
  for (const auto& [id, server] : aFleet.mServers) {
    const auto [begin, end] = byServer.equal_range(ServerKey(id));
    const auto match = std::find_if(begin, end, [&server = *server](const auto& aEntry) {
      return aEntry.second->mStart == StartKey(server.mAnnounced.mStartId);
    });
    if (match != end && ApplyTo(*server, *match->second, aNow)) {
      changes.push_back({ .mServer = server, .mCause = *match->second });
    }
  }
  return changes;
}

void SortNewestFirst(observations& aObservations)
{
  std::stable_sort(
    aObservations.begin(), aObservations.end(),
    [](const auto& aLeft, const auto& aRight) { return LatestOf(aLeft) > LatestOf(aRight); });
}

} // namespace tamarackweir::backends
