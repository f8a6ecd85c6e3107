#pragma once

#include "net/byte_budget.h"
#include "net/loop.h"
#include "net/silence.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>

namespace tamarackweir::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// A request as it is sent: start line, header and body.
using outbound_request = http::request<http::string_body>;

/// The same, with a body that is kept elsewhere for as long as the request lives.
using forwarded_request = http::request<http::span_body<const char>>;

/// Largest header of an answer in bytes; engines and services send less than a tenth of it.
inline constexpr std::uint32_t kMaxAnswerHeaderBytes = 64 * 1024;

/// Largest number of received bytes that the parser has not consumed. It consumes a body as it
/// arrives, but waits for the end of a header, of a chunk's size line and of the trailer.
inline constexpr std::size_t kMaxUnparsedBytes = kMaxAnswerHeaderBytes;

/// What marks the end of an answer's body (RFC 9112, section 6.3).
enum class body_framing
{
  None, ///< there is no body
  Length,
  Chunked,
  Connection, ///< the orderly end of the connection
};

const char* ToString(body_framing aFraming);

/// One request to a server and its answer, on a connection of its own.
///
/// The request is written while the answer is read, because a server may answer before it has read
/// a long body. The connection is never used again, so bytes that follow the answer, or that are
/// still due to the server, cannot become part of another exchange.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
  explicit exchange(const asio::any_io_executor& aExecutor);

  /// Opens the connection. Until it returns without an error no byte of a request has left.
  task<error_code> Connect(tcp::endpoint aServer, duration aLimit, silence_limits aSilence);

  /// Starts to write `aRequest`; `ReadHeader` may be called at once.
  void Send(std::shared_ptr<const outbound_request> aRequest);
  void Send(std::shared_ptr<const forwarded_request> aRequest);

  /// Reads the start line and the header of the answer; interim answers (1xx) are skipped. After
  /// `timed_out` the exchange is as before, and the call may be repeated to wait on. Returns
  /// `bad_transfer_encoding` for a body in a coding other than `chunked`, and `bad_status` for a
  /// status below 100 or a change of the protocol, which was not asked for.
  task<error_code> ReadHeader(duration aLimit);

  /// Appends what arrives next of the body to `aOut`. Returns without an error and with
  /// `IsComplete` once the whole body was read; a body without a length is complete at the orderly
  /// end of the connection only, and once the server has the request, as a reset may follow. After
  /// `timed_out` the call may be repeated to wait on.
  task<error_code> ReadSome(std::string& aOut, duration aLimit);

  /// Reads the rest of the body, at most `aMaxBytes`, in `aLimit` altogether. Returns
  /// `no_buffer_space` when the claim on the memory for it is refused, or gives way to a smaller
  /// one; the exchange is closed then, and `aOut` is empty.
  task<error_code> ReadAll(std::string& aOut, std::size_t aMaxBytes, duration aLimit,
                           byte_claim* aClaim = nullptr);

  bool IsComplete() const { return mParser && mParser->is_done(); }
  /// Start line and header of the answer; valid after `ReadHeader`.
  const http::response_header<>& Header() const { return mParser->get().base(); }

  /// What marks the end of the body; valid after `ReadHeader`.
  body_framing Framing() const { return mFraming; }
  /// Whether the connection failed before it was closed here; a reset may follow the orderly end of
  /// a body without a length.
  bool HasFailed();
  /// Why writing the request failed, if it did.
  const error_code& WriteFailure() const { return mWriteFailure; }

  /// Closes the connection; pending operations fail. If a request was sent and its answer is not
  /// complete, resets it, so that bytes of the request which have not left can't arrive later.
  void Close();

private:
  template<class Request>
  void Write(std::shared_ptr<const Request> aRequest);
  void StartParser();
  /// Waits until `aEnd` for bytes, and takes them into the buffer. Returns `buffer_overflow` when
  /// it already holds `kMaxUnparsedBytes`.
  task<error_code> Fill(time_point aEnd);
  /// Waits until the server has acknowledged the request. Returns the failure of the connection, or
  /// `timed_out`.
  task<error_code> AwaitAcknowledged(time_point aEnd);
  bool HasUnacknowledged();
  /// Gives the buffered bytes to the parser. Returns `need_more` when it needs others.
  error_code Parse(std::string& aOut);

  tcp::socket mSocket;
  silence_watch mSilenceWatch;
  asio::steady_timer mTimer;
  beast::flat_buffer mBuffer;
  bool mIsWaiting = false;  ///< a wait for readability is pending
  bool mIsReadable = false; ///< it has ended
  std::optional<http::response_parser<http::buffer_body>> mParser;
  body_framing mFraming = body_framing::None;
  error_code mWriteFailure;
  bool mIsWriting = false; ///< the request has not left whole
  bool mHasFailed = false; ///< as `HasFailed` has seen
  bool mIsSent = false;    ///< a request, or a part of it
  bool mIsHead = false;
};

} // namespace tamarackweir::net
