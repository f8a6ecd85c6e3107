#include "backends/evidence.h"
#include "placement/choose.h"
#include "placement/load_board.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <map>

using namespace tamarackweir;
using namespace tamarackweir::placement;

namespace {

constexpr time_point kStart = time_point(100s);
constexpr time_point kFault = kStart + 3s;
constexpr duration kDuration = 10s;
constexpr duration kReportInterval = 400ms; ///< of 90 instances
constexpr duration kCheckInterval = 100ms;
constexpr duration kConnectLimit = 300ms;
constexpr int kMaxAttempts = 4;

/// Requests of many instances to servers of which some accept no connections.
struct scenario
{
  std::size_t mInstances = 90;
  int mServers = 93;
  double mRequestsPerSecond = 830;
  bool mSharesEvidence = true;
  bool mIsSilent = true; ///< a failed connect takes `kConnectLimit`; else it is refused at once
  /// Whether a server accepts a connect of an instance.
  std::function<bool(std::size_t, int, time_point)> mIsUp;
  /// Whether the instance's datagrams arrive.
  std::function<bool(std::size_t)> mIsConnected = [](std::size_t) { return true; };
  /// Changes what an instance reports.
  std::function<void(std::size_t, load_message&, time_point)> mReport =
    [](std::size_t, load_message&, time_point) {};
};

struct outcome
{
  double mFailedPerRequest = 0; ///< connects of requests that failed, per request after the fault
  double mFailedLate = 0;       ///< the same, from 2 s after the fault
  int mWronglyLost = 0;         ///< checks at which an instance held a server that is up for lost
  int mLost = 0;                ///< checks at which an instance held a server that is down for lost
  int mChecks = 0;              ///< of servers that are down
  int mUnserved = 0;            ///< requests without a server to try
  std::size_t mLargestMessage = 0;
};

class simulation
{
public:
  explicit simulation(const scenario& aScenario);
  outcome Run();

private:
  void At(time_point aTime, std::function<void()> aEvent) { mEvents.emplace(aTime, aEvent); }
  void Request(std::size_t aInstance, std::vector<server_id> aTried);
  void Connect(std::size_t aInstance, const backends::server_pointer& aServer,
               const std::function<void(bool)>& aThen);
  void Report(std::size_t aInstance);
  void Check(std::size_t aInstance);
  bool IsUp(std::size_t aInstance, const backends::backend_server& aServer) const
  {
    return mScenario.mIsUp(aInstance, std::stoi(aServer.mAnnounced.mId.Value()), mNow);
  }

  scenario mScenario;
  std::mt19937_64 mRandom{ 1 };
  std::vector<backends::fleet> mFleets;
  std::vector<std::string> mNames;
  prefix_caches mCaches;
  load_board mBoard;
  std::multimap<time_point, std::function<void()>> mEvents;
  time_point mNow = kStart;
  outcome mOutcome;
  int mRequests = 0;
  int mLateRequests = 0;
};

simulation::simulation(const scenario& aScenario)
  : mScenario(aScenario)
  , mFleets(aScenario.mInstances)
{
  for (std::size_t i = 0; i < mFleets.size(); ++i) {
    mNames.push_back("instance-" + std::to_string(i));
    for (int server = 0; server < mScenario.mServers; ++server) {
      backends::Announce(mFleets[i],
                         { .mId = server_id(std::to_string(server)),
                           .mService = service_id("llm"),
                           .mVersion = version_id("v1"),
                           .mStartId = 1 },
                         kStart);
    }
  }
}

outcome simulation::Run()
{
  std::exponential_distribution<double> gap(mScenario.mRequestsPerSecond);
  for (time_point at = kStart; at < kStart + kDuration;
       at += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(mRandom)))) {
    At(at, [this] { Request(mRandom() % mFleets.size(), {}); });
  }
  for (std::size_t i = 0; i < mFleets.size(); ++i) {
    const auto phase = std::chrono::microseconds(mRandom() % 400'000);
    for (time_point at = kStart + phase; at < kStart + kDuration; at += kReportInterval) {
      At(at, [this, i] { Report(i); });
    }
    for (time_point at = kStart + phase % kCheckInterval; at < kStart + kDuration;
         at += kCheckInterval) {
      At(at, [this, i] { Check(i); });
    }
  }
  while (!mEvents.empty()) {
    const auto event = mEvents.extract(mEvents.begin());
    mNow = event.key();
    event.mapped()();
  }
  mOutcome.mFailedPerRequest /= std::max(1, mRequests);
  mOutcome.mFailedLate /= std::max(1, mLateRequests);
  return mOutcome;
}

void simulation::Request(std::size_t aInstance, std::vector<server_id> aTried)
{
  if (aTried.empty() && mNow >= kFault) {
    ++mRequests;
    mLateRequests += mNow >= kFault + 2s ? 1 : 0;
  }
  demand demand;
  demand.mService = service_id("llm");
  demand.mTriedServers = &aTried;
  demand.mIsAllowed = [](const auto&) { return true; };
  const choice choice = Choose(mFleets[aInstance], demand, mCaches, {}, mRandom, mNow);
  if (choice.mServer == nullptr) {
    ++mOutcome.mUnserved;
    return;
  }
  aTried.push_back(choice.mServer->mAnnounced.mId);
  Connect(aInstance, choice.mServer, [this, aInstance, aTried](bool aIsAccepted) {
    if (aIsAccepted) {
      return;
    }
    mOutcome.mFailedPerRequest += mNow >= kFault ? 1 : 0;
    mOutcome.mFailedLate += mNow >= kFault + 2s ? 1 : 0;
    if (aTried.size() < kMaxAttempts) {
      Request(aInstance, aTried);
    }
  });
}

void simulation::Connect(std::size_t aInstance, const backends::server_pointer& aServer,
                         const std::function<void(bool)>& aThen)
{
  const bool isUp = IsUp(aInstance, *aServer);
  const auto end = [this, aServer, aThen, isUp] {
    if (mScenario.mSharesEvidence) {
      backends::RecordConnect(*aServer, isUp, mNow);
    }
    backends::RecordEnd(
      *aServer, isUp ? backends::attempt_end::Succeeded : backends::attempt_end::Unreachable, 0s,
      mNow);
    aThen(isUp);
  };
  At(mNow + (isUp || !mScenario.mIsSilent ? duration(1ms) : kConnectLimit), end);
}

void simulation::Report(std::size_t aInstance)
{
  if (!mScenario.mSharesEvidence || !mScenario.mIsConnected(aInstance)) {
    return;
  }
  load_message report{ .mInstance = mNames[aInstance],
                       .mSeen = backends::OwnObservations(mFleets[aInstance], mNow) };
  mScenario.mReport(aInstance, report, mNow);
  RecordReport(mBoard, DecodeLoads(Encode(report, mNow), mNow), mNow);
  const std::string totals =
    Encode({ .mIsTotals = true, .mSeen = PooledObservations(mBoard, {}, mNow) }, mNow);
  mOutcome.mLargestMessage = std::max(mOutcome.mLargestMessage, totals.size());
  backends::ApplyPooled(mFleets[aInstance], DecodeLoads(totals, mNow).mSeen, mNow);
}

void simulation::Check(std::size_t aInstance)
{
  for (const auto& [id, server] : mFleets[aInstance].mServers) {
    const bool isLost = backends::IsLost(*server, mNow);
    const bool isUp = IsUp(mScenario.mInstances, *server);
    mOutcome.mWronglyLost += isLost && isUp ? 1 : 0;
    mOutcome.mLost += isLost && !isUp ? 1 : 0;
    mOutcome.mChecks += isUp ? 0 : 1;
  }
}

void Print(const char* aName, const outcome& aOutcome)
{
  MESSAGE(aName << ": failed connects per request " << aOutcome.mFailedPerRequest
                << ", from 2 s on " << aOutcome.mFailedLate << "; lost " << aOutcome.mLost << " of "
                << aOutcome.mChecks << ", wrongly " << aOutcome.mWronglyLost << "; largest message "
                << aOutcome.mLargestMessage);
}

bool IsFifthLost(std::size_t /*aInstance*/, int aServer, time_point aNow)
{
  return aServer % 5 != 0 || aNow < kFault;
}

} // namespace

// Guards against each instance paying for failed connects to the same lost servers.
TEST_CASE("with shared evidence fewer requests meet a lost server")
{
  for (const bool isSilent : { true, false }) {
    CAPTURE(isSilent);
    scenario lost{ .mIsSilent = isSilent, .mIsUp = IsFifthLost };
    const outcome shared = simulation(lost).Run();
    lost.mSharesEvidence = false;
    const outcome alone = simulation(lost).Run();
    Print(isSilent ? "silent, shared" : "refused, shared", shared);
    Print(isSilent ? "silent, alone" : "refused, alone", alone);
    CHECK(shared.mFailedPerRequest < alone.mFailedPerRequest / 2);
    CHECK(shared.mWronglyLost == 0);
    CHECK(shared.mLargestMessage <= kMaxMessageBytes);
  }
}
