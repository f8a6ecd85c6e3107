#include "capacity/capacity.h"

#include "platform/memory_table.h"
#include "scenario/scenario.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::capacity;
using nlohmann::json;

namespace {

const duration kOffset = 1h;
const server_id kServer("runner-1");

// One instance with a table whose answers arrive at once.
struct world
{
  state mState = Start({}, instance_id("self"), start_epoch(7));
  platform::memory_table mTable;
  std::mt19937_64 mRandom{ 1 };
  std::vector<credit_id> mUsable;
  std::size_t mAnnounced = 0;
  bool mLastGranted = false;
  instance_id mLastHolder;
};

void Perform(world& aWorld, const actions& aActions, time_point aNow)
{
  for (const lease_write& each : aActions.mWrites) {
    const auto result = Commit(aWorld.mTable, each.mTransaction);
    Perform(aWorld, OnLeaseWritten(aWorld.mState, each.mServer, result, aNow), aNow);
  }
  if (!aActions.mReadKeys.empty()) {
    const auto result = Read(aWorld.mTable, { aActions.mReadKeys, "" });
    Perform(aWorld, OnLeaseRowsRead(aWorld.mState, aActions.mReadKeys, result, aNow), aNow);
  }
  for (const auto& each : aActions.mAnswers) {
    aWorld.mLastGranted = each.mMessage.mGranted;
    aWorld.mLastHolder = each.mMessage.mHolder;
  }
  for (const auto& each : aActions.mUsableCredits) {
    aWorld.mUsable.push_back(each.mId);
  }
  aWorld.mAnnounced += aActions.mAnnouncements.size();
}

json View(const world& aWorld, time_point aNow)
{
  const auto& server = aWorld.mState.mServers.at(kServer);
  return { { "cold", server.mCold },
           { "held", server.mHeldLease.has_value() },
           { "free", FreeCredits(aWorld.mState, kServer, aNow) },
           { "lease", server.mHeldLease ? server.mHeldLease->mFencingNumber.Value() : 0 },
           { "announced", aWorld.mAnnounced },
           { "holder", server.mHolder.Value() } };
}

// Ticks every 100 ms from the last step to this one.
void TickUntil(world& aWorld, time_point& aTicked, time_point aNow)
{
  for (; aTicked < aNow; aTicked += 100ms) {
    Perform(aWorld, Tick(aWorld.mState, aTicked), aTicked);
  }
}

scenario::verb_table Verbs(world& aWorld, time_point& aTicked)
{
  return {
    { "see",
      [&](const json&, time_point aNow) {
        TickUntil(aWorld, aTicked, aNow + kOffset);
        return View(aWorld, aNow + kOffset);
      } },
    { "pause",
      [&](const json&, time_point aNow) {
        aTicked = aNow + kOffset; // No ticks since the last step.
        return View(aWorld, aNow + kOffset);
      } },
    { "report",
      [&](const json& aWith, time_point aNow) {
        const time_point now = aNow + kOffset;
        TickUntil(aWorld, aTicked, now);
        OnLoadReport(aWorld.mState,
                     { kServer, start_epoch(aWith.value("epoch", 1U)), aWith.at("sequence"),
                       aWith.value("running", 0), aWith.value("cold", false),
                       aWith.value("cold_limit", 0),
                       now - duration(1000 * aWith.value("age_ms", 0)) },
                     now);
        return View(aWorld, now);
      } },
    { "refusal",
      [&](const json&, time_point aNow) {
        OnServerRefusal(aWorld.mState, kServer, aNow + kOffset);
        return View(aWorld, aNow + kOffset);
      } },
    { "answers",
      [&](const json& aWith, time_point aNow) {
        for (const int ms : aWith.at("first_token_ms")) {
          OnFirstToken(aWorld.mState, kServer, duration(1000 * ms), aNow + kOffset);
        }
        return View(aWorld, aNow + kOffset);
      } },
    { "rumour",
      [&](const json& aWith, time_point aNow) {
        OnColdAnnouncement(aWorld.mState,
                           { kServer, start_epoch(aWith.value("epoch", 1U)),
                             instance_id(aWith.at("holder")), fencing_number(aWith.at("lease")) },
                           aNow + kOffset);
        return View(aWorld, aNow + kOffset);
      } },
    { "ask",
      [&](const json& aWith, time_point aNow) {
        const time_point now = aNow + kOffset;
        TickUntil(aWorld, aTicked, now);
        const credit_id id{ instance_id("peer"), start_epoch(9),
                            credit_number(aWith.at("number")) };
        Perform(aWorld,
                OnCreditAsk(aWorld.mState,
                            { id, kServer, duration(1000 * aWith.value("max_run_ms", 30000)) },
                            now),
                now);
        return json{ { "granted", aWorld.mLastGranted }, { "holder", aWorld.mLastHolder.Value() } };
      } },
    { "release",
      [&](const json& aWith, time_point aNow) {
        OnCreditRelease(
          aWorld.mState,
          { { instance_id("peer"), start_epoch(9), credit_number(aWith.at("number")) }, kServer },
          aNow + kOffset);
        return View(aWorld, aNow + kOffset);
      } },
    { "table",
      [&](const json& aWith, time_point aNow) {
        TickUntil(aWorld, aTicked, aNow + kOffset);
        const std::string fault = aWith.value("fault", "none");
        aWorld.mTable.mFault = fault == "down"   ? platform::memory_table::fault::Down
                               : fault == "lose" ? platform::memory_table::fault::LoseAnswer
                                                 : platform::memory_table::fault::None;
        if (aWith.contains("row")) {
          Commit(aWorld.mTable, { {}, { { "cold/runner-1", aWith["row"] } }, {} });
        }
        return json::object();
      } },
  };
}

} // namespace

// Guards against wrong detection, and against grants without a valid lease.
TEST_CASE("capacity scenarios hold")
{
  std::size_t count = 0;
  for (const auto& file :
       std::filesystem::directory_iterator(std::string(TAMARACKWEIR_SLICE_DIR) + "/scenarios")) {
    world made;
    time_point ticked{ kOffset };
    const auto script = scenario::Load(file.path());
    const std::string differences = scenario::Describe(scenario::Run(script, Verbs(made, ticked)));
    CHECK_MESSAGE(differences.empty(), file.path().string(), "\n", differences);
    ++count;
  }
  CHECK(count == 4);
}

// Guards against a lease holder that is paused for 30 s between its check and the send of a grant:
// the requester's clock decides.
TEST_CASE("a grant that arrives 30 s late starts nothing and is given back")
{
  const time_point now{ kOffset };
  state self = Start({}, instance_id("self"), start_epoch(7));
  OnColdAnnouncement(self, { kServer, start_epoch(1), instance_id("peer"), fencing_number(3) },
                     now);
  std::mt19937_64 random(1);
  for (const duration late : { duration(1s), duration(30s) }) {
    actions asked;
    std::optional<credit_id> id;
    time_point at = now + 2 * late;
    while (!id) {
      at += 100ms;
      id = RequestCredit(self, kServer, 60s, asked, at, random);
    }
    REQUIRE(asked.mAsks.size() == 1);
    CHECK(asked.mAsks[0].mTo.Value() == "peer");
    CHECK(asked.mAsks[0].mMessage.mMaxRun == duration(30s));
    const auto result = OnCreditAnswer(
      self, { *id, kServer, true, fencing_number(3), instance_id("peer"), 0s }, at + late, random);
    const bool usable = late < 2s;
    CHECK(result.mUsableCredits.size() == (usable ? 1 : 0));
    CHECK(result.mReleases.size() == (usable ? 0 : 1));
    // The requester itself may be paused after the answer.
    CHECK_FALSE(TryUseCredit(self, *id, at + 30s));
    CHECK(TryUseCredit(self, *id, at + late) == usable);
    CHECK_FALSE(TryUseCredit(self, *id, at + late));
  }
}

// Guards against a release that is lost, which would block a credit until its deadline.
TEST_CASE("a release is sent again until it is acknowledged")
{
  const time_point now{ kOffset };
  state self = Start({}, instance_id("self"), start_epoch(7));
  OnColdAnnouncement(self, { kServer, start_epoch(1), instance_id("peer"), fencing_number(3) },
                     now);
  std::mt19937_64 random(1);
  actions asked;
  const auto id = RequestCredit(self, kServer, 30s, asked, now + 10s, random);
  const auto later = id ? id : RequestCredit(self, kServer, 30s, asked, now + 20s, random);
  REQUIRE(later);
  const time_point at = self.mOwnCredits.at(*later).mAskedAt;
  OnCreditAnswer(self, { *later, kServer, true, fencing_number(3), instance_id("peer"), 0s },
                 at + 10ms, random);
  CHECK(TryUseCredit(self, *later, at + 20ms));
  CHECK(FinishCredit(self, *later, at + 1s).mReleases.size() == 1);
  CHECK(Tick(self, at + 1100ms).mReleases.empty());
  CHECK(Tick(self, at + 1600ms).mReleases.size() == 1);
  OnCreditReleaseAck(self, { *later, kServer });
  CHECK(Tick(self, at + 3s).mReleases.empty());
  CHECK(self.mOwnCredits.empty());
}

// Guards against all instances contending for one row.
TEST_CASE("candidates have one order on all instances and differ between servers")
{
  std::vector<instance_id> live(20);
  for (std::size_t i = 0; i < live.size(); ++i) {
    live[i] = instance_id(std::to_string(i));
  }
  state first = Start({}, live[3], start_epoch(1));
  OnLiveInstances(first, live);
  std::reverse(live.begin(), live.end());
  state second = Start({}, live[3], start_epoch(2));
  OnLiveInstances(second, live);
  std::size_t same = 0;
  for (int i = 0; i < 20; ++i) {
    const server_id id(std::to_string(i));
    CHECK(LeaseCandidates(first, id) == LeaseCandidates(second, id));
    same += LeaseCandidates(first, id)[0] == LeaseCandidates(first, kServer)[0] ? 1 : 0;
  }
  CHECK(same < 10);
}
