#include "entry/engine_client.h"
#include "net/loop.h"
#include "platform/http_clients.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <thread>

using namespace tamarackweir;
using namespace tamarackweir::entry;
using boost::asio::ip::tcp;

namespace {

constexpr duration kLimit = 1s;
/// What a client may read of an endless answer, with what the kernels' buffers hold.
constexpr std::size_t kMostBytes = kMaxAnswerBytes + (std::size_t{ 24 } << 20U);

/// A server that sends `aHead` and then `aRepeated` until its client closes.
class endless_server
{
public:
  endless_server(std::string aHead, std::string aRepeated)
    : mHead(std::move(aHead))
    , mRepeated(std::move(aRepeated))
    , mThread([this] { Serve(); })
  {
  }
  ~endless_server() { mThread.join(); }

  platform::endpoint Address() const
  {
    return { .mHost = "127.0.0.1", .mPort = mAcceptor.local_endpoint().port() };
  }
  std::size_t Sent() const { return mSent; }

private:
  void Serve()
  {
    tcp::socket peer = mAcceptor.accept();
    boost::system::error_code failure;
    boost::asio::write(peer, boost::asio::buffer(mHead), failure);
    while (!failure) {
      mSent += boost::asio::write(peer, boost::asio::buffer(mRepeated), failure);
    }
  }

  boost::asio::io_context mLoop;
  tcp::acceptor mAcceptor{ mLoop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0) };
  std::string mHead;
  std::string mRepeated;
  std::atomic<std::size_t> mSent = 0;
  std::thread mThread;
};

struct endless_answer
{
  const char* mName;
  std::string mHead;
  std::string mRepeated;
  bool mIsSkipped = false; ///< read until the limit of the call, but not kept
};

const std::string kStart = "HTTP/1.1 200 OK\r\nTamarackweir-Request: r\r\n";
const std::string kFailed = "HTTP/1.1 500 Failed\r\n";
const std::string kBytes(64UL * 1024, 'x');
const std::vector<endless_answer> kAnswers{
  { "header line", kStart + "Name: ", kBytes },
  { "header lines", kStart, "Name: value\r\n" },
  { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", true },
  { "body", kStart + "\r\n", kBytes },
  { "body of an error", kFailed + "\r\n", kBytes },
  { "chunks", kFailed + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + kBytes + "\r\n" },
  { "chunk extension", kStart + "Transfer-Encoding: chunked\r\n\r\n5;name=", kBytes },
  { "comments of a stream", kStart + "\r\n", ": comment\n\n", true },
};

template<class Call>
void CheckBounds(Call aCall)
{
  for (const endless_answer& answer : kAnswers) {
    CAPTURE(answer.mName);
    const time_point started = net::Now();
    std::size_t sent = 0;
    {
      endless_server server(answer.mHead, answer.mRepeated);
      aCall(server.Address());
      sent = server.Sent();
    }
    CHECK(net::Now() - started < kLimit + 2s);
    if (!answer.mIsSkipped) {
      CHECK(sent < kMostBytes);
    }
  }
}

backend_call CallTo(const platform::endpoint& aServer)
{
  return {
    .mServer = aServer, .mPath = "/", .mBody = "question", .mReadTimeout = kLimit, .mLimit = kLimit
  };
}

} // namespace

// Guards against a server's endless answer that takes the process's memory and never ends.
TEST_CASE("an answer without end is given up within its limits by each client")
{
  SUBCASE("of services")
  {
    CheckBounds([](const platform::endpoint& aServer) {
      CHECK(CallPlain(CallTo(aServer)).mEnd == call_end::Broken);
    });
  }
  SUBCASE("of engines")
  {
    CheckBounds([](const platform::endpoint& aServer) {
      const auto ignoreEvents = [](const relay::sse_event&) { return true; };
      const call_end end = CallStreaming(CallTo(aServer), request_id("r"), ignoreEvents).mEnd;
      const bool isGivenUp = end == call_end::Broken || end == call_end::Rejected;
      CHECK(isGivenUp);
    });
  }
  SUBCASE("of the platform")
  {
    CheckBounds([](const platform::endpoint& aServer) {
      CHECK_FALSE(platform::GetJson(aServer, "/", { .mTimeout = kLimit }).has_value());
    });
  }
}
