#include "billing/record.h"

#include "base/digest.h"
#include "base/error.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <numeric>

namespace tamarackweir::billing {

using nlohmann::json;

namespace {

// 128 bits: at 9,700 records/s the probability of a collision in ten years is below 1e-13.
constexpr std::size_t kIdDigits = 32;

std::string Hex(std::uint64_t aNumber)
{
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.begin(), digits.end(), aNumber, 16).ptr;
  return { digits.begin(), end };
}

template<class Get>
std::int64_t Sum(const record& aRecord, Get aGet)
{
  return std::accumulate(
    aRecord.mStages.begin(), aRecord.mStages.end(), std::int64_t{ 0 },
    [&](std::int64_t aTotal, const stage& aStage) { return aTotal + aGet(aStage); });
}

} // namespace

std::string ToString(const origin_id& aOrigin)
{
  return aOrigin.mInstance.Value() + "-" + Hex(aOrigin.mEpoch.Value());
}

micro_cost CostOf(const record& aRecord)
{
  return micro_cost(Sum(aRecord, [](const stage& aStage) { return aStage.mCost.Value(); }));
}

token_count PromptTokens(const record& aRecord)
{
  return token_count(Sum(aRecord, [](const stage& aStage) { return aStage.mPrompt.Value(); }));
}

token_count AnswerTokens(const record& aRecord)
{
  return token_count(Sum(aRecord, [](const stage& aStage) { return aStage.mAnswer.Value(); }));
}

request_id KeyedId(const account_id& aAccount, const std::string& aKey)
{
  // The length delimits the account, so that no two pairs and no unkeyed id share a text.
  const std::string text =
    "key " + std::to_string(aAccount.Value().size()) + " " + aAccount.Value() + " " + aKey;
  return request_id(Sha256Hex(text).substr(0, kIdDigits));
}

request_id UnkeyedId(const origin_id& aOrigin, std::uint64_t aCounter)
{
  const std::string text = "run " + ToString(aOrigin) + " " + std::to_string(aCounter);
  return request_id(Sha256Hex(text).substr(0, kIdDigits));
}

micro_cost CostOfTokens(price aPrice, token_count aPrompt, token_count aAnswer)
{
  const std::int64_t product = (aPrompt.Value() + aAnswer.Value()) * aPrice.mMicroPer1kTokens;
  return micro_cost((product + 999) / 1000 + aPrice.mMicroPerCall);
}

std::optional<record> MakeRecord(const usage& aUsage)
{
  const bool nothingDelivered =
    aUsage.mEnd == request_end::Partial && aUsage.mDelivered.Value() <= 0;
  if (aUsage.mEnd == request_end::NotRun || aUsage.mEnd == request_end::Unknown ||
      nothingDelivered || aUsage.mStages.empty()) {
    return std::nullopt;
  }
  record made{ .mId = aUsage.mId,
               .mOwner = aUsage.mOwner,
               .mAccount = aUsage.mAccount,
               .mStages = {},
               .mTrace = aUsage.mTrace,
               .mOrigin = {},
               .mSequence = {} };
  for (const stage_use& use : aUsage.mStages) {
    const bool last = &use == &aUsage.mStages.back();
    const token_count answer =
      last && aUsage.mEnd == request_end::Partial ? aUsage.mDelivered : use.mAnswer;
    made.mStages.push_back(
      { use.mVersion, use.mPrompt, answer, CostOfTokens(use.mPrice, use.mPrompt, answer) });
  }
  return made;
}

std::string EncodeLine(const record& aRecord)
{
  json stages = json::array();
  for (const stage& entry : aRecord.mStages) {
    stages.push_back({ { "model", entry.mVersion.mModel.Value() },
                       { "version", entry.mVersion.mVersion.Value() },
                       { "prompt", entry.mPrompt.Value() },
                       { "answer", entry.mAnswer.Value() },
                       { "cost", entry.mCost.Value() } });
  }
  return json{
    { "id", aRecord.mId.Value() },
    { "owner", aRecord.mOwner.Value() },
    { "account", aRecord.mAccount.Value() },
    { "stages", stages },
    { "trace", aRecord.mTrace },
    { "instance", aRecord.mOrigin.mInstance.Value() },
    { "epoch", aRecord.mOrigin.mEpoch.Value() },
    { "sequence", aRecord.mSequence.Value() }
  }.dump();
}

record DecodeLine(std::string_view aLine)
{
  try {
    const json value = json::parse(aLine);
    record decoded{ .mId = request_id(value.at("id").get<std::string>()),
                    .mOwner = owner_id(value.at("owner").get<std::string>()),
                    .mAccount = account_id(value.at("account").get<std::string>()),
                    .mStages = {},
                    .mTrace = value.at("trace").get<std::string>(),
                    .mOrigin = { instance_id(value.at("instance").get<std::string>()),
                                 start_epoch(value.at("epoch").get<std::uint64_t>()) },
                    .mSequence = sequence_number(value.at("sequence").get<std::uint64_t>()) };
    for (const json& entry : value.at("stages")) {
      decoded.mStages.push_back({ { model_id(entry.at("model").get<std::string>()),
                                    version_id(entry.at("version").get<std::string>()) },
                                  token_count(entry.at("prompt").get<std::int64_t>()),
                                  token_count(entry.at("answer").get<std::int64_t>()),
                                  micro_cost(entry.at("cost").get<std::int64_t>()) });
    }
    return decoded;
  } catch (const json::exception& cause) {
    throw error(error_kind::InvalidInput, std::string("malformed bill record: ") + cause.what(),
                "restore the object from the store's history");
  }
}

} // namespace tamarackweir::billing
