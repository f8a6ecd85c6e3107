#include "membership/membership.h"

#include "membership/internal.h"

#include <bit>

namespace tamarackweir::membership {

namespace {

// TCP/IP headers without options, and the flags and length of a ZeroMQ frame.
constexpr std::size_t kHeaderBytes = 40 + 2;
// The envelope's kind and reply address ("255.255.255.255:65535"); an answer needs no address.
constexpr std::size_t kEnvelopeBytes = 2 + 2 + 21;
constexpr std::size_t kAnswerEnvelopeBytes = 2 + 2;
// A protobuf tag and a fixed 64-bit or 32-bit value.
constexpr std::size_t kFixed64Bytes = 1 + 8;
constexpr std::size_t kFixed32Bytes = 1 + 4;
constexpr std::size_t kFlagBytes = 2;

std::size_t VarintBytes(std::uint64_t aValue)
{
  // Protobuf omits a field that is 0.
  return aValue == 0 ? 0 : 1 + (static_cast<std::size_t>(std::bit_width(aValue)) + 6) / 7;
}

std::size_t TextBytes(const std::string& aText)
{
  return aText.empty() ? 0 : VarintBytes(aText.size()) + aText.size();
}

} // namespace

std::size_t internal::RumourBytes(const rumour& aRumour)
{
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(aRumour.mAge).count();
  const std::size_t fields = VarintBytes(static_cast<std::uint64_t>(aRumour.mKey.mKind)) +
                             TextBytes(aRumour.mKey.mSubject) + kFixed64Bytes +
                             VarintBytes(aRumour.mVersion) + TextBytes(aRumour.mPayload) +
                             VarintBytes(static_cast<std::uint64_t>(seconds));
  return VarintBytes(fields) + fields;
}

std::size_t WireBytes(const gossip_message& aMessage)
{
  std::size_t bytes = kHeaderBytes;
  if (aMessage.mAnswerTo != 0) {
    bytes += kAnswerEnvelopeBytes;
  } else {
    bytes += kEnvelopeBytes + TextBytes(aMessage.mSender.Value()) + kFixed64Bytes + kFixed32Bytes;
  }
  bytes += VarintBytes(aMessage.mHead.mHead.Value());
  if (aMessage.mHead.mAge != duration::max()) {
    const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(aMessage.mHead.mAge).count();
    bytes += VarintBytes(static_cast<std::uint64_t>(ms));
  }
  bytes += aMessage.mHead.mStoreReachable ? kFlagBytes : 0;
  bytes += aMessage.mLeaving ? kFlagBytes : 0;
  bytes += VarintBytes(aMessage.mProbe) + VarintBytes(aMessage.mAnswerTo);
  for (const rumour& each : aMessage.mRumours) {
    bytes += internal::RumourBytes(each);
  }
  return bytes;
}

} // namespace tamarackweir::membership
