#include "net/http_server.h"

#include "net/descriptors.h"
#include "net/framing.h"
#include "net/message_reader.h"
#include "observe/event_log.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace tamarackweir::net {

namespace {

constexpr int kListenBacklog = 1024; ///< connections; a full queue costs a caller seconds

/// Bytes of further requests that are read while one is answered; more wait in the socket.
constexpr std::size_t kMaxPipelinedBytes = 1U << 16U;

/// How long a caller that has received its last answer may go on before its connection is closed.
constexpr duration kLingerLimit = 500ms;

constexpr duration kAcceptRetryDelay = 20ms; ///< after a failure

/// Whether the bytes were no request, as opposed to a connection that ended in the middle of one.
bool IsMalformed(const error_code& aFailure)
{
  return aFailure.category() == make_error_code(http::error::bad_method).category() &&
         aFailure != http::error::partial_message;
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
  }
  return http::status::bad_request;
}

bool HasUnsentBytes(tcp::socket& aSocket)
{
  int bytes = 0;
  return ioctl(aSocket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
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

const char* ToString(connection_phase aPhase)
{
  switch (aPhase) {
    case connection_phase::Idle:
      return "idle";
    case connection_phase::Reading:
      return "reading";
    case connection_phase::Handling:
      return "handling";
    case connection_phase::Answering:
      return "answering";
  }
  return "unknown";
}

const char* ToString(connection_end aEnd)
{
  switch (aEnd) {
    case connection_end::Caller:
      return "caller";
    case connection_end::Timeout:
      return "timeout";
    case connection_end::Server:
      return "server";
    case connection_end::Stop:
      return "stop";
  }
  return "unknown";
}

caller_connection::caller_connection(tcp::socket aSocket, const caller_limits& aLimits,
                                     std::shared_ptr<connection_counts> aCounts)
  : mSocket(std::move(aSocket))
  , mWatchdog(mSocket)
  , mSilenceWatch(mSocket, silence_limits{}.mUnacknowledged)
  , mLimits(aLimits)
  , mCounts(std::move(aCounts))
{
}

connection_end caller_connection::EndOf(const error_code& aFailure) const
{
  if (mEnd) {
    return *mEnd;
  }
  if (mWatchdog.HasExpired()) {
    return connection_end::Timeout;
  }
  return aFailure ? connection_end::Caller : connection_end::Server;
}

void caller_connection::RecordFailure(const error_code& aFailure)
{
  if (aFailure) {
    mEnd = EndOf(aFailure);
  }
}

void caller_connection::CloseFor(connection_end aEnd)
{
  if (!mEnd) {
    mEnd = mWatchdog.HasExpired() ? connection_end::Timeout : aEnd;
  }
  error_code ignoredAsClosedAnyway;
  mSocket.close(ignoredAsClosedAnyway);
}

void caller_connection::SetTimeLeft(duration aTimeLeft)
{
  mDeadline = Now() + std::clamp(aTimeLeft, duration::zero(), mLimits.mMaxWriteTimeout);
}

void caller_connection::StartWrite()
{
  mWatchdog.Arm(WriteLimit());
  mSilenceWatch.Start();
}

duration caller_connection::WriteLimit() const
{
  const duration left = mDeadline ? *mDeadline - Now() : duration::zero();
  return std::max(mLimits.mWriteTimeout, left);
}

void caller_connection::EndAnswer(const error_code& aFailure)
{
  if (aFailure) {
    mKeepAlive = false;
    RecordFailure(aFailure);
    return;
  }
  ++mCounts->mAnswered;
  mPhase = connection_phase::Idle;
  mIdleSince = Now();
}

task<error_code> caller_connection::Answer(outbound_answer& aAnswer)
{
  mHasRequest = false;
  mPhase = connection_phase::Answering;
  aAnswer.version(11);
  aAnswer.keep_alive(mKeepAlive);
  if (mIsHead) {
    // The length of the body that a GET would have had stays as the server gave it.
    aAnswer.body().clear();
  } else {
    aAnswer.prepare_payload();
  }
  error_code failure;
  StartWrite();
  http::response_serializer<http::string_body> serializer(aAnswer);
  serializer.split(false);
  co_await http::async_write(mSocket, serializer,
                             asio::redirect_error(asio::use_awaitable, failure));
  mWatchdog.Disarm();
  EndAnswer(failure);
  co_return failure;
}

task<error_code> caller_connection::StartBody(const http::response_header<>& aHeader)
{
  mPhase = connection_phase::Answering;
  http::response<http::empty_body> head{ aHeader };
  head.version(11);
  head.keep_alive(mKeepAlive);
  head.erase(http::field::content_length);
  const bool allowsBody =
    head.result() != http::status::no_content && head.result() != http::status::not_modified;
  mIsBodiless = mIsHead || !allowsBody;
  mIsChunked = allowsBody;
  head.chunked(allowsBody);
  error_code failure;
  StartWrite();
  http::response_serializer<http::empty_body> serializer(head);
  co_await http::async_write_header(mSocket, serializer,
                                    asio::redirect_error(asio::use_awaitable, failure));
  mWatchdog.Disarm();
  RecordFailure(failure);
  co_return failure;
}

task<error_code> caller_connection::WriteBody(std::string_view aBytes)
{
  error_code failure;
  if (mIsBodiless) {
    co_return failure;
  }
  StartWrite();
  const auto chunk = http::make_chunk(asio::const_buffer(aBytes.data(), aBytes.size()));
  co_await asio::async_write(mSocket, chunk, asio::redirect_error(asio::use_awaitable, failure));
  mWatchdog.Disarm();
  RecordFailure(failure);
  co_return failure;
}

task<error_code> caller_connection::FinishBody()
{
  mHasRequest = false;
  error_code failure;
  if (mIsBodiless) {
    EndAnswer(failure);
    co_return failure;
  }
  StartWrite();
  const auto last = http::make_chunk_last();
  co_await asio::async_write(mSocket, last, asio::redirect_error(asio::use_awaitable, failure));
  mWatchdog.Disarm();
  EndAnswer(failure);
  co_return failure;
}

void caller_connection::Break()
{
  mHasRequest = false;
  mKeepAlive = false;
  CloseFor(connection_end::Server);
}

void caller_connection::Discard(std::shared_ptr<asio::steady_timer> aOnEnd)
{
  mBuffer.clear();
  const auto room = mBuffer.prepare(std::min(mBuffer.max_size(), kMaxPipelinedBytes));
  mSocket.async_read_some(
    room, [self = shared_from_this(), timer = std::move(aOnEnd)](error_code aFailure, std::size_t) {
      if (aFailure) {
        self->mIsDiscarded = true;
        timer->cancel();
        return;
      }
      self->Discard(timer);
    });
}

task<> caller_connection::Linger()
{
  const time_point end = Now() + WriteLimit();
  error_code ignoredAsClosedAnyway;
  mSocket.shutdown(tcp::socket::shutdown_send, ignoredAsClosedAnyway);
  mSilenceWatch.Start();
  const auto timer = std::make_shared<asio::steady_timer>(mSocket.get_executor());
  timer->expires_after(kLingerLimit);
  Discard(timer);
  do {
    error_code ignoredCancel;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignoredCancel));
    timer->expires_after(kLingerLimit);
  } while (!mIsDiscarded && mSocket.is_open() && HasUnsentBytes(mSocket) && Now() < end);
}

void caller_connection::OnGone(std::function<void()> aAction)
{
  mOnGone = std::move(aAction);
  if (mIsGone && mOnGone) {
    mOnGone();
  }
}

void caller_connection::SetGone()
{
  if (!mHasRequest || mIsGone) {
    return;
  }
  mIsGone = true;
  mKeepAlive = false;
  if (!mEnd) {
    mEnd = connection_end::Caller;
  }
  if (const auto action = std::exchange(mOnGone, nullptr)) {
    action();
  }
}

void caller_connection::Watch()
{
  if (mIsWatched || !mSocket.is_open()) {
    return;
  }
  mIsWatched = true;
  mSocket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code aFailure) {
    self->mIsWatched = false;
    if (!self->mHasRequest) {
      return;
    }
    char byte = 0;
    const ssize_t seen =
      aFailure ? -1 : recv(self->mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (seen > 0) {
      // A pipelined request. Its bytes are kept; once there are too many, the wait ends.
      const std::size_t room =
        kMaxPipelinedBytes - std::min(kMaxPipelinedBytes, self->mBuffer.size());
      if (room == 0) {
        return;
      }
      error_code failure;
      const std::size_t size = self->mSocket.read_some(
        self->mBuffer.prepare(std::min<std::size_t>(room, self->mSocket.available(failure))),
        failure);
      self->mBuffer.commit(size);
      if (!failure) {
        self->Watch();
        return;
      }
    } else if (seen < 0 && !aFailure && (errno == EAGAIN || errno == EINTR)) {
      self->Watch();
      return;
    }
    self->SetGone();
  });
}

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
    connection->mKeepAlive = false;
  }
}

std::size_t http_server::BusyConnections() const
{
  return static_cast<std::size_t>(std::count_if(
    mConnections.begin(), mConnections.end(), [](const caller_connection* aConnection) {
      return aConnection->mPhase != connection_phase::Idle;
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
        connection->mBuffer.size() == 0 && connection->mSocket.available(ignoredAsClosed) == 0) {
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
  auto connection =
    std::make_shared<caller_connection>(std::move(aSocket), *mOptions.mLimits, mCounts);
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
    co_await aConnection->Linger();
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

task<bool> http_server::ServeOne(std::shared_ptr<caller_connection> aConnection)
{
  caller_connection& connection = *aConnection;
  const caller_limits& limits = connection.mLimits;
  error_code failure;
  const bool isIdle = connection.mBuffer.size() == 0;
  connection.mPhase = isIdle ? connection_phase::Idle : connection_phase::Reading;
  if (isIdle) {
    connection.mWatchdog.Arm(limits.mIdleTimeout);
    co_await connection.mSocket.async_wait(tcp::socket::wait_read,
                                           asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      connection.RecordFailure(failure);
      co_return false;
    }
    if (connection.mSocket.available(failure) > 0) {
      connection.mPhase = connection_phase::Reading;
    }
  }

  // The parser consumes a body as it arrives, but not an unfinished chunk size line or trailer.
  connection.mBuffer.max_size(limits.mMaxHeaderBytes + kMaxPipelinedBytes);
  http::request_parser<http::string_body> parser;
  parser.header_limit(limits.mMaxHeaderBytes);
  parser.body_limit(limits.mMaxBodyBytes);
  const time_point arrived = Now();
  connection.mWatchdog.Arm(limits.mHeaderTimeout);
  failure =
    co_await ReadMessage(connection.mSocket, connection.mBuffer, parser, message_part::Header);
  if (failure == http::error::end_of_stream || failure == asio::error::operation_aborted) {
    connection.RecordFailure(failure);
    co_return false;
  }
  if (failure == http::error::header_limit) {
    co_await Refuse(connection, protocol_refusal::HeaderTooLarge);
    co_return false;
  }
  if (failure) {
    if (IsMalformed(failure)) {
      co_await Refuse(connection, protocol_refusal::BadRequest);
    } else {
      connection.RecordFailure(failure);
    }
    co_return false;
  }

  auto request = std::make_shared<inbound_request>();
  request->mArrived = arrived;
  request->mMethod = std::string(parser.get().method_string());
  request->mTarget = std::string(parser.get().target());
  // Copied before the body is read, so that trailers do not become headers.
  request->mHeader = parser.get().base();
  const bool keepAlive = parser.get().keep_alive();
  if (parser.get().version() != 11 || request->mHeader.count(http::field::host) != 1 ||
      !HasKnownEnd(request->mHeader)) {
    co_await Refuse(connection, protocol_refusal::BadRequest);
    co_return false;
  }

  if (!parser.is_done()) {
    if (parser.content_length() && *parser.content_length() > limits.mMaxBodyBytes) {
      co_await Refuse(connection, protocol_refusal::BodyTooLarge);
      co_return false;
    }
    connection.mWatchdog.Arm(limits.mBodyTimeout);
    if (beast::iequals(request->mHeader[http::field::expect], "100-continue")) {
      static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
      co_await asio::async_write(connection.mSocket,
                                 asio::const_buffer(kContinue.data(), kContinue.size()),
                                 asio::redirect_error(asio::use_awaitable, failure));
    }
    if (!failure) {
      failure =
        co_await ReadMessage(connection.mSocket, connection.mBuffer, parser, message_part::Whole);
    }
    if (failure == http::error::body_limit) {
      co_await Refuse(connection, protocol_refusal::BodyTooLarge);
      co_return false;
    }
    if (failure) {
      if (IsMalformed(failure)) {
        co_await Refuse(connection, protocol_refusal::BadRequest);
      } else {
        connection.RecordFailure(failure);
      }
      co_return false;
    }
  }
  connection.mWatchdog.Disarm();
  request->mBody = std::move(parser.get().body());

  connection.mKeepAlive = keepAlive && !mDraining;
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
