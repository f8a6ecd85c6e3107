#include "base/problem.h"

#include <nlohmann/json.hpp>

namespace tamarackweir {

std::string ToJson(const problem& aProblem)
{
  const nlohmann::json document{
    { "type", "urn:tamarackweir:problem:" + aProblem.mType },
    { "title", aProblem.mTitle },
    { "status", aProblem.mStatus },
    { "detail", aProblem.mDetail },
    { "outcome", aProblem.mOutcome == outcome::NotRun ? "not_run" : "unknown" },
  };
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace tamarackweir
