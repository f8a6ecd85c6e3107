#include "cli/commands.h"

#include <iostream>
#include <sstream>

namespace tamarackweir::cli {

using nlohmann::json;

namespace {

exit_code RunStatus(const context& aContext)
{
  const auto answers = aContext.Client().GetAll("/operator/status");
  std::ostringstream text;
  for (const json& status : answers) {
    text << status.at("instance").get<std::string>() << "  "
         << status.at("data_centre").get<std::string>()
         << (status.at("ready").get<bool>() ? "  ready" : "  not ready") << "  revision "
         << status.at("revision") << "  settings " << status.at("settings").get<std::string>()
         << "  active " << status.at("active_requests") << "  bills at risk "
         << status.at("bill_records_at_risk") << "\n";
    for (const json& server : status.at("servers")) {
      text << "    " << server.at("id").get<std::string>() << "  "
           << server.at("data_centre").get<std::string>() << "  load " << server.at("load") << "/"
           << server.at("capacity") << (server.at("cold").get<bool>() ? "  cold" : "")
           << (server.at("ejected").get<bool>() ? "  ejected" : "")
           << (server.at("leaving").get<bool>() ? "  leaving" : "") << "\n";
    }
  }
  Print(aContext, answers, text.str());
  return exit_code::Success;
}

exit_code RunBill(const context& aContext, bool aVerify)
{
  const json bill = aContext.Client().Get("/operator/bill");
  std::ostringstream text;
  for (const auto& [owner, total] : bill.at("owners").items()) {
    text << owner << "  " << total.at("records") << " requests  " << total.at("prompt_tokens")
         << " prompt tokens  " << total.at("answer_tokens") << " answer tokens  cost "
         << total.at("micro_cost") << " micro-units\n";
  }
  const json& findings = bill.at("findings");
  if (aVerify) {
    for (const json& finding : findings) {
      text << finding.at("kind").get<std::string>() << "  "
           << finding.at("where").get<std::string>() << "  "
           << finding.at("detail").get<std::string>() << "\n";
    }
    text << "recomputed from " << bill.at("objects") << " objects, " << bill.at("duplicates")
         << " duplicate records counted once, " << findings.size() << " findings\n";
  }
  Print(aContext, bill, text.str());
  return aVerify && !findings.empty() ? exit_code::Refused : exit_code::Success;
}

/// Prints the spans below a parent, indented by depth.
void PrintSpans(std::ostream& aOut, const std::vector<json>& aSpans, const std::string& aParent,
                int aDepth)
{
  for (const json& span : aSpans) {
    if (span.value("parentId", "") != aParent) {
      continue;
    }
    aOut << std::string(static_cast<std::size_t>(aDepth) * 2, ' ')
         << span.at("name").get<std::string>() << "  " << span.at("duration") << " us  "
         << span.at("localEndpoint").at("serviceName").get<std::string>() << "  "
         << span.at("tags").dump() << "\n";
    PrintSpans(aOut, aSpans, span.at("id").get<std::string>(), aDepth + 1);
  }
}

exit_code RunTrace(const context& aContext, const std::string& aId)
{
  std::vector<json> spans;
  for (const json& answer : aContext.Client().GetAll("/operator/traces/" + aId)) {
    spans.insert(spans.end(), answer.begin(), answer.end());
  }
  if (spans.empty()) {
    throw command_error(exit_code::Refused, "no instance holds spans of the trace " + aId +
                                              "; instances keep the latest 20,000 spans");
  }
  std::ostringstream text;
  PrintSpans(text, spans, "", 0);
  if (text.str().empty()) { // the caller's own span is the root and is not held here
    PrintSpans(text, spans, spans.front().value("parentId", ""), 0);
  }
  Print(aContext, spans, text.str());
  return exit_code::Success;
}

} // namespace

void AddReportCommands(CLI::App& aApp, context& aContext)
{
  aApp.add_subcommand("status", "show instances and backend servers as each instance sees them")
    ->footer("Example: tamarackweir --instance 127.0.0.1:7401 --instance 127.0.0.1:7402 --key-file "
             "op.key status")
    ->callback([&aContext] { aContext.mCommand = [&aContext] { return RunStatus(aContext); }; });

  const auto verify = std::make_shared<bool>(false);
  CLI::App* bill = aApp.add_subcommand("bill", "show both owners' bills");
  bill->add_flag("--verify", *verify,
                 "recompute the bills from all records and list what disagrees");
  bill->footer("Example: tamarackweir bill --verify");
  bill->callback([&aContext, verify] {
    aContext.mCommand = [&aContext, verify] { return RunBill(aContext, *verify); };
  });

  const auto trace = std::make_shared<std::string>();
  CLI::App* traces = aApp.add_subcommand("trace", "show the spans of a request");
  traces->add_option("ID", *trace, "trace id: 32 hexadecimal digits, from the traceparent header")
    ->required();
  traces->footer("Example: tamarackweir trace 0af7651916cd43dd8448eb211c80319c --json");
  traces->callback([&aContext, trace] {
    aContext.mCommand = [&aContext, trace] { return RunTrace(aContext, *trace); };
  });
}

} // namespace tamarackweir::cli
