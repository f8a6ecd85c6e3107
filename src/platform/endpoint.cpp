#include "platform/endpoint.h"

#include "base/error.h"

#include <arpa/inet.h>
#include <charconv>

namespace tamarackweir::platform {

endpoint ParseEndpoint(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  endpoint result;
  in_addr address{};
  if (colon != std::string::npos) {
    result.mHost = aText.substr(0, colon);
    const char* first = aText.data() + colon + 1;
    const char* last = aText.data() + aText.size();
    const auto [end, failure] = std::from_chars(first, last, result.mPort);
    const bool portIsValid = failure == std::errc() && end == last && first != last &&
                             result.mPort >= 0 && result.mPort <= 65535;
    if (portIsValid && inet_pton(AF_INET, result.mHost.c_str(), &address) == 1) {
      return result;
    }
  }
  throw error(error_kind::InvalidInput, "'" + aText + "' is not an address",
              "write an IPv4 number and a port, as in 127.0.0.1:7001");
}

std::string ToString(const endpoint& aEndpoint)
{
  return aEndpoint.mHost + ":" + std::to_string(aEndpoint.mPort);
}

} // namespace tamarackweir::platform
