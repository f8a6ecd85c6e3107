#include "claims/claims.h"

namespace tamarackweir::claims {

const char* ToString(claim_result aResult)
{
  switch (aResult) {
    case claim_result::Proceed:
      return "proceed";
    case claim_result::Stored:
      return "stored";
    case claim_result::Unknown:
      return "unknown";
    case claim_result::KeyReused:
      return "key_reused";
    case claim_result::KeyMissing:
      return "key_missing";
    case claim_result::NotRun:
      return "not_run";
    case claim_result::TooManyCalls:
      return "too_many_calls";
  }
  return "unknown";
}

std::string Detail(claim_result aResult)
{
  switch (aResult) {
    case claim_result::Proceed:
      return "the call may be sent";
    case claim_result::Stored:
      return "the call ran before; this is its stored answer";
    case claim_result::Unknown:
      return "an earlier attempt with this Idempotency-Key may have run and its answer is not "
             "known; retry with the same key, and don't use a new key";
    case claim_result::KeyReused:
      return "this Idempotency-Key was used for another call or body; use a new key for a new call";
    case claim_result::KeyMissing:
      return "this call must not be repeated and has no Idempotency-Key; send it with a key that "
             "is unique to the call";
    case claim_result::NotRun:
      return "this attempt sent nothing, because its claim could not be stored in time; send it "
             "again with the same Idempotency-Key";
    case claim_result::TooManyCalls:
      return "this attempt sent nothing, because too many outcomes are not stored yet; send it "
             "again later with the same Idempotency-Key";
  }
  return "retry with the same Idempotency-Key";
}

bool IsNotRun(claim_result aResult)
{
  return aResult == claim_result::NotRun || aResult == claim_result::TooManyCalls ||
         aResult == claim_result::KeyMissing || aResult == claim_result::KeyReused;
}

} // namespace tamarackweir::claims
