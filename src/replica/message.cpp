#include "replica/message.h"

#include "base/digest.h"
#include "base/error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tamarackweir::replica {

using nlohmann::json;

namespace {

json ParseObject(std::string_view aText)
{
  json parsed = json::parse(aText, nullptr, false);
  if (!parsed.is_object()) {
    throw error(error_kind::InvalidInput, "the message of a peer is no JSON object",
                "check that all instances run the same release");
  }
  return parsed;
}

json EncodeLost(const lost_rows& aLost)
{
  json rows = json::array();
  for (const auto& [key, lost] : aLost) {
    rows.push_back({ key, lost.mVersion.Era().Value(), lost.mVersion.Value(),
                     lost.mInSnapshot.Value(),
                     lost.mValue ? json(Base64Encode(*lost.mValue)) : json(nullptr) });
  }
  return rows;
}

lost_rows DecodeLost(const json& aRows, store_era aEra)
{
  lost_rows rows;
  for (const json& entry : aRows) {
    lost_row lost{ .mVersion = store_version(entry.at(2).get<std::uint64_t>(),
                                             store_era(entry.at(1).get<std::uint64_t>())),
                   .mInSnapshot = store_version(entry.at(3).get<std::uint64_t>(), aEra) };
    if (const json& value = entry.at(4); !value.is_null()) {
      lost.mValue = Base64Decode(value.get<std::string>());
    }
    rows[entry.at(0).get<std::string>()] = std::move(lost);
  }
  return rows;
}

} // namespace

known_versions VersionsOf(const table_set& aTables)
{
  known_versions versions;
  for (const auto& [name, copy] : aTables) {
    versions[name] = copy.mCompleteTo;
  }
  return versions;
}

news_question QuestionAbout(const table_set& aTables, const std::vector<std::string>& aNames)
{
  news_question question{ .mAcceptsKeys = true };
  for (const std::string& name : aNames) {
    const auto table = aTables.find(name);
    question.mKnown[name] = table == aTables.end() ? store_version{} : table->second.mCompleteTo;
    if (table == aTables.end()) {
      continue;
    }
    for (const auto& [key, lost] : table->second.mLost) {
      question.mLost[name].insert(key);
    }
  }
  return question;
}

std::string EncodeQuestion(const news_question& aQuestion)
{
  json known = json::object();
  json eras = json::object();
  for (const auto& [name, version] : aQuestion.mKnown) {
    known[name] = version.Value();
    eras[name] = version.Era().Value();
  }
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(aQuestion.mWait);
  json question{ { "known", std::move(known) },
                 { "eras", std::move(eras) },
                 { "wait_ms", wait.count() },
                 { "accepts_keys", aQuestion.mAcceptsKeys } };
  if (!aQuestion.mLost.empty()) {
    question["lost"] = aQuestion.mLost;
  }
  return question.dump();
}

news_question DecodeQuestion(std::string_view aText)
{
  try {
    const json message = ParseObject(aText);
    news_question question;
    // A release without eras names none.
    const json eras = message.value("eras", json::object());
    for (const auto& [name, version] : message.at("known").items()) {
      question.mKnown[name] = store_version(version.get<std::uint64_t>(),
                                            store_era(eras.value(name, std::uint64_t{ 0 })));
    }
    question.mLost = message.value("lost", known_lost{});
    question.mAcceptsKeys = message.value("accepts_keys", false);
    question.mWait = std::chrono::milliseconds(message.at("wait_ms").get<std::int64_t>());
    return question;
  } catch (const json::exception& failure) {
    throw error(error_kind::InvalidInput,
                std::string("a peer's question can't be read: ") + failure.what(),
                "check that all instances run the same release");
  }
}

news_answer AnswerFor(const table_set& aTables, const news_question& aQuestion, bool aIsStoreLost)
{
  news_answer answer{ .mIsStoreLost = aIsStoreLost };
  for (const auto& [name, known] : aQuestion.mKnown) {
    const auto table = aTables.find(name);
    if (table == aTables.end()) {
      continue;
    }
    const auto lost = aQuestion.mLost.find(name);
    if (auto news = NewsFor(table->second, known, aQuestion.mAcceptsKeys,
                            lost == aQuestion.mLost.end() ? std::set<std::string>{} : lost->second);
        news) {
      answer.mUpdates.emplace(name, std::move(*news));
    }
  }
  return answer;
}

bool news_answer::IsUrgent() const
{
  return std::any_of(mUpdates.begin(), mUpdates.end(),
                     [](const auto& aEntry) { return replica::IsUrgent(aEntry.second); });
}

std::string EncodeAnswer(const news_answer& aAnswer)
{
  json tables = json::object();
  for (const auto& [name, update] : aAnswer.mUpdates) {
    json rows = json::array();
    for (const row_change& change : update.mChanges) {
      rows.push_back({ change.mKey, change.mVersion.Value(),
                       change.mValue ? json(Base64Encode(*change.mValue)) : json(nullptr) });
    }
    tables[name] = { { "era", update.mCompleteTo.Era().Value() },
                     { "complete_to", update.mCompleteTo.Value() },
                     { "last_change", update.mLastChange.Value() },
                     { "rows", std::move(rows) } };
    if (!update.mLost.empty()) {
      tables[name]["lost"] = EncodeLost(update.mLost);
    }
    if (!update.mRemovedAgain.empty()) {
      tables[name]["removed_again"] = update.mRemovedAgain;
    }
    if (update.mAfter) {
      tables[name]["after"] = update.mAfter->Value();
    }
    if (update.mKeys) {
      tables[name]["keys"] = *update.mKeys;
    }
  }
  json message{ { "tables", std::move(tables) }, { "store_lost", aAnswer.mIsStoreLost } };
  if (aAnswer.mStoreReturnedAgo) {
    message["store_returned_ms_ago"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(*aAnswer.mStoreReturnedAgo).count();
  }
  return message.dump();
}

news_answer DecodeAnswer(std::string_view aText)
{
  try {
    const json message = ParseObject(aText);
    news_answer answer{ .mIsStoreLost = message.at("store_lost").get<bool>() };
    if (message.contains("store_returned_ms_ago")) {
      answer.mStoreReturnedAgo =
        std::chrono::milliseconds(message.at("store_returned_ms_ago").get<std::int64_t>());
    }
    for (const auto& [name, content] : message.at("tables").items()) {
      table_update& update = answer.mUpdates[name];
      // All versions of an update are of one era, but for those of lost rows.
      const store_era era(content.value("era", std::uint64_t{ 0 }));
      const auto versionFrom = [era](const json& aNumber) {
        return store_version(aNumber.get<std::uint64_t>(), era);
      };
      update.mCompleteTo = versionFrom(content.at("complete_to"));
      update.mLastChange = versionFrom(content.at("last_change"));
      if (content.contains("after")) {
        update.mAfter = versionFrom(content.at("after"));
      }
      update.mLost = DecodeLost(content.value("lost", json::array()), era);
      update.mRemovedAgain = content.value("removed_again", std::vector<std::string>{});
      if (content.contains("keys")) {
        update.mKeys = content.at("keys").get<std::set<std::string>>();
      }
      for (const json& entry : content.at("rows")) {
        row_change change{ .mKey = entry.at(0).get<std::string>(),
                           .mVersion = versionFrom(entry.at(1)) };
        if (!entry.at(2).is_null()) {
          change.mValue = Base64Decode(entry.at(2).get<std::string>());
        }
        update.mChanges.push_back(std::move(change));
      }
    }
    return answer;
  } catch (const json::exception& failure) {
    throw error(error_kind::InvalidInput,
                std::string("a peer's tables can't be read: ") + failure.what(),
                "check that all instances run the same release");
  }
}

} // namespace tamarackweir::replica
