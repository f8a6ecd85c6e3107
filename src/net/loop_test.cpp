#include "net/loop.h"

#include "base/error.h"

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <stdexcept>

using namespace tamarackweir;
using namespace tamarackweir::net;

TEST_CASE("a callback that throws does not end the loop with the work of the others")
{
  asio::io_context loop{ 1 };
  int done = 0;
  asio::post(loop, [] { throw std::length_error("too long"); });
  asio::post(loop, [] { throw 7; }); // NOLINT(misc-throw-by-value-catch-by-reference)
  asio::post(loop, [&done] { ++done; });
  Run(loop);
  CHECK(done == 1);
}

TEST_CASE("a loop whose callbacks throw without end is given up")
{
  asio::io_context loop{ 1 };
  std::function<void()> fail = [&] {
    asio::post(loop, fail);
    throw std::length_error("too long");
  };
  asio::post(loop, fail);
  CHECK_THROWS_AS(Run(loop), error);
}

TEST_CASE("a task that throws something other than an exception ends alone")
{
  asio::io_context loop{ 1 };
  int done = 0;
  Spawn(loop.get_executor(), "throws", []() -> task<> {
    throw 7;
    co_return;
  }());
  asio::post(loop, [&done] { ++done; });
  loop.run();
  CHECK(done == 1);
}
