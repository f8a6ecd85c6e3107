#include "billing/billing.h"

#include "base/error.h"
#include "billing/bill_copy.pb.h"
#include "billing/internal.h"

namespace tamarackweir::billing {

namespace {

constexpr std::string_view kDigits = "0123456789abcdef";

/// Decodes 32 lower-case hexadecimal digits to bytes; returns nothing for any other text.
std::optional<std::string> FromHex(const std::string& aText)
{
  if (aText.size() != 32 || aText.find_first_not_of(kDigits) != std::string::npos) {
    return std::nullopt;
  }
  std::string bytes;
  for (std::size_t i = 0; i < aText.size(); i += 2) {
    bytes += static_cast<char>(kDigits.find(aText[i]) * 16 + kDigits.find(aText[i + 1]));
  }
  return bytes;
}

std::string ToHex(const std::string& aBytes)
{
  std::string text;
  for (const char character : aBytes) {
    const auto byte = static_cast<unsigned char>(character);
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 0xFU];
  }
  return text;
}

[[noreturn]] void ThrowDecodeError(const char* aWhat)
{
  throw error(error_kind::InvalidInput, std::string("the message cannot be decoded as ") + aWhat,
              "drop the message; the sender retries it");
}

void ToWire(wire::Record& aOut, const record& aRecord)
{
  if (const auto id = FromHex(aRecord.mId.Value())) {
    aOut.set_id(*id);
  } else {
    aOut.set_id_text(aRecord.mId.Value());
  }
  aOut.set_owner(aRecord.mOwner.Value());
  aOut.set_account(aRecord.mAccount.Value());
  for (const stage& ran : aRecord.mStages) {
    wire::Stage& part = *aOut.add_stages();
    part.set_model(ran.mVersion.mModel.Value());
    part.set_version(ran.mVersion.mVersion.Value());
    part.set_prompt(ran.mPrompt.Value());
    part.set_answer(ran.mAnswer.Value());
    part.set_cost(ran.mCost.Value());
  }
  if (const auto trace = FromHex(aRecord.mTrace)) {
    aOut.set_trace(*trace);
  } else {
    aOut.set_trace_text(aRecord.mTrace);
  }
  aOut.set_sequence(aRecord.mSequence.Value());
}

record FromWire(const wire::Record& aIn, const origin_id& aOrigin)
{
  record converted{ .mId = request_id(aIn.id().empty() ? aIn.id_text() : ToHex(aIn.id())),
                    .mOwner = owner_id(aIn.owner()),
                    .mAccount = account_id(aIn.account()),
                    .mStages = {},
                    .mTrace = aIn.trace().empty() ? aIn.trace_text() : ToHex(aIn.trace()),
                    .mOrigin = aOrigin,
                    .mSequence = sequence_number(aIn.sequence()) };
  for (const wire::Stage& part : aIn.stages()) {
    converted.mStages.push_back({ { model_id(part.model()), version_id(part.version()) },
                                  token_count(part.prompt()),
                                  token_count(part.answer()),
                                  micro_cost(part.cost()) });
  }
  return converted;
}

} // namespace

internal::packed_record internal::Pack(const record& aRecord)
{
  wire::Record message;
  ToWire(message, aRecord);
  return message.SerializeAsString();
}

record internal::Unpack(const packed_record& aPacked, const origin_id& aOrigin)
{
  wire::Record message;
  if (!message.ParseFromString(aPacked)) {
    ThrowDecodeError("a packed record");
  }
  return FromWire(message, aOrigin);
}

std::string EncodeCopy(const copy_batch& aBatch)
{
  wire::CopyBatch message;
  message.set_instance(aBatch.mOrigin.mInstance.Value());
  message.set_epoch(aBatch.mOrigin.mEpoch.Value());
  message.set_batch(aBatch.mBatchId.Value());
  message.set_settled(aBatch.mSettledUpTo.Value());
  for (const record& entry : aBatch.mRecords) {
    ToWire(*message.add_records(), entry);
  }
  return message.SerializeAsString();
}

copy_batch DecodeCopy(std::string_view aBytes)
{
  wire::CopyBatch message;
  if (!message.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    ThrowDecodeError("a copy batch");
  }
  copy_batch decoded{ .mOrigin = { instance_id(message.instance()), start_epoch(message.epoch()) },
                      .mBatchId = operation_id(message.batch()),
                      .mSettledUpTo = sequence_number(message.settled()),
                      .mRecords = {} };
  for (const wire::Record& in : message.records()) {
    decoded.mRecords.push_back(FromWire(in, decoded.mOrigin));
  }
  return decoded;
}

std::string EncodeAck(const copy_ack& aAck)
{
  wire::CopyAck message;
  message.set_holder(aAck.mHolder.mInstance.Value());
  message.set_holder_epoch(aAck.mHolder.mEpoch.Value());
  message.set_origin(aAck.mOrigin.mInstance.Value());
  message.set_origin_epoch(aAck.mOrigin.mEpoch.Value());
  message.set_batch(aAck.mBatchId.Value());
  message.set_accepted(aAck.mAccepted);
  return message.SerializeAsString();
}

copy_ack DecodeAck(std::string_view aBytes)
{
  wire::CopyAck message;
  if (!message.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    ThrowDecodeError("an acknowledgement of a copy");
  }
  return { .mHolder = { instance_id(message.holder()), start_epoch(message.holder_epoch()) },
           .mOrigin = { instance_id(message.origin()), start_epoch(message.origin_epoch()) },
           .mBatchId = operation_id(message.batch()),
           .mAccepted = message.accepted() };
}

} // namespace tamarackweir::billing
