#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackweir {

/// SHA-256 of `aBytes`, as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view aBytes);

/// HMAC-SHA256 of `aBytes` under `aKey`, as 32 raw bytes.
std::string HmacSha256(std::string_view aKey, std::string_view aBytes);

/// Base64url without padding (RFC 4648, section 5).
std::string Base64UrlEncode(std::string_view aBytes);

/// Inverse of `Base64UrlEncode`. Throws `error` of kind `InvalidInput` on any other character or
/// length.
std::string Base64UrlDecode(std::string_view aText);

/// Base64 with padding (RFC 4648, section 4).
std::string Base64Encode(std::string_view aBytes);

/// Inverse of `Base64Encode`. Throws `error` of kind `InvalidInput` on any other character or
/// length.
std::string Base64Decode(std::string_view aText);

/// Compares in a time that does not depend on where the texts differ.
bool EqualConstantTime(std::string_view aLeft, std::string_view aRight);

/// A 64-bit hash that is the same in every process and build (not for secrets).
std::uint64_t StableHash(std::string_view aBytes, std::uint64_t aSeed = 0);

} // namespace tamarackweir
