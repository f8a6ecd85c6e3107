#include "quarantine/quarantine.h"

#include "platform/memory_table.h"
#include "scenario/scenario.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace tamarackweir;
using namespace tamarackweir::quarantine;
using nlohmann::json;
using platform::memory_table;

namespace {

constexpr time_point kStart{};

state MakeState(const std::string& aSelf)
{
  state result;
  result.mSelf = instance_id(aSelf);
  return result;
}

} // namespace

// Guards against an account that gets another account's request quarantined by copying it.
TEST_CASE("a quarantine applies only to the account that sent the request")
{
  state instance;
  const fingerprint quarantined = MakeFingerprint(account_id("depot"), "body");
  const fingerprint other = MakeFingerprint(account_id("clinic"), "body");
  report received;
  received.mQuarantined.insert(quarantined);
  OnReport(instance, received, kStart);
  CHECK(GetStatus(instance, quarantined, kStart) == fingerprint_status::Quarantined);
  CHECK(GetStatus(instance, other, kStart) == fingerprint_status::Normal);
  CHECK(GetStatus(instance, quarantined, kStart + 1h) == fingerprint_status::Normal);
}

// Guards against a merge of reports whose result depends on their order or repetition.
TEST_CASE("reports after a cleared crash merge to the same status in any order")
{
  const fingerprint suspect = MakeFingerprint(account_id("depot"), "body");
  const server_incarnation first{ server_id("s1"), start_epoch(1) };
  const server_incarnation second{ server_id("s2"), start_epoch(1) };
  const server_incarnation third{ server_id("s3"), start_epoch(1) };
  std::vector<report> reports(4);
  reports[0].mCrashes[suspect] = { first };
  reports[1].mCleared[suspect] = { first };
  reports[2].mCrashes[suspect] = { second };
  reports[3].mCleared[suspect] = { third };
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    // An instance that learns of a second crash before the first is cleared quarantines the
    // request, which is the safe outcome. The report of the cleared crash therefore stays first.
    std::vector<std::size_t> order{ 1, 0, 2, 3, 1, 0, 3 };
    std::shuffle(order.begin() + 1, order.end(), random);
    state instance;
    for (const std::size_t i : order) {
      OnReport(instance, reports[i], kStart);
    }
    CHECK(GetStatus(instance, suspect, kStart) == fingerprint_status::Suspect);
  }
}

// Guards against two re-runs after a lost commit answer, and a re-run while the table is down.
TEST_CASE("a re-run whose commit answer is lost is recognised by its token")
{
  memory_table table;
  state one = MakeState("i1");
  state other = MakeState("i2");
  const fingerprint suspect = MakeFingerprint(account_id("depot"), "body");
  report first;
  first.mCrashes[suspect] = { { server_id("s1"), start_epoch(1) } };
  OnReport(one, first, kStart);
  OnReport(other, first, kStart);
  const std::vector servers{ server_id("s2"), server_id("s3") };
  const auto plan = [&](state& aState, const std::string& aToken, time_point aNow) {
    return PlanRerun(aState, suspect, Read(table, MakeRerunRead(suspect, servers)), servers, aToken,
                     aNow);
  };
  table.mFault = memory_table::fault::Down;
  CHECK(plan(one, "t1", kStart).mStep == rerun_step::Unavailable);
  table.mFault = memory_table::fault::None;
  const auto planned = plan(one, "t1", kStart);
  CHECK(planned.mStep == rerun_step::Commit);
  table.mFault = memory_table::fault::LoseAnswer;
  CHECK(Commit(table, planned.mTransaction).mStatus == platform::commit_status::Unknown);
  table.mFault = memory_table::fault::None;
  CHECK(plan(other, "t2", kStart).mStep == rerun_step::Wait);
  CHECK(plan(one, "t1", kStart).mStep == rerun_step::Run);

  // The holder is dead: its re-run may have crashed a server, so the fingerprint is quarantined.
  CHECK(plan(other, "t2", kStart + 119s).mStep == rerun_step::Wait);
  const auto abandoned = plan(other, "t2", kStart + 120s);
  CHECK(abandoned.mStep == rerun_step::Quarantined);
  CHECK(Commit(table, abandoned.mTransaction).mStatus == platform::commit_status::Committed);

  // A new instance reads it from the table, and removes the row after the expiry time.
  state newInstance = MakeState("i3");
  CHECK(OnAllRows(newInstance, Read(table, MakeAllRowsRead()), kStart).mStore.empty());
  CHECK(GetStatus(newInstance, suspect, kStart) == fingerprint_status::Quarantined);
  const auto expired = OnAllRows(newInstance, Read(table, MakeAllRowsRead()), kStart + 1h);
  REQUIRE(expired.mStore.size() == 1);
  Commit(table, expired.mStore[0].mTransaction);
  CHECK(Read(table, MakeAllRowsRead()).mRows.empty());
}

// Guards against changed quarantine decisions for the event sequences in scenarios/.
TEST_CASE("the quarantine scenarios give the expected results")
{
  int files = 0;
  for (const auto& file :
       std::filesystem::directory_iterator(TAMARACKWEIR_SLICE_DIR "/scenarios")) {
    CAPTURE(file.path().string());
    const auto script = scenario::Load(file.path());
    std::map<std::string, state> instances;
    std::set<instance_id> all;
    for (const json& name : script.mSetup.at("instances")) {
      all.insert(instance_id(name));
      instances[name].mSelf = instance_id(name);
    }
    memory_table table;
    std::vector<std::pair<std::string, outgoing_report>> sent;
    const auto stateOf = [&](const json& aWith) -> state& { return instances.at(aWith.at("at")); };
    const auto fingerprintOf = [](const json& aWith) {
      return MakeFingerprint(account_id(aWith.value("account", "depot")),
                             aWith.at("body").get<std::string>());
    };
    const auto peers = [&](const json& aWith) {
      auto others = all;
      others.erase(instance_id(aWith.at("at")));
      return others;
    };
    const auto incarnationOf = [](const json& aWith) {
      return server_incarnation{ server_id(aWith.at("server")),
                                 start_epoch(aWith.value("epoch", 1ULL)) };
    };
    const auto apply = [&](const std::string& aFrom, const actions& aActions) {
      json answered = json::array();
      for (const auto& message : aActions.mSend) {
        sent.emplace_back(aFrom, message);
      }
      for (const auto& [id, transaction] : aActions.mStore) {
        OnStored(instances.at(aFrom), id, Commit(table, transaction));
      }
      for (const request_id& request : aActions.mAnswer) {
        answered.push_back(request.Value());
      }
      return json{ { "answer", answered }, { "sent", aActions.mSend.size() } };
    };
    const scenario::verb_table verbs{
      { "dispatch",
        [&](const json& aWith, time_point) {
          OnDispatch(
            stateOf(aWith), request_id(aWith.at("id")),
            { fingerprintOf(aWith), incarnationOf(aWith), aWith.value("alone", false), {} });
          return json::object();
        } },
      { "crash",
        [&](const json& aWith, time_point aNow) {
          return apply(aWith.at("at"),
                       OnServerCrash(stateOf(aWith), incarnationOf(aWith), peers(aWith), aNow));
        } },
      { "complete",
        [&](const json& aWith, time_point aNow) {
          return apply(aWith.at("at"),
                       OnCompleted(stateOf(aWith), request_id(aWith.at("id")), peers(aWith), aNow));
        } },
      { "cancel",
        [&](const json& aWith, time_point aNow) {
          OnCancelled(stateOf(aWith), request_id(aWith.at("id")), aNow);
          return json::object();
        } },
      { "tick",
        [&](const json& aWith, time_point aNow) {
          return apply(aWith.at("at"), OnTick(stateOf(aWith), aNow));
        } },
      { "deliver",
        [&](const json&, time_point aNow) {
          json answered = json::array();
          for (const auto& [from, message] : std::exchange(sent, {})) {
            for (const instance_id& to : message.mTo) {
              const auto ack = OnReport(instances.at(to.Value()), message.mReport, aNow);
              for (const request_id& answeredRequest : OnAck(instances.at(from), ack).mAnswer) {
                answered.push_back(answeredRequest.Value());
              }
            }
          }
          return json{ { "answer", answered } };
        } },
      { "lose",
        [&](const json&, time_point) {
          sent.clear();
          return json::object();
        } },
      { "check",
        [&](const json& aWith, time_point aNow) {
          const fingerprint_status status = GetStatus(stateOf(aWith), fingerprintOf(aWith), aNow);
          return json{ { "verdict", status == fingerprint_status::Normal    ? "run"
                                    : status == fingerprint_status::Suspect ? "suspect"
                                                                            : "quarantined" } };
        } },
      { "rerun",
        [&](const json& aWith, time_point aNow) {
          const std::vector<server_id> servers{ server_id(aWith.at("server")) };
          const auto plan = PlanRerun(stateOf(aWith), fingerprintOf(aWith),
                                      Read(table, MakeRerunRead(fingerprintOf(aWith), servers)),
                                      servers, aWith.at("token"), aNow);
          Commit(table, plan.mTransaction);
          const std::map<rerun_step, std::string> names{ { rerun_step::Run, "run" },
                                                         { rerun_step::Commit, "commit" },
                                                         { rerun_step::Wait, "wait" },
                                                         { rerun_step::Quarantined, "quarantined" },
                                                         { rerun_step::Unavailable,
                                                           "unavailable" } };
          return json{ { "step", names.at(plan.mStep) } };
        } },
    };
    const auto mismatches = scenario::Run(script, verbs);
    CHECK_MESSAGE(mismatches.empty(), scenario::Describe(mismatches));
    ++files;
  }
  CHECK(files >= 3);
}
