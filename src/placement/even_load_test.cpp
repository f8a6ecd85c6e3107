#include "placement/choose.h"
#include "placement/load_board.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <numeric>

using namespace tamarackweir;
using namespace tamarackweir::placement;

namespace {

constexpr time_point kStart = time_point(100s);

/// Calls to servers that handle a few at once, sent by instances that know loads from reports.
struct simulated_calls
{
  std::size_t mInstances = 90;
  int mServers = 4;
  std::size_t mPlaces = 6;
  double mCallMs = 30;
  double mCallsPerSecond = 240;
  duration mReportInterval = 400ms;
  int mSlowServers = 0; ///< of them, three times slower
  double mCutOff = 0;   ///< share of the instances that exchange no reports
  bool mSpreadsLoad = true;
};

struct sent_call
{
  time_point mEnd{};
  backends::server_pointer mServer;
};

struct outcome
{
  double mLate = 0;       ///< share of calls whose answer takes over 150 ms
  double mUnevenness = 0; ///< work of the busiest server against the mean, over half a second
};

duration Ms(double aMs)
{
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(aMs));
}

backends::fleet MakeFleet(int aServers)
{
  backends::fleet fleet;
  for (int i = 0; i < aServers; ++i) {
    backends::Announce(fleet,
                       { .mId = server_id("s-" + std::to_string(i)),
                         .mService = service_id("app"),
                         .mDataCentre = data_centre_id("a"),
                         .mVersion = version_id("v1") },
                       kStart);
  }
  return fleet;
}

void ExchangeReports(std::vector<backends::fleet>& aFleets, std::size_t aFirst, time_point aNow)
{
  load_report totals;
  for (std::size_t i = aFirst; i < aFleets.size(); ++i) {
    Add(totals, OwnLoads(aFleets[i]));
  }
  for (std::size_t i = aFirst; i < aFleets.size(); ++i) {
    load_report others = totals;
    for (const auto& [server, load] : OwnLoads(aFleets[i])) {
      others[server].mRequests -= load.mRequests;
    }
    ApplyTotals(aFleets[i], others, aNow);
  }
}

/// Work of the busiest server against the mean, and starts over.
double TakeUnevenness(std::map<server_id, double>& aWorkMs, int aServers)
{
  double sum = 0;
  double most = 0;
  for (const auto& [server, work] : aWorkMs) {
    sum += work;
    most = std::max(most, work);
  }
  aWorkMs.clear();
  return sum > 0 ? most * aServers / sum : 1;
}

outcome Simulate(const simulated_calls& aLoad, std::uint64_t aSeed)
{
  constexpr duration kDuration = 20s;
  constexpr duration kWindow = 500ms;
  constexpr double kTargetMs = 150;
  std::mt19937_64 random(aSeed);
  const choice_options options{ .mSpreadsLoad = aLoad.mSpreadsLoad };
  std::vector<backends::fleet> fleets(aLoad.mInstances);
  std::generate(fleets.begin(), fleets.end(), [&] { return MakeFleet(aLoad.mServers); });
  const auto cutOff = static_cast<std::size_t>(aLoad.mCutOff * static_cast<double>(fleets.size()));
  const prefix_caches caches;
  std::map<server_id, std::vector<time_point>> places;
  std::map<server_id, double> workMs;
  std::vector<sent_call> open;
  std::vector<double> unevenness;
  time_point nextReport = kStart;
  time_point nextWindow = kStart + kWindow;
  int late = 0;
  int total = 0;
  std::exponential_distribution<double> gapMs(aLoad.mCallsPerSecond / 1000);
  for (time_point now = kStart; now < kStart + kDuration; now += Ms(gapMs(random))) {
    std::erase_if(open, [now](const sent_call& aCall) {
      if (aCall.mEnd > now) {
        return false;
      }
      --aCall.mServer->mInFlight;
      backends::RecordEnd(*aCall.mServer, backends::attempt_end::Succeeded, 0s, now);
      return true;
    });
    if (now >= nextReport) {
      nextReport += aLoad.mReportInterval;
      ExchangeReports(fleets, cutOff, now);
    }
    if (now >= nextWindow) {
      nextWindow += kWindow;
      unevenness.push_back(TakeUnevenness(workMs, aLoad.mServers));
    }
    demand demand;
    demand.mService = service_id("app");
    demand.mTurnMs = aLoad.mCallMs;
    demand.mDataCentre = data_centre_id("a");
    demand.mIsAllowed = [](const auto&) { return true; };
    const auto server =
      Choose(fleets[random() % fleets.size()], demand, caches, options, random, now).mServer;
    REQUIRE(server != nullptr);
    auto& free = places[server->mAnnounced.mId];
    free.resize(aLoad.mPlaces, kStart);
    auto& place = *std::min_element(free.begin(), free.end());
    const bool isSlow =
      server->mAnnounced.mId < server_id("s-" + std::to_string(aLoad.mSlowServers));
    place = std::max(place, now) + Ms(aLoad.mCallMs * (isSlow ? 3 : 1));
    workMs[server->mAnnounced.mId] += aLoad.mCallMs;
    ++server->mInFlight;
    open.push_back({ .mEnd = place, .mServer = server });
    ++total;
    late += place - now > Ms(kTargetMs) ? 1 : 0;
  }
  return { .mLate = static_cast<double>(late) / total,
           .mUnevenness = std::accumulate(unevenness.begin(), unevenness.end(), 0.0) /
                          static_cast<double>(unevenness.size()) };
}

} // namespace

// Guards against instances that all send to the server that was least loaded in the last report.
TEST_CASE("instances with the same old picture of few servers do not move together")
{
  const std::vector<simulated_calls> loads{
    {},
    { .mServers = 3 },
    { .mServers = 3, .mReportInterval = 800ms },
    { .mServers = 3, .mCutOff = 0.5 },
    { .mSlowServers = 1 },
  };
  for (simulated_calls load : loads) {
    const outcome spread = Simulate(load, 1);
    load.mSpreadsLoad = false;
    const outcome least = Simulate(load, 1);
    MESSAGE(load.mServers << " servers, " << load.mSlowServers << " slow, " << load.mCutOff
                          << " cut off: late " << spread.mLate << ", least loaded " << least.mLate
                          << "; busiest to mean " << spread.mUnevenness << ", "
                          << least.mUnevenness);
    CHECK(spread.mLate <= least.mLate);
    CHECK(spread.mUnevenness < 1.5);
    CHECK(spread.mUnevenness < least.mUnevenness);
  }
  CHECK(Simulate({ .mServers = 3 }, 1).mLate < 0.001);
}
