#include "net/exchange.h"

#include "net/descriptors.h"
#include "net/framing.h"
#include "net/message_reader.h"
#include "net/watchdog.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace tamarackweir::net {

namespace {

/// Bytes read at a time; an event of a stream is far smaller.
constexpr std::size_t kReadBytes = 1U << 13U;

/// Interim answers in one wait for the answer; more cost the event loop time without an end.
constexpr int kMaxInterimAnswers = 32;

body_framing FramingOf(const http::response_parser<http::buffer_body>& aParser)
{
  if (aParser.is_done()) {
    return body_framing::None;
  }
  if (aParser.chunked()) {
    return body_framing::Chunked;
  }
  return aParser.need_eof() ? body_framing::Connection : body_framing::Length;
}

} // namespace

const char* ToString(body_framing aFraming)
{
  switch (aFraming) {
    case body_framing::None:
      return "none";
    case body_framing::Length:
      return "length";
    case body_framing::Chunked:
      return "chunked";
    case body_framing::Connection:
      return "connection";
  }
  return "unknown";
}

exchange::exchange(const asio::any_io_executor& aExecutor)
  : mSocket(aExecutor)
  , mSilenceWatch(mSocket, silence_limits{}.mUnacknowledged)
  , mTimer(aExecutor)
{
}

task<error_code> exchange::Connect(tcp::endpoint aServer, duration aLimit, silence_limits aSilence)
{
  error_code failure;
  mSocket.open(aServer.protocol(), failure);
  if (IsShortOfDescriptors(failure) &&
      descriptor_relief::Of(mSocket.get_executor()).Free("connect")) {
    mSocket.open(aServer.protocol(), failure);
  }
  if (!failure) {
    // Otherwise the local port, which the system picks, can't be bound by a listener before the
    // connection has left TIME_WAIT.
    mSocket.set_option(tcp::socket::reuse_address(true), failure);
  }
  if (failure) {
    co_return failure;
  }
  watchdog guard(mSocket);
  guard.Arm(aLimit);
  co_await mSocket.async_connect(aServer, asio::redirect_error(asio::use_awaitable, failure));
  if (guard.HasExpired()) {
    failure = asio::error::timed_out;
  }
  if (!failure) {
    LimitSilence(mSocket, aSilence);
    mSilenceWatch.SetLimit(aSilence.mUnacknowledged);
    mSocket.non_blocking(true, failure);
  }
  co_return failure;
}

void exchange::Send(std::shared_ptr<const outbound_request> aRequest)
{
  Write(std::move(aRequest));
}

void exchange::Send(std::shared_ptr<const forwarded_request> aRequest)
{
  Write(std::move(aRequest));
}

template<class Request>
void exchange::Write(std::shared_ptr<const Request> aRequest)
{
  mIsSent = true;
  mIsWriting = true;
  mIsHead = aRequest->method() == http::verb::head;
  mSilenceWatch.Start();
  // A failed write also fails the read that is pending, or leaves an answer to be read.
  const Request& request = *aRequest;
  http::async_write(
    mSocket, request,
    [self = shared_from_this(), kept = std::move(aRequest)](error_code aFailure, std::size_t) {
      self->mWriteFailure = aFailure;
      self->mIsWriting = false;
    });
}

void exchange::StartParser()
{
  mParser.emplace();
  mParser->header_limit(kMaxAnswerHeaderBytes);
  // Beast 1.74 takes the absence of a limit for a limit of zero.
  mParser->body_limit(std::numeric_limits<std::uint64_t>::max());
  mParser->skip(mIsHead);
  mParser->eager(false);
}

task<error_code> exchange::Fill(time_point aEnd)
{
  if (mBuffer.size() >= kMaxUnparsedBytes) {
    co_return http::error::buffer_overflow;
  }
  while (true) {
    if (!mIsReadable && !mIsWaiting) {
      mIsWaiting = true;
      mSocket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code) {
        self->mIsWaiting = false;
        self->mIsReadable = true;
        self->mTimer.cancel();
      });
    }
    if (!mIsReadable) {
      const duration left = aEnd - Now();
      if (left <= duration::zero()) {
        co_return asio::error::timed_out;
      }
      mTimer.expires_after(left);
      error_code ignoredCancel;
      co_await mTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignoredCancel));
      if (!mIsReadable) {
        continue;
      }
    }
    mIsReadable = false;
    error_code failure;
    const std::size_t size = mSocket.read_some(mBuffer.prepare(kReadBytes), failure);
    mBuffer.commit(size);
    if (failure != asio::error::would_block) {
      co_return failure;
    }
  }
}

bool exchange::HasUnacknowledged()
{
  int bytes = 0;
  return mIsWriting || (ioctl(mSocket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0);
}

task<error_code> exchange::AwaitAcknowledged(time_point aEnd)
{
  constexpr duration kLongestPause = 50ms;
  for (duration pause = 1ms; !HasFailed() && HasUnacknowledged();
       pause = std::min(2 * pause, kLongestPause)) {
    const duration left = aEnd - Now();
    if (left <= duration::zero()) {
      co_return asio::error::timed_out;
    }
    mTimer.expires_after(std::min(left, pause));
    error_code ignoredCancel; // The loop looks at the connection again.
    co_await mTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignoredCancel));
  }
  if (mHasFailed && !mWriteFailure) {
    co_return asio::error::connection_reset;
  }
  co_return mWriteFailure;
}

error_code exchange::Parse(std::string& aOut)
{
  std::array<char, kReadBytes> chunk;
  error_code failure;
  while (!failure && mBuffer.size() > 0 && !mParser->is_done()) {
    const bool wasHeader = !mParser->is_header_done();
    mParser->get().body().data = chunk.data();
    mParser->get().body().size = chunk.size();
    mBuffer.consume(Put(*mParser, mBuffer.data(), failure));
    aOut.append(chunk.data(), chunk.size() - mParser->get().body().size);
    if (failure == http::error::need_buffer) {
      failure = {};
    }
    if (wasHeader && mParser->is_header_done()) {
      return {};
    }
  }
  return failure;
}

task<error_code> exchange::ReadHeader(duration aLimit)
{
  const time_point end = Now() + aLimit;
  if (!mParser) {
    StartParser();
  }
  std::string noBody;
  int interimAnswers = 0;
  while (true) {
    if (const error_code failure = Parse(noBody); failure && failure != http::error::need_more) {
      co_return failure;
    }
    if (mParser->is_header_done()) {
      const unsigned status = mParser->get().result_int();
      if (status < 100 || mParser->get().result() == http::status::switching_protocols) {
        co_return http::error::bad_status;
      }
      if (status >= 200) {
        mFraming = FramingOf(*mParser);
        co_return HasKnownEnd(mParser->get().base()) ? error_code{}
                                                     : http::error::bad_transfer_encoding;
      }
      if (++interimAnswers > kMaxInterimAnswers) {
        co_return http::error::header_limit;
      }
      StartParser();
      continue;
    }
    if (const error_code failure = co_await Fill(end); failure) {
      co_return failure;
    }
  }
}

task<error_code> exchange::ReadSome(std::string& aOut, duration aLimit)
{
  const time_point end = Now() + aLimit;
  const std::size_t before = aOut.size();
  while (true) {
    if (const error_code failure = Parse(aOut); failure && failure != http::error::need_more) {
      co_return failure;
    }
    if (aOut.size() > before || mParser->is_done()) {
      co_return error_code{};
    }
    error_code failure = co_await Fill(end);
    if (failure == asio::error::eof) {
      // Linux reports a reset once; the write of the request may have taken it, or it may follow.
      failure =
        mFraming == body_framing::Connection ? co_await AwaitAcknowledged(end) : mWriteFailure;
      if (!failure) {
        mParser->put_eof(failure);
      }
    }
    if (failure) {
      co_return failure;
    }
  }
}

task<error_code> exchange::ReadAll(std::string& aOut, std::size_t aMaxBytes, duration aLimit,
                                   byte_claim* aClaim)
{
  const time_point end = Now() + aLimit;
  // The bytes go at once; the read that is pending fails.
  const way_giver givesWay(aClaim, [this, &aOut] {
    std::string().swap(aOut);
    Close();
  });
  error_code failure;
  while (!failure && !IsComplete()) {
    if (aOut.size() > aMaxBytes) {
      co_return http::error::body_limit;
    }
    if (aClaim != nullptr && !aClaim->TryResize(aOut.capacity())) {
      co_return asio::error::no_buffer_space;
    }
    failure = co_await ReadSome(aOut, std::max(end - Now(), duration::zero()));
    if (aClaim != nullptr && aClaim->IsGivenUp()) {
      failure = asio::error::no_buffer_space;
    }
  }
  co_return failure;
}

bool exchange::HasFailed()
{
  if (!mSocket.is_open()) {
    return mHasFailed;
  }
  error_code failure;
  asio::detail::socket_option::integer<SOL_SOCKET, SO_ERROR> pending;
  mSocket.get_option(pending, failure);
  // The system reports a failure once.
  mHasFailed = mHasFailed || mWriteFailure || failure || pending.value() != 0;
  return mHasFailed;
}

void exchange::Close()
{
  if (mFraming == body_framing::Connection) {
    (void)HasFailed(); // It may be asked for later.
  }
  error_code ignoredAsClosedAnyway;
  if (mIsSent && !IsComplete()) {
    mSocket.set_option(tcp::socket::linger(true, 0), ignoredAsClosedAnyway);
  }
  mSocket.close(ignoredAsClosedAnyway);
}

} // namespace tamarackweir::net
