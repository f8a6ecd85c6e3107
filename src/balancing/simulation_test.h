#pragma once

#include "balancing/balancing.h"

#include <algorithm>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace tamarackweir::balancing::simulation {

/// Size, load and timing of a simulated fleet.
struct setup
{
  std::size_t mInstances = 64;
  std::size_t mServers = 100;
  std::size_t mDataCentres = 1;
  std::size_t mRegions = 1;
  double mRequestsPerSecond = 750;
  std::int64_t mCapacity = 10;
  duration mServiceTime = 1s; ///< mean of an exponential distribution
  duration mReportEvery = 1s;
  duration mReportDelay = 50ms; ///< from measurement to arrival at the instances
  options mOptions;
  std::uint64_t mSeed = 1;
};

/// Instances that choose servers for requests and servers that queue them, on a simulated clock.
struct fleet
{
  struct event
  {
    enum class kind
    {
      Arrival,
      End,
      Measure,
      Report
    };
    time_point mAt{};
    std::uint64_t mOrder = 0;
    kind mKind = kind::Arrival;
    std::size_t mServer = 0;
    std::size_t mInstance = 0;
    time_point mDispatchedAt{};
    load_report mReport{};

    bool operator<(const event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mOrder) < std::tie(mAt, mOrder);
    }
  };
  struct engine
  {
    std::int64_t mRunning = 0;
    std::deque<std::pair<std::size_t, time_point>> mWaiting;
    std::uint64_t mSequence = 0;
    std::uint64_t mServed = 0;
  };

  setup mSetup;
  std::mt19937_64 mRandom;
  time_point mNow{ 1h };
  std::vector<state> mInstances;
  std::vector<engine> mEngines;
  std::vector<data_centre> mCentres;
  std::priority_queue<event> mEvents;
  std::uint64_t mOrder = 0;
  std::uint64_t mRejected = 0;
  std::vector<std::int64_t> mQueueLengths; ///< samples of running and waiting requests per server
};

inline const model_version& Version()
{
  static const model_version kVersion{ model_id("clerk-small"), version_id("v1") };
  return kVersion;
}

inline server_id ServerOf(std::size_t aIndex)
{
  std::string id = "runner-";
  return server_id(id += std::to_string(aIndex));
}

inline std::size_t IndexOf(const server_id& aServer)
{
  return std::stoul(aServer.Value().substr(7));
}

inline data_centre_id DataCentreOf(std::size_t aIndex)
{
  std::string id = "dc-";
  return data_centre_id(id += std::to_string(aIndex));
}

inline void PushEvent(fleet& aFleet, fleet::event aEvent)
{
  aEvent.mOrder = aFleet.mOrder++;
  aFleet.mEvents.push(std::move(aEvent));
}

inline load_report MakeLoadReport(fleet& aFleet, std::size_t aServer)
{
  fleet::engine& engine = aFleet.mEngines[aServer];
  load_report report;
  report.mServer = ServerOf(aServer);
  report.mEpoch = start_epoch(1);
  report.mSequence = ++engine.mSequence;
  report.mRunning = engine.mRunning;
  report.mWaiting = static_cast<std::int64_t>(engine.mWaiting.size());
  report.mCapacity = aFleet.mSetup.mCapacity;
  report.mVersions = { Version() };
  report.mMeasuredAt = aFleet.mNow;
  return report;
}

inline void ApplyDataCentres(fleet& aFleet)
{
  for (state& each : aFleet.mInstances) {
    OnDataCentres(each, aFleet.mCentres, aFleet.mNow);
  }
}

inline fleet MakeFleet(const setup& aSetup)
{
  fleet created;
  created.mSetup = aSetup;
  created.mRandom.seed(aSetup.mSeed);
  created.mEngines.resize(aSetup.mServers);
  std::vector<listed_server> listed;
  for (std::size_t i = 0; i < aSetup.mServers; ++i) {
    listed.push_back({ ServerOf(i), DataCentreOf(i % aSetup.mDataCentres), false });
  }
  for (std::size_t i = 0; i < aSetup.mDataCentres; ++i) {
    created.mCentres.push_back({ DataCentreOf(i), std::to_string(i % aSetup.mRegions), true });
  }
  for (std::size_t i = 0; i < aSetup.mInstances; ++i) {
    created.mInstances.push_back(Start(aSetup.mOptions, DataCentreOf(i % aSetup.mDataCentres)));
    OnServerList(created.mInstances.back(), listed, created.mNow);
  }
  ApplyDataCentres(created);
  std::uniform_int_distribution<std::int64_t> phase(0, aSetup.mReportEvery.count());
  for (std::size_t i = 0; i < aSetup.mServers; ++i) {
    const load_report report = MakeLoadReport(created, i);
    for (state& each : created.mInstances) {
      OnLoadReport(each, report, created.mNow);
      OnColdState(each, report.mServer, false, created.mNow);
    }
    PushEvent(created, { created.mNow + duration(phase(created.mRandom)), 0,
                         fleet::event::kind::Measure, i });
  }
  PushEvent(created, { created.mNow, 0, fleet::event::kind::Arrival });
  return created;
}

inline duration DrawExponential(fleet& aFleet, double aMeanSeconds)
{
  return duration(static_cast<std::int64_t>(
    1e6 * std::exponential_distribution<double>(1 / aMeanSeconds)(aFleet.mRandom)));
}

inline void StartRequest(fleet& aFleet, std::size_t aServer, std::size_t aInstance,
                         time_point aDispatchedAt)
{
  ++aFleet.mEngines[aServer].mRunning;
  const double mean = std::chrono::duration<double>(aFleet.mSetup.mServiceTime).count();
  PushEvent(aFleet, { aFleet.mNow + DrawExponential(aFleet, mean), 0, fleet::event::kind::End,
                      aServer, aInstance, aDispatchedAt });
}

inline void HandleArrival(fleet& aFleet)
{
  const std::size_t at = aFleet.mRandom() % aFleet.mInstances.size();
  const auto picked =
    Choose(aFleet.mInstances[at], { Version(), {}, {}, false }, aFleet.mNow, aFleet.mRandom);
  if (!picked) {
    ++aFleet.mRejected;
  } else {
    OnDispatch(aFleet.mInstances[at], picked->mServer, aFleet.mNow);
    const std::size_t server = IndexOf(picked->mServer);
    fleet::engine& engine = aFleet.mEngines[server];
    ++engine.mServed;
    if (engine.mRunning < aFleet.mSetup.mCapacity) {
      StartRequest(aFleet, server, at, aFleet.mNow);
    } else {
      engine.mWaiting.emplace_back(at, aFleet.mNow);
    }
  }
  PushEvent(aFleet, { aFleet.mNow + DrawExponential(aFleet, 1 / aFleet.mSetup.mRequestsPerSecond),
                      0, fleet::event::kind::Arrival });
}

inline void HandleEvent(fleet& aFleet, const fleet::event& aEvent)
{
  fleet::engine& engine = aFleet.mEngines[aEvent.mServer];
  switch (aEvent.mKind) {
    case fleet::event::kind::Arrival:
      HandleArrival(aFleet);
      break;
    case fleet::event::kind::End:
      --engine.mRunning;
      OnRequestEnded(aFleet.mInstances[aEvent.mInstance], ServerOf(aEvent.mServer),
                     aEvent.mDispatchedAt, false, aFleet.mNow);
      if (!engine.mWaiting.empty()) {
        const auto [instance, dispatchedAt] = engine.mWaiting.front();
        engine.mWaiting.pop_front();
        StartRequest(aFleet, aEvent.mServer, instance, dispatchedAt);
      }
      break;
    case fleet::event::kind::Measure:
      PushEvent(aFleet,
                { aFleet.mNow + aFleet.mSetup.mReportDelay, 0, fleet::event::kind::Report,
                  aEvent.mServer, 0, time_point{}, MakeLoadReport(aFleet, aEvent.mServer) });
      PushEvent(aFleet, { aFleet.mNow + aFleet.mSetup.mReportEvery, 0, fleet::event::kind::Measure,
                          aEvent.mServer });
      break;
    case fleet::event::kind::Report:
      for (state& each : aFleet.mInstances) {
        OnLoadReport(each, aEvent.mReport, aFleet.mNow);
      }
      break;
  }
}

/// Advances the simulation by `aFor`; samples all queue lengths every 100 ms if `aSample` is set.
inline void RunFor(fleet& aFleet, duration aFor, bool aSample)
{
  const time_point end = aFleet.mNow + aFor;
  time_point sampleAt = aFleet.mNow;
  while (aFleet.mEvents.top().mAt < end) {
    const fleet::event next = aFleet.mEvents.top();
    aFleet.mEvents.pop();
    aFleet.mNow = next.mAt;
    HandleEvent(aFleet, next);
    if (aSample && aFleet.mNow >= sampleAt) {
      sampleAt = aFleet.mNow + 100ms;
      for (const fleet::engine& each : aFleet.mEngines) {
        aFleet.mQueueLengths.push_back(each.mRunning +
                                       static_cast<std::int64_t>(each.mWaiting.size()));
      }
    }
  }
  aFleet.mNow = end;
}

/// Returns the `aShare` quantile of the sampled queue lengths.
inline std::int64_t QueueLengthQuantile(fleet& aFleet, double aShare)
{
  std::sort(aFleet.mQueueLengths.begin(), aFleet.mQueueLengths.end());
  const auto last = static_cast<double>(aFleet.mQueueLengths.size() - 1);
  return aFleet.mQueueLengths[static_cast<std::size_t>(aShare * last)];
}

} // namespace tamarackweir::balancing::simulation
