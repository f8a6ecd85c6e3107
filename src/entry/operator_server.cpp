#include "entry/operator_server.h"

#include "base/error.h"
#include "billing/bill.h"
#include "entry/http_support.h"
#include "platform/http_clients.h"
#include "settings/check.h"
#include "settings/diff.h"

#include <charconv>

namespace tamarackweir::entry {

using nlohmann::json;

namespace {

constexpr std::size_t kOperatorThreads = 8;

/// The operator with this key in a tree.
std::optional<settings::author> FindOperator(const settings::tree& aTree,
                                             const std::string& aDigest)
{
  for (const auto& [ownerId, owner] : aTree.mOwners) {
    for (const auto& [operatorId, account] : owner.mOperators) {
      if (account.mKeys.contains(settings::key_digest(aDigest))) {
        return settings::author{ ownerId, operatorId, false };
      }
    }
  }
  return std::nullopt;
}

/// The operator who sent the request, or a refusal that has been written. Before the first revision
/// there is nobody in force, so the proposed tree names the operators.
std::optional<settings::author> Authenticate(const runtime& aRuntime,
                                             const httplib::Request& aRequest,
                                             httplib::Response& aResponse,
                                             const settings::tree* aProposed = nullptr)
{
  const settings_view view = aRuntime.mPublished.Get();
  const settings::tree* tree = view.mTree != nullptr ? view.mTree.get() : aProposed;
  if (const auto digest = BearerDigest(aRequest); digest && tree != nullptr) {
    if (auto author = FindOperator(*tree, *digest)) {
      return author;
    }
  }
  Answer(aResponse, NotRun(401, "unauthenticated", "The key is missing or not an operator's",
                           "give an operator's key, for example with --key-file"));
  return std::nullopt;
}

int StatusOf(settings::acceptance_status aStatus)
{
  switch (aStatus) {
    case settings::acceptance_status::Accepted:
      return 200;
    case settings::acceptance_status::Conflict:
      return 409;
    case settings::acceptance_status::Refused:
      return 422;
    case settings::acceptance_status::Unavailable:
      return 503;
    case settings::acceptance_status::Unknown:
      return 504;
  }
  return 500;
}

void HandlePropose(const runtime& aRuntime, const httplib::Request& aRequest,
                   httplib::Response& aResponse)
{
  const json body = json::parse(aRequest.body, nullptr, false);
  if (!body.is_object() || !body.contains("base") || !body.at("base").is_number_unsigned() ||
      !body.contains("change_id") || !body.at("change_id").is_string() || !body.contains("tree")) {
    Answer(aResponse, NotRun(400, "invalid-request", "The proposal is malformed",
                             "send base, change_id and tree"));
    return;
  }
  // Without settings the instance can't tell operators from others; only a first revision names its
  // own operators, and the table accepts it only while it has no head.
  if (aRuntime.mPublished.Get().mTree == nullptr && body.at("base") != 0) {
    Answer(aResponse, NotRun(503, "not-ready", "The instance has no settings yet",
                             "send the proposal to an instance that is ready"));
    return;
  }
  const settings::check_result checked = settings::CheckJson(body.at("tree"), "proposal");
  if (!checked.IsAccepted()) {
    Answer(aResponse, NotRun(422, "settings-invalid", "The settings have errors",
                             settings::ToString(checked.mProblems)));
    return;
  }
  const auto author = Authenticate(aRuntime, aRequest, aResponse, &checked.mTree);
  if (!author) {
    return;
  }
  const auto reply =
    Ask(aRuntime, control::propose{ { settings::change_id(body.at("change_id")),
                                      revision(body.at("base").get<std::uint64_t>()),
                                      body.at("tree"), *author } });
  const auto* outcome = std::get_if<settings::acceptance_outcome>(&reply);
  if (outcome == nullptr) {
    Answer(aResponse, std::get<problem>(reply));
    return;
  }
  AnswerJson(aResponse, { { "status", settings::ToString(outcome->mStatus) },
                          { "revision", outcome->mRevision.Value() },
                          { "message", outcome->mMessage } });
  aResponse.status = StatusOf(outcome->mStatus);
}

/// Answers with the report that an event gives.
void AnswerReport(const runtime& aRuntime, httplib::Response& aResponse,
                  control::request_event aEvent)
{
  const auto reply = Ask(aRuntime, std::move(aEvent));
  if (const auto* report = std::get_if<control::report>(&reply)) {
    AnswerJson(aResponse, report->mBody);
  } else if (const auto* refusal = std::get_if<problem>(&reply)) {
    Answer(aResponse, *refusal);
  }
}

std::optional<std::uint64_t> NumberParameter(const httplib::Request& aRequest,
                                             const std::string& aName)
{
  const std::string text = aRequest.get_param_value(aName);
  std::uint64_t number = 0;
  const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (failure != std::errc() || end != text.data() + text.size() || text.empty()) {
    return std::nullopt;
  }
  return number;
}

json ToJson(const billing::owner_total& aTotal)
{
  return { { "records", aTotal.mRecords },
           { "prompt_tokens", aTotal.mPrompt.Value() },
           { "answer_tokens", aTotal.mAnswer.Value() },
           { "micro_cost", aTotal.mCost.Value() } };
}

/// What an owner needs to check the bill: the owners of all client accounts and the origins'
/// watermarks. Nothing if the table does not answer, because without watermarks no missing record
/// would be found.
std::optional<billing::verification_reference> AccountsToVerify(const runtime& aRuntime,
                                                                const settings::tree& aTree)
{
  billing::verification_reference accounts;
  for (const auto& [ownerId, owner] : aTree.mOwners) {
    for (const auto& [account, definition] : owner.mAccounts) {
      accounts.mOwners[account] = ownerId;
    }
  }
  const auto rows = platform::Read(aRuntime.mSettings.mTable, { {}, "bill/watermark/" });
  if (!rows.mReachable) {
    return std::nullopt;
  }
  for (const platform::row& row : rows.mRows) {
    accounts.mWatermarks[row.mKey.substr(std::string("bill/watermark/").size())] =
      billing::sequence_number(row.mValue.value("sequence", std::uint64_t{ 0 }));
  }
  return accounts;
}

void HandleBill(const runtime& aRuntime, httplib::Response& aResponse)
{
  const auto unavailable = [&] {
    Answer(aResponse,
           NotRun(503, "store-unreachable", "The table or the object store does not answer",
                  "try again when the store is up"));
  };
  // The watermarks are read before the objects, so that a record below them must be in the objects.
  const settings_view view = aRuntime.mPublished.Get();
  const std::optional<billing::verification_reference> accounts =
    AccountsToVerify(aRuntime, *view.mTree);
  const auto keys = platform::ListObjects(aRuntime.mSettings.mObjects, "bills/");
  if (!accounts || !keys) {
    unavailable();
    return;
  }
  std::vector<billing::stored_object> objects;
  for (const std::string& key : *keys) {
    auto body = platform::GetObject(aRuntime.mSettings.mObjects, key);
    if (!body) {
      unavailable();
      return;
    }
    objects.push_back({ key, std::move(*body) });
  }
  const billing::verification verified = billing::Verify(objects, *accounts);
  json totals = json::object();
  for (const auto& [owner, total] : verified.mBill.mTotals) {
    totals[owner.Value()] = ToJson(total);
  }
  json findings = json::array();
  for (const auto& [kind, where, detail] : verified.mFindings) {
    findings.push_back(
      { { "kind", billing::ToString(kind) }, { "where", where }, { "detail", detail } });
  }
  AnswerJson(aResponse, { { "objects", objects.size() },
                          { "duplicates", verified.mBill.mDuplicates },
                          { "owners", totals },
                          { "findings", findings } });
}

/// Serves a path to operators.
void ServeOperators(httplib::Server& aServer, const runtime& aRuntime, const std::string& aPath,
                    std::function<void(const httplib::Request&, httplib::Response&)> aHandler)
{
  aServer.Get(aPath, [&aRuntime, handler = std::move(aHandler)](const httplib::Request& aRequest,
                                                                httplib::Response& aResponse) {
    if (Authenticate(aRuntime, aRequest, aResponse)) {
      handler(aRequest, aResponse);
    }
  });
}

void AddHealth(httplib::Server& aServer, const runtime& aRuntime)
{
  aServer.Get("/healthz", [](const httplib::Request&, httplib::Response& aResponse) {
    aResponse.set_content("ok\n", "text/plain");
  });
  aServer.Get("/readyz", [&aRuntime](const httplib::Request&, httplib::Response& aResponse) {
    const auto reply = Ask(aRuntime, control::read_status{}, 2s);
    const auto* report = std::get_if<control::report>(&reply);
    const bool ready = report != nullptr && report->mBody.value("ready", false);
    aResponse.status = ready ? 200 : 503;
    aResponse.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
  });
  aServer.Get("/metrics", [&aRuntime](const httplib::Request&, httplib::Response& aResponse) {
    body_memory& memory = aRuntime.mCallerMemory;
    aRuntime.mMetrics.Set("tamarackweir_caller_bytes", static_cast<double>(memory.Used()));
    aResponse.set_content(aRuntime.mMetrics.Render(), "text/plain; version=0.0.4");
  });
}

} // namespace

operator_server::operator_server(const runtime& aRuntime)
  : mServer(std::make_unique<httplib::Server>())
{
  mServer->new_task_queue = [] { return new httplib::ThreadPool(kOperatorThreads); };
  mServer->set_tcp_nodelay(true);
  AddHealth(*mServer, aRuntime);
  mServer->Post("/operator/settings",
                [&aRuntime](const httplib::Request& aRequest, httplib::Response& aResponse) {
                  HandlePropose(aRuntime, aRequest, aResponse);
                });
  ServeOperators(
    *mServer, aRuntime, "/operator/settings",
    [&aRuntime](const httplib::Request&, httplib::Response& aResponse) {
      const settings_view view = aRuntime.mPublished.Get();
      AnswerJson(aResponse, { { "revision", view.mRevision.Value() }, { "tree", *view.mJson } });
    });
  ServeOperators(
    *mServer, aRuntime, "/operator/unconfirmed",
    [&aRuntime](const httplib::Request& aRequest, httplib::Response& aResponse) {
      if (const auto number = NumberParameter(aRequest, "revision")) {
        AnswerReport(aRuntime, aResponse, control::read_unconfirmed{ revision(*number) });
      } else {
        Answer(aResponse,
               NotRun(400, "invalid-request", "The revision is missing", "add ?revision=<number>"));
      }
    });
  ServeOperators(*mServer, aRuntime, "/operator/history",
                 [&aRuntime](const httplib::Request&, httplib::Response& aResponse) {
                   AnswerReport(aRuntime, aResponse, control::read_history{});
                 });
  ServeOperators(*mServer, aRuntime, "/operator/status",
                 [&aRuntime](const httplib::Request&, httplib::Response& aResponse) {
                   AnswerReport(aRuntime, aResponse, control::read_status{});
                 });
  ServeOperators(*mServer, aRuntime, R"(/operator/traces/([0-9a-f]{32}))",
                 [&aRuntime](const httplib::Request& aRequest, httplib::Response& aResponse) {
                   AnswerJson(aResponse, aRuntime.mSpans.Export(aRequest.matches[1]));
                 });
  ServeOperators(*mServer, aRuntime, "/operator/bill",
                 [&aRuntime](const httplib::Request&, httplib::Response& aResponse) {
                   HandleBill(aRuntime, aResponse);
                 });
  mThread = Serve(*mServer, aRuntime.mSettings.mOperators, "operators");
}

operator_server::~operator_server()
{
  mServer->stop();
  mThread.join();
}

} // namespace tamarackweir::entry
