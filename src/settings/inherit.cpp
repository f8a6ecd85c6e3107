#include "settings/inherit.h"

#include "base/error.h"

#include <vector>

namespace tamarackweir::settings {

namespace {

struct source
{
  level mLevel;
  const overrides* mOverrides;
  std::string mPath;
};

std::vector<std::string> Split(std::string_view aPath)
{
  std::vector<std::string> parts;
  while (aPath.starts_with('/')) {
    aPath.remove_prefix(1);
    const auto end = std::min(aPath.find('/'), aPath.size());
    parts.emplace_back(aPath.substr(0, end));
    aPath.remove_prefix(end);
  }
  return parts;
}

[[noreturn]] void NotFound(std::string_view aPath)
{
  throw error(error_kind::NotFound,
              "the settings have no inheritable values at '" + std::string(aPath) + "'",
              "use /defaults, /owners/<owner>, /owners/<owner>/accounts/<account> or the last with "
              "/models/<model or cascade>, with names that exist");
}

const overrides* FindOverrides(const tree& aTree, const owner& aOwner,
                               const client_account& aAccount, const std::string& aTarget)
{
  static const overrides kNone;
  if (aTree.mModels.contains(model_id(aTarget))) {
    const auto found = aAccount.mModelSettings.find(model_id(aTarget));
    return found == aAccount.mModelSettings.end() ? &kNone : &found->second;
  }
  if (aOwner.mCascades.contains(cascade_id(aTarget))) {
    const auto found = aAccount.mCascadeSettings.find(cascade_id(aTarget));
    return found == aAccount.mCascadeSettings.end() ? &kNone : &found->second;
  }
  return nullptr;
}

std::vector<source> Sources(const tree& aTree, std::string_view aPath)
{
  auto parts = Split(aPath);
  if (parts.size() > 1 && parts.back() == "settings") {
    parts.pop_back();
  }
  std::vector<source> sources{ { level::Defaults, &aTree.mDefaults, "/defaults" } };
  if (parts == std::vector<std::string>{ "defaults" }) {
    return sources;
  }
  if (parts.size() < 2 || parts.size() > 6 || parts.size() % 2 != 0 || parts[0] != "owners") {
    NotFound(aPath);
  }
  const auto ownerFound = aTree.mOwners.find(owner_id(parts[1]));
  if (ownerFound == aTree.mOwners.end()) {
    NotFound(aPath);
  }
  const owner& current = ownerFound->second;
  std::string path = "/owners/" + parts[1];
  sources.push_back({ level::Owner, &current.mSettings, path + "/settings" });
  if (parts.size() == 2) {
    return sources;
  }
  const auto accountFound = current.mAccounts.find(account_id(parts[3]));
  if (parts[2] != "accounts" || accountFound == current.mAccounts.end()) {
    NotFound(aPath);
  }
  path += "/accounts/" + parts[3];
  sources.push_back({ level::Account, &accountFound->second.mSettings, path + "/settings" });
  if (parts.size() == 4) {
    return sources;
  }
  const overrides* target = FindOverrides(aTree, current, accountFound->second, parts[5]);
  if (parts[4] != "models" || target == nullptr) {
    NotFound(aPath);
  }
  sources.push_back({ level::Target, target, path + "/models/" + parts[5] + "/settings" });
  return sources;
}

template<class Map, class Id>
void ApplyTarget(values& aValues, const Map& aSettings, const Id& aId)
{
  if (const auto found = aSettings.find(aId); found != aSettings.end()) {
    internal::Apply(aValues, found->second);
  }
}

} // namespace

values OwnerValues(const tree& aTree, const owner_id& aOwner)
{
  const auto found = aTree.mOwners.find(aOwner);
  if (found == aTree.mOwners.end()) {
    throw error(error_kind::NotFound, "there is no owner '" + aOwner.Value() + "'",
                "use an owner of the settings");
  }
  values result;
  internal::Apply(result, aTree.mDefaults);
  internal::Apply(result, found->second.mSettings);
  return result;
}

values AccountValues(const tree& aTree, const account_id& aAccount, const values_target& aTarget)
{
  const auto entry = FindAccount(aTree, aAccount);
  if (!entry) {
    throw error(error_kind::NotFound, "there is no client account '" + aAccount.Value() + "'",
                "use a client account of the settings");
  }
  values result;
  internal::Apply(result, aTree.mDefaults);
  internal::Apply(result, entry->mOwner->mSettings);
  internal::Apply(result, entry->mAccount->mSettings);
  if (const auto* modelId = std::get_if<model_id>(&aTarget)) {
    ApplyTarget(result, entry->mAccount->mModelSettings, *modelId);
  } else if (const auto* cascadeId = std::get_if<cascade_id>(&aTarget)) {
    ApplyTarget(result, entry->mAccount->mCascadeSettings, *cascadeId);
  }
  return result;
}

std::map<std::string, effective_value> Effective(const tree& aTree, std::string_view aPath)
{
  const auto sources = Sources(aTree, aPath);
  const values builtIn;
  std::map<std::string, effective_value> result;
  internal::ForEachKey([&](const auto& aKey) {
    effective_value& entry = result[aKey.mName];
    entry.mValue = internal::Encode(builtIn.*aKey.mValue);
    for (const auto& [sourceLevel, settings, path] : sources) {
      if (const auto& value = settings->*aKey.mOverride) {
        entry = { internal::Encode(*value), sourceLevel, path };
      }
    }
  });
  return result;
}

} // namespace tamarackweir::settings
