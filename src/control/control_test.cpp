#include "control/state.h"

#include "base/digest.h"
#include "platform/memory_table.h"
#include "settings/check.h"

#include <doctest/doctest.h>

using namespace tamarackweir;
using nlohmann::json;

namespace {

const char* const kSettings = R"({
  "fleet": {
    "data_centres": { "a": { "region": "r", "state": "in" }, "b": { "region": "r", "state": "in" } },
    "models": { "small": { "cost_per_1k_tokens": 1.0, "versions": { "v1": { "state": "active" } } } },
    "servers": { "e-1": { "cold_limit": 1 } } },
  "owners": { "k": {
    "operators": { "op": { "key_sha256": ["%key%"] } },
    "accounts": { "depot": { "key_sha256": ["%depot%"], "allow": ["small"] } } },
   "p": { "operators": { "op": { "key_sha256": ["%other%"] } } } } })";

json Tree()
{
  std::string text = kSettings;
  for (const std::string& name : std::vector<std::string>{ "key", "depot", "other" }) {
    text.replace(text.find("%" + name + "%"), name.size() + 2, Sha256Hex(name));
  }
  return json::parse(text);
}

/// One instance with the table in memory; effects on the table are performed at once, on a paused
/// clock.
struct instance
{
  platform::memory_table& mTable;
  control::state mState;
  time_point mNow{};
  std::map<control::ticket, control::request_reply> mReplies;
  std::vector<control::peer_send> mSent;
  std::vector<control::object_write> mObjects;

  explicit instance(platform::memory_table& aTable)
    : mTable(aTable)
    , mState(
        control::Start({ .mSelf = { instance_id("k-1"), start_epoch(1), owner_id("k"),
                                    data_centre_id("a"), "127.0.0.1:1" },
                         .mSeed = 1,
                         .mSessionKeys = { { sessions::key_id("1"), std::string(32, 's') }, {} },
                         .mWallNow = claims::wall_seconds(0) },
                       time_point{}))
  {
  }

  void Perform(control::effects aEffects)
  {
    for (auto& [ticket, reply] : aEffects.mReplies) {
      mReplies[ticket] = reply;
    }
    mSent.insert(mSent.end(), aEffects.mSends.begin(), aEffects.mSends.end());
    mObjects.insert(mObjects.end(), aEffects.mObjects.begin(), aEffects.mObjects.end());
    for (const control::table_commit& commit : aEffects.mCommits) {
      control::effects next;
      control::OnCommit(mState, commit, platform::Commit(mTable, commit.mTransaction), mNow, next);
      Perform(std::move(next));
    }
    for (const control::table_read& read : aEffects.mReads) {
      control::effects next;
      control::OnRead(mState, read, platform::Read(mTable, read.mRequest), mNow, next);
      Perform(std::move(next));
    }
  }

  control::ticket Send(const control::request_event& aEvent)
  {
    const control::ticket ticket(mState.mNextTicket++);
    control::effects effects;
    control::OnRequest(mState, ticket, aEvent, mNow, effects);
    Perform(std::move(effects));
    return ticket;
  }

  void Run(duration aDuration, duration aStep = 5ms)
  {
    for (const time_point end = mNow + aDuration; mNow < end;) {
      mNow += aStep;
      control::effects effects;
      control::Tick(mState, mNow, effects);
      Perform(std::move(effects));
    }
  }

  void Load(const std::string& aServer, std::uint64_t aSequence, bool aCold, int aCapacity = 8)
  {
    control::effects effects;
    CHECK(control::OnLoad(mState,
                          { server_id(aServer),
                            mNow,
                            { { "epoch", 7 },
                              { "sequence", aSequence },
                              { "running", 0 },
                              { "waiting", 0 },
                              { "capacity", aCapacity },
                              { "cold", aCold },
                              { "cold_limit", 1 },
                              { "versions", { "small@v1" } } } },
                          mNow, effects));
    Perform(std::move(effects));
  }

  bool IsReady()
  {
    return std::get<control::report>(mReplies.at(Send(control::read_status{}))).mBody.at("ready");
  }

  template<class Reply>
  const Reply* Find(control::ticket aTicket) const
  {
    const auto found = mReplies.find(aTicket);
    return found == mReplies.end() ? nullptr : std::get_if<Reply>(&found->second);
  }
};

void Accept(instance& aInstance, const json& aTree, std::uint64_t aBase)
{
  const auto ticket =
    aInstance.Send(control::propose{ { settings::change_id("c" + std::to_string(aBase)),
                                       revision(aBase),
                                       aTree,
                                       { owner_id("k"), settings::operator_id("op"), false } } });
  const auto* outcome = aInstance.Find<settings::acceptance_outcome>(ticket);
  REQUIRE(outcome != nullptr);
  REQUIRE_MESSAGE(outcome->mStatus == settings::acceptance_status::Accepted, outcome->mMessage);
}

/// An instance with settings, one engine and a confirmed head.
void MakeReady(instance& aInstance, bool aCold)
{
  control::OnInstanceList(aInstance.mState,
                          { { .mId = "e-1",
                              .mRole = membership::role::Engine,
                              .mAddress = "127.0.0.1:2",
                              .mPeerAddress = "",
                              .mDataCentre = data_centre_id("a"),
                              .mLeaving = false,
                              .mEpoch = {} } },
                          aInstance.mNow);
  Accept(aInstance, Tree(), 0);
  aInstance.Run(3s);
  aInstance.Load("e-1", 1, aCold);
}

control::choose Choose(const instance& aInstance, const std::string& aRequest)
{
  return { .mRequest = request_id(aRequest),
           .mAccount = account_id("depot"),
           .mVersion = { model_id("small"), version_id("v1") },
           .mPrefixes = {},
           .mExclude = {},
           .mFingerprint = { account_id("depot"), aRequest },
           .mDeadline = aInstance.mNow + 20s };
}

} // namespace

// Guards against an instance that the load balancer finds ready while it refuses all work: it had
// adopted a revision but not yet confirmed that it is the head.
TEST_CASE("an instance is ready only once its settings are confirmed")
{
  platform::memory_table table;
  instance other(table);
  Accept(other, Tree(), 0);
  instance tested(table);
  table.mFault = platform::memory_table::fault::Down;
  control::OnInstanceList(tested.mState, {}, tested.mNow);
  tested.Run(2s);
  CHECK(!tested.IsReady());
  control::effects effects;
  control::OnPeerMessage(tested.mState,
                         { instance_id("k-2"),
                           start_epoch(2),
                           "127.0.0.1:3",
                           { peer::revision_content{ revision(1), revision(0), Tree().dump() } } },
                         tested.mNow, effects);
  tested.Perform(std::move(effects));
  CHECK(tested.mState.mPropagation.mHeld == revision(1));
  CHECK(!tested.IsReady());
  table.mFault = platform::memory_table::fault::None;
  tested.Run(3s);
  CHECK(tested.IsReady());
}

// Guards against work on a version that is withdrawn between the choice of a server and the send.
TEST_CASE("a version withdrawn after the choice is not dispatched")
{
  platform::memory_table table;
  instance tested(table);
  MakeReady(tested, false);
  const auto choose = Choose(tested, "r1");
  const auto* chosen = tested.Find<control::chosen>(tested.Send(choose));
  REQUIRE(chosen != nullptr);
  CHECK(tested.Find<control::dispatched>(tested.Send(control::dispatch{ choose, *chosen })) !=
        nullptr);
  json tree = Tree();
  tree["fleet"]["models"]["small"]["versions"]["v1"]["state"] = "withdrawn";
  Accept(tested, tree, 1);
  const auto* refusal = tested.Find<problem>(tested.Send(control::dispatch{ choose, *chosen }));
  REQUIRE(refusal != nullptr);
  CHECK(refusal->mType == "gate-withdrawn");
  CHECK(refusal->mOutcome == outcome::NotRun);
}

// Guards against service on old settings by an instance that reaches neither the table nor a peer,
// also after a pause.
TEST_CASE("an instance cut off from the table and its peers refuses after four seconds")
{
  platform::memory_table table;
  instance tested(table);
  MakeReady(tested, false);
  table.mFault = platform::memory_table::fault::Down;
  const auto choose = Choose(tested, "r1");
  const auto* chosen = tested.Find<control::chosen>(tested.Send(choose));
  REQUIRE(chosen != nullptr);
  tested.mNow += 30s; // the process was paused: no tick ran
  const auto* refusal = tested.Find<problem>(tested.Send(control::dispatch{ choose, *chosen }));
  REQUIRE(refusal != nullptr);
  CHECK(refusal->mType == "gate-isolated");
  CHECK(refusal->mOutcome == outcome::NotRun);
}

// Guards against a cold server that gets as many requests as ask for it.
TEST_CASE("a cold server gets one request at a time and the next when it has ended")
{
  platform::memory_table table;
  instance tested(table);
  MakeReady(tested, true);
  std::vector<control::ticket> tickets;
  for (const char* request : { "r1", "r2", "r3" }) {
    tickets.push_back(tested.Send(Choose(tested, request)));
  }
  std::vector<std::string> order;
  for (int step = 0; step < 300 && order.size() < tickets.size(); ++step) {
    tested.Run(100ms);
    tested.Load("e-1", 10 + static_cast<std::uint64_t>(step), true);
    int granted = 0;
    for (std::size_t i = 0; i < tickets.size(); ++i) {
      const auto* chosen = tested.Find<control::chosen>(tickets[i]);
      if (chosen == nullptr) {
        continue;
      }
      ++granted;
      const std::string request = "r" + std::to_string(i + 1);
      const control::chosen target = *chosen;
      tested.mReplies.erase(tickets[i]);
      REQUIRE(tested.Find<control::dispatched>(
                tested.Send(control::dispatch{ Choose(tested, request), target })) != nullptr);
      tested.Run(50ms);
      for (const control::ticket& other : tickets) {
        CHECK_MESSAGE(tested.Find<control::chosen>(other) == nullptr,
                      "expected no second credit while " << request << " runs");
      }
      tested.Send(control::finished{ request_id(request),
                                     target,
                                     tested.mNow,
                                     control::attempt_end::Answered,
                                     { model_id("small"), version_id("v1") },
                                     owner_id("k") });
      order.push_back(request);
    }
    CHECK(granted <= 1);
  }
  CHECK(order.size() == 3);
}

// Guards against bill records that stay with their copy holder while the instance list keeps a
// killed instance that nobody has replaced.
TEST_CASE("copies of an origin that is silent for long are settled though the list keeps it")
{
  platform::memory_table table;
  instance tested(table);
  MakeReady(tested, false);
  control::OnInstanceList(tested.mState,
                          { { .mId = "k-2",
                              .mRole = membership::role::Entry,
                              .mAddress = "127.0.0.1:8",
                              .mPeerAddress = "127.0.0.1:9",
                              .mDataCentre = data_centre_id("b"),
                              .mLeaving = false,
                              .mEpoch = {} } },
                          tested.mNow);
  const billing::origin_id origin{ instance_id("k-2"), start_epoch(5) };
  billing::record record{ .mId = request_id("r"),
                          .mOwner = owner_id("k"),
                          .mAccount = account_id("depot"),
                          .mStages = {},
                          .mTrace = "",
                          .mOrigin = origin,
                          .mSequence = billing::sequence_number(1) };
  membership::gossip_message gossip;
  gossip.mSender = origin.mInstance;
  gossip.mEpoch = origin.mEpoch;
  control::effects effects;
  control::OnPeerMessage(
    tested.mState,
    { origin.mInstance,
      origin.mEpoch,
      "127.0.0.1:9",
      { gossip, billing::copy_batch{ origin, billing::operation_id(1), {}, { record } } } },
    tested.mNow, effects);
  tested.Perform(std::move(effects));
  tested.Run(100s, 50ms);
  CHECK(tested.mObjects.empty());
  tested.Run(250s, 50ms);
  REQUIRE(tested.mObjects.size() >= 1);
  CHECK(tested.mObjects[0].mKey.find("copy-") != std::string::npos);
}

// Guards against an origin that is taken for silent because its first copy arrives before its first
// gossip, so that its records are settled by their holder while it lives.
TEST_CASE("copies of an origin that has not sent gossip yet are kept for it")
{
  platform::memory_table table;
  instance tested(table);
  tested.mNow = time_point(1h);
  MakeReady(tested, false);
  control::OnInstanceList(tested.mState,
                          { { .mId = "k-2",
                              .mRole = membership::role::Entry,
                              .mAddress = "127.0.0.1:8",
                              .mPeerAddress = "127.0.0.1:9",
                              .mDataCentre = data_centre_id("b"),
                              .mLeaving = false,
                              .mEpoch = {} } },
                          tested.mNow);
  const billing::origin_id origin{ instance_id("k-2"), start_epoch(5) };
  const billing::record record{ .mId = request_id("r"),
                                .mOwner = owner_id("k"),
                                .mAccount = account_id("depot"),
                                .mStages = {},
                                .mTrace = "",
                                .mOrigin = origin,
                                .mSequence = billing::sequence_number(1) };
  control::effects effects;
  control::OnPeerMessage(
    tested.mState,
    { origin.mInstance,
      origin.mEpoch,
      "127.0.0.1:9",
      { billing::copy_batch{ origin, billing::operation_id(1), {}, { record } } } },
    tested.mNow, effects);
  tested.Perform(std::move(effects));
  tested.Run(100s, 50ms);
  CHECK(tested.mObjects.empty());
}

// Guards against an instance that queues requests for minutes after its start while its servers are
// free.
TEST_CASE("the concurrency limit starts from the reported capacity of the servers")
{
  platform::memory_table table;
  instance tested(table);
  MakeReady(tested, false);
  tested.Load("e-1", 2, false, 640);
  tested.Run(200ms);
  CHECK(tested.mState.mAdmission.mLimit >= 640);
}

// Guards against a refusal although the only server has a place: it took no connection at the first
// attempt, as a listener with a short backlog does under a burst.
TEST_CASE("a request that did not run tries the only server again")
{
  platform::memory_table table;
  instance tested(table);
  MakeReady(tested, false);
  tested.Send(Choose(tested, "r0"));
  control::choose again = Choose(tested, "r1");
  again.mExclude = { server_id("e-1") };
  again.mRetry = true;
  again.mAfterNotRun = true;
  const auto ticket = tested.Send(again);
  CHECK(tested.Find<problem>(ticket) == nullptr);
  tested.Run(200ms);
  CHECK(tested.Find<control::chosen>(ticket) != nullptr);
}

// Guards against a control actor that ticks 200 times a second on an idle instance.
TEST_CASE("an instance is busy only while something waits for periodic work")
{
  platform::memory_table table;
  instance tested(table);
  MakeReady(tested, false);
  tested.Run(1s);
  CHECK(!control::IsBusy(tested.mState));
  tested.Send(control::claim{ { account_id("depot"), "key", "digest", tested.mNow + 10s } });
  CHECK(control::IsBusy(tested.mState));
}
