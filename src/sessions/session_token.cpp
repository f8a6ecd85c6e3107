#include "sessions/session_token.h"

#include "base/digest.h"
#include "base/error.h"

#include <nlohmann/json.hpp>

namespace tamarackweir::sessions {

using nlohmann::json;

namespace {

constexpr std::size_t kMacBytes = 32;
// HMAC-SHA256 loses strength with a key shorter than its output (RFC 2104, section 3).
constexpr std::size_t kMinSecretBytes = 32;
// Common HTTP implementations limit header lines to 8 KiB; a longer value is no valid token.
constexpr std::size_t kMaxTokenBytes = 4096;

signing_key ParseKey(const json& aEntry)
{
  if (!aEntry.is_object() || !aEntry.contains("id") || !aEntry.at("id").is_string() ||
      !aEntry.contains("secret") || !aEntry.at("secret").is_string()) {
    throw error(error_kind::InvalidInput, "a session key has no string 'id' or no string 'secret'",
                "give each key an 'id' and a 'secret', both as strings");
  }
  signing_key key{ key_id(aEntry.at("id").get<std::string>()),
                   Base64UrlDecode(aEntry.at("secret").get_ref<const std::string&>()) };
  if (key.mId.Value().empty() || key.mSecret.size() < kMinSecretBytes) {
    throw error(error_kind::InvalidInput,
                "session key '" + key.mId.Value() +
                  "' has an empty id or a secret that is too short: " +
                  std::to_string(key.mSecret.size()) + " bytes",
                "give it an id and a secret of at least 32 random bytes in base64url");
  }
  return key;
}

const signing_key* FindKey(const key_ring& aKeys, const key_id& aId)
{
  if (aKeys.mSigningKey.mId == aId) {
    return &aKeys.mSigningKey;
  }
  return aKeys.mVerifyOnlyKey && aKeys.mVerifyOnlyKey->mId == aId ? &*aKeys.mVerifyOnlyKey
                                                                  : nullptr;
}

} // namespace

const char* ToString(refusal aRefusal)
{
  switch (aRefusal) {
    case refusal::Malformed:
      return "session_malformed";
    case refusal::UnknownKey:
      return "session_key_unknown";
    case refusal::BadSignature:
      return "session_signature_bad";
    case refusal::OtherAccount:
      return "session_of_other_account";
    case refusal::VersionWithdrawn:
      return "session_version_withdrawn";
    case refusal::VersionLeaving:
      return "session_version_leaving";
  }
  return "session_malformed";
}

std::string Detail(refusal aRefusal)
{
  switch (aRefusal) {
    case refusal::Malformed:
      return "the session header is not a session token; send the token unchanged, or omit the "
             "header to start a session";
    case refusal::UnknownKey:
      return "the session was signed with a key that is no longer accepted; omit the header to "
             "start a session";
    case refusal::BadSignature:
      return "the session token was modified after it was issued; send the token unchanged, or "
             "omit the header to start a session";
    case refusal::OtherAccount:
      return "the session belongs to another client account; omit the header to start a "
             "session";
    case refusal::VersionWithdrawn:
      return "the model version of this session was withdrawn, which ends the session; omit the "
             "header to start a session on another version";
    case refusal::VersionLeaving:
      return "this model version accepts no new sessions; request the model without a version, or "
             "with another version";
  }
  return "the session token can't be used; omit the header to start a session";
}

key_ring ParseKeys(std::string_view aText)
{
  const json root = json::parse(aText, nullptr, false, true);
  if (!root.is_object() || !root.contains("keys") || !root.at("keys").is_array()) {
    throw error(error_kind::InvalidInput, "the session key file has no array 'keys'",
                R"(write {"keys": [{"id": "..", "secret": ".."}]})");
  }
  const json& entries = root.at("keys");
  if (entries.empty() || entries.size() > 2) {
    throw error(error_kind::InvalidInput,
                "the session key file has " + std::to_string(entries.size()) + " keys",
                "list the signing key first, then at most one other accepted key");
  }
  key_ring keys{ ParseKey(entries.at(0)), std::nullopt };
  if (entries.size() == 2) {
    keys.mVerifyOnlyKey = ParseKey(entries.at(1));
    if (keys.mVerifyOnlyKey->mId == keys.mSigningKey.mId) {
      throw error(error_kind::InvalidInput,
                  "two session keys have the id '" + keys.mSigningKey.mId.Value() + "'",
                  "give each key an id that has not been used before");
    }
  }
  return keys;
}

state MakeState(key_ring aKeys, const instance_id& aInstance, start_epoch aEpoch)
{
  // A hash of instance id and start epoch gives each instance its own number range without a shared
  // counter. Splitting a roll-out's traffic needs an even distribution, not unpredictable numbers.
  return { .mKeys = std::move(aKeys),
           .mNumberBase = StableHash(aInstance.Value(), aEpoch.Value()),
           .mIssuedCount = 0 };
}

void RotateKeys(state& aState, key_ring aKeys)
{
  aState.mKeys = std::move(aKeys);
}

session CreateSession(state& aState, const account_id& aAccount, const model_version& aVersion)
{
  return { aAccount, aVersion, session_number(aState.mNumberBase + aState.mIssuedCount++) };
}

session_token IssueToken(const state& aState, const session& aSession)
{
  const signing_key& key = aState.mKeys.mSigningKey;
  const std::string payload =
    json::array({ aSession.mAccount.Value(), aSession.mVersion.mModel.Value(),
                  aSession.mVersion.mVersion.Value(), key.mId.Value(), aSession.mNumber.Value() })
      .dump();
  return session_token(Base64UrlEncode(payload + HmacSha256(key.mSecret, payload)));
}

std::variant<session, refusal> VerifyToken(const state& aState, const session_token& aToken,
                                           const account_id& aAccount)
{
  std::string decodedToken;
  if (aToken.Value().size() > kMaxTokenBytes) {
    return refusal::Malformed;
  }
  try {
    decodedToken = Base64UrlDecode(aToken.Value());
  } catch (const error&) {
    return refusal::Malformed;
  }
  if (decodedToken.size() <= kMacBytes) {
    return refusal::Malformed;
  }
  const std::string payload = decodedToken.substr(0, decodedToken.size() - kMacBytes);
  const json fields = json::parse(payload, nullptr, false);
  if (!fields.is_array() || fields.size() != 5 || !fields.at(4).is_number_unsigned()) {
    return refusal::Malformed;
  }
  for (std::size_t i = 0; i < 4; ++i) {
    if (!fields.at(i).is_string()) {
      return refusal::Malformed;
    }
  }
  const signing_key* key = FindKey(aState.mKeys, key_id(fields.at(3).get<std::string>()));
  if (key == nullptr) {
    return refusal::UnknownKey;
  }
  if (!EqualConstantTime(HmacSha256(key->mSecret, payload),
                         std::string_view(decodedToken).substr(payload.size()))) {
    return refusal::BadSignature;
  }
  session found{ account_id(fields.at(0).get<std::string>()),
                 { model_id(fields.at(1).get<std::string>()),
                   version_id(fields.at(2).get<std::string>()) },
                 session_number(fields.at(4).get<std::uint64_t>()) };
  if (found.mAccount != aAccount) {
    return refusal::OtherAccount;
  }
  return found;
}

std::optional<refusal> CheckContinue(version_state aState)
{
  switch (aState) {
    case version_state::Active:
    case version_state::Leaving:
      return std::nullopt;
    case version_state::Withdrawn:
    case version_state::Absent:
      break;
  }
  return refusal::VersionWithdrawn;
}

std::optional<refusal> CheckStart(version_state aState)
{
  switch (aState) {
    case version_state::Active:
      return std::nullopt;
    case version_state::Leaving:
      return refusal::VersionLeaving;
    case version_state::Withdrawn:
    case version_state::Absent:
      break;
  }
  return refusal::VersionWithdrawn;
}

} // namespace tamarackweir::sessions
