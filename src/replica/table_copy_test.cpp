#include "replica/message.h"
#include "replica/table_copy.h"

#include "base/error.h"

#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::replica;

namespace {

table_copy CopyAt(std::uint64_t aVersion, const char* aValue)
{
  table_copy copy;
  copy.mRows["k"] = row{ .mValue = aValue, .mVersion = store_version(aVersion) };
  copy.mCompleteTo = store_version(aVersion);
  copy.mLastChange = store_version(aVersion);
  return copy;
}

} // namespace

// Guards against a configuration that reverts because an instance heard of an older one last.
TEST_CASE("a copy never gives way to an older one")
{
  table_copy copy = CopyAt(7, "new");
  CHECK_FALSE(Replace(copy, CopyAt(6, "old")));
  CHECK_FALSE(Replace(copy, CopyAt(7, "other")));
  CHECK(copy.mRows["k"].mValue == "new");
  CHECK(Replace(copy, CopyAt(8, "newest")));
  CHECK(copy.mRows["k"].mValue == "newest");
}

// Guards against an answer of the feed that was on its way while a peer's copy overtook it.
TEST_CASE("a change that the copy already holds, or that it has overtaken, is skipped")
{
  table_copy copy = CopyAt(7, "new");
  Apply(copy, { { .mKey = "k", .mValue = "old", .mVersion = store_version(5) } }, store_version(6));
  CHECK(copy.mRows["k"].mValue == "new");
  CHECK(copy.mCompleteTo == store_version(7));
}

TEST_CASE("changes are applied in their order, removals too")
{
  table_copy copy = CopyAt(7, "a");
  Apply(copy,
        { { .mKey = "k", .mValue = "b", .mVersion = store_version(8) },
          { .mKey = "k", .mValue = std::nullopt, .mVersion = store_version(9) },
          { .mKey = "l", .mValue = "c", .mVersion = store_version(10) } },
        store_version(12));
  CHECK_FALSE(copy.mRows.contains("k"));
  CHECK(copy.mRows["l"].mValue == "c");
  CHECK(copy.mCompleteTo == store_version(12));
  CHECK(copy.mLastChange == store_version(10));
}

TEST_CASE("a peer is sent a table only if something changed behind what it knows")
{
  table_set tables;
  tables["a"] = CopyAt(7, "x");
  tables["a"].mCompleteTo = store_version(20);
  CHECK(DecodeTables(EncodeNewer(tables, { { "a", store_version(7) } })).empty());
  const table_set sent = DecodeTables(EncodeNewer(tables, { { "a", store_version(6) } }));
  REQUIRE(sent.contains("a"));
  CHECK(sent.at("a").mRows == tables["a"].mRows);
  CHECK(sent.at("a").mCompleteTo == store_version(20));
}

// A peer that missed a removal has all the versions of the rows that are left.
TEST_CASE("a removal that only a whole read showed reaches the peers")
{
  table_set tables;
  tables["a"] = CopyAt(7, "x");
  table_copy without;
  without.mCompleteTo = store_version(9);
  REQUIRE(Replace(tables["a"], without));
  const table_set sent = DecodeTables(EncodeNewer(tables, { { "a", store_version(7) } }));
  REQUIRE(sent.contains("a"));
  CHECK(sent.at("a").mRows.empty());
}

TEST_CASE("tables that a peer does not have are not sent as empty ones")
{
  table_set tables;
  tables["a"];
  CHECK(DecodeTables(EncodeNewer(tables, { { "a", store_version(0) }, { "b", store_version(0) } })).empty());
}

TEST_CASE("nothing is taken from a message that can't be read whole")
{
  CHECK_THROWS_AS(DecodeTables("no json"), error);
  CHECK_THROWS_AS(DecodeTables(R"({"a":{"complete_to":1,"last_change":1,"rows":[["k","%%",1]]}})"), error);
  CHECK_THROWS_AS(DecodeTables(R"({"a":{"rows":[]}})"), error);
  CHECK_THROWS_AS(DecodeVersions(R"({"a":-1})"), error);
}
