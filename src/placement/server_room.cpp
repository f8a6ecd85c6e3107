#include "placement/server_room.h"

#include "placement/choose.h"
#include "placement/load_board.h"

#include <algorithm>
#include <cmath>

namespace tamarackweir::placement {

namespace {

/// Time from a report until the next one, at least (see gateway/load_exchange.cpp).
constexpr double kReportIntervalMs = 200;

double ToMs(duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

double AgeMs(const backends::backend_server& aServer, time_point aNow)
{
  return std::max(0.0, ToMs(aNow - (aServer.mRemoteLoad.mExpiresAt - kLoadLifetime)));
}

bool IsReported(const backends::backend_server& aServer, time_point aNow)
{
  return aNow <= aServer.mRemoteLoad.mExpiresAt;
}

/// Time to a first event against the expected time, as all instances see it.
double SlowdownOf(const backends::backend_server& aServer, time_point aNow)
{
  return aNow < aServer.mPooled.mExpiresAt ? std::max(1.0, aServer.mPooled.mSlowdown) : 1;
}

} // namespace

mean_load MeanLoad(const backends::fleet& aFleet, const demand& aDemand, time_point aNow)
{
  mean_load mean;
  double servers = 0;
  double busyMs = 0;
  const bool isPlain = aDemand.mParts.empty();
  for (const auto& server : backends::ServersOf(aFleet, aDemand.mService)) {
    if (!IsReported(*server, aNow)) {
      continue;
    }
    const backends::remote_load& load = server->mRemoteLoad;
    ++servers;
    mean.mRequests += load.mRequests;
    // As much arrives as is worked off: an engine does one prefill at a time, a plain server
    // handles its requests side by side.
    const double busy = isPlain ? load.mRequests : std::min(1.0, load.mPrefillMs);
    busyMs += busy * (AgeMs(*server, aNow) + kReportIntervalMs);
  }
  if (servers > 0) {
    mean.mIsKnown = true;
    mean.mRequests /= servers;
    mean.mRequestMs = isPlain ? aDemand.mTurnMs : 0;
    mean.mArrivingMs = busyMs / servers;
  }
  return mean;
}

expected_load LoadAt(const backends::backend_server& aServer, const mean_load& aMean,
                     time_point aNow)
{
  if (!aMean.mIsKnown || !IsReported(aServer, aNow)) {
    return { .mRequests = static_cast<double>(backends::RequestsAt(aServer, aNow)),
             .mPrefillMs = backends::PrefillMsAt(aServer, aNow) };
  }
  const double workedMs = AgeMs(aServer, aNow) / SlowdownOf(aServer, aNow);
  const double kept = aMean.mRequestMs > 0 ? std::exp(-workedMs / aMean.mRequestMs) : 1;
  const backends::remote_load& load = aServer.mRemoteLoad;
  return { .mRequests =
             aServer.mInFlight + aMean.mRequests + kept * (load.mRequests - aMean.mRequests),
           .mPrefillMs = aServer.mPrefillMs + std::max(0.0, load.mPrefillMs - workedMs) };
}

bool IsFull(const backends::backend_server& aServer, time_point aNow)
{
  const backends::pooled_view& view = aServer.mPooled;
  const bool isKnownAgain =
    IsReported(aServer, aNow) && view.mFullAt < aServer.mRemoteLoad.mExpiresAt - kLoadLifetime;
  return view.mFullAt != time_point{} && aNow < view.mExpiresAt && !isKnownAgain;
}

std::size_t IndexByRoom(const std::vector<double>& aCosts, double aArrivingMs, double aPoint)
{
  double sum = aArrivingMs;
  double level = aCosts.front();
  std::size_t used = 0;
  while (used < aCosts.size() && (used == 0 || aCosts[used] < level)) {
    sum += aCosts[used];
    ++used;
    level = sum / static_cast<double>(used);
  }
  double left = aPoint * aArrivingMs;
  for (std::size_t i = 0; i < used; ++i) {
    left -= level - aCosts[i];
    if (left <= 0) {
      return i;
    }
  }
  return used - 1;
}

} // namespace tamarackweir::placement
