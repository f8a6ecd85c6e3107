#pragma once

#include "membership/membership.h"

#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace tamarackweir::membership::simulation {

/// Simulates a fleet of instances on a network with loss and delay, on a virtual clock.
struct fleet
{
  struct delivery
  {
    time_point mArrivesAt{};
    std::uint64_t mSequence = 0;
    std::size_t mTo = 0;
    std::string mFromAddress;
    gossip_message mMessage;

    bool operator<(const delivery& aOther) const
    {
      return std::tie(aOther.mArrivesAt, aOther.mSequence) < std::tie(mArrivesAt, mSequence);
    }
  };

  std::mt19937_64 mRandom;
  double mLoss = 0;
  double mDuplicates = 0;
  duration mMaxDelay = 5ms;
  time_point mNow{ 1h };
  std::vector<state> mInstances;
  std::vector<bool> mRunning;
  std::vector<std::uint64_t> mBytes; ///< sent and received, by instance
  std::vector<std::vector<rumour>> mNewRumours;
  std::vector<time_point> mConfirmedAt;
  std::priority_queue<delivery> mNetwork;
  std::uint64_t mNextSequence = 0;
};

inline std::string IdOf(std::size_t aAt)
{
  std::string id = "sapporo-a-entry-";
  return id += std::to_string(aAt);
}

inline std::string AddressOf(std::size_t aAt)
{
  std::string address = "10.20.30.40:";
  return address += std::to_string(10000 + aAt);
}

inline std::vector<listed_instance> ListOf(std::size_t aCount)
{
  std::vector<listed_instance> list;
  for (std::size_t i = 0; i < aCount; ++i) {
    list.push_back({ IdOf(i),
                     role::Entry,
                     AddressOf(i),
                     AddressOf(i),
                     data_centre_id(std::to_string(i % 18)),
                     false,
                     {} });
  }
  return list;
}

inline fleet MakeFleet(std::size_t aCount, double aLoss, std::uint64_t aSeed)
{
  fleet simulated;
  simulated.mRandom.seed(aSeed);
  simulated.mLoss = aLoss;
  const auto list = ListOf(aCount);
  std::uniform_int_distribution<int> phase(0, 249'999);
  for (std::size_t i = 0; i < aCount; ++i) {
    simulated.mInstances.push_back(Start({}, instance_id(IdOf(i)),
                                         start_epoch(simulated.mRandom() | 1U), list[i].mDataCentre,
                                         simulated.mNow + duration(phase(simulated.mRandom))));
    OnInstanceList(simulated.mInstances.back(), list, simulated.mNow);
  }
  simulated.mRunning.assign(aCount, true);
  simulated.mBytes.assign(aCount, 0);
  simulated.mNewRumours.resize(aCount);
  simulated.mConfirmedAt.assign(aCount, simulated.mNow);
  return simulated;
}

inline head_confirmation HeadOf(const fleet& aFleet, std::size_t aAt)
{
  return { revision(123'456), aFleet.mNow - aFleet.mConfirmedAt[aAt], true };
}

/// Sends the messages of one instance and records its new rumours and confirmation.
inline void Perform(fleet& aFleet, std::size_t aFrom, const actions& aActions)
{
  aFleet.mNewRumours[aFrom].insert(aFleet.mNewRumours[aFrom].end(), aActions.mNewRumours.begin(),
                                   aActions.mNewRumours.end());
  if (aActions.mHead && aActions.mHead->mAge != duration::max()) {
    aFleet.mConfirmedAt[aFrom] =
      std::max(aFleet.mConfirmedAt[aFrom], aFleet.mNow - aActions.mHead->mAge);
  }
  std::uniform_real_distribution<double> chance(0, 1);
  std::uniform_int_distribution<std::int64_t> delay(100, aFleet.mMaxDelay.count());
  for (const outgoing& each : aActions.mSend) {
    aFleet.mBytes[aFrom] += WireBytes(each.mMessage);
    const std::size_t to = std::stoul(each.mPeerAddress.substr(12)) - 10000;
    const int copies = chance(aFleet.mRandom) < aFleet.mLoss         ? 0
                       : chance(aFleet.mRandom) < aFleet.mDuplicates ? 2
                                                                     : 1;
    for (int copy = 0; copy < copies; ++copy) {
      aFleet.mNetwork.push({ aFleet.mNow + duration(delay(aFleet.mRandom)), aFleet.mNextSequence++,
                             to, AddressOf(aFrom), each.mMessage });
    }
  }
}

/// Advances the time in steps of 5 ms, calls `aAfterStep` after each and stops if it returns true.
inline void Run(fleet& aFleet, duration aFor, const std::function<bool()>& aAfterStep = {})
{
  const time_point end = aFleet.mNow + aFor;
  while (aFleet.mNow < end) {
    aFleet.mNow += 5ms;
    while (!aFleet.mNetwork.empty() && aFleet.mNetwork.top().mArrivesAt <= aFleet.mNow) {
      const auto arrived = aFleet.mNetwork.top();
      aFleet.mNetwork.pop();
      if (aFleet.mRunning[arrived.mTo]) {
        aFleet.mBytes[arrived.mTo] += WireBytes(arrived.mMessage);
        Perform(aFleet, arrived.mTo,
                OnGossip(aFleet.mInstances[arrived.mTo], arrived.mMessage, arrived.mFromAddress,
                         HeadOf(aFleet, arrived.mTo), aFleet.mNow));
      }
    }
    for (std::size_t i = 0; i < aFleet.mInstances.size(); ++i) {
      if (aFleet.mRunning[i]) {
        Perform(aFleet, i,
                Tick(aFleet.mInstances[i], HeadOf(aFleet, i), aFleet.mNow, aFleet.mRandom));
      }
    }
    if (aAfterStep && aAfterStep()) {
      return;
    }
  }
}

/// Number of running instances that have the rumour.
inline std::size_t CountReached(const fleet& aFleet, const rumour_key& aKey)
{
  std::size_t count = 0;
  for (std::size_t i = 0; i < aFleet.mInstances.size(); ++i) {
    count += aFleet.mRunning[i] && aFleet.mInstances[i].mRumours.contains(aKey) ? 1 : 0;
  }
  return count;
}

} // namespace tamarackweir::membership::simulation
