#include "capacity/simulation_test.h"

#include <doctest/doctest.h>
#include <malloc.h>

using namespace tamarackweir;
using namespace tamarackweir::capacity;
using namespace tamarackweir::capacity::simulation;

namespace {

// Bytes that the program has allocated, in the heap and in mappings of large blocks.
std::size_t AllocatedBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// The baseline: each instance raises its own rate to the server over 30 s, without credits. All
// instances together offer `aPeak` requests/s at the end of the ramp.
std::int64_t MaxRunningWithRamps(std::size_t aInstances, double aPeak)
{
  fleet run;
  run.mRandom.seed(1);
  run.mServiceSeconds = 2;
  const time_point start = run.mNow;
  for (std::size_t i = 0; i < aInstances; ++i) {
    // Each instance decides every 100 ms for itself.
    const std::function<void()> decide = [&run, start, aInstances, aPeak] {
      const double share = std::chrono::duration<double>(run.mNow - start) / 30s;
      if (RandomChance(run, std::min(1.0, share) * aPeak * 0.1 / static_cast<double>(aInstances))) {
        HandleArrival(run, [](bool) {});
      }
    };
    for (int tick = 0; tick < 300; ++tick) {
      Schedule(run, kNoInstance, tick * 100ms + RandomDuration(run, 0us, 100ms), decide);
    }
  }
  RunFor(run, 30s);
  return run.mMaxRunning;
}

// Random faults at six instances that always want credits: pauses, replacements, an unreachable
// table, lost answers of its writes, slow writes, and 10% loss and duplicates of messages.
void RunWithFaults(fleet& aRun, std::uint64_t aSeed)
{
  aRun.mRandom.seed(aSeed);
  aRun.mLimit = 1 + static_cast<std::int64_t>(aSeed % 3);
  aRun.mFaultChance = 0.1;
  // Requests that are longer and shorter than a take-over takes.
  aRun.mServiceSeconds = aSeed % 2 == 0 ? 0.5 : 4;
  StartFleet(aRun, 6);
  for (int step = 0; step < 30; ++step) {
    const std::size_t holder = HolderOf(aRun);
    const std::size_t victim =
      holder != kNoInstance && RandomChance(aRun, 0.5) ? holder : aRun.mRandom() % 6;
    switch (aRun.mRandom() % 6) {
      case 0:
        PauseInstance(aRun, victim, 30s);
        break;
      case 1:
        PauseInstance(aRun, victim, RandomDuration(aRun, 1s, 6s));
        break;
      case 2:
        ReplaceInstance(aRun, victim);
        break;
      case 3:
        aRun.mTable.mFault = platform::memory_table::fault::Down;
        break;
      case 4:
        aRun.mTable.mFault = platform::memory_table::fault::LoseAnswer;
        break;
      default:
        aRun.mTable.mFault = platform::memory_table::fault::None;
    }
    RunFor(aRun, RandomDuration(aRun, 500ms, 5s));
    if (RandomChance(aRun, 0.5)) {
      aRun.mTable.mFault = platform::memory_table::fault::None;
    }
  }
}

} // namespace

// Guards against overload of a cold server by the sum of the instances' own ramps.
TEST_CASE("credits keep a cold server within its limit where per-instance ramps overload it")
{
  for (const std::size_t count : { 8U, 370U }) {
    CAPTURE(count);
    const std::int64_t ramps = MaxRunningWithRamps(count, 7.5);
    fleet run;
    run.mRandom.seed(1);
    run.mServiceSeconds = 2;
    run.mRequestChancePerTick = std::min(1.0, 0.75 / static_cast<double>(count));
    StartFleet(run, count);
    RunFor(run, 60s);
    std::uint64_t messages = 0;
    for (const auto& each : run.mInstances) {
      messages = std::max(messages, each.mMessages);
    }
    MESSAGE(count, " instances, limit 1: ", ramps, " running at most with ramps, ", run.mMaxRunning,
            " with credits, ", run.mServed, " served in 60 s, ", messages / 60.0,
            " messages/s at the busiest instance");
    CHECK(ramps > 1);
    CHECK(run.mMaxRunning == 1);
    CHECK(run.mServed >= 10);
  }
}

// Guards against asks of all instances that flood the lease holder: with its gossip of about
// 2,300 bytes/s it has to stay within 3 KB/s, so 7 messages/s of 100 bytes are left.
TEST_CASE("the lease holder is not flooded when 370 instances want credits all the time")
{
  fleet run;
  run.mRandom.seed(2);
  StartFleet(run, 370);
  RunFor(run, 60s);
  std::uint64_t messages = 0;
  for (const auto& each : run.mInstances) {
    messages = std::max(messages, each.mMessages);
  }
  MESSAGE("370 eager instances: ", messages / 60.0, " messages/s at the busiest instance, ",
          run.mServed, " served in 60 s, ", run.mTable.mWrites / 60.0, " writes/s, ",
          run.mTable.mReads / 60.0, " reads/s");
  CHECK(run.mMaxRunning == 1);
  CHECK(messages / 60.0 < 7);
  CHECK(run.mTable.mWrites / 60.0 < 5);
}

// Guards against any fault or combination of faults that lets more requests run than the limit.
// The server does not refuse, so only leases and credits protect it.
TEST_CASE("no combination of faults exceeds the cold limit over 100 seeds")
{
  std::uint64_t served = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    fleet run;
    RunWithFaults(run, seed);
    CHECK(run.mMaxRunning <= run.mLimit);
    served += run.mServed;
  }
  MESSAGE("100 seeds: ", served, " requests served");
  CHECK(served > 1000);
}

// Guards against a check above that passes whatever the mechanisms do: without the wait after a
// take-over, or with grants on a lease that was not renewed, the same faults exceed the limit.
TEST_CASE("the same faults exceed the limit without the wait or the check of the lease")
{
  int withoutWait = 0;
  int withoutCheck = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    fleet hasty;
    hasty.mOptions.mWaitAfterTakeOver = false;
    RunWithFaults(hasty, seed);
    withoutWait += hasty.mMaxRunning > hasty.mLimit ? 1 : 0;
    fleet careless;
    // Grants go on for an hour without a renewal; the margin keeps the take-over after 3.5 s.
    careless.mOptions.mLeaseDuration = 1h;
    careless.mOptions.mLeaseMargin = 3500ms - 1h;
    RunWithFaults(careless, seed);
    withoutCheck += careless.mMaxRunning > careless.mLimit ? 1 : 0;
  }
  MESSAGE("seeds of 100 above the limit: ", withoutWait, " without the wait, ", withoutCheck,
          " without the check");
  CHECK(withoutWait > 0);
  CHECK(withoutCheck > 0);
}

// Guards against the one window that credits leave open, a pause between the last check and the
// send: the server's own refusal closes it.
TEST_CASE("a pause between the last check and the send meets the refusal of the server")
{
  for (const bool refuses : { false, true }) {
    std::int64_t worst = 0;
    std::uint64_t refused = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      CAPTURE(seed);
      fleet run;
      run.mRefusesAboveLimit = refuses;
      run.mPauseBeforeSend = 0.05;
      RunWithFaults(run, seed);
      worst = std::max(worst, run.mMaxRunning - run.mLimit);
      refused += run.mRefused;
      CHECK((!refuses || run.mMaxRunning <= run.mLimit));
    }
    MESSAGE("refusal ", refuses, ": ", worst, " above the limit at most, ", refused, " refused");
    CHECK((worst > 0) == !refuses);
  }
}

// Guards against a server that stays unused after its lease holder is gone.
TEST_CASE("another instance takes over from a lease holder that is paused or replaced")
{
  for (const bool pause : { true, false }) {
    fleet run;
    run.mRandom.seed(3);
    StartFleet(run, 8);
    RunFor(run, 20s);
    const std::size_t first = HolderOf(run);
    REQUIRE(first != kNoInstance);
    const auto before = run.mServed;
    CHECK(before > 5);
    if (pause) {
      PauseInstance(run, first, 30s);
    } else {
      ReplaceInstance(run, first);
    }
    const time_point from = run.mNow;
    while (run.mServed <= before + 1 && run.mNow < from + 60s) {
      RunFor(run, 100ms);
    }
    MESSAGE(std::string(pause ? "paused" : "replaced"), " holder: served again after ",
            std::chrono::duration<double>(run.mNow - from).count(), " s");
    RunFor(run, 40s);
    CHECK(run.mServed > before + 20);
    CHECK(run.mMaxRunning == 1);
  }
}

// Guards against grants without a valid lease while the store is down.
TEST_CASE("a lease that cannot be renewed issues no credits until the store is back")
{
  fleet run;
  run.mRandom.seed(4);
  StartFleet(run, 8);
  RunFor(run, 20s);
  CHECK(run.mServed > 5);
  run.mTable.mFault = platform::memory_table::fault::Down;
  RunFor(run, 5s);
  const auto during = run.mServed;
  RunFor(run, 20s);
  CHECK(run.mServed == during);
  run.mTable.mFault = platform::memory_table::fault::None;
  RunFor(run, 20s);
  CHECK(run.mServed > during + 5);
  CHECK(run.mMaxRunning == 1);
}

// Guards against instances that go on as if the server were warm: its own refusals are the last
// safeguard, and they make the instances ask for credits.
TEST_CASE("a server that becomes cold without warning stays within its limit")
{
  for (const bool detection : { false, true }) {
    fleet run;
    run.mRandom.seed(5);
    run.mRefusesAboveLimit = true;
    run.mCold = false;
    run.mRequestChancePerTick = 0.1;
    StartFleet(run, 16);
    RunFor(run, 5s);
    CHECK(run.mServed > 50);
    // It restarts: nothing runs, and the limit is 1.
    ++run.mServerEpoch;
    ++run.mGeneration;
    run.mSequence = 0;
    run.mRunning = 0;
    run.mMaxRunning = 0;
    run.mCold = true;
    if (!detection) {
      // Without reports and refusals the instances would not know.
      std::uint64_t sent = 0;
      run.mRefusesAboveLimit = false;
      for (int i = 0; i < 80; ++i) {
        Schedule(run, kNoInstance, i * 60ms, [&run, &sent] {
          ++sent;
          HandleArrival(run, [](bool) {});
        });
      }
      RunFor(run, 5s);
      CHECK(run.mMaxRunning > 1);
      MESSAGE("without detection: ", run.mMaxRunning, " running at most");
      continue;
    }
    RunFor(run, 5s);
    const auto early = run.mRefused;
    RunFor(run, 30s);
    MESSAGE("with detection: ", run.mMaxRunning, " running at most, ", early,
            " refused in the first 5 s, ", run.mRefused - early, " in the next 30 s");
    CHECK(run.mMaxRunning == 1);
    CHECK(run.mRefused - early <= early);
    // Warm again: the lease is given back and everybody sends without credits.
    run.mCold = false;
    RunFor(run, 5s);
    CHECK(HolderOf(run) == kNoInstance);
    const auto row = Read(run.mTable, { { "cold/runner-1" }, "" });
    REQUIRE(row.mRows.size() == 1);
    CHECK(row.mRows[0].mValue.at("holder") == "");
  }
}

// Guards against accounts that outgrow an instance's 64 MB.
TEST_CASE("memory per server stays small")
{
  state self = Start({}, IdOf(0), start_epoch(1));
  const std::size_t before = AllocatedBytes();
  load_report report;
  report.mEpoch = start_epoch(1);
  for (int i = 0; i < 1300; ++i) {
    std::string id = "sapporo-a-runner-";
    report.mServer = server_id(id += std::to_string(i));
    ++report.mSequence;
    OnLoadReport(self, report, time_point{ 1h });
    for (std::size_t k = 0; k < options{}.mMedianSamples; ++k) {
      OnFirstToken(self, report.mServer, 100ms, time_point{ 1h });
    }
  }
  const std::size_t total = AllocatedBytes() - before;
  MESSAGE("bytes: ", total / 1300, " per server, ", total, " at 1300 servers");
  CHECK(total < 4'000'000);
}
