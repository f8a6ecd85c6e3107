#pragma once

#include "base/problem.h"
#include "entry/runtime.h"

#include <httplib.h>
#include <string>

namespace tamarackweir::entry {

/// Answers with a problem document.
void Answer(httplib::Response& aResponse, const problem& aProblem);

/// Answers with JSON and status 200.
void AnswerJson(httplib::Response& aResponse, const nlohmann::json& aBody);

/// The digest of the bearer key, or nothing if there is none.
std::optional<std::string> BearerDigest(const httplib::Request& aRequest);

/// Binds a server and runs it in a thread. Throws `error` of kind `Unavailable` if the address is
/// in use.
std::thread Serve(httplib::Server& aServer, const platform::endpoint& aAddress,
                  const std::string& aSetting);

/// A problem with outcome `not_run`.
problem NotRun(int aStatus, const std::string& aType, const std::string& aTitle,
               const std::string& aDetail);

} // namespace tamarackweir::entry
