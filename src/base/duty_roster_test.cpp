#include "base/duty_roster.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace tamarackweir;

namespace {

/// Three data centres, each with one wide link among many narrow ones.
duty_roster MakeRoster()
{
  duty_roster roster;
  for (const char* const place : { "a", "b", "c" }) {
    for (int i = 0; i < 20; ++i) {
      roster.push_back({ .mId = std::string(place) + std::to_string(i),
                         .mDataCentre = place,
                         .mLinkMbps = i == 0 ? 200.0 : 20.0 });
    }
  }
  return roster;
}

} // namespace

// Guards against duties on machines whose links they fill: on kitamura-weir-grown 17 followers took
// about 0.9 MB/s of a reader whose link had 10 Mbit/s, and configurations were late.
TEST_CASE("instances with wide links have the duties, in different data centres")
{
  const duty_roster roster = MakeRoster();
  for (const char* const duty : { "reader", "board", "service" }) {
    auto holders = DutyHolders(roster, duty, 3);
    std::sort(holders.begin(), holders.end());
    CHECK(holders == std::vector<std::string>{ "a0", "b0", "c0" });
  }
  const auto four = DutyHolders(roster, "reader", 4);
  CHECK(four[3].size() >= 2);
  CHECK(four[3].substr(1) != "0");
}

TEST_CASE("the order does not depend on that of the roster, nor on how many are asked for")
{
  const duty_roster roster = MakeRoster();
  duty_roster reversed = roster;
  std::reverse(reversed.begin(), reversed.end());
  const auto all = DutyHolders(roster, "reader", roster.size());
  CHECK(all == DutyHolders(reversed, "reader", roster.size()));
  const auto first = DutyHolders(roster, "reader", 7);
  CHECK(std::equal(first.begin(), first.end(), all.begin()));
}

TEST_CASE("the next instance takes the place of one that is skipped")
{
  const duty_roster roster = MakeRoster();
  const auto four = DutyHolders(roster, "reader", 4);
  const auto without = DutyHolders(roster, "reader", 3, { four[0] });
  CHECK(std::find(without.begin(), without.end(), four[0]) == without.end());
  CHECK(without[0] == four[1]);
  CHECK(DutyHolders({}, "reader", 3).empty());
}
