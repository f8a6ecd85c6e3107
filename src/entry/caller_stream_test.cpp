#include "entry/bounded_server.h"
#include "entry/http_support.h"
#include "entry/refusal_log.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <thread>

using namespace tamarackweir;
using namespace tamarackweir::entry;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t kHeaderBytes = 1000;

/// A server with small limits that answers with the body of the request.
class echo_server
{
public:
  explicit echo_server(std::size_t aMemory = std::size_t{ 1 } << 20U)
    : mMemory(aMemory)
    , mRefusals(mMetrics, mMemory)
    , mServer(mMemory, Options(mRefusals))
  {
    mServer.Post("/x", [](const httplib::Request& aRequest, httplib::Response& aResponse) {
      aResponse.set_content(aRequest.body, "text/plain");
    });
    boost::asio::io_context loop;
    mPort = tcp::acceptor(loop, { boost::asio::ip::make_address("127.0.0.1"), 0 })
              .local_endpoint()
              .port();
    mThread = Serve(mServer, { .mHost = "127.0.0.1", .mPort = mPort }, "test");
  }
  ~echo_server()
  {
    mServer.stop();
    mThread.join();
  }

  /// Sends the pieces with a pause before each, and returns all that is answered.
  std::string Ask(const std::vector<std::string>& aPieces) const
  {
    boost::asio::io_context loop;
    tcp::socket socket(loop);
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), mPort });
    boost::system::error_code failure;
    for (const std::string& piece : aPieces) {
      std::this_thread::sleep_for(20ms);
      boost::asio::write(socket, boost::asio::buffer(piece), failure);
    }
    std::string answer;
    std::array<char, 512> bytes{};
    while (!failure) {
      answer.append(bytes.data(), socket.read_some(boost::asio::buffer(bytes), failure));
    }
    return answer;
  }

  std::string Metrics() const { return mMetrics.Render(); }

private:
  static bounded_server_options Options(refusal_log& aRefusals)
  {
    bounded_server_options options;
    options.mStream = { .mLimits = { .mHeaderBytes = kHeaderBytes, .mHeaderTime = 1s },
                        .mOnRefusal = [&aRefusals](read_end aEnd, std::size_t aBytes) {
                          aRefusals.Record(aEnd, aBytes);
                        } };
    options.mIsServed = [](const httplib::Request& aRequest) { return aRequest.path == "/x"; };
    return options;
  }

  observe::metrics mMetrics;
  body_memory mMemory;
  refusal_log mRefusals;
  bounded_server mServer;
  std::uint16_t mPort = 0;
  std::thread mThread;
};

std::string Head(const std::string& aFields, const std::string& aTarget = "/x")
{
  return "POST " + aTarget + " HTTP/1.1\r\nConnection: close\r\n" + aFields + "\r\n";
}

bool IsAnswered(const std::string& aAnswer, const char* aStatus, const std::string& aText)
{
  return aAnswer.starts_with(std::string("HTTP/1.1 ") + aStatus) && aAnswer.ends_with(aText);
}

} // namespace

// Guards against limits that end ordinary requests: in pieces, in tiny chunks, at the limit, or
// several on one connection.
TEST_CASE("requests inside the limits are served")
{
  const echo_server server;
  const std::string head = Head("Content-Length: 4\r\n");
  CHECK(IsAnswered(server.Ask({ head.substr(0, 9), head.substr(9), "ab", "cd" }), "200", "abcd"));
  std::string chunks;
  for (int i = 0; i < 5000; ++i) {
    chunks += "1\r\nx\r\n";
  }
  CHECK(IsAnswered(server.Ask({ Head("Transfer-Encoding: chunked\r\n"), chunks + "0\r\n\r\n" }),
                   "200", std::string(5000, 'x')));
  const std::string fill(kHeaderBytes - Head("Content-Length: 4\r\nF: \r\n").size(), 'f');
  CHECK(IsAnswered(server.Ask({ Head("Content-Length: 4\r\nF: " + fill + "\r\n") + "abcd" }), "200",
                   "abcd"));
  CHECK(
    IsAnswered(server.Ask({ "POST /x HTTP/1.1\r\nContent-Length: 2\r\n\r\nab" + head + "abcd" }),
               "200", "abcd"));
}

// Guards against a caller that takes memory or a thread without end.
TEST_CASE("requests outside the limits are refused as not run, and counted")
{
  const echo_server server;
  const auto isRefused = [&server](const std::vector<std::string>& aPieces, const char* aStatus,
                                   const std::string& aReason) {
    const std::string answer = server.Ask(aPieces);
    CAPTURE(answer);
    CHECK(answer.starts_with(std::string("HTTP/1.1 ") + aStatus));
    CHECK(answer.find(R"("outcome":"not_run")") != std::string::npos);
    CHECK(server.Metrics().find("reason=\"" + aReason + "\"") != std::string::npos);
  };
  const std::string fill(kHeaderBytes, 'f');
  isRefused({ Head("F: " + fill + "\r\n") }, "431", "header_too_large");
  isRefused({ "POST /" + fill }, "431", "header_too_large");
  isRefused({ "POST /x HTTP/1.1\r\nF: " }, "408", "header_too_slow");
  isRefused({ Head("Transfer-Encoding: chunked\r\n"), "1;" + std::string(9000, 'f') }, "400",
            "line_too_long");
  isRefused({ Head("Content-Length: 4\r\n", "/y") }, "404", "not_served");
}

// Guards against headers that take memory beside the bodies' budget.
TEST_CASE("a header without memory is refused")
{
  const echo_server server(100);
  CHECK(IsAnswered(server.Ask({ Head("Content-Length: 0\r\n") }), "503", "\"}"));
  CHECK(server.Metrics().find("tamarackweir_memory_refusals_total 1") != std::string::npos);
}

// Guards against a slow caller that loses its thread while others are free.
TEST_CASE("a header may take longer while threads are free")
{
  const read_limits limits;
  read_progress progress{ .mBegan = time_point(10s) };
  CHECK_FALSE(IsHeaderLate(progress, limits, false, time_point(39s)));
  CHECK(IsHeaderLate(progress, limits, false, time_point(40s)));
  CHECK_FALSE(IsHeaderLate(progress, limits, true, time_point(11s)));
  CHECK(IsHeaderLate(progress, limits, true, time_point(12s)));
  progress.mIsHeaderRead = true;
  CHECK_FALSE(IsHeaderLate(progress, limits, true, time_point(50s)));
}
