#pragma once

#include "cli/operator_client.h"

#include <CLI/CLI.hpp>
#include <functional>
#include <memory>
#include <string>

namespace tamarackweir::cli {

/// What all commands share.
struct context
{
  caf::actor_system& mSystem;
  std::vector<std::string> mInstances; ///< `--instance`
  std::string mKeyFile;                ///< `--key-file`
  bool mJson = false;                  ///< `--json`
  double mWaitSeconds = 10;            ///< `--wait`
  std::function<exit_code()> mCommand; ///< set by the subcommand that was named

  /// A client for the given instances and key. Throws `command_error` if they are missing or
  /// malformed.
  operator_client Client() const;
};

/// Prints JSON if `--json` was given, else the text.
void Print(const context& aContext, const nlohmann::json& aJson, const std::string& aText);

/// Prints an accepted change, and waits until it is in force everywhere if `--wait` is above zero.
exit_code ReportChange(const context& aContext, const operator_client& aClient,
                       const operator_client::accepted& aAccepted);

/// Each adds its subcommands to the command line.
void AddConfigCommands(CLI::App& aApp, context& aContext);
void AddFleetCommands(CLI::App& aApp, context& aContext);
void AddReportCommands(CLI::App& aApp, context& aContext);

} // namespace tamarackweir::cli
