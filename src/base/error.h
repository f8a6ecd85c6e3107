#pragma once

#include <stdexcept>
#include <string>

namespace tamarackweir {

/// What went wrong, as far as a caller of the function must tell the cases apart.
enum class error_kind
{
  InvalidInput, ///< the input is malformed or breaks a rule; the same call fails again
  NotAllowed,   ///< the caller lacks the right
  NotFound,     ///< the named thing does not exist
  Conflict,     ///< somebody else changed the state first
  Unavailable,  ///< a dependency can't be reached and nothing was done
  Unknown,      ///< the call may or may not have taken effect
};

/// The lower-case name of a kind, as logs and problem documents show it.
const char* ToString(error_kind aKind);

/// An error with a kind and a remedy; `what()` is "<what is wrong>; <remedy>".
class error : public std::runtime_error
{
public:
  /// \param aWhat what is wrong, with the value that was found
  /// \param aRemedy what the reader can do about it
  error(error_kind aKind, const std::string& aWhat, const std::string& aRemedy);

  error_kind Kind() const { return mKind; }
  const std::string& Remedy() const { return mRemedy; }

private:
  error_kind mKind;
  std::string mRemedy;
};

} // namespace tamarackweir
