#include "net/silence.h"

#include "net/exchange.h"
#include "net/http_server.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <linux/filter.h>
#include <sys/socket.h>

using namespace tamarackweir;
using namespace tamarackweir::net;

namespace {

constexpr int kRoom = 2048;             ///< bytes that the peer's kernel keeps
constexpr std::size_t kBytes = 1 << 19; ///< more than both kernels take

const duration kLimit = silence_limits{}.mUnacknowledged;

/// Makes the kernel drop all that arrives for the socket, as if its machine were gone.
void CutOff(tcp::socket& aSocket)
{
  sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog program{ .len = 1, .filter = &drop };
  REQUIRE(setsockopt(aSocket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                     sizeof program) == 0);
}

/// A caller that has asked for `kBytes`, and its server.
struct slow_caller
{
  slow_caller()
    : mServer(mLoop, { .mAddress = tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0),
                       .mLimits = &mLimits,
                       .mHandler = [](std::shared_ptr<caller_connection> aCaller,
                                      std::shared_ptr<inbound_request>) -> task<> {
                         outbound_answer answer{ http::status::ok, 11 };
                         answer.body() = std::string(kBytes, 'a');
                         aCaller->SetTimeLeft(20s);
                         co_await aCaller->Answer(answer);
                       } })
  {
    mServer.Start();
    mSocket.open(tcp::v4());
    mSocket.set_option(tcp::socket::receive_buffer_size(kRoom));
    mSocket.connect(mServer.Address());
    asio::write(mSocket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  }

  asio::io_context mLoop{ 1 };
  caller_limits mLimits{ .mWriteTimeout = 100ms };
  http_server mServer;
  tcp::socket mSocket{ mLoop };
};

} // namespace

// Guards against an answer that is lost because its caller pauses before it reads the rest.
TEST_CASE("a caller that has no room for longer than the limit on silence gets its answer whole")
{
  slow_caller caller;
  caller.mLoop.run_for(kLimit + 1s);
  std::string answer;
  error_code failure;
  const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBytes) +
                            "\r\n\r\n" + std::string(kBytes, 'a');
  asio::async_read(caller.mSocket, asio::dynamic_buffer(answer),
                   asio::transfer_at_least(whole.size()),
                   [&failure](error_code aFailure, std::size_t) { failure = aFailure; });
  caller.mLoop.run_for(5s);
  CHECK_MESSAGE(!failure, failure.message());
  CHECK((answer == whole));
  CHECK(caller.mServer.Counts().mAnswered == 1);
}

// Guards against connections to dead machines that are kept until the request's deadline.
TEST_CASE("a caller whose machine goes silent in an answer is noticed")
{
  slow_caller caller;
  caller.mLoop.run_for(10ms);
  std::string part(kRoom, 'x');
  asio::read(caller.mSocket, asio::buffer(part));
  CutOff(caller.mSocket);
  const time_point start = Now();
  while (caller.mServer.Connections() > 0 && Now() < start + 10s) {
    caller.mLoop.run_one_for(10ms);
  }
  CHECK(Now() - start < kLimit + 2s);
}

// Guards against a request that is lost because a server is late to read its body.
TEST_CASE("a server that has no room for longer than the limit on silence gets the whole request")
{
  asio::io_context loop{ 1 };
  tcp::acceptor server(loop, tcp::v4());
  server.set_option(tcp::socket::receive_buffer_size(kRoom));
  server.bind({ asio::ip::make_address("127.0.0.1"), 0 });
  server.listen();
  const auto connection = std::make_shared<exchange>(loop.get_executor());
  error_code failure = asio::error::would_block;
  Spawn(loop.get_executor(), "request",
        [](std::shared_ptr<exchange> aConnection, tcp::endpoint aServer,
           error_code& aFailure) -> task<> {
          aFailure = co_await aConnection->Connect(aServer, 1s, silence_limits{});
          auto request = std::make_shared<outbound_request>(http::verb::post, "/", 11);
          request->body() = std::string(kBytes, 'a');
          request->prepare_payload();
          aConnection->Send(request);
          aFailure = co_await aConnection->ReadHeader(15s);
        }(connection, server.local_endpoint(), failure));
  loop.run_for(kLimit + 1s);
  tcp::socket accepted = server.accept();
  std::string received;
  asio::async_read(accepted, asio::dynamic_buffer(received), asio::transfer_at_least(kBytes),
                   [&accepted](error_code, std::size_t) {
                     error_code ignored;
                     asio::write(accepted, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\n")),
                                 ignored);
                   });
  loop.run_for(5s);
  CHECK_MESSAGE(!failure, failure.message());
  connection->Close();
}

// Guards against an answer that is lost in a reset because its caller has sent bytes nobody reads.
TEST_CASE("a caller that reads slowly gets the last answer whole though it has sent more")
{
  slow_caller caller;
  caller.mServer.Drain();
  const std::string further(1UL << 18U, 'x');
  asio::async_write(caller.mSocket, asio::buffer(further), [](error_code, std::size_t) {});
  std::string answer;
  error_code failure;
  std::string part(1UL << 14U, 'x');
  while (!failure) {
    caller.mLoop.run_for(30ms);
    caller.mSocket.non_blocking(true);
    const std::size_t size = caller.mSocket.read_some(asio::buffer(part), failure);
    answer.append(part, 0, size);
    if (failure == asio::error::would_block) {
      failure = {};
    }
  }
  CHECK(failure == asio::error::eof);
  CHECK(answer.size() > kBytes);
  CHECK(caller.mServer.BusyConnections() == 0);
}
