#pragma once

#include "settings/keys.h"
#include "settings/tree.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>

namespace tamarackweir::settings {

/// The lowest level of a request's values: none, a model or a cascade.
using values_target = std::variant<std::monostate, model_id, cascade_id>;

/// The values of an owner's work that belongs to no client account. Throws `error` of kind
/// `NotFound` for an unknown owner.
values OwnerValues(const tree& aTree, const owner_id& aOwner);

/// The values for a client account's requests to a target. Throws `error` of kind `NotFound` for an
/// unknown account. A target that the account does not override inherits the account's values.
values AccountValues(const tree& aTree, const account_id& aAccount,
                     const values_target& aTarget = {});

/// One value with the place that set it.
struct effective_value
{
  nlohmann::json mValue;
  level mLevel = level::BuiltIn;
  std::string mPath; ///< of the level's settings, for example "/owners/kitamura/settings"; or empty

  bool operator==(const effective_value&) const = default;
};

/// The values in force at a path, by key.
///
/// Paths are "/defaults", "/owners/<owner>", "/owners/<owner>/accounts/<account>" and the last
/// followed by "/models/<model or cascade>"; "/settings" at the end is allowed. Throws `error` of
/// kind `NotFound` for any other path.
std::map<std::string, effective_value> Effective(const tree& aTree, std::string_view aPath);

} // namespace tamarackweir::settings
