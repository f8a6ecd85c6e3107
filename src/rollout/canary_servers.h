#pragma once

#include "rollout/shift.h"

#include <cstddef>
#include <vector>

namespace tamarackweir::rollout {

/// A listed server of the new version.
struct canary_candidate
{
  server_id mId;
  bool mIsUsable = true; ///< takes requests, can be reached and is not cold
};

/// For how long the canary uses the same servers. The next ones show whether a server or its
/// version is faulty. Long enough for the requests in flight to reach their usual number.
inline constexpr duration kCanaryTurn = 3s;

/// Load of each server that the new version's share of the requests goes to, relative to the mean
/// load after success. When a data centre is lost or traffic peaks after the old version's servers
/// have stopped, the new ones carry more than the mean, so a small share is judged at nearly twice
/// of it. A large share would overload the servers that it is concentrated on.
inline double CanaryLoad(double aShare)
{
  return 2 - aShare;
}

/// The number of servers among which a share of the requests is divided, so that each carries at
/// least `CanaryLoad` times the load that it has once the new version serves all requests.
std::size_t CanaryServerCount(double aShare, std::size_t aServers);

/// The largest share up to `aShare` at which each server in use carries its future load and little
/// more. A share below that of a single server stays as it is.
double ShareForWholeServers(double aShare, std::size_t aServers);

/// The share of the canary of a roll-out to that many listed servers. Smaller if it leaves room for
/// a load step.
double PlannedCanaryShare(duration aLength, std::size_t aOldServers, std::size_t aNewServers,
                          const schedule_options& aOptions);

/// The servers that the new version's requests go to now; empty if none is usable.
///
/// All instances use the same servers without a message: they walk the rendezvous order of the
/// listed servers from a place that moves on with each turn of the canary, and skip servers that
/// are not usable. In the ramp the place stays and the set grows with the share. A load step starts
/// at a server whose results without load show that it is not faulty itself.
std::vector<server_id> CanaryServers(const shift& aShift, const shift_options& aOptions,
                                     std::vector<canary_candidate> aListed, time_point aNow);

} // namespace tamarackweir::rollout
