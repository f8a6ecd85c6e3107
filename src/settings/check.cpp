#include "settings/check.h"

#include "base/error.h"
#include "settings/keys.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cmath>
#include <set>

namespace tamarackweir::settings {

using nlohmann::json;

namespace {

/// Where problems go, and the file that they name.
struct context
{
  std::string mFile;
  std::vector<problem>& mProblems;

  void Fail(const std::string& aPath, const std::string& aWhat, const std::string& aRemedy)
  {
    mProblems.push_back({ severity::Error, mFile, aPath, aWhat, aRemedy });
  }
};

constexpr std::size_t kMaxNameBytes = 64;

bool IsName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return (aChar >= 'a' && aChar <= 'z') || (aChar >= '0' && aChar <= '9') ||
                  aChar == '-' || aChar == '_' || aChar == '.';
         });
}

/// Reads the members of one object; what is not asked for is unknown.
class object_reader
{
public:
  object_reader(context& aContext, const json& aJson, std::string aPath)
    : mContext(aContext)
    , mJson(aJson)
    , mPath(std::move(aPath))
  {
    if (!mJson.is_object()) {
      mContext.Fail(mPath, "expected an object, found " + internal::Describe(mJson),
                    "write an object in braces");
    }
  }

  object_reader(const object_reader&) = delete;
  object_reader& operator=(const object_reader&) = delete;
  object_reader(object_reader&&) = delete;
  object_reader& operator=(object_reader&&) = delete;

  ~object_reader() { ReportUnknown(); }

  /// Returns the member, or null if there is none.
  const json* Find(const std::string& aName)
  {
    mKnown.insert(aName);
    const auto found = mJson.is_object() ? mJson.find(aName) : mJson.end();
    return found == mJson.end() ? nullptr : &*found;
  }

  /// `Find`, and a problem if there is none.
  const json* Require(const std::string& aName)
  {
    const json* found = Find(aName);
    if (found == nullptr && mJson.is_object()) {
      mContext.Fail(mPath, "the member '" + aName + "' is missing", "add it");
    }
    return found;
  }

  /// Reads an optional value into `aValue`, which keeps its own value if there is none.
  template<class T>
  void Value(const std::string& aName, T& aValue, double aMin = 0, double aMax = 0)
  {
    if (const json* found = Find(aName)) {
      std::string expected;
      if (const auto decoded = internal::Decode<T>(*found, aMin, aMax, expected)) {
        aValue = *decoded;
      } else {
        mContext.Fail(PathOf(aName), "found " + internal::Describe(*found), "write " + expected);
      }
    }
  }

  /// `Value` for a member that must be there.
  template<class T>
  void RequiredValue(const std::string& aName, T& aValue, double aMin = 0, double aMax = 0)
  {
    if (Require(aName) != nullptr) {
      Value(aName, aValue, aMin, aMax);
    }
  }

  /// Reads a required member that is a name.
  template<class Id>
  void Name(const std::string& aName, Id& aId)
  {
    if (const json* found = Require(aName)) {
      if (found->is_string() && IsName(found->get_ref<const std::string&>())) {
        aId = Id(found->get<std::string>());
      } else {
        mContext.Fail(PathOf(aName), "found " + internal::Describe(*found), kNameRemedy);
      }
    }
  }

  /// Calls `aRead(name, value, path)` for each entry of an optional map from names.
  template<class Read>
  void Map(const std::string& aName, Read aRead)
  {
    const json* found = Find(aName);
    if (found == nullptr) {
      return;
    }
    const std::string path = PathOf(aName);
    if (!found->is_object()) {
      mContext.Fail(path, "expected an object, found " + internal::Describe(*found),
                    "write an object in braces");
      return;
    }
    for (const auto& [name, value] : found->items()) {
      const std::string entryPath = internal::Append(path, name);
      if (!IsName(name)) {
        mContext.Fail(entryPath, "'" + name + "' is not a name", kNameRemedy);
      }
      aRead(name, value, entryPath);
    }
  }

  std::string PathOf(const std::string& aName) const { return internal::Append(mPath, aName); }

private:
  void ReportUnknown()
  {
    if (!mJson.is_object()) {
      return;
    }
    for (const auto& [name, value] : mJson.items()) {
      if (!mKnown.contains(name)) {
        std::string known;
        for (const std::string& candidate : mKnown) {
          known += (known.empty() ? "" : ", ") + candidate;
        }
        mContext.Fail(PathOf(name), "the member is unknown here", "use one of " + known);
      }
    }
  }

  static constexpr const char* kNameRemedy =
    "write a name of 1 to 64 lower-case letters, digits, '-', '_' and '.'";

  context& mContext;
  const json& mJson;
  std::string mPath;
  std::set<std::string> mKnown;
};

overrides ReadOverrides(context& aContext, const json& aJson, const std::string& aPath,
                        level aLevel)
{
  overrides result;
  object_reader reader(aContext, aJson, aPath);
  internal::ForEachKey([&](const auto& aKey) {
    using value_type = std::remove_cvref_t<decltype(values{}.*aKey.mValue)>;
    if (reader.Find(aKey.mName) == nullptr) {
      return;
    }
    if (aLevel > aKey.mLowest) {
      aContext.Fail(reader.PathOf(aKey.mName),
                    std::string("the key can't be set at the level ") + ToString(aLevel),
                    std::string("set it at the level ") + ToString(aKey.mLowest) + " or above");
      return;
    }
    value_type value{};
    const std::size_t before = aContext.mProblems.size();
    reader.Value(aKey.mName, value, aKey.mMin, aKey.mMax);
    if (aContext.mProblems.size() == before) {
      result.*aKey.mOverride = value;
    }
  });
  return result;
}

/// Reads an optional member `settings`.
overrides ReadSettings(context& aContext, object_reader& aReader, level aLevel)
{
  const json* found = aReader.Find("settings");
  return found == nullptr ? overrides{}
                          : ReadOverrides(aContext, *found, aReader.PathOf("settings"), aLevel);
}

bool IsKeyDigest(const json& aJson)
{
  constexpr std::size_t kDigits = 64;
  return aJson.is_string() && aJson.get_ref<const std::string&>().size() == kDigits &&
         aJson.get_ref<const std::string&>().find_first_not_of("0123456789abcdef") ==
           std::string::npos;
}

std::set<key_digest> ReadKeys(context& aContext, object_reader& aReader)
{
  // Two keys let a caller change over without a gap; more are a sign of keys never removed.
  constexpr std::size_t kMaxKeys = 8;
  std::set<key_digest> keys;
  const json* found = aReader.Require("key_sha256");
  if (found == nullptr) {
    return keys;
  }
  const std::string path = aReader.PathOf("key_sha256");
  if (!found->is_array() || found->empty() || found->size() > kMaxKeys) {
    aContext.Fail(path, "found " + internal::Describe(*found), "write a list of 1 to 8 digests");
    return keys;
  }
  for (std::size_t i = 0; i < found->size(); ++i) {
    const json& entry = (*found)[i];
    if (!IsKeyDigest(entry)) {
      aContext.Fail(internal::Append(path, std::to_string(i)), "found " + internal::Describe(entry),
                    "write the SHA-256 of the key as 64 lower-case hexadecimal digits");
    } else {
      keys.insert(key_digest(entry.get<std::string>()));
    }
  }
  return keys;
}

bool IsAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  const std::string port = aText.substr(colon + 1);
  constexpr std::size_t kMaxPortDigits = 5;
  constexpr int kMaxPort = 65535;
  if (port.empty() || port.size() > kMaxPortDigits ||
      port.find_first_not_of("0123456789") != std::string::npos || std::stoi(port) == 0 ||
      std::stoi(port) > kMaxPort) {
    return false;
  }
  std::string host = aText.substr(0, colon);
  const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  host = isBracketed ? host.substr(1, host.size() - 2) : host;
  in6_addr buffer{};
  return inet_pton(isBracketed ? AF_INET6 : AF_INET, host.c_str(), &buffer) == 1;
}

void ReadModel(context& aContext, const json& aJson, const std::string& aPath, model& aModel)
{
  constexpr double kMicro = 1e6;
  constexpr double kMaxCost = 1e6;
  object_reader reader(aContext, aJson, aPath);
  traffic_share cost{ 0 };
  reader.RequiredValue("cost_per_1k_tokens", cost, 0, kMaxCost);
  aModel.mCostPer1kTokens = micro_cost(std::llround(cost.Value() * kMicro));
  reader.Require("versions");
  reader.Map("versions", [&](const std::string& aName, const json& aValue, const std::string& aAt) {
    object_reader version(aContext, aValue, aAt);
    version.RequiredValue("state", aModel.mVersions[version_id(aName)]);
  });
}

void ReadService(context& aContext, const json& aJson, const std::string& aPath, service& aService)
{
  object_reader reader(aContext, aJson, aPath);
  reader.Name("owner", aService.mOwner);
  if (const json* address = reader.Require("address")) {
    if (address->is_string() && IsAddress(address->get<std::string>())) {
      aService.mAddress = server_address(address->get<std::string>());
    } else {
      aContext.Fail(reader.PathOf("address"), "found " + internal::Describe(*address),
                    "write \"ip:port\" with an IP number, as \"127.0.0.1:7301\" or \"[::1]:7301\"");
    }
  }
  reader.Require("calls");
  reader.Map("calls", [&](const std::string& aName, const json& aValue, const std::string& aAt) {
    object_reader call(aContext, aValue, aAt);
    call.RequiredValue("repeatable", aService.mCalls[call_id(aName)].mRepeatable);
  });
}

void ReadFleet(context& aContext, const json& aJson, tree& aTree)
{
  constexpr double kMaxColdLimit = 1000;
  object_reader reader(aContext, aJson, "/fleet");
  reader.Map("data_centres",
             [&](const std::string& aName, const json& aValue, const std::string& aAt) {
               object_reader entry(aContext, aValue, aAt);
               data_centre& result = aTree.mDataCentres[data_centre_id(aName)];
               entry.Name("region", result.mRegion);
               entry.RequiredValue("state", result.mState);
             });
  reader.Map("models", [&](const std::string& aName, const json& aValue, const std::string& aAt) {
    ReadModel(aContext, aValue, aAt, aTree.mModels[model_id(aName)]);
  });
  reader.Map("servers", [&](const std::string& aName, const json& aValue, const std::string& aAt) {
    object_reader entry(aContext, aValue, aAt);
    server& result = aTree.mServers[server_id(aName)];
    entry.Value("cold_limit", result.mColdLimit, 1, kMaxColdLimit);
    entry.Value("checks_fencing", result.mChecksFencing);
  });
  reader.Map("services", [&](const std::string& aName, const json& aValue, const std::string& aAt) {
    ReadService(aContext, aValue, aAt, aTree.mServices[service_id(aName)]);
  });
}

/// Splits "model" or "model@version".
cascade_stage SplitVersion(const std::string& aText)
{
  const auto at = aText.find('@');
  if (at == std::string::npos) {
    return { model_id(aText), std::nullopt };
  }
  return { model_id(aText.substr(0, at)), version_id(aText.substr(at + 1)) };
}

/// Calls `aRead(text, path)` for each text of a required list of texts.
template<class Read>
void ReadTexts(context& aContext, object_reader& aReader, const std::string& aName, Read aRead)
{
  const json* found = aReader.Require(aName);
  if (found == nullptr) {
    return;
  }
  const std::string path = aReader.PathOf(aName);
  if (!found->is_array()) {
    aContext.Fail(path, "found " + internal::Describe(*found), "write a list of names");
    return;
  }
  std::set<std::string> seen;
  for (std::size_t i = 0; i < found->size(); ++i) {
    const json& entry = (*found)[i];
    const std::string entryPath = internal::Append(path, std::to_string(i));
    if (!entry.is_string()) {
      aContext.Fail(entryPath, "found " + internal::Describe(entry), "write a name");
    } else if (!seen.insert(entry.get<std::string>()).second) {
      aContext.Fail(entryPath, internal::Describe(entry) + " occurs twice", "remove one");
    } else {
      aRead(entry.get_ref<const std::string&>(), entryPath);
    }
  }
}

void ReadAllow(context& aContext, object_reader& aReader, const tree& aTree,
               const owner_id& aOwnerId, const owner& aOwner, allowance& aAllow)
{
  ReadTexts(aContext, aReader, "allow", [&](const std::string& aText, const std::string& aPath) {
    const auto [modelId, versionId] = SplitVersion(aText);
    const auto service = aTree.mServices.find(service_id(aText));
    if (versionId && StateOf(aTree, { modelId, *versionId })) {
      aAllow.mVersions.insert({ modelId, *versionId });
    } else if (!versionId && aTree.mModels.contains(modelId)) {
      aAllow.mModels.insert(modelId);
    } else if (aOwner.mCascades.contains(cascade_id(aText))) {
      aAllow.mCascades.insert(cascade_id(aText));
    } else if (service != aTree.mServices.end() && service->second.mOwner == aOwnerId) {
      aAllow.mServices.insert(service->first);
    } else if (service != aTree.mServices.end()) {
      aContext.Fail(aPath,
                    "the service '" + aText + "' belongs to the owner '" +
                      service->second.mOwner.Value() + "'",
                    "allow only services of the account's owner");
    } else {
      aContext.Fail(aPath, "'" + aText + "' does not exist",
                    "name a model, a version as model@version, a cascade of this owner or a "
                    "service of this owner");
    }
  });
}

void ReadAccount(context& aContext, const json& aJson, const std::string& aPath, const tree& aTree,
                 const owner_id& aOwnerId, const owner& aOwner, client_account& aAccount)
{
  object_reader reader(aContext, aJson, aPath);
  aAccount.mKeys = ReadKeys(aContext, reader);
  ReadAllow(aContext, reader, aTree, aOwnerId, aOwner, aAccount.mAllow);
  aAccount.mSettings = ReadSettings(aContext, reader, level::Account);
  reader.Map("models", [&](const std::string& aName, const json& aValue, const std::string& aAt) {
    object_reader target(aContext, aValue, aAt);
    const overrides settings = ReadSettings(aContext, target, level::Target);
    if (aTree.mModels.contains(model_id(aName))) {
      aAccount.mModelSettings[model_id(aName)] = settings;
    } else if (aOwner.mCascades.contains(cascade_id(aName))) {
      aAccount.mCascadeSettings[cascade_id(aName)] = settings;
    } else {
      aContext.Fail(aAt, "there is no model or cascade '" + aName + "'",
                    "name a model of /fleet/models or a cascade of this owner");
    }
  });
}

void ReadOwner(context& aContext, const json& aJson, const std::string& aPath, const tree& aTree,
               const owner_id& aOwnerId, owner& aOwner)
{
  object_reader reader(aContext, aJson, aPath);
  aOwner.mSettings = ReadSettings(aContext, reader, level::Owner);
  reader.Map("operators",
             [&](const std::string& aName, const json& aValue, const std::string& aAt) {
               object_reader entry(aContext, aValue, aAt);
               aOwner.mOperators[operator_id(aName)].mKeys = ReadKeys(aContext, entry);
             });
  reader.Map("cascades", [&](const std::string& aName, const json& aValue, const std::string& aAt) {
    object_reader entry(aContext, aValue, aAt);
    cascade& result = aOwner.mCascades[cascade_id(aName)];
    ReadTexts(aContext, entry, "stages", [&](const std::string& aText, const auto&) {
      result.mStages.push_back(SplitVersion(aText));
    });
  });
  reader.Map("rollouts", [&](const std::string& aName, const json& aValue, const std::string& aAt) {
    object_reader entry(aContext, aValue, aAt);
    rollout& result = aOwner.mRollouts[model_id(aName)];
    entry.Name("from", result.mFrom);
    entry.Name("to", result.mTo);
    entry.RequiredValue("share", result.mShare, 0, 1);
    entry.RequiredValue("state", result.mState);
  });
  reader.Map("accounts", [&](const std::string& aName, const json& aValue, const std::string& aAt) {
    ReadAccount(aContext, aValue, aAt, aTree, aOwnerId, aOwner,
                aOwner.mAccounts[account_id(aName)]);
  });
}

} // namespace

check_result CheckJson(const json& aTree, const std::string& aFile)
{
  check_result result{ .mProblems = {}, .mJson = aTree, .mTree = {} };
  context current{ aFile, result.mProblems };
  {
    object_reader reader(current, result.mJson, "");
    if (const json* fleet = reader.Require("fleet")) {
      ReadFleet(current, *fleet, result.mTree);
    }
    if (const json* defaults = reader.Find("defaults")) {
      result.mTree.mDefaults = ReadOverrides(current, *defaults, "/defaults", level::Defaults);
    }
    reader.Require("owners");
    reader.Map("owners", [&](const std::string& aName, const json& aValue, const std::string& aAt) {
      ReadOwner(current, aValue, aAt, result.mTree, owner_id(aName),
                result.mTree.mOwners[owner_id(aName)]);
    });
  }
  internal::CheckReferences(result.mTree, aFile, result.mProblems);
  return result;
}

check_result Check(std::string_view aText, const std::string& aFile)
{
  std::vector<problem> problems;
  const json parsed = internal::ReadText(aText, aFile, problems);
  if (parsed.is_null() && HasErrors(problems)) {
    return { .mProblems = std::move(problems), .mJson = nullptr, .mTree = {} };
  }
  check_result result = CheckJson(parsed, aFile);
  result.mProblems.insert(result.mProblems.begin(), problems.begin(), problems.end());
  return result;
}

tree Parse(const json& aTree)
{
  check_result result = CheckJson(aTree, "settings");
  if (!result.IsAccepted()) {
    std::erase_if(result.mProblems,
                  [](const problem& aProblem) { return aProblem.mSeverity != severity::Error; });
    throw error(error_kind::InvalidInput,
                "the settings have errors:\n" + ToString(result.mProblems),
                "correct them and check the settings before proposing them");
  }
  return std::move(result.mTree);
}

} // namespace tamarackweir::settings
