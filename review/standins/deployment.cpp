#include "deployment.h"

#include <cstdlib>
#include <filesystem>

namespace review {

namespace {

constexpr int kEvents = 17;

} // namespace

json Configuration()
{
  const auto route = [](const char* aName, const char* aPrefix, const char* aKind,
                        const std::string& aService, int aTimeoutMs, int aTargetMs, int aAttempts) {
    json result{
      { "name", aName },          { "host", kHost },           { "prefix", aPrefix },
      { "kind", aKind },          { "timeoutMs", aTimeoutMs }, { "targetLatencyMs", aTargetMs },
      { "priority", 1 },          { "service", aService },     { "maxAttempts", aAttempts },
      { "allowAnonymous", false }
    };
    if (aKind == std::string("streaming")) {
      result["sizes"] = { "daka510000", "rada7437b5", "ravo486f6a" };
      result["stickySessions"] = true;
      result["resumable"] = true;
      result["gapTargetMs"] = 1200;
    }
    return result;
  };
  return json{ { "version", 7 },
               { "routes",
                 { route("doc-review", "/lohu930/", "streaming", kModelService, 10000, 4000, 3),
                   route("activate", "/puxa403/", "unsafe", kAppService, 1000, 150, 1),
                   route("status-lookup", "/cufi504/", "safe", kAppService, 1000, 150, 2) } },
               { "services",
                 { { { "name", kModelService },
                     { "healthPath", "/healthz" },
                     { "maxConnections", 630 },
                     { "protocol", "h1" },
                     { "tls", false },
                     { "coldStartS", 3.0 },
                     { "coldPerS", 9.0 } },
                   { { "name", kAppService },
                     { "healthPath", "/healthz" },
                     { "maxConnections", 110 },
                     { "protocol", "h1" },
                     { "tls", false },
                     { "coldStartS", 0.0 },
                     { "coldPerS", 0.0 } } } },
               { "limits",
                 { { "maxHeaderBytes", 16384 },
                   { "maxBodyBytes", 4194304 },
                   { "headerTimeoutMs", 3000 },
                   { "idleTimeoutMs", 15000 } } },
               { "tenants", json::array({ { { "name", kTenant },
                                            { "apiKeys", json::array({ kKey }) },
                                            { "priority", 1 } } }) } };
}

std::string StreamEvent(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: piece " + std::to_string(aId) + "\n\n";
}

std::string Chunk(const std::string& aBytes)
{
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", aBytes.size());
  return size + aBytes + "\r\n";
}

bool DoSoundWork(runner&, connection& aPeer, const message& aRequest)
{
  constexpr double kFirstEventS = 0.06;
  constexpr double kEventS = 0.02;
  constexpr double kPlainS = 0.03;
  if (aRequest.Target().rfind("/lohu930/", 0) != 0) {
    return Work(aPeer, kPlainS) &&
           aPeer.Send(
             Answer(aRequest, 200, "done " + aRequest.Header("x-attempt-id").value_or("")));
  }
  const int last = std::atoi(aRequest.Header("last-event-id").value_or("0").c_str());
  if (!Work(aPeer, kFirstEventS) ||
      !aPeer.Send(AnswerHead(aRequest, 200,
                             "Content-Type: text/event-stream\r\nX-Confidence: 90\r\n"
                             "X-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n"))) {
    return false;
  }
  for (int event = last + 1; event <= kEvents; ++event) {
    if (!aPeer.Send(Chunk(StreamEvent(event))) || !Work(aPeer, kEventS)) {
      return false;
    }
  }
  return aPeer.Send("0\r\n\r\n");
}

fleet::fleet(record& aRecord, store& aStore)
{
  char name[] = "/tmp/review-XXXXXX";
  mFolder = mkdtemp(name);
  const std::vector<std::string> ips{ "127.0.1.1", "127.0.1.2", "127.0.1.3" };
  const std::vector<std::string> zones{ "zone-a", "zone-b", "zone-c" };
  const std::uint16_t base = FreeBasePort(ips);
  std::vector<std::string> seeds;
  for (const std::string& ip : ips) {
    seeds.push_back(endpoint{ ip, static_cast<std::uint16_t>(base + 2) }.Text());
  }
  constexpr int kMemoryMb = 260;
  for (std::size_t i = 0; i < ips.size(); ++i) {
    mMachines.push_back(std::make_unique<machine>(aRecord, aStore.Address(), mFolder,
                                                  "front-" + zones[i] + "-1", ips[i], zones[i],
                                                  base, seeds, json::object(), kMemoryMb));
  }
}

fleet::~fleet()
{
  Stop();
}

void fleet::Stop()
{
  mMachines.clear();
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(mFolder);
  } else {
    std::fprintf(stderr, "logs in %s\n", mFolder.c_str());
  }
}

bool fleet::AwaitReady()
{
  const double end = Now() + 20;
  while (Now() < end) {
    bool areReady = true;
    for (const auto& each : mMachines) {
      areReady = areReady && each->IsReady();
    }
    if (areReady) {
      return true;
    }
    Sleep(0.05);
  }
  return false;
}

machine& fleet::Next()
{
  std::vector<machine*> ready;
  for (const auto& each : mMachines) {
    if (each->IsReady()) {
      ready.push_back(each.get());
    }
  }
  const std::size_t count = ready.empty() ? mMachines.size() : ready.size();
  const auto index = static_cast<std::size_t>(Random() * static_cast<double>(count));
  return ready.empty() ? *mMachines[index] : *ready[index];
}

} // namespace review
