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

json BillOf(const world& aWorld)
{
  const verification verified = Verify(aWorld.Objects(), aWorld.Accounts());
  json findings = json::array();
  for (const finding& found : verified.mFindings) {
    findings.push_back(ToString(found.mKind));
  }
  std::uint64_t inObjects = 0;
  std::set<std::string> origins;
  for (const stored_object& object : aWorld.Objects()) {
    for (const record& entry : DecodeObject(object.mBody)) {
      ++inObjects;
      origins.insert(ToString(entry.mOrigin));
    }
  }
  return { { "records", verified.mBill.mRecords.size() }, { "without_deduplication", inObjects },
           { "duplicates", verified.mBill.mDuplicates },  { "origins", origins.size() },
           { "unbilled", aWorld.CountUnbilled(true) },    { "findings", findings } };
}

using handler = json (*)(world&, const json&);

const std::map<std::string, handler>& Handlers()
{
  static const std::map<std::string, handler> kHandlers{
    { "start",
      [](world& aWorld, const json& aWith) {
        aWorld.Start(aWith.at("instance"), aWith.at("data_centre"));
        return json::object();
      } },
    { "kill",
      [](world& aWorld, const json& aWith) {
        aWorld.Kill(aWith.at("instance"));
        return json::object();
      } },
    { "gone",
      [](world& aWorld, const json& aWith) {
        aWorld.AnnounceGone(aWorld.mNodes.at(aWith.at("instance")).mState.mSelf);
        return json::object();
      } },
    { "back",
      [](world& aWorld, const json& aWith) {
        aWorld.mAnnouncedGone.erase(aWorld.mNodes.at(aWith.at("instance")).mState.mSelf);
        aWorld.AnnouncePeers();
        return json::object();
      } },
    { "pause",
      [](world& aWorld, const json& aWith) {
        aWorld.mNodes.at(aWith.at("instance")).mPausedUntil =
          aWorld.mNow + std::chrono::milliseconds(aWith.at("ms").get<int>());
        return json::object();
      } },
    { "cut",
      [](world& aWorld, const json& aWith) {
        aWorld.mNodes.at(aWith.at("instance")).mCut = aWith.value("cut", true);
        return json::object();
      } },
    { "store",
      [](world& aWorld, const json& aWith) {
        using fault = world::store_fault;
        const std::map<std::string, std::pair<fault, memory_table::fault>> faults{
          { "none", { fault::None, memory_table::fault::None } },
          { "down", { fault::Down, memory_table::fault::Down } },
          { "lose_answer", { fault::LoseAnswer, memory_table::fault::LoseAnswer } },
        };
        std::tie(aWorld.mObjectFault, aWorld.mTable.mFault) = faults.at(aWith.at("fault"));
        return json::object();
      } },
    { "requests",
      [](world& aWorld, const json& aWith) {
        int refused = 0;
        for (int i = 0; i < aWith.value("count", 1); ++i) {
          refused += aWorld.Request(aWith.at("instance"), aWith.value("key", "")) ? 0 : 1;
        }
        return json{ { "refused", refused } };
      } },
    { "answers",
      [](world& aWorld, const json&) {
        int answered = 0;
        int atRisk = 0;
        for (const answer& entry : aWorld.mAnswers) {
          answered += entry.mAnswered ? 1 : 0;
          atRisk += entry.mAnswered && entry.mAtRisk ? 1 : 0;
        }
        return json{ { "answered", answered },
                     { "at_risk", atRisk },
                     { "held", aWorld.mAnswers.size() - static_cast<std::size_t>(answered) } };
      } },
    { "bill", [](world& aWorld, const json&) { return BillOf(aWorld); } },
    { "instance",
      [](world& aWorld, const json& aWith) {
        const state& at = aWorld.mNodes.at(aWith.at("instance")).mState;
        return json{ { "admission", ToString(CheckAdmission(at)) },
                     { "buffered", CountBuffered(at) },
                     { "own", at.mOwn.size() },
                     { "at_risk", at.mAtRisk },
                     { "drained", IsDrained(at) } };
      } },
    { "drain",
      [](world& aWorld, const json& aWith) {
        actions out;
        Drain(aWorld.mNodes.at(aWith.at("instance")).mState, aWorld.mNow, out);
        aWorld.Perform(aWith.at("instance"), out);
        return json::object();
      } },
  };
  return kHandlers;
}

} // namespace

// Guards against regressions under each named fault, as the files describe them.
TEST_CASE("scenarios of billing hold")
{
  int scripts = 0;
  for (const auto& file :
       std::filesystem::directory_iterator(TAMARACKWEIR_SLICE_DIR "/scenarios")) {
    const auto script = scenario::Load(file.path());
    world simulated;
    options& set = simulated.mOptions;
    set.mCopyBeforeRelease = script.mSetup.value("copy_before_release", true);
    set.mRecoverCopies = script.mSetup.value("recover_copies", true);
    set.mAtRiskRecords = script.mSetup.value("bill_at_risk_records", set.mAtRiskRecords);
    set.mBufferRecords = script.mSetup.value("bill_buffer_records", set.mBufferRecords);
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

// Guards against a step at which the loss of the origin loses an answered request's bill.
TEST_CASE("an origin killed at any step leaves every answered request billed")
{
  int answered = 0;
  int unanswered = 0;
  // Every millisecond around the copy, and around the settlement.
  world probe;
  probe.Start("a", "sapporo-a");
  const auto settle = std::chrono::duration_cast<std::chrono::milliseconds>(
                        probe.mNodes.at("a").mState.mNextSettle - time_point{})
                        .count();
  std::vector<std::int64_t> times;
  for (int ms = 0; ms < 40; ++ms) {
    times.insert(times.end(), { ms, settle - 10 + ms });
  }
  for (const auto killAt : times) {
    world simulated;
    simulated.mStep = 1ms;
    simulated.mOptions.mAtRiskRecords = 0;
    simulated.Start("a", "sapporo-a");
    simulated.Start("b", "sapporo-b");
    simulated.Request("a", "k");
    simulated.Advance(std::chrono::milliseconds(killAt));
    simulated.Kill("a");
    const origin_id gone = simulated.mNodes.at("a").mState.mSelf;
    simulated.Start("a", "sapporo-a");
    simulated.AnnounceGone(gone);
    if (!simulated.mAnswers[0].mAnswered) {
      ++unanswered;
      simulated.Request("b", "k"); // the caller's retry through another instance
    } else {
      ++answered;
    }
    simulated.Advance(25s);
    CAPTURE(killAt);
    CHECK(simulated.CountUnbilled(true) == 0);
    CHECK(ReadBill(simulated.Objects()).mRecords.size() == 1);
    CHECK(Verify(simulated.Objects(), simulated.Accounts()).mFindings.empty());
  }
  CHECK(answered > 20);
  CHECK(unanswered > 20);
}

// Guards against a kill of a copy holder that leaves records on their origin alone.
TEST_CASE("records whose holder is lost are copied again before the origin is lost")
{
  for (const auto pause : { 0ms, 200ms, 5000ms }) {
    world simulated;
    simulated.mObjectFault = world::store_fault::Down;
    simulated.Start("a", "sapporo-a");
    simulated.Start("b", "sapporo-b");
    simulated.Start("c", "sapporo-b");
    for (int i = 0; i < 900; ++i) {
      simulated.Request("a");
      simulated.Advance(5ms);
    }
    const origin_id origin = simulated.mNodes.at("a").mState.mSelf;
    const std::string holder = simulated.mNodes.at("b").mState.mHeld.empty() ? "c" : "b";
    simulated.Kill(holder);
    if (pause == 0ms) {
      simulated.Kill("a");
    }
    simulated.AnnounceGone(simulated.mNodes.at(holder).mState.mSelf);
    simulated.Advance(duration(pause));
    simulated.Kill("a");
    simulated.AnnounceGone(origin);
    simulated.mObjectFault = world::store_fault::None;
    simulated.Advance(30s);
    CAPTURE(pause.count());
    // The loss of an origin and its holder before the next copy is beyond the guarantee.
    CHECK((simulated.CountUnbilled(true) == 0) == (pause > 0ms));
  }
}

// Guards against a holder that takes copies beyond its memory, and against an origin that then
// gives up.
TEST_CASE("a holder with a full buffer refuses a copy and the next peer is asked")
{
  state origin = Start({}, { instance_id("a"), start_epoch(1) }, data_centre_id("x"), {});
  state holder =
    Start({ .mBufferRecords = 1 }, { instance_id("b"), start_epoch(2) }, data_centre_id("y"), {});
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
  CHECK(next.mCopies[0].mTo == other);
  CHECK(next.mReleases.empty());
}

// Guards against a copy message that is taken for one to the predecessor at the same address.
TEST_CASE("acknowledgements of a predecessor or for one do not count")
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
  const operation_id batch = out.mCopies[0].mBatch.mBatch;
  const origin_id oldSelf{ instance_id("a"), start_epoch(0) };
  const origin_id newHolder{ instance_id("b"), start_epoch(3) };
  OnCopyAck(origin, { holder, oldSelf, batch, true }, time_point(21ms), out);
  OnCopyAck(origin, { newHolder, origin.mSelf, batch, true }, time_point(21ms), out);
  CHECK(out.mReleases.empty());
  OnCopyAck(origin, { holder, origin.mSelf, batch, true }, time_point(21ms), out);
  OnCopyAck(origin, { holder, origin.mSelf, batch, true }, time_point(21ms), out);
  CHECK(out.mReleases.size() == 1);
  CHECK(origin.mCopiesInFlight == 0);
}
