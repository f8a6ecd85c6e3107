#include "billing/bill.h"

#include "base/error.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::billing;

namespace {

record Make(const std::string& aId, std::int64_t aCost, std::uint64_t aSequence,
            const std::string& aInstance = "a", const std::string& aOwner = "kitamura")
{
  return { .mId = request_id(aId),
           .mOwner = owner_id(aOwner),
           .mAccount = account_id(aOwner == "kitamura" ? "depot" : "clerks"),
           .mStages = { { { model_id("m"), version_id("v") },
                          token_count(1),
                          token_count(2),
                          micro_cost(aCost) } },
           .mTrace = "",
           .mOrigin = { instance_id(aInstance), start_epoch(1) },
           .mSequence = sequence_number(aSequence) };
}

std::vector<std::string> Kinds(const verification& aVerified)
{
  std::vector<std::string> kinds;
  std::transform(aVerified.mFindings.begin(), aVerified.mFindings.end(), std::back_inserter(kinds),
                 [](const finding& aFinding) { return ToString(aFinding.mKind); });
  return kinds;
}

using names = std::vector<std::string>;

const std::vector<stored_object> kGood{
  { "bills/a-1/1", EncodeObject({ Make("r1", 10, 1), Make("r2", 20, 2, "a", "plovdiv") }) },
  { "bills/a-1/copy-b-1-1", EncodeObject({ Make("r1", 10, 1) }) },
};

} // namespace

// Guards against counting a record twice when both the origin and a copy holder stored it.
TEST_CASE("a bill counts each record id once and splits the totals by owner")
{
  const bill read = ReadBill(kGood);
  CHECK(read.mDuplicates == 1);
  CHECK(read.mTotals.at(owner_id("kitamura")) ==
        owner_total{ 1, token_count(1), token_count(2), micro_cost(10) });
  CHECK(read.mTotals.at(owner_id("plovdiv")).mCost == micro_cost(20));
  const verification verified =
    Verify(kGood, { .mStoredTotals = read.mTotals,
                    .mOwners = { { account_id("depot"), owner_id("kitamura") },
                                 { account_id("clerks"), owner_id("plovdiv") } },
                    .mWatermarks = { { "a-1", sequence_number(2) } } });
  CHECK(verified.mFindings.empty());
  CHECK(verified.mBill.mTotals == read.mTotals);
}

// Guards against undetected inconsistencies: each kind is reported as its own finding.
TEST_CASE("verification reports every kind of inconsistency")
{
  auto objects = kGood;
  objects.push_back({ "bills/b-1/1", EncodeObject({ Make("r1", 12, 1, "b") }) });
  CHECK(Kinds(Verify(objects, {})) == names{ "amounts_disagree" });

  objects = kGood;
  objects.push_back({ "bills/b-1/1", EncodeObject({ Make("r1", 10, 1, "b", "plovdiv") }) });
  CHECK(Kinds(Verify(objects, {})) == names{ "owners_disagree" });

  objects = kGood;
  objects[0].mBody[objects[0].mBody.find("\"cost\":20}],\"epoch") + 7] = '9';
  const verification damaged = Verify(objects, {});
  CHECK(Kinds(damaged) == names{ "bad_object" });
  CHECK_THROWS_AS(ReadBill(objects), error);

  objects = kGood;
  const auto total = objects[0].mBody.find("\"cost\":10,");
  REQUIRE(total < objects[0].mBody.find('\n'));
  objects[0].mBody[total + 7] = '3';
  CHECK(Kinds(Verify(objects, {})) == names{ "object_total" });

  CHECK(Kinds(Verify(kGood, { .mStoredTotals = {},
                              .mOwners = { { account_id("clerks"), owner_id("kitamura") } },
                              .mWatermarks = {} })) == names{ "wrong_owner" });

  auto totals = ReadBill(kGood).mTotals;
  totals.at(owner_id("plovdiv")).mCost = micro_cost(21);
  CHECK(Kinds(Verify(kGood, { .mStoredTotals = totals, .mOwners = {}, .mWatermarks = {} })) ==
        names{ "owner_total" });
}

// Guards against a lost object that goes undetected.
TEST_CASE("verification reports sequences that are missing from all objects")
{
  const std::vector<stored_object> gap{
    { "bills/a-1/1", EncodeObject({ Make("r1", 10, 1), Make("r4", 10, 4) }) }
  };
  const verification verified = Verify(
    gap, { .mStoredTotals = {},
           .mOwners = {},
           .mWatermarks = { { "a-1", sequence_number(6) }, { "b-1", sequence_number(1) } } });
  REQUIRE(verified.mFindings.size() == 3);
  CHECK(verified.mFindings[0].mDetail == "sequences 2 to 3 are in no object");
  CHECK(verified.mFindings[1].mDetail == "sequences 5 to 6 are in no object");
  CHECK(verified.mFindings[2].mWhere == "b-1");
}

// Guards against a bill that depends on the order in which the store lists its objects.
TEST_CASE("the lowest amount counts regardless of the order of reading")
{
  std::vector<stored_object> objects{ { "1", EncodeObject({ Make("r1", 12, 1) }) },
                                      { "2", EncodeObject({ Make("r1", 10, 1, "b") }) },
                                      { "3", EncodeObject({ Make("r1", 11, 1, "c") }) } };
  do {
    CHECK(ReadBill(objects).mTotals.at(owner_id("kitamura")).mCost == micro_cost(10));
  } while (std::next_permutation(
    objects.begin(), objects.end(),
    [](const auto& aLeft, const auto& aRight) { return aLeft.mKey < aRight.mKey; }));
}

// Guards against crashes on truncated or malformed objects.
TEST_CASE("objects truncated at any byte are rejected")
{
  const std::string whole = kGood[0].mBody;
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CAPTURE(size);
    CHECK_THROWS_AS(DecodeObject(whole.substr(0, size)), error);
  }
  CHECK(DecodeObject(whole).size() == 2);
  CHECK_THROWS_AS(DecodeObject("{\"sha256\":1}\n"), error);
}
