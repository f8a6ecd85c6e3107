#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "platform/endpoint.h"

#include <caf/all.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace tamarackweir::cli {

/// Exit codes of `tamarackweir`; docs/cli.md lists them for users.
enum class exit_code
{
  Success = 0,
  Refused = 1,     ///< the instance refused, or a check found errors
  Usage = 2,       ///< the command line or a file is wrong
  Conflict = 3,    ///< somebody else changed the settings first
  Unreachable = 4, ///< no instance answered, or the outcome is not known
  NotInForce = 5,  ///< accepted, but not confirmed by all instances in the time given
};

/// An operation that failed, with the exit code that tells scripts why.
class command_error : public std::runtime_error
{
public:
  command_error(exit_code aCode, const std::string& aMessage)
    : std::runtime_error(aMessage)
    , mCode(aCode)
  {
  }

  exit_code Code() const { return mCode; }

private:
  exit_code mCode;
};

/// How to reach the instances.
struct client_options
{
  std::vector<platform::endpoint> mInstances; ///< operators' addresses; tried in turn
  std::string mKey;                           ///< the operator's key
};

/// Calls the operator API of the first instance that answers.
class operator_client
{
public:
  operator_client(caf::actor_system& aSystem, client_options aOptions);

  /// `GET` from any instance. Throws `command_error`.
  nlohmann::json Get(const std::string& aPath) const;

  /// `GET` from every instance; instances that do not answer are left out.
  std::vector<nlohmann::json> GetAll(const std::string& aPath) const;

  /// An accepted change.
  struct accepted
  {
    revision mRevision;
    std::string mMessage;
  };

  /// Proposes a tree on top of a base revision. A lost answer is settled by sending the same change
  /// id again. Throws `command_error` with `Conflict`, `Refused` or `Unreachable`.
  accepted Propose(const nlohmann::json& aTree, revision aBase) const;

  /// Reads the settings, edits them and proposes the result; on a conflict, up to five times from
  /// the new head.
  accepted Edit(const std::function<void(nlohmann::json& aTree)>& aEdit) const;

  /// Waits until all live instances have confirmed the revision. Returns those that have not when
  /// the time is up.
  std::vector<std::string> AwaitInForce(revision aRevision, duration aTimeout) const;

  /// Suspends this thread on the runtime's clock.
  void Pause(duration aDuration) const;

private:
  caf::actor_system& mSystem;
  client_options mOptions;
};

} // namespace tamarackweir::cli
