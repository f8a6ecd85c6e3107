#include "entry/caller_server.h"

#include "base/error.h"
#include "entry/bounded_server.h"
#include "entry/event_channel.h"
#include "entry/http_support.h"
#include "entry/pipeline.h"
#include "entry/service_call.h"
#include "relay/sse.h"
#include "settings/gate.h"
#include "settings/inherit.h"

#include <charconv>
#include <future>

namespace tamarackweir::entry {

using nlohmann::json;

namespace {

/// Bodies above it are refused while they arrive; the settings' `max_request_bytes` is checked
/// afterwards.
constexpr std::size_t kLargestBody = 64U << 20U;
/// A caller that sends or takes nothing for this long has gone.
constexpr duration kCallerTimeout = 30s;

/// The client account of a request, or a refusal that has been written to the response.
std::optional<account_id> Authenticate(const runtime& aRuntime, const httplib::Request& aRequest,
                                       httplib::Response& aResponse)
{
  const settings_view view = aRuntime.mPublished.Get();
  if (view.mTree == nullptr) {
    problem refusal = NotRun(503, "not-ready", "The instance has no settings yet",
                             "send the request to another instance");
    refusal.mRetryAfter = duration(1s);
    Answer(aResponse, refusal);
    return std::nullopt;
  }
  if (const auto digest = BearerDigest(aRequest)) {
    if (auto account = settings::FindAccountByKey(*view.mTree, settings::key_digest(*digest))) {
      return account;
    }
  }
  aResponse.set_header("WWW-Authenticate", "Bearer");
  Answer(aResponse, NotRun(401, "unauthenticated", "The key is missing or unknown",
                           "send 'Authorization: Bearer <key>' with a key of the client account"));
  return std::nullopt;
}

/// The caller's deadline in milliseconds, from the header `Tamarackweir-Deadline-Ms`. Throws
/// `error` if malformed.
std::optional<duration> DeadlineOf(const httplib::Request& aRequest)
{
  if (!aRequest.has_header("Tamarackweir-Deadline-Ms")) {
    return std::nullopt;
  }
  const std::string text = aRequest.get_header_value("Tamarackweir-Deadline-Ms");
  std::int64_t milliseconds = 0;
  const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (failure != std::errc() || end != text.data() + text.size() || milliseconds <= 0) {
    throw error(error_kind::InvalidInput, "Tamarackweir-Deadline-Ms is '" + text + "'",
                "write the deadline in milliseconds from now, above zero");
  }
  return std::chrono::milliseconds(milliseconds);
}

void AnswerPlain(httplib::Response& aResponse, const chat_result& aResult)
{
  if (const auto* answer = std::get_if<plain_answer>(&aResult.mAnswer)) {
    for (const auto& [name, value] : answer->mHeaders) {
      aResponse.set_header(name, value);
    }
    aResponse.set_content(answer->mBody, "application/json");
  } else if (const auto* refusal = std::get_if<problem>(&aResult.mAnswer)) {
    Answer(aResponse, *refusal);
  }
}

/// Runs a streamed request in a thread of its own and relays its events to the caller.
void AnswerStream(const runtime& aRuntime, httplib::Response& aResponse, chat_input aInput)
{
  const auto channel = std::make_shared<event_channel>();
  // The status line has to wait for the first event or the refusal, and httplib writes it before it
  // asks for content; so the request runs beside the handler and not inside the content provider.
  auto running = std::make_shared<std::future<chat_result>>(
    std::async(std::launch::async, [&aRuntime, channel, input = std::move(aInput)] {
      const stream_sink sink{ .mStart =
                                [&](const auto& aHeaders) { return channel->Start(aHeaders); },
                              .mEvent =
                                [&](const std::string& aData) {
                                  return channel->Write(relay::Encode({ {}, "", aData }));
                                } };
      chat_result result = RunChat(aRuntime, input, sink);
      channel->Finish();
      return result;
    }));
  const auto headers = channel->AwaitStart();
  if (!headers) {
    AnswerPlain(aResponse, running->get());
    return;
  }
  for (const auto& [name, value] : *headers) {
    aResponse.set_header(name, value);
  }
  aResponse.set_header("Cache-Control", "no-cache");
  aResponse.set_chunked_content_provider(
    "text/event-stream",
    [channel](std::size_t, httplib::DataSink& aSink) {
      std::string bytes;
      switch (channel->Read(bytes)) {
        case event_channel::read_state::Bytes:
          return aSink.write(bytes.data(), bytes.size());
        case event_channel::read_state::Waiting:
          return aSink.is_writable();
        case event_channel::read_state::Finished:
          aSink.done();
          return true;
      }
      return false;
    },
    [channel, running](bool) {
      channel->Cancel();
      running->wait();
    });
}

/// Handles a request whose body was read.
using body_handler = void (*)(const runtime&, const httplib::Request&, const std::string& aBody,
                              httplib::Response&);

/// Reads the body within the memory for all, and handles the request. A body that is dropped is
/// read to its end, so that the connection is at the next request.
httplib::Server::HandlerWithContentReader WithBody(const runtime& aRuntime, refusal_log& aRefusals,
                                                   body_handler aHandler)
{
  return [&aRuntime, &aRefusals, aHandler](const httplib::Request& aRequest,
                                           httplib::Response& aResponse,
                                           const httplib::ContentReader& aReader) {
    held_body body(aRuntime.mCallerMemory);
    const auto append = [&body](const char* aBytes, std::size_t aSize) {
      body.Append(aBytes, aSize);
      return true;
    };
    // The parts of a form are no body; the library calls other functions for them.
    const bool isRead = aRequest.is_multipart_form_data()
                          ? aReader([](const httplib::MultipartFormData&) { return true; },
                                    [](const char*, std::size_t) { return true; })
                          : aReader(append);
    const bool isHeld = body.Finish();
    if (!isRead) {
      return; // The library has set the status.
    }
    if (isHeld) {
      aHandler(aRuntime, aRequest, body.Text(), aResponse);
    } else {
      aRefusals.Record(read_end::NoMemory, body.Arrived());
      Answer(aResponse, NotRun(503, "memory-short", "The memory for requests is short",
                               "send a smaller request, or send it to another instance"));
    }
  };
}

void HandleChat(const runtime& aRuntime, const httplib::Request& aRequest, const std::string& aBody,
                httplib::Response& aResponse)
{
  const auto account = Authenticate(aRuntime, aRequest, aResponse);
  if (!account) {
    return;
  }
  chat_input input;
  try {
    const settings_view view = aRuntime.mPublished.Get();
    const settings::values values = settings::AccountValues(*view.mTree, *account);
    input = { .mAccount = *account,
              .mRequest = ParseChatRequest(aBody, values.mMaxRequestBytes.Value()),
              .mIdempotencyKey = aRequest.get_header_value("Idempotency-Key"),
              .mSession = aRequest.get_header_value("Tamarackweir-Session"),
              .mTraceParent = aRequest.get_header_value("traceparent"),
              .mDeadline = DeadlineOf(aRequest) };
  } catch (const error& failure) {
    Answer(aResponse, NotRun(400, "invalid-request", "The request is malformed", failure.what()));
    return;
  }
  if (input.mRequest.mStream) {
    AnswerStream(aRuntime, aResponse, std::move(input));
  } else {
    AnswerPlain(aResponse, RunChat(aRuntime, input, {}));
  }
}

void HandleModels(const runtime& aRuntime, const httplib::Request& aRequest,
                  httplib::Response& aResponse)
{
  const auto accountId = Authenticate(aRuntime, aRequest, aResponse);
  if (!accountId) {
    return;
  }
  const settings_view view = aRuntime.mPublished.Get();
  const auto account = settings::FindAccount(*view.mTree, *accountId);
  json models = json::array();
  const auto add = [&](const std::string& aId) {
    models.push_back(
      { { "id", aId }, { "object", "model" }, { "owned_by", account->mOwnerId->Value() } });
  };
  if (account) {
    const settings::allowance& allow = account->mAccount->mAllow;
    for (const auto& [model, definition] : view.mTree->mModels) {
      if (allow.mModels.contains(model)) {
        add(model.Value());
      }
      for (const auto& [version, state] : definition.mVersions) {
        const model_version named{ model, version };
        if (state == settings::version_state::Active &&
            (allow.mModels.contains(model) || allow.mVersions.contains(named))) {
          add(ToString(named));
        }
      }
    }
    for (const cascade_id& cascade : allow.mCascades) {
      add(cascade.Value());
    }
  }
  AnswerJson(aResponse, { { "object", "list" }, { "data", models } });
}

void HandleService(const runtime& aRuntime, const httplib::Request& aRequest,
                   const std::string& aBody, httplib::Response& aResponse)
{
  const auto account = Authenticate(aRuntime, aRequest, aResponse);
  if (!account) {
    return;
  }
  const auto result = RunServiceCall(
    aRuntime,
    { .mAccount = *account,
      .mWork = { service_id(aRequest.matches[1]), settings::call_id(aRequest.matches[2]) },
      .mBody = aBody,
      .mIdempotencyKey = aRequest.get_header_value("Idempotency-Key"),
      .mTraceParent = aRequest.get_header_value("traceparent") });
  if (const auto* refusal = std::get_if<problem>(&result)) {
    Answer(aResponse, *refusal);
    return;
  }
  const auto& answer = std::get<service_answer>(result);
  aResponse.status = answer.mStatus;
  if (answer.mWasStored) {
    aResponse.set_header("Idempotent-Replayed", "true");
  }
  aResponse.set_content(answer.mBody, "application/json");
}

/// Whether a route may take the request. Without a body the library answers on other paths too.
bool IsServed(const httplib::Request& aRequest)
{
  // std::regex takes stack for each character; a service and a call have names of up to 64.
  constexpr std::size_t kLongestPath = 256;
  if (aRequest.path.size() > kLongestPath) {
    return false;
  }
  const bool hasBody =
    aRequest.method != "GET" && aRequest.method != "HEAD" && aRequest.method != "OPTIONS";
  return !hasBody || (aRequest.method == "POST" && (aRequest.path == "/v1/chat/completions" ||
                                                    aRequest.path.starts_with("/v1/services/")));
}

bounded_server_options ServerOptions(const instance_settings& aSettings, refusal_log& aRefusals)
{
  bounded_server_options options;
  options.mThreads = static_cast<std::size_t>(aSettings.mCallerThreads);
  options.mStream.mLimits.mHeaderBytes = static_cast<std::size_t>(aSettings.mCallerHeaderKb) << 10U;
  options.mStream.mLimits.mHeaderTime = std::chrono::milliseconds(aSettings.mCallerHeaderMs);
  options.mStream.mReadTime = kCallerTimeout;
  options.mStream.mOnRefusal = [&aRefusals](read_end aEnd, std::size_t aBytes) {
    aRefusals.Record(aEnd, aBytes);
  };
  options.mIsServed = IsServed;
  return options;
}

} // namespace

caller_server::caller_server(const runtime& aRuntime)
  : mRefusals(aRuntime.mMetrics, aRuntime.mCallerMemory)
  , mServer(std::make_unique<bounded_server>(aRuntime.mCallerMemory,
                                             ServerOptions(aRuntime.mSettings, mRefusals)))
{
  mServer->set_payload_max_length(kLargestBody);
  mServer->set_tcp_nodelay(true);
  mServer->Post("/v1/chat/completions", WithBody(aRuntime, mRefusals, HandleChat));
  mServer->Get("/v1/models",
               [&aRuntime](const httplib::Request& aRequest, httplib::Response& aResponse) {
                 HandleModels(aRuntime, aRequest, aResponse);
               });
  mServer->Post(R"(/v1/services/([^/]+)/([^/]+))", WithBody(aRuntime, mRefusals, HandleService));
  mServer->set_error_handler([](const httplib::Request&, httplib::Response& aResponse) {
    if (aResponse.body.empty()) {
      Answer(aResponse, NotRun(aResponse.status, "http", "The request can't be served",
                               "check the path, the method and the size of the request"));
    }
  });
  mThread = Serve(*mServer, aRuntime.mSettings.mCallers, "callers");
}

caller_server::~caller_server()
{
  mServer->stop();
  mThread.join();
}

} // namespace tamarackweir::entry
