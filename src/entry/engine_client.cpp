#include "entry/engine_client.h"

#include "base/error.h"
#include "net/exchange.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace tamarackweir::entry {

namespace {

constexpr int kServiceUnavailable = 503;

httplib::Client Connect(const backend_call& aCall)
{
  httplib::Client client(aCall.mServer.mHost, aCall.mServer.mPort);
  client.set_connection_timeout(aCall.mConnectTimeout);
  client.set_read_timeout(aCall.mReadTimeout);
  client.set_write_timeout(aCall.mReadTimeout);
  client.set_tcp_nodelay(true);
  return client;
}

httplib::Request MakeRequest(const backend_call& aCall)
{
  httplib::Request request;
  request.method = "POST";
  request.path = aCall.mPath;
  request.body = aCall.mBody;
  for (const auto& [name, value] : aCall.mHeaders) {
    request.set_header(name, value);
  }
  request.set_header("Content-Type", "application/json");
  return request;
}

bool SaysNotRun(const std::string& aBody)
{
  const auto body = nlohmann::json::parse(aBody, nullptr, false);
  return body.is_object() && body.value("outcome", nlohmann::json()) == "not_run";
}

call_result ClassifyAnswer(int aStatus, const std::string& aBody)
{
  if (aStatus == kServiceUnavailable && SaysNotRun(aBody)) {
    return { call_end::Refused, aStatus, aBody };
  }
  const bool succeeded = aStatus >= 200 && aStatus < 300;
  return { succeeded ? call_end::Complete : call_end::Rejected, aStatus, aBody };
}

call_result Classify(const httplib::Result& aResult, const std::string& aBody)
{
  if (!aResult) {
    const bool notSent = aResult.error() == httplib::Error::Connection ||
                         aResult.error() == httplib::Error::ConnectionTimeout ||
                         aResult.error() == httplib::Error::BindIPAddress;
    return { notSent ? call_end::NotSent : call_end::Broken, 0, "" };
  }
  return ClassifyAnswer(aResult->status, aBody);
}

std::shared_ptr<const net::outbound_request> PlainRequest(const backend_call& aCall)
{
  auto request = std::make_shared<net::outbound_request>(net::http::verb::post, aCall.mPath, 11);
  request->set(net::http::field::host, platform::ToString(aCall.mServer));
  request->keep_alive(false);
  for (const auto& [name, value] : aCall.mHeaders) {
    request->set(name, value);
  }
  request->set(net::http::field::content_type, "application/json");
  request->body() = aCall.mBody;
  request->prepare_payload();
  return request;
}

/// The limits of a connection that only the read timeout of the call ends.
net::silence_limits SilenceLimits(const backend_call& aCall)
{
  using std::chrono::ceil;
  return { .mKeepAliveIdleS =
             static_cast<int>(ceil<std::chrono::seconds>(aCall.mReadTimeout).count()),
           .mUnacknowledged = aCall.mReadTimeout };
}

net::task<> CallOver(std::shared_ptr<net::exchange> aConnection, const backend_call& aCall,
                     call_result& aResult)
{
  const net::tcp::endpoint server(net::asio::ip::make_address(aCall.mServer.mHost),
                                  static_cast<std::uint16_t>(aCall.mServer.mPort));
  net::error_code failure =
    co_await aConnection->Connect(server, aCall.mConnectTimeout, SilenceLimits(aCall));
  if (!failure) {
    aResult.mEnd = call_end::Broken;
    aConnection->Send(PlainRequest(aCall));
    failure = co_await aConnection->ReadHeader(aCall.mReadTimeout);
  }
  std::string body;
  while (!failure && !aConnection->IsComplete()) {
    failure = co_await aConnection->ReadSome(body, aCall.mReadTimeout);
  }
  if (!failure) {
    aResult = ClassifyAnswer(static_cast<int>(aConnection->Header().result_int()), body);
  }
  aConnection->Close();
}

} // namespace

bool IsTimeout(call_end aEnd, duration aSilence, duration aReadTimeout)
{
  constexpr duration kClientGrain = 1ms;
  return aEnd == call_end::Broken && aSilence + kClientGrain >= aReadTimeout;
}

call_result CallStreaming(const backend_call& aCall, const request_id& aRequest,
                          const event_receiver& aOnEvent)
{
  httplib::Client client = Connect(aCall);
  httplib::Request request = MakeRequest(aCall);
  relay::sse_decoder decoder;
  std::string errorBody;
  bool isStream = false;
  bool isOther = false;
  bool cancelled = false;
  bool finished = false;
  bool isMalformed = false;
  request.response_handler = [&](const httplib::Response& aResponse) {
    isStream = aResponse.status == 200;
    isOther = isStream && aResponse.get_header_value("Tamarackweir-Request") != aRequest.Value();
    return !isOther;
  };
  request.content_receiver = [&](const char* aData, std::size_t aLength, std::uint64_t,
                                 std::uint64_t) {
    if (!isStream) {
      errorBody.append(aData, aLength);
      return true;
    }
    std::vector<relay::sse_event> events;
    try {
      events = relay::Decode(decoder, { aData, aLength });
    } catch (const error&) {
      isMalformed = true;
      return false;
    }
    for (const relay::sse_event& event : events) {
      finished = finished || event.mData == "[DONE]";
      cancelled = !aOnEvent(event);
      if (cancelled) {
        return false;
      }
    }
    return true;
  };
  const httplib::Result result = client.send(request);
  if (isMalformed) {
    return { call_end::Rejected, 200, "an event of the answer exceeds the size limit" };
  }
  if (isOther) {
    return { call_end::Rejected, 200, "the answer belongs to another request" };
  }
  if (cancelled) {
    return { call_end::Cancelled, 0, "" };
  }
  call_result classified = Classify(result, errorBody);
  // Some servers reset the connection right after the last event; the answer is whole all the same.
  if (isStream) {
    classified.mEnd = finished ? call_end::Complete : call_end::Broken;
  }
  return classified;
}

call_result CallPlain(const backend_call& aCall)
{
  // cpp-httplib takes a body for whole that is cut within the line end of a chunk.
  net::asio::io_context loop{ 1 };
  call_result result;
  net::Spawn(loop.get_executor(), "service_call",
             CallOver(std::make_shared<net::exchange>(loop.get_executor()), aCall, result));
  net::Run(loop);
  return result;
}

} // namespace tamarackweir::entry
