#pragma once

#include "net/byte_budget.h"
#include "net/exchange.h"
#include "net/loop.h"
#include "net/silence.h"
#include "net/watchdog.h"

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackweir::net {

/// Bytes of further requests that are read while one is answered; more wait in the socket.
inline constexpr std::size_t kMaxPipelinedBytes = 1U << 16U;

/// What callers may send and how long they may take.
struct caller_limits
{
  std::uint32_t mMaxHeaderBytes = 16 * 1024; ///< above it 431
  std::uint64_t mMaxBodyBytes = 1U << 20U;   ///< above it 413
  duration mHeaderTimeout = 5s;              ///< from the first byte of a header to its last
  duration mBodyTimeout = 30s;               ///< from the end of the header to the end of the body
  duration mIdleTimeout = 30s;               ///< between requests
  duration mWriteTimeout = 10s;              ///< for a write whose caller's deadline is nearer
  duration mMaxWriteTimeout = 300s;          ///< for a write whose caller's deadline is later
};

/// A request that was read whole. Trailers of a chunked body are left out.
struct inbound_request
{
  std::string mMethod;
  std::string mTarget;
  http::fields mHeader;
  std::string mBody;
  byte_claim mClaim;     ///< on the memory of its header and body
  time_point mArrived{}; ///< when the first byte of the header was there
};

using outbound_answer = http::response<http::string_body>;

/// What a caller's connection is doing.
enum class connection_phase
{
  Idle,      ///< no byte of a request has been read
  Reading,   ///< a request arrives
  Handling,  ///< a request was read whole, and no answer has begun
  Answering, ///< an answer is being written
};
inline constexpr std::size_t kConnectionPhases = 4;
const char* ToString(connection_phase aPhase);

/// Why a caller's connection ended.
enum class connection_end
{
  Caller,  ///< the caller closed or reset it, or its machine went silent
  Timeout, ///< a phase took longer than its limit
  Server,  ///< closed here, in order or because the handler gave up
  Stop,    ///< closed here at the end of the process
  Memory,  ///< closed here, as it held memory that others need, before its request was read whole
};
inline constexpr std::size_t kConnectionEnds = 5;
const char* ToString(connection_end aEnd);

/// Counts since the start. `mAccepted` is the sum of `mEnded` and the open connections; `mRead` is
/// the sum of `mAnswered`, the requests that ended in the phases `Handling` and `Answering`, and
/// those that are in them now.
struct connection_counts
{
  std::uint64_t mAccepted = 0;
  std::uint64_t mRead = 0;     ///< requests that were read whole, or refused while they were read
  std::uint64_t mAnswered = 0; ///< of these, those whose whole answer the kernel took
  /// Ended connections, by the phase in which they were and by the reason.
  std::array<std::array<std::uint64_t, kConnectionEnds>, kConnectionPhases> mEnded{};
};

/// The caller's side of a request, through which a handler answers it exactly once.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
  caller_connection(tcp::socket aSocket, const caller_limits& aLimits,
                    std::shared_ptr<connection_counts> aCounts,
                    std::shared_ptr<byte_budget> aBudget);

  /// Sends a whole answer. `Content-Length` is set here. Returns the failure of the write, if any.
  task<error_code> Answer(outbound_answer& aAnswer);

  /// Sends the header of an answer whose body follows in parts. An answer to HEAD, and one with the
  /// status 204 or 304, has no body: the parts are not sent.
  task<error_code> StartBody(const http::response_header<>& aHeader);
  /// Sends a part of the body.
  task<error_code> WriteBody(std::string_view aBytes);
  /// Sends the end that makes the body complete.
  task<error_code> FinishBody();
  /// Closes the connection so that a started answer does not look complete.
  void Break();

  /// Until when the caller waits for its answer, and may be slow to read it.
  void SetTimeLeft(duration aTimeLeft);

  /// Whether the caller has closed the connection while its request was under way.
  bool IsGone() const { return mIsGone; }
  /// Calls `aAction` once when the caller closes the connection.
  void OnGone(std::function<void()> aAction);

  asio::any_io_executor Executor() { return mSocket.get_executor(); }

private:
  friend class http_server;

  /// Waits for room for `aBytes` of a request that is being read; then others give way to it.
  /// Returns false if there is none.
  task<bool> AwaitRoom(std::size_t aBytes);
  /// Closes the connection for others that need its memory.
  void GiveWay(std::size_t aBodyBytes);
  byte_claim NewClaim() const { return mBudget != nullptr ? byte_claim(mBudget) : byte_claim(); }
  void ReleaseBuffer();

  void Watch();
  void SetGone();
  /// Closes the socket; the first reason stays.
  void CloseFor(connection_end aEnd);
  /// Why the connection ends after an operation that failed, or succeeded.
  connection_end EndOf(const error_code& aFailure) const;
  void RecordFailure(const error_code& aFailure);
  void StartWrite();
  /// Whether the caller's machine has not acknowledged all that was written.
  bool HasUnsentBytes();
  duration WriteLimit() const;
  /// Ends the sending side and waits until the caller has received all and closed, or has had its
  /// time. Discards what it sends, since closing with unread bytes resets the connection.
  task<> Linger();
  void Discard(std::shared_ptr<asio::steady_timer> aOnEnd);
  void EndAnswer(const error_code& aFailure);

  tcp::socket mSocket;
  watchdog mWatchdog;
  silence_watch mSilenceWatch;
  beast::flat_buffer mBuffer;
  std::shared_ptr<byte_budget> mBudget; ///< of all callers; null: without a limit
  byte_claim mClaim; ///< on the memory of the buffer, and of a request until it is read whole
  const caller_limits& mLimits;
  std::optional<time_point> mDeadline; ///< of the request
  std::function<void()> mOnGone;
  bool mIsGone = false;
  bool mIsWatched = false;   ///< a wait for readability is pending
  bool mIsDiscarded = false; ///< all that the caller sends after the last answer was read
  bool mHasRequest = false;  ///< a request was read and not answered yet
  connection_phase mPhase = connection_phase::Idle;
  std::optional<connection_end> mEnd; ///< set once it is known
  std::shared_ptr<connection_counts> mCounts;
  bool mKeepAlive = true;
  bool mIsHead = false;
  bool mIsChunked = false;
  time_point mIdleSince = Now(); ///< in the phase `Idle`: its begin
  bool mIsBodiless = false;      ///< the answer that is sent in parts has no body
};

} // namespace tamarackweir::net
