#pragma once

#include "backends/fleet.h"

#include <vector>

namespace tamarackweir::placement {

struct demand;

/// Load of other instances at the mean server of a service, and how it changes.
struct mean_load
{
  bool mIsKnown = false; ///< without reports, the instance's own load counts alone
  double mRequests = 0;
  double mRequestMs = 0;  ///< time that a request stays at a server; 0: not known
  double mArrivingMs = 0; ///< work that others send to a server until the next report
};

/// Load of a server now, over all instances.
struct expected_load
{
  double mRequests = 0;
  double mPrefillMs = 0;
};

/// The mean over the service's servers, as last reported.
mean_load MeanLoad(const backends::fleet& aFleet, const demand& aDemand, time_point aNow);

/// Carries the reported load on to `aNow`. Plain calls that have most likely ended are replaced by
/// what others send to all servers alike, so their number approaches the mean. An engine works off
/// one ms of prefill in each ms; others send prompts to the engines that hold their parts, which no
/// mean tells.
expected_load LoadAt(const backends::backend_server& aServer, const mean_load& aMean,
                     time_point aNow);

/// Whether the server has rejected a request as full since its load was last reported.
bool IsFull(const backends::backend_server& aServer, time_point aNow);

/// Draws an index in proportion to the room below the level that `aArrivingMs` raises the costs to
/// if it fills the lowest ones first. So the instances with the same picture together level the
/// load. Without arriving work the first one is taken.
/// \param aCosts ascending, not empty
/// \param aPoint from 0 to 1
std::size_t IndexByRoom(const std::vector<double>& aCosts, double aArrivingMs, double aPoint);

} // namespace tamarackweir::placement
