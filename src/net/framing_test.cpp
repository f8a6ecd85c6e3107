#include "net/framing.h"

#include "net/exchange.h"
#include "net/http_server.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::net;

namespace {

/// A body that is a request itself, as in an attempt to smuggle one.
const std::string kInner = "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

/// The text of a request and the body that a server must take from it; without one it must answer
/// 400 and close the connection.
struct request_case
{
  std::string mText;
  std::optional<std::string> mBody;
};

request_case Request(const std::string& aFields, const std::string& aBody,
                     std::optional<std::string> aExpected = std::nullopt)
{
  return { "POST /outer HTTP/1.1\r\nHost: h\r\n" + aFields + "\r\n" + aBody, std::move(aExpected) };
}

std::string Chunked(const std::string& aBody, const std::string& aExtension = "")
{
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx", aBody.size());
  return size.data() + aExtension + "\r\n" + aBody + "\r\n0\r\n\r\n";
}

/// RFC 9112, sections 5, 6.1 to 6.3 and 7.1.
std::vector<request_case> RequestCases()
{
  const std::string size = std::to_string(kInner.size());
  return {
    Request("Content-Length: " + size + "\r\n", kInner, kInner),
    Request("Transfer-Encoding: chunked\r\n", Chunked(kInner), kInner),
    Request("transfer-encoding: Chunked\r\n", Chunked(kInner), kInner),
    Request("Transfer-Encoding: chunked\r\n", Chunked(kInner, ";a=b"), kInner),
    Request("Transfer-Encoding: identity\r\n", kInner),
    Request("Transfer-Encoding: gzip\r\n", kInner),
    Request("Transfer-Encoding: chunked, gzip\r\n", kInner),
    Request("Transfer-Encoding: gzip, chunked\r\n", Chunked(kInner)),
    Request("Transfer-Encoding: chunked, chunked\r\n", Chunked(kInner)),
    Request("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", Chunked(kInner)),
    Request("Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n", Chunked(kInner)),
    Request("Transfer-Encoding: xchunked\r\n", Chunked(kInner)),
    Request("Transfer-Encoding: \"chunked\"\r\n", Chunked(kInner)),
    Request("Transfer-Encoding:\r\n", kInner),
    Request("Transfer-Encoding : chunked\r\n", Chunked(kInner)),
    Request("Transfer-Encoding: identity\r\nContent-Length: " + size + "\r\n", kInner),
    Request("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", Chunked(kInner)),
    Request("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", Chunked(kInner)),
    Request("Content-Length: 3\r\nContent-Length: " + size + "\r\n", kInner),
    Request("Content-Length: +3\r\n", kInner),
    Request("Content-Length: -3\r\n", kInner),
    Request("Content-Length: 3 3\r\n", kInner),
    Request("Content-Length: 0x10\r\n", kInner),
    Request("Content-Length: 18446744073709551617\r\n", kInner),
    Request("Transfer-Encoding: chunked\r\n", "fffffffffffffffff\r\n" + kInner),
    Request("Transfer-Encoding: chunked\r\n", "-1\r\n" + kInner),
    Request("Transfer-Encoding: chunked\r\n", "0x5\r\n" + kInner),
    Request("Transfer-Encoding: chunked\r\n", "\r\n" + kInner),
    Request("Name\r\n", kInner),
    Request("Na me: x\r\n", kInner),
    Request(std::string("Name: a\0b\r\n", 11), kInner),
    Request("Name: a\nTransfer-Encoding: chunked\r\n", Chunked(kInner)),
  };
}

/// How the bytes of a request arrive.
enum class arrival
{
  AtOnce,
  ByteByByte,
  BehindAnother, ///< on a connection on which a sound request came before
};

struct seen_exchange
{
  std::vector<inbound_request> mRequests; ///< that reached the handler
  std::string mAnswers;
  bool mIsClosed = false;
};

task<> SendBytes(std::shared_ptr<tcp::socket> aSocket, std::string aText, std::size_t aStep)
{
  error_code failure;
  for (std::size_t i = 0; i < aText.size() && !failure; i += aStep) {
    const std::string piece = aText.substr(i, aStep);
    co_await asio::async_write(*aSocket, asio::buffer(piece),
                               asio::redirect_error(asio::use_awaitable, failure));
    co_await asio::post(aSocket->get_executor(), asio::use_awaitable);
  }
}

task<> Receive(std::shared_ptr<tcp::socket> aSocket, seen_exchange& aSeen)
{
  error_code failure;
  co_await asio::async_read(*aSocket, asio::dynamic_buffer(aSeen.mAnswers),
                            asio::redirect_error(asio::use_awaitable, failure));
  aSeen.mIsClosed = true;
}

seen_exchange Play(const std::string& aText, arrival aArrival)
{
  const std::string sound = "GET /sound HTTP/1.1\r\nHost: h\r\n\r\n";
  asio::io_context loop{ 1 };
  const caller_limits limits;
  seen_exchange seen;
  http_server server(loop,
                     { .mAddress = tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0),
                       .mLimits = &limits,
                       .mHandler = [&seen](std::shared_ptr<caller_connection> aCaller,
                                           std::shared_ptr<inbound_request> aRequest) -> task<> {
                         seen.mRequests.push_back(std::move(*aRequest));
                         outbound_answer answer{ http::status::ok, 11 };
                         co_await aCaller->Answer(answer);
                       } });
  server.Start();
  const auto socket = std::make_shared<tcp::socket>(loop);
  socket->connect(server.Address());
  socket->set_option(tcp::no_delay(true));
  const std::string text = aArrival == arrival::BehindAnother ? sound + aText : aText;
  Spawn(loop.get_executor(), "send",
        SendBytes(socket, text, aArrival == arrival::ByteByByte ? 1 : text.size()));
  Spawn(loop.get_executor(), "receive", Receive(socket, seen));
  const std::size_t expected = aArrival == arrival::BehindAnother ? 2 : 1;
  const time_point end = Now() + 5s;
  while (!seen.mIsClosed && seen.mRequests.size() < expected && Now() < end) {
    loop.run_one_for(10ms);
  }
  // A connection on which all is well stays open, and nothing more comes on it.
  loop.run_for(20ms);
  loop.stop();
  if (aArrival == arrival::BehindAnother) {
    REQUIRE(!seen.mRequests.empty());
    CHECK(seen.mRequests.front().mTarget == "/sound");
    seen.mRequests.erase(seen.mRequests.begin());
    seen.mAnswers.erase(0, seen.mAnswers.find("\r\n\r\n") + 4);
  }
  return seen;
}

} // namespace

// Guards against a request inside the body of another one that is run as a request of its own, and
// against a request that is run with a body which is not the caller's.
TEST_CASE("a request reaches the handler with its whole body, or is refused and nothing of it does")
{
  for (const request_case& one : RequestCases()) {
    for (const arrival way : { arrival::AtOnce, arrival::ByteByByte, arrival::BehindAnother }) {
      CAPTURE(one.mText);
      CAPTURE(static_cast<int>(way));
      const seen_exchange seen = Play(one.mText, way);
      CAPTURE(seen.mAnswers);
      if (one.mBody) {
        REQUIRE(seen.mRequests.size() == 1);
        CHECK(seen.mRequests.front().mTarget == "/outer");
        CHECK(seen.mRequests.front().mBody == *one.mBody);
        CHECK_FALSE(seen.mIsClosed);
      } else {
        CHECK(seen.mRequests.empty());
        CHECK(seen.mAnswers.starts_with("HTTP/1.1 400 "));
      }
    }
  }
}

// Guards against an answer whose body is passed on in a coding that its header no longer names.
TEST_CASE("an answer in a transfer coding that is not decoded is no answer")
{
  struct answer_case
  {
    std::string mCoding;
    bool mIsKnown;
  };
  const std::vector<answer_case> cases{ { "chunked", true },        { "CHUNKED", true },
                                        { "gzip", false },          { "identity", false },
                                        { "gzip, chunked", false }, { "chunked, gzip", false } };
  for (const answer_case& one : cases) {
    CAPTURE(one.mCoding);
    asio::io_context loop{ 1 };
    tcp::acceptor acceptor(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    tcp::socket peer(loop);
    acceptor.async_accept(peer, [&](const error_code&) {
      asio::write(peer, asio::buffer("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + one.mCoding +
                                     "\r\n\r\n2\r\nhi\r\n0\r\n\r\n"));
    });
    const auto connection = std::make_shared<exchange>(loop.get_executor());
    error_code failure = asio::error::timed_out;
    Spawn(loop.get_executor(), "read",
          [](std::shared_ptr<exchange> aConnection, tcp::endpoint aServer,
             error_code& aFailure) -> task<> {
            aFailure = co_await aConnection->Connect(aServer, 1s, silence_limits{});
            aConnection->Send(std::make_shared<outbound_request>(http::verb::get, "/", 11));
            aFailure = co_await aConnection->ReadHeader(1s);
            aConnection->Close();
          }(connection, acceptor.local_endpoint(), failure));
    loop.run_for(2s);
    CHECK(!failure == one.mIsKnown);
  }
}
