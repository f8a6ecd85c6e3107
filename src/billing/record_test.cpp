#include "billing/record.h"

#include "base/error.h"
#include "billing/billing.h"

#include <doctest/doctest.h>
#include <set>

using namespace tamarackweir;
using namespace tamarackweir::billing;

namespace {

const model_version kSmall{ model_id("clerk-small"), version_id("v1") };
const model_version kLarge{ model_id("clerk-large"), version_id("v2") };

usage Cascade(request_end aEnd, std::int64_t aDelivered = 0)
{
  return { .mId = KeyedId(account_id("depot"), "k"),
           .mOwner = owner_id("kitamura"),
           .mAccount = account_id("depot"),
           .mStages = { { kSmall, token_count(100), token_count(50), { 1000, 0 } },
                        { kLarge, token_count(100), token_count(60), { 20000, 0 } } },
           .mTrace = "0af7651916cd43dd8448eb211c80319c",
           .mEnd = aEnd,
           .mDelivered = token_count(aDelivered) };
}

} // namespace

// Guards against billing only the last stage of a cascade.
TEST_CASE("each executed stage of a cascade is billed with its own tokens and price")
{
  const auto made = MakeRecord(Cascade(request_end::Answered));
  REQUIRE(made);
  CHECK(CostOf(*made) == micro_cost(150 + 3200));
  CHECK(PromptTokens(*made) == token_count(200));
  CHECK(AnswerTokens(*made) == token_count(110));
}

// Guards against billing tokens that were not delivered.
TEST_CASE("a partial stream bills the delivered tokens of its last stage")
{
  const auto made = MakeRecord(Cascade(request_end::Partial, 7));
  REQUIRE(made);
  CHECK(made->mStages[0].mAnswer == token_count(50));
  CHECK(made->mStages[1].mAnswer == token_count(7));
  CHECK(CostOf(*made) == micro_cost(150 + 2140));
  CHECK(!MakeRecord(Cascade(request_end::Partial, 0)));
}

// Guards against billing a request that did not run, or whose outcome is unknown.
TEST_CASE("requests that did not run or have an unknown outcome are not billed")
{
  CHECK(!MakeRecord(Cascade(request_end::NotRun)));
  CHECK(!MakeRecord(Cascade(request_end::Unknown)));
}

// Guards against rounding down, and against service calls that are free as they have no tokens.
TEST_CASE("costs are rounded up to a micro-unit and service calls have a price per call")
{
  CHECK(CostOfTokens({ 1, 0 }, token_count(1), token_count(0)) == micro_cost(1));
  CHECK(CostOfTokens({ 1000, 0 }, token_count(3), token_count(4)) == micro_cost(7));
  CHECK(CostOfTokens({ 0, 25 }, token_count(0), token_count(0)) == micro_cost(25));
}

// Guards against a retry with a different id, and against different requests with the same id.
TEST_CASE("equal keys give equal ids and all other ids differ")
{
  CHECK(KeyedId(account_id("depot"), "k") == KeyedId(account_id("depot"), "k"));
  std::set<request_id> ids{ KeyedId(account_id("a b"), "c"), KeyedId(account_id("a"), "b c"),
                            KeyedId(account_id("a"), "c") };
  for (std::uint64_t epoch = 0; epoch < 10; ++epoch) {
    for (std::uint64_t counter = 0; counter < 100; ++counter) {
      ids.insert(UnkeyedId({ instance_id("entry-1"), start_epoch(epoch) }, counter));
    }
  }
  CHECK(ids.size() == 1003);
}

// Guards against fields that an encoding drops.
TEST_CASE("records are unchanged after encoding and decoding as a line and on the wire")
{
  record entry = MakeRecord(Cascade(request_end::Answered)).value();
  entry.mOrigin = { instance_id("entry-1"), start_epoch(0xfedcba9876543210U) };
  entry.mSequence = sequence_number(1234567);
  record textIds = entry;
  textIds.mId = request_id("not hexadecimal");
  textIds.mTrace = "";
  for (const record& each : { entry, textIds }) {
    CHECK(DecodeLine(EncodeLine(each)) == each);
    CHECK(EncodeLine(each).find('\n') == std::string::npos);
  }
  const copy_batch batch{ entry.mOrigin, operation_id(5), sequence_number(3), { entry, textIds } };
  CHECK(DecodeCopy(EncodeCopy(batch)) == batch);
  const copy_ack ack{ entry.mOrigin, { instance_id("b"), start_epoch(2) }, operation_id(5), true };
  CHECK(DecodeAck(EncodeAck(ack)) == ack);
  CHECK_THROWS_AS(DecodeLine("{}"), error);
  CHECK_THROWS_AS(DecodeLine("nonsense"), error);
  CHECK_THROWS_AS(DecodeCopy("\xff\xff\xff"), error);
}
