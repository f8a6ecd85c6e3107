#include "backends/evidence.h"
#include "base/rendezvous.h"
#include "placement/choose.h"
#include "placement/load_board.h"

#include <doctest/doctest.h>
#include <functional>

using namespace tamarackweir;
using namespace tamarackweir::placement;

namespace {

constexpr time_point kStart = time_point(100s);
constexpr time_point kFault = kStart + 3s;
constexpr time_point kBack = kFault + 4s;
constexpr time_point kEnd = kBack + 3s;
constexpr duration kStep = 10ms;
constexpr std::size_t kInstances = 90;
constexpr int kServers = 93;
constexpr double kRequestsPerStep = 8.3;
constexpr std::size_t kMaxAttempts = 4;

/// Requests of many instances to servers of which some accept no connections.
struct scenario
{
  const char* mName = "";
  /// Whether a server accepts a connect of an instance.
  std::function<bool(std::size_t, int, time_point)> mIsUp;
  duration mConnectTime = 300ms; ///< of a failed connect: silent, not refused
  bool mSharesEvidence = true;
  bool mHasLiar = false;         ///< the first instance reports that all servers have failed
  std::size_t mCutOffEvery = 99; ///< one of so many instances exchanges no datagrams
};

struct outcome
{
  double mFailed = 0;     ///< connects of requests that failed, per request, while servers are lost
  double mFailedLate = 0; ///< the same, from 2 s after the loss on
  int mProbes = 0;
  int mUnserved = 0;       ///< requests without a server to try
  double mWronglyLost = 0; ///< seconds for which an instance holds a server that is up for lost
};

/// A connect that is under way.
struct pending_connect
{
  time_point mEnd{};
  backends::server_pointer mServer;
  bool mIsAccepted = false;
  bool mIsProbe = false;
};

struct simulation
{
  scenario mScenario;
  std::vector<backends::fleet> mFleets = std::vector<backends::fleet>(kInstances);
  std::vector<std::string> mNames;
  std::vector<pending_connect> mPending;
  load_board mBoard;
  prefix_caches mCaches;
  std::mt19937_64 mRandom{ 1 };
  time_point mNow = kStart;
  outcome mOutcome;

  bool IsUp(std::size_t aInstance, const backends::backend_server& aServer) const
  {
    return mScenario.mIsUp(aInstance, std::stoi(aServer.mAnnounced.mId.Value()), mNow);
  }

  bool Connect(std::size_t aInstance, const backends::server_pointer& aServer, bool aIsProbe)
  {
    const bool isUp = IsUp(aInstance, *aServer);
    mPending.push_back({ .mEnd = isUp ? mNow : mNow + mScenario.mConnectTime,
                         .mServer = aServer,
                         .mIsAccepted = isUp,
                         .mIsProbe = aIsProbe });
    return isUp;
  }

  void EndConnects()
  {
    std::erase_if(mPending, [this](const pending_connect& aConnect) {
      if (aConnect.mEnd > mNow) {
        return false;
      }
      using backends::attempt_end;
      backends::backend_server& server = *aConnect.mServer;
      if (mScenario.mSharesEvidence) {
        backends::RecordConnect(server, aConnect.mIsAccepted, mNow);
      }
      if (!aConnect.mIsProbe || !aConnect.mIsAccepted) {
        backends::RecordEnd(
          server, aConnect.mIsAccepted ? attempt_end::Succeeded : attempt_end::Unreachable, 0s,
          mNow);
      }
      if (aConnect.mIsProbe) {
        backends::RecordProbe(server, aConnect.mIsAccepted, mNow);
      }
      return true;
    });
  }

  /// Sends a request. Returns how many connects failed.
  int Request(std::size_t aInstance)
  {
    std::vector<server_id> tried;
    demand demand;
    demand.mService = service_id("llm");
    demand.mTriedServers = &tried;
    demand.mIsAllowed = [](const auto&) { return true; };
    while (tried.size() < kMaxAttempts) {
      const choice choice = Choose(mFleets[aInstance], demand, mCaches, {}, mRandom, mNow);
      if (choice.mServer == nullptr) {
        ++mOutcome.mUnserved;
        break;
      }
      if (Connect(aInstance, choice.mServer, false)) {
        break;
      }
      tried.push_back(choice.mServer->mAnnounced.mId);
    }
    return static_cast<int>(tried.size());
  }

  void Exchange(std::size_t aInstance)
  {
    load_message report{ .mInstance = mNames[aInstance],
                         .mSeen = backends::OwnObservations(mFleets[aInstance], mNow) };
    if (mScenario.mHasLiar && aInstance == 0) {
      for (backends::observation& seen : report.mSeen) {
        seen = { .mServer = seen.mServer,
                 .mStart = seen.mStart,
                 .mFailed = 1,
                 .mTried = 1,
                 .mFailedAt = mNow };
      }
    }
    RecordReport(mBoard, DecodeLoads(Encode(report, mNow), mNow), mNow);
    const load_message totals{ .mIsTotals = true, .mSeen = PooledObservations(mBoard, {}, mNow) };
    backends::ApplyPooled(mFleets[aInstance], DecodeLoads(Encode(totals, mNow), mNow).mSeen, mNow);
  }

  void Probe(std::size_t aInstance)
  {
    for (const auto& [id, server] : mFleets[aInstance].mServers) {
      if (backends::IsSuspect(*server, mNow) &&
          backends::IsProbeDue(
            *server, InstancesBefore(mNames, "probe " + id.Value(), mNames[aInstance]), mNow)) {
        server->mSeen.mIsProbing = true;
        ++mOutcome.mProbes;
        Connect(aInstance, server, true);
      }
      if (backends::IsLost(*server, mNow) && IsUp(kInstances, *server)) {
        mOutcome.mWronglyLost += 0.1;
      }
    }
  }

  void Step(std::size_t aStep)
  {
    EndConnects();
    for (std::size_t i = 0; mScenario.mSharesEvidence && i < kInstances; ++i) {
      if ((aStep + i) % 40 == 0 && (i + 1) % mScenario.mCutOffEvery != 0) {
        Exchange(i); // every 400 ms
      }
      if ((aStep + i) % 10 == 0) {
        Probe(i);
      }
    }
    for (int i = std::poisson_distribution<int>(kRequestsPerStep)(mRandom); i > 0; --i) {
      const int failed = Request(mRandom() % kInstances);
      mOutcome.mFailed += mNow >= kFault && mNow < kBack ? failed : 0;
      mOutcome.mFailedLate += mNow >= kFault + 2s && mNow < kBack ? failed : 0;
    }
  }
};

outcome Run(const scenario& aScenario)
{
  simulation run{ .mScenario = aScenario };
  for (std::size_t i = 0; i < kInstances; ++i) {
    run.mNames.push_back("instance-" + std::to_string(i));
    for (int server = 0; server < kServers; ++server) {
      backends::Announce(
        run.mFleets[i],
        { .mId = server_id(std::to_string(server)), .mService = service_id("llm"), .mStartId = 1 },
        kStart);
    }
  }
  for (std::size_t step = 0; run.mNow < kEnd; ++step, run.mNow += kStep) {
    run.Step(step);
  }
  run.mOutcome.mFailed /= kRequestsPerStep * ((kBack - kFault) / kStep);
  run.mOutcome.mFailedLate /= kRequestsPerStep * ((kBack - kFault - 2s) / kStep);
  const std::string name =
    std::string(aScenario.mName) + (aScenario.mSharesEvidence ? ", shared" : ", alone");
  MESSAGE(name << ": failed connects per request " << run.mOutcome.mFailed << ", from 2 s on "
               << run.mOutcome.mFailedLate << "; probes " << run.mOutcome.mProbes
               << ", wrongly lost for " << run.mOutcome.mWronglyLost << " s");
  return run.mOutcome;
}

/// The same scenario with each instance on its own.
outcome RunAlone(scenario aScenario)
{
  aScenario.mSharesEvidence = false;
  return Run(aScenario);
}

bool IsFifthLost(std::size_t /*aInstance*/, int aServer, time_point aNow)
{
  return aServer % 5 != 0 || aNow < kFault || aNow >= kBack;
}

constexpr double kLostServers = 19; ///< a fifth
/// Time until all know that a server is back: the longest pause of the probes, a report and totals.
constexpr double kRecoverySeconds = 1.8;

} // namespace

// Guards against each instance paying for failed connects to the same lost servers.
TEST_CASE("with shared evidence few requests meet a lost server")
{
  for (const scenario& lost :
       { scenario{ .mName = "silent", .mIsUp = IsFifthLost },
         scenario{ .mName = "refusing", .mIsUp = IsFifthLost, .mConnectTime = 0ms } }) {
    const outcome shared = Run(lost);
    CHECK(shared.mFailed < RunAlone(lost).mFailed / 3);
    CHECK(shared.mFailedLate < 0.01);
    CHECK(shared.mWronglyLost < kInstances * kLostServers * kRecoverySeconds);
  }
}

// Guards against a misreporting instance that takes servers away, or keeps them lost.
TEST_CASE("an instance that reports every server as failed does no harm")
{
  const outcome result = Run({ .mName = "liar", .mIsUp = IsFifthLost, .mHasLiar = true });
  CHECK(result.mFailedLate < 0.01);
  CHECK(result.mWronglyLost < kInstances * kLostServers * kRecoverySeconds);
}

// Guards against the failures of one bad link that count for all.
TEST_CASE("an instance with a bad link takes no server away from the others")
{
  const auto isUp = [](std::size_t aInstance, int, time_point) { return aInstance != 0; };
  CHECK(Run({ .mName = "bad link", .mIsUp = isUp }).mWronglyLost == 0);
}

TEST_CASE("servers that flap cost no more than without shared evidence")
{
  const scenario flapping{ .mName = "flapping",
                           .mIsUp = [](std::size_t, int aServer, time_point aNow) {
                             return aServer % 5 != 0 || (aNow - kStart) / 700ms % 2 == 0;
                           } };
  CHECK(Run(flapping).mFailed <= RunAlone(flapping).mFailed);
}

// Guards against shared evidence that does not help while half of the probing instances are cut
// off.
TEST_CASE("with half of the instances cut off, the others still share what they see")
{
  const scenario half{ .mName = "half cut off", .mIsUp = IsFifthLost, .mCutOffEvery = 2 };
  CHECK(Run(half).mFailedLate < RunAlone(half).mFailedLate * 0.6);
}

// Guards against evidence that refuses requests, and servers that stay lost after an outage.
TEST_CASE("servers that are all lost are still tried, and used again once they are back")
{
  const auto isUp = [](std::size_t, int, time_point aNow) {
    return aNow < kFault || aNow >= kBack;
  };
  const outcome result = Run({ .mName = "all lost", .mIsUp = isUp });
  CHECK(result.mUnserved == 0);
  CHECK(result.mWronglyLost < kInstances * kServers * kRecoverySeconds);
}
