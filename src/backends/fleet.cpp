#include "backends/fleet.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarackweir::backends {

namespace {

constexpr duration kHealthHalfLife = 3s; ///< a recovered server is used again within seconds

constexpr double kMaxDelayMs = 8000;      ///< one stuck answer must not exclude a server for long
constexpr duration kMinSuspicion = 600ms; ///< half the servers' heartbeat interval
constexpr duration kMaxSuspicion = 3s;    ///< about when a dead server's announcement lapses
constexpr double kPriorSuccesses = 2;     ///< assumed successes of a server without history

std::vector<server_pointer>::iterator Find(std::vector<server_pointer>& aServers,
                                           const server_id& aId)
{
  return std::find_if(aServers.begin(), aServers.end(), [&aId](const server_pointer& aServer) {
    return aServer->mAnnounced.mId == aId;
  });
}

void Remove(fleet& aFleet, const server_id& aId)
{
  const auto found = aFleet.mServers.find(aId);
  if (found == aFleet.mServers.end()) {
    return;
  }
  found->second->mIsGone = true;
  auto& servers = aFleet.mByService[found->second->mAnnounced.mService];
  if (const auto position = Find(servers, aId); position != servers.end()) {
    servers.erase(position);
  }
  aFleet.mServers.erase(found);
}

} // namespace

double ValueAt(const decaying_value& aDecaying, duration aHalfLife, time_point aNow)
{
  if (aDecaying.mValue == 0) {
    return 0;
  }
  const double halves = std::chrono::duration<double>(aNow - aDecaying.mAt).count() /
                        std::chrono::duration<double>(aHalfLife).count();
  return aDecaying.mValue * std::exp2(-std::max(0.0, halves));
}

void Add(decaying_value& aDecaying, double aAmount, duration aHalfLife, time_point aNow)
{
  aDecaying.mValue = ValueAt(aDecaying, aHalfLife, aNow) + aAmount;
  aDecaying.mAt = aNow;
}

void Announce(fleet& aFleet, const announcement& aAnnouncement, time_point aNow)
{
  const auto known = aFleet.mServers.find(aAnnouncement.mId);
  if (known != aFleet.mServers.end()) {
    backend_server& server = *known->second;
    const announcement& old = server.mAnnounced;
    if (old.mStartId == aAnnouncement.mStartId && old.mAddress == aAnnouncement.mAddress &&
        old.mService == aAnnouncement.mService && old.mVersion == aAnnouncement.mVersion) {
      server.mAnnounced = aAnnouncement;
      server.mMissingSince.reset();
      server.mColdUntil = aNow + aAnnouncement.mColdRemaining;
      return;
    }
    Remove(aFleet, aAnnouncement.mId);
  }
  auto server = std::make_shared<backend_server>();
  server->mAnnounced = aAnnouncement;
  std::weak_ptr<backend_server>& holder = aFleet.mByAddress[aAnnouncement.mAddress];
  if (const server_pointer before = holder.lock()) {
    before->mSeen.mReplacedAt = aNow;
  }
  holder = server;
  if (aFleet.mByAddress.size() > 2 * (aFleet.mServers.size() + 1)) {
    std::erase_if(aFleet.mByAddress, [](const auto& aEntry) { return aEntry.second.expired(); });
  }
  const auto leaving = aFleet.mLeaving.find(aAnnouncement.mId);
  server->mSaysItLeaves =
    leaving != aFleet.mLeaving.end() && leaving->second.mStartId == aAnnouncement.mStartId;
  server->mFirstSeen = aNow;
  server->mColdUntil = aNow + aAnnouncement.mColdRemaining;
  auto& servers = aFleet.mByService[aAnnouncement.mService];
  const auto position = std::find_if(servers.begin(), servers.end(), [&](const auto& aOther) {
    return aAnnouncement.mId < aOther->mAnnounced.mId;
  });
  servers.insert(position, server);
  aFleet.mServers.emplace(aAnnouncement.mId, std::move(server));
  aFleet.mVersions.try_emplace({ aAnnouncement.mService, aAnnouncement.mVersion }, aNow);
}

void Withdraw(fleet& aFleet, const server_id& aId, bool aKeep, time_point aNow)
{
  const auto found = aFleet.mServers.find(aId);
  if (found == aFleet.mServers.end()) {
    return;
  }
  // A server that announced that it is leaving is removed: its announcement did not just lapse.
  if (aKeep && !found->second->mAnnounced.mIsLeaving) {
    if (!found->second->mMissingSince) {
      found->second->mMissingSince = aNow;
    }
    return;
  }
  Remove(aFleet, aId);
}

std::vector<server_id> DropMissing(fleet& aFleet, time_point aBefore)
{
  std::vector<server_id> dropped;
  for (const auto& [id, server] : aFleet.mServers) {
    if (server->mMissingSince && *server->mMissingSince < aBefore) {
      dropped.push_back(id);
    }
  }
  for (const server_id& id : dropped) {
    Remove(aFleet, id);
  }
  return dropped;
}

const std::vector<server_pointer>& ServersOf(const fleet& aFleet, const service_id& aService)
{
  static const std::vector<server_pointer> kNone;
  const auto found = aFleet.mByService.find(aService);
  return found == aFleet.mByService.end() ? kNone : found->second;
}

bool IsCold(const backend_server& aServer, time_point aNow)
{
  return aNow < aServer.mColdUntil;
}

bool RecordLeaving(fleet& aFleet, backend_server& aServer, time_point aNow)
{
  std::erase_if(aFleet.mLeaving,
                [&](const auto& aEntry) { return aNow - aEntry.second.mToldAt > kLeavingMemory; });
  aFleet.mLeaving[aServer.mAnnounced.mId] = { .mStartId = aServer.mAnnounced.mStartId,
                                              .mToldAt = aNow };
  return !std::exchange(aServer.mSaysItLeaves, true);
}

void RecordClosed(backend_server& aServer, duration aWait, time_point aNow)
{
  aServer.mClosedUntil = std::max(aServer.mClosedUntil, aNow + aWait);
}

time_point EndedAt(const backend_server& aServer)
{
  return std::max(aServer.mSeen.mRefusedAt, aServer.mSeen.mReplacedAt);
}

bool TakesRequests(const backend_server& aServer, time_point aNow)
{
  return !aServer.mAnnounced.mIsLeaving && !aServer.mSaysItLeaves && aNow >= aServer.mClosedUntil;
}

void RecordEnd(backend_server& aServer, attempt_end aEnd, duration aDelay, time_point aNow)
{
  switch (aEnd) {
    case attempt_end::Succeeded:
      Add(aServer.mSuccesses, 1, kHealthHalfLife, aNow);
      aServer.mSuspicions = 0;
      aServer.mSuspectUntil = {};
      break;
    case attempt_end::Failed:
    case attempt_end::Broken:
    case attempt_end::TimedOut:
      Add(aServer.mFailures, 1, kHealthHalfLife, aNow);
      break;
    case attempt_end::Refused:
      Add(aServer.mFailures, 1, kHealthHalfLife, aNow);
      aServer.mSeen.mFullAt = aNow;
      break;
    case attempt_end::WrongServer:
      aServer.mSeen.mReplacedAt = aNow;
      [[fallthrough]];
    case attempt_end::Unreachable:
      Add(aServer.mFailures, 1, kHealthHalfLife, aNow);
      aServer.mSuspectUntil =
        aNow + std::min(kMaxSuspicion, kMinSuspicion * (1 << std::min(aServer.mSuspicions, 3)));
      ++aServer.mSuspicions;
      break;
  }
  if (aDelay != duration::zero()) {
    const double old = ValueAt(aServer.mDelay, kDelayHalfLife, aNow);
    const double milliseconds = std::chrono::duration<double, std::milli>(aDelay).count();
    aServer.mDelay.mValue = std::clamp(0.5 * old + 0.5 * milliseconds, 0.0, kMaxDelayMs);
    aServer.mDelay.mAt = aNow;
  }
}

duration DelayOf(const backend_server& aServer, time_point aNow)
{
  auto delay = std::chrono::duration_cast<duration>(
    std::chrono::duration<double, std::milli>(ValueAt(aServer.mDelay, kDelayHalfLife, aNow)));
  for (const pending_answer* const pending : aServer.mPending) {
    delay = std::max(delay, aNow - pending->mSent - pending->mExpected);
  }
  return delay;
}

double FailureShare(const backend_server& aServer, time_point aNow)
{
  const double failures = ValueAt(aServer.mFailures, kHealthHalfLife, aNow);
  const double successes = ValueAt(aServer.mSuccesses, kHealthHalfLife, aNow);
  return failures / (failures + successes + kPriorSuccesses);
}

int RequestsAt(const backend_server& aServer, time_point aNow)
{
  return aServer.mInFlight +
         (aNow <= aServer.mRemoteLoad.mExpiresAt ? aServer.mRemoteLoad.mRequests : 0);
}

double PrefillMsAt(const backend_server& aServer, time_point aNow)
{
  return aServer.mPrefillMs +
         (aNow <= aServer.mRemoteLoad.mExpiresAt ? aServer.mRemoteLoad.mPrefillMs : 0);
}

bool AcquireColdSlot(backend_server& aServer, const cold_share& aShare, time_point aNow)
{
  if (aShare.mRate <= 0) {
    return true;
  }
  if (InstancesBefore(aShare.mInstances, aServer.mAnnounced.mId.Value(), aShare.mSelf) >=
      kColdSenders) {
    return false;
  }
  const double rate = aShare.mRate / static_cast<double>(kColdSenders);
  const double burst = std::max(1.0, rate / 4);
  if (aServer.mColdRefilledAt == time_point{}) {
    aServer.mColdTokens = 1;
  } else {
    const double seconds = std::chrono::duration<double>(aNow - aServer.mColdRefilledAt).count();
    aServer.mColdTokens = std::min(burst, aServer.mColdTokens + seconds * rate);
  }
  aServer.mColdRefilledAt = aNow;
  if (aServer.mColdTokens < 1) {
    return false;
  }
  aServer.mColdTokens -= 1;
  return true;
}

} // namespace tamarackweir::backends
