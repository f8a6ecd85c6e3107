#include "net/exchange.h"

#include <array>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::net;

namespace {

/// Bytes that the two kernels' buffers of a loopback connection hold at most.
constexpr std::size_t kKernelBytes = 16U << 20U;

/// A server that sends `aHead` and then the same bytes until its peer closes the connection.
class endless_server
{
public:
  endless_server(asio::io_context& aLoop, std::string aHead, std::string aRepeated)
    : mAcceptor(aLoop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , mHead(std::move(aHead))
    , mRepeated(std::move(aRepeated))
  {
    Spawn(aLoop.get_executor(), "endless_server", Serve());
  }

  tcp::endpoint Address() const { return mAcceptor.local_endpoint(); }
  std::size_t SentBytes() const { return mSentBytes; }

private:
  task<> Serve()
  {
    tcp::socket peer(mAcceptor.get_executor());
    error_code failure;
    co_await mAcceptor.async_accept(peer, asio::redirect_error(asio::use_awaitable, failure));
    co_await asio::async_write(peer, asio::buffer(mHead),
                               asio::redirect_error(asio::use_awaitable, failure));
    while (!failure) {
      mSentBytes += co_await asio::async_write(peer, asio::buffer(mRepeated),
                                               asio::redirect_error(asio::use_awaitable, failure));
    }
  }

  tcp::acceptor mAcceptor;
  std::string mHead;
  std::string mRepeated;
  std::size_t mSentBytes = 0;
};

/// Sends a request and reads the answer for at most 3 s.
task<> ReadAnswer(asio::io_context& aLoop, tcp::endpoint aServer, error_code& aFailure)
{
  const auto connection = std::make_shared<exchange>(aLoop.get_executor());
  aFailure = co_await connection->Connect(aServer, 1s, silence_limits{});
  if (!aFailure) {
    connection->Send(std::make_shared<outbound_request>(http::verb::get, "/", 11));
    aFailure = co_await connection->ReadHeader(1s);
  }
  std::string body;
  while (!aFailure && !connection->IsComplete()) {
    aFailure = co_await connection->ReadSome(body, 1s);
  }
  connection->Close();
  aLoop.stop();
}

/// Reads an answer whole, with its memory from a budget.
task<> ReadWhole(asio::io_context& aLoop, tcp::endpoint aServer,
                 std::shared_ptr<byte_budget> aBudget, error_code& aFailure, std::size_t& aDone)
{
  const auto connection = std::make_shared<exchange>(aLoop.get_executor());
  aFailure = co_await connection->Connect(aServer, 1s, silence_limits{});
  if (!aFailure) {
    connection->Send(std::make_shared<outbound_request>(http::verb::get, "/", 11));
    aFailure = co_await connection->ReadHeader(1s);
  }
  if (!aFailure) {
    std::string body;
    byte_claim claim(std::move(aBudget));
    aFailure = co_await connection->ReadAll(body, 1U << 24U, 3s, &claim);
  }
  connection->Close();
  ++aDone;
}

/// Sends the head of an answer and `aSize` bytes of a body that announces `aLength`, and leaves
/// the connection open until the peer closes it.
task<> SendPart(tcp::acceptor& aAcceptor, std::size_t aLength, std::size_t aSize)
{
  tcp::socket peer(aAcceptor.get_executor());
  error_code failure;
  co_await aAcceptor.async_accept(peer, asio::redirect_error(asio::use_awaitable, failure));
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aLength) +
                             "\r\n\r\n" + std::string(aSize, 'x');
  co_await asio::async_write(peer, asio::buffer(answer),
                             asio::redirect_error(asio::use_awaitable, failure));
  std::array<char, 1024> request;
  while (!failure) {
    co_await peer.async_read_some(asio::buffer(request),
                                  asio::redirect_error(asio::use_awaitable, failure));
  }
}

struct endless_answer
{
  std::string mName;
  std::string mHead;
  std::string mRepeated;
  error_code mExpected;
};

} // namespace

// Guards against a process that a server's endless answer takes over its memory limit.
TEST_CASE("an answer that the parser can't consume is given up after a bounded number of bytes")
{
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string bytes(64UL * 1024, 'x');
  const std::vector<endless_answer> answers{
    { "start line", "HTTP/1.1 200 ", bytes, http::error::header_limit },
    { "header field", "HTTP/1.1 200 OK\r\nName: ", bytes, http::error::header_limit },
    { "interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n", http::error::header_limit },
    { "chunk size line", chunked, bytes, http::error::buffer_overflow },
    { "chunk extension", chunked + "5;name=", bytes, http::error::buffer_overflow },
    { "trailer", chunked + "0\r\nName: ", bytes, http::error::buffer_overflow },
  };
  for (const endless_answer& answer : answers) {
    CAPTURE(answer.mName);
    asio::io_context loop{ 1 };
    endless_server server(loop, answer.mHead, answer.mRepeated);
    error_code failure;
    Spawn(loop.get_executor(), "reader", ReadAnswer(loop, server.Address(), failure));
    loop.run_for(5s);
    CHECK(failure == answer.mExpected);
    CHECK(server.SentBytes() < kKernelBytes);
  }
}

// Guards against many large answers that together take a process over its memory limit, though
// each of them is below its own limit.
TEST_CASE("answers that are read whole share a budget of memory, and return it")
{
  constexpr std::size_t kBudget = 4U << 20U;
  const auto budget = std::make_shared<byte_budget>();
  budget->mLimit = kBudget;
  asio::io_context loop{ 1 };
  std::vector<std::unique_ptr<endless_server>> servers;
  std::vector<error_code> failures(8);
  std::size_t peak = 0;
  std::size_t done = 0;
  for (error_code& failure : failures) {
    servers.push_back(std::make_unique<endless_server>(
      loop, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      "1000\r\n" + std::string(0x1000, 'x') + "\r\n"));
    Spawn(loop.get_executor(), "reader",
          ReadWhole(loop, servers.back()->Address(), budget, failure, done));
  }
  const time_point end = Now() + 5s;
  while (done < failures.size() && Now() < end) {
    loop.run_one_for(10ms);
    peak = std::max(peak, budget->mUsed);
  }
  CHECK(done == failures.size());
  CHECK(peak <= kBudget);
  CHECK(budget->mUsed == 0);
  for (const error_code& failure : failures) {
    CHECK(failure == asio::error::no_buffer_space);
  }
}

// Guards against answers without end that hold the budget, so that all other callers' answers fail.
TEST_CASE("a small answer is read while large ones without end hold the whole budget")
{
  constexpr std::size_t kLarge = 1500U << 10U;
  const auto budget = std::make_shared<byte_budget>();
  budget->mLimit = 16U << 20U;
  asio::io_context loop{ 1 };
  std::vector<std::unique_ptr<tcp::acceptor>> acceptors;
  std::vector<error_code> failures(3);
  std::size_t peak = 0;
  std::size_t done = 0;
  const auto read = [&](std::size_t aIndex, std::size_t aLength, std::size_t aSize) {
    acceptors.push_back(
      std::make_unique<tcp::acceptor>(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)));
    Spawn(loop.get_executor(), "server", SendPart(*acceptors.back(), aLength, aSize));
    Spawn(loop.get_executor(), "reader",
          ReadWhole(loop, acceptors.back()->local_endpoint(), budget, failures[aIndex], done));
  };
  read(0, 2 * kLarge, kLarge);
  read(1, 2 * kLarge, kLarge);
  for (const time_point end = Now() + 1s; Now() < end && budget->mUsed < 2 * kLarge;) {
    while (loop.run_one_for(10ms) > 0) {
    }
  }
  REQUIRE(budget->mUsed >= 2 * kLarge);
  budget->mLimit = budget->mUsed;
  read(2, 100'000, 100'000);
  for (const time_point end = Now() + 5s; done < failures.size() && Now() < end;) {
    loop.run_one_for(10ms);
    peak = std::max(peak, budget->mUsed);
  }
  CHECK(done == failures.size());
  CHECK(!failures[2]);
  const bool isFirst = failures[0] == asio::error::no_buffer_space;
  CHECK(failures[isFirst ? 0 : 1] == asio::error::no_buffer_space);
  CHECK(failures[isFirst ? 1 : 0] == asio::error::timed_out);
  CHECK(peak <= budget->mLimit);
  CHECK(budget->mUsed == 0);
}

// Guards against a bound on a read that cuts sound answers which arrive in large pieces.
TEST_CASE("a large sound answer is read whole")
{
  constexpr std::size_t kChunks = 1000;
  asio::io_context loop{ 1 };
  std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t i = 0; i < kChunks; ++i) {
    answer += "400\r\n" + std::string(1024, 'y') + "\r\n";
  }
  endless_server server(loop, answer + "0\r\n\r\n", "x");
  error_code failure = http::error::partial_message;
  Spawn(loop.get_executor(), "reader", ReadAnswer(loop, server.Address(), failure));
  loop.run_for(5s);
  CHECK_FALSE(failure);
}

TEST_CASE("a closed connection to a server does not hold its local port against a listener")
{
  asio::io_context loop{ 1 };
  tcp::acceptor server(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  // A port may also be held by somebody else's connection to another address.
  constexpr int kPorts = 8;
  int bound = 0;
  for (int i = 0; i < kPorts; ++i) {
    const auto connection = std::make_shared<exchange>(loop.get_executor());
    Spawn(loop.get_executor(), "connect",
          [](std::shared_ptr<exchange> aConnection, tcp::endpoint aServer) -> task<> {
            (void)co_await aConnection->Connect(aServer, 1s, silence_limits{});
          }(connection, server.local_endpoint()));
    loop.run();
    loop.restart();
    const tcp::endpoint local = server.accept().remote_endpoint();
    connection->Close();
    tcp::acceptor listener(loop);
    listener.open(local.protocol());
    listener.set_option(tcp::acceptor::reuse_address(true));
    error_code failure;
    listener.bind(local, failure);
    bound += failure ? 0 : 1;
  }
  CHECK(bound > 0);
}

namespace {

/// How a server ends the connection behind the bytes of its answer.
enum class answer_end
{
  Close, ///< in order
  Reset,
  Silence,
};

struct read_result
{
  error_code mFailure;
  std::string mBody;
};

/// Reads an answer of which only `aBytes` come.
read_result ReadCut(const std::string& aBytes, answer_end aEnd, http::verb aMethod)
{
  asio::io_context loop{ 1 };
  tcp::acceptor acceptor(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  read_result result;
  tcp::socket peer(loop);
  acceptor.async_accept(peer, [&](const error_code&) {
    asio::write(peer, asio::buffer(aBytes));
    if (aEnd == answer_end::Silence) {
      return;
    }
    // A close with unread bytes of the request would be a reset.
    std::array<char, 256> request{};
    peer.read_some(asio::buffer(request));
    peer.set_option(tcp::socket::linger(aEnd == answer_end::Reset, 0));
    peer.close();
  });
  Spawn(loop.get_executor(), "read",
        [](asio::io_context& aLoop, tcp::endpoint aServer, http::verb aVerb, duration aLimit,
           read_result& aResult) -> task<> {
          const auto connection = std::make_shared<exchange>(aLoop.get_executor());
          aResult.mFailure = co_await connection->Connect(aServer, 1s, silence_limits{});
          connection->Send(std::make_shared<outbound_request>(aVerb, "/", 11));
          aResult.mFailure = co_await connection->ReadHeader(aLimit);
          if (!aResult.mFailure) {
            aResult.mFailure = co_await connection->ReadAll(aResult.mBody, 1U << 16U, aLimit);
          }
          connection->Close();
          aLoop.stop();
        }(loop, acceptor.local_endpoint(), aMethod, aEnd == answer_end::Silence ? 10ms : 1000ms,
                                 result));
  loop.run_for(5s);
  return result;
}

struct cut_answer
{
  std::string mName;
  std::string mBytes;
  std::string mBody;
  http::verb mMethod = http::verb::get;
};

} // namespace

// Guards against an answer that is taken for whole though its server stopped in the middle.
TEST_CASE("an answer that is cut at any byte is no answer")
{
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string body(48, 'b');
  const std::vector<cut_answer> answers{
    { "length", "HTTP/1.1 200 OK\r\nContent-Length: 48\r\nX: y\r\n\r\n" + body, body },
    { "length at the end", "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 48\r\n\r\n" + body, body },
    { "chunks", chunked + "10\r\n" + std::string(16, 'c') + "\r\n02;a=b\r\ncc\r\n0\r\n\r\n",
      std::string(18, 'c') },
    { "trailer", chunked + "2\r\ncc\r\n0\r\nName: value\r\n\r\n", "cc" },
    { "interim",
      "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb", "b" },
    { "no content", "HTTP/1.1 204 No Content\r\nName: value\r\n\r\n", "" },
    { "not modified", "HTTP/1.1 304 Not Modified\r\nContent-Length: 48\r\n\r\n", "" },
    { "head", "HTTP/1.1 200 OK\r\nContent-Length: 48\r\n\r\n", "", http::verb::head },
  };
  for (const cut_answer& answer : answers) {
    for (const answer_end end : { answer_end::Close, answer_end::Reset, answer_end::Silence }) {
      CAPTURE(answer.mName);
      CAPTURE(static_cast<int>(end));
      for (std::size_t size = 0; size < answer.mBytes.size(); ++size) {
        CAPTURE(answer.mBytes.substr(0, size));
        CHECK(ReadCut(answer.mBytes.substr(0, size), end, answer.mMethod).mFailure);
      }
    }
    const read_result whole = ReadCut(answer.mBytes, answer_end::Close, answer.mMethod);
    CHECK_FALSE(whole.mFailure);
    CHECK(whole.mBody == answer.mBody);
  }
}

TEST_CASE("a head without its empty line, or with lone line feeds, is no answer")
{
  const std::vector<std::string> heads{ "HTTP/1.1 200 OK\n\n", "HTTP/1.1 200 OK\nX: y\n\n",
                                        "HTTP/1.1 200 OK\r\nX: y\n\r\n\r\n",
                                        "HTTP/1.1 200 OK\r\nX: y\r\n\n" };
  for (const std::string& head : heads) {
    CAPTURE(head);
    CHECK(ReadCut(head, answer_end::Close, http::verb::get).mFailure);
  }
}

TEST_CASE("an answer with a field that is too long to be stored is an error of the read")
{
  asio::io_context loop{ 1 };
  const std::string field = "Name: " + std::string(66000, 'x') + "\r\n\r\n";
  endless_server server(loop, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + field,
                        field);
  error_code failure;
  Spawn(loop.get_executor(), "read_answer", ReadAnswer(loop, server.Address(), failure));
  loop.run_for(3s);
  CHECK(failure == http::error::header_limit);
}

namespace {

/// Accepts a request, answers with a part of a body without a length, and resets the connection
/// while the request is still being sent.
task<> ResetMidway(tcp::acceptor& aAcceptor)
{
  tcp::socket peer(aAcceptor.get_executor());
  error_code failure;
  co_await aAcceptor.async_accept(peer, asio::redirect_error(asio::use_awaitable, failure));
  const std::string answer = "HTTP/1.1 200 OK\r\n\r\npart";
  co_await asio::async_write(peer, asio::buffer(answer),
                             asio::redirect_error(asio::use_awaitable, failure));
  co_await SleepFor(aAcceptor.get_executor(), 100ms);
  peer.set_option(asio::socket_base::linger(true, 0));
}

task<> SendLong(asio::io_context& aLoop, tcp::endpoint aServer, error_code& aFailure)
{
  const auto connection = std::make_shared<exchange>(aLoop.get_executor());
  aFailure = co_await connection->Connect(aServer, 1s, silence_limits{});
  auto request = std::make_shared<outbound_request>(http::verb::post, "/", 11);
  request->body().resize(kKernelBytes, '.');
  request->prepare_payload();
  connection->Send(std::move(request));
  if (!aFailure) {
    aFailure = co_await connection->ReadHeader(1s);
  }
  std::string body;
  while (!aFailure && !connection->IsComplete()) {
    aFailure = co_await connection->ReadSome(body, 1s);
  }
  connection->Close();
  aLoop.stop();
}

} // namespace

TEST_CASE("a reset that the write of the request takes is not the orderly end of a body")
{
  asio::io_context loop{ 1 };
  tcp::acceptor acceptor(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  error_code failure;
  Spawn(loop.get_executor(), "server", ResetMidway(acceptor));
  Spawn(loop.get_executor(), "reader", SendLong(loop, acceptor.local_endpoint(), failure));
  loop.run_for(5s);
  CHECK(failure);
  CHECK(failure != asio::error::timed_out);
}
