#include "replica/message.h"

#include "base/digest.h"
#include "base/error.h"

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

} // namespace

known_versions VersionsOf(const table_set& aTables)
{
  known_versions versions;
  for (const auto& [name, copy] : aTables) {
    versions[name] = copy.mCompleteTo;
  }
  return versions;
}

std::string EncodeQuestion(const news_question& aQuestion)
{
  json known = json::object();
  for (const auto& [name, version] : aQuestion.mKnown) {
    known[name] = version.Value();
  }
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(aQuestion.mWait);
  return json{
    { "known", std::move(known) },
    { "wait_ms", wait.count() },
    { "accepts_keys", aQuestion.mAcceptsKeys }
  }.dump();
}

news_question DecodeQuestion(std::string_view aText)
{
  try {
    const json message = ParseObject(aText);
    news_question question;
    for (const auto& [name, version] : message.at("known").items()) {
      question.mKnown[name] = store_version(version.get<std::uint64_t>());
    }
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
    if (auto news = NewsFor(table->second, known, aQuestion.mAcceptsKeys); news) {
      answer.mUpdates.emplace(name, std::move(*news));
    }
  }
  return answer;
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
    tables[name] = { { "complete_to", update.mCompleteTo.Value() },
                     { "last_change", update.mLastChange.Value() },
                     { "rows", std::move(rows) } };
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
      update.mCompleteTo = store_version(content.at("complete_to").get<std::uint64_t>());
      update.mLastChange = store_version(content.at("last_change").get<std::uint64_t>());
      if (content.contains("after")) {
        update.mAfter = store_version(content.at("after").get<std::uint64_t>());
      }
      if (content.contains("keys")) {
        update.mKeys = content.at("keys").get<std::set<std::string>>();
      }
      for (const json& entry : content.at("rows")) {
        row_change change{ .mKey = entry.at(0).get<std::string>(),
                           .mVersion = store_version(entry.at(1).get<std::uint64_t>()) };
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
