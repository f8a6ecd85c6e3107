#pragma once

#include "settings/tree.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackweir::settings {

/// Whether a problem keeps the settings from being accepted.
enum class severity
{
  Warning,
  Error,
};

/// One finding of `Check`.
struct problem
{
  severity mSeverity = severity::Error;
  std::string mFile{}; ///< as given to `Check`
  std::string mPath{}; ///< JSON pointer (RFC 6901), for example "/owners/kitamura"; "" is the root
  std::string mWhat{}; ///< what is wrong, with the value found
  std::string mRemedy{};
};

/// "<file>: error: <path>: <what is wrong>; <remedy>".
std::string ToString(const problem& aProblem);

/// The findings, one a line.
std::string ToString(const std::vector<problem>& aProblems);

/// Whether there is an error among the problems.
bool HasErrors(const std::vector<problem>& aProblems);

/// What `Check` found. The tree is complete only if there are no errors.
struct check_result
{
  std::vector<problem> mProblems{}; ///< by place in the tree, with the errors in references last
  nlohmann::json mJson;             ///< without comments
  tree mTree{};

  bool IsAccepted() const { return !HasErrors(mProblems); }
};

/// The largest settings text. 1,300 servers, 6 models and 20 client accounts need about 100 KB.
constexpr std::size_t kMaxTextBytes = 1048576;

/// Deepest nesting of objects and arrays that is read; the settings need 10.
constexpr int kMaxDepth = 32;

/// Parses and checks a settings text: JSON with comments in UTF-8. Finds all errors at once, except
/// that a text that is no JSON has only the first.
check_result Check(std::string_view aText, const std::string& aFile);

/// Checks a tree that is JSON already.
check_result CheckJson(const nlohmann::json& aTree, const std::string& aFile);

/// Returns the tree. Throws `error` of kind `InvalidInput` that lists the errors.
tree Parse(const nlohmann::json& aTree);

namespace internal {

/// Reads the text as JSON; adds a problem and returns null if it is oversized, not UTF-8, too deep
/// or not JSON. Names that occur twice in an object are problems too.
nlohmann::json ReadText(std::string_view aText, const std::string& aFile,
                        std::vector<problem>& aProblems);

/// Returns the offset of the first byte that is not part of valid UTF-8, or `npos`.
std::size_t FindBadUtf8(std::string_view aText);

/// Appends a name to a JSON pointer, with `~` and `/` escaped.
std::string Append(const std::string& aPath, const std::string& aName);

/// Adds errors for references that do not resolve, and warnings for overrides without effect.
void CheckReferences(const tree& aTree, const std::string& aFile, std::vector<problem>& aProblems);

} // namespace internal
} // namespace tamarackweir::settings
