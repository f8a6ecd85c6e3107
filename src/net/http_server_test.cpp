#include "net/http_server.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <doctest/doctest.h>
#include <sys/resource.h>
#include <tuple>
#include <unistd.h>

using namespace tamarackweir;
using namespace tamarackweir::net;

namespace {

/// Bytes that the two kernels' buffers of a loopback connection hold at most.
constexpr std::size_t kKernelBytes = 16U << 20U;

/// What a caller has seen of a connection on which it sent bytes without end.
struct endless_upload
{
  std::size_t mSentBytes = 0;
  std::string mAnswer;
  bool mIsDone = false;
};

task<> Send(std::shared_ptr<tcp::socket> aSocket, std::string aHead, std::string aRepeated,
            endless_upload& aUpload)
{
  error_code failure;
  co_await asio::async_write(*aSocket, asio::buffer(aHead),
                             asio::redirect_error(asio::use_awaitable, failure));
  while (!failure) {
    aUpload.mSentBytes += co_await asio::async_write(
      *aSocket, asio::buffer(aRepeated), asio::redirect_error(asio::use_awaitable, failure));
  }
}

task<> Receive(std::shared_ptr<tcp::socket> aSocket, endless_upload& aUpload)
{
  error_code failure;
  co_await asio::async_read(*aSocket, asio::dynamic_buffer(aUpload.mAnswer),
                            asio::redirect_error(asio::use_awaitable, failure));
  aUpload.mIsDone = true;
}

/// Sends `aHead` and then `aRepeated` again and again, until the server closes or 3 s are over.
endless_upload Upload(const std::string& aHead, const std::string& aRepeated)
{
  asio::io_context loop{ 1 };
  const caller_limits limits;
  http_server server(loop, { .mAddress = tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0),
                             .mLimits = &limits,
                             .mHandler = [](std::shared_ptr<caller_connection> aCaller,
                                            std::shared_ptr<inbound_request>) -> task<> {
                               outbound_answer answer{ http::status::ok, 11 };
                               co_await aCaller->Answer(answer);
                             } });
  server.Start();
  const auto socket = std::make_shared<tcp::socket>(loop);
  socket->connect(server.Address());
  endless_upload upload;
  Spawn(loop.get_executor(), "send", Send(socket, aHead, aRepeated, upload));
  Spawn(loop.get_executor(), "receive", Receive(socket, upload));
  const time_point end = Now() + 3s;
  while (!upload.mIsDone && Now() < end) {
    loop.run_one_for(10ms);
  }
  return upload;
}

} // namespace

// Guards against a process that a caller's endless request takes over its memory limit.
TEST_CASE("a request that the parser can't consume is refused after a bounded number of bytes")
{
  const std::string chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string bytes(64UL * 1024, 'x');
  for (const char* const start : { "", "5;name=", "0\r\nName: " }) {
    CAPTURE(start);
    const endless_upload upload = Upload(chunked + start, bytes);
    CHECK(upload.mIsDone);
    CHECK(upload.mAnswer.starts_with("HTTP/1.1 400 "));
    CHECK(upload.mSentBytes < kKernelBytes);
  }
}

// Guards against a bound on unparsed bytes that is below the configured limit of the header.
TEST_CASE("a header over the configured limit is refused as too large, not as malformed")
{
  const endless_upload upload =
    Upload("GET / HTTP/1.1\r\nHost: h\r\nName: ", std::string(1024, 'x'));
  CHECK(upload.mAnswer.starts_with("HTTP/1.1 431 "));
}

// Guards against a lost request that no count shows.
TEST_CASE("each connection and each request of a server is counted once, by how it ended")
{
  asio::io_context loop{ 1 };
  const caller_limits limits;
  http_server server(loop, { .mAddress = tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0),
                             .mLimits = &limits,
                             .mHandler = [](std::shared_ptr<caller_connection> aCaller,
                                            std::shared_ptr<inbound_request> aRequest) -> task<> {
                               if (aRequest->mTarget == "/wait") {
                                 co_await SleepFor(aCaller->Executor(), 50ms);
                               }
                               if (aRequest->mTarget == "/answer") {
                                 outbound_answer answer{ http::status::ok, 11 };
                                 co_await aCaller->Answer(answer);
                               }
                             } });
  server.Start();
  const std::string end = " HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::vector<std::string> sent{ "",
                                       "GET /part",
                                       "no request\r\n\r\n",
                                       "GET /give-up" + end,
                                       "GET /wait" + end,
                                       "GET /answer" + end + "GET /answer" + end };
  std::vector<tcp::socket> callers;
  for (const std::string& bytes : sent) {
    callers.emplace_back(loop).connect(server.Address());
    asio::write(callers.back(), asio::buffer(bytes));
  }
  loop.run_for(20ms);
  callers.clear();
  loop.run_for(1s);

  const connection_counts& counts = server.Counts();
  const auto ended = [&counts](connection_phase aPhase, connection_end aEnd) {
    return counts.mEnded.at(static_cast<std::size_t>(aPhase)).at(static_cast<std::size_t>(aEnd));
  };
  CHECK(server.Connections() == 0);
  CHECK(counts.mAccepted == sent.size());
  CHECK(counts.mRead == 5);
  CHECK(counts.mAnswered == 3);
  CHECK(ended(connection_phase::Idle, connection_end::Caller) == 2);
  CHECK(ended(connection_phase::Idle, connection_end::Server) == 1);
  CHECK(ended(connection_phase::Reading, connection_end::Caller) == 1);
  CHECK(ended(connection_phase::Handling, connection_end::Server) == 1);
  CHECK(ended(connection_phase::Handling, connection_end::Caller) == 1);
}

TEST_CASE("a connection to a server gets the descriptor of the caller that was idle longest")
{
  asio::io_context loop{ 1 };
  const caller_limits limits;
  http_server server(loop, { .mAddress = tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0),
                             .mLimits = &limits,
                             .mHandler = nullptr });
  server.Start();
  const tcp::acceptor backend(loop, { asio::ip::make_address("127.0.0.1"), 0 });
  std::vector<tcp::socket> callers;
  for (const char* const bytes : { "GET /part", "", "" }) {
    callers.emplace_back(loop).connect(server.Address());
    asio::write(callers.back(), asio::buffer(bytes, std::strlen(bytes)));
    loop.run_for(20ms);
  }
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  const int lowestFree = dup(STDIN_FILENO);
  close(lowestFree);
  const rlimit used{ .rlim_cur = static_cast<rlim_t>(lowestFree), .rlim_max = before.rlim_max };
  REQUIRE(setrlimit(RLIMIT_NOFILE, &used) == 0);
  const auto outgoing = std::make_shared<exchange>(loop.get_executor());
  error_code failure = asio::error::would_block;
  asio::co_spawn(
    loop, outgoing->Connect(backend.local_endpoint(), 1s, {}),
    [&failure](const std::exception_ptr&, error_code aFailure) { failure = aFailure; });
  loop.run_for(20ms);
  setrlimit(RLIMIT_NOFILE, &before);
  CHECK(failure == error_code{});
  std::string seen;
  for (tcp::socket& caller : callers) {
    char byte = 0;
    seen += recv(caller.native_handle(), &byte, 1, MSG_DONTWAIT) == 0 ? "closed " : "open ";
  }
  CHECK(seen == "open closed open ");
}

TEST_CASE("a request with a field that is too long to be stored is refused, and counted once")
{
  const std::string field = "Name: " + std::string(70000, 'x') + "\r\n\r\n";
  const std::string begin = "POST / HTTP/1.1\r\nHost: h\r\n";
  const std::string inTrailer = begin + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + field;
  for (const auto& [limits, sent, expected] :
       { std::tuple(caller_limits{ .mMaxHeaderBytes = 128 * 1024 }, begin + field, "HTTP/1.1 431 "),
         std::tuple(caller_limits{}, inTrailer, "HTTP/1.1 400 ") }) {
    const std::string answerStart = expected;
    CAPTURE(answerStart);
    asio::io_context loop{ 1 };
    http_server server(loop, { .mAddress = tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0),
                               .mLimits = &limits,
                               .mHandler = nullptr });
    server.Start();
    const auto socket = std::make_shared<tcp::socket>(loop);
    socket->connect(server.Address());
    endless_upload upload;
    Spawn(loop.get_executor(), "receive", Receive(socket, upload));
    asio::async_write(*socket, asio::buffer(sent), [](error_code, std::size_t) {});
    CHECK_NOTHROW(loop.run_for(1s));
    CHECK(upload.mAnswer.starts_with(expected));
    CHECK(server.Counts().mAnswered == 1);
    CHECK(server.Connections() == 0);
  }
}

// Guards against a connection that stays in the server's table after its end.
TEST_CASE("a request whose handler throws is answered, and its connection is forgotten")
{
  asio::io_context loop{ 1 };
  const caller_limits limits;
  http_server server(loop, { .mAddress = tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0),
                             .mLimits = &limits,
                             .mHandler = [](std::shared_ptr<caller_connection> aCaller,
                                            std::shared_ptr<inbound_request> aRequest) -> task<> {
                               if (aRequest->mTarget == "/begun") {
                                 co_await aCaller->StartBody({});
                               }
                               throw 1;
                             } });
  server.Start();
  for (const std::string target : { "/", "/begun" }) {
    CAPTURE(target);
    const auto socket = std::make_shared<tcp::socket>(loop);
    socket->connect(server.Address());
    asio::write(*socket, asio::buffer("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n"));
    endless_upload seen;
    Spawn(loop.get_executor(), "receive", Receive(socket, seen));
    loop.run_for(200ms);
    CHECK(seen.mIsDone);
    CHECK(seen.mAnswer.starts_with(target == "/" ? "HTTP/1.1 500 " : "HTTP/1.1 200 "));
    CHECK_FALSE(seen.mAnswer.ends_with("0\r\n\r\n"));
  }
  loop.run_for(1s);
  server.Drain();
  CHECK(server.BusyConnections() == 0);
  CHECK(server.Connections() == 0);
  server.CloseAll();
}

TEST_CASE("an answer without a body that is sent in parts leaves no bytes before the next answer")
{
  for (const auto& [method, status] :
       { std::pair("HEAD", 200U), std::pair("GET", 204U), std::pair("GET", 304U) }) {
    const std::string methodName = method;
    CAPTURE(methodName);
    asio::io_context loop{ 1 };
    const caller_limits limits;
    http_server server(loop,
                       { .mAddress = tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0),
                         .mLimits = &limits,
                         .mHandler = [status = status](std::shared_ptr<caller_connection> aCaller,
                                                       std::shared_ptr<inbound_request>) -> task<> {
                           http::response_header<> header;
                           header.result(status);
                           co_await aCaller->StartBody(header);
                           co_await aCaller->WriteBody("event");
                           co_await aCaller->FinishBody();
                         } });
    server.Start();
    const auto socket = std::make_shared<tcp::socket>(loop);
    socket->connect(server.Address());
    const std::string request = std::string(method) + " / HTTP/1.1\r\nHost: h\r\n\r\n";
    asio::write(*socket, asio::buffer(request + request));
    endless_upload upload;
    Spawn(loop.get_executor(), "receive", Receive(socket, upload));
    loop.run_for(100ms);
    server.CloseAll();
    loop.run_for(100ms);
    const std::string& seen = upload.mAnswer;
    const std::size_t size = seen.find("\r\n\r\n") + 4;
    CHECK(seen.substr(size) == seen.substr(0, size));
    CHECK((status == 200 || seen.find("Transfer-Encoding") == std::string::npos));
    CHECK(server.Counts().mAnswered == 2);
  }
}

// Guards against a request that a stop cuts because only a part of its header has arrived.
TEST_CASE("a connection is busy from the first byte of a request")
{
  asio::io_context loop{ 1 };
  const caller_limits limits;
  http_server server(loop, { .mAddress = tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0),
                             .mLimits = &limits });
  server.Start();
  tcp::socket caller(loop);
  caller.connect(server.Address());
  loop.run_for(50ms);
  CHECK(server.BusyConnections() == 0);
  asio::write(caller, asio::buffer(std::string("GET / HT")));
  loop.run_for(50ms);
  CHECK(server.BusyConnections() == 1);
}

TEST_CASE("a request behind an answer that had begun before the drain is answered")
{
  asio::io_context loop{ 1 };
  const caller_limits limits;
  http_server server(loop, { .mAddress = tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0),
                             .mLimits = &limits,
                             .mHandler = [](std::shared_ptr<caller_connection> aCaller,
                                            std::shared_ptr<inbound_request>) -> task<> {
                               co_await aCaller->StartBody({});
                               co_await SleepFor(aCaller->Executor(), 50ms);
                               co_await aCaller->FinishBody();
                             } });
  server.Start();
  const auto socket = std::make_shared<tcp::socket>(loop);
  socket->connect(server.Address());
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  asio::write(*socket, asio::buffer(request));
  endless_upload upload;
  Spawn(loop.get_executor(), "receive", Receive(socket, upload));
  loop.run_for(25ms);
  server.Drain();
  loop.run_for(50ms);
  asio::write(*socket, asio::buffer(request));
  loop.run_for(200ms);
  CHECK(server.Counts().mRead == 2);
  CHECK(server.Counts().mAnswered == 2);
  CHECK(upload.mAnswer.find("Connection: close") != std::string::npos);
}
