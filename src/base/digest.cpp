#include "base/digest.h"

#include "base/error.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace tamarackweir {

namespace {

constexpr std::string_view kBase64Url =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

} // namespace

std::string Sha256Hex(std::string_view aBytes)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(aBytes.data(), aBytes.size(), digest.data(), &length, EVP_sha256(), nullptr);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (unsigned int i = 0; i < length; ++i) {
    hex += kDigits[digest[i] >> 4U];
    hex += kDigits[digest[i] & 0xFU];
  }
  return hex;
}

std::string HmacSha256(std::string_view aKey, std::string_view aBytes)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), aKey.data(), static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aBytes.data()), aBytes.size(), digest.data(),
       &length);
  return { reinterpret_cast<const char*>(digest.data()), length };
}

std::string Base64UrlEncode(std::string_view aBytes)
{
  std::string text;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char byte : aBytes) {
    bits = (bits << 8U) | static_cast<unsigned char>(byte);
    count += 8;
    while (count >= 6) {
      count -= 6;
      text += kBase64Url[(bits >> static_cast<unsigned>(count)) & 0x3FU];
    }
  }
  if (count > 0) {
    text += kBase64Url[(bits << static_cast<unsigned>(6 - count)) & 0x3FU];
  }
  return text;
}

std::string Base64UrlDecode(std::string_view aText)
{
  std::string bytes;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char character : aText) {
    const auto digit = kBase64Url.find(character);
    if (digit == std::string_view::npos) {
      throw error(error_kind::InvalidInput, "the text is not base64url",
                  "send it as it was received, without spaces or padding");
    }
    bits = (bits << 6U) | static_cast<std::uint32_t>(digit);
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes += static_cast<char>((bits >> static_cast<unsigned>(count)) & 0xFFU);
    }
  }
  const bool leftoverBits = (bits & ((1U << static_cast<unsigned>(count)) - 1U)) != 0;
  if (aText.size() % 4 == 1 || leftoverBits) {
    throw error(error_kind::InvalidInput, "the base64url text is cut short",
                "send it as it was received, whole");
  }
  return bytes;
}

std::string Base64Encode(std::string_view aBytes)
{
  std::string text((aBytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                   reinterpret_cast<const unsigned char*>(aBytes.data()),
                                   static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::string Base64Decode(std::string_view aText)
{
  const std::size_t padding = aText.ends_with("==") ? 2 : aText.ends_with('=') ? 1 : 0;
  std::string bytes(aText.size() / 4 * 3 + 1, '\0');
  const int size = aText.size() % 4 != 0
                     ? -1
                     : EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                       reinterpret_cast<const unsigned char*>(aText.data()),
                                       static_cast<int>(aText.size()));
  if (size < 0) {
    throw error(error_kind::InvalidInput, "the text is not base64",
                "send it with padding and without spaces");
  }
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

bool EqualConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::uint64_t StableHash(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

} // namespace tamarackweir
