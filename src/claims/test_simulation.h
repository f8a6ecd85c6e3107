#pragma once

#include "claims/claims.h"
#include "platform/memory_table.h"

#include <functional>
#include <random>

namespace tamarackweir::claims::test {

/// One request of a caller to one instance.
struct attempt
{
  std::string mInstance;
  std::string mKey;
  std::string mResult = "waiting"; ///< a claim result's name, "answered" or "broken"
  std::string mBody{};
  bool mSent = false; ///< bytes were sent to the backend server, and it did not refuse
};

/// "k<number>"; uses +=, because GCC 12 gives a false warning for "k" + std::to_string(..).
inline std::string KeyName(std::int64_t aNumber)
{
  std::string name("k");
  name += std::to_string(aNumber);
  return name;
}

/// Fault probabilities of one table operation or backend call.
struct fault_rates
{
  double mLoseRequest = 0;
  double mLoseAnswer = 0;
  double mLate = 0; ///< the write takes effect long after its answer counts as lost
  double mServerRefuses = 0;
  double mServerAnswerLost = 0;
};

/// Simulates instances, one table and one backend server that counts runs, on a virtual clock in
/// steps of 1 ms.
struct simulation
{
  struct node
  {
    state mState;
    bool mAlive = true;
    time_point mPausedUntil{};
    std::map<std::uint64_t, std::size_t>
      mAttempts{};               ///< call number to index in `simulation::mAttempts`
    duration mPauseBeforeSend{}; ///< pauses the instance between the next dispatch and send
  };

  platform::memory_table mTable;
  time_point mNow{};
  std::mt19937_64 mRandom{ 1 };
  fault_rates mFaults;
  options mOptions;
  std::uint64_t mNextEpoch = 100;
  std::map<std::string, node> mNodes;
  std::multimap<time_point, std::function<void()>> mEvents;
  std::vector<attempt> mAttempts;
  std::map<std::string, int> mRuns; ///< by key, how often the backend server ran the call
  duration mTableDelay = 1ms;
  duration mServerDelay = 5ms;
  std::int64_t mWallOffset = 1'800'000'000;

  bool Chance(double aRate)
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom) < aRate;
  }

  /// Starts an instance, or a replacement at the same address with empty state.
  void Start(const std::string& aName)
  {
    const auto elapsed = std::chrono::duration_cast<std::chrono::seconds>(mNow - time_point{});
    mNodes[aName] = { .mState =
                        claims::Start(mOptions, instance_id(aName), start_epoch(mNextEpoch++), mNow,
                                      wall_seconds(mWallOffset + elapsed.count())) };
  }

  void Kill(const std::string& aName)
  {
    mNodes.at(aName).mAlive = false;
    for (attempt& entry : mAttempts) {
      if (entry.mInstance == aName && entry.mResult == "waiting") {
        entry.mResult = "broken";
      }
    }
  }

  /// Runs `aWork` at `aTime`, or after the instance's pause; drops it if the instance was killed or
  /// replaced.
  void ScheduleAt(time_point aTime, const std::string& aName, start_epoch aEpoch,
                  std::function<void(node&)> aWork)
  {
    mEvents.emplace(aTime, [this, aName, aEpoch, aWork = std::move(aWork)] {
      node& instance = mNodes.at(aName);
      if (!instance.mAlive || instance.mState.mEpoch != aEpoch) {
        return;
      }
      if (instance.mPausedUntil > mNow) {
        ScheduleAt(instance.mPausedUntil, aName, aEpoch, aWork);
        return;
      }
      aWork(instance);
    });
  }

  std::size_t StartAttempt(const std::string& aName, const std::string& aKey,
                           const std::string& aDigest = "digest", duration aDeadline = 60s)
  {
    const std::size_t index = mAttempts.size();
    mAttempts.push_back({ aName, aKey });
    node& asked = mNodes.at(aName);
    if (!asked.mAlive) {
      mAttempts[index].mResult = "broken";
      return index;
    }
    ScheduleAt(mNow, aName, asked.mState.mEpoch, [=, this](node& aNode) {
      const call request{ account_id("depot"), aKey, aDigest, mNow + aDeadline };
      // Registered beforehand, because `RequestClaim` may add the decision before it returns the
      // number.
      aNode.mAttempts[aNode.mState.mNextNumber] = index;
      actions out;
      claims::RequestClaim(aNode.mState, request, mNow, out);
      Perform(aName, out);
    });
    return index;
  }

  void AdvanceTo(time_point aTime)
  {
    while (mNow < aTime) {
      mNow += 1ms;
      while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
        const auto work = std::move(mEvents.begin()->second);
        mEvents.erase(mEvents.begin());
        work();
      }
      for (auto& [name, instance] : mNodes) {
        if (instance.mAlive && instance.mPausedUntil <= mNow) {
          actions out;
          Tick(instance.mState, mNow, out);
          Perform(name, out);
        }
      }
    }
  }
  void Advance(duration aTime) { AdvanceTo(mNow + aTime); }

  void Perform(const std::string& aName, const actions& aActions)
  {
    const start_epoch epoch = mNodes.at(aName).mState.mEpoch;
    for (const auto& [operation, transaction] : aActions.mCommits) {
      mEvents.emplace(mNow + mTableDelay, [=, this, id = operation, write = transaction] {
        platform::commit_result result{ platform::commit_status::Unknown, {} };
        if (Chance(mFaults.mLate)) {
          mEvents.emplace(mNow + std::chrono::milliseconds(mRandom() % 4000),
                          [=, this] { Commit(mTable, write); });
        } else if (!Chance(mFaults.mLoseRequest)) {
          result = Commit(mTable, write);
          if (Chance(mFaults.mLoseAnswer)) {
            result = { platform::commit_status::Unknown, {} };
          }
        }
        if (result.mStatus == platform::commit_status::Unknown && Chance(0.3)) {
          return; // no result arrives: the instance's own timeout applies
        }
        ScheduleAt(mNow + mTableDelay, aName, epoch, [=, this](node& aNode) {
          actions out;
          OnCommit(aNode.mState, id, result, mNow, out);
          Perform(aName, out);
        });
      });
    }
    for (const auto& [operation, request] : aActions.mReads) {
      mEvents.emplace(mNow + mTableDelay, [=, this, id = operation, read = request] {
        const auto result =
          Chance(mFaults.mLoseAnswer) ? platform::read_result{} : Read(mTable, read);
        ScheduleAt(mNow + mTableDelay, aName, epoch, [=, this](node& aNode) {
          actions out;
          OnRead(aNode.mState, id, result, mNow, out);
          Perform(aName, out);
        });
      });
    }
    for (const decision& decided : aActions.mDecisions) {
      node& instance = mNodes.at(aName);
      const std::size_t index = instance.mAttempts.at(decided.mCall.Value());
      if (decided.mResult == claim_result::Proceed) {
        Dispatch(aName, instance, decided.mCall, index);
      } else {
        mAttempts[index].mResult = ToString(decided.mResult);
        mAttempts[index].mBody = decided.mOutcome ? decided.mOutcome->mBody : "";
      }
    }
  }

  void Dispatch(const std::string& aName, node& aNode, call_id aCall, std::size_t aIndex)
  {
    const dispatch result = BeginDispatch(aNode.mState, aCall, mNow);
    if (result != dispatch::Send) {
      mAttempts[aIndex].mResult = result == dispatch::NotRun ? "not_run" : "sent_twice";
      return;
    }
    if (aNode.mPauseBeforeSend > duration{}) {
      aNode.mPausedUntil = mNow + std::exchange(aNode.mPauseBeforeSend, duration{});
    }
    ScheduleAt(mNow, aName, aNode.mState.mEpoch, [=, this](node&) { Send(aName, aCall, aIndex); });
  }

  void Send(const std::string& aName, call_id aCall, std::size_t aIndex)
  {
    const start_epoch epoch = mNodes.at(aName).mState.mEpoch;
    mAttempts[aIndex].mSent = true;
    const bool refuses = Chance(mFaults.mServerRefuses);
    const bool lost = Chance(mFaults.mServerAnswerLost);
    const std::string key = mAttempts[aIndex].mKey;
    if (!refuses) {
      mEvents.emplace(mNow + 1ms, [=, this] { ++mRuns[key]; });
    }
    ScheduleAt(mNow + mServerDelay, aName, epoch, [=, this](node& aNode) {
      attempt& entry = mAttempts[aIndex];
      if (refuses && lost) {
        entry.mSent = false;
        OnServerRefused(aNode.mState, aCall);
        Dispatch(aName, aNode, aCall, aIndex);
      } else if (refuses) {
        entry.mSent = false;
        entry.mResult = "not_run";
        FinishNotRun(aNode.mState, aCall, mNow);
      } else if (lost) {
        entry.mResult = "unknown";
        FinishUnknown(aNode.mState, aCall);
      } else {
        entry.mResult = "answered";
        entry.mBody = "answer to " + key;
        Finish(aNode.mState, aCall, { 200, entry.mBody }, mNow);
      }
    });
  }
};

} // namespace tamarackweir::claims::test
