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

std::string EncodeVersions(const known_versions& aVersions)
{
  json message = json::object();
  for (const auto& [name, version] : aVersions) {
    message[name] = version.Value();
  }
  return message.dump();
}

known_versions DecodeVersions(std::string_view aText)
{
  known_versions versions;
  const json message = ParseObject(aText);
  for (const auto& [name, version] : message.items()) {
    if (!version.is_number_unsigned()) {
      throw error(error_kind::InvalidInput, "the version of table '" + name + "' is no number",
                  "check that all instances run the same release");
    }
    versions[name] = store_version(version.get<std::uint64_t>());
  }
  return versions;
}

std::string EncodeNewer(const table_set& aTables, const known_versions& aAsker)
{
  json message = json::object();
  for (const auto& [name, known] : aAsker) {
    const auto table = aTables.find(name);
    if (table == aTables.end() || !table->second.IsKnown() || table->second.mLastChange <= known) {
      continue;
    }
    json rows = json::array();
    for (const auto& [key, value] : table->second.mRows) {
      rows.push_back({ key, Base64Encode(value.mValue), value.mVersion.Value() });
    }
    message[name] = { { "complete_to", table->second.mCompleteTo.Value() },
                      { "last_change", table->second.mLastChange.Value() },
                      { "rows", std::move(rows) } };
  }
  return message.dump();
}

table_set DecodeTables(std::string_view aText)
{
  table_set tables;
  try {
    const json message = ParseObject(aText);
    for (const auto& [name, content] : message.items()) {
      table_copy& copy = tables[name];
      copy.mCompleteTo = store_version(content.at("complete_to").get<std::uint64_t>());
      copy.mLastChange = store_version(content.at("last_change").get<std::uint64_t>());
      for (const json& entry : content.at("rows")) {
        copy.mRows[entry.at(0).get<std::string>()] =
          row{ .mValue = Base64Decode(entry.at(1).get<std::string>()),
               .mVersion = store_version(entry.at(2).get<std::uint64_t>()) };
      }
    }
  } catch (const json::exception& failure) {
    throw error(error_kind::InvalidInput, std::string("a peer's tables can't be read: ") + failure.what(),
                "check that all instances run the same release");
  }
  return tables;
}

} // namespace tamarackweir::replica
