#include "settings/keys.h"

#include <sstream>

namespace tamarackweir::settings {

const char* ToString(level aLevel)
{
  switch (aLevel) {
    case level::BuiltIn:
      return "built-in";
    case level::Defaults:
      return "defaults";
    case level::Owner:
      return "owner";
    case level::Account:
      return "account";
    case level::Target:
      return "target";
  }
  return "built-in";
}

namespace internal {

std::string DescribeRange(const char* aKind, double aMin, double aMax)
{
  std::ostringstream out;
  out.precision(std::numeric_limits<double>::digits10);
  out << aKind << " from " << aMin << " to " << aMax;
  return out.str();
}

std::string Describe(const nlohmann::json& aValue)
{
  constexpr std::size_t kShown = 60;
  std::string text = aValue.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  if (text.size() > kShown) {
    text = text.substr(0, kShown) + "...";
  }
  return std::string(aValue.type_name()) + " " + text;
}

void Apply(values& aValues, const overrides& aLevel)
{
  ForEachKey([&](const auto& aKey) {
    if (const auto& value = aLevel.*aKey.mOverride) {
      aValues.*aKey.mValue = *value;
    }
  });
}

} // namespace internal
} // namespace tamarackweir::settings
