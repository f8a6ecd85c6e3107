#pragma once

#include <string>

namespace tamarackweir::platform {

/// A TCP address by IP number.
struct endpoint
{
  std::string mHost;
  int mPort = 0;

  auto operator<=>(const endpoint&) const = default;
};

/// Parses "<IPv4>:<port>" with a port of 0 to 65535. Throws `error` of kind `InvalidInput` on any
/// other text; host names are refused, because instances talk by IP number.
endpoint ParseEndpoint(const std::string& aText);

/// Returns "<IPv4>:<port>".
std::string ToString(const endpoint& aEndpoint);

} // namespace tamarackweir::platform
