#pragma once

#include "control/state.h"
#include "entry/runtime.h"

#include <string>
#include <vector>

namespace tamarackweir::entry {

/// Actors that the control actor hands work to.
struct worker_actors
{
  std::vector<caf::actor> mTableWriters; ///< used in turn
  std::vector<caf::actor> mTableReaders;
  caf::actor mObjects;
  caf::actor mList;
  std::vector<caf::actor> mLoads;
  caf::actor mOrders;
  caf::actor mPeers;
};

/// What the control actor starts with.
struct control_options
{
  control::start_options mStart;
  worker_actors mWorkers;
  std::string mPeerKey;
  published_settings* mPublished = nullptr;
  observe::metrics* mMetrics = nullptr;
};

/// Starts the actor that owns all decisions of the instance and performs their effects.
caf::actor SpawnControl(caf::actor_system& aSystem, control_options aOptions);

} // namespace tamarackweir::entry
