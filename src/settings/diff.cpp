#include "settings/diff.h"

namespace tamarackweir::settings {

using nlohmann::json;

namespace {

void Collect(const json& aBefore, const json& aAfter, const std::string& aPath,
             std::vector<difference>& aOut)
{
  if (!aBefore.is_object() || !aAfter.is_object()) {
    if (aBefore != aAfter) {
      aOut.push_back({ aPath, aBefore, aAfter });
    }
    return;
  }
  auto before = aBefore.begin();
  auto after = aAfter.begin();
  // Both sides are sorted by name, so one merge visits the paths in order.
  while (before != aBefore.end() || after != aAfter.end()) {
    if (after == aAfter.end() || (before != aBefore.end() && before.key() < after.key())) {
      aOut.push_back({ internal::Append(aPath, before.key()), before.value(), std::nullopt });
      ++before;
    } else if (before == aBefore.end() || after.key() < before.key()) {
      aOut.push_back({ internal::Append(aPath, after.key()), std::nullopt, after.value() });
      ++after;
    } else {
      Collect(before.value(), after.value(), internal::Append(aPath, before.key()), aOut);
      ++before;
      ++after;
    }
  }
}

bool IsAt(const std::string& aPath, const std::string& aPrefix)
{
  return aPath == aPrefix || aPath.starts_with(aPrefix + "/");
}

bool MayChange(const std::string& aPath, const author& aAuthor)
{
  const std::string own = internal::Append("/owners", aAuthor.mOwner.Value());
  if (aAuthor.mAutomatic) {
    return IsAt(aPath, own + "/rollouts");
  }
  return IsAt(aPath, own) || IsAt(aPath, "/fleet") || IsAt(aPath, "/defaults");
}

} // namespace

std::vector<difference> Diff(const json& aBefore, const json& aAfter)
{
  std::vector<difference> result;
  Collect(aBefore, aAfter, "", result);
  return result;
}

std::string ToString(const difference& aDifference)
{
  const auto show = [](const std::optional<json>& aSide) {
    return aSide ? aSide->dump() : std::string("absent");
  };
  return (aDifference.mPath.empty() ? "/" : aDifference.mPath) + ": " + show(aDifference.mBefore) +
         " -> " + show(aDifference.mAfter);
}

std::vector<problem> Authorise(const json& aBefore, const json& aAfter, const author& aAuthor)
{
  std::vector<problem> problems;
  const json& authority = aBefore.is_null() ? aAfter : aBefore;
  const json::json_pointer owner(internal::Append("/owners", aAuthor.mOwner.Value()));
  const json::json_pointer name(
    internal::Append(owner.to_string() + "/operators", aAuthor.mOperator.Value()));
  if (!authority.contains(aAuthor.mAutomatic ? owner : name)) {
    problems.push_back({ severity::Error, "change", owner.to_string() + "/operators",
                         "'" + aAuthor.mOperator.Value() + "' is not an operator of '" +
                           aAuthor.mOwner.Value() + "'",
                         "use the key of an operator of the accepted settings" });
    return problems;
  }
  if (aBefore.is_null()) {
    return problems;
  }
  for (const difference& entry : Diff(aBefore, aAfter)) {
    if (!MayChange(entry.mPath, aAuthor)) {
      problems.push_back({ severity::Error, "change", entry.mPath,
                           "'" + aAuthor.mOperator.Value() + "' of '" + aAuthor.mOwner.Value() +
                             "' may not change this",
                           aAuthor.mAutomatic
                             ? "an automatic change may only touch the owner's roll-outs"
                             : "ask an operator of the owner it belongs to" });
    }
  }
  return problems;
}

} // namespace tamarackweir::settings
