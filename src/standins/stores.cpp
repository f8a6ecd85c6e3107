#include "base/error.h"
#include "platform/memory_table.h"
#include "standins/kinds.h"

#include "base/digest.h"
#include "standins/network.h"

#include <deque>
#include <utility>

namespace tamarackweir::standins {

namespace {

/// Switches that the table and the object store share; limits are per second, 0 means none.
const json kStoreSwitches{ { "down", false },        { "slow_ms", 0 },
                           { "lose_answer", false }, { "error_after_commit", false },
                           { "limit_writes", 0 },    { "limit_reads", 0 } };

struct meters
{
  rate_meter mReads;
  rate_meter mWrites;
};

void AddStats(const meters& aMeters, json& aStats)
{
  aStats["reads"] = ToJson(aMeters.mReads, Now());
  aStats["writes"] = ToJson(aMeters.mWrites, Now());
}

bool IsWithinLimit(standin& aStandin, rate_meter& aMeter, const char* aSwitch,
                   httplib::Response& aAnswer)
{
  if (Count(aMeter, Now(), aStandin.mSwitches.at(aSwitch).get<std::uint64_t>())) {
    return true;
  }
  ++aStandin.mCounts["refused"];
  AnswerTooMany(aAnswer, aSwitch);
  return false;
}

/// Replaces the answer to a write that took effect, if a switch asks for it. Needs the lock.
void ApplyAnswerFaults(standin& aStandin, const httplib::Request& aRequest,
                       httplib::Response& aAnswer)
{
  if (UseSwitch(aStandin, "lose_answer")) {
    ++aStandin.mCounts["answers_lost"];
    DropConnection(aRequest);
  } else if (UseSwitch(aStandin, "error_after_commit")) {
    ++aStandin.mCounts["errors_after_commit"];
    Answer(
      aAnswer, 500,
      { { "error", { { "message", "internal error; read the rows to see what took effect" } } } });
  }
}

json RowsToJson(const std::vector<platform::row>& aRows)
{
  json rows = json::array();
  for (const platform::row& row : aRows) {
    rows.push_back({ { "key", row.mKey }, { "version", row.mVersion }, { "value", row.mValue } });
  }
  return rows;
}

platform::transaction ParseTransaction(const json& aBody)
{
  platform::transaction result;
  CheckMembers(
    aBody, { { "expect", json::array() }, { "put", json::array() }, { "remove", json::array() } },
    "transaction");
  for (const json& entry : aBody.value("expect", json::array())) {
    result.mExpect.push_back({ Text(entry, "key"), entry.at("version").get<std::uint64_t>() });
  }
  for (const json& entry : aBody.value("put", json::array())) {
    result.mPut.push_back({ Text(entry, "key"), entry.at("value") });
  }
  result.mRemove = aBody.value("remove", std::vector<std::string>{});
  return result;
}

struct table_state : meters
{
  platform::memory_table mTable;
};

void ServeTable(standin& aStandin)
{
  const auto state = std::make_shared<table_state>();
  aStandin.mAddStats = [state](json& aStats) {
    AddStats(*state, aStats);
    aStats["rows"] = state->mTable.mRows.size();
  };
  aStandin.mServer.Post(
    "/txn", Guard(aStandin, [&aStandin, state](const auto& aRequest, auto& aAnswer) {
      const platform::transaction transaction = ParseTransaction(ParseBody(aRequest));
      const std::lock_guard lock(aStandin.mMutex);
      if (!IsWithinLimit(aStandin, state->mWrites, "limit_writes", aAnswer)) {
        return;
      }
      const platform::commit_result result = Commit(state->mTable, transaction);
      if (result.mStatus == platform::commit_status::Committed) {
        Answer(aAnswer, 200, { { "committed", true } });
      } else {
        Answer(aAnswer, 409,
               { { "committed", false }, { "conflicts", RowsToJson(result.mConflicts) } });
      }
      ApplyAnswerFaults(aStandin, aRequest, aAnswer);
    }));
  aStandin.mServer.Post(
    "/read", Guard(aStandin, [&aStandin, state](const auto& aRequest, auto& aAnswer) {
      const json body = ParseBody(aRequest);
      CheckMembers(body, { { "keys", json::array() }, { "prefix", "" } }, "read");
      const platform::read_request request{ body.value("keys", std::vector<std::string>{}),
                                            body.value("prefix", "") };
      const std::lock_guard lock(aStandin.mMutex);
      if (IsWithinLimit(aStandin, state->mReads, "limit_reads", aAnswer)) {
        Answer(aAnswer, 200, { { "rows", RowsToJson(Read(state->mTable, request).mRows) } });
      }
    }));
}

struct objects_state : meters
{
  std::map<std::string, std::string> mObjects;
};

void ServeObjects(standin& aStandin)
{
  const auto state = std::make_shared<objects_state>();
  aStandin.mAddStats = [state](json& aStats) {
    AddStats(*state, aStats);
    aStats["objects"] = state->mObjects.size();
  };
  aStandin.mServer.Put(R"(/objects/(.+))",
                       Guard(aStandin, [&aStandin, state](const auto& aRequest, auto& aAnswer) {
                         const std::lock_guard lock(aStandin.mMutex);
                         if (!IsWithinLimit(aStandin, state->mWrites, "limit_writes", aAnswer)) {
                           return;
                         }
                         state->mObjects[aRequest.matches[1]] = aRequest.body;
                         Answer(aAnswer, 200, { { "stored", true } });
                         ApplyAnswerFaults(aStandin, aRequest, aAnswer);
                       }));
  aStandin.mServer.Get(
    R"(/objects/(.+))", Guard(aStandin, [&aStandin, state](const auto& aRequest, auto& aAnswer) {
      const std::lock_guard lock(aStandin.mMutex);
      if (!IsWithinLimit(aStandin, state->mReads, "limit_reads", aAnswer)) {
        return;
      }
      const auto found = state->mObjects.find(aRequest.matches[1]);
      if (found == state->mObjects.end()) {
        throw error(error_kind::NotFound, "no object " + std::string(aRequest.matches[1]),
                    "list the keys with GET /objects?prefix=");
      }
      aAnswer.set_content(found->second, "application/octet-stream");
    }));
  aStandin.mServer.Get("/objects",
                       Guard(aStandin, [&aStandin, state](const auto& aRequest, auto& aAnswer) {
                         const std::string prefix = aRequest.get_param_value("prefix");
                         const std::lock_guard lock(aStandin.mMutex);
                         if (!IsWithinLimit(aStandin, state->mReads, "limit_reads", aAnswer)) {
                           return;
                         }
                         json keys = json::array();
                         for (auto it = state->mObjects.lower_bound(prefix);
                              it != state->mObjects.end() && it->first.starts_with(prefix); ++it) {
                           keys.push_back(it->first);
                         }
                         Answer(aAnswer, 200, { { "keys", keys } });
                       }));
}

const json kInstanceShape{
  { "id", "" },           { "role", "" },        { "address", "" },
  { "peer_address", "" }, { "data_centre", "" }, { "state", "" },
};

json ParseInstance(const json& aBody, const std::string& aId)
{
  json instance = kInstanceShape;
  instance["state"] = "live";
  Merge(instance, aBody, kInstanceShape, "instance " + aId);
  instance["id"] = aId;
  const std::string role = instance["role"];
  const std::string state = instance["state"];
  if ((role != "entry" && role != "engine" && role != "service") ||
      (state != "live" && state != "leaving")) {
    throw error(error_kind::InvalidInput, "role '" + role + "', state '" + state + "' of " + aId,
                "set role to entry, engine or service, and state to live or leaving");
  }
  return instance;
}

/// A change that becomes visible at `mAt`; a null entry removes the instance.
struct instance_change
{
  time_point mAt;
  std::string mId;
  json mEntry;
};

struct instances_state
{
  std::map<std::string, json> mVisible;
  std::deque<instance_change> mPending;
};

void ApplyDue(instances_state& aState, time_point aNow)
{
  while (!aState.mPending.empty() && aState.mPending.front().mAt <= aNow) {
    instance_change& change = aState.mPending.front();
    if (change.mEntry.is_null()) {
      aState.mVisible.erase(change.mId);
    } else {
      aState.mVisible[change.mId] = std::move(change.mEntry);
    }
    aState.mPending.pop_front();
  }
}

void ServeInstances(standin& aStandin)
{
  const auto state = std::make_shared<instances_state>();
  for (const json& entry : aStandin.mOptions.at("instances")) {
    const std::string id = Text(entry, "id");
    state->mVisible[id] = ParseInstance(entry, id);
  }
  aStandin.mAddStats = [state](json& aStats) { aStats["pending"] = state->mPending.size(); };
  const auto change = [&aStandin, state](const std::string& aId, json aEntry,
                                         httplib::Response& aAnswer) {
    const std::lock_guard lock(aStandin.mMutex);
    const time_point now = Now();
    ApplyDue(*state, now);
    // A shorter lag must not let a later change overtake an earlier one.
    const time_point earliest = state->mPending.empty() ? now : state->mPending.back().mAt;
    state->mPending.push_back(
      { std::max(earliest, now + Milliseconds(aStandin, "lag_ms")), aId, std::move(aEntry) });
    Answer(aAnswer, 200, { { "accepted", true } });
  };
  aStandin.mServer.Put(R"(/instances/([^/]+))",
                       Guard(aStandin, [change](const auto& aRequest, auto& aAnswer) {
                         const std::string id = aRequest.matches[1];
                         change(id, ParseInstance(ParseBody(aRequest), id), aAnswer);
                       }));
  aStandin.mServer.Delete(R"(/instances/([^/]+))",
                          Guard(aStandin, [change](const auto& aRequest, auto& aAnswer) {
                            change(aRequest.matches[1], nullptr, aAnswer);
                          }));
  aStandin.mServer.Get(
    "/instances", Guard(aStandin, [&aStandin, state](const auto& aRequest, auto& aAnswer) {
      const std::lock_guard lock(aStandin.mMutex);
      ++aStandin.mCounts["reads"];
      ApplyDue(*state, Now());
      json instances = json::array();
      for (const auto& [id, entry] : state->mVisible) {
        instances.push_back(entry);
      }
      const std::string tag = "\"" + std::to_string(StableHash(instances.dump())) + "\"";
      aAnswer.set_header("ETag", tag);
      if (aRequest.get_header_value("If-None-Match") == tag) {
        aAnswer.status = 304;
        return;
      }
      Answer(aAnswer, 200, { { "instances", instances } });
    }));
}

} // namespace

kind TableKind()
{
  return { json::object(), kStoreSwitches, ServeTable };
}

kind ObjectsKind()
{
  return { json::object(), kStoreSwitches, ServeObjects };
}

kind InstancesKind()
{
  return { { { "instances", json::array() } },
           { { "down", false }, { "slow_ms", 0 }, { "lag_ms", 0 } },
           ServeInstances };
}

} // namespace tamarackweir::standins
