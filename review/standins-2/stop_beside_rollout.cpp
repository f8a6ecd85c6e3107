// An instance is stopped in order (SIGTERM) while a bad version is brought in. Streams that a sound
// runner of the old version would finish well inside the grace must not be broken off.

#include "world.h"

#include <random>

using namespace review;

namespace {

constexpr int kStreams = 180;
constexpr int kEngines = 9; ///< of each version
constexpr int kEvents = 93;
constexpr int kCalmEvents = 20;
constexpr int kPauseAfter = 85;  ///< events
constexpr double kFirstS = 0.3;  ///< until the first event of a stream that begins anew
constexpr double kEventS = 0.03; ///< between two events
constexpr double kPauseS = 2.2;  ///< once in a stream; its client stays for 9.6 s
constexpr double kGapTargetMs = 1200;
constexpr double kGraceS = 8;     ///< graceS
constexpr double kBadShare = 0.5; ///< of the bad version's answers are failures
constexpr double kRolloutS = 16;
constexpr int kCalmStreams = 200;
constexpr double kCalmS = 10; ///< a window of the retry budget

/// A runner of engines, with versions.
class engine
{
public:
  engine(std::string aId, std::string aVersion, bool aIsBad, record& aRecord)
    : mId(std::move(aId))
    , mVersion(std::move(aVersion))
    , mIsBad(aIsBad)
    , mRecord(aRecord)
    , mServer(
        [this](connection& aLink, const message& aRequest) { return Handle(aLink, aRequest); })
  {
  }
  const std::string& Id() const { return mId; }
  std::string Entry() const
  {
    return json{
      { "service", "weir-llm" }, { "address", mServer.Address() },
      { "zone", "sapporo-a" },   { "version", mVersion },
      { "slots", 128 },          { "state", "ready" },
      { "coldRemainingMs", 0 },  { "born", 1700000000000 },
      { "sequence", 1 }
    }.dump();
  }

private:
  bool Handle(connection& aLink, const message& aRequest)
  {
    if (aRequest.Target() == "/report" || aRequest.Target() == "/healthz") {
      return aLink.Write(
        Answer(200, "X-Instance-Id: " + mId + "\r\n", json{ { "born", 1700000000000 } }.dump()));
    }
    const std::string attempt = aRequest.Get("x-attempt-id");
    if (aRequest.Get("x-expect-instance") != mId) {
      return aLink.Write(Answer(421, "X-Not-Executed: 1\r\n", ""));
    }
    const std::string after = aRequest.Get("last-event-id");
    mRecord.Line("run by ", mId, " (", mVersion, "): ", attempt,
                 after.empty() ? "" : ", on from event " + after);
    const std::string head =
      "X-Attempt-Id: " + attempt + "\r\nX-Response-Seal: seal-" + attempt + "\r\n";
    if (mIsBad && mCount++ % 2 < 2 * kBadShare) {
      mRecord.Line(mId, " (", mVersion, ") answers ", attempt, " with 500");
      return aLink.Write(Answer(500, head, "failed"));
    }
    // In the first seconds the engines have no other prompts to read.
    const bool isCalm = attempt.rfind("calm", 0) == 0;
    const int events = isCalm ? kCalmEvents : kEvents;
    Sleep(after.empty() && !isCalm ? kFirstS : kEventS);
    if (!aLink.Write("HTTP/1.1 200 OK\r\n" + head +
                     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    for (int event = after.empty() ? 1 : std::atoi(after.c_str()) + 1; event <= events; ++event) {
      const std::string text = "id: " + std::to_string(event) + "\ndata: " + attempt + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      if (!aLink.Write(size + text + "\r\n")) {
        mRecord.Line(mId, " (", mVersion, ") is cut off in ", attempt, " at event ", event);
        return false;
      }
      Sleep(event == kPauseAfter && after.empty() ? kPauseS : kEventS);
    }
    return aLink.Write("0\r\n\r\n");
  }

  std::string mId;
  std::string mVersion;
  bool mIsBad;
  std::atomic<unsigned> mCount{ 0 };
  record& mRecord;
  server mServer;
};

std::string Request(const std::string& aId, int aPart)
{
  char part[40];
  std::snprintf(part, sizeof part, "5c1e07a2:172,%08x:60", aPart);
  return "POST /chat/x HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: " + aId +
         "\r\nX-Model: m0\r\nX-Token-Count: 232,279\r\nX-Prompt-Prefix: " + part +
         "\r\nX-Deadline-Ms: 25000\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n"
         "Connection: close\r\n\r\n";
}

std::string Configuration()
{
  return json{
    { "version", 1 },
    { "routes",
      { { { "name", "chat" },
          { "host", "app.example" },
          { "prefix", "/chat/" },
          { "kind", "streaming" },
          { "service", "weir-llm" },
          { "timeoutMs", 25000 },
          { "targetLatencyMs", 2000 },
          { "gapTargetMs", kGapTargetMs },
          { "stickySessions", true },
          { "resumable", true },
          { "maxAttempts", 3 } } } },
    { "services",
      { { { "name", "weir-llm" },
          { "healthPath", "/healthz" },
          { "engine", { { "slots", 128 }, { "kvCapacityTokens", 232421 } } } } } },
    { "limits",
      { { "maxHeaderBytes", 16384 },
        { "maxBodyBytes", 4194304 },
        { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", 15000 } } },
    { "tenants", { { { "name", "depot" }, { "apiKeys", { "key" } }, { "priority", 1 } } } }
  }.dump();
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    return 2;
  }
  record log(aArguments[2]);
  const bool hasTrouble = std::string(aArguments[3]) != "0";
  const std::string folder = TemporaryFolder();
  store platform;
  platform.Put("op", "config", Configuration());
  std::vector<std::unique_ptr<engine>> engines;
  const auto add = [&](const std::string& aVersion, bool aIsBad) {
    for (int i = 0; i < kEngines; ++i) {
      engines.push_back(
        std::make_unique<engine>("i-" + aVersion + "-" + std::to_string(i), aVersion, aIsBad, log));
      platform.Put("servers", engines.back()->Id(), engines.back()->Entry());
    }
  };
  add("v1", false);
  gateway stopped(aArguments[1], folder, "front-0", SettingsOf(platform.Address()));
  gateway other(aArguments[1], folder, "front-1", SettingsOf(platform.Address()));
  for (gateway* const instance : { &stopped, &other }) {
    instance->Settings()["seeds"] = { stopped.Control(), other.Control() };
    instance->Start();
  }
  if (!stopped.AwaitReady(15) || !other.AwaitReady(15)) {
    return 2;
  }
  std::vector<std::thread> calm;
  for (int i = 0; i < kCalmStreams; ++i) {
    calm.emplace_back([&stopped, i] {
      Sleep(0.5 + i * kCalmS / kCalmStreams);
      (void)Ask(stopped.Front(), Request("calm-" + std::to_string(i), i), 10);
    });
  }
  for (std::thread& client : calm) {
    client.join();
  }

  std::atomic<int> whole{ 0 };
  std::atomic<int> refused{ 0 };
  std::atomic<int> failed{ 0 };
  std::atomic<int> lost{ 0 };
  std::vector<std::thread> clients;
  const double begin = Seconds();
  for (int i = 0; i < kStreams; ++i) {
    clients.emplace_back([&, i] {
      Sleep(i * 0.5 / kStreams);
      const std::string id = "chat-" + std::to_string(i);
      const int socket = Connect(stopped.Front());
      if (socket < 0) {
        ++refused;
        return;
      }
      connection link(socket);
      link.Write(Request(id, 0x1000 + i));
      const auto answer = link.Read(Seconds() + 20, true);
      if (!answer) {
        ++lost;
        log.Line("LOST: ", id, " was closed without a whole answer, ", Seconds() - begin,
                 " s after the first request");
      } else if (answer->Status() == 200) {
        ++whole;
      } else {
        ++(answer->Status() == 503 ? refused : failed);
        log.Line("client: ", id, " -> ", answer->Status());
      }
    });
  }
  Sleep(0.6);
  log.Line("operator orders the roll-out of v2, which is ", hasTrouble ? "bad" : "good");
  add("v2", hasTrouble);
  platform.Put(
    "op", "rollout/weir-llm",
    json{ { "service", "weir-llm" }, { "to", "v2" }, { "durationS", kRolloutS } }.dump());
  Sleep(0.2);
  const double terminated = Seconds();
  kill(stopped.Pid(), SIGTERM);
  log.Line("front-0 gets SIGTERM");
  for (std::thread& client : clients) {
    client.join();
  }
  log.Line("all clients are done ", Seconds() - terminated,
           " s after the SIGTERM; the last sixth of "
           "the grace begins after ",
           kGraceS * 5 / 6);
  log.Line("whole: ", whole, ", refused: ", refused, ", failed with a whole answer: ", failed,
           ", lost: ", lost);
  for (gateway* const instance : { &stopped, &other }) {
    instance->Kill();
  }
  std::filesystem::remove_all(folder);
  std::_Exit(lost > 0 ? 1 : whole == 0 ? 2 : 0);
}
