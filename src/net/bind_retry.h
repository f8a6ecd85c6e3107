#pragma once

#include "net/loop.h"

#include <functional>
#include <string>

namespace tamarackweir::net {

/// Whether an address that could not be bound may be free, or exist, a moment later.
bool MayBindLater(const error_code& aFailure);

/// Calls `aBind` until it returns no error, or `operation_aborted`. Logs the failure once a second.
/// \param aAddress for the log
task<> BindLater(asio::any_io_executor aExecutor, std::string aAddress,
                 std::function<error_code()> aBind);

/// "IP:PORT".
std::string ToString(const tcp::endpoint& aAddress);

} // namespace tamarackweir::net
