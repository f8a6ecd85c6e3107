#include "entry/instance_settings.h"

#include "base/error.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace tamarackweir::entry {

using nlohmann::json;

namespace {

/// Reads members of one object, and collects a fault for each that is absent, malformed or unknown.
struct member_reader
{
  const json& mObject;
  std::string mPath;
  std::vector<settings_fault>& mFaults;
  std::set<std::string> mKnown;

  const json* Get(const std::string& aName, bool aRequired)
  {
    mKnown.insert(aName);
    if (const auto found = mObject.find(aName); found != mObject.end()) {
      return &*found;
    }
    if (aRequired) {
      Fault(aName, "is missing", "add it");
    }
    return nullptr;
  }

  std::string Text(const std::string& aName, bool aRequired, const std::string& aDefault = "")
  {
    const json* value = Get(aName, aRequired);
    if (value == nullptr) {
      return aDefault;
    }
    if (!value->is_string() || value->get<std::string>().empty()) {
      Fault(aName, "is " + value->dump(), "write a text that is not empty");
      return aDefault;
    }
    return value->get<std::string>();
  }

  std::optional<platform::endpoint> Endpoint(const std::string& aName, bool aRequired)
  {
    const std::string text = Text(aName, aRequired);
    if (text.empty()) {
      return std::nullopt;
    }
    try {
      return platform::ParseEndpoint(text);
    } catch (const error& failure) {
      Fault(aName, "is '" + text + "'", failure.Remedy());
      return std::nullopt;
    }
  }

  int Number(const std::string& aName, int aLeast, int aMost, int aDefault)
  {
    const json* value = Get(aName, false);
    if (value == nullptr) {
      return aDefault;
    }
    if (!value->is_number_integer() || *value < aLeast || *value > aMost) {
      Fault(aName, "is " + value->dump(),
            "write a number from " + std::to_string(aLeast) + " to " + std::to_string(aMost));
      return aDefault;
    }
    return value->get<int>();
  }

  void Fault(const std::string& aName, const std::string& aWhat, const std::string& aRemedy)
  {
    mFaults.push_back({ mPath + "/" + aName, aWhat, aRemedy });
  }

  void RejectUnknown()
  {
    for (const auto& [name, value] : mObject.items()) {
      if (!mKnown.contains(name)) {
        Fault(name, "is not a setting", "remove it, or check its spelling");
      }
    }
  }
};

void ParseLog(const json& aLog, instance_settings_result& aResult)
{
  if (!aLog.is_object()) {
    aResult.mFaults.push_back({ "/log", "is " + aLog.dump(), "write an object" });
    return;
  }
  member_reader reader{ aLog, "/log", aResult.mFaults, {} };
  try {
    aResult.mSettings.mLog.mLevel = ParseLogLevel(reader.Text("level", false, "info"));
  } catch (const error& failure) {
    reader.Fault("level", "is not a log level", failure.Remedy());
  }
  const std::string format = reader.Text("format", false, "text");
  if (format != "text" && format != "json") {
    reader.Fault("format", "is '" + format + "'", "write text or json");
  }
  aResult.mSettings.mLog.mJson = format == "json";
  reader.RejectUnknown();
}

} // namespace

instance_settings_result ParseInstanceSettings(const std::string& aText)
{
  instance_settings_result result;
  const json root = json::parse(aText, nullptr, false, true);
  if (!root.is_object()) {
    result.mFaults.push_back(
      { "", "is not a JSON object", "write an object in JSON with comments" });
    return result;
  }
  member_reader reader{ root, "", result.mFaults, {} };
  instance_settings& settings = result.mSettings;
  settings.mId = instance_id(reader.Text("id", true));
  settings.mOwner = owner_id(reader.Text("owner", true));
  settings.mDataCentre = data_centre_id(reader.Text("data_centre", true));
  settings.mCallers = reader.Endpoint("callers", true).value_or(platform::endpoint());
  settings.mOperators = reader.Endpoint("operators", true).value_or(platform::endpoint());
  settings.mPeers = reader.Endpoint("peers", true).value_or(platform::endpoint());
  settings.mTable = reader.Endpoint("table", true).value_or(platform::endpoint());
  settings.mObjects = reader.Endpoint("objects", true).value_or(platform::endpoint());
  settings.mInstanceList = reader.Endpoint("instance_list", true).value_or(platform::endpoint());
  settings.mRating = reader.Endpoint("rating", false);
  settings.mSessionKeysFile = reader.Text("session_keys_file", true);
  settings.mPeerKeyFile = reader.Text("peer_key_file", true);
  settings.mCallerThreads = reader.Number("caller_threads", 8, 4096, settings.mCallerThreads);
  settings.mCallerMemoryMb = reader.Number("caller_memory_mb", 8, 65536, settings.mCallerMemoryMb);
  settings.mCallerHeaderKb = reader.Number("caller_header_kb", 16, 1024, settings.mCallerHeaderKb);
  settings.mCallerHeaderMs =
    reader.Number("caller_header_ms", 1000, 600000, settings.mCallerHeaderMs);
  if (const json* log = reader.Get("log", false)) {
    ParseLog(*log, result);
  }
  reader.RejectUnknown();
  return result;
}

instance_settings LoadInstanceSettings(const std::string& aFile)
{
  std::ifstream in(aFile);
  if (!in) {
    throw error(error_kind::InvalidInput, "the settings file '" + aFile + "' can't be read",
                "check the path and the permissions");
  }
  std::ostringstream text;
  text << in.rdbuf();
  const instance_settings_result result = ParseInstanceSettings(text.str());
  if (!result.mFaults.empty()) {
    std::string faults;
    for (const auto& [path, what, remedy] : result.mFaults) {
      faults += "\n  " + aFile + ": " + path + " " + what + "; " + remedy;
    }
    throw error(error_kind::InvalidInput, "the instance settings have faults:" + faults,
                "correct them and start again");
  }
  return result.mSettings;
}

} // namespace tamarackweir::entry
