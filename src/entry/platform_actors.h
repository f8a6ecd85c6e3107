#pragma once

#include "entry/control_actor.h"

namespace tamarackweir::entry {

/// Starts the actors that call the platform and backend servers' control endpoints. Each has a
/// thread of its own, because the HTTP client blocks. They answer to the sender of each message.
///
/// A table operation that waited in the queue for more than 2 s is answered as unreachable without
/// being sent, so that a slow table is not given a backlog of operations whose owners have stopped
/// to wait.
void SpawnPlatformActors(caf::actor_system& aSystem, const instance_settings& aSettings,
                         worker_actors& aWorkers);

/// Starts the actor that has answers rated and tells `aControl`. It drops jobs that waited for more
/// than a second, because a slow rating service must not fill the memory with answers.
caf::actor SpawnRater(caf::actor_system& aSystem, const platform::endpoint& aRating,
                      const caf::actor& aControl);

} // namespace tamarackweir::entry
