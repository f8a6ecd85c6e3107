#include "base/error.h"
#include "cli/commands.h"
#include "settings/check.h"
#include "settings/diff.h"
#include "settings/inherit.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace tamarackweir::cli {

using nlohmann::json;

namespace {

settings::check_result CheckFile(const std::string& aFile)
{
  std::ifstream in(aFile);
  if (!in) {
    throw command_error(exit_code::Usage, "the file '" + aFile +
                                            "' can't be read; check the path and the permissions");
  }
  std::ostringstream text;
  text << in.rdbuf();
  return settings::Check(text.str(), aFile);
}

json ToJson(const std::vector<settings::problem>& aProblems)
{
  json problems = json::array();
  for (const settings::problem& found : aProblems) {
    problems.push_back(
      { { "severity", found.mSeverity == settings::severity::Error ? "error" : "warning" },
        { "file", found.mFile },
        { "path", found.mPath },
        { "what", found.mWhat },
        { "remedy", found.mRemedy } });
  }
  return problems;
}

exit_code RunCheck(const context& aContext, const std::string& aFile)
{
  const settings::check_result checked = CheckFile(aFile);
  std::string text = settings::ToString(checked.mProblems);
  if (checked.IsAccepted()) {
    text += aFile + ": the settings are valid\n";
  }
  Print(aContext, { { "valid", checked.IsAccepted() }, { "problems", ToJson(checked.mProblems) } },
        text);
  return checked.IsAccepted() ? exit_code::Success : exit_code::Refused;
}

/// The checked tree of a file; prints the problems and throws if there are errors.
json LoadChecked(const std::string& aFile)
{
  settings::check_result checked = CheckFile(aFile);
  std::cerr << settings::ToString(checked.mProblems);
  if (!checked.IsAccepted()) {
    throw command_error(exit_code::Refused, "the settings have errors; correct them and try again");
  }
  return std::move(checked.mJson);
}

exit_code RunDiff(const context& aContext, const std::string& aFile)
{
  const json proposed = LoadChecked(aFile);
  const json current = aContext.Client().Get("/operator/settings");
  json differences = json::array();
  std::string text;
  for (const settings::difference& found : settings::Diff(current.at("tree"), proposed)) {
    text += settings::ToString(found) + "\n";
    differences.push_back({ { "path", found.mPath },
                            { "before", found.mBefore.value_or(json()) },
                            { "after", found.mAfter.value_or(json()) } });
  }
  if (text.empty()) {
    text = "no differences to revision " + current.at("revision").dump() + "\n";
  }
  Print(aContext, { { "base", current.at("revision") }, { "differences", differences } }, text);
  return exit_code::Success;
}

/// Options of `config apply`.
struct apply_options
{
  std::string mFile;
  std::optional<std::uint64_t> mBase;
};

exit_code RunApply(const context& aContext, const apply_options& aOptions)
{
  const json tree = LoadChecked(aOptions.mFile);
  const operator_client client = aContext.Client();
  std::uint64_t base = aOptions.mBase.value_or(0);
  if (!aOptions.mBase) {
    base = client.Get("/operator/settings").at("revision").get<std::uint64_t>();
  }
  return ReportChange(aContext, client, client.Propose(tree, revision(base)));
}

exit_code RunShow(const context& aContext, const std::string& aEffective)
{
  const json current = aContext.Client().Get("/operator/settings");
  if (aEffective.empty()) {
    std::cout << current.dump(2) << "\n";
    return exit_code::Success;
  }
  json values = json::object();
  std::string text;
  for (const auto& [key, value] :
       settings::Effective(settings::Parse(current.at("tree")), aEffective)) {
    values[key] = { { "value", value.mValue }, { "set_at", value.mPath } };
    text += key + " = " + value.mValue.dump() + "  (" +
            (value.mPath.empty() ? "built-in default" : value.mPath) + ")\n";
  }
  Print(aContext, { { "revision", current.at("revision") }, { "effective", values } }, text);
  return exit_code::Success;
}

exit_code RunHistory(const context& aContext)
{
  const json answer = aContext.Client().Get("/operator/history");
  std::string text;
  for (const json& entry : answer.at("history")) {
    text += entry.at("revision").dump() + "  " + entry.at("owner").get<std::string>() + "/" +
            entry.at("operator").get<std::string>() + "  ";
    for (const json& path : entry.at("paths")) {
      text += path.get<std::string>() + " ";
    }
    text += "\n";
  }
  Print(aContext, answer, text);
  return answer.at("reachable").get<bool>() ? exit_code::Success : exit_code::Unreachable;
}

} // namespace

void AddConfigCommands(CLI::App& aApp, context& aContext)
{
  CLI::App* config = aApp.add_subcommand("config", "check, compare, apply and show the settings");
  config->require_subcommand(1);

  const auto file = std::make_shared<std::string>();
  CLI::App* check = config->add_subcommand("check", "check a settings file and report all errors");
  check->add_option("FILE", *file, "settings file (JSON with comments)")->required();
  check->footer("Example: tamarackweir config check settings.json");
  check->callback([&aContext, file] {
    aContext.mCommand = [&aContext, file] { return RunCheck(aContext, *file); };
  });

  CLI::App* diff =
    config->add_subcommand("diff", "compare a settings file with the settings in force");
  diff->add_option("FILE", *file, "settings file")->required();
  diff->footer(
    "Example: tamarackweir --instance 127.0.0.1:7401 --key-file op.key config diff settings.json");
  diff->callback([&aContext, file] {
    aContext.mCommand = [&aContext, file] { return RunDiff(aContext, *file); };
  });

  const auto apply = std::make_shared<apply_options>();
  CLI::App* applied =
    config->add_subcommand("apply", "propose a settings file as the next revision");
  applied->add_option("FILE", apply->mFile, "settings file")->required();
  applied->add_option(
    "--base", apply->mBase,
    "the revision that the file was edited from; the default is the revision in force");
  applied->footer(
    "Example: tamarackweir --instance 127.0.0.1:7401 --key-file op.key config apply settings.json "
    "--base 12");
  applied->callback([&aContext, apply] {
    aContext.mCommand = [&aContext, apply] { return RunApply(aContext, *apply); };
  });

  const auto effective = std::make_shared<std::string>();
  CLI::App* show = config->add_subcommand("show", "print the settings in force");
  show->add_option("--effective", *effective,
                   "print the values in force at a path, with the place that sets each");
  show->footer("Example: tamarackweir --instance 127.0.0.1:7401 --key-file op.key config show "
               "--effective /owners/kitamura/accounts/depot");
  show->callback([&aContext, effective] {
    aContext.mCommand = [&aContext, effective] { return RunShow(aContext, *effective); };
  });

  CLI::App* history =
    config->add_subcommand("history", "list the latest revisions, who made them and what changed");
  history->footer(
    "Example: tamarackweir --instance 127.0.0.1:7401 --key-file op.key config history --json");
  history->callback(
    [&aContext] { aContext.mCommand = [&aContext] { return RunHistory(aContext); }; });
}

} // namespace tamarackweir::cli
