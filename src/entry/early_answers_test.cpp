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

constexpr std::size_t kUpload = 16U << 20U; ///< bytes, more than the kernels' buffers hold

/// Calls a service that answers with `aBytes` as soon as the header of the call is there, and
/// resets the connection.
call_result CallEarly(const std::string& aBytes, std::size_t aUpload)
{
  boost::asio::io_context loop;
  tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  std::thread service([&acceptor, &aBytes] {
    tcp::socket peer = acceptor.accept();
    std::array<char, 4096> request{};
    peer.read_some(boost::asio::buffer(request));
    boost::system::error_code ignoredAsReset;
    boost::asio::write(peer, boost::asio::buffer(aBytes), ignoredAsReset);
    peer.shutdown(tcp::socket::shutdown_send, ignoredAsReset);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    peer.set_option(boost::asio::socket_base::linger(true, 0), ignoredAsReset);
  });
  call_result result =
    CallPlain({ .mServer = { .mHost = "127.0.0.1", .mPort = acceptor.local_endpoint().port() },
                .mPath = "/",
                .mBody = std::string(aUpload, '.') });
  service.join();
  return result;
}

} // namespace

// Guards against a part of a service's answer that a client gets as the whole one.
TEST_CASE("an answer without a length that is reset during the upload counts as broken")
{
  CHECK(CallEarly("HTTP/1.1 200 OK\r\n\r\npart", kUpload).mEnd == call_end::Broken);
}

// Guards against an answer that is none, and against one that is made of its body.
TEST_CASE("an answer with a status below 100 counts as broken, whatever its body is")
{
  const std::string inner = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  for (const char* const status : { "000", "099" }) {
    const call_result result =
      CallEarly(std::string("HTTP/1.1 ") + status +
                  " X\r\nContent-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner,
                100);
    CHECK(result.mEnd == call_end::Broken);
    CHECK(result.mStatus == 0);
  }
}
