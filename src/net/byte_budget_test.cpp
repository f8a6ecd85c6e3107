#include "net/byte_budget.h"

#include <doctest/doctest.h>

using namespace tamarackweir::net;
using namespace std::chrono_literals;

TEST_CASE("a short budget: the largest claim that can gives way, and only to a smaller one")
{
  const auto budget = std::make_shared<byte_budget>();
  budget->mLimit = 100;
  byte_claim kept(budget);
  byte_claim large(budget);
  byte_claim small(budget);
  byte_claim asking(budget);
  int given = 0;
  const way_giver largeGives(&large, [&given] { given += 1; });
  const way_giver smallGives(&small, [&given] { given += 10; });
  CHECK((kept.TryResize(45) && large.TryResize(35) && small.TryResize(20)));
  CHECK_FALSE(asking.TryResize(35));
  CHECK_FALSE(small.TryResize(36));
  CHECK(given == 0);
  CHECK(asking.TryResize(30));
  CHECK(given == 1);
  CHECK(large.IsGivenUp());
  CHECK_FALSE(large.TryResize(1));
  CHECK(budget->mUsed == 95);
  CHECK_FALSE(asking.TryResize(40));
  CHECK_FALSE(kept.IsGivenUp());
  asking = byte_claim();
  CHECK(asking.TryResize(1000));
}

// Guards against callers that keep memory from others by sending slowly.
TEST_CASE("a short budget: a small claim that is held for long gives way before a new large one")
{
  const auto budget = std::make_shared<byte_budget>();
  budget->mLimit = 100;
  byte_claim slow(budget);
  byte_claim large(budget);
  byte_claim asking(budget);
  const tamarackweir::time_point start{ 1h };
  const way_giver slowGives(&slow, [] {});
  const way_giver largeGives(&large, [] {});
  CHECK((slow.TryResize(20, start) && large.TryResize(80, start + 10s)));
  CHECK(asking.TryResize(20, start + 10s));
  CHECK((slow.IsGivenUp() && !large.IsGivenUp()));
}

// Guards against large requests that leave no memory for ordinary ones.
TEST_CASE("the reserve of a budget is for small claims")
{
  const auto budget = std::make_shared<byte_budget>();
  *budget = { .mLimit = 100, .mReserve = 25, .mSmallBytes = 10 };
  byte_claim large(budget);
  CHECK_FALSE(large.TryResize(76));
  CHECK(large.TryResize(75));
  byte_claim small(budget);
  CHECK(small.TryResize(10));
  CHECK_FALSE(small.TryResize(11));
}

TEST_CASE("a claim that is moved or destroyed returns its bytes once")
{
  const auto budget = std::make_shared<byte_budget>();
  budget->mLimit = 100;
  {
    byte_claim first(budget);
    CHECK(first.TryResize(60));
    byte_claim second(std::move(first));
    CHECK(second.Bytes() == 60);
    byte_claim third(budget);
    CHECK_FALSE(third.TryResize(60));
    third = std::move(second);
    CHECK(third.Bytes() == 60);
    CHECK(budget->mUsed == 60);
  }
  CHECK(budget->mUsed == 0);
  CHECK(budget->mHolders.empty());
}
