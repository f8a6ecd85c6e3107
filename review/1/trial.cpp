// Nine of 18 model runners spoil one in twenty of their answers, in spells of 5 s: a sound head,
// and then bytes that are no answer, without end. Counts how often the platform ends a machine's
// process because its memory is over the limit.

#include "deployment.h"

#include <cmath>

using namespace review;

namespace {

constexpr double kLinkBytesPerS = 115e6; ///< to one machine; its link has 125e6
constexpr double kTrialS = 95;
constexpr double kRequestsPerS =
  22; ///< three eighths of the site's streams, for three of its machines
constexpr int kRunners = 18;
constexpr int kFaultyRunners = 9;
constexpr int kSpoiledOneIn = 20;
constexpr double kSpellS = 5;
constexpr double kPauseS = 2; ///< between two spells
constexpr int kDeadlineMs = 10000;

bool IsInSpell()
{
  return std::fmod(Now(), kSpellS + kPauseS) >= kPauseS;
}

/// The link of a machine, on which bytes wait for those before them.
struct link
{
  std::mutex mMutex;
  double mFreeAt = 0;
};

/// Sends bytes until the caller closes, no faster than the link of its machine.
bool SendGarbage(connection& aPeer, link& aLink)
{
  const std::string bytes(64 * 1024, 'x');
  while (true) {
    double wait = 0;
    {
      const std::lock_guard lock(aLink.mMutex);
      aLink.mFreeAt =
        std::max(aLink.mFreeAt, Now()) + static_cast<double>(bytes.size()) / kLinkBytesPerS;
      wait = aLink.mFreeAt - Now();
    }
    Sleep(wait);
    if (!aPeer.Send(bytes)) {
      return false;
    }
  }
}

/// The machines to which clients sent their attempts.
class link_map
{
public:
  void Put(const std::string& aAttempt, const std::string& aMachine)
  {
    const std::lock_guard lock(mMutex);
    mMachines[aAttempt] = aMachine;
  }
  link& Of(const std::string& aAttempt)
  {
    const std::lock_guard lock(mMutex);
    return mLinks[mMachines[aAttempt]];
  }

private:
  std::mutex mMutex;
  std::map<std::string, std::string> mMachines;
  std::map<std::string, link> mLinks;
};

} // namespace

int main(int, char** aArguments)
{
  record log(std::string(aArguments[1]) + "/record.txt");
  store store("127.0.3.1");
  store.Put("op", "config", Configuration());
  link_map links;
  std::vector<std::unique_ptr<runner>> runners;
  for (int i = 0; i < kRunners; ++i) {
    const std::string zone = std::string("zone-") + "abc"[i % 3];
    work doWork = DoSoundWork;
    if (i < kFaultyRunners && HasTrouble()) {
      doWork = [&log, &links, answers = std::make_shared<std::atomic<int>>(0)](
                 runner& aRunner, connection& aPeer, const message& aRequest) {
        if (!IsInSpell() || ++*answers % kSpoiledOneIn != 0) {
          return DoSoundWork(aRunner, aPeer, aRequest);
        }
        const std::string attempt = aRequest.Header("x-attempt-id").value_or("");
        log.Line("spoiled runner=%s attempt=%s", aRunner.Name().c_str(), attempt.c_str());
        aPeer.Send(AnswerHead(aRequest, 200,
                              "Content-Type: text/event-stream\r\nX-Confidence: 90\r\n"
                              "X-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n"));
        return SendGarbage(aPeer, links.Of(attempt));
      };
    }
    runners.push_back(std::make_unique<runner>(store, log, "model-" + std::to_string(i),
                                               kModelService, "127.0.2." + std::to_string(i + 1),
                                               zone, 128, doWork));
  }
  fleet fleet(log, store);
  if (!fleet.AwaitReady()) {
    log.Line("the machines did not become ready");
    return kCouldNotRun;
  }
  std::atomic<int> sent{ 0 };
  std::atomic<int> whole{ 0 };
  std::atomic<int> cut{ 0 };
  std::atomic<int> open{ 0 };
  const double end = Now() + kTrialS;
  const auto machinesEnded = [&fleet] {
    int count = 0;
    for (const auto& each : fleet.mMachines) {
      count += each->EndsByItself() >= 3 ? 1 : 0;
    }
    return count;
  };
  while (Now() < end && machinesEnded() < 2) {
    ++sent;
    ++open;
    std::thread([&] {
      machine& front = fleet.Next();
      const std::string attempt = NewAttempt();
      const std::string part = NewAttempt();
      const std::string session = NewAttempt();
      const std::string more = "X-Model: *\r\nX-Token-Count: 2890,51\r\nSession: " + session +
                               "\r\nX-Prompt-Prefix: 5c1e07a2:2520," +
                               std::to_string(1000 + static_cast<int>(Random() * 66)) + ":3780," +
                               part + ":2890\r\n";
      links.Put(attempt, front.Name());
      log.Line("sent attempt=%s machine=%s", attempt.c_str(), front.Name().c_str());
      const answer got = Call(
        front.Front(),
        Request("POST", kHost, "/lohu930/2f", attempt, kDeadlineMs, kKey, more, "licence papers"),
        kDeadlineMs / 1000.0);
      log.Line("answered attempt=%s status=%d whole=%d", attempt.c_str(), got.mStatus,
               got.mIsWhole);
      ++(got.mIsWhole ? whole : cut);
      --open;
    }).detach();
    Sleep((0.5 + Random()) / kRequestsPerS);
  }
  for (const double until = Now() + 11; open > 0 && Now() < until;) {
    Sleep(0.05);
  }
  const int ended = machinesEnded();
  for (const auto& each : fleet.mMachines) {
    log.Line("machine=%s ended by itself %d times", each->Name().c_str(), each->EndsByItself());
  }
  log.Line("requests sent=%d answered whole=%d not whole=%d", sent.load(), whole.load(),
           cut.load());
  const bool isBroken = ended >= 2;
  log.Line("%s: Fault: processes of %d of 3 machines ended by themselves three times",
           isBroken ? "BROKEN" : "held", ended);
  std::printf(
    "%s: processes of %d of 3 machines ended by themselves three times; %d of %d requests "
    "without a whole answer\n",
    isBroken ? "BROKEN" : "held", ended, cut.load(), sent.load());
  fleet.Stop();
  End(isBroken ? kBroken : kHeld);
}
