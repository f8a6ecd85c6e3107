#include "capacity/capacity.h"

#include "capacity/internal.h"

#include <algorithm>
#include <vector>

namespace tamarackweir::capacity {

namespace {

// With fewer samples, first-token times are not compared with the median.
constexpr std::size_t kMinSamples = 8;

duration Median(const std::deque<duration>& aTimes)
{
  std::vector<duration> sorted(aTimes.begin(), aTimes.end());
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  return *middle;
}

} // namespace

namespace internal {

server_state& FindOrAddServer(state& aState, const server_id& aServer)
{
  return aState.mServers[aServer];
}

void MarkCold(server_state& aServer, time_point aNow)
{
  if (!aServer.mCold) {
    // A new cold start: spread the first credit requests of the instances again.
    aServer.mNextAskAt = {};
    aServer.mCandidateRank = 0;
  }
  aServer.mCold = true;
  aServer.mColdObserved = true;
  aServer.mColdSince = aNow;
  aServer.mConsecutiveSlow = 0;
}

} // namespace internal

void OnSettings(state& aState, const server_id& aServer, std::int64_t aColdLimit)
{
  internal::FindOrAddServer(aState, aServer).mSettingsColdLimit = aColdLimit;
}

void OnServerGone(state& aState, const server_id& aServer)
{
  aState.mServers.erase(aServer);
}

actions OnLoadReport(state& aState, const load_report& aReport, time_point aNow)
{
  server_state& server = internal::FindOrAddServer(aState, aReport.mServer);
  const bool restarted = server.mReported && aReport.mEpoch != server.mReport.mEpoch;
  if (server.mReported && (restarted ? aReport.mMeasuredAt < server.mReport.mMeasuredAt
                                     : aReport.mSequence <= server.mReport.mSequence)) {
    return {};
  }
  const bool first = !server.mReported;
  server.mReported = true;
  server.mReport = aReport;
  if (restarted) {
    server.mFirstTokens.clear();
  }
  if (restarted || aReport.mCold) {
    internal::MarkCold(server, aNow);
  } else if (server.mCold &&
             (aReport.mMeasuredAt > server.mColdSince || (first && !server.mColdObserved))) {
    server.mCold = false;
    server.mColdObserved = false;
  }
  internal::ApplyReportToLease(aState, server, aNow);
  return {};
}

actions OnServerRefusal(state& aState, const server_id& aServer, time_point aNow)
{
  internal::MarkCold(internal::FindOrAddServer(aState, aServer), aNow);
  return {};
}

actions OnFirstToken(state& aState, const server_id& aServer, duration aTime, time_point aNow)
{
  server_state& server = internal::FindOrAddServer(aState, aServer);
  if (server.mCold) {
    return {};
  }
  auto& times = server.mFirstTokens;
  if (times.size() >= kMinSamples &&
      static_cast<double>(aTime.count()) >
        aState.mOptions.mSlowFactor * static_cast<double>(Median(times).count())) {
    if (++server.mConsecutiveSlow >= aState.mOptions.mConsecutiveSlowLimit) {
      internal::MarkCold(server, aNow);
      // If reports show the server as warm nevertheless, the slower times are its new normal.
      times.clear();
    }
    return {};
  }
  server.mConsecutiveSlow = 0;
  times.push_back(aTime);
  if (times.size() > aState.mOptions.mMedianSamples) {
    times.pop_front();
  }
  return {};
}

actions OnColdAnnouncement(state& aState, const cold_announcement& aAnnouncement, time_point aNow)
{
  server_state& server = internal::FindOrAddServer(aState, aAnnouncement.mServer);
  internal::MarkCold(server, aNow);
  if (!server.mHeldLease && aAnnouncement.mFencingNumber >= server.mHolderFencingNumber &&
      aAnnouncement.mHolder != aState.mSelf) {
    server.mHolder = aAnnouncement.mHolder;
    server.mHolderFencingNumber = aAnnouncement.mFencingNumber;
  }
  return {};
}

bool IsCold(const state& aState, const server_id& aServer)
{
  const auto found = aState.mServers.find(aServer);
  return found == aState.mServers.end() || found->second.mCold;
}

} // namespace tamarackweir::capacity
