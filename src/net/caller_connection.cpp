#include "net/caller_connection.h"

#include "observe/event_log.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace tamarackweir::net {

namespace {

/// How long a caller that has received its last answer may go on before its connection is closed.
constexpr duration kLingerLimit = 500ms;

/// Bytes that are read at a time to be discarded.
constexpr std::size_t kDiscardBytes = std::size_t{ 1 } << 12U;

/// How long the rest of a request is left unread while memory is short, before others give way to
/// it: the time in which a burst of short calls is answered and their memory is free again.
constexpr duration kMaxPause = 500ms;
constexpr duration kPauseStep = 10ms;

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
    case connection_end::Memory:
      return "memory";
  }
  return "unknown";
}

caller_connection::caller_connection(tcp::socket aSocket, const caller_limits& aLimits,
                                     std::shared_ptr<connection_counts> aCounts,
                                     std::shared_ptr<byte_budget> aBudget)
  : mSocket(std::move(aSocket))
  , mWatchdog(mSocket)
  , mSilenceWatch(mSocket, silence_limits{}.mUnacknowledged)
  , mBudget(std::move(aBudget))
  , mClaim(NewClaim())
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
  const auto room = mBuffer.prepare(std::min(mBuffer.max_size(), kDiscardBytes));
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
  mBuffer.clear();
  ReleaseBuffer();
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
  } while (!mIsDiscarded && mSocket.is_open() && HasUnsentBytes() && Now() < end);
}

bool caller_connection::HasUnsentBytes()
{
  int bytes = 0;
  return mSocket.is_open() && ioctl(mSocket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
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

task<bool> caller_connection::AwaitRoom(std::size_t aBytes)
{
  const bool isSmall = mBudget != nullptr && aBytes <= mBudget->mSmallBytes;
  const time_point end = isSmall ? time_point{} : Now() + kMaxPause;
  while (!mClaim.Fits(aBytes) && mSocket.is_open() && Now() < end) {
    co_await SleepFor(mSocket.get_executor(), kPauseStep);
  }
  co_return mClaim.TryResize(aBytes, Now());
}

void caller_connection::GiveWay(std::size_t aBodyBytes)
{
  observe::event_line("connection_closed_for_memory")
    .Number("body_bytes", static_cast<std::int64_t>(aBodyBytes))
    .Number("held", static_cast<std::int64_t>(mBudget->mUsed))
    .Number("limit", static_cast<std::int64_t>(mBudget->mLimit))
    .Write();
  CloseFor(connection_end::Memory);
}

void caller_connection::ReleaseBuffer()
{
  mBuffer.shrink_to_fit();
  mClaim = NewClaim();
  (void)mClaim.TryResize(mBuffer.size(), Now());
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
      error_code failure;
      const std::size_t waiting = std::min<std::size_t>(room, self->mSocket.available(failure));
      if (room == 0 || !self->mClaim.TryResize(self->mBuffer.size() + waiting, Now())) {
        return;
      }
      const std::size_t size = self->mSocket.read_some(self->mBuffer.prepare(waiting), failure);
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

} // namespace tamarackweir::net
