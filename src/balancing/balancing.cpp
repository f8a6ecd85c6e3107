#include "balancing/balancing.h"

#include <algorithm>

namespace tamarackweir::balancing {

namespace {

// Leaving epochs kept per server. A server has at most one new epoch per restart.
constexpr std::size_t kMaxLeavingEpochs = 8;

server* Find(state& aState, const server_id& aServer)
{
  const auto found = aState.mServerIndices.find(aServer);
  return found == aState.mServerIndices.end() ? nullptr : &aState.mServers[found->second];
}

void ForgetPrefix(state& aState, std::uint32_t aIndex, std::uint64_t aPrefix)
{
  const auto holders = aState.mPrefixHolders.find(aPrefix);
  if (holders == aState.mPrefixHolders.end()) {
    return;
  }
  std::erase(holders->second, aIndex);
  if (holders->second.empty()) {
    aState.mPrefixHolders.erase(holders);
  }
}

void ForgetPrefixes(state& aState, std::uint32_t aIndex)
{
  for (const std::uint64_t prefix : aState.mServers[aIndex].mPrefixes) {
    ForgetPrefix(aState, aIndex, prefix);
  }
  aState.mServers[aIndex].mPrefixes.clear();
}

// Removes servers that have been unlisted for the retention time. Invalidates all indices.
void RemoveExpiredServers(state& aState, time_point aNow)
{
  const auto removed = std::erase_if(aState.mServers, [&aState, aNow](const server& aServer) {
    return !aServer.mListed && aNow - aServer.mUnlistedAt >= aState.mOptions.mUnlistedRetention;
  });
  if (removed == 0) {
    return;
  }
  aState.mServerIndices.clear();
  aState.mPrefixHolders.clear();
  for (std::uint32_t index = 0; index < aState.mServers.size(); ++index) {
    aState.mServerIndices[aState.mServers[index].mId] = index;
    for (const std::uint64_t prefix : aState.mServers[index].mPrefixes) {
      aState.mPrefixHolders[prefix].push_back(index);
    }
  }
}

void StartEpoch(state& aState, server& aServer, start_epoch aEpoch, time_point aNow)
{
  if (aServer.mReported) {
    aServer.mRampStart = aNow;
  }
  aServer.mEpoch = aEpoch;
  aServer.mConsecutiveFailures = 0;
  aServer.mConsecutiveEjections = 0;
  aServer.mEjectedUntil = {};
  ForgetPrefixes(aState, aState.mServerIndices.at(aServer.mId));
  aState.mPoolsStale = true;
}

void DropTimesUntil(std::deque<time_point>& aTimes, time_point aUntil)
{
  while (!aTimes.empty() && aTimes.front() <= aUntil) {
    aTimes.pop_front();
  }
}

} // namespace

state Start(const options& aOptions, const data_centre_id& aLocal)
{
  state initial;
  initial.mOptions = aOptions;
  initial.mLocalDataCentre = aLocal;
  return initial;
}

void OnServerList(state& aState, const std::vector<listed_server>& aServers, time_point aNow)
{
  for (server& each : aState.mServers) {
    if (each.mListed) {
      each.mListed = false;
      each.mUnlistedAt = aNow;
    }
  }
  for (const listed_server& entry : aServers) {
    const auto [found, added] = aState.mServerIndices.try_emplace(
      entry.mId, static_cast<std::uint32_t>(aState.mServers.size()));
    if (added) {
      aState.mServers.emplace_back();
    }
    server& listed = aState.mServers[found->second];
    listed.mId = entry.mId;
    listed.mDataCentre = entry.mDataCentre;
    listed.mListed = true;
    listed.mListedLeaving = entry.mLeaving;
  }
  RemoveExpiredServers(aState, aNow);
  aState.mPoolsStale = true;
}

void OnDataCentres(state& aState, const std::vector<data_centre>& aDataCentres, time_point aNow)
{
  std::map<data_centre_id, data_centre_state> updated;
  for (const data_centre& each : aDataCentres) {
    data_centre_state& entry = updated[each.mId];
    if (const auto before = aState.mDataCentres.find(each.mId);
        before != aState.mDataCentres.end()) {
      entry = before->second;
      if (each.mInService && !before->second.mSettings.mInService) {
        entry.mRampStart = aNow;
      }
    }
    entry.mSettings = each;
  }
  aState.mDataCentres = std::move(updated);
  aState.mPoolsStale = true;
}

void OnLoadReport(state& aState, const load_report& aReport, time_point aNow)
{
  server* reported = Find(aState, aReport.mServer);
  if (reported == nullptr) {
    return;
  }
  if (aReport.mEpoch == reported->mEpoch) {
    if (reported->mReported && aReport.mSequence <= reported->mSequence) {
      return;
    }
  } else {
    // A delayed report from before a restart must not reinstate the earlier epoch.
    if (reported->mReported && aReport.mMeasuredAt < reported->mMeasuredAt) {
      return;
    }
    StartEpoch(aState, *reported, aReport.mEpoch, aNow);
  }
  aState.mPoolsStale = aState.mPoolsStale || reported->mVersions != aReport.mVersions;
  reported->mReported = true;
  reported->mSequence = aReport.mSequence;
  reported->mReportedLoad = aReport.mRunning + aReport.mWaiting;
  reported->mCapacity = std::max<std::int64_t>(1, aReport.mCapacity);
  reported->mVersions = aReport.mVersions;
  reported->mMeasuredAt = aReport.mMeasuredAt;
  DropTimesUntil(reported->mUnreportedDispatches, aReport.mMeasuredAt);
  DropTimesUntil(reported->mUnreportedEnds, aReport.mMeasuredAt);
}

void OnServerLeaving(state& aState, const server_id& aServer, start_epoch aEpoch)
{
  server* leaving = Find(aState, aServer);
  if (leaving == nullptr) {
    return;
  }
  auto& epochs = leaving->mLeavingEpochs;
  if (std::find(epochs.begin(), epochs.end(), aEpoch) == epochs.end()) {
    epochs.push_back(aEpoch);
    if (epochs.size() > kMaxLeavingEpochs) {
      epochs.erase(epochs.begin());
    }
    aState.mPoolsStale = true;
  }
}

void OnColdState(state& aState, const server_id& aServer, bool aCold, time_point aNow)
{
  server* changed = Find(aState, aServer);
  if (changed == nullptr) {
    return;
  }
  if (aCold) {
    // Before the first report a server only counts as cold by default, which is not a cold start.
    changed->mColdStartSeen = changed->mColdStartSeen || changed->mReported;
  } else if (changed->mCold && changed->mColdStartSeen) {
    changed->mRampStart = aNow;
    changed->mColdStartSeen = false;
  }
  changed->mCold = aCold;
}

void OnCacheEvent(state& aState, const cache_event& aEvent)
{
  server* holder = Find(aState, aEvent.mServer);
  if (holder == nullptr) {
    return;
  }
  const std::uint32_t index = aState.mServerIndices.at(aEvent.mServer);
  if (aEvent.mEpoch == holder->mCacheEpoch && aEvent.mSequence <= holder->mCacheSequence) {
    return;
  }
  if (aEvent.mEpoch != holder->mCacheEpoch || aEvent.mSequence != holder->mCacheSequence + 1) {
    ForgetPrefixes(aState, index);
  }
  holder->mCacheEpoch = aEvent.mEpoch;
  holder->mCacheSequence = aEvent.mSequence;
  for (const std::uint64_t prefix : aEvent.mRemoved) {
    std::erase(holder->mPrefixes, prefix);
    ForgetPrefix(aState, index, prefix);
  }
  for (const std::uint64_t prefix : aEvent.mAdded) {
    auto& holders = aState.mPrefixHolders[prefix];
    if (std::find(holders.begin(), holders.end(), index) != holders.end()) {
      continue;
    }
    holders.push_back(index);
    holder->mPrefixes.push_back(prefix);
    if (holder->mPrefixes.size() > aState.mOptions.mMaxPrefixesPerServer) {
      ForgetPrefix(aState, index, holder->mPrefixes.front());
      holder->mPrefixes.pop_front();
    }
  }
}

void OnDispatch(state& aState, const server_id& aServer, time_point aNow)
{
  if (server* used = Find(aState, aServer); used != nullptr) {
    used->mUnreportedDispatches.push_back(aNow);
  }
}

void OnRequestEnded(state& aState, const server_id& aServer, time_point aDispatchedAt, bool aFailed,
                    time_point aNow)
{
  server* used = Find(aState, aServer);
  if (used == nullptr) {
    return;
  }
  const auto dispatched = std::find(used->mUnreportedDispatches.begin(),
                                    used->mUnreportedDispatches.end(), aDispatchedAt);
  if (dispatched != used->mUnreportedDispatches.end()) {
    used->mUnreportedDispatches.erase(dispatched);
  } else {
    used->mUnreportedEnds.push_back(aNow);
  }
  const options& limits = aState.mOptions;
  if (!aFailed) {
    used->mConsecutiveFailures = 0;
    if (aNow - used->mEjectedUntil >= limits.mRampDuration) {
      used->mConsecutiveEjections = 0;
    }
    return;
  }
  ++used->mConsecutiveFailures;
  // The failure count is kept after an ejection, so that a single failure of a server that is still
  // broken ejects it again. Failures of requests that were in flight at the ejection don't extend
  // it.
  if (used->mConsecutiveFailures >= limits.mFailuresToEject && aNow >= used->mEjectedUntil) {
    duration ejected = limits.mFirstEjectionDuration;
    for (int i = 0; i < used->mConsecutiveEjections && ejected < limits.mMaxEjectionDuration; ++i) {
      ejected *= 2;
    }
    used->mEjectedUntil = aNow + std::min(ejected, limits.mMaxEjectionDuration);
    used->mRampStart = used->mEjectedUntil;
    ++used->mConsecutiveEjections;
  }
}

std::int64_t EstimatedLoad(const state& aState, const server& aServer)
{
  if (!aState.mOptions.mCountOwnDispatches) {
    return aServer.mReportedLoad;
  }
  return std::max<std::int64_t>(0, aServer.mReportedLoad -
                                     static_cast<std::int64_t>(aServer.mUnreportedEnds.size())) +
         static_cast<std::int64_t>(aServer.mUnreportedDispatches.size());
}

} // namespace tamarackweir::balancing
