#include "entry/engine_client.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <thread>

using namespace tamarackweir;
using namespace tamarackweir::entry;
using boost::asio::ip::tcp;

namespace {

/// Calls a service that sends `aBytes` and closes its connection.
call_result CallCut(const std::string& aBytes)
{
  boost::asio::io_context loop;
  tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  std::thread service([&acceptor, &aBytes] {
    tcp::socket peer = acceptor.accept();
    std::array<char, 4096> request{};
    std::string text;
    while (!text.ends_with("question")) {
      text.append(request.data(), peer.read_some(boost::asio::buffer(request)));
    }
    boost::asio::write(peer, boost::asio::buffer(aBytes));
  });
  call_result result =
    CallPlain({ .mServer = { .mHost = "127.0.0.1", .mPort = acceptor.local_endpoint().port() },
                .mPath = "/",
                .mBody = "question" });
  service.join();
  return result;
}

struct service_answer
{
  std::string mName;
  std::string mBytes;
  std::string mBody;
};

} // namespace

// Guards against a part of a service's answer that a client gets as the whole one.
TEST_CASE("an answer of a service that is cut at any byte counts as broken")
{
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<service_answer> answers{
    { "length", "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 12\r\n\r\nbbbbbbbbbbbb",
      "bbbbbbbbbbbb" },
    { "chunks", chunked + "10\r\ncccccccccccccccc\r\n2\r\ndd\r\n0\r\n\r\n", "ccccccccccccccccdd" },
  };
  for (const service_answer& answer : answers) {
    for (std::size_t size = 0; size < answer.mBytes.size(); ++size) {
      CAPTURE(answer.mBytes.substr(0, size));
      CHECK(CallCut(answer.mBytes.substr(0, size)).mEnd == call_end::Broken);
    }
    const call_result whole = CallCut(answer.mBytes);
    CAPTURE(answer.mName);
    CHECK(whole.mEnd == call_end::Complete);
    CHECK(whole.mBody == answer.mBody);
  }
}
