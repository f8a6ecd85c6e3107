#include "rollout/rollout.h"

#include "platform/memory_table.h"
#include "scenario/scenario.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <random>

using namespace tamarackweir;
using namespace tamarackweir::rollout;
using nlohmann::json;
using platform::memory_table;

namespace {

constexpr time_point kStart{};

rollout_settings MakeSettings(double aShare)
{
  return { .mOwner = owner_id("plovdiv"),
           .mName = "seams",
           .mModel = model_id("seams"),
           .mOldVersion = version_id("v1"),
           .mNewVersion = version_id("v2"),
           .mShare = aShare };
}

const model_version kCandidate{ model_id("seams"), version_id("v2") };

struct fleet_options
{
  bool mLeaseTakeover = true;  ///< false: no instance takes over the lease of a crashed driver
  bool mRepeatOrders = true;   ///< false: the driver orders each engine only once
  bool mLimitLoadRate = true;  ///< false: all loads are ordered at once
  bool mDisturbDrivers = true; ///< crash or pause drivers
  double mLoadsPerSecond = 0.5;
  double mMaxLoadBurst = 4;
  bool mTableFaults = true; ///< lost answers and outages
};

struct fleet_result
{
  bool mDone = false;
  double mShare = 0;
  int mDied = 0;
  int mPaused = 0;
  int mStaleExecuted = 0;
  int mStaleRefused = 0;
  std::size_t mMaxDrivers = 0;
  std::size_t mLoads = 0;
  double mMaxLoadsIn10s = 0;
  double mMaxLoadRate = 0; ///< loads in any 60 s, per second
  bool mShareFell = false;
  std::size_t mEnginesWithCandidate = 0; ///< engines with the candidate at the end
  double mSeconds = 0;
};

/// Simulates ten instances, 20 engines that load in 10 s and report every 2 s, and a table that
/// loses answers and is down for 20 s of every 200 s. In each step the driver crashes or pauses for
/// 30 s. Four unload orders of a paused driver reach engines 30 to 90 s late, and half of the
/// engines ignore fencing numbers.
class fleet_simulation
{
public:
  fleet_simulation(const fleet_options& aOptions, std::uint64_t aSeed)
    : mOptions(aOptions)
    , mRandom(aSeed)
    , mInstances(10)
    , mEngines(20)
  {
    for (std::size_t i = 0; i < mInstances.size(); ++i) {
      mInstances[i].mDriver.mSelf = instance_id(std::string(1, static_cast<char>('a' + i)));
      mInstances[i].mDriver.mOptions.mMinStepDuration = 20s;
      if (!aOptions.mLeaseTakeover) {
        mInstances[i].mDriver.mOptions.mLeaseDuration = std::chrono::hours(1000);
      }
      if (!aOptions.mRepeatOrders) {
        mInstances[i].mDriver.mOptions.mOrderRetryInterval = std::chrono::hours(1000);
      }
      mInstances[i].mDriver.mOptions.mLoadsPerSecond = aOptions.mLoadsPerSecond;
      mInstances[i].mDriver.mOptions.mMaxLoadBurst = aOptions.mMaxLoadBurst;
      if (!aOptions.mLimitLoadRate) {
        mInstances[i].mDriver.mOptions.mLoadsPerSecond = 1000;
        mInstances[i].mDriver.mOptions.mMaxLoadBurst = 1000;
      }
      mInstances[i].mKnownSettings = MakeSettings(0);
    }
    for (std::size_t i = 0; i < mEngines.size(); ++i) {
      mEngines[i].mChecksFencing = i % 2 == 0;
      mReports.push_back({ server_id(std::string(1, static_cast<char>('A' + i))), {} });
    }
  }

  fleet_result Run()
  {
    for (int second = 0; second < 3000; ++second) {
      mNow = kStart + std::chrono::seconds(second);
      SimulateSecond(second);
      if (mSettings.mState == rollout_state::Done && !mResult.mDone) {
        mResult.mDone = true;
        mResult.mSeconds = second;
      }
      if (mResult.mDone && second >= mResult.mSeconds + 200) {
        break;
      }
    }
    mResult.mShare = mSettings.mShare;
    for (const simulated_engine& one : mEngines) {
      mResult.mEnginesWithCandidate += one.mHasCandidate ? 1 : 0;
    }
    const auto maxLoadsWithin = [&](duration aTime) {
      std::ptrdiff_t highest = 0;
      for (const time_point& at : mLoads) {
        highest = std::max(
          highest, std::count_if(mLoads.begin(), mLoads.end(), [&](const time_point& aLoad) {
            return aLoad >= at && aLoad < at + aTime;
          }));
      }
      return static_cast<double>(highest);
    };
    mResult.mMaxLoadsIn10s = maxLoadsWithin(10s);
    mResult.mMaxLoadRate = maxLoadsWithin(60s) / 60;
    mResult.mLoads = mLoads.size();
    return mResult;
  }

private:
  struct instance
  {
    driver_state mDriver;
    rollout_settings mKnownSettings;
    time_point mSettingsArriveAt{}; ///< when the newest settings reach this instance
    bool mDead = false;
    time_point mPausedUntil{};
  };

  struct simulated_engine
  {
    bool mChecksFencing = false;
    bool mHasCandidate = false;
    fencing_number mHighestFencing;
    std::optional<time_point> mLoadedAt;
  };

  struct late_order
  {
    time_point mArrivesAt{};
    std::size_t mEngine = 0;
    fencing_number mFencing;
  };

  void SimulateSecond(int aSecond)
  {
    mTable.mFault = memory_table::fault::None;
    if (mOptions.mTableFaults && aSecond % 200 >= 150 && aSecond % 200 < 170) {
      mTable.mFault = memory_table::fault::Down;
    }
    for (std::size_t i = 0; i < mEngines.size(); ++i) {
      simulated_engine& one = mEngines[i];
      if (one.mLoadedAt && *one.mLoadedAt <= mNow) {
        one.mHasCandidate = true;
        one.mLoadedAt.reset();
      }
      if (aSecond % 2 == 0) {
        mReports[i].mVersions.clear();
        if (one.mHasCandidate) {
          mReports[i].mVersions.insert(kCandidate);
        }
      }
    }
    CountResults();
    DeliverLateOrders();
    DisturbDriver();
    std::size_t drivers = 0;
    for (instance& one : mInstances) {
      if (one.mDead || mNow < one.mPausedUntil) {
        continue;
      }
      if (mNow >= one.mSettingsArriveAt) {
        one.mKnownSettings = mSettings;
      }
      Tick(one);
    }
    for (const instance& one : mInstances) {
      drivers += !one.mDead && IsDriver(one.mDriver, mNow) ? 1 : 0;
    }
    mResult.mMaxDrivers = std::max(mResult.mMaxDrivers, drivers);
  }

  /// Adds 1000 results a second; one in twenty is bad on both versions.
  void CountResults()
  {
    const auto add = [&](const version_id& aVersion, double aShare) {
      const int results = static_cast<int>(std::lround(1000 * aShare));
      const auto bad =
        static_cast<std::uint64_t>(std::binomial_distribution<int>(results, 0.05)(mRandom));
      result_counts& sum =
        mEvidence[{ mSettings.mOwner, mSettings.mName, StepIndex(mSettings.mShare), aVersion,
                    instance_id("a"), start_epoch(1) }];
      sum.mBad += bad;
      sum.mGood += static_cast<std::uint64_t>(results) - bad;
    };
    add(mSettings.mNewVersion, mSettings.mShare);
    add(mSettings.mOldVersion, 1 - mSettings.mShare);
  }

  void DeliverLateOrders()
  {
    for (auto it = mLateOrders.begin(); it != mLateOrders.end();) {
      if (it->mArrivesAt > mNow) {
        ++it;
        continue;
      }
      simulated_engine& target = mEngines[it->mEngine];
      if (target.mChecksFencing && it->mFencing < target.mHighestFencing) {
        ++mResult.mStaleRefused;
      } else {
        mResult.mStaleExecuted += target.mHasCandidate ? 1 : 0;
        target.mHasCandidate = false;
        target.mLoadedAt.reset();
      }
      it = mLateOrders.erase(it);
    }
  }

  /// Crashes or pauses the driver once in each step, 3 to 20 s after the step began.
  void DisturbDriver()
  {
    if (!mOptions.mDisturbDrivers || mResult.mDone || mNow < mNextDisturbanceAt ||
        mLastDisturbedShare == mSettings.mShare) {
      return;
    }
    for (instance& one : mInstances) {
      if (one.mDead || !IsDriver(one.mDriver, mNow)) {
        continue;
      }
      mLastDisturbedShare = mSettings.mShare;
      if (mRandom() % 2 == 0) {
        one.mDead = true;
        ++mResult.mDied;
      } else {
        ++mResult.mPaused;
        one.mPausedUntil = mNow + 30s;
        for (int i = 0; i < 4; ++i) {
          const duration delay = std::chrono::seconds(30 + mRandom() % 60);
          mLateOrders.push_back(
            { mNow + delay, mRandom() % mEngines.size(), one.mDriver.mFencing });
        }
      }
      return;
    }
  }

  void Tick(instance& aInstance)
  {
    const rollout_settings& view = aInstance.mKnownSettings;
    rollout_target target{ view, {} };
    const auto serverCount = static_cast<std::size_t>(
      std::ceil(NextShare(view.mShare) * static_cast<double>(mReports.size())));
    for (std::size_t i = 0; i < serverCount; ++i) {
      target.mServers.push_back(mReports[i].mServer);
    }
    const driver_actions actions = OnTick(aInstance.mDriver, target, mReports, mEvidence, mNow);
    if (actions.mReadRow) {
      OnRowRead(aInstance.mDriver, view, Read(mTable, { { RowKey(view) }, "" }), mNow);
    }
    if (actions.mTransaction) {
      const auto before = mTable.mFault;
      if (mOptions.mTableFaults && before == memory_table::fault::None && mRandom() % 10 == 0) {
        mTable.mFault = memory_table::fault::LoseAnswer;
      }
      const auto result = Commit(mTable, *actions.mTransaction);
      mTable.mFault = before;
      OnCommit(aInstance.mDriver, *actions.mTransaction, result, mNow);
    }
    for (const engine_order& one : actions.mOrders) {
      ExecuteOrder(one);
    }
    if (actions.mProposal && actions.mProposal->mState != rollout_state::Halted &&
        view.mRevision == mSettings.mRevision && mTable.mFault == memory_table::fault::None) {
      mResult.mShareFell = mResult.mShareFell || actions.mProposal->mShare < mSettings.mShare;
      mSettings.mShare = actions.mProposal->mShare;
      mSettings.mState = actions.mProposal->mState;
      mSettings.mRevision = revision(mSettings.mRevision.Value() + 1);
      mNextDisturbanceAt = mNow + std::chrono::seconds(3 + mRandom() % 18);
      for (instance& one : mInstances) {
        one.mSettingsArriveAt = mNow + std::chrono::seconds(mRandom() % 4);
      }
    }
  }

  void ExecuteOrder(const engine_order& aOrder)
  {
    const auto index = static_cast<std::size_t>(aOrder.mServer.Value().front() - 'A');
    simulated_engine& target = mEngines[index];
    if (target.mChecksFencing && aOrder.mFencing < target.mHighestFencing) {
      return;
    }
    target.mHighestFencing = std::max(target.mHighestFencing, aOrder.mFencing);
    mLoads.push_back(mNow);
    if (!target.mHasCandidate && !target.mLoadedAt) {
      target.mLoadedAt = mNow + 10s;
    }
  }

  fleet_options mOptions;
  std::mt19937_64 mRandom;
  time_point mNow = kStart;
  rollout_settings mSettings = MakeSettings(0);
  std::vector<instance> mInstances;
  std::vector<simulated_engine> mEngines;
  std::vector<engine_report> mReports;
  evidence mEvidence;
  memory_table mTable;
  std::vector<late_order> mLateOrders;
  std::vector<time_point> mLoads;
  time_point mNextDisturbanceAt = kStart + 10s;
  double mLastDisturbedShare = -1;
  fleet_result mResult;
};

} // namespace

// Guards against a roll-out that stalls when its driver crashes, two drivers at the same time,
// stale orders whose effect persists, and loads above the weight store's rate.
TEST_CASE("a roll-out completes although its driver crashes or pauses in every step")
{
  int died = 0;
  int paused = 0;
  int staleExecuted = 0;
  int staleRefused = 0;
  double slowest = 0;
  double rate = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    const fleet_result run = fleet_simulation({}, seed).Run();
    CHECK(run.mDone);
    CHECK(run.mEnginesWithCandidate == 20);
    CHECK(run.mMaxDrivers <= 1);
    CHECK_FALSE(run.mShareFell);
    // 0.5 loads/s, plus a burst of at most four at the beginning of the minute.
    CHECK(run.mMaxLoadRate <= 0.5 + 4.0 / 60);
    CHECK(run.mDied + run.mPaused >= 5);
    died += run.mDied;
    paused += run.mPaused;
    staleExecuted += run.mStaleExecuted;
    staleRefused += run.mStaleRefused;
    slowest = std::max(slowest, run.mSeconds);
    rate = std::max(rate, run.mMaxLoadRate);
  }
  MESSAGE("100 roll-outs done; drivers crashed ", died, ", paused ", paused,
          ", stale orders executed ", staleExecuted, ", refused ", staleRefused, "; slowest ",
          slowest, " s, most loads in a minute ", rate, "/s");
  CHECK(staleExecuted > 0);
  CHECK(staleRefused > 0);
}

// Guards against a simulation that would pass without lease takeover or repeated orders. A paused
// driver resumes by itself, so without takeover exactly the roll-outs whose driver crashed stall.
TEST_CASE("without lease takeover or without repeated orders, roll-outs stall")
{
  int stalled = 0;
  int stalledWithoutRepeats = 0; // without table faults, which also make a driver repeat orders
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    const fleet_result withoutTakeover = fleet_simulation({ .mLeaseTakeover = false }, seed).Run();
    CHECK(withoutTakeover.mDone == (withoutTakeover.mDied == 0));
    stalled += withoutTakeover.mDone ? 0 : 1;
    stalledWithoutRepeats +=
      fleet_simulation({ .mRepeatOrders = false, .mTableFaults = false }, seed).Run().mDone ? 0 : 1;
  }
  const fleet_result undisturbed =
    fleet_simulation({ .mDisturbDrivers = false, .mTableFaults = false }, 1).Run();
  MESSAGE("without takeover ", stalled, " of 20 stall, without repeated orders ",
          stalledWithoutRepeats, " of 20; undisturbed ", undisturbed.mSeconds, " s");
  CHECK(undisturbed.mDone);
  CHECK(stalled >= 15);
  CHECK(stalledWithoutRepeats > 0);
}

// Guards against a load limit that does not keep the weight store's rate: in the last steps ten
// engines have to load.
TEST_CASE("only with the load limit do loads keep to the rate of the weight store")
{
  const double limit = 2.0 / 10; // loads in any 10 s at 0.1/s with a burst of one
  double maxRate = 0;
  double maxRateUnlimited = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    fleet_options options{ .mLimitLoadRate = true, .mLoadsPerSecond = 0.1, .mMaxLoadBurst = 1 };
    const fleet_result slow = fleet_simulation(options, seed).Run();
    const double loadRate = slow.mMaxLoadsIn10s / 10;
    CHECK(slow.mDone);
    CHECK(loadRate <= limit);
    maxRate = std::max(maxRate, loadRate);
    options.mLimitLoadRate = false;
    maxRateUnlimited =
      std::max(maxRateUnlimited, fleet_simulation(options, seed).Run().mMaxLoadsIn10s / 10);
  }
  MESSAGE("most loads in 10 s: with the limit of 0.1/s ", maxRate, "/s, without ", maxRateUnlimited,
          "/s");
  CHECK(maxRateUnlimited > limit);
}

// Guards against sessions that move back to the old version while the share grows.
TEST_CASE("a growing share moves no session back and matches its nominal size")
{
  std::vector<std::string> onCandidate;
  for (const double share : kStepShares) {
    std::size_t count = 0;
    const rollout_settings settings = MakeSettings(share);
    for (const std::string& session : onCandidate) {
      CHECK(ChooseVersion(settings, session) == settings.mNewVersion);
    }
    onCandidate.clear();
    for (int i = 0; i < 20000; ++i) {
      std::string session = "session-";
      session += std::to_string(i);
      if (ChooseVersion(settings, session) == settings.mNewVersion) {
        ++count;
        onCandidate.push_back(session);
      }
    }
    CHECK(static_cast<double>(count) / 20000 == doctest::Approx(share).epsilon(0.15));
  }
  rollout_settings halted = MakeSettings(0.5);
  halted.mState = rollout_state::Halted;
  CHECK(ChooseVersion(halted, onCandidate.front()) == halted.mOldVersion);
}

// Guards against several changes for one halt, and against a change id that a later roll-out's halt
// shares with an earlier one.
TEST_CASE("halt proposals have the same change id within a revision and another one later")
{
  const rollout_settings settings = MakeSettings(0.05);
  evidence bad;
  for (int i = 0; i < 1000; ++i) {
    RecordResult(
      bad, { settings.mOwner, "seams", 1, settings.mOldVersion, instance_id("a"), start_epoch(1) },
      i % 20 != 0);
    RecordResult(
      bad, { settings.mOwner, "seams", 1, settings.mNewVersion, instance_id("a"), start_epoch(1) },
      i % 2 != 0);
  }
  const auto first = ProposeHalt(settings, bad, {});
  REQUIRE(first.has_value());
  CHECK(first->mState == rollout_state::Halted);
  CHECK(first->mChangeId == ProposeHalt(settings, bad, {})->mChangeId);
  rollout_settings later = settings;
  later.mRevision = revision(7);
  CHECK(ProposeHalt(later, bad, {})->mChangeId != first->mChangeId);
  rollout_settings halted = settings;
  halted.mState = rollout_state::Halted;
  CHECK_FALSE(ProposeHalt(halted, bad, {}).has_value());
}

// Guards against wrong steps for shares that were set by hand or rounded by JSON.
TEST_CASE("shares map to steps, and few instances compete for the lease")
{
  CHECK(StepIndex(0) == 0);
  CHECK(StepIndex(0.05) == 1);
  CHECK(StepIndex(0.3) == 2);
  CHECK(StepIndex(1) == 4);
  CHECK(NextShare(0) == 0.01);
  CHECK(NextShare(0.25) == 0.5);
  CHECK(NextShare(1) == 1);
  const std::vector live{ instance_id("a"), instance_id("b"), instance_id("c"), instance_id("d") };
  const auto chosen = LeaseContenders(MakeSettings(0), live);
  CHECK(chosen.size() == 3);
  CHECK(LeaseContenders(MakeSettings(0), { live.rbegin(), live.rend() }) == chosen);
  CHECK(LeaseContenders(MakeSettings(0), { live.front() }).size() == 1);
}

// Guards against sending sessions to the candidate while no server can serve it.
TEST_CASE("no share is proposed while the target has no server")
{
  memory_table table;
  driver_state driver;
  driver.mSelf = instance_id("a");
  const rollout_settings settings = MakeSettings(0);
  const std::vector<engine_report> engines{ { server_id("s1"), { kCandidate } } };
  const auto propose = [&](const std::vector<server_id>& aServers, time_point aNow) {
    const auto actions = OnTick(driver, { settings, aServers }, engines, {}, aNow);
    if (actions.mReadRow) {
      OnRowRead(driver, settings, Read(table, { { RowKey(settings) }, "" }), aNow);
    }
    if (actions.mTransaction) {
      OnCommit(driver, *actions.mTransaction, Commit(table, *actions.mTransaction), aNow);
    }
    return actions.mProposal.has_value();
  };
  propose({}, kStart);
  propose({}, kStart + 1s);
  CHECK_FALSE(propose({}, kStart + 2s));
  CHECK(propose({ server_id("s1") }, kStart + 3s));
}

// Guards against unintended changes of the driver's decisions.
TEST_CASE("the rollout scenarios give the expected results")
{
  int files = 0;
  for (const auto& file :
       std::filesystem::directory_iterator(TAMARACKWEIR_SLICE_DIR "/scenarios")) {
    CAPTURE(file.path().string());
    const auto script = scenario::Load(file.path());
    std::map<std::string, driver_state> drivers;
    for (const json& name : script.mSetup.at("instances")) {
      drivers[name].mSelf = instance_id(name);
    }
    memory_table table;
    rollout_settings settings = MakeSettings(script.mSetup.value("share", 0.0));
    std::vector<engine_report> engines;
    for (const json& name : script.mSetup.at("engines")) {
      engines.push_back({ server_id(name), {} });
    }
    const scenario::verb_table verbs{
      { "tick",
        [&](const json& aWith, time_point aNow) {
          driver_state& driver = drivers.at(aWith.at("at"));
          rollout_target target{ settings, {} };
          for (const engine_report& one : engines) {
            target.mServers.push_back(one.mServer);
          }
          const auto actions = OnTick(driver, target, engines, {}, aNow);
          if (actions.mReadRow) {
            OnRowRead(driver, settings, Read(table, { { RowKey(settings) }, "" }), aNow);
          }
          if (actions.mTransaction) {
            OnCommit(driver, *actions.mTransaction, Commit(table, *actions.mTransaction), aNow);
          }
          json orders = json::array();
          for (const engine_order& one : actions.mOrders) {
            orders.push_back(one.mServer.Value());
          }
          return json{ { "orders", orders },
                       { "driver", IsDriver(driver, aNow) },
                       { "fencing", driver.mFencing.Value() },
                       { "propose", actions.mProposal ? actions.mProposal->mShare : -1.0 } };
        } },
      { "table",
        [&](const json& aWith, time_point) {
          const std::string fault = aWith.at("fault");
          table.mFault = fault == "down"   ? memory_table::fault::Down
                         : fault == "lose" ? memory_table::fault::LoseAnswer
                                           : memory_table::fault::None;
          return json::object();
        } },
      { "report",
        [&](const json& aWith, time_point) {
          for (engine_report& one : engines) {
            if (one.mServer.Value() == aWith.at("engine").get<std::string>()) {
              one.mVersions = { { kCandidate.mModel, version_id(aWith.at("version")) } };
            }
          }
          return json::object();
        } },
      { "settings",
        [&](const json& aWith, time_point) {
          settings.mShare = aWith.value("share", settings.mShare);
          settings.mState = aWith.value("state", "running") == "halted" ? rollout_state::Halted
                                                                        : rollout_state::Running;
          return json::object();
        } },
      { "row",
        [&](const json&, time_point) {
          const auto rows = Read(table, { { RowKey(settings) }, "" });
          return rows.mRows.empty() ? json{ { "absent", true } } : rows.mRows[0].mValue;
        } },
    };
    const auto mismatches = scenario::Run(script, verbs);
    CHECK_MESSAGE(mismatches.empty(), scenario::Describe(mismatches));
    ++files;
  }
  CHECK(files >= 3);
}
