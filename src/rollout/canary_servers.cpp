#include "rollout/canary_servers.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>

namespace tamarackweir::rollout {

namespace {

/// Sorts the servers by their rendezvous weights for the order.
void SortForOrder(const shift_order& aOrder, std::vector<canary_candidate>& aServers)
{
  const std::string duty = aOrder.mService.Value() + '/' + aOrder.mNewVersion.Value() + '/' +
                           std::to_string(aOrder.mOrderId);
  std::map<std::uint64_t, canary_candidate> sorted;
  for (canary_candidate& server : aServers) {
    const std::uint64_t weight = DutyWeight(duty, server.mId.Value());
    sorted.emplace(weight, std::move(server));
  }
  aServers.clear();
  std::transform(sorted.begin(), sorted.end(), std::back_inserter(aServers),
                 [](auto& aEntry) { return std::move(aEntry.second); });
}

/// The turns of the canary that have ended by now, or by the start of the ramp.
std::size_t TurnsBefore(const shift& aShift, const shift_options& aOptions, time_point aNow)
{
  const exposure_schedule schedule = ScheduleOf(aShift, aOptions);
  const double elapsed = std::min(ElapsedFraction(aShift, aNow), schedule.mRampStart);
  const bool isStep = HasLoadStep(schedule) && elapsed >= schedule.mLoadStart;
  const auto turnsIn = [&aShift](double aFraction) {
    return std::chrono::duration<double>(aShift.mOrder.mDuration) * std::max(0.0, aFraction) /
           kCanaryTurn;
  };
  const double turns = turnsIn(elapsed - (isStep ? schedule.mLoadStart : schedule.mCanaryStart));
  // The last turn of a load step is not cut short, so that its server is judged, too.
  const double last = std::max(0.0, turnsIn(schedule.mRampStart - schedule.mLoadStart) - 1);
  return static_cast<std::size_t>(isStep ? std::min(turns, last) : turns);
}

} // namespace

std::size_t CanaryServerCount(double aShare, std::size_t aServers)
{
  const double servers = aShare * static_cast<double>(aServers) / CanaryLoad(aShare);
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(servers)));
}

double ShareForWholeServers(double aShare, std::size_t aServers)
{
  constexpr double kMargin = 1.1; // new sessions reach the canary only one after another
  const auto servers = static_cast<double>(aServers);
  const double whole = std::floor(aShare * servers / CanaryLoad(aShare));
  // The share at which `whole` servers carry the load of `CanaryLoad`.
  return whole < 1 ? aShare : std::min(aShare, kMargin * 2 * whole / (servers + whole));
}

double PlannedCanaryShare(duration aLength, std::size_t aOldServers, std::size_t aNewServers,
                          const schedule_options& aOptions)
{
  const double share = CanaryShareFor(aOldServers, aOptions);
  // The new version's servers may not all be listed yet.
  const std::size_t servers =
    aNewServers >= 2 ? aNewServers : std::max<std::size_t>(2, aOldServers);
  return share * static_cast<double>(servers) >= 1
           ? ShareForWholeServers(share, aNewServers)
           : CanaryShareBeforeLoad(aLength, share, LoadStepShare(servers, 1, aOptions), aOptions);
}

std::vector<server_id> CanaryServers(const shift& aShift, const shift_options& aOptions,
                                     std::vector<canary_candidate> aListed, time_point aNow)
{
  const auto usable = static_cast<std::size_t>(std::count_if(
    aListed.begin(), aListed.end(), [](const auto& aServer) { return aServer.mIsUsable; }));
  const exposure_schedule schedule = ScheduleOf(aShift, aOptions);
  std::size_t count = CanaryServerCount(NewVersionShare(aShift, aOptions, aNow), usable);
  if (HasLoadStep(schedule) && ElapsedFraction(aShift, aNow) >= schedule.mLoadStart) {
    // More servers may be listed than when the load step was planned.
    count =
      std::max(count, static_cast<std::size_t>(schedule.mLoadShare * static_cast<double>(usable)));
  }
  const std::size_t step = CanaryServerCount(schedule.mCanaryShare, aListed.size());
  std::size_t first = TurnsBefore(aShift, aOptions, aNow) * step;
  SortForOrder(aShift.mOrder, aListed);
  const std::size_t listed = aListed.size();
  if (HasLoadStep(schedule) && ElapsedFraction(aShift, aNow) >= schedule.mLoadStart) {
    const auto known = std::find_if(aListed.begin(), aListed.end(), [&aShift](const auto& aServer) {
      return aServer.mId == aShift.mProgress->mLoadStep->mFirst;
    });
    // The walk starts at the beginning if the server is gone.
    first += known == aListed.end() ? 0 : static_cast<std::size_t>(known - aListed.begin());
  }
  std::vector<server_id> chosen;
  for (std::size_t i = 0; i < listed && chosen.size() < count; ++i) {
    const canary_candidate& server = aListed[(first + i) % listed];
    if (server.mIsUsable) {
      chosen.push_back(server.mId);
    }
  }
  return chosen;
}

} // namespace tamarackweir::rollout
