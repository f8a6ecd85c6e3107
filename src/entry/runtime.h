#pragma once

#include "control/requests.h"
#include "entry/body_memory.h"
#include "entry/instance_settings.h"
#include "entry/trace.h"
#include "observe/metrics.h"

#include <caf/all.hpp>
#include <memory>
#include <mutex>

namespace tamarackweir::entry {

/// The settings in force, as the control actor last published them.
struct settings_view
{
  std::shared_ptr<const settings::tree> mTree; ///< null before the first revision
  std::shared_ptr<const nlohmann::json> mJson;
  revision mRevision;
};

/// Hands the settings in force from the control actor to request threads.
class published_settings
{
public:
  void Publish(settings_view aView)
  {
    const std::lock_guard lock(mMutex);
    mView = std::move(aView);
  }

  settings_view Get() const
  {
    const std::lock_guard lock(mMutex);
    return mView;
  }

private:
  mutable std::mutex mMutex;
  settings_view mView;
};

/// An answer to be rated after its caller has it.
struct rating_job
{
  request_id mRequest;
  cascade::traffic_key mTraffic;
  model_version mVersion;
  owner_id mOwner;
  std::string mAnswer;
  time_point mEndedAt{};
};

/// What request threads work with. Lives as long as the process.
struct runtime
{
  caf::actor_system& mSystem;
  caf::actor mControl;
  caf::actor mRater; ///< rates answers; drops jobs while it has too many
  instance_settings mSettings;
  start_epoch mEpoch;
  published_settings& mPublished;
  observe::metrics& mMetrics;
  span_store& mSpans;
  id_generator& mIds;
  body_memory& mCallerMemory;
};

/// The time of the actor system's clock, which tests pause.
time_point Now(caf::actor_system& aSystem);

/// Sends an event to the control actor and waits for its answer. An actor that does not answer
/// within `aTimeout` gives a problem with outcome `not_run`; callers that have sent bytes to a
/// backend server replace the outcome.
control::request_reply Ask(const runtime& aRuntime, control::request_event aEvent,
                           duration aTimeout = 60s);

/// Sends an event to the control actor without waiting for its answer.
void Tell(const runtime& aRuntime, control::request_event aEvent);

/// Hands an answer to the rater.
void RequestRating(const runtime& aRuntime, rating_job aJob);

} // namespace tamarackweir::entry
