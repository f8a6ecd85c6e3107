#pragma once

#include "capacity/capacity.h"
#include "platform/memory_table.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace tamarackweir::capacity::simulation {

/// One cold server, instances that request credits for it, a table and a network, on a simulated
/// clock.
struct fleet
{
  struct event
  {
    time_point mAt{};
    std::uint64_t mOrder = 0;
    std::size_t mTarget = 0; ///< an instance, or `kNoInstance` for the server and the table
    std::function<void()> mAction;

    bool operator<(const event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mOrder) < std::tie(mAt, mOrder);
    }
  };
  struct instance
  {
    state mState;
    time_point mPausedUntil{};
    std::uint64_t mIncarnation = 0; ///< incremented when the process is replaced
    std::uint64_t mMessages = 0;
  };

  std::mt19937_64 mRandom;
  time_point mNow{ 1h };
  options mOptions;
  double mFaultChance = 0;          ///< probability of each loss, duplicate and slow write
  double mRequestChancePerTick = 1; ///< probability per instance and tick of 100 ms
  double mServiceSeconds = 0.5;
  double mPauseBeforeSend = 0;     ///< probability of a 30 s pause between last check and send
  bool mRefusesAboveLimit = false; ///< the server refuses requests above its limit
  bool mCold = true;
  std::int64_t mLimit = 1;
  bool mColdKnown = true; ///< instances start with a report that the server is cold
  std::vector<instance> mInstances;
  platform::memory_table mTable;
  std::priority_queue<event> mEvents;
  std::uint64_t mOrder = 0;
  std::uint64_t mServerEpoch = 1;
  std::uint64_t mSequence = 0;
  std::int64_t mRunning = 0;
  std::int64_t mMaxRunning = 0;
  std::uint64_t mServed = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mGeneration = 0; ///< incremented by a server restart, which ends its requests
};

constexpr std::size_t kNoInstance = static_cast<std::size_t>(-1);

inline const server_id& Server()
{
  static const server_id kServer("runner-1");
  return kServer;
}

inline instance_id IdOf(std::size_t aIndex)
{
  std::string id = "entry-";
  return instance_id(id += std::to_string(aIndex));
}

inline std::size_t IndexOf(const instance_id& aId)
{
  return std::stoul(aId.Value().substr(6));
}

inline void Schedule(fleet& aFleet, std::size_t aTarget, duration aDelay,
                     std::function<void()> aAction)
{
  aFleet.mEvents.push({ aFleet.mNow + aDelay, aFleet.mOrder++, aTarget, std::move(aAction) });
}

inline duration RandomDuration(fleet& aFleet, duration aFrom, duration aTo)
{
  return duration(
    std::uniform_int_distribution<std::int64_t>(aFrom.count(), aTo.count())(aFleet.mRandom));
}

inline bool RandomChance(fleet& aFleet, double aChance)
{
  return std::uniform_real_distribution<double>(0, 1)(aFleet.mRandom) < aChance;
}

void Perform(fleet& aFleet, std::size_t aIndex, const actions& aActions);

/// Starts or refuses a request at the server; calls `aEnded` at its end or refusal.
inline void HandleArrival(fleet& aFleet, const std::function<void(bool)>& aEnded)
{
  if (aFleet.mRefusesAboveLimit && aFleet.mCold && aFleet.mRunning >= aFleet.mLimit) {
    ++aFleet.mRefused;
    aEnded(true);
    return;
  }
  ++aFleet.mRunning;
  ++aFleet.mServed;
  aFleet.mMaxRunning = std::max(aFleet.mMaxRunning, aFleet.mRunning);
  const double seconds =
    std::exponential_distribution<double>(1 / aFleet.mServiceSeconds)(aFleet.mRandom);
  const auto generation = aFleet.mGeneration;
  Schedule(aFleet, kNoInstance, duration(static_cast<std::int64_t>(1e6 * std::min(seconds, 20.0))),
           [&aFleet, generation, aEnded] {
             if (generation == aFleet.mGeneration) {
               --aFleet.mRunning;
             }
             aEnded(false);
           });
}

/// Calls `aAction` at an instance after a network delay, unless the message is lost. Some messages
/// are duplicated and arrive a second time, up to 3 s later.
inline void Send(fleet& aFleet, const instance_id& aTo, const std::function<void(state&)>& aAction)
{
  if (RandomChance(aFleet, aFleet.mFaultChance)) {
    return;
  }
  const std::size_t to = IndexOf(aTo);
  const int copies = RandomChance(aFleet, aFleet.mFaultChance) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const duration delay =
      copy == 0 ? RandomDuration(aFleet, 100us, 20ms) : RandomDuration(aFleet, 20ms, 3s);
    Schedule(aFleet, to, delay, [&aFleet, to, aAction] {
      ++aFleet.mInstances[to].mMessages;
      aAction(aFleet.mInstances[to].mState);
    });
  }
}

inline void UseCredit(fleet& aFleet, std::size_t aIndex, const credit_id& aCredit)
{
  if (!TryUseCredit(aFleet.mInstances[aIndex].mState, aCredit, aFleet.mNow)) {
    return;
  }
  const auto incarnation = aFleet.mInstances[aIndex].mIncarnation;
  const auto send = [&aFleet, aIndex, aCredit, incarnation] {
    HandleArrival(aFleet, [&aFleet, aIndex, aCredit, incarnation](bool) {
      Schedule(aFleet, aIndex, 1ms, [&aFleet, aIndex, aCredit, incarnation] {
        if (aFleet.mInstances[aIndex].mIncarnation == incarnation) {
          Perform(aFleet, aIndex,
                  FinishCredit(aFleet.mInstances[aIndex].mState, aCredit, aFleet.mNow));
        }
      });
    });
  };
  if (RandomChance(aFleet, aFleet.mPauseBeforeSend)) {
    aFleet.mInstances[aIndex].mPausedUntil = aFleet.mNow + 30s;
    Schedule(aFleet, kNoInstance, 30s, send);
  } else {
    send();
  }
}

inline void Perform(fleet& aFleet, std::size_t aIndex, const actions& aActions)
{
  const auto incarnation = aFleet.mInstances[aIndex].mIncarnation;
  for (const lease_write& each : aActions.mWrites) {
    // The write and its answer are each delayed. A slow store takes longer than the write timeout.
    const duration maxDelay =
      RandomChance(aFleet, aFleet.mFaultChance) ? duration(6s) : duration(30ms);
    Schedule(aFleet, kNoInstance, RandomDuration(aFleet, 1ms, maxDelay),
             [&aFleet, aIndex, each, incarnation] {
               const auto result = Commit(aFleet.mTable, each.mTransaction);
               Schedule(aFleet, aIndex, RandomDuration(aFleet, 1ms, 30ms),
                        [&aFleet, aIndex, each, result, incarnation] {
                          if (aFleet.mInstances[aIndex].mIncarnation == incarnation) {
                            Perform(aFleet, aIndex,
                                    OnLeaseWritten(aFleet.mInstances[aIndex].mState, each.mServer,
                                                   result, aFleet.mNow));
                          }
                        });
             });
  }
  if (!aActions.mReadKeys.empty()) {
    const auto keys = aActions.mReadKeys;
    Schedule(aFleet, kNoInstance, RandomDuration(aFleet, 1ms, 30ms),
             [&aFleet, aIndex, keys, incarnation] {
               const auto result = Read(aFleet.mTable, { keys, "" });
               Schedule(aFleet, aIndex, RandomDuration(aFleet, 1ms, 30ms),
                        [&aFleet, aIndex, keys, result, incarnation] {
                          if (aFleet.mInstances[aIndex].mIncarnation == incarnation) {
                            Perform(aFleet, aIndex,
                                    OnLeaseRowsRead(aFleet.mInstances[aIndex].mState, keys, result,
                                                    aFleet.mNow));
                          }
                        });
             });
  }
  aFleet.mInstances[aIndex].mMessages += aActions.mAsks.size() + aActions.mAnswers.size() +
                                         aActions.mReleases.size() + aActions.mReleaseAcks.size();
  for (const auto& [to, message] : aActions.mAsks) {
    Send(aFleet, to, [&aFleet, index = IndexOf(to), ask = message](state& aState) {
      Perform(aFleet, index, OnCreditAsk(aState, ask, aFleet.mNow));
    });
  }
  for (const auto& [to, message] : aActions.mAnswers) {
    Send(aFleet, to, [&aFleet, index = IndexOf(to), answer = message](state& aState) {
      Perform(aFleet, index, OnCreditAnswer(aState, answer, aFleet.mNow, aFleet.mRandom));
    });
  }
  for (const auto& [to, message] : aActions.mReleases) {
    Send(aFleet, to, [&aFleet, index = IndexOf(to), release = message](state& aState) {
      Perform(aFleet, index, OnCreditRelease(aState, release, aFleet.mNow));
    });
  }
  for (const auto& [to, message] : aActions.mReleaseAcks) {
    Send(aFleet, to, [ack = message](state& aState) { OnCreditReleaseAck(aState, ack); });
  }
  for (const cold_announcement& each : aActions.mAnnouncements) {
    for (std::size_t to = 0; to < aFleet.mInstances.size(); ++to) {
      // Gossip reaches all instances within 2 s.
      Schedule(aFleet, to, RandomDuration(aFleet, 100ms, 2s), [&aFleet, to, each] {
        Perform(aFleet, to, OnColdAnnouncement(aFleet.mInstances[to].mState, each, aFleet.mNow));
      });
    }
  }
  for (const usable_credit& each : aActions.mUsableCredits) {
    UseCredit(aFleet, aIndex, each.mId);
  }
}

inline load_report MakeLoadReport(fleet& aFleet)
{
  return { .mServer = Server(),
           .mEpoch = start_epoch(aFleet.mServerEpoch),
           .mSequence = ++aFleet.mSequence,
           .mRunningRequests = aFleet.mRunning,
           .mCold = aFleet.mCold,
           .mColdLimit = aFleet.mLimit,
           .mMeasuredAt = aFleet.mNow };
}

inline void SendReports(fleet& aFleet)
{
  const load_report report = MakeLoadReport(aFleet);
  for (std::size_t to = 0; to < aFleet.mInstances.size(); ++to) {
    Schedule(aFleet, to, RandomDuration(aFleet, 20ms, 300ms), [&aFleet, to, report] {
      Perform(aFleet, to, OnLoadReport(aFleet.mInstances[to].mState, report, aFleet.mNow));
    });
  }
  Schedule(aFleet, kNoInstance, 500ms, [&aFleet] { SendReports(aFleet); });
}

inline void TickInstance(fleet& aFleet, std::size_t aIndex)
{
  fleet::instance& instance = aFleet.mInstances[aIndex];
  Perform(aFleet, aIndex, Tick(instance.mState, aFleet.mNow));
  if (RandomChance(aFleet, aFleet.mRequestChancePerTick)) {
    if (!IsCold(instance.mState, Server())) {
      HandleArrival(aFleet, [&aFleet, aIndex](bool aRefused) {
        if (aRefused) {
          OnServerRefusal(aFleet.mInstances[aIndex].mState, Server(), aFleet.mNow);
        }
      });
    } else {
      actions result;
      RequestCredit(instance.mState, Server(), 30s, result, aFleet.mNow, aFleet.mRandom);
      Perform(aFleet, aIndex, result);
    }
  }
  Schedule(aFleet, aIndex, 100ms, [&aFleet, aIndex] { TickInstance(aFleet, aIndex); });
}

inline void StartInstance(fleet& aFleet, std::size_t aIndex)
{
  fleet::instance& instance = aFleet.mInstances[aIndex];
  instance.mState = Start(aFleet.mOptions, IdOf(aIndex), start_epoch(aFleet.mRandom()));
  std::vector<instance_id> live;
  for (std::size_t i = 0; i < aFleet.mInstances.size(); ++i) {
    live.push_back(IdOf(i));
  }
  OnLiveInstances(instance.mState, live);
}

/// Starts the instances, their ticks and the reports. Scheduled events refer to `aFleet`, so it
/// must not be moved.
inline void StartFleet(fleet& aFleet, std::size_t aInstances)
{
  aFleet.mInstances.resize(aInstances);
  for (std::size_t i = 0; i < aInstances; ++i) {
    StartInstance(aFleet, i);
    if (aFleet.mColdKnown) {
      OnLoadReport(aFleet.mInstances[i].mState, MakeLoadReport(aFleet), aFleet.mNow);
    }
    Schedule(aFleet, i, RandomDuration(aFleet, 0us, 100ms),
             [&aFleet, i] { TickInstance(aFleet, i); });
  }
  SendReports(aFleet);
}

inline void RunFor(fleet& aFleet, duration aFor)
{
  const time_point end = aFleet.mNow + aFor;
  while (!aFleet.mEvents.empty() && aFleet.mEvents.top().mAt <= end) {
    const fleet::event next = aFleet.mEvents.top();
    aFleet.mEvents.pop();
    aFleet.mNow = next.mAt;
    if (next.mTarget != kNoInstance) {
      fleet::instance& instance = aFleet.mInstances[next.mTarget];
      if (aFleet.mNow < instance.mPausedUntil) {
        Schedule(aFleet, next.mTarget, instance.mPausedUntil - aFleet.mNow, next.mAction);
        continue;
      }
    }
    next.mAction();
  }
  aFleet.mNow = end;
}

/// Returns the instance that considers itself the lease holder, or `kNoInstance`.
inline std::size_t HolderOf(const fleet& aFleet)
{
  for (std::size_t i = 0; i < aFleet.mInstances.size(); ++i) {
    const auto found = aFleet.mInstances[i].mState.mServers.find(Server());
    if (found != aFleet.mInstances[i].mState.mServers.end() && found->second.mHeldLease &&
        aFleet.mNow - found->second.mHeldLease->mRenewedAt < 3s) {
      return i;
    }
  }
  return kNoInstance;
}

/// Replaces the instance's process under the same id; its state is lost.
inline void ReplaceInstance(fleet& aFleet, std::size_t aIndex)
{
  ++aFleet.mInstances[aIndex].mIncarnation;
  StartInstance(aFleet, aIndex);
}

inline void PauseInstance(fleet& aFleet, std::size_t aIndex, duration aFor)
{
  aFleet.mInstances[aIndex].mPausedUntil = aFleet.mNow + aFor;
}

} // namespace tamarackweir::capacity::simulation
