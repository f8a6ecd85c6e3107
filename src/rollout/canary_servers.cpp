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
  const double turns = std::chrono::duration<double>(aShift.mOrder.mDuration) *
                       std::max(0.0, elapsed - schedule.mCanaryStart) / kCanaryTurn;
  return static_cast<std::size_t>(turns);
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

std::vector<server_id> CanaryServers(const shift& aShift, const shift_options& aOptions,
                                     std::vector<canary_candidate> aListed, time_point aNow)
{
  const auto usable = static_cast<std::size_t>(std::count_if(
    aListed.begin(), aListed.end(), [](const auto& aServer) { return aServer.mIsUsable; }));
  const std::size_t count = CanaryServerCount(NewVersionShare(aShift, aOptions, aNow), usable);
  const std::size_t step =
    CanaryServerCount(ScheduleOf(aShift, aOptions).mCanaryShare, aListed.size());
  const std::size_t first = TurnsBefore(aShift, aOptions, aNow) * step;
  SortForOrder(aShift.mOrder, aListed);
  const std::size_t listed = aListed.size();
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
