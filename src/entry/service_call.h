#pragma once

#include "entry/runtime.h"

#include <string>
#include <variant>

namespace tamarackweir::entry {

/// A call of a plain service, after authentication.
struct service_input
{
  account_id mAccount;
  settings::call_work mWork;
  std::string mBody;
  std::string mIdempotencyKey; ///< or empty
  std::string mTraceParent;    ///< or empty
};

/// The service's answer.
struct service_answer
{
  int mStatus = 200;
  std::string mBody;
  bool mWasStored = false; ///< the call ran before; this is its stored outcome
};

/// Runs a call. One that may not be repeated is claimed first and sent at most once in the fleet; a
/// repeatable one is sent again once if no whole answer came.
std::variant<service_answer, problem> RunServiceCall(const runtime& aRuntime,
                                                     const service_input& aInput);

} // namespace tamarackweir::entry
