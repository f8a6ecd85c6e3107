#include "billing/billing.h"

#include "billing/test_simulation.h"
#include "scenario/scenario.h"

#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::billing;
using namespace tamarackweir::billing::test;
using nlohmann::json;
using platform::memory_table;

namespace {

json BillOf(const simulation& aSimulation)
{
  const verification verified = Verify(aSimulation.Objects(), aSimulation.VerificationReference());
  json findings = json::array();
  for (const finding& found : verified.mFindings) {
    findings.push_back(ToString(found.mKind));
  }
  std::uint64_t inObjects = 0;
  std::set<std::string> origins;
  for (const stored_object& object : aSimulation.Objects()) {
    for (const record& entry : DecodeObject(object.mBody)) {
      ++inObjects;
      origins.insert(ToString(entry.mOrigin));
    }
  }
  return { { "records", verified.mBill.mRecords.size() },   { "without_deduplication", inObjects },
           { "duplicates", verified.mBill.mDuplicates },    { "origins", origins.size() },
           { "unbilled", aSimulation.CountUnbilled(true) }, { "findings", findings } };
}

using handler = json (*)(simulation&, const json&);

const std::map<std::string, handler>& Handlers()
{
  static const std::map<std::string, handler> kHandlers{
    { "start",
      [](simulation& aSimulation, const json& aWith) {
        aSimulation.Start(aWith.at("instance"), aWith.at("data_centre"));
        return json::object();
      } },
    { "kill",
      [](simulation& aSimulation, const json& aWith) {
        aSimulation.Kill(aWith.at("instance"));
        return json::object();
      } },
    { "gone",
      [](simulation& aSimulation, const json& aWith) {
        aSimulation.AnnounceRemoved(aSimulation.mNodes.at(aWith.at("instance")).mState.mSelf);
        return json::object();
      } },
    { "back",
      [](simulation& aSimulation, const json& aWith) {
        aSimulation.mAnnouncedRemoved.erase(
          aSimulation.mNodes.at(aWith.at("instance")).mState.mSelf);
        aSimulation.AnnouncePeers();
        return json::object();
      } },
    { "pause",
      [](simulation& aSimulation, const json& aWith) {
        aSimulation.mNodes.at(aWith.at("instance")).mPausedUntil =
          aSimulation.mNow + std::chrono::milliseconds(aWith.at("ms").get<int>());
        return json::object();
      } },
    { "cut",
      [](simulation& aSimulation, const json& aWith) {
        aSimulation.mNodes.at(aWith.at("instance")).mDisconnected = aWith.value("cut", true);
        return json::object();
      } },
    { "store",
      [](simulation& aSimulation, const json& aWith) {
        using fault = simulation::store_fault;
        const std::map<std::string, std::pair<fault, memory_table::fault>> faults{
          { "none", { fault::None, memory_table::fault::None } },
          { "down", { fault::Down, memory_table::fault::Down } },
          { "lose_answer", { fault::LoseAnswer, memory_table::fault::LoseAnswer } },
        };
        std::tie(aSimulation.mObjectFault, aSimulation.mTable.mFault) =
          faults.at(aWith.at("fault"));
        return json::object();
      } },
    { "requests",
      [](simulation& aSimulation, const json& aWith) {
        int refused = 0;
        for (int i = 0; i < aWith.value("count", 1); ++i) {
          refused += aSimulation.Request(aWith.at("instance"), aWith.value("key", "")) ? 0 : 1;
        }
        return json{ { "refused", refused } };
      } },
    { "answers",
      [](simulation& aSimulation, const json&) {
        int answered = 0;
        int atRisk = 0;
        for (const caller_answer& entry : aSimulation.mAnswers) {
          answered += entry.mAnswered ? 1 : 0;
          atRisk += entry.mAnswered && entry.mAtRisk ? 1 : 0;
        }
        return json{ { "answered", answered },
                     { "at_risk", atRisk },
                     { "held", aSimulation.mAnswers.size() - static_cast<std::size_t>(answered) } };
      } },
    { "bill", [](simulation& aSimulation, const json&) { return BillOf(aSimulation); } },
    { "instance",
      [](simulation& aSimulation, const json& aWith) {
        const state& at = aSimulation.mNodes.at(aWith.at("instance")).mState;
        return json{ { "admission", ToString(CheckAdmission(at)) },
                     { "buffered", CountBuffered(at) },
                     { "own", at.mOwnRecords.size() },
                     { "at_risk", at.mAtRiskCount },
                     { "drained", IsDrained(at) } };
      } },
    { "drain",
      [](simulation& aSimulation, const json& aWith) {
        actions out;
        Drain(aSimulation.mNodes.at(aWith.at("instance")).mState, aSimulation.mNow, out);
        aSimulation.Perform(aWith.at("instance"), out);
        return json::object();
      } },
  };
  return kHandlers;
}

} // namespace

// Guards against regressions under the faults that the scenario files describe.
TEST_CASE("billing scenarios meet their expectations")
{
  int scripts = 0;
  for (const auto& file :
       std::filesystem::directory_iterator(TAMARACKWEIR_SLICE_DIR "/scenarios")) {
    const auto script = scenario::Load(file.path());
    simulation simulated;
    options& set = simulated.mOptions;
    set.mCopyBeforeRelease = script.mSetup.value("copy_before_release", true);
    set.mRecoverCopies = script.mSetup.value("recover_copies", true);
    set.mMaxAtRiskRecords = script.mSetup.value("bill_at_risk_records", set.mMaxAtRiskRecords);
    set.mMaxBufferedRecords = script.mSetup.value("bill_buffer_records", set.mMaxBufferedRecords);
    scenario::verb_table verbs;
    for (const auto& [name, handle] : Handlers()) {
      verbs[name] = [&simulated, handle = handle](const json& aWith, time_point aNow) {
        simulated.AdvanceTo(aNow);
        return handle(simulated, aWith);
      };
    }
    const auto mismatches = scenario::Run(script, verbs);
    CHECK_MESSAGE(mismatches.empty(), script.mName << "\n" << scenario::Describe(mismatches));
    ++scripts;
  }
  CHECK(scripts == 16);
}

// Guards against losing the record of an answered request when its origin is killed at any step.
TEST_CASE("an origin killed at any step leaves every answered request billed")
{
  int answered = 0;
  int unanswered = 0;
  // Kill the origin at every millisecond around the copy and around the settlement.
  simulation probe;
  probe.Start("a", "sapporo-a");
  const auto settle = std::chrono::duration_cast<std::chrono::milliseconds>(
                        probe.mNodes.at("a").mState.mNextSettleAt - time_point{})
                        .count();
  std::vector<std::int64_t> times;
  for (int ms = 0; ms < 40; ++ms) {
    times.insert(times.end(), { ms, settle - 10 + ms });
  }
  for (const auto killAt : times) {
    simulation simulated;
    simulated.mStep = 1ms;
    simulated.mOptions.mMaxAtRiskRecords = 0;
    simulated.Start("a", "sapporo-a");
    simulated.Start("b", "sapporo-b");
    simulated.Request("a", "k");
    simulated.Advance(std::chrono::milliseconds(killAt));
    simulated.Kill("a");
    const origin_id removed = simulated.mNodes.at("a").mState.mSelf;
    simulated.Start("a", "sapporo-a");
    simulated.AnnounceRemoved(removed);
    if (!simulated.mAnswers[0].mAnswered) {
      ++unanswered;
      simulated.Request("b", "k"); // the caller retries through another instance
    } else {
      ++answered;
    }
    simulated.Advance(25s);
    CAPTURE(killAt);
    CHECK(simulated.CountUnbilled(true) == 0);
    CHECK(ReadBill(simulated.Objects()).mRecords.size() == 1);
    CHECK(Verify(simulated.Objects(), simulated.VerificationReference()).mFindings.empty());
  }
  CHECK(answered > 20);
  CHECK(unanswered > 20);
}

// Guards against records that remain only on their origin after their copy holder is killed.
TEST_CASE("records are copied again after the loss of their holder")
{
  for (const auto pause : { 0ms, 200ms, 5000ms }) {
    simulation simulated;
    simulated.mObjectFault = simulation::store_fault::Down;
    simulated.Start("a", "sapporo-a");
    simulated.Start("b", "sapporo-b");
    simulated.Start("c", "sapporo-b");
    for (int i = 0; i < 900; ++i) {
      simulated.Request("a");
      simulated.Advance(5ms);
    }
    const origin_id origin = simulated.mNodes.at("a").mState.mSelf;
    const std::string holder = simulated.mNodes.at("b").mState.mHeldCopies.empty() ? "c" : "b";
    simulated.Kill(holder);
    if (pause == 0ms) {
      simulated.Kill("a");
    }
    simulated.AnnounceRemoved(simulated.mNodes.at(holder).mState.mSelf);
    simulated.Advance(duration(pause));
    simulated.Kill("a");
    simulated.AnnounceRemoved(origin);
    simulated.mObjectFault = simulation::store_fault::None;
    simulated.Advance(30s);
    CAPTURE(pause.count());
    // The guarantee excludes the loss of an origin and its holder before the next copy.
    CHECK((simulated.CountUnbilled(true) == 0) == (pause > 0ms));
  }
}

// Guards against a holder that accepts copies beyond its buffer limit, and against an origin that
// does not try another peer after a refusal.
TEST_CASE("a holder with a full buffer refuses a copy and the next peer is tried")
{
  state origin = Start({}, { instance_id("a"), start_epoch(1) }, data_centre_id("x"), {});
  state holder = Start({ .mMaxBufferedRecords = 1 }, { instance_id("b"), start_epoch(2) },
                       data_centre_id("y"), {});
  const origin_id other{ instance_id("c"), start_epoch(3) };
  actions out;
  OnPeers(origin, { { holder.mSelf, data_centre_id("y") } }, {}, out);
  record entry;
  entry.mId = request_id("id");
  entry.mStages.resize(1);
  Add(origin, entry, {}, out);
  Add(origin, entry, {}, out);
  Tick(origin, time_point(20ms), out);
  REQUIRE(out.mCopies.size() == 1);
  actions answered;
  OnCopy(holder, out.mCopies[0].mBatch, time_point(21ms), answered);
  REQUIRE(answered.mAcks.size() == 1);
  CHECK(!answered.mAcks[0].mAck.mAccepted);
  CHECK(CountBuffered(holder) == 0);
  actions next;
  OnPeers(origin, { { holder.mSelf, data_centre_id("y") }, { other, data_centre_id("x") } },
          time_point(22ms), next);
  OnCopyAck(origin, answered.mAcks[0].mAck, time_point(22ms), next);
  REQUIRE(next.mCopies.size() == 1);
  CHECK(next.mCopies[0].mRecipient == other);
  CHECK(next.mReleases.empty());
}

// Guards against accepting an acknowledgement from or for another run at the same address.
TEST_CASE("acknowledgements from or for another run of an instance are ignored")
{
  state origin = Start({}, { instance_id("a"), start_epoch(1) }, data_centre_id("x"), {});
  const origin_id holder{ instance_id("b"), start_epoch(2) };
  actions out;
  OnPeers(origin, { { holder, data_centre_id("y") } }, {}, out);
  record entry;
  entry.mId = request_id("id");
  entry.mStages.resize(1);
  Add(origin, entry, {}, out);
  Tick(origin, time_point(20ms), out);
  REQUIRE(out.mCopies.size() == 1);
  const operation_id batch = out.mCopies[0].mBatch.mBatchId;
  const origin_id previousSelf{ instance_id("a"), start_epoch(0) };
  const origin_id newHolder{ instance_id("b"), start_epoch(3) };
  OnCopyAck(origin, { holder, previousSelf, batch, true }, time_point(21ms), out);
  OnCopyAck(origin, { newHolder, origin.mSelf, batch, true }, time_point(21ms), out);
  CHECK(out.mReleases.empty());
  OnCopyAck(origin, { holder, origin.mSelf, batch, true }, time_point(21ms), out);
  OnCopyAck(origin, { holder, origin.mSelf, batch, true }, time_point(21ms), out);
  CHECK(out.mReleases.size() == 1);
  CHECK(origin.mCopiesInFlight == 0);
}
