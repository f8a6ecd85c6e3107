#include "entry/bounded_server.h"
#include "entry/http_support.h"

#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::entry;
using boost::asio::ip::tcp;

namespace {

tcp::endpoint FreeAddress()
{
  boost::asio::io_context loop;
  const tcp::acceptor acceptor(loop, { boost::asio::ip::make_address("127.0.0.1"), 0 });
  return acceptor.local_endpoint();
}

/// Sends `aBytes`, ends the connection in order and waits until the server has done so too.
void SendCut(const tcp::endpoint& aServer, const std::string& aBytes)
{
  boost::asio::io_context loop;
  tcp::socket socket(loop);
  socket.connect(aServer);
  boost::asio::write(socket, boost::asio::buffer(aBytes));
  socket.shutdown(tcp::socket::shutdown_send);
  std::array<char, 512> answer{};
  boost::system::error_code failure;
  while (!failure) {
    socket.read_some(boost::asio::buffer(answer), failure);
  }
}

} // namespace

// Guards against a service that is called with a part of a body whose caller broke off.
TEST_CASE("a request that is cut at any byte reaches no handler")
{
  const tcp::endpoint address = FreeAddress();
  body_memory memory(std::size_t{ 1 } << 20U);
  bounded_server server(memory, {});
  std::atomic<int> runs{ 0 };
  server.Post("/x", [&runs](const httplib::Request&, httplib::Response&) { ++runs; });
  std::thread serving = Serve(server, { .mHost = "127.0.0.1", .mPort = address.port() }, "test");
  const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\n";
  for (const std::string& request :
       { head + "Content-Length: 12\r\n\r\nabcdefabcdef",
         head + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n2\r\nef\r\n0\r\n\r\n" }) {
    for (std::size_t size = 1; size < request.size(); ++size) {
      CAPTURE(request.substr(0, size));
      SendCut(address, request.substr(0, size));
      CHECK(runs == 0);
      runs = 0;
    }
    SendCut(address, request);
    CHECK(runs == 1);
    runs = 0;
  }
  server.stop();
  serving.join();
}
