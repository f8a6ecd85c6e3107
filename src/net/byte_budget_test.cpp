#include "net/byte_budget.h"

#include <doctest/doctest.h>

using namespace tamarackweir::net;

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
