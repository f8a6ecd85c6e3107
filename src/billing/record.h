#pragma once

#include "base/ids.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackweir::billing {

/// Position of a record among those of its origin, starting at 1.
using sequence_number = strong_type<struct sequence_tag, std::uint64_t>;

/// One run of an entry instance. The start epoch distinguishes a replacement at the same address
/// from its predecessor.
struct origin_id
{
  instance_id mInstance;
  start_epoch mEpoch;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the compiler's comparison with 0
  auto operator<=>(const origin_id&) const = default;
};

/// Returns "<instance>-<start epoch in hexadecimal>", as object keys and table rows use it.
std::string ToString(const origin_id& aOrigin);

/// One executed stage of a request: a model with its tokens, or a service call without tokens.
struct stage
{
  model_version mVersion;
  token_count mPrompt;
  token_count mAnswer;
  micro_cost mCost;

  bool operator==(const stage&) const = default;
};

/// The bill record of one request: its owner, stages and costs.
struct record
{
  request_id mId;
  owner_id mOwner;
  account_id mAccount;
  std::vector<stage> mStages; ///< in order of execution; the last one answered the caller
  std::string mTrace;         ///< W3C trace id, 32 hexadecimal digits, or empty
  origin_id mOrigin;
  sequence_number mSequence;

  bool operator==(const record&) const = default;
};

/// Returns the cost of all stages.
micro_cost CostOf(const record& aRecord);
/// Returns the prompt tokens of all stages.
token_count PromptTokens(const record& aRecord);
/// Returns the answer tokens of all stages.
token_count AnswerTokens(const record& aRecord);

/// Returns the id of a request with an idempotency key. It is the same on every instance, so that
/// a caller's retry through another instance is billed once.
request_id KeyedId(const account_id& aAccount, const std::string& aKey);
/// Returns the id of a request without a key, unique across all instances and their runs.
request_id UnkeyedId(const origin_id& aOrigin, std::uint64_t aCounter);

/// Price of a model version or of a service call.
struct price
{
  std::int64_t mMicroPer1kTokens = 0;
  std::int64_t mMicroPerCall = 0;
};

/// Returns the cost of all tokens, rounded up to a micro-unit, plus the price of the call.
micro_cost CostOfTokens(price aPrice, token_count aPrompt, token_count aAnswer);

/// Outcome of a request, as far as billing depends on it.
enum class request_end
{
  Answered, ///< complete answer, or a call's outcome stored under its idempotency key
  Partial,  ///< the stream was interrupted; only delivered tokens are billed
  NotRun,   ///< refused before it started; nothing is billed
  Unknown,  ///< may have run; billed when its claim is settled as run
};

/// Usage and price of an executed stage, before its cost is computed.
struct stage_use
{
  model_version mVersion;
  token_count mPrompt;
  token_count mAnswer;
  price mPrice;
};

/// Usage of a request, as the pipeline reports it at the end.
struct usage
{
  request_id mId;
  owner_id mOwner;
  account_id mAccount;
  std::vector<stage_use> mStages;
  std::string mTrace;
  request_end mEnd = request_end::Answered;
  token_count mDelivered; ///< answer tokens that reached the caller; read if `mEnd` is Partial
};

/// Returns the record of a request, without origin and sequence, or nothing if nothing is billed.
/// In a partial stream, the last stage is billed for its whole prompt and the delivered tokens, and
/// earlier stages in full. A stream that delivered no token is not billed.
std::optional<record> MakeRecord(const usage& aUsage);

/// Encodes a record as a JSON object on one line, without a line break.
std::string EncodeLine(const record& aRecord);
/// Inverse of `EncodeLine`. Throws `error` of kind `InvalidInput`.
record DecodeLine(std::string_view aLine);

} // namespace tamarackweir::billing
