#include "base/error.h"

namespace tamarackweir {

const char* ToString(error_kind aKind)
{
  switch (aKind) {
    case error_kind::InvalidInput:
      return "invalid_input";
    case error_kind::NotAllowed:
      return "not_allowed";
    case error_kind::NotFound:
      return "not_found";
    case error_kind::Conflict:
      return "conflict";
    case error_kind::Unavailable:
      return "unavailable";
    case error_kind::Unknown:
      return "unknown";
  }
  return "unknown";
}

error::error(error_kind aKind, const std::string& aWhat, const std::string& aRemedy)
  : std::runtime_error(aWhat + "; " + aRemedy)
  , mKind(aKind)
  , mRemedy(aRemedy)
{
}

} // namespace tamarackweir
