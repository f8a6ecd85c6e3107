#include "claims/claims.h"

#include "claims/test_simulation.h"
#include "scenario/scenario.h"

#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::claims;
using namespace tamarackweir::claims::test;
using nlohmann::json;
using platform::memory_table;

namespace {

int CountRows(const simulation& aSimulation, const std::string& aPrefix = "claim/")
{
  int rows = 0;
  for (const auto& [key, row] : aSimulation.mTable.mRows) {
    rows += key.starts_with(aPrefix) ? 1 : 0;
  }
  return rows;
}

scenario::verb_table Verbs(simulation& aSimulation)
{
  std::map<std::string, std::size_t> attempts;
  auto attemptIndexes = std::make_shared<std::map<std::string, std::size_t>>();
  const auto advanceThen = [&aSimulation](auto aWork) {
    return [&aSimulation, aWork](const json& aWith, time_point aNow) {
      aSimulation.AdvanceTo(aNow);
      return json(aWork(aWith));
    };
  };
  return {
    { "start", advanceThen([&aSimulation](const json& aWith) {
        aSimulation.Start(aWith.at("instance"));
        return json::object();
      }) },
    { "kill", advanceThen([&aSimulation](const json& aWith) {
        aSimulation.Kill(aWith.at("instance"));
        return json::object();
      }) },
    { "gone", advanceThen([&aSimulation](const json& aWith) {
        const state& gone = aSimulation.mNodes.at(aWith.at("instance")).mState;
        OnInstanceGone(aSimulation.mNodes.at(aWith.at("at")).mState, gone.mInstance, gone.mEpoch);
        return json::object();
      }) },
    { "pause_before_send", advanceThen([&aSimulation](const json& aWith) {
        aSimulation.mNodes.at(aWith.at("instance")).mPauseBeforeSend =
          std::chrono::milliseconds(aWith.at("ms").get<int>());
        return json::object();
      }) },
    { "pause", advanceThen([&aSimulation](const json& aWith) {
        aSimulation.mNodes.at(aWith.at("instance")).mPausedUntil =
          aSimulation.mNow + std::chrono::milliseconds(aWith.at("ms").get<int>());
        return json::object();
      }) },
    { "table", advanceThen([&aSimulation](const json& aWith) {
        const std::map<std::string, memory_table::fault> faults{
          { "none", memory_table::fault::None },
          { "down", memory_table::fault::Down },
          { "lose_answer", memory_table::fault::LoseAnswer },
        };
        aSimulation.mTable.mFault = faults.at(aWith.at("fault"));
        return json::object();
      }) },
    { "ask", advanceThen([&aSimulation, attemptIndexes](const json& aWith) {
        (*attemptIndexes)[aWith.at("attempt")] = aSimulation.StartAttempt(
          aWith.at("instance"), aWith.at("key"), aWith.value("digest", "digest"),
          std::chrono::milliseconds(aWith.value("deadline_ms", 60000)));
        return json::object();
      }) },
    { "result", advanceThen([&aSimulation, attemptIndexes](const json& aWith) {
        const attempt& entry = aSimulation.mAttempts.at(attemptIndexes->at(aWith.at("attempt")));
        return json{ { "result", entry.mResult },
                     { "body", entry.mBody },
                     { "runs", aSimulation.mRuns[entry.mKey] } };
      }) },
    { "row", advanceThen([&aSimulation](const json& aWith) {
        const auto found = aSimulation.mTable.mRows.find(
          ClaimKey(account_id("depot"), aWith.at("key").get<std::string>()));
        return found == aSimulation.mTable.mRows.end() ? json{ { "state", "absent" } }
                                                       : found->second.mValue;
      }) },
  };
}

} // namespace

// Runs each file in scenarios/; its name tells the expected behaviour under the fault.
TEST_CASE("claims scenarios produce the expected results")
{
  int scripts = 0;
  for (const auto& file :
       std::filesystem::directory_iterator(TAMARACKWEIR_SLICE_DIR "/scenarios")) {
    const auto script = scenario::Load(file.path());
    simulation simulated;
    simulated.mOptions.mClaimBeforeDispatch = script.mSetup.value("claim_before_dispatch", true);
    simulated.mOptions.mReadBack = script.mSetup.value("read_back", true);
    const auto mismatches = scenario::Run(script, Verbs(simulated));
    CHECK_MESSAGE(mismatches.empty(), script.mName << "\n" << scenario::Describe(mismatches));
    ++scripts;
  }
  CHECK(scripts == 9);
}

// Guards against a moment at which killing the holder lets a retry at another instance run the
// call again.
TEST_CASE("a holder killed at any step lets the call run at most once")
{
  int ran = 0;
  int stored = 0;
  int unknown = 0;
  for (int killAt = 0; killAt < 1300; killAt += killAt < 30 ? 1 : 100) {
    simulation simulated;
    simulated.Start("a");
    simulated.Start("b");
    simulated.StartAttempt("a", "k");
    simulated.Advance(std::chrono::milliseconds(killAt));
    simulated.Kill("a");
    simulated.Start("a"); // a replacement at the same address with empty state
    simulated.Advance(50ms);
    const auto second = simulated.StartAttempt("b", "k");
    const auto third = simulated.StartAttempt("a", "k");
    simulated.Advance(3s);
    CAPTURE(killAt);
    CHECK(simulated.mRuns["k"] <= 1);
    for (const auto index : { second, third }) {
      const std::string& result = simulated.mAttempts[index].mResult;
      ran += result == "answered" ? 1 : 0;
      stored += result == "stored" ? 1 : 0;
      unknown += result == "unknown" ? 1 : 0;
      CHECK((result == "answered" || result == "stored" || result == "unknown"));
    }
  }
  // All three results must occur, or the kills did not cover every step.
  CHECK(ran > 0);
  CHECK(stored > 0);
  CHECK(unknown > 0);
}

// Guards against a key that is already claimed making the other claims of its group fail.
TEST_CASE("a conflict in a group affects only its own call and the others proceed")
{
  simulation simulated;
  simulated.Start("a");
  simulated.Start("b");
  simulated.StartAttempt("b", "taken");
  simulated.Advance(20ms);
  std::vector<std::size_t> asked;
  asked.reserve(30);
  for (int i = 0; i < 30; ++i) {
    asked.push_back(simulated.StartAttempt("a", i == 7 ? "taken" : KeyName(i)));
  }
  const auto duplicate =
    simulated.StartAttempt("a", "k3"); // the same key again in the same group window
  simulated.Advance(30ms);
  for (int i = 0; i < 30; ++i) {
    CAPTURE(i);
    CHECK(simulated.mAttempts[asked[static_cast<std::size_t>(i)]].mResult ==
          (i == 7 ? "unknown" : "answered"));
  }
  CHECK(simulated.mAttempts[duplicate].mResult == "unknown");
  CHECK(simulated.mRuns["k3"] == 1);
  const counters& counted = simulated.mNodes.at("a").mState.mCounters;
  // The first group conflicts. The second one has the other 29 calls; the third one the duplicate.
  CHECK(counted.mTransactions == 3);
}

// Guards against accounts or keys that address another account's claim.
TEST_CASE("claim keys of different accounts and keys differ")
{
  CHECK(ClaimKey(account_id("a/b"), "c") != ClaimKey(account_id("a"), "b/c"));
  CHECK(ClaimKey(account_id("a"), "%2f") != ClaimKey(account_id("a"), "/"));
  CHECK(ClaimKey(account_id("a"), std::string("x\x01")) != ClaimKey(account_id("a"), "x%01"));
  CHECK(ClaimKey(account_id("a"), std::string(1000, 'x')).size() < 100);
  CHECK(ClaimKey(account_id("a"), std::string(1000, 'x')) !=
        ClaimKey(account_id("a"), std::string(1001, 'x')));
}

// Guards against bodies that are not UTF-8 or too long for a row and keep outcomes from being
// stored.
TEST_CASE("binary and long outcomes are stored")
{
  simulation simulated;
  simulated.mOptions.mOutcomeWindow = 10ms;
  simulated.mOptions.mMaxOutcomeBytes = 100;
  simulated.Start("a");
  state& holder = simulated.mNodes.at("a").mState;
  const std::string binary("\xff\x00\xfe", 3);
  for (const std::string& body : { binary, std::string(101, 'x') }) {
    actions out;
    const call_id id = RequestClaim(
      holder, { account_id("depot"), std::to_string(body.size()), "d", simulated.mNow + 60s },
      simulated.mNow, out);
    Tick(holder, simulated.mNow + 5ms, out);
    REQUIRE(out.mCommits.size() == 1);
    const auto stored = Commit(simulated.mTable, out.mCommits[0].mTransaction);
    OnCommit(holder, out.mCommits[0].mOperation, stored, simulated.mNow + 5ms, out);
    REQUIRE(BeginDispatch(holder, id, simulated.mNow) == dispatch::Send);
    Finish(holder, id, { 200, body }, simulated.mNow);
  }
  simulated.Advance(100ms);
  const auto first = simulated.StartAttempt("a", "3", "d");
  const auto second = simulated.StartAttempt("a", "101", "d");
  simulated.Advance(100ms);
  CHECK(simulated.mAttempts[first].mResult == "stored");
  CHECK(simulated.mAttempts[first].mBody == binary);
  CHECK(simulated.mAttempts[second].mResult == "stored");
  CHECK(simulated.mAttempts[second].mBody.empty());
}

// Guards against unbounded memory use in a store outage: outcomes of running calls are kept, and
// new calls are refused.
TEST_CASE("new claims are refused when too many outcomes are unstored")
{
  simulation simulated;
  simulated.mOptions.mMaxUnstored = 3;
  simulated.Start("a");
  for (int i = 0; i < 3; ++i) {
    simulated.StartAttempt("a", KeyName(i));
  }
  simulated.Advance(15ms);
  simulated.mTable.mFault = memory_table::fault::Down;
  const auto refused = simulated.StartAttempt("a", "k9");
  simulated.Advance(60s);
  CHECK(simulated.mAttempts[refused].mResult == "too_many_calls");
  CHECK(CountUnstored(simulated.mNodes.at("a").mState) == 3);
  simulated.mTable.mFault = memory_table::fault::None;
  simulated.Advance(1s);
  CHECK(CountUnstored(simulated.mNodes.at("a").mState) == 0);
  CHECK(IsIdle(simulated.mNodes.at("a").mState));
}

// Guards against rows that are removed before their retention ends, or never.
TEST_CASE("rows are removed after the retention and not before")
{
  simulation simulated;
  simulated.mOptions.mRetention = 10min;
  simulated.mOptions.mSweepLookBack = 10min;
  simulated.Start("a");
  simulated.Start("b");
  for (int i = 0; i < 60; ++i) {
    simulated.StartAttempt("a", KeyName(i));
  }
  simulated.Advance(9min + 59s);
  CHECK(CountRows(simulated) == 60);
  const auto again = simulated.StartAttempt("b", "k5");
  simulated.Advance(1s);
  CHECK(simulated.mAttempts[again].mResult == "stored");
  // Sweeps are delayed by a jitter of up to one hour.
  simulated.Advance(63min);
  CHECK(CountRows(simulated) == 0);
  CHECK(CountRows(simulated, "claim_group/") == 0);
}

// Guards against a late removal by a second sweep that releases a newer claim of the same key.
TEST_CASE("removing a claim group again does not remove a newer claim of the same key")
{
  simulation simulated;
  simulated.Start("a");
  simulated.StartAttempt("a", "k");
  simulated.Advance(20ms);
  const std::string key = ClaimKey(account_id("depot"), "k");
  const auto group = simulated.mTable.mRows.lower_bound("claim_group/")->second;
  const auto old = simulated.mTable.mRows.at(key);
  const platform::transaction removal{ { { group.mKey, group.mVersion }, { key, old.mVersion } },
                                       {},
                                       { group.mKey, key } };
  REQUIRE(Commit(simulated.mTable, removal).mStatus == platform::commit_status::Committed);
  simulated.Start("b");
  simulated.StartAttempt("b", "k");
  simulated.Advance(20ms);
  CHECK(Commit(simulated.mTable, removal).mStatus == platform::commit_status::Conflict);
  CHECK(simulated.mTable.mRows.contains(key));
}

// Guards against a damaged row that makes the instance fail, or lets a call run again.
TEST_CASE("damaged rows are treated as claims with an unknown outcome")
{
  const std::vector<json> damaged{ nullptr,
                                   5,
                                   json::array(),
                                   json::object(),
                                   { { "token", 5 }, { "digest", "digest" }, { "state", 1 } },
                                   { { "digest", "digest" }, { "state", "done" } } };
  for (const json& value : damaged) {
    simulation simulated;
    const std::string key = ClaimKey(account_id("depot"), "k");
    Commit(simulated.mTable, { {}, { { key, value } }, {} });
    Commit(simulated.mTable, { {}, { { "claim_group/0029979840/x", value } }, {} });
    simulated.Start("a");
    simulated.mNodes.at("a").mState.mSweep.mNextMinute = 29'979'840; // two weeks ago
    const auto asked = simulated.StartAttempt("a", "k");
    simulated.Advance(8s);
    CAPTURE(value.dump());
    CHECK(CountRows(simulated, "claim_group/0029979840/") == 0);
    CHECK(simulated.mRuns["k"] == 0);
    CHECK(simulated.mAttempts[asked].mResult != "answered");
    CHECK(simulated.mAttempts[asked].mResult != "waiting");
  }
}
