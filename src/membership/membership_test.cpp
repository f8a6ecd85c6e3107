#include "membership/membership.h"

#include "base/error.h"
#include "membership/internal.h"
#include "scenario/scenario.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::membership;
using nlohmann::json;

namespace {

const time_point kStart{ 1h };

listed_instance ListedEntry(const std::string& aId, const std::string& aAddress,
                            const std::string& aDataCentre = "a", start_epoch aEpoch = {})
{
  return { aId,   role::Entry, aAddress, "peer-" + aAddress, data_centre_id(aDataCentre),
           false, aEpoch };
}

listed_instance ListedServer(const std::string& aId, bool aLeaving)
{
  return { aId, role::Engine, "s:" + aId, "", data_centre_id("a"), aLeaving, {} };
}

state MakeSelf()
{
  return Start({}, instance_id("self"), start_epoch(1), data_centre_id("a"), kStart);
}

gossip_message MessageFrom(const std::string& aId, std::uint64_t aEpoch)
{
  gossip_message message;
  message.mSender = instance_id(aId);
  message.mEpoch = start_epoch(aEpoch);
  return message;
}

json MemberView(const state& aState, const std::string& aId)
{
  const auto found = aState.mMembers.find(instance_id(aId));
  if (found == aState.mMembers.end()) {
    return { { "known", false } };
  }
  return { { "known", true },
           { "epoch", found->second.mEpoch.Value() },
           { "left", found->second.mLeft },
           { "leaving", found->second.mLeaving },
           { "peer_address", found->second.mPeerAddress } };
}

json ServerView(const state& aState, const std::string& aId)
{
  const auto found = aState.mServers.find(server_id(aId));
  return found == aState.mServers.end() ? json{ { "known", false } }
                                        : json{ { "known", true },
                                                { "epoch", found->second.mEpoch.Value() },
                                                { "leaving", IsLeaving(found->second) } };
}

scenario::verb_table Verbs(state& aState)
{
  return {
    { "list",
      [&aState](const json& aWith, time_point aNow) {
        std::vector<listed_instance> list;
        for (const json& line : aWith.at("instances")) {
          const std::string kind = line.value("role", "entry");
          list.push_back({ line.at("id"),
                           kind == "entry"    ? role::Entry
                           : kind == "engine" ? role::Engine
                                              : role::Service,
                           line.value("address", ""), line.value("peer_address", ""),
                           data_centre_id(line.value("data_centre", "a")),
                           line.value("state", "live") == "leaving",
                           start_epoch(line.value("epoch", 0U)) });
        }
        OnInstanceList(aState, list, kStart + aNow.time_since_epoch());
        return json::object();
      } },
    { "gossip",
      [&aState](const json& aWith, time_point aNow) {
        gossip_message message = MessageFrom(aWith.at("from"), aWith.at("epoch"));
        message.mLeaving = aWith.value("leaving", false);
        if (aWith.contains("left")) {
          message.mRumours.push_back(InstanceLeftRumour(instance_id(aWith["left"].at("id")),
                                                        start_epoch(aWith["left"].at("epoch"))));
        }
        if (aWith.contains("server_leaving")) {
          message.mRumours.push_back(
            ServerLeavingRumour(server_id(aWith["server_leaving"].at("id")),
                                start_epoch(aWith["server_leaving"].at("epoch"))));
        }
        const auto result = OnGossip(aState, message, aWith.value("address", "p:1"), {},
                                     kStart + aNow.time_since_epoch());
        return json{ { "news", result.mNewRumours.size() } };
      } },
    { "report",
      [&aState](const json& aWith, time_point aNow) {
        OnServerReport(aState, server_id(aWith.at("server")), start_epoch(aWith.at("epoch")),
                       aWith.value("leaving", false), kStart + aNow.time_since_epoch());
        return json::object();
      } },
    { "member",
      [&aState](const json& aWith, time_point) { return MemberView(aState, aWith.at("id")); } },
    { "server",
      [&aState](const json& aWith, time_point) { return ServerView(aState, aWith.at("id")); } },
  };
}

} // namespace

// Guards against members and servers that become live again after they left, and replacements that
// are mistaken for their predecessors.
TEST_CASE("membership scenarios produce the expected results")
{
  std::size_t count = 0;
  for (const auto& file :
       std::filesystem::directory_iterator(std::string(TAMARACKWEIR_SLICE_DIR) + "/scenarios")) {
    state self = MakeSelf();
    const auto script = scenario::Load(file.path());
    const std::string differences = scenario::Describe(scenario::Run(script, Verbs(self)));
    CHECK_MESSAGE(differences.empty(), file.path().string(), "\n", differences);
    ++count;
  }
  CHECK(count == 3);
}

// Guards against a merge whose result depends on the order or repetition of rumours.
TEST_CASE("merging is commutative and idempotent over 100 seeds")
{
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    std::vector<rumour> rumours;
    for (int i = 0; i < 40; ++i) {
      rumour made =
        OpaqueRumour(static_cast<rumour_kind>(random() % 5), std::to_string(random() % 4),
                     random() % 3, std::to_string(random() % 3));
      made.mKey.mEpoch = start_epoch(random() % 2);
      made.mAge = std::chrono::seconds(random() % 100);
      rumours.push_back(made);
    }
    state left = MakeSelf();
    state right = MakeSelf();
    for (const rumour& each : rumours) {
      internal::Merge(left, each, kStart);
    }
    std::shuffle(rumours.begin(), rumours.end(), random);
    const auto half = rumours;
    rumours.insert(rumours.end(), half.begin(), half.begin() + 20);
    for (const rumour& each : rumours) {
      internal::Merge(right, each, kStart);
    }
    REQUIRE(left.mRumours.size() == right.mRumours.size());
    for (const auto& [key, held] : left.mRumours) {
      const rumour& other = right.mRumours.at(key).mRumour;
      CHECK(held.mRumour.mVersion == other.mVersion);
      CHECK(held.mRumour.mPayload == other.mPayload);
    }
    CHECK(internal::Digest(left, kStart) == internal::Digest(right, kStart));
  }
}

// Guards against rumours that circulate forever, and payloads that exceed the limit on traffic.
TEST_CASE("a rumour is sent a bounded number of times and removed at the retention age")
{
  state self = MakeSelf();
  OnInstanceList(self, { ListedEntry("b", "b:1"), ListedEntry("c", "c:1") }, kStart);
  std::mt19937_64 random(1);
  const rumour leaving = ServerLeavingRumour(server_id("s"), start_epoch(5));
  CHECK(Spread(self, leaving, kStart).mNewRumours.size() == 1);
  CHECK(Spread(self, leaving, kStart).mNewRumours.empty());
  std::size_t sent = 0;
  for (time_point now = kStart; now < kStart + 60s; now += 50ms) {
    for (const outgoing& each : Tick(self, {}, now, random).mSend) {
      sent += each.mMessage.mRumours.size();
    }
  }
  CHECK(sent == SendsPerRumour(3));
  Tick(self, {}, kStart + 601s, random);
  CHECK(self.mRumours.empty());
  rumour old = leaving;
  old.mAge = 10min;
  gossip_message late = MessageFrom("b", 2);
  late.mRumours = { old };
  CHECK(OnGossip(self, late, "peer-b:1", {}, kStart + 602s).mNewRumours.empty());
  CHECK_THROWS_AS(
    Spread(self, OpaqueRumour(rumour_kind::Evidence, "k", 1, std::string(97, 'x')), kStart), error);
}

// Guards against crash suspects and evidence that are reported twice or in an older version.
TEST_CASE("an opaque rumour is reported as new once per version")
{
  state self = MakeSelf();
  const std::string key = "clerk-small@v2/b";
  gossip_message message = MessageFrom("b", 2);
  message.mRumours = { OpaqueRumour(rumour_kind::Evidence, key, 2, "good=7") };
  CHECK(OnGossip(self, message, "peer-b:1", {}, kStart).mNewRumours.size() == 1);
  CHECK(OnGossip(self, message, "peer-b:1", {}, kStart).mNewRumours.empty());
  message.mRumours = { OpaqueRumour(rumour_kind::Evidence, key, 1, "good=3") };
  CHECK(OnGossip(self, message, "peer-b:1", {}, kStart).mNewRumours.empty());
  message.mRumours = { OpaqueRumour(rumour_kind::Evidence, key, 3, "good=9") };
  const auto news = OnGossip(self, message, "peer-b:1", {}, kStart).mNewRumours;
  REQUIRE(news.size() == 1);
  CHECK(news[0].mPayload == "good=9");
}

// Guards against data centres that rarely exchange gossip with each other.
TEST_CASE("every fourth round has a peer in another data centre")
{
  state self = MakeSelf();
  std::vector<listed_instance> list{ ListedEntry("far", "far:1", "b") };
  for (int i = 0; i < 300; ++i) {
    list.push_back(ListedEntry("near" + std::to_string(i), std::to_string(i) + ":1"));
  }
  OnInstanceList(self, list, kStart);
  std::mt19937_64 random(1);
  int remote = 0;
  for (int round = 0; round < 400; ++round) {
    const auto sent = Tick(self, {}, kStart + round * 250ms, random).mSend;
    REQUIRE(sent.size() == 2);
    CHECK(sent[0].mTo != sent[1].mTo);
    remote += std::any_of(sent.begin(), sent.end(),
                          [](const outgoing& aOut) { return aOut.mTo.Value() == "far"; });
  }
  CHECK(remote >= 100);
}

// Guards against counting a probe as failed before its answer timeout has passed, and against
// counting probes that are older than `options::mProbeWindow`.
TEST_CASE("probes count as answered or failed within the last 4 s")
{
  state self = MakeSelf();
  OnInstanceList(self, { ListedEntry("b", "b:1"), ListedEntry("c", "c:1") }, kStart);
  std::mt19937_64 random(1);
  for (int round = 0; round < 16; ++round) {
    const time_point now = kStart + round * 250ms;
    const auto sent = Tick(self, {}, now, random).mSend;
    REQUIRE(sent.size() == 2);
    if (sent[0].mTo.Value() == "b") {
      gossip_message answer;
      answer.mAnswerTo = sent[0].mMessage.mProbe;
      answer.mHead = { revision(7), 100ms, false };
      const auto result = OnGossip(self, answer, "peer-b:1", {}, now + 20ms);
      REQUIRE(result.mHead);
      CHECK(result.mHeadFrom.Value() == "b");
      CHECK(result.mHead->mAge == duration(120ms));
    }
  }
  const auto counts = CountProbes(self, kStart + 3750ms);
  const auto answered =
    static_cast<std::size_t>(std::count_if(self.mProbes.begin(), self.mProbes.end(),
                                           [](const probe& aProbe) { return aProbe.mAnswered; }));
  CHECK(counts.mAnsweredProbes == answered);
  CHECK(counts.mCountedProbes >= 13);
  CHECK(counts.mCountedProbes < 16);
  CHECK(counts.mAnsweredStoreReachable == 0);
  CHECK(CountProbes(self, kStart + 30s).mCountedProbes == 0);
}

// Guards against an old confirmation that looks fresh because its message was queued during a pause
// of the process.
TEST_CASE("an unrequested confirmation has no age and an answer's age counts from its probe")
{
  state self = MakeSelf();
  OnInstanceList(self, { ListedEntry("b", "b:1") }, kStart);
  gossip_message pushed = MessageFrom("b", 2);
  pushed.mHead = { revision(8), 10ms, true };
  const auto result = OnGossip(self, pushed, "peer-b:1", {}, kStart + 30s);
  REQUIRE(result.mHead);
  CHECK(result.mHead->mHead == revision(8));
  CHECK(result.mHead->mAge == duration::max());
  std::mt19937_64 random(1);
  const auto sent = Tick(self, {}, kStart + 30s, random).mSend;
  REQUIRE(sent.size() == 1);
  gossip_message answer;
  answer.mAnswerTo = sent[0].mMessage.mProbe;
  answer.mHead = { revision(8), 10ms, true };
  CHECK(OnGossip(self, answer, "peer-b:1", {}, kStart + 60s).mHead->mAge == duration(30s + 10ms));
}

// Guards against an instance that sends gossip after it has left, or leaves without notice.
TEST_CASE("a leaving instance notifies several peers and then sends nothing")
{
  state self = MakeSelf();
  OnInstanceList(self,
                 { ListedEntry("b", "b:1"), ListedEntry("c", "c:1", "b"), ListedEntry("d", "d:1") },
                 kStart);
  std::mt19937_64 random(1);
  BeginLeaving(self);
  CHECK(Tick(self, {}, kStart, random).mSend.at(0).mMessage.mLeaving);
  const auto last = Leave(self, {}, kStart + 1s, random).mSend;
  CHECK(last.size() == 3);
  for (const outgoing& each : last) {
    REQUIRE(each.mMessage.mRumours.size() == 1);
    CHECK(each.mMessage.mRumours[0].mKey.mKind == rumour_kind::InstanceLeft);
  }
  CHECK(Tick(self, {}, kStart + 5s, random).mSend.empty());
}

// Guards against servers that stay after the list dropped them, or that lose their leaving state.
TEST_CASE("servers missing from a new list are removed, and a leaving server stays so in its epoch")
{
  state self = MakeSelf();
  OnInstanceList(self, { ListedServer("s", false), ListedServer("t", false) }, kStart);
  CHECK(OnServerReport(self, server_id("s"), start_epoch(5), true, kStart).mNewRumours.size() == 1);
  OnInstanceList(self, { ListedServer("s", false) }, kStart + 30s);
  CHECK(self.mServers.size() == 1);
  CHECK(IsLeaving(self.mServers.at(server_id("s"))));
  OnServerReport(self, server_id("s"), start_epoch(6), false, kStart + 40s);
  CHECK_FALSE(IsLeaving(self.mServers.at(server_id("s"))));
}
