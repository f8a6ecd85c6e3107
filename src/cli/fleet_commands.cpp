#include "cli/commands.h"

#include <iostream>

namespace tamarackweir::cli {

using nlohmann::json;

namespace {

/// The member of an object, or an error that names what exists.
json& Member(json& aObject, const std::string& aName, const std::string& aWhat)
{
  if (aObject.is_object() && aObject.contains(aName)) {
    return aObject.at(aName);
  }
  std::string known;
  for (const auto& [name, value] : aObject.items()) {
    known += (known.empty() ? "" : ", ") + name;
  }
  throw command_error(exit_code::Usage, "there is no " + aWhat + " '" + aName +
                                          "'; known: " + (known.empty() ? "none" : known));
}

exit_code Change(const context& aContext, const std::function<void(json&)>& aEdit)
{
  const operator_client client = aContext.Client();
  return ReportChange(aContext, client, client.Edit(aEdit));
}

exit_code SetDataCentre(const context& aContext, const std::string& aId, const std::string& aState)
{
  return Change(aContext, [&](json& aTree) {
    Member(aTree["fleet"]["data_centres"], aId, "data centre")["state"] = aState;
  });
}

exit_code SetVersion(const context& aContext, const std::string& aVersion,
                     const std::string& aState)
{
  const auto at = aVersion.find('@');
  if (at == std::string::npos) {
    throw command_error(exit_code::Usage,
                        "'" + aVersion + "' names no version; write model@version");
  }
  return Change(aContext, [&](json& aTree) {
    json& model = Member(aTree["fleet"]["models"], aVersion.substr(0, at), "model");
    Member(model["versions"], aVersion.substr(at + 1), "version")["state"] = aState;
  });
}

/// Options of the roll-out commands.
struct rollout_options
{
  std::string mOwner;
  std::string mModel;
  std::string mFrom;
  std::string mTo;
  double mShare = 0.01;
};

json& Rollout(json& aTree, const rollout_options& aOptions)
{
  json& owner = Member(aTree["owners"], aOptions.mOwner, "owner");
  return Member(owner["rollouts"], aOptions.mModel, "roll-out");
}

exit_code StartRollout(const context& aContext, const rollout_options& aOptions)
{
  return Change(aContext, [&](json& aTree) {
    Member(aTree["owners"], aOptions.mOwner,
           "owner")["rollouts"][aOptions.mModel] = { { "from", aOptions.mFrom },
                                                     { "to", aOptions.mTo },
                                                     { "share", aOptions.mShare },
                                                     { "state", "running" } };
  });
}

exit_code AdvanceRollout(const context& aContext, const rollout_options& aOptions)
{
  return Change(aContext, [&](json& aTree) {
    json& rollout = Rollout(aTree, aOptions);
    const double share = rollout.at("share").get<double>();
    for (const double step : { 0.01, 0.05, 0.25, 0.5, 1.0 }) {
      if (step > share) {
        rollout["share"] = step;
        rollout["state"] = "running";
        return;
      }
    }
    rollout["state"] = "done";
  });
}

exit_code HaltRollout(const context& aContext, const rollout_options& aOptions)
{
  return Change(aContext, [&](json& aTree) { Rollout(aTree, aOptions)["state"] = "halted"; });
}

exit_code RolloutStatus(const context& aContext)
{
  const json status = aContext.Client().Get("/operator/status");
  std::string text;
  for (const json& rollout : status.at("rollouts")) {
    text += rollout.at("owner").get<std::string>() + "/" + rollout.at("model").get<std::string>() +
            "  " + rollout.at("from").get<std::string>() + " -> " +
            rollout.at("to").get<std::string>() + "  share " + rollout.at("share").dump() +
            (rollout.at("running").get<bool>() ? "  running" : "  not running") + "  evidence " +
            rollout.at("evidence").dump() + "\n";
  }
  Print(aContext, status.at("rollouts"), text.empty() ? "no roll-outs\n" : text);
  return exit_code::Success;
}

/// Options of the account commands.
struct account_options
{
  std::string mOwner;
  std::string mId;
  std::vector<std::string> mKeys;
  std::vector<std::string> mAllow;
};

exit_code ListAccounts(const context& aContext)
{
  const json tree = aContext.Client().Get("/operator/settings").at("tree");
  json accounts = json::array();
  std::string text;
  for (const auto& [owner, definition] : tree.at("owners").items()) {
    const json ownAccounts = definition.value("accounts", json::object());
    for (const auto& [account, settingsOfAccount] : ownAccounts.items()) {
      const json allow = settingsOfAccount.value("allow", json::array());
      accounts.push_back({ { "owner", owner }, { "account", account }, { "allow", allow } });
      text += owner + "/" + account + "  " + allow.dump() + "\n";
    }
  }
  Print(aContext, accounts, text);
  return exit_code::Success;
}

exit_code AddAccount(const context& aContext, const account_options& aOptions)
{
  return Change(aContext, [&](json& aTree) {
    json& accounts = Member(aTree["owners"], aOptions.mOwner, "owner")["accounts"];
    if (accounts.is_object() && accounts.contains(aOptions.mId)) {
      throw command_error(exit_code::Usage,
                          "the client account '" + aOptions.mId +
                            "' exists; remove it first, or edit the settings file");
    }
    accounts[aOptions.mId] = { { "key_sha256", aOptions.mKeys }, { "allow", aOptions.mAllow } };
  });
}

exit_code RemoveAccount(const context& aContext, const account_options& aOptions)
{
  return Change(aContext, [&](json& aTree) {
    json& accounts = Member(aTree["owners"], aOptions.mOwner, "owner")["accounts"];
    Member(accounts, aOptions.mId, "client account");
    accounts.erase(aOptions.mId);
  });
}

void AddAccountCommands(CLI::App& aApp, context& aContext)
{
  CLI::App* account = aApp.add_subcommand("account", "list, add and remove client accounts");
  account->require_subcommand(1);
  const auto options = std::make_shared<account_options>();
  account->add_subcommand("list", "list the client accounts and what they may use")
    ->footer("Example: tamarackweir account list")
    ->callback([&aContext] { aContext.mCommand = [&aContext] { return ListAccounts(aContext); }; });
  CLI::App* add = account->add_subcommand("add", "add a client account");
  add->add_option("ID", options->mId, "name, unique over both owners")->required();
  add->add_option("--owner", options->mOwner, "the owner that pays")->required();
  add->add_option("--key-sha256", options->mKeys, "SHA-256 of a key, in hexadecimal digits")
    ->required();
  add->add_option("--allow", options->mAllow, "model, model@version, cascade or service")
    ->required();
  add->footer("Example: tamarackweir account add kiosk --owner kitamura --key-sha256 9f86.. "
              "--allow clerk-small");
  add->callback([&aContext, options] {
    aContext.mCommand = [&aContext, options] { return AddAccount(aContext, *options); };
  });
  CLI::App* remove = account->add_subcommand("remove", "remove a client account");
  remove->add_option("ID", options->mId, "the client account")->required();
  remove->add_option("--owner", options->mOwner, "its owner")->required();
  remove->footer("Example: tamarackweir account remove kiosk --owner kitamura");
  remove->callback([&aContext, options] {
    aContext.mCommand = [&aContext, options] { return RemoveAccount(aContext, *options); };
  });
}

void AddRolloutCommands(CLI::App& aApp, context& aContext)
{
  CLI::App* rollout =
    aApp.add_subcommand("rollout", "start, advance, halt and watch roll-outs of versions");
  rollout->require_subcommand(1);
  const auto options = std::make_shared<rollout_options>();
  const auto add = [&](const char* aName, const char* aHelp,
                       exit_code (*aRun)(const context&, const rollout_options&)) {
    CLI::App* command = rollout->add_subcommand(aName, aHelp);
    command->add_option("MODEL", options->mModel, "the model")->required();
    command->add_option("--owner", options->mOwner, "the owner of the roll-out")->required();
    command->footer(std::string("Example: tamarackweir rollout ") + aName +
                    " clerk-small --owner kitamura" +
                    (std::string(aName) == "start" ? " --from v1 --to v2 --share 0.01" : ""));
    command->callback([&aContext, options, aRun] {
      aContext.mCommand = [&aContext, options, aRun] { return aRun(aContext, *options); };
    });
    return command;
  };
  CLI::App* start = add("start", "begin to move sessions to a new version", StartRollout);
  start->add_option("--from", options->mFrom, "the old version")->required();
  start->add_option("--to", options->mTo, "the new version")->required();
  start->add_option("--share", options->mShare, "share of new sessions, 0 to 1")
    ->check(CLI::Range(0.0, 1.0));
  add("advance", "go to the next share (1%, 5%, 25%, 50%, 100%, done)", AdvanceRollout);
  add("halt", "send all new sessions to the old version", HaltRollout);
  rollout->add_subcommand("status", "show the roll-outs with their pooled evidence")
    ->footer("Example: tamarackweir rollout status --json")
    ->callback(
      [&aContext] { aContext.mCommand = [&aContext] { return RolloutStatus(aContext); }; });
}

} // namespace

void AddFleetCommands(CLI::App& aApp, context& aContext)
{
  AddAccountCommands(aApp, aContext);
  AddRolloutCommands(aApp, aContext);

  const auto version = std::make_shared<std::string>();
  CLI::App* versions = aApp.add_subcommand("version", "change the state of a model version");
  versions->require_subcommand(1);
  for (const auto& [name, state, help] :
       { std::tuple{ "withdraw", "withdrawn",
                     "give the version no more work, and end its sessions" },
         std::tuple{ "leave", "leaving", "let sessions end on the version, and start none" },
         std::tuple{ "activate", "active", "let the version take new sessions" } }) {
    CLI::App* command = versions->add_subcommand(name, help);
    command->add_option("VERSION", *version, "model@version")->required();
    command->footer(std::string("Example: tamarackweir version ") + name + " clerk-small@v1");
    command->callback([&aContext, version, newState = std::string(state)] {
      aContext.mCommand = [&aContext, version, newState] {
        return SetVersion(aContext, *version, newState);
      };
    });
  }

  const auto dataCentre = std::make_shared<std::string>();
  CLI::App* dataCentres =
    aApp.add_subcommand("data-centre", "take a data centre out of service or back in");
  dataCentres->require_subcommand(1);
  for (const char* state : { "out", "in" }) {
    CLI::App* command = dataCentres->add_subcommand(state, std::string(state) == "out"
                                                             ? "give the data centre no new work"
                                                             : "bring the data centre back");
    command->add_option("ID", *dataCentre, "the data centre")->required();
    command->footer(std::string("Example: tamarackweir data-centre ") + state +
                    " sapporo-a --wait 4");
    command->callback([&aContext, dataCentre, newState = std::string(state)] {
      aContext.mCommand = [&aContext, dataCentre, newState] {
        return SetDataCentre(aContext, *dataCentre, newState);
      };
    });
  }
}

} // namespace tamarackweir::cli
