#include "net/exchange.h"

#include <array>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::net;

namespace {

constexpr std::size_t kLongUpload = 16U << 20U; ///< bytes, more than the kernels' buffers hold
constexpr std::size_t kShortUpload = 16U << 10U;

/// How a server goes on after an early answer without a length.
enum class early_end
{
  Reset,
  HalfCloseThenReset,
  HalfCloseThenClose, ///< with bytes of the request unread, which is a reset as well
  HalfCloseAndRead,   ///< to the end of the request: the answer is whole
};

struct early_answer
{
  early_end mEnd = early_end::Reset;
  duration mPause = 0s; ///< between the answer, its end and the reset
  std::string mBytes = "HTTP/1.1 200 OK\r\n\r\npart";
  std::size_t mUpload = kLongUpload;
};

task<> AnswerEarly(tcp::acceptor& aAcceptor, early_answer aAnswer)
{
  tcp::socket peer(aAcceptor.get_executor());
  error_code failure;
  co_await aAcceptor.async_accept(peer, asio::redirect_error(asio::use_awaitable, failure));
  co_await asio::async_write(peer, asio::buffer(aAnswer.mBytes),
                             asio::redirect_error(asio::use_awaitable, failure));
  if (aAnswer.mPause > 0s) {
    co_await SleepFor(aAcceptor.get_executor(), aAnswer.mPause);
  }
  if (aAnswer.mEnd != early_end::Reset) {
    peer.shutdown(tcp::socket::shutdown_send, failure);
    if (aAnswer.mPause > 0s) {
      co_await SleepFor(aAcceptor.get_executor(), aAnswer.mPause);
    }
  }
  if (aAnswer.mEnd == early_end::HalfCloseAndRead) {
    std::vector<char> bytes(1U << 20U);
    while (!failure) {
      co_await peer.async_read_some(asio::buffer(bytes),
                                    asio::redirect_error(asio::use_awaitable, failure));
    }
  } else if (aAnswer.mEnd != early_end::HalfCloseThenClose) {
    peer.set_option(asio::socket_base::linger(true, 0));
  }
}

struct seen_answer
{
  error_code mFailure;
  unsigned mStatus = 0;
  std::string mBody;
  bool mFailsLater = false; ///< the connection has failed 100 ms after the answer
};

task<> Upload(asio::io_context& aLoop, tcp::endpoint aServer, std::size_t aSize, seen_answer& aSeen)
{
  const auto connection = std::make_shared<exchange>(aLoop.get_executor());
  aSeen.mFailure = co_await connection->Connect(aServer, 1s, silence_limits{});
  auto request = std::make_shared<outbound_request>(http::verb::post, "/", 11);
  request->body().resize(aSize, '.');
  request->prepare_payload();
  connection->Send(std::move(request));
  if (!aSeen.mFailure) {
    aSeen.mFailure = co_await connection->ReadHeader(2s);
  }
  if (!aSeen.mFailure) {
    aSeen.mStatus = connection->Header().result_int();
    aSeen.mFailure = co_await connection->ReadAll(aSeen.mBody, 1U << 20U, 4s);
  }
  co_await SleepFor(aLoop.get_executor(), aSize == kShortUpload ? 100ms : 0ms);
  aSeen.mFailsLater = connection->HasFailed();
  connection->Close();
  aLoop.stop();
}

seen_answer Play(const early_answer& aAnswer)
{
  asio::io_context loop{ 1 };
  tcp::acceptor acceptor(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  seen_answer seen;
  Spawn(loop.get_executor(), "server", AnswerEarly(acceptor, aAnswer));
  Spawn(loop.get_executor(), "upload",
        Upload(loop, acceptor.local_endpoint(), aAnswer.mUpload, seen));
  loop.run_for(6s);
  return seen;
}

} // namespace

// Guards against a part of an answer that is taken for the whole, as its upload was not over.
TEST_CASE("an early answer without a length that is reset during the upload is not complete")
{
  for (const early_end end :
       { early_end::Reset, early_end::HalfCloseThenReset, early_end::HalfCloseThenClose }) {
    for (const duration pause : { duration(0s), duration(1ms), duration(20ms) }) {
      for (int i = 0; i < 20; ++i) {
        CAPTURE(static_cast<int>(end));
        CAPTURE(pause.count());
        CHECK(Play({ .mEnd = end, .mPause = pause }).mFailure);
      }
    }
  }
}

// Guards against the same where the kernel had taken the whole upload.
TEST_CASE("a reset that follows the end of an answer without a length is noticed")
{
  for (const early_end end : { early_end::HalfCloseThenReset, early_end::HalfCloseThenClose }) {
    const seen_answer seen = Play({ .mEnd = end, .mPause = 20ms, .mUpload = kShortUpload });
    CHECK((seen.mFailure || seen.mFailsLater));
  }
  CHECK_FALSE(Play({ .mEnd = early_end::HalfCloseAndRead, .mUpload = kShortUpload }).mFailsLater);
}

TEST_CASE("an early answer without a length is complete once the upload has been read")
{
  const seen_answer seen = Play({ .mEnd = early_end::HalfCloseAndRead, .mPause = 20ms });
  CHECK_FALSE(seen.mFailure);
  CHECK(seen.mStatus == 200);
  CHECK(seen.mBody == "part");
}

// Guards against an answer that is no answer, and against the next one, made of its body.
TEST_CASE("an answer with a status below 100 is an error, whatever follows it")
{
  for (const char* const status : { "000", "001", "099", "101" }) {
    for (const char* const rest :
         { "Content-Length: 4\r\n\r\ntext", "\r\n\r\ntext",
           "Content-Length: 40\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" }) {
      CAPTURE(status);
      CAPTURE(rest);
      const seen_answer seen =
        Play({ .mEnd = early_end::HalfCloseAndRead,
               .mBytes = std::string("HTTP/1.1 ") + status + " X\r\n" + rest });
      CHECK(seen.mFailure == http::error::bad_status);
      CHECK(seen.mStatus == 0);
    }
  }
}
