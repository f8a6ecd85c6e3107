// A new version of a service is brought in which spoils half of its answers. It must be rolled
// back: no request sent later than `rollbackMs` after its 50th bad answer may reach it.
//
// Mode "cut": it breaks half of its answers off. Mode "quiet": it answers half of the calls with
// 500, and few calls come before the deadline of the roll-out.

#include "world.h"

using namespace review;

namespace {

constexpr int kInstances = 3;
constexpr int kRunners = 3; ///< of each version
constexpr double kRolloutS = 16;
constexpr double kRollbackS = 5; ///< rollbackMs
constexpr double kExposureShare = 0.15;
constexpr double kExposureSlack = 30;
constexpr int kBadAnswers = 50;
constexpr double kBadShare = 0.5; ///< of the new version's answers
constexpr double kWatchedS = 34;  ///< from the order

struct totals
{
  std::mutex mMutex;
  int mAll = 0; ///< requests that reached the service before the deadline
  int mNew = 0; ///< of these, at the new version
  int mBad = 0; ///< bad answers of the new version
  std::optional<double> mFiftiethAt;
  int mLate = 0; ///< requests at it, sent later than the bound
};

std::string Configuration()
{
  return json{
    { "version", 1 },
    { "routes",
      { { { "name", "activate" },
          { "host", "app.example" },
          { "prefix", "/activate/" },
          { "kind", "unsafe" },
          { "service", "onboard-app" },
          { "timeoutMs", 1000 },
          { "targetLatencyMs", 150 },
          { "maxAttempts", 2 } } } },
    { "services", { { { "name", "onboard-app" }, { "healthPath", "/healthz" } } } },
    { "limits",
      { { "maxHeaderBytes", 16384 },
        { "maxBodyBytes", 4194304 },
        { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", 15000 } } },
    { "tenants", { { { "name", "depot" }, { "apiKeys", { "key" } }, { "priority", 1 } } } }
  }.dump();
}

/// A runner of one version.
class app
{
public:
  app(std::string aId, std::string aVersion, bool aIsBad, bool aCuts, totals& aTotals,
      record& aRecord, const double& aOrderedAt)
    : mId(std::move(aId))
    , mVersion(std::move(aVersion))
    , mIsBad(aIsBad)
    , mCuts(aCuts)
    , mTotals(aTotals)
    , mRecord(aRecord)
    , mOrderedAt(aOrderedAt)
    , mServer(
        [this](connection& aLink, const message& aRequest) { return Handle(aLink, aRequest); })
  {
  }
  const std::string& Id() const { return mId; }
  std::string Entry() const
  {
    return json{
      { "service", "onboard-app" },
      { "address", mServer.Address() },
      { "zone", "sapporo-a" },
      { "version", mVersion },
      { "slots", 6 },
      { "state", "ready" },
      { "coldRemainingMs", 0 },
      { "born", 1700000000000 },
      { "sequence", 1 }
    }.dump();
  }

private:
  bool Handle(connection& aLink, const message& aRequest)
  {
    if (aRequest.Target() == "/healthz") {
      return aLink.Write(Answer(200, "X-Instance-Id: " + mId + "\r\n", ""));
    }
    if (aRequest.Get("x-expect-instance") != mId) {
      return aLink.Write(Answer(421, "X-Not-Executed: 1\r\n", ""));
    }
    const std::string attempt = aRequest.Get("x-attempt-id");
    const double now = Seconds();
    const double sent = std::atof(attempt.substr(attempt.find('@') + 1).c_str());
    const bool isNew = mVersion == "v2";
    bool isBad = false;
    {
      const std::lock_guard lock(mTotals.mMutex);
      if (mOrderedAt > 0 && now < mOrderedAt + kRolloutS) {
        ++mTotals.mAll;
        mTotals.mNew += isNew ? 1 : 0;
      }
      if (isNew) {
        isBad = mIsBad && mCount++ % 2 < 2 * kBadShare;
        if (mTotals.mFiftiethAt && sent > *mTotals.mFiftiethAt + kRollbackS) {
          ++mTotals.mLate;
        }
      }
    }
    mRecord.Line("run by ", mId, " (", mVersion, "): ", attempt, isBad ? ", spoiled" : "");
    Sleep(0.02);
    const std::string head =
      "X-Attempt-Id: " + attempt + "\r\nX-Response-Seal: seal-" + attempt + "\r\n";
    if (!isBad) {
      return aLink.Write(Answer(200, head, "done " + attempt));
    }
    {
      const std::lock_guard lock(mTotals.mMutex);
      if (++mTotals.mBad == kBadAnswers) {
        mTotals.mFiftiethAt = Seconds();
        mRecord.Line("this is the 50th bad answer");
      }
    }
    if (mCuts) {
      aLink.Write("HTTP/1.1 200 OK\r\n" + head + "Content-Length: 800\r\n\r\ndone");
      return false;
    }
    return aLink.Write(Answer(500, head, "failed"));
  }

  std::string mId;
  std::string mVersion;
  bool mIsBad;
  bool mCuts;
  unsigned mCount = 0; ///< guarded by the mutex of the totals
  totals& mTotals;
  record& mRecord;
  const double& mOrderedAt;
  server mServer;
};

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 5) {
    return 2;
  }
  record log(aArguments[2]);
  const bool hasTrouble = std::string(aArguments[3]) != "0";
  const bool isQuiet = std::string(aArguments[4]) == "quiet";
  const std::string folder = TemporaryFolder();
  totals counts;
  double orderedAt = 0;
  store platform;
  platform.Put("op", "config", Configuration());
  std::vector<std::unique_ptr<app>> apps;
  const auto add = [&](const std::string& aVersion, bool aIsBad) {
    for (int i = 0; i < kRunners; ++i) {
      apps.push_back(std::make_unique<app>("i-" + aVersion + "-" + std::to_string(i), aVersion,
                                           aIsBad, !isQuiet, counts, log, orderedAt));
      platform.Put("servers", apps.back()->Id(), apps.back()->Entry());
    }
  };
  add("v1", false);
  std::vector<std::unique_ptr<gateway>> instances;
  json seeds = json::array();
  for (int i = 0; i < kInstances; ++i) {
    instances.push_back(std::make_unique<gateway>(
      aArguments[1], folder, "front-" + std::to_string(i), SettingsOf(platform.Address())));
    seeds.push_back(instances.back()->Control());
  }
  for (const auto& instance : instances) {
    instance->Settings()["seeds"] = seeds;
    instance->Start();
  }
  for (const auto& instance : instances) {
    if (!instance->AwaitReady(15)) {
      return 2;
    }
  }
  Sleep(1);

  std::atomic<double> perSecond{ 20 };
  std::atomic<bool> isOver{ false };
  std::atomic<int> done{ 0 };
  std::atomic<int> others{ 0 };
  std::atomic<int> open{ 0 };
  std::thread clients([&] {
    for (int i = 0; !isOver; ++i) {
      ++open;
      std::thread([&, i] {
        char id[48];
        std::snprintf(id, sizeof id, "act-%d@%.3f", i, Seconds());
        const std::string body = "{\"driver\":" + std::to_string(i) + "}";
        const auto answer =
          Ask(instances[static_cast<std::size_t>(i % kInstances)]->Front(),
              "POST /activate/x HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: " + std::string(id) +
                "\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer key\r\nConnection: close\r\n"
                "Content-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body,
              2);
        const int status = answer ? answer->Status() : 0;
        ++(status == 200 ? done : others);
        if (status != 200) {
          log.Line("client: ", id, " -> ", status);
        }
        --open;
      }).detach();
      Sleep(1 / perSecond);
    }
  });
  Sleep(8);
  if (isQuiet) {
    perSecond = 0.5;
    Sleep(2);
  }
  add("v2", hasTrouble);
  platform.Put(
    "op", "rollout/onboard-app",
    json{ { "service", "onboard-app" }, { "to", "v2" }, { "durationS", kRolloutS } }.dump());
  orderedAt = Seconds();
  log.Line("operator orders the roll-out of v2, which is ", hasTrouble ? "bad" : "good",
           ", within ", kRolloutS, " s");
  std::string state;
  bool isPast = false;
  while (Seconds() < orderedAt + kWatchedS) {
    Sleep(0.1);
    if (const std::string now = platform.Value("status", "rollout/onboard-app"); now != state) {
      state = now;
      log.Line("status of the roll-out, ", Seconds() - orderedAt, " s after the order: ", state);
    }
    if (!isPast && Seconds() > orderedAt + kRolloutS) {
      isPast = true;
      perSecond = 20;
    }
  }
  isOver = true;
  clients.join();
  while (open > 0) {
    Sleep(0.05);
  }
  for (const auto& instance : instances) {
    instance->Kill();
  }
  std::filesystem::remove_all(folder);
  const std::lock_guard lock(counts.mMutex);
  const double most = kExposureShare * counts.mAll + kExposureSlack;
  const bool isExposed = hasTrouble && counts.mNew > most;
  const bool isBroken = hasTrouble && (isExposed || counts.mLate > 0);
  log.Line("from the order to its deadline ", counts.mNew, " of ", counts.mAll,
           " requests reached v2 (bound ", most, "); its bad answers: ", counts.mBad,
           "; requests at it that were sent more than ", kRollbackS,
           " s after the 50th: ", counts.mLate);
  log.Line("clients: ", done, " calls done, ", others, " not");
  log.Line(isBroken ? "BROKEN" : "the rule held");
  std::_Exit(isBroken ? 1 : !hasTrouble && others > 0 ? 2 : 0);
}
