#pragma once

#include "settings/acceptance.h"
#include "settings/check.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace tamarackweir::settings {

/// One place where two trees differ; a side is empty where it has nothing.
struct difference
{
  std::string mPath; ///< JSON pointer
  std::optional<nlohmann::json> mBefore;
  std::optional<nlohmann::json> mAfter;

  bool operator==(const difference&) const = default;
};

/// The differences by path. Objects are compared member by member, other values as a whole; an
/// object that only one side has is one difference.
std::vector<difference> Diff(const nlohmann::json& aBefore, const nlohmann::json& aAfter);

/// "<path>: <before> -> <after>", with "absent" for an empty side.
std::string ToString(const difference& aDifference);

/// Returns an error for each difference that the author may not make.
///
/// An operator may change everything below the own owner, `fleet` and `defaults`; an automatic
/// change only the own owner's roll-outs. The author must be an operator in `aBefore`; for the
/// first revision (`aBefore` is null) in `aAfter`, which it may set up whole.
std::vector<problem> Authorise(const nlohmann::json& aBefore, const nlohmann::json& aAfter,
                               const author& aAuthor);

} // namespace tamarackweir::settings
