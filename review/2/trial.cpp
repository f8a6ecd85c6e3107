// One lookup crashes each application runner that begins to run it, and its caller sends it again,
// with the same path, caller and body. Counts the repeats that reach a runner later than
// `stableWindowMs` after the third crash.

#include "deployment.h"

#include <cstring>

using namespace review;

namespace {

constexpr double kTrialS = 30;
constexpr double kFirstS = 3;   ///< when the request comes for the first time
constexpr double kAgainS = 2.5; ///< after its answer, the caller sends it again
constexpr double kDownS = 3;    ///< a runner that crashed is back after it
constexpr double kStableWindowS = 3;
constexpr int kMostRetries = 3; ///< that may reach a runner
constexpr double kSoundPerS = 4;
constexpr int kDeadlineMs = 1000;
const std::string kDeadlyTarget = "/cufi504/fi50/2f";

/// What is known of the request that crashes runners.
struct deadly_request
{
  std::mutex mMutex;
  std::map<std::string, double> mSent; ///< time by client attempt
  std::set<std::string> mReached;      ///< client attempts that a runner began to run
  std::vector<double> mCrashes;
};

} // namespace

int main(int, char** aArguments)
{
  record log(std::string(aArguments[1]) + "/record.txt");
  store store("127.0.3.1");
  store.Put("op", "config", Configuration());
  deadly_request deadly;
  std::set<std::string> run;
  const auto doWork = [&](runner& aRunner, connection& aPeer, const message& aRequest) {
    const std::string attempt = aRequest.Header("x-attempt-id").value_or("");
    {
      const std::lock_guard lock(deadly.mMutex);
      run.insert(attempt);
      if (aRequest.Target() == kDeadlyTarget) {
        deadly.mReached.insert(attempt);
      }
    }
    if (aRequest.Target() != kDeadlyTarget || !HasTrouble()) {
      return DoSoundWork(aRunner, aPeer, aRequest);
    }
    {
      const std::lock_guard lock(deadly.mMutex);
      deadly.mCrashes.push_back(Now());
    }
    aRunner.Crash(kDownS);
    return false;
  };
  std::vector<std::unique_ptr<runner>> runners;
  for (int i = 0; i < 3; ++i) {
    runners.push_back(std::make_unique<runner>(store, log, "app-" + std::to_string(i), kAppService,
                                               "127.0.2." + std::to_string(i + 1),
                                               std::string("zone-") + "abc"[i], 6, doWork));
  }
  fleet fleet(log, store);
  if (!fleet.AwaitReady()) {
    log.Line("the machines did not become ready");
    fleet.Stop();
    End(kCouldNotRun);
  }
  const double begin = Now();
  std::atomic<int> open{ 0 };
  std::atomic<int> sound{ 0 };
  std::atomic<int> lost{ 0 };
  std::atomic<int> refused{ 0 };
  std::atomic<bool> isEnding{ false };
  ++open;
  std::thread([&] {
    Sleep(kFirstS);
    while (!isEnding) {
      machine& front = fleet.Next();
      const std::string attempt = NewAttempt();
      {
        const std::lock_guard lock(deadly.mMutex);
        deadly.mSent[attempt] = Now();
      }
      log.Line("sent deadly attempt=%s machine=%s", attempt.c_str(), front.Name().c_str());
      const answer got =
        Call(front.Front(),
             Request("GET", kHost, kDeadlyTarget, attempt, kDeadlineMs, kKey, "", ""), 1.5);
      log.Line("answered deadly attempt=%s status=%d", attempt.c_str(), got.mStatus);
      Sleep(kAgainS);
    }
    --open;
  }).detach();
  while (Now() < begin + kTrialS) {
    ++open;
    ++sound;
    std::thread([&] {
      machine& front = fleet.Next();
      const std::string attempt = NewAttempt();
      log.Line("sent unsafe attempt=%s machine=%s", attempt.c_str(), front.Name().c_str());
      const answer got = Call(
        front.Front(),
        Request("POST", kHost, "/puxa403/2f", attempt, kDeadlineMs, kKey, "", "activate one"), 1.5);
      bool hasRun = false;
      {
        const std::lock_guard lock(deadly.mMutex);
        hasRun = run.contains(attempt);
      }
      log.Line("answered unsafe attempt=%s status=%d run=%d", attempt.c_str(), got.mStatus, hasRun);
      lost += hasRun && got.mStatus != 200 ? 1 : 0;
      refused += !hasRun && got.mStatus != 200 ? 1 : 0;
      --open;
    }).detach();
    Sleep((0.5 + Random()) / kSoundPerS);
  }
  isEnding = true;
  for (const double until = Now() + 6; open > 0 && Now() < until;) {
    Sleep(0.05);
  }
  int retries = 0;
  int crashes = 0;
  {
    const std::lock_guard lock(deadly.mMutex);
    crashes = static_cast<int>(deadly.mCrashes.size());
    for (const std::string& attempt : deadly.mReached) {
      retries +=
        crashes >= 3 && deadly.mSent[attempt] > deadly.mCrashes[2] + kStableWindowS ? 1 : 0;
    }
  }
  const bool isBroken = retries > kMostRetries;
  const char* const verdict = isBroken ? "BROKEN" : "held";
  char text[512];
  std::snprintf(
    text, sizeof text,
    "%s: BUDGET: %d retries of the request reached a runner later than 3 s after its third "
    "crash, 3 may; %d crashes; of %d sound unsafe requests %d ran and got no answer of their "
    "runner, %d were not run",
    verdict, retries, crashes, sound.load(), lost.load(), refused.load());
  log.Line("%s", text);
  std::puts(text);
  fleet.Stop();
  End(isBroken ? kBroken : kHeld);
}
