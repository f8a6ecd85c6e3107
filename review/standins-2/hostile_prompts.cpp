// A client opens many connections and sends one stream on each, whose prompt has thousands of
// parts. Each header is inside the limit. The process must stay within the memory of its machine,
// and the calls of an ordinary client must be answered.

#include "world.h"

using namespace review;

namespace {

constexpr double kMemoryMb = 260;           ///< memoryMb of the settings
constexpr std::size_t kHeaderBytes = 16384; ///< maxHeaderBytes of the configuration
constexpr int kConnections = 1900;          ///< with as many to runners below the 3,900 for sockets
constexpr int kRunners = 9;
/// Each runner has 211 prompts of 4,000 tokens, and reads 32.4 tokens in a ms.
constexpr double kReadS = 20;
constexpr double kWatchedS = 12;

std::string Configuration()
{
  const auto route = [](const char* aPrefix, const char* aKind, const char* aService,
                        int aTimeoutMs) {
    return json{ { "name", aService },  { "host", "app.example" },   { "prefix", aPrefix },
                 { "kind", aKind },     { "service", aService },     { "timeoutMs", aTimeoutMs },
                 { "maxAttempts", 3 },  { "targetLatencyMs", 2000 }, { "gapTargetMs", 1200 },
                 { "resumable", true }, { "stickySessions", true } };
  };
  return json{
    { "version", 1 },
    { "routes",
      { route("/chat/", "streaming", "weir-llm", 25000),
        route("/status/", "safe", "onboard-app", 1000) } },
    { "services",
      { { { "name", "weir-llm" },
          { "healthPath", "/healthz" },
          { "maxConnections", 630 },
          { "engine", { { "slots", 128 }, { "kvCapacityTokens", 232421 } } } },
        { { "name", "onboard-app" }, { "healthPath", "/healthz" }, { "maxConnections", 110 } } } },
    { "limits",
      { { "maxHeaderBytes", kHeaderBytes },
        { "maxBodyBytes", 4194304 },
        { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", 15000 } } },
    { "tenants",
      { { { "name", "depot" }, { "apiKeys", { "key" } }, { "priority", 1 } },
        { { "name", "other" }, { "apiKeys", { "other-key" } }, { "priority", 1 } } } }
  }.dump();
}

/// A stream's request; its prompt has as many parts of one token as the header holds, or two parts.
std::string Request(int aNumber, bool aHasManyParts)
{
  std::string parts = "5c1e07a2:172," + std::to_string(aNumber) + ":300";
  int tokens = 472;
  if (aHasManyParts) {
    parts.clear();
    for (tokens = 0; parts.size() < kHeaderBytes - 400; ++tokens) {
      parts += "123456789abcdef"[tokens % 15];
      parts += ":1,";
    }
    parts.pop_back();
  }
  return "POST /chat/x HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: many-" +
         std::to_string(aNumber) + "\r\nX-Model: m0\r\nX-Token-Count: " + std::to_string(tokens) +
         ",8\r\nX-Prompt-Prefix: " + parts +
         "\r\nX-Deadline-Ms: 25000\r\nAuthorization: Bearer other-key\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    return 2;
  }
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = std::min<rlim_t>(files.rlim_max, 16384);
  setrlimit(RLIMIT_NOFILE, &files);
  if (files.rlim_cur < 3 * kConnections) {
    return 2;
  }
  record log(aArguments[2]);
  const bool hasTrouble = std::string(aArguments[3]) != "0";
  const std::string folder = TemporaryFolder();
  store platform;
  std::vector<std::unique_ptr<runner>> runners;
  const auto add = [&](const std::string& aService, int aNumber, double aWorkS) {
    runners.push_back(std::make_unique<runner>(
      runner::options{ .mService = aService,
                       .mId = "i-" + aService + "-" + std::to_string(aNumber),
                       .mWorkS = aWorkS,
                       .mIsEngine = aService == "weir-llm" },
      log));
    runners.back()->mIsQuiet = true;
    platform.Put("servers", runners.back()->Id(), runners.back()->Entry());
  };
  for (int i = 0; i < kRunners; ++i) {
    add("weir-llm", i, kReadS);
  }
  for (int i = 0; i < 3; ++i) {
    add("onboard-app", i, 0.03);
  }
  platform.Put("op", "config", Configuration());
  gateway instance(aArguments[1], folder, "front-0", SettingsOf(platform.Address()));
  instance.Start();
  if (!instance.AwaitReady(15)) {
    return 2;
  }
  Sleep(1);
  log.Line("the process holds ", instance.MemoryMb("VmRSS"), " MB; its machine has ", kMemoryMb);

  std::atomic<int> answered{ 0 };
  std::atomic<int> others{ 0 };
  std::atomic<bool> isOver{ false };
  std::thread ordinary([&] {
    for (int i = 0; !isOver; ++i) {
      const auto answer = Ask(
        instance.Front(),
        "GET /status/x HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: status-" + std::to_string(i) +
          "\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer key\r\nConnection: close\r\n\r\n",
        2);
      ++(answer && answer->Status() == 200 ? answered : others);
      Sleep(0.1);
    }
  });
  std::vector<std::unique_ptr<connection>> links;
  for (int i = 0; i < kConnections; ++i) {
    const int socket = Connect(instance.Front());
    if (socket < 0) {
      log.Line("connection ", i, " was refused");
      break;
    }
    links.push_back(std::make_unique<connection>(socket));
    links.back()->Write(Request(i, hasTrouble));
    if (i % 300 == 299) {
      log.Line(i + 1, " streams sent; the process holds ", instance.MemoryMb("VmRSS"), " MB");
    }
  }
  bool isBroken = false;
  int status = 0;
  for (const double end = Seconds() + kWatchedS; Seconds() < end && !isBroken;) {
    Sleep(1);
    if (instance.HasEnded(status)) {
      log.Line("BROKEN: the process has ended by itself, status ", status);
      isBroken = true;
      break;
    }
    std::uint64_t runs = 0;
    for (const auto& one : runners) {
      runs += one->Service() == "weir-llm" ? one->Runs() : 0;
    }
    const double peak = instance.MemoryMb("VmHWM");
    log.Line("runners have ", runs, " streams; the process holds ", instance.MemoryMb("VmRSS"),
             " MB, at most ", peak, "; ordinary calls answered: ", answered, ", not: ", others);
    if (peak > kMemoryMb) {
      log.Line("BROKEN: the process holds more than its machine's memory, and would be killed");
      isBroken = true;
    }
  }
  isOver = true;
  ordinary.join();
  instance.Kill();
  std::filesystem::remove_all(folder);
  std::_Exit(isBroken ? 1 : 0);
}
