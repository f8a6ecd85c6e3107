#pragma once

#include "base/clock.h"

#include <optional>
#include <string>

namespace tamarackweir {

/// What a refusal says about the request.
enum class outcome
{
  NotRun,  ///< no backend server began to run it
  Unknown, ///< it may have run, wholly or in part
};

/// A refusal, as a caller gets it: a problem document of RFC 9457.
struct problem
{
  int mStatus = 500;
  std::string mType; ///< short name, appended to "urn:tamarackweir:problem:"
  std::string mTitle;
  std::string mDetail; ///< names what was found and the remedy
  outcome mOutcome = outcome::NotRun;
  std::optional<duration> mRetryAfter; ///< rounded up to whole seconds
};

/// The JSON text of a problem document.
std::string ToJson(const problem& aProblem);

} // namespace tamarackweir
