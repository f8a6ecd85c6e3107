#include "billing/billing.h"

#include "billing/test_simulation.h"

#include <chrono>
#include <doctest/doctest.h>
#include <iostream>
#include <malloc.h>

using namespace tamarackweir;
using namespace tamarackweir::billing;
using namespace tamarackweir::billing::test;
using platform::memory_table;

namespace {

struct run_result
{
  int mAnswered = 0;
  int mUnbilled = 0;   ///< answered, but not billed or with a wrong owner or amount
  int mLostAtRisk = 0; ///< the same for answers released at risk
  int mKills = 0;
  std::size_t mFindings = 0; ///< except gaps of records that were never released
  std::size_t mBuffered = 0;
  bool mCountersConsistent = true;
};

/// Returns true if the loss of any one instance loses no record of an answer that was
/// released with an acknowledged copy. The guarantee covers one loss at a time.
bool ToleratesOneLoss(const simulation& aSimulation)
{
  for (const auto& [name, at] : aSimulation.mNodes) {
    if (!at.mAlive) {
      continue;
    }
    for (const auto& [sequence, own] : at.mState.mOwnRecords) {
      const caller_answer& entry = aSimulation.mAnswers.at(at.mAnswerIndexes.at(sequence));
      if (entry.mAnswered && !entry.mAtRisk && !own.mCopied) {
        return false;
      }
    }
    for (const auto& [origin, held] : at.mState.mHeldCopies) {
      if (aSimulation.mAnnouncedRemoved.contains(origin) && !held.mRecords.empty()) {
        return false;
      }
    }
  }
  return true;
}

bool AreCountersConsistent(const state& aState)
{
  std::size_t atRisk = 0;
  std::size_t held = 0;
  std::size_t unreleased = 0;
  for (const auto& [sequence, own] : aState.mOwnRecords) {
    atRisk += own.mReleased && !own.mCopied ? 1 : 0;
    unreleased += own.mReleased ? 0 : 1;
  }
  for (const auto& [origin, copies] : aState.mHeldCopies) {
    held += copies.mRecords.size();
  }
  return atRisk == aState.mAtRiskCount && held == aState.mHeldRecordCount &&
         unreleased == aState.mUnreleased.size();
}

/// Runs four instances in two data centres under random faults, then a period without faults.
run_result RunSeed(std::uint64_t aSeed, const options& aOptions)
{
  simulation simulated;
  simulated.mRandom.seed(aSeed);
  simulated.mOptions = aOptions;
  simulated.mLossRate = 0.1;
  simulated.mDuplicateRate = 0.1;
  simulated.mJitter = 40ms;
  const std::vector<std::string> names{ "a", "b", "c", "d" };
  const auto centreOf = [](const std::string& aName) {
    return aName < "c" ? "sapporo-a" : "sapporo-b";
  };
  for (const auto& name : names) {
    simulated.Start(name, centreOf(name));
  }
  const auto randomBelow = [&](std::uint64_t aBound) { return simulated.mRandom() % aBound; };
  run_result result;
  for (int round = 0; round < 600; ++round) {
    const std::string& name = names[randomBelow(4)];
    const std::string key = randomBelow(3) == 0 ? "" : std::to_string(round);
    if (simulated.Request(name, key) && randomBelow(5) == 0 && !key.empty()) {
      simulated.Request(names[randomBelow(4)], key); // the caller times out and retries
    }
    if (randomBelow(40) == 0 && ToleratesOneLoss(simulated)) {
      ++result.mKills;
      simulated.Kill(name);
      const origin_id removed = simulated.mNodes.at(name).mState.mSelf;
      if (randomBelow(2) == 0) {
        simulated.Start(name, centreOf(name));
      }
      simulated.Advance(std::chrono::milliseconds(randomBelow(3000)));
      simulated.AnnounceRemoved(removed);
      if (!simulated.mNodes.at(name).mAlive) {
        simulated.Start(name, centreOf(name));
      }
    } else if (randomBelow(60) == 0) {
      simulated.mNodes.at(name).mPausedUntil =
        simulated.mNow + std::chrono::milliseconds(randomBelow(30000));
      const origin_id paused = simulated.mNodes.at(name).mState.mSelf;
      if (randomBelow(2) == 0 && ToleratesOneLoss(simulated)) {
        simulated.AnnounceRemoved(paused); // a false report
        simulated.Advance(std::chrono::milliseconds(randomBelow(2000)));
        simulated.mAnnouncedRemoved.erase(paused);
        simulated.AnnouncePeers();
      }
    } else if (randomBelow(60) == 0) {
      simulated.mObjectFault =
        randomBelow(2) == 0 ? simulation::store_fault::Down : simulation::store_fault::LoseAnswer;
      simulated.mTable.mFault =
        randomBelow(2) == 0 ? memory_table::fault::Down : memory_table::fault::LoseAnswer;
    } else if (randomBelow(20) == 0) {
      simulated.mObjectFault = simulation::store_fault::None;
      simulated.mTable.mFault = memory_table::fault::None;
    }
    simulated.Advance(std::chrono::milliseconds(randomBelow(200)));
  }
  simulated.mObjectFault = simulation::store_fault::None;
  simulated.mTable.mFault = memory_table::fault::None;
  simulated.mLossRate = 0;
  // Long enough for holders to read the watermark, 60 s after they last heard from the origin.
  simulated.Advance(200s);
  result.mUnbilled = simulated.CountUnbilled(false);
  result.mLostAtRisk = simulated.CountUnbilled(true) - result.mUnbilled;
  for (const caller_answer& entry : simulated.mAnswers) {
    result.mAnswered += entry.mAnswered ? 1 : 0;
  }
  for (const finding& found :
       Verify(simulated.Objects(), simulated.VerificationReference()).mFindings) {
    // A killed origin's records that were neither copied nor released leave gaps.
    result.mFindings += found.mKind == finding_kind::MissingRecord ? 0 : 1;
  }
  for (const auto& [name, at] : simulated.mNodes) {
    result.mBuffered += CountBuffered(at.mState);
    result.mCountersConsistent = result.mCountersConsistent && AreCountersConsistent(at.mState);
  }
  return result;
}

} // namespace

// Guards against lost or duplicate billing under any mix of lost, duplicate and reordered
// messages, kills, pauses, false membership reports and store outages.
TEST_CASE("under random faults every answered request is billed once to its owner, 100 seeds")
{
  int answered = 0;
  int kills = 0;
  int lostAtRisk = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const bool noRisk = seed % 2 == 0;
    const run_result result = RunSeed(seed, { .mMaxAtRiskRecords = noRisk ? 0U : 1000U });
    answered += result.mAnswered;
    kills += result.mKills;
    lostAtRisk += result.mLostAtRisk;
    INFO("failing seed ", seed);
    CHECK(result.mUnbilled == 0);
    CHECK((!noRisk || result.mLostAtRisk == 0));
    CHECK(result.mFindings == 0);
    CHECK(result.mBuffered == 0);
    CHECK(result.mCountersConsistent);
  }
  std::cout << "billing: 100 seeds, " << answered << " answered, " << kills
            << " kills, records lost of answers released at risk: " << lostAtRisk << "\n";
  CHECK(answered > 10000);
  CHECK(kills > 100);
}

// Guards against a random test that cannot fail: without either mechanism, records must be lost.
TEST_CASE("random faults lose records without copies or without recovery")
{
  int withoutCopies = 0;
  int withoutRecovery = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    withoutCopies += RunSeed(seed, { .mCopyBeforeRelease = false }).mLostAtRisk;
    withoutRecovery += RunSeed(seed, { .mRecoverCopies = false }).mUnbilled;
  }
  std::cout << "billing: records lost in 10 seeds: " << withoutCopies
            << " without a copy before the release, " << withoutRecovery << " without recovery\n";
  CHECK(withoutCopies > 0);
  CHECK(withoutRecovery > 0);
}

// Guards against overloading the object store with the batches of the whole fleet in one second.
TEST_CASE("instances that start together settle at different times")
{
  std::map<std::int64_t, int> writes;
  for (std::uint64_t i = 0; i < 370; ++i) {
    const origin_id id{ instance_id("entry-" + std::to_string(i)), start_epoch(i * i + 7) };
    const state started = Start({}, id, data_centre_id("sapporo-a"), {});
    ++writes[(started.mNextSettleAt - time_point{}) / 1s];
  }
  for (const auto& entry : writes) {
    CAPTURE(entry.first);
    CHECK(entry.second < 80);
  }
}

// Prints the sizes and rates that the design document relies on, and checks their bounds.
TEST_CASE("sizes and rates of copies, buffers and batches stay within bounds")
{
  simulation simulated;
  simulated.mStep = 1ms;
  simulated.Start("entry-sapporo-a-01", "sapporo-a");
  simulated.Start("entry-sapporo-b-01", "sapporo-b");
  const std::string origin = "entry-sapporo-a-01";
  copy_batch one{
    simulated.mNodes.at(origin).mState.mSelf, operation_id(100000), sequence_number(1000000), {}
  };
  record entry = simulated.MakeExpectedRecord(request_id("0af7651916cd43dd8448eb211c80319c"));
  entry.mSequence = sequence_number(1000100);
  const std::size_t empty = EncodeCopy(one).size();
  one.mRecords = { entry };
  const std::size_t wire = EncodeCopy(one).size() - empty;
  const std::size_t line = EncodeLine(entry).size();
  entry.mStages.push_back(entry.mStages[0]);
  one.mRecords = { entry };
  const std::size_t cascade = EncodeCopy(one).size() - empty;
  std::cout << "billing: wire bytes: " << wire << " per record, " << cascade << " with two stages, "
            << empty << " per batch, line of an object " << line << "\n";
  CHECK(wire <= 110);

  state full = Start({}, one.mOrigin, data_centre_id("sapporo-a"), {});
  const record small = simulated.MakeExpectedRecord(entry.mId);
  constexpr std::size_t kRecords = 100000;
  const auto started = std::chrono::steady_clock::now();
  const std::size_t before = mallinfo2().uordblks;
  for (std::size_t i = 0; i < kRecords; ++i) {
    actions out;
    Add(full, small, {}, out);
    full.mUnreleased.clear(); // answers are released within 250 ms; copies are acknowledged
    full.mCopyQueue.clear();
  }
  const std::size_t own = (mallinfo2().uordblks - before) / kRecords;
  state holder = Start({}, one.mOrigin, data_centre_id("sapporo-b"), {});
  const std::size_t beforeHeld = mallinfo2().uordblks;
  for (std::size_t i = 1; i <= kRecords; ++i) {
    actions out;
    record copy = small;
    copy.mOrigin.mInstance = instance_id("entry-sapporo-b-01");
    copy.mSequence = sequence_number(i);
    OnCopy(holder, { copy.mOrigin, operation_id(i), {}, { copy } }, {}, out);
  }
  const std::size_t held = (mallinfo2().uordblks - beforeHeld) / kRecords;
  std::cout << "billing: memory bytes: " << own << " per own record, " << held
            << " per copy; 200,000 records, half of each, take "
            << (own + held) * kRecords / 1000000 << " MB\n";
  const std::chrono::duration<double, std::micro> spent =
    std::chrono::steady_clock::now() - started;
  std::cout << "billing: adding a record and taking a copy take " << spent.count() / kRecords
            << " us in total\n";
  CHECK(CountBuffered(holder) == kRecords);
  CHECK((own + held) / 2 <= 300);

  // One instance with its share of the peak load of 9,700 requests/s over 370 instances.
  const double rate = 9700.0 / 370;
  constexpr int kSeconds = 100;
  int sent = 0;
  for (int ms = 1; ms <= kSeconds * 1000; ++ms) {
    simulated.Advance(1ms);
    for (; sent < ms * rate / 1000; ++sent) {
      simulated.Request(origin);
    }
  }
  const double objects = static_cast<double>(simulated.mObjectWrites) / kSeconds;
  const double rows = static_cast<double>(simulated.mTable.mWrites) / kSeconds;
  const double copies =
    static_cast<double>(simulated.mNodes.at(origin).mState.mNextOperation) / kSeconds;
  std::cout << "billing: at " << rate << " requests/s, one instance makes " << objects
            << " object writes/s, " << rows << " table writes/s and " << copies
            << " operations/s, including copies to other instances; 370 instances make "
            << objects * 370 << " object writes/s and " << rows * 370 << " table writes/s\n";
  CHECK(objects * 370 < 60);
  CHECK(rows * 370 < 60);
}
