#include "base/error.h"
#include "base/log.h"
#include "entry/actor_messages.h"
#include "entry/caller_server.h"
#include "entry/control_actor.h"
#include "entry/operator_server.h"
#include "entry/platform_actors.h"
#include "peer/peer_link.h"

#include <CLI/CLI.hpp>
#include <caf/timestamp.hpp>
#include <csignal>
#include <easylogging++.h>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <random>
#include <sstream>

INITIALIZE_EASYLOGGINGPP

namespace {

using namespace tamarackweir;
using namespace tamarackweir::entry;

constexpr std::size_t kSpansKept = 20000;
constexpr int kLargeBlockBytes = 1 << 17U;
/// Running streams and unsettled bills get this long on a graceful shutdown.
constexpr duration kDrainTimeout = 120s;

std::string ReadFile(const std::string& aFile, const std::string& aSetting)
{
  std::ifstream in(aFile);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in || text.str().empty()) {
    throw error(error_kind::InvalidInput,
                "the file '" + aFile + "' of '" + aSetting + "' can't be read",
                "check the path, the permissions and that it is not empty");
  }
  return text.str();
}

std::uint64_t RandomNumber()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

caf::behavior PeerSenderBehavior(caf::event_based_actor*)
{
  auto sender = std::make_shared<peer::peer_sender>();
  return { [sender](const send_message& aMessage) {
    sender->Send(aMessage.mAddress, *aMessage.mBytes);
  } };
}

/// Passes authentic messages of peers to the control actor.
std::function<void(const std::string&)> PeerHandler(const caf::actor& aControl,
                                                    const std::string& aKey,
                                                    observe::metrics& aMetrics)
{
  return [aControl, aKey, &aMetrics](const std::string& aBytes) {
    aMetrics.Count("tamarackweir_peer_received_bytes_total", {},
                   static_cast<double>(aBytes.size()));
    try {
      caf::anon_send(
        aControl, peer_message{ std::make_shared<const peer::message>(peer::Open(aBytes, aKey)) });
    } catch (const error& failure) {
      aMetrics.Count("tamarackweir_peer_refused_messages_total");
      Log(log_level::Warning, "peer_message_refused", { { "error", failure.what() } });
    }
  };
}

control::start_options MakeStart(const instance_settings& aSettings, start_epoch aEpoch,
                                 std::int64_t aWallMicros)
{
  return { .mSelf = { .mId = aSettings.mId,
                      .mEpoch = aEpoch,
                      .mOwner = aSettings.mOwner,
                      .mDataCentre = aSettings.mDataCentre,
                      .mPeerAddress = platform::ToString(aSettings.mPeers) },
           .mSeed = RandomNumber(),
           .mSessionKeys =
             sessions::ParseKeys(ReadFile(aSettings.mSessionKeysFile, "session_keys_file")),
           .mWallNow = claims::wall_seconds(aWallMicros / 1000000) };
}

/// Reads the session keys again; a broken file leaves the old keys in force.
void ReloadKeys(const runtime& aRuntime)
{
  try {
    auto keys = std::make_shared<const sessions::key_ring>(
      sessions::ParseKeys(ReadFile(aRuntime.mSettings.mSessionKeysFile, "session_keys_file")));
    caf::anon_send(aRuntime.mControl, keys_message{ keys });
    Log(log_level::Info, "session_keys_read", { { "signing_key", keys->mSigningKey.mId.Value() } });
  } catch (const error& failure) {
    Log(log_level::Error, "session_keys_unreadable", { { "error", failure.what() } });
  }
}

/// Waits for signals: SIGHUP reads the keys again, SIGTERM and SIGINT shut down.
void ServeUntilStopped(const runtime& aRuntime, const sigset_t& aSignals)
{
  for (;;) {
    int signal = 0;
    sigwait(&aSignals, &signal);
    if (signal != SIGHUP) {
      Log(log_level::Info, "shutdown_begun", { { "signal", signal } });
      return;
    }
    ReloadKeys(aRuntime);
  }
}

/// Ends all actors before the objects that they use, also when a port can't be bound.
struct actor_guard
{
  caf::actor_system& mSystem;
  worker_actors mWorkers;
  caf::actor mControl;
  caf::actor mRater;

  ~actor_guard()
  {
    std::vector<caf::actor> actors{ mControl,       mRater,           mWorkers.mObjects,
                                    mWorkers.mList, mWorkers.mOrders, mWorkers.mPeers };
    for (const auto& group : { mWorkers.mTableWriters, mWorkers.mTableReaders, mWorkers.mLoads }) {
      actors.insert(actors.end(), group.begin(), group.end());
    }
    for (const caf::actor& actor : actors) {
      if (actor) {
        caf::anon_send_exit(actor, caf::exit_reason::user_shutdown);
      }
    }
    mSystem.await_all_actors_done();
  }
};

int Run(const instance_settings& aSettings)
{
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : { SIGTERM, SIGINT, SIGHUP }) {
    sigaddset(&signals, signal);
  }
  // Before any thread starts, so that only ServeUntilStopped takes these signals.
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  caf::actor_system_config config;
  // With the default policy (stealing) each idle worker looks for work every 10 ms, a third of the
  // processor time of an idle instance; workers that share a queue sleep until work arrives.
  config.set("scheduler.policy", caf::atom("sharing"));
  caf::actor_system system(config);
  const std::int64_t wallMicros =
    std::chrono::duration_cast<std::chrono::microseconds>(caf::make_timestamp().time_since_epoch())
      .count();
  const start_epoch epoch(RandomNumber());
  published_settings published;
  observe::metrics registry;
  span_store spans(kSpansKept, aSettings.mId.Value(),
                   wallMicros - Now(system).time_since_epoch().count());
  id_generator ids(RandomNumber());
  body_memory callerMemory(static_cast<std::size_t>(aSettings.mCallerMemoryMb) << 20U);
  const std::string peerKey = ReadFile(aSettings.mPeerKeyFile, "peer_key_file");

  control_options options{ .mStart = MakeStart(aSettings, epoch, wallMicros),
                           .mWorkers = {},
                           .mPeerKey = peerKey,
                           .mPublished = &published,
                           .mMetrics = &registry };
  SpawnPlatformActors(system, aSettings, options.mWorkers);
  options.mWorkers.mPeers = system.spawn<caf::detached>(PeerSenderBehavior);
  const worker_actors workers = options.mWorkers;
  const caf::actor control = SpawnControl(system, std::move(options));
  const caf::actor rater =
    aSettings.mRating ? SpawnRater(system, *aSettings.mRating, control) : caf::actor();
  const actor_guard guard{ system, workers, control, rater };
  const runtime shared{ .mSystem = system,
                        .mControl = control,
                        .mRater = rater,
                        .mSettings = aSettings,
                        .mEpoch = epoch,
                        .mPublished = published,
                        .mMetrics = registry,
                        .mSpans = spans,
                        .mIds = ids,
                        .mCallerMemory = callerMemory };
  int status = EXIT_SUCCESS;
  {
    const peer::peer_receiver receiver(aSettings.mPeers, PeerHandler(control, peerKey, registry));
    const operator_server operators(shared);
    const caller_server callers(shared);
    Log(log_level::Info, "instance_started",
        { { "instance", aSettings.mId.Value() },
          { "epoch", epoch.Value() },
          { "data_centre", aSettings.mDataCentre.Value() },
          { "callers", platform::ToString(aSettings.mCallers) } });
    ServeUntilStopped(shared, signals);
    const auto drained = Ask(shared, control::drain{}, kDrainTimeout);
    if (std::holds_alternative<problem>(drained)) {
      Log(
        log_level::Error, "shutdown_incomplete",
        { { "remedy", "requests or bill records were left after the drain timeout; see the metrics "
                      "tamarackweir_bill_records_buffered and tamarackweir_active_requests" } });
      status = EXIT_FAILURE;
    }
  }
  Log(log_level::Info, "instance_stopped", { { "instance", aSettings.mId.Value() } });
  return status;
}

} // namespace

int main(int argc, char** argv)
{
  CLI::App app{ "tamarackweird: an entry instance of the tamarackweir model router" };
  std::string file;
  bool checkOnly = false;
  app.add_option("--config", file, "the instance's settings file (JSON with comments)")->required();
  app.add_flag("--check", checkOnly, "check the settings file and exit");
  app.footer(
    "Example: tamarackweird --config k-1.json\n"
    "Signals: SIGTERM shuts down gracefully, SIGHUP reads the session keys again.\n"
    "Exit codes: 0 stopped, 1 stopped before everything was handed over, 2 settings are invalid.");
  CLI11_PARSE(app, argc, argv);
  try {
    const instance_settings settings = LoadInstanceSettings(file);
    if (checkOnly) {
      std::cout << file << ": the instance settings are valid\n";
      return EXIT_SUCCESS;
    }
    // The memory of large bodies returns to the system when it is released. By default the first
    // release of such a block lets the allocator keep the following ones, for each thread.
    mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
    ConfigureLog(settings.mLog);
    return Run(settings);
  } catch (const error& failure) {
    std::cerr << "tamarackweird: " << failure.what() << "\n";
    return 2;
  }
}
