#include "base/error.h"
#include "bench/commands.h"
#include "cli/commands.h"

#include <easylogging++.h>
#include <fstream>
#include <iostream>

INITIALIZE_EASYLOGGINGPP

namespace tamarackweir::cli {

operator_client context::Client() const
{
  client_options options;
  for (const std::string& instance : mInstances) {
    options.mInstances.push_back(platform::ParseEndpoint(instance));
  }
  if (options.mInstances.empty()) {
    throw command_error(
      exit_code::Usage,
      "no instance is given; add --instance <IP:port> or set TAMARACKWEIR_INSTANCE");
  }
  std::ifstream in(mKeyFile);
  if (!(in >> options.mKey)) {
    throw command_error(exit_code::Usage,
                        "the key file '" + mKeyFile +
                          "' can't be read; give --key-file or set TAMARACKWEIR_KEY_FILE");
  }
  return { mSystem, std::move(options) };
}

void Print(const context& aContext, const nlohmann::json& aJson, const std::string& aText)
{
  if (aContext.mJson) {
    std::cout << aJson.dump(2) << "\n";
  } else {
    std::cout << aText;
  }
}

exit_code ReportChange(const context& aContext, const operator_client& aClient,
                       const operator_client::accepted& aAccepted)
{
  nlohmann::json result{ { "revision", aAccepted.mRevision.Value() } };
  const std::string accepted =
    "accepted as revision " + std::to_string(aAccepted.mRevision.Value()) + "\n";
  if (aContext.mWaitSeconds <= 0) {
    Print(aContext, result, accepted);
    return exit_code::Success;
  }
  if (!aContext.mJson) {
    std::cout << accepted << std::flush; // progress, before the wait
  }
  const auto missing = aClient.AwaitInForce(
    aAccepted.mRevision, duration(static_cast<std::int64_t>(aContext.mWaitSeconds * 1e6)));
  result["unconfirmed"] = missing;
  std::string text = "in force on all live instances\n";
  if (!missing.empty()) {
    text = "not confirmed by:";
    for (const std::string& instance : missing) {
      text += " " + instance;
    }
    text += "\n";
  }
  Print(aContext, result, text);
  return missing.empty() ? exit_code::Success : exit_code::NotInForce;
}

namespace {

int Run(int aCount, char** aArguments)
{
  caf::actor_system_config config;
  caf::actor_system system(config);
  context shared{ .mSystem = system, .mInstances = {}, .mKeyFile = {}, .mCommand = {} };
  CLI::App app{ "tamarackweir: operates the tamarackweir model router" };
  app.require_subcommand(1);
  app.fallthrough();
  app
    .add_option("--instance", shared.mInstances,
                "operators' address of an instance; repeat for more")
    ->envname("TAMARACKWEIR_INSTANCE");
  app.add_option("--key-file", shared.mKeyFile, "file with the operator's key")
    ->envname("TAMARACKWEIR_KEY_FILE");
  app.add_flag("--json", shared.mJson, "print JSON");
  app.add_option(
    "--wait", shared.mWaitSeconds,
    "after a change, wait this many seconds until it is in force everywhere; 0 does not wait");
  app.footer("Exit codes: 0 done, 1 refused or errors found, 2 wrong usage, 3 conflict with "
             "another change,\n"
             "4 no instance answered or the outcome is not known, 5 accepted but not yet in force "
             "everywhere.");
  AddConfigCommands(app, shared);
  AddFleetCommands(app, shared);
  AddReportCommands(app, shared);
  bench::AddBenchCommands(app, shared);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& failure) {
    return app.exit(failure) == 0 ? 0 : static_cast<int>(exit_code::Usage);
  }
  try {
    return static_cast<int>(shared.mCommand());
  } catch (const command_error& failure) {
    std::cerr << "tamarackweir: " << failure.what() << "\n";
    return static_cast<int>(failure.Code());
  } catch (const error& failure) {
    std::cerr << "tamarackweir: " << failure.what() << "\n";
    return static_cast<int>(exit_code::Usage);
  }
}

} // namespace
} // namespace tamarackweir::cli

int main(int argc, char** argv)
{
  return tamarackweir::cli::Run(argc, argv);
}
