// The store comes back from a copy that is some seconds old, with lower versions (a drill). Later
// the operator drops a key and adds a route; the processes must follow within the bounds.

#include "world.h"

using namespace review;

namespace {

constexpr int kInstances = 3;
constexpr double kConfigApplyS = 2; ///< configApplyMs
constexpr double kStableS = 3;      ///< stableWindowMs
constexpr double kAwayS = 1;        ///< the store is away for a moment
constexpr double kCopyAgeS = 4;     ///< the copy is some seconds old
constexpr double kSlackS = 3;       ///< beyond both bounds, before anything is judged

json Route(const std::string& aPrefix, const std::string& aService)
{
  return { { "name", "r" + aPrefix },  { "host", "app.example" }, { "prefix", aPrefix },
           { "kind", "safe" },         { "service", aService },   { "timeoutMs", 2000 },
           { "targetLatencyMs", 150 }, { "maxAttempts", 2 } };
}

std::string Configuration(int aVersion, const std::vector<std::string>& aPrefixes,
                          const std::vector<std::string>& aKeys, int aTimeoutMs)
{
  json routes = json::array();
  for (const std::string& prefix : aPrefixes) {
    json route = Route(prefix, "onboard-app");
    route["timeoutMs"] = aTimeoutMs;
    routes.push_back(route);
  }
  return json{
    { "version", aVersion },
    { "routes", routes },
    { "services", { { { "name", "onboard-app" }, { "healthPath", "/healthz" } } } },
    { "limits",
      { { "maxHeaderBytes", 16384 },
        { "maxBodyBytes", 4194304 },
        { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", 15000 } } },
    { "tenants", { { { "name", "depot" }, { "apiKeys", aKeys }, { "priority", 1 } } } }
  }.dump();
}

int gCalls = 0;

/// The status of a call, 0 without an answer.
int Call(record& aRecord, const gateway& aInstance, const std::string& aPrefix,
         const std::string& aKey)
{
  const std::string id = "call-" + std::to_string(++gCalls);
  const auto answer = Ask(
    aInstance.Front(),
    "GET " + aPrefix + "x HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: " + id +
      "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer " + aKey + "\r\nConnection: close\r\n\r\n",
    4);
  const int status = answer ? answer->Status() : 0;
  aRecord.Line("client to ", aInstance.Name(), ": ", id, " GET ", aPrefix, "x with ", aKey, " -> ",
               status);
  return status;
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    return 2;
  }
  const std::string program = aArguments[1];
  record log(aArguments[2]);
  const bool hasTrouble = std::string(aArguments[3]) != "0";
  const std::string folder = TemporaryFolder();
  store platform;
  runner one({ .mService = "onboard-app", .mId = "i-one" }, log);
  runner two({ .mService = "onboard-app", .mId = "i-two" }, log);
  for (const runner* const each : { &one, &two }) {
    platform.Put("servers", each->Id(), each->Entry());
  }
  platform.Put("op", "config", Configuration(1, { "/old/" }, { "key-kept", "key-dropped" }, 2000));
  std::vector<std::unique_ptr<gateway>> instances;
  for (int i = 0; i < kInstances; ++i) {
    instances.push_back(std::make_unique<gateway>(program, folder, "front-" + std::to_string(i),
                                                  SettingsOf(platform.Address())));
  }
  json seeds = json::array();
  for (const auto& instance : instances) {
    seeds.push_back(instance->Control());
  }
  for (const auto& instance : instances) {
    instance->Settings()["seeds"] = seeds;
    instance->Start();
  }
  for (const auto& instance : instances) {
    if (!instance->AwaitReady(15) || Call(log, *instance, "/old/", "key-dropped") != 200) {
      log.Line("could not run: ", instance->Name(), " does not serve");
      return 2;
    }
  }
  Sleep(2); // the instances write their rows

  log.Line("store at version ", platform.Version(), ": a copy is made");
  platform.Copy();
  for (int version = 2; version <= 5; ++version) {
    Sleep(kCopyAgeS / 4);
    platform.Put(
      "op", "config",
      Configuration(version, { "/old/" }, { "key-kept", "key-dropped" }, 2000 + version));
    log.Line("operator writes configuration ", version, ", store at ", platform.Version());
  }
  Sleep(0.5);
  if (hasTrouble) {
    platform.GoAway();
    log.Line("store goes away at version ", platform.Version());
    Sleep(kAwayS);
    platform.Restore();
    log.Line("store is back from the copy, at version ", platform.Version());
  }
  Sleep(2 * kStableS);

  const std::uint64_t callsBefore = platform.Calls();
  platform.Put("op", "config", Configuration(6, { "/old/", "/new/" }, { "key-kept" }, 2006));
  const double acknowledged = Seconds();
  log.Line(
    "operator writes configuration 6 (adds /new/, drops key-dropped), acknowledged, store at ",
    platform.Version());
  Sleep(kConfigApplyS + kSlackS);
  int broken = 0;
  for (int round = 0; round < 10; ++round) {
    for (const auto& instance : instances) {
      const int added = Call(log, *instance, "/new/", "key-kept");
      const int dropped = Call(log, *instance, "/old/", "key-dropped");
      const int kept = Call(log, *instance, "/old/", "key-kept");
      if (added == 404 || dropped == 200) {
        ++broken;
        log.Line("BROKEN at ", instance->Name(), ", ", Seconds() - acknowledged,
                 " s after the acknowledgement: the added route answers ", added,
                 ", the dropped key ", dropped);
      } else if (kept != 200) {
        log.Line("note: the kept route answered ", kept);
      }
    }
    Sleep(1);
  }
  const double watched = Seconds() - acknowledged;
  log.Line("store calls since configuration 6: ", platform.Calls() - callsBefore, " in ", watched,
           " s");
  log.Line(broken, " of 30 looks at instances found the old configuration in force");
  for (const auto& instance : instances) {
    instance->Kill();
  }
  std::filesystem::remove_all(folder);
  std::_Exit(broken > 0 ? 1 : 0);
}
