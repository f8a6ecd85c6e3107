#include "net/exchange.h"

#include <array>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>

namespace tamarackweir::net {

namespace {

/// Bytes read of a body at a time; an event of a stream is far smaller.
constexpr std::size_t kReadBytes = 4 * 1024;

} // namespace

exchange::exchange(const asio::any_io_executor& aExecutor)
  : mSocket(aExecutor)
  , mWatchdog(mSocket)
{
}

task<error_code> exchange::Connect(tcp::endpoint aServer, duration aLimit, silence_limits aSilence)
{
  error_code failure;
  mWatchdog.Arm(aLimit);
  co_await mSocket.async_connect(aServer, asio::redirect_error(asio::use_awaitable, failure));
  mWatchdog.Disarm();
  if (!failure && mWatchdog.HasExpired()) {
    failure = asio::error::timed_out;
  }
  if (!failure) {
    LimitSilence(mSocket, aSilence);
  }
  co_return failure;
}

void exchange::Send(std::shared_ptr<const outbound_request> aRequest)
{
  mIsHead = aRequest->method() == http::verb::head;
  // A failed write also fails the read that is pending, or leaves an answer to be read.
  const outbound_request& request = *aRequest;
  http::async_write(mSocket, request,
                    [self = shared_from_this(), kept = std::move(aRequest)](error_code, std::size_t) {
                    });
}

task<error_code> exchange::ReadHeader(duration aLimit)
{
  error_code failure;
  mWatchdog.Arm(aLimit);
  do {
    mParser.emplace();
    mParser->header_limit(kMaxAnswerHeaderBytes);
    // Beast 1.74 takes the absence of a limit for a limit of zero.
    mParser->body_limit(std::numeric_limits<std::uint64_t>::max());
    mParser->skip(mIsHead);
    co_await http::async_read_header(mSocket, mBuffer, *mParser,
                                     asio::redirect_error(asio::use_awaitable, failure));
  } while (!failure && mParser->get().result_int() < 200);
  mWatchdog.Disarm();
  co_return failure;
}

task<error_code> exchange::ReadSome(std::string& aOut, duration aLimit)
{
  error_code failure;
  mWatchdog.Arm(aLimit);
  std::array<char, kReadBytes> chunk;
  bool gotBytes = false;
  while (!gotBytes && !failure && !mParser->is_done()) {
    mParser->get().body().data = chunk.data();
    mParser->get().body().size = chunk.size();
    co_await http::async_read_some(mSocket, mBuffer, *mParser,
                                   asio::redirect_error(asio::use_awaitable, failure));
    if (failure == http::error::need_buffer) {
      failure = {};
    }
    const std::size_t size = chunk.size() - mParser->get().body().size;
    aOut.append(chunk.data(), size);
    gotBytes = size > 0;
  }
  mWatchdog.Disarm();
  co_return failure;
}

task<error_code> exchange::ReadAll(std::string& aOut, std::size_t aMaxBytes, duration aLimit)
{
  const time_point end = Now() + aLimit;
  error_code failure;
  while (!failure && !IsComplete()) {
    if (aOut.size() > aMaxBytes) {
      co_return http::error::body_limit;
    }
    failure = co_await ReadSome(aOut, std::max(end - Now(), duration::zero()));
  }
  co_return failure;
}

void exchange::Close()
{
  error_code ignoredAsClosedAnyway;
  mSocket.close(ignoredAsClosedAnyway);
}

} // namespace tamarackweir::net
