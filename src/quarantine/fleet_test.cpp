#include "platform/memory_table.h"
#include "quarantine/quarantine.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <random>

using namespace tamarackweir;
using namespace tamarackweir::quarantine;
using platform::memory_table;

namespace {

constexpr time_point kStart{};

std::string Numbered(std::string aName, std::uint64_t aNumber)
{
  return aName.append(std::to_string(aNumber));
}

struct fleet_options
{
  bool mQuarantine = true;
  bool mUseHomeServers = true; ///< dispatch only to `HomeServers`
  bool mCallersCancel = false; ///< the crashing request's caller cancels and retries in 5 to 150 ms
  std::size_t mCrashingRequests = 1; ///< identical ones, sent at the same time to random instances
  std::size_t mInstances = 12;
  std::size_t mServers = 20;
  double mLossRate = 0.05; ///< share of messages between instances that is lost
};

struct fleet_result
{
  std::set<server_incarnation> mCrashed;
  std::size_t mHarmless = 0; ///< harmless requests sent
  std::size_t mAnswered = 0;
  std::size_t mWronglyRefused = 0;
};

/// Simulates instances, servers and callers, with one request among harmless ones that crashes its
/// server. Messages between instances take 1 to 100 ms, a table commit 5 ms; a crashed server
/// restarts after 5 s.
class fleet_simulation
{
public:
  fleet_simulation(const fleet_options& aOptions, std::uint64_t aSeed)
    : mOptions(aOptions)
    , mRandom(aSeed)
    , mServers(aOptions.mServers)
  {
    for (std::size_t i = 0; i < aOptions.mInstances; ++i) {
      mInstances.emplace_back();
      mInstances.back().mSelf = instance_id(Numbered("i", i));
    }
    for (std::size_t i = 0; i < aOptions.mServers; ++i) {
      mServerIds.emplace_back(Numbered("s", i));
    }
  }

  fleet_result Run()
  {
    for (std::size_t i = 0; i < 300; ++i) {
      AddCaller(Numbered("innocent ", i), false, Between(0, 3000));
    }
    for (std::size_t i = 0; i < mOptions.mCrashingRequests; ++i) {
      AddCaller("guilty", true, 1s);
    }
    for (std::size_t i = 0; i < mInstances.size(); ++i) {
      Tick(i);
    }
    while (!mEvents.empty() && mEvents.begin()->first < kStart + 20s) {
      mNow = mEvents.begin()->first;
      const auto event = std::move(mEvents.begin()->second);
      mEvents.erase(mEvents.begin());
      event();
    }
    return mResult;
  }

private:
  struct caller
  {
    fingerprint mFingerprint;
    bool mCrashesServer = false;
    int mAttempts = 0;
    bool mHasEnded = false;
  };

  struct server
  {
    std::uint64_t mEpoch = 1;
    bool mIsUp = true;
  };

  duration Between(int aFromMs, int aToMs)
  {
    return std::uniform_int_distribution<int>(aFromMs * 1000, aToMs * 1000)(mRandom) * 1us;
  }

  void Schedule(duration aDelay, std::function<void()> aEvent)
  {
    mEvents.emplace(mNow + aDelay, std::move(aEvent));
  }

  void AddCaller(const std::string& aBody, bool aCrashesServer, duration aAt)
  {
    const std::size_t index = mCallers.size();
    mCallers.push_back({ MakeFingerprint(account_id("depot"), aBody), aCrashesServer });
    mResult.mHarmless += aCrashesServer ? 0 : 1;
    Schedule(aAt, [this, index] { Send(index); });
  }

  std::set<instance_id> Peers(std::size_t aInstance) const
  {
    std::set<instance_id> peers;
    for (const state& instance : mInstances) {
      if (instance.mSelf != mInstances[aInstance].mSelf) {
        peers.insert(instance.mSelf);
      }
    }
    return peers;
  }

  std::vector<server_id> UpServers(const fingerprint& aFingerprint) const
  {
    std::vector<server_id> up;
    for (const server_id& id :
         mOptions.mUseHomeServers ? HomeServers(aFingerprint, mServerIds) : mServerIds) {
      if (mServers[IndexOf(id)].mIsUp) {
        up.push_back(id);
      }
    }
    return up;
  }

  static std::size_t IndexOf(const server_id& aServer)
  {
    return std::stoul(aServer.Value().substr(1));
  }
  static std::size_t IndexOf(const instance_id& aInstance)
  {
    return std::stoul(aInstance.Value().substr(1));
  }

  void Send(std::size_t aCaller)
  {
    caller& sender = mCallers[aCaller];
    if (sender.mHasEnded || ++sender.mAttempts > 20) {
      return;
    }
    const std::size_t instance = mRandom() % mInstances.size();
    const request_id request(Numbered("r", ++mNumber));
    mOpenRequests[request] = aCaller;
    if (sender.mCrashesServer && mOptions.mCallersCancel) {
      Schedule(Between(5, 150), [this, instance, request] { Cancel(instance, request); });
    }
    const fingerprint_status status = mOptions.mQuarantine
                                        ? GetStatus(mInstances[instance], sender.mFingerprint, mNow)
                                        : fingerprint_status::Normal;
    const auto servers = UpServers(sender.mFingerprint);
    if (status == fingerprint_status::Quarantined) {
      Refuse(request);
    } else if (status == fingerprint_status::Suspect || servers.empty()) {
      Rerun(instance, request);
    } else {
      Dispatch(instance, request, servers[mRandom() % servers.size()], false);
    }
  }

  void Refuse(const request_id& aRequest)
  {
    caller& sender = mCallers[mOpenRequests.at(aRequest)];
    mOpenRequests.erase(aRequest);
    if (!sender.mHasEnded) {
      sender.mHasEnded = true;
      mResult.mWronglyRefused += sender.mCrashesServer ? 0 : 1;
    }
  }

  void Rerun(std::size_t aInstance, const request_id& aRequest)
  {
    if (!mOpenRequests.contains(aRequest)) {
      return;
    }
    const fingerprint& suspect = mCallers[mOpenRequests[aRequest]].mFingerprint;
    const auto candidates = UpServers(suspect);
    const auto rows = Read(mTable, MakeRerunRead(suspect, mServerIds));
    const auto plan =
      PlanRerun(mInstances[aInstance], suspect, rows, candidates, aRequest.Value(), mNow);
    if (!plan.mTransaction.mPut.empty()) {
      Commit(mTable, plan.mTransaction);
    }
    switch (plan.mStep) {
      case rerun_step::Run:
        Dispatch(aInstance, aRequest, plan.mServer, true);
        break;
      case rerun_step::Commit:
        Schedule(5ms, [this, aInstance, aRequest] { Rerun(aInstance, aRequest); });
        break;
      case rerun_step::Wait:
        Schedule(50ms, [this, aInstance, aRequest] { Rerun(aInstance, aRequest); });
        break;
      case rerun_step::Quarantined:
      case rerun_step::Unavailable:
        Refuse(aRequest);
        break;
    }
  }

  void Dispatch(std::size_t aInstance, const request_id& aRequest, const server_id& aServer,
                bool aIsRerun)
  {
    const std::size_t target = IndexOf(aServer);
    const server_incarnation on{ aServer, start_epoch(mServers[target].mEpoch) };
    const caller& sender = mCallers[mOpenRequests.at(aRequest)];
    OnDispatch(mInstances[aInstance], aRequest, { sender.mFingerprint, on, aIsRerun, {} });
    const bool crashesServer = sender.mCrashesServer;
    Schedule(crashesServer ? Between(20, 300) : Between(100, 800), [this, aInstance, aRequest, on,
                                                                    crashesServer] {
      if (mServers[IndexOf(on.mServer)].mEpoch != on.mEpoch.Value() ||
          !mServers[IndexOf(on.mServer)].mIsUp) {
        return;
      }
      if (crashesServer && !mCancelled.contains(aRequest)) {
        CrashServer(on);
      } else if (mOpenRequests.contains(aRequest)) {
        Apply(aInstance, OnCompleted(mInstances[aInstance], aRequest, Peers(aInstance), mNow));
        caller& ended = mCallers[mOpenRequests[aRequest]];
        ended.mHasEnded = true;
        mResult.mAnswered += ended.mCrashesServer ? 0 : 1;
        mOpenRequests.erase(aRequest);
      }
    });
  }

  void CrashServer(const server_incarnation& aCrashed)
  {
    mResult.mCrashed.insert(aCrashed);
    server& down = mServers[IndexOf(aCrashed.mServer)];
    down.mIsUp = false;
    ++down.mEpoch;
    Schedule(5s, [&down] { down.mIsUp = true; });
    for (std::size_t i = 0; i < mInstances.size(); ++i) {
      Schedule(Between(1, 5), [this, i, aCrashed] {
        if (mOptions.mQuarantine) {
          Apply(i, OnServerCrash(mInstances[i], aCrashed, Peers(i), mNow));
          return;
        }
        std::vector<request_id> broken;
        for (const auto& [request, dispatched] : mInstances[i].mRuns) {
          if (dispatched.mIncarnation == aCrashed) {
            broken.push_back(request);
          }
        }
        for (const request_id& request : broken) {
          mInstances[i].mRuns.erase(request);
          FailAttempt(request);
        }
      });
    }
  }

  /// Tells the caller that its attempt has failed; the caller retries.
  void FailAttempt(const request_id& aRequest)
  {
    if (const auto found = mOpenRequests.find(aRequest); found != mOpenRequests.end()) {
      const std::size_t index = found->second;
      mOpenRequests.erase(found);
      Send(index);
    }
  }

  void Cancel(std::size_t aInstance, const request_id& aRequest)
  {
    if (!mOpenRequests.contains(aRequest)) {
      return;
    }
    OnCancelled(mInstances[aInstance], aRequest, mNow);
    if (mRandom() % 2 == 0) {
      mCancelled.insert(aRequest); // The engine was cancelled before it crashed.
    }
    FailAttempt(aRequest);
  }

  void Apply(std::size_t aInstance, const actions& aActions)
  {
    for (const auto& [id, transaction] : aActions.mStore) {
      OnStored(mInstances[aInstance], id, Commit(mTable, transaction));
    }
    for (const outgoing_report& message : aActions.mSend) {
      for (const instance_id& to : message.mTo) {
        SendMessage([this, aInstance, sent = message.mReport, peer = IndexOf(to)] {
          const report_ack ack = OnReport(mInstances[peer], sent, mNow);
          SendMessage(
            [this, aInstance, ack] { Apply(aInstance, OnAck(mInstances[aInstance], ack)); });
        });
      }
    }
    for (const request_id& request : aActions.mAnswer) {
      FailAttempt(request);
    }
  }

  void SendMessage(std::function<void()> aDeliver)
  {
    if (std::uniform_real_distribution<double>()(mRandom) >= mOptions.mLossRate) {
      Schedule(Between(1, 100), std::move(aDeliver));
    }
  }

  void Tick(std::size_t aInstance)
  {
    Apply(aInstance, OnTick(mInstances[aInstance], mNow));
    Schedule(20ms, [this, aInstance] { Tick(aInstance); });
  }

  fleet_options mOptions;
  std::mt19937_64 mRandom;
  time_point mNow = kStart;
  std::multimap<time_point, std::function<void()>> mEvents;
  std::vector<state> mInstances;
  std::vector<server> mServers;
  std::vector<server_id> mServerIds;
  std::deque<caller> mCallers;
  std::map<request_id, std::size_t> mOpenRequests;
  std::set<request_id> mCancelled;
  memory_table mTable;
  std::uint64_t mNumber = 0;
  fleet_result mResult;
};

struct run_totals
{
  std::size_t mMaxCrashes = 0;      ///< most crashes with one seed
  std::size_t mSeedsAboveTwo = 0;   ///< seeds with more than two crashes
  std::size_t mHarmlessRefused = 0; ///< harmless requests refused, all seeds
  std::size_t mUnanswered = 0;
};

run_totals RunSeeds(const fleet_options& aOptions, std::uint64_t aSeeds, bool aCheck)
{
  run_totals result;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    CAPTURE(seed);
    const fleet_result run = fleet_simulation(aOptions, seed).Run();
    if (aCheck) {
      CHECK(run.mCrashed.size() <= 2);
    }
    result.mMaxCrashes = std::max(result.mMaxCrashes, run.mCrashed.size());
    result.mSeedsAboveTwo += run.mCrashed.size() > 2 ? 1 : 0;
    result.mHarmlessRefused += run.mWronglyRefused;
    result.mUnanswered += run.mHarmless - run.mAnswered - run.mWronglyRefused;
  }
  return result;
}

std::string Summary(const run_totals& aTotals, std::uint64_t aSeeds)
{
  return "max crashes per seed " + std::to_string(aTotals.mMaxCrashes) +
         ", seeds with more than two crashes " + std::to_string(aTotals.mSeedsAboveTwo) + " of " +
         std::to_string(aSeeds) + ", harmless requests refused " +
         std::to_string(aTotals.mHarmlessRefused) + " and unanswered " +
         std::to_string(aTotals.mUnanswered) + " of " + std::to_string(aSeeds * 300);
}

} // namespace

// Guards against a request that crashes one server after another because its caller retries it.
TEST_CASE("a crashing request that its caller retries crashes at most two servers")
{
  const auto off = RunSeeds({ .mQuarantine = false, .mUseHomeServers = false }, 20, false);
  const auto on = RunSeeds({}, 100, true);
  const auto reports = RunSeeds({ .mUseHomeServers = false }, 100, true);
  MESSAGE("quarantine off: ", Summary(off, 20));
  MESSAGE("reports and home servers: ", Summary(on, 100));
  MESSAGE("reports alone: ", Summary(reports, 100));
  CHECK(off.mMaxCrashes > 10);
  CHECK(on.mUnanswered == 0);
  CHECK(on.mHarmlessRefused * 1000 <= 100 * 300);
}

// Guards against a caller that cancels and retries before the report has reached all instances.
// Reports alone can't bound the crashes; dispatching to the home servers does.
TEST_CASE("a caller that cancels and retries before the report arrives crashes at most two servers")
{
  const auto off =
    RunSeeds({ .mQuarantine = false, .mUseHomeServers = false, .mCallersCancel = true }, 20, false);
  const auto reports = RunSeeds({ .mUseHomeServers = false, .mCallersCancel = true }, 100, false);
  const auto on = RunSeeds({ .mCallersCancel = true }, 100, true);
  MESSAGE("quarantine off: ", Summary(off, 20));
  MESSAGE("reports alone: ", Summary(reports, 100));
  MESSAGE("reports and home servers: ", Summary(on, 100));
  CHECK(off.mMaxCrashes > 2);
  CHECK(reports.mSeedsAboveTwo > 0);
}

// Guards against identical requests that are all dispatched before the first crash.
TEST_CASE("ten identical simultaneous requests crash at most two servers")
{
  const auto reports = RunSeeds({ .mUseHomeServers = false, .mCrashingRequests = 10 }, 20, false);
  const auto on = RunSeeds({ .mCrashingRequests = 10 }, 100, true);
  MESSAGE("reports alone: ", Summary(reports, 20));
  MESSAGE("reports and home servers: ", Summary(on, 100));
  CHECK(reports.mMaxCrashes > 2);
}
