#include "entry/engine_client.h"

#include "base/error.h"
#include "net/exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tamarackweir::entry {

namespace {

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;

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

/// A call on its connection.
struct open_call
{
  const backend_call& mCall;
  std::shared_ptr<net::exchange> mConnection;
  time_point mEnd{}; ///< of the whole call

  duration NextWait() const
  {
    return std::clamp(mEnd - net::Now(), duration::zero(), mCall.mReadTimeout);
  }
};

/// Connects, sends the request and reads the header of the answer. Returns whether that arrived;
/// otherwise `aResult` holds why not.
net::task<bool> Begin(open_call& aCall, call_result& aResult)
{
  aCall.mEnd = net::Now() + aCall.mCall.mLimit;
  const net::tcp::endpoint server(net::asio::ip::make_address(aCall.mCall.mServer.mHost),
                                  static_cast<std::uint16_t>(aCall.mCall.mServer.mPort));
  net::error_code failure = co_await aCall.mConnection->Connect(server, aCall.mCall.mConnectTimeout,
                                                                SilenceLimits(aCall.mCall));
  if (!failure) {
    aResult.mEnd = call_end::Broken;
    aCall.mConnection->Send(PlainRequest(aCall.mCall));
    failure = co_await aCall.mConnection->ReadHeader(aCall.NextWait());
  }
  co_return !failure;
}

/// Reads an answer that is not a stream. `aResult` is as before if it does not arrive whole.
net::task<> ReadPlain(open_call& aCall, call_result& aResult)
{
  std::string body;
  net::error_code failure;
  while (!failure && body.size() <= kMaxAnswerBytes && !aCall.mConnection->IsComplete()) {
    failure = co_await aCall.mConnection->ReadSome(body, aCall.NextWait());
  }
  if (!failure && body.size() <= kMaxAnswerBytes &&
      aCall.mConnection->Framing() != net::body_framing::Connection) {
    aResult = ClassifyAnswer(static_cast<int>(aCall.mConnection->Header().result_int()), body);
  }
}

net::task<> CallOver(open_call aCall, call_result& aResult)
{
  // GCC 12 mislays the frame of a coroutine that has `co_await` in its first condition and no
  // local.
  const bool hasBegun = co_await Begin(aCall, aResult);
  if (hasBegun) {
    co_await ReadPlain(aCall, aResult);
  }
  aCall.mConnection->Close();
}

/// Reads what follows the last event, so that the engine sees its answer taken to the end. Servers
/// that reset the connection there have sent the answer whole all the same.
net::task<> ReadRest(open_call& aCall)
{
  constexpr duration kLongestRest = 200ms;
  constexpr std::size_t kMostRest = std::size_t{ 64 } * 1024;
  aCall.mEnd = std::min(aCall.mEnd, net::Now() + kLongestRest);
  std::string rest;
  net::error_code failure;
  while (!failure && rest.size() < kMostRest && !aCall.mConnection->IsComplete()) {
    failure = co_await aCall.mConnection->ReadSome(rest, aCall.NextWait());
  }
}

net::task<> ReadStream(open_call& aCall, const event_receiver& aOnEvent, call_result& aResult)
{
  relay::sse_decoder decoder;
  std::string bytes;
  while (!aCall.mConnection->IsComplete()) {
    bytes.clear();
    if (const net::error_code failure =
          co_await aCall.mConnection->ReadSome(bytes, aCall.NextWait())) {
      co_return;
    }
    std::vector<relay::sse_event> events;
    try {
      events = relay::Decode(decoder, bytes);
    } catch (const error&) {
      aResult = { call_end::Rejected, kOk, "an event of the answer exceeds the size limit" };
      co_return;
    }
    bool isFinished = false;
    for (const relay::sse_event& event : events) {
      isFinished = isFinished || event.mData == "[DONE]";
      if (!aOnEvent(event)) {
        aResult = { call_end::Cancelled, 0, "" };
        co_return;
      }
    }
    if (isFinished) {
      co_await ReadRest(aCall);
      aResult = { call_end::Complete, kOk, "" };
      co_return;
    }
    if (net::Now() >= aCall.mEnd) {
      co_return;
    }
  }
}

net::task<> StreamOver(open_call aCall, const request_id& aRequest, const event_receiver& aOnEvent,
                       call_result& aResult)
{
  const bool hasBegun = co_await Begin(aCall, aResult);
  if (hasBegun) {
    const auto& header = aCall.mConnection->Header();
    if (header.result_int() != kOk) {
      co_await ReadPlain(aCall, aResult);
    } else if (header["Tamarackweir-Request"] != aRequest.Value()) {
      aResult = { call_end::Rejected, kOk, "the answer belongs to another request" };
    } else {
      co_await ReadStream(aCall, aOnEvent, aResult);
    }
  }
  aCall.mConnection->Close();
}

/// Runs a call on a loop of its own, since the calls of this program wait in threads.
template<class Task>
call_result RunCall(const backend_call& aCall, Task aTask)
{
  net::asio::io_context loop{ 1 };
  call_result result;
  std::exception_ptr thrown;
  net::asio::co_spawn(
    loop,
    aTask(open_call{ .mCall = aCall,
                     .mConnection = std::make_shared<net::exchange>(loop.get_executor()) },
          result),
    [&thrown](const std::exception_ptr& aThrown) { thrown = aThrown; });
  net::Run(loop);
  if (thrown) {
    std::rethrow_exception(thrown);
  }
  return result;
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
  return RunCall(aCall, [&](open_call aOpen, call_result& aResult) {
    return StreamOver(std::move(aOpen), aRequest, aOnEvent, aResult);
  });
}

call_result CallPlain(const backend_call& aCall)
{
  return RunCall(aCall, [](open_call aOpen, call_result& aResult) {
    return CallOver(std::move(aOpen), aResult);
  });
}

} // namespace tamarackweir::entry
