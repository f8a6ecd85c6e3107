#include "routing/route_table.h"

#include <algorithm>
#include <cctype>

namespace tamarackweir::routing {

namespace {

std::string NormalizedHost(std::string_view aHost)
{
  // Removes a port after the host name or bracketed IPv6 literal; colons of the literal are kept.
  if (const auto colon = aHost.rfind(':');
      colon != std::string_view::npos && aHost.find(']', colon) == std::string_view::npos) {
    aHost = aHost.substr(0, colon);
  }
  std::string host(aHost);
  std::transform(host.begin(), host.end(), host.begin(),
                 [](unsigned char aCharacter) { return std::tolower(aCharacter); });
  return host;
}

} // namespace

void AddRoute(route_table& aTable, route aRoute)
{
  aTable.mHosts[NormalizedHost(aRoute.mHost)].push_back(std::move(aRoute));
}

void SortRoutes(route_table& aTable)
{
  for (auto& [host, routes] : aTable.mHosts) {
    std::stable_sort(routes.begin(), routes.end(), [](const route& aLeft, const route& aRight) {
      return aLeft.mPrefix.size() > aRight.mPrefix.size();
    });
  }
}

resolution Resolve(const route_table& aTable, std::string_view aHost, std::string_view aPath,
                   std::string_view aKey)
{
  resolution result;
  const auto host = aTable.mHosts.find(NormalizedHost(aHost));
  if (host == aTable.mHosts.end()) {
    return result;
  }
  const std::string_view path = aPath.substr(0, aPath.find('?'));
  const auto match =
    std::find_if(host->second.begin(), host->second.end(), [path](const route& aRoute) {
      return path.substr(0, aRoute.mPrefix.size()) == aRoute.mPrefix;
    });
  if (match == host->second.end()) {
    return result;
  }
  if (aTable.mHasAccounts) {
    const auto found = aTable.mAccountsByKey.find(std::string(aKey));
    if (found != aTable.mAccountsByKey.end()) {
      result.mAccount = &found->second;
    } else if (!match->mAllowAnonymous) {
      result.mDenial = denial::UnknownKey;
      return result;
    }
  }
  result.mRoute = &*match;
  return result;
}

const service_id& PickService(const route& aRoute, double aPoint)
{
  double total = 0;
  for (const service_share& share : aRoute.mServices) {
    total += share.mWeight;
  }
  double left = aPoint * total;
  for (const service_share& share : aRoute.mServices) {
    left -= share.mWeight;
    if (left < 0) {
      return share.mService;
    }
  }
  return aRoute.mServices.back().mService;
}

} // namespace tamarackweir::routing
