#include "quarantine/trial_claims.h"

#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace std::chrono_literals;
using namespace tamarackweir::quarantine;

namespace {

constexpr time_point kStart = time_point(1000s);
const cause_key kRequest(77);

trial_claim Claim(std::uint64_t aOwner, time_point aSince)
{
  return { .mOwner = aOwner, .mSince = aSince, .mUntil = aSince + 1s };
}

} // namespace

TEST_CASE("a request on trial is claimed by one instance at a time")
{
  trial_claims claims;
  CHECK(TryClaim(claims, kRequest, Claim(5, kStart)));
  CHECK_FALSE(TryClaim(claims, kRequest, Claim(4, kStart + 500ms)));
  CHECK(HoldsClaim(claims, kRequest, 5, kStart + 900ms));
  CHECK_FALSE(HoldsClaim(claims, kRequest, 5, kStart + 1s));
  CHECK(TryClaim(claims, kRequest, Claim(4, kStart + 1s)));
  RemoveExpired(claims, kStart + 2s);
  CHECK(claims.empty());
}

// Guards against two instances that both run the request because their claims crossed.
TEST_CASE("of claims that cross the same one stays at all instances")
{
  for (const auto& [own, other] : { std::pair(4U, 5U), std::pair(5U, 4U) }) {
    trial_claims claims;
    REQUIRE(TryClaim(claims, kRequest, Claim(own, kStart)));
    RecordClaim(claims, kRequest, Claim(other, kStart + 20ms));
    CHECK(HoldsClaim(claims, kRequest, 4, kStart + kClaimWait));
    CHECK_FALSE(HoldsClaim(claims, kRequest, 5, kStart + kClaimWait));
  }
}

TEST_CASE("a claim that comes while another one runs changes nothing, and its owner may end it")
{
  trial_claims claims;
  RecordClaim(claims, kRequest, Claim(5, kStart));
  RecordClaim(claims, kRequest, Claim(4, kStart + 500ms));
  CHECK(HoldsClaim(claims, kRequest, 5, kStart + 600ms));
  RecordClaim(claims, kRequest, { .mOwner = 5, .mSince = kStart, .mUntil = kStart + 700ms });
  CHECK(TryClaim(claims, kRequest, Claim(4, kStart + 700ms)));
}
