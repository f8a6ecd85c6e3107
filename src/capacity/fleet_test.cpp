#include "capacity/simulation_test.h"

#include <doctest/doctest.h>
#include <malloc.h>

using namespace tamarackweir;
using namespace tamarackweir::capacity;
using namespace tamarackweir::capacity::simulation;

namespace {

// Bytes allocated on the heap and in mappings of large blocks.
std::size_t AllocatedBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Returns the maximum of running requests in the baseline without credits: each instance ramps up
// its own rate over 30 s. At the end all instances together send `aPeak` requests/s.
std::int64_t MaxRunningWithRamps(std::size_t aInstances, double aPeak)
{
  fleet run;
  run.mRandom.seed(1);
  run.mServiceSeconds = 2;
  const time_point start = run.mNow;
  for (std::size_t i = 0; i < aInstances; ++i) {
    // Each instance decides independently every 100 ms.
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

// Runs six instances that always request credits under random faults: pauses, replacements, an
// unreachable table, lost write answers, slow writes, and 10% lost and 10% duplicated messages.
void RunWithFaults(fleet& aRun, std::uint64_t aSeed)
{
  aRun.mRandom.seed(aSeed);
  aRun.mLimit = 1 + static_cast<std::int64_t>(aSeed % 3);
  aRun.mFaultChance = 0.1;
  // Mean service times below and above the duration of a take-over.
  aRun.mServiceSeconds = aSeed % 2 == 0 ? 0.5 : 4;
  StartFleet(aRun, 6);
  for (int step = 0; step < 30; ++step) {
    const std::size_t holder = HolderOf(aRun);
    const std::size_t target =
      holder != kNoInstance && RandomChance(aRun, 0.5) ? holder : aRun.mRandom() % 6;
    switch (aRun.mRandom() % 6) {
      case 0:
        PauseInstance(aRun, target, 30s);
        break;
      case 1:
        PauseInstance(aRun, target, RandomDuration(aRun, 1s, 6s));
        break;
      case 2:
        ReplaceInstance(aRun, target);
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

// Guards against overload of a cold server by the sum of the instances' independent ramps.
TEST_CASE("credits keep a cold server within its limit where per-instance ramps overload it")
{
  for (const std::size_t count : { 8U, 370U }) {
    CAPTURE(count);
    const std::int64_t maxWithRamps = MaxRunningWithRamps(count, 7.5);
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
    MESSAGE(count, " instances, limit 1: maximum running ", maxWithRamps, " with ramps, ",
            run.mMaxRunning, " with credits, ", run.mServed, " served in 60 s, ", messages / 60.0,
            " messages/s at the busiest instance");
    CHECK(maxWithRamps > 1);
    CHECK(run.mMaxRunning == 1);
    CHECK(run.mServed >= 10);
  }
}

// Guards against overload of the lease holder by credit requests of all instances. It must stay
// within 3 KB/s; its gossip takes about 2,300 bytes/s, which leaves 7 messages/s of 100 bytes.
TEST_CASE("the lease holder's message rate is bounded when 370 instances always request credits")
{
  fleet run;
  run.mRandom.seed(2);
  StartFleet(run, 370);
  RunFor(run, 60s);
  std::uint64_t messages = 0;
  for (const auto& each : run.mInstances) {
    messages = std::max(messages, each.mMessages);
  }
  MESSAGE("370 instances that always request credits: ", messages / 60.0,
          " messages/s at the busiest instance, ", run.mServed, " served in 60 s, ",
          run.mTable.mWrites / 60.0, " writes/s, ", run.mTable.mReads / 60.0, " reads/s");
  CHECK(run.mMaxRunning == 1);
  CHECK(messages / 60.0 < 7);
  CHECK(run.mTable.mWrites / 60.0 < 5);
}

// Guards against faults, alone or combined, that let more requests run than the limit allows. The
// server does not refuse requests here, so only leases and credits protect it.
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

// Guards against the test above passing vacuously: without the wait after a take-over, or with
// grants under a lease that was not renewed, the same faults exceed the limit.
TEST_CASE("the same faults exceed the limit without the take-over wait or the lease check")
{
  int withoutWait = 0;
  int withoutLeaseCheck = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    fleet noWait;
    noWait.mOptions.mWaitAfterTakeOver = false;
    RunWithFaults(noWait, seed);
    withoutWait += noWait.mMaxRunning > noWait.mLimit ? 1 : 0;
    fleet noLeaseCheck;
    // Grants continue for an hour without a renewal; the margin keeps the take-over at 3.5 s.
    noLeaseCheck.mOptions.mLeaseDuration = 1h;
    noLeaseCheck.mOptions.mLeaseMargin = 3500ms - 1h;
    RunWithFaults(noLeaseCheck, seed);
    withoutLeaseCheck += noLeaseCheck.mMaxRunning > noLeaseCheck.mLimit ? 1 : 0;
  }
  MESSAGE("seeds out of 100 that exceed the limit: ", withoutWait, " without the wait, ",
          withoutLeaseCheck, " without the check");
  CHECK(withoutWait > 0);
  CHECK(withoutLeaseCheck > 0);
}

// Guards against the one race that credits can't prevent, a pause between the last check and the
// send: only the server's refusal enforces the limit in that case.
TEST_CASE("the server refuses requests above the limit after a pause between last check and send")
{
  for (const bool refuses : { false, true }) {
    std::int64_t maxExcess = 0;
    std::uint64_t refused = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      CAPTURE(seed);
      fleet run;
      run.mRefusesAboveLimit = refuses;
      run.mPauseBeforeSend = 0.05;
      RunWithFaults(run, seed);
      maxExcess = std::max(maxExcess, run.mMaxRunning - run.mLimit);
      refused += run.mRefused;
      CHECK((!refuses || run.mMaxRunning <= run.mLimit));
    }
    MESSAGE("refusal ", refuses, ": at most ", maxExcess, " above the limit, ", refused,
            " refused");
    CHECK((maxExcess > 0) == !refuses);
  }
}

// Guards against a server that gets no requests after its lease holder has failed.
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
    MESSAGE(std::string(pause ? "paused" : "replaced"), " holder: next request served after ",
            std::chrono::duration<double>(run.mNow - from).count(), " s");
    RunFor(run, 40s);
    CHECK(run.mServed > before + 20);
    CHECK(run.mMaxRunning == 1);
  }
}

// Guards against grants without a valid lease while the store is unreachable.
TEST_CASE("no credits are issued while the lease can't be renewed because the store is unreachable")
{
  fleet run;
  run.mRandom.seed(4);
  StartFleet(run, 8);
  RunFor(run, 20s);
  CHECK(run.mServed > 5);
  run.mTable.mFault = platform::memory_table::fault::Down;
  RunFor(run, 5s);
  const auto servedDuringOutage = run.mServed;
  RunFor(run, 20s);
  CHECK(run.mServed == servedDuringOutage);
  run.mTable.mFault = platform::memory_table::fault::None;
  RunFor(run, 20s);
  CHECK(run.mServed > servedDuringOutage + 5);
  CHECK(run.mMaxRunning == 1);
}

// Guards against instances that still treat a restarted server as warm: the server's refusals are
// the last safeguard, and they make the instances request credits.
TEST_CASE("a server that becomes cold without notice stays within its limit")
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
    // The server restarts: no requests are running, and the limit is 1.
    ++run.mServerEpoch;
    ++run.mGeneration;
    run.mSequence = 0;
    run.mRunning = 0;
    run.mMaxRunning = 0;
    run.mCold = true;
    if (!detection) {
      // Without reports and refusals the instances would not detect the restart.
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
      MESSAGE("without detection: ", run.mMaxRunning, " requests at most ran at once");
      continue;
    }
    RunFor(run, 5s);
    const auto initialRefusals = run.mRefused;
    RunFor(run, 30s);
    MESSAGE("with detection: ", run.mMaxRunning, " requests at most ran at once, ", initialRefusals,
            " refused in the first 5 s, ", run.mRefused - initialRefusals, " in the next 30 s");
    CHECK(run.mMaxRunning == 1);
    CHECK(run.mRefused - initialRefusals <= initialRefusals);
    // The server is warm again: the lease is released and all instances send without credits.
    run.mCold = false;
    RunFor(run, 5s);
    CHECK(HolderOf(run) == kNoInstance);
    const auto row = Read(run.mTable, { { "cold/runner-1" }, "" });
    REQUIRE(row.mRows.size() == 1);
    CHECK(row.mRows[0].mValue.at("holder") == "");
  }
}

// Guards against per-server state that exceeds an instance's 64 MB.
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
