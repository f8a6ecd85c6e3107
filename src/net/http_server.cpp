#include "net/http_server.h"

#include "net/descriptors.h"
#include "net/framing.h"
#include "net/message_reader.h"
#include "observe/event_log.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

namespace tamarackweir::net {

namespace {

constexpr int kListenBacklog = 1024; ///< connections; a full queue costs a caller seconds

/// Of a connection whose requests are bounded; the kernel doubles it for its own data. It fills a
/// link of 200 Mbit/s at a round trip of 1 ms.
constexpr int kReceiveBufferBytes = 1 << 15U;

constexpr std::size_t kFieldBytes = 96; ///< allocated for a field beside its name and value

constexpr duration kAcceptRetryDelay = 20ms; ///< after a failure

/// Whether the bytes were no request, as opposed to a connection that ended in the middle of one.
bool IsMalformed(const error_code& aFailure)
{
  return aFailure.category() == make_error_code(http::error::bad_method).category() &&
         aFailure != http::error::partial_message;
}

/// How a request that could not be read is refused; nothing if its connection ended.
std::optional<protocol_refusal> RefusalFor(const error_code& aFailure, message_part aPart)
{
  if (aFailure == http::error::end_of_stream) {
    return std::nullopt;
  }
  if (aFailure == http::error::header_limit && aPart == message_part::Header) {
    return protocol_refusal::HeaderTooLarge;
  }
  if (aFailure == http::error::body_limit) {
    return protocol_refusal::BodyTooLarge;
  }
  if (aFailure == asio::error::no_buffer_space) {
    return protocol_refusal::NoMemory;
  }
  return IsMalformed(aFailure) ? std::optional(protocol_refusal::BadRequest) : std::nullopt;
}

http::status StatusOf(protocol_refusal aRefusal)
{
  switch (aRefusal) {
    case protocol_refusal::BadRequest:
      return http::status::bad_request;
    case protocol_refusal::HeaderTooLarge:
      return http::status::request_header_fields_too_large;
    case protocol_refusal::BodyTooLarge:
      return http::status::payload_too_large;
    case protocol_refusal::Timeout:
      return http::status::request_timeout;
    case protocol_refusal::NoMemory:
      return http::status::service_unavailable;
  }
  return http::status::bad_request;
}

/// Memory of a header's fields.
std::size_t BytesOf(const http::fields& aHeader)
{
  std::size_t bytes = 0;
  for (const auto& field : aHeader) {
    bytes += field.name_string().size() + field.value().size() + kFieldBytes;
  }
  return bytes;
}

outbound_answer ProblemAnswer(http::status aStatus, const std::string& aOutcome)
{
  outbound_answer answer{ aStatus, 11 };
  answer.set(http::field::content_type, "application/problem+json");
  answer.body() = "{\"title\":\"" + std::string(http::obsolete_reason(aStatus)) +
                  "\",\"outcome\":\"" + aOutcome + "\"}";
  return answer;
}

/// Runs a task. Returns what it threw, if it did.
task<std::optional<std::string>> FailureOf(task<> aTask)
{
  try {
    co_await std::move(aTask);
  } catch (const std::exception& failure) {
    co_return failure.what();
  } catch (...) {
    co_return "unknown";
  }
  co_return std::nullopt;
}

} // namespace

http_server::http_server(asio::io_context& aLoop, http_server_options aOptions)
  : mAcceptor(aLoop)
  , mOptions(std::move(aOptions))
{
  if (const error_code failure = Bind();
      failure && !(mOptions.mBindsLater && MayBindLater(failure))) {
    throw boost::system::system_error(failure, "bind " + ToString(mOptions.mAddress));
  }
  descriptor_relief::Of(mAcceptor.get_executor()).Add(this, [this] { return CloseLongestIdle(); });
}

http_server::~http_server()
{
  descriptor_relief::Of(mAcceptor.get_executor()).Remove(this);
}

error_code http_server::Bind()
{
  error_code failure;
  tcp::acceptor acceptor(mAcceptor.get_executor());
  acceptor.open(mOptions.mAddress.protocol(), failure);
  if (!failure) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
  }
  if (!failure && mOptions.mBudget != nullptr) {
    acceptor.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), failure);
  }
  if (!failure) {
    acceptor.bind(mOptions.mAddress, failure);
  }
  if (!failure) {
    acceptor.listen(kListenBacklog, failure);
  }
  if (!failure) {
    mAcceptor = std::move(acceptor);
  }
  return failure;
}

void http_server::Start()
{
  Spawn(mAcceptor.get_executor(), "accept", Accept());
}

void http_server::StopAccepting()
{
  mIsClosed = true;
  // The kernel resets the connections that still wait when the listening socket is closed.
  error_code failure;
  mAcceptor.non_blocking(true, failure);
  while (!failure) {
    tcp::socket socket(mAcceptor.get_executor());
    mAcceptor.accept(socket, failure);
    if (!failure) {
      Take(std::move(socket));
    }
  }
  if (failure != asio::error::would_block && mAcceptor.is_open()) {
    observe::event_line("accept_failed").Text("reason", failure.message()).Write();
  }
  error_code ignoredAsClosedAnyway;
  mAcceptor.close(ignoredAsClosedAnyway);
}

void http_server::Drain()
{
  mDraining = true;
  for (caller_connection* connection : mConnections) {
    // Its header has promised keep-alive, so the caller may have sent its next request already.
    if (connection->mPhase != connection_phase::Answering) {
      connection->mKeepAlive = false;
    }
  }
}

std::size_t http_server::BusyConnections() const
{
  return static_cast<std::size_t>(
    std::count_if(mConnections.begin(), mConnections.end(), [](caller_connection* aConnection) {
      return aConnection->mPhase != connection_phase::Idle || aConnection->HasUnsentBytes();
    }));
}

void http_server::EndIdle()
{
  for (caller_connection* connection : mConnections) {
    error_code failure;
    if (connection->mPhase != connection_phase::Idle ||
        connection->mSocket.available(failure) > 0 || failure) {
      continue;
    }
    connection->mEnd = connection->mEnd.value_or(connection_end::Stop);
    error_code ignoredAsClosedSoon;
    connection->mSocket.shutdown(tcp::socket::shutdown_send, ignoredAsClosedSoon);
  }
}

void http_server::CloseAll()
{
  for (caller_connection* connection : mConnections) {
    connection->CloseFor(connection_end::Stop);
  }
}

bool http_server::CloseLongestIdle()
{
  caller_connection* longest = nullptr;
  for (caller_connection* connection : mConnections) {
    error_code ignoredAsClosed;
    if (connection->mPhase == connection_phase::Idle && connection->mSocket.is_open() &&
        (longest == nullptr || connection->mIdleSince < longest->mIdleSince) &&
        connection->mBuffer.size() == 0 && connection->mSocket.available(ignoredAsClosed) == 0 &&
        !connection->HasUnsentBytes()) {
      longest = connection;
    }
  }
  if (longest == nullptr) {
    return false;
  }
  longest->CloseFor(connection_end::Server);
  return true;
}

task<> http_server::Accept()
{
  descriptor_relief& relief = descriptor_relief::Of(mAcceptor.get_executor());
  if (!IsBound()) {
    co_await BindLater(mAcceptor.get_executor(), ToString(mOptions.mAddress),
                       [this] { return mIsClosed ? asio::error::operation_aborted : Bind(); });
  }
  while (mAcceptor.is_open()) {
    tcp::socket socket(mAcceptor.get_executor());
    error_code failure;
    co_await mAcceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      if (IsShortOfDescriptors(failure)) {
        if (!relief.Free("accept")) {
          co_await SleepFor(mAcceptor.get_executor(), kAcceptRetryDelay);
        }
      } else if (mAcceptor.is_open()) {
        observe::event_line("accept_failed").Text("reason", failure.message()).Write();
        co_await SleepFor(mAcceptor.get_executor(), kAcceptRetryDelay);
      }
      continue;
    }
    if (IsInReserve(socket.native_handle())) {
      relief.Free("reserve");
    }
    Take(std::move(socket));
  }
}

void http_server::Take(tcp::socket aSocket)
{
  LimitSilence(aSocket, silence_limits{});
  ++mCounts->mAccepted;
  auto connection = std::make_shared<caller_connection>(std::move(aSocket), *mOptions.mLimits,
                                                        mCounts, mOptions.mBudget);
  Spawn(mAcceptor.get_executor(), "serve", Serve(std::move(connection)));
}

task<> http_server::Serve(std::shared_ptr<caller_connection> aConnection)
{
  mConnections.insert(aConnection.get());
  if (const auto reason = co_await FailureOf(ServeAll(aConnection))) {
    observe::event_line("serve_failed").Text("reason", *reason).Write();
  }
  if (!aConnection->mEnd && aConnection->mSocket.is_open()) {
    aConnection->mEnd = connection_end::Server;
    if (const auto reason = co_await FailureOf(aConnection->Linger())) {
      observe::event_line("serve_failed").Text("reason", *reason).Write();
    }
  }
  error_code ignoredAsClosedAnyway;
  aConnection->mSocket.close(ignoredAsClosedAnyway);
  mConnections.erase(aConnection.get());
  const connection_end end = aConnection->EndOf({});
  ++mCounts->mEnded[static_cast<std::size_t>(aConnection->mPhase)][static_cast<std::size_t>(end)];
}

task<> http_server::ServeAll(std::shared_ptr<caller_connection> aConnection)
{
  bool isOpen = true;
  while (isOpen) {
    isOpen = co_await ServeOne(aConnection);
  }
}

task<std::shared_ptr<inbound_request>> http_server::ReadRequest(caller_connection& aConnection)
{
  const caller_limits& limits = aConnection.mLimits;
  error_code failure;
  const bool isIdle = aConnection.mBuffer.size() == 0;
  aConnection.ReleaseBuffer();
  aConnection.mPhase = isIdle ? connection_phase::Idle : connection_phase::Reading;
  if (isIdle) {
    aConnection.mWatchdog.Arm(limits.mIdleTimeout);
    co_await aConnection.mSocket.async_wait(tcp::socket::wait_read,
                                            asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      aConnection.RecordFailure(failure);
      co_return nullptr;
    }
    if (aConnection.mEnd) {
      // No answer could be sent any more; a request that is not read may be sent again.
      co_return nullptr;
    }
    if (aConnection.mSocket.available(failure) > 0) {
      aConnection.mPhase = connection_phase::Reading;
    }
  }

  // The parser consumes a body as it arrives, but not an unfinished chunk size line or trailer.
  aConnection.mBuffer.max_size(limits.mMaxHeaderBytes + kMaxPipelinedBytes);
  http::request_parser<http::string_body> parser;
  parser.header_limit(limits.mMaxHeaderBytes);
  parser.body_limit(limits.mMaxBodyBytes);
  std::size_t headerBytes = 0;
  const way_giver givesWay(&aConnection.mClaim, [&] {
    aConnection.GiveWay(parser.get().body().size());
    std::string().swap(parser.get().body());
  });
  // What is read is held twice, in the buffer and in the message.
  const room_request awaitRoom = [&](std::size_t aRoom) {
    return aConnection.AwaitRoom(headerBytes + parser.get().body().size() +
                                 aConnection.mBuffer.capacity() + 2 * aRoom);
  };
  const time_point arrived = Now();
  aConnection.mWatchdog.Arm(limits.mHeaderTimeout);
  failure = co_await ReadMessage(aConnection.mSocket, aConnection.mBuffer, parser,
                                 message_part::Header, awaitRoom);
  if (failure) {
    co_await EndReading(aConnection, failure, message_part::Header);
    co_return nullptr;
  }

  auto request = std::make_shared<inbound_request>();
  request->mArrived = arrived;
  request->mMethod = std::string(parser.get().method_string());
  request->mTarget = std::string(parser.get().target());
  // Copied before the body is read, so that trailers do not become headers.
  request->mHeader = parser.get().base();
  headerBytes = 2 * BytesOf(request->mHeader);
  aConnection.mKeepAlive = parser.get().keep_alive() && !mDraining;
  if (parser.get().version() != 11 || request->mHeader.count(http::field::host) != 1 ||
      !HasKnownEnd(request->mHeader)) {
    co_await Refuse(aConnection, protocol_refusal::BadRequest);
    co_return nullptr;
  }

  if (!parser.is_done()) {
    if (parser.content_length() && *parser.content_length() > limits.mMaxBodyBytes) {
      co_await Refuse(aConnection, protocol_refusal::BodyTooLarge);
      co_return nullptr;
    }
    aConnection.mWatchdog.Arm(limits.mBodyTimeout);
    if (beast::iequals(request->mHeader[http::field::expect], "100-continue")) {
      static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
      co_await asio::async_write(aConnection.mSocket,
                                 asio::const_buffer(kContinue.data(), kContinue.size()),
                                 asio::redirect_error(asio::use_awaitable, failure));
    }
    if (!failure) {
      failure = co_await ReadMessage(aConnection.mSocket, aConnection.mBuffer, parser,
                                     message_part::Whole, awaitRoom);
    }
    if (failure) {
      co_await EndReading(aConnection, failure, message_part::Whole);
      co_return nullptr;
    }
  }
  aConnection.mWatchdog.Disarm();
  request->mBody = std::move(parser.get().body());
  co_return request;
}

task<bool> http_server::ServeOne(std::shared_ptr<caller_connection> aConnection)
{
  caller_connection& connection = *aConnection;
  auto request = co_await ReadRequest(connection);
  if (request == nullptr) {
    co_return false;
  }
  request->mClaim = std::move(connection.mClaim);
  (void)request->mClaim.TryResize(BytesOf(request->mHeader) + request->mBody.size());
  connection.ReleaseBuffer();
  connection.mIsHead = request->mMethod == "HEAD";
  connection.mHasRequest = true;
  connection.mPhase = connection_phase::Handling;
  ++mCounts->mRead;
  connection.mIsGone = false;
  connection.mDeadline.reset();
  connection.Watch();
  const auto thrown = co_await FailureOf(mOptions.mHandler(aConnection, std::move(request)));
  connection.mOnGone = nullptr;
  if (thrown) {
    observe::event_line("handler_failed").Text("reason", *thrown).Write();
    connection.mKeepAlive = false;
  }
  if (thrown && connection.mPhase == connection_phase::Handling) {
    outbound_answer answer = ProblemAnswer(http::status::internal_server_error, "unknown");
    (void)co_await connection.Answer(answer);
  } else if (connection.mHasRequest || connection.mPhase == connection_phase::Answering) {
    // The handler gave up without an answer.
    connection.Break();
  }
  co_return connection.mKeepAlive&& connection.mSocket.is_open();
}

task<> http_server::EndReading(caller_connection& aConnection, const error_code& aFailure,
                               message_part aPart)
{
  if (const auto refusal = RefusalFor(aFailure, aPart); refusal && aConnection.mSocket.is_open()) {
    co_await Refuse(aConnection, *refusal);
  } else {
    aConnection.RecordFailure(aFailure);
  }
}

task<> http_server::Refuse(caller_connection& aConnection, protocol_refusal aRefusal)
{
  if (mOptions.mOnRefusal) {
    mOptions.mOnRefusal(aRefusal);
  }
  ++mCounts->mRead;
  aConnection.mKeepAlive = false;
  outbound_answer answer = ProblemAnswer(StatusOf(aRefusal), "not_run");
  (void)co_await aConnection.Answer(answer);
}

} // namespace tamarackweir::net
