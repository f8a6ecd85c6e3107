#pragma once

#include "base/ids.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace tamarackweir::sessions {

/// Id of a signing key. It is part of the signed payload and not secret.
using key_id = strong_type<struct key_id_tag, std::string>;
/// Number of a session, unique in the fleet. Roll-outs split traffic by its hash.
using session_number = strong_type<struct session_number_tag, std::uint64_t>;
/// Value of the `Tamarackweir-Session` header: base64url(payload . HMAC-SHA256).
using session_token = strong_type<struct session_token_tag, std::string>;

/// A key that signs or verifies tokens.
struct signing_key
{
  key_id mId;
  std::string mSecret; ///< at least 32 bytes
};

/// The accepted keys. `mSigningKey` signs and verifies, `mVerifyOnlyKey` only verifies.
///
/// Instances read a changed key file at different times, so a rotation takes two changes: add the
/// new key as the second, and make it the first once all instances have read the file.
struct key_ring
{
  signing_key mSigningKey;
  std::optional<signing_key> mVerifyOnlyKey;
};

/// The content of a token: one client account's session on one model version.
struct session
{
  account_id mAccount;
  model_version mVersion;
  session_number mNumber;

  bool operator==(const session&) const = default;
};

/// Why a session can't continue or start.
enum class refusal
{
  Malformed,        ///< not a token, or truncated
  UnknownKey,       ///< signed with a key that is not accepted (any more, or yet)
  BadSignature,     ///< modified after signing
  OtherAccount,     ///< issued to another client account
  VersionWithdrawn, ///< the session's version is withdrawn or does not exist
  VersionLeaving,   ///< the version accepts no new sessions
};

/// Returns the name of a refusal in problem documents and metrics.
const char* ToString(refusal aRefusal);

/// Returns the `detail` of a problem document: the cause, and what the caller can do about it.
std::string Detail(refusal aRefusal);

/// State of a model version in the settings. A `Leaving` version accepts no new sessions; an
/// `Absent` one is not in the settings.
enum class version_state
{
  Active,
  Leaving,
  Withdrawn,
  Absent,
};

/// Session state of one instance: the keys and the counter of session numbers.
struct state
{
  key_ring mKeys;
  std::uint64_t mNumberBase = 0; ///< first number, a hash of the instance id and start epoch
  std::uint64_t mIssuedCount = 0;
};

/// Parses a key file: JSON with comments, `{"keys": [{"id": "..", "secret": "<base64url>"}]}` with
/// one or two keys, the signing key first. Throws `error` of kind `InvalidInput`, whose message
/// never contains a secret.
key_ring ParseKeys(std::string_view aText);

/// Returns the initial state of an instance.
state MakeState(key_ring aKeys, const instance_id& aInstance, start_epoch aEpoch);

/// Replaces the keys (on SIGHUP). Tokens signed with a dropped key are refused as `UnknownKey`.
void RotateKeys(state& aState, key_ring aKeys);

/// Creates a session with a unique number.
session CreateSession(state& aState, const account_id& aAccount, const model_version& aVersion);

/// Returns a token for `aSession`, signed with the signing key.
session_token IssueToken(const state& aState, const session& aSession);

/// Verifies a token sent by `aAccount`. The signature is checked before the account, so that only
/// an authentic token is refused as `OtherAccount`.
std::variant<session, refusal> VerifyToken(const state& aState, const session_token& aToken,
                                           const account_id& aAccount);

/// Returns why a session can't continue on a version in this state, or nullopt if it can.
std::optional<refusal> CheckContinue(version_state aState);

/// Returns why no session can start on a version in this state, or nullopt if one can.
std::optional<refusal> CheckStart(version_state aState);

} // namespace tamarackweir::sessions
