#include "base/rendezvous.h"

#include <doctest/doctest.h>
#include <set>

using namespace tamarackweir;

namespace {

const std::vector<std::string> kInstances{ "a", "b", "c", "d", "e" };

} // namespace

TEST_CASE("the first instances for a duty do not depend on the order in which they are known")
{
  std::vector<std::string> reversed(kInstances.rbegin(), kInstances.rend());
  CHECK(FirstInstances(kInstances, "duty", 3) == FirstInstances(reversed, "duty", 3));
}

TEST_CASE("an instance that leaves changes the first instances only if it was one of them")
{
  const auto first = FirstInstances(kInstances, "duty", 5);
  std::vector<std::string> without(first.begin(), first.end() - 1);
  CHECK(FirstInstances(without, "duty", 3) == FirstInstances(kInstances, "duty", 3));
}

TEST_CASE("the rank of an instance is its place among the first instances")
{
  const auto order = FirstInstances(kInstances, "duty", 5);
  for (std::size_t i = 0; i < order.size(); ++i) {
    CHECK(InstancesBefore(kInstances, "duty", order[i]) == i);
  }
}

TEST_CASE("duties are spread over the instances")
{
  std::set<std::string> first;
  for (int duty = 0; duty < 50; ++duty) {
    first.insert(FirstInstances(kInstances, std::to_string(duty), 1).front());
  }
  CHECK(first.size() == kInstances.size());
}
