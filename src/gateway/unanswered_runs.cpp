#include "gateway/unanswered_runs.h"

#include <algorithm>
#include <utility>

namespace tamarackweir::gateway {

namespace {

enum class server_fate
{
  Unknown,
  Crashed,
  Outlived, ///< or left as announced, or it was never found out
};

server_fate FateOf(const unanswered_run& aRun, time_point aNow)
{
  const backends::backend_server& server = *aRun.mServer;
  const time_point ended = backends::EndedAt(server);
  if (server.mAnnounced.mIsLeaving || server.mSaysItLeaves ||
      server.mSeen.mAnsweredSentAt > aRun.mUntil || aNow > aRun.mUntil + kCrashFoundWithin) {
    return server_fate::Outlived;
  }
  return ended >= aRun.mCrash.mSent && ended >= server.mSeen.mAnsweredSentAt ? server_fate::Crashed
                                                                             : server_fate::Unknown;
}

} // namespace

void Keep(unanswered_runs& aRuns, unanswered_run aRun)
{
  if (aRuns.mRuns.size() >= kMaxUnansweredRuns) {
    aRuns.mRuns.erase(aRuns.mRuns.begin());
  }
  aRuns.mRuns.push_back(std::move(aRun));
}

std::vector<unanswered_run> TakeCrashed(unanswered_runs& aRuns, time_point aNow)
{
  std::vector<unanswered_run> crashed;
  std::erase_if(aRuns.mRuns, [&](unanswered_run& aRun) {
    const server_fate fate = FateOf(aRun, aNow);
    if (fate == server_fate::Crashed) {
      aRun.mCrash.mAt = std::min(backends::EndedAt(*aRun.mServer), aRun.mUntil);
      crashed.push_back(std::move(aRun));
    }
    return fate != server_fate::Unknown;
  });
  return crashed;
}

} // namespace tamarackweir::gateway
