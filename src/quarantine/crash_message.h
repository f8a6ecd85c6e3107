#pragma once

#include "quarantine/crash_board.h"
#include "quarantine/trial_claims.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tamarackweir::quarantine {

/// Crashes, answers and quarantines that an instance sends to others. Times are sent as ages, since
/// clocks differ. Each message repeats recent entries, so a lost datagram only delays them.
struct crash_message
{
  std::vector<crash_record> mCrashes; ///< seen by the sender; by the receiver's clock once decoded
  std::vector<cause_key> mWatched;    ///< parts and requests whose answers the sender wants to know
  std::map<cause_key, time_point> mAnswered;
  std::map<cause_key, quarantine_entry> mQuarantined;
  std::vector<cause_key> mTrials; ///< requests that the sender knows to be on trial
  trial_claims mClaims;
};

/// The message to the other instances; absent if it would be empty.
/// \param aIsReminder whether to include older quarantines and the crashes under suspected
/// requests, for instances that started after them
std::optional<crash_message> MakeMessage(const crash_board& aBoard, bool aIsReminder,
                                         time_point aNow, const trial_claims& aClaims = {});

/// What a message of another instance has changed.
struct merge_result
{
  std::vector<cause_key> mQuarantined; ///< anew here
  /// By crash that was not known here: the request on the server, and what it adds.
  std::vector<std::pair<cause_key, crash_effect>> mEvidence;
};

/// Merges a message of another instance, but for its claims.
merge_result ApplyMessage(crash_board& aBoard, const crash_message& aMessage, time_point aNow);

/// Encodes as MessagePack. The result is an object, which tells it from a load message.
std::string Encode(const crash_message& aMessage, time_point aNow);

/// Entries of each kind in a datagram.
inline constexpr std::size_t kMaxItems = 60;
/// Datagrams for one message; what does not fit is sent once the other entries are old.
inline constexpr std::size_t kMaxParts = 16;

/// Encodes a message as parts that fit into a datagram each.
std::vector<std::string> EncodeInParts(const crash_message& aMessage, time_point aNow);

/// Whether the bytes are a crash message rather than a load message.
bool IsCrashMessage(std::string_view aBytes);

/// Inverse of `Encode`. Throws `error` of kind `InvalidInput`.
crash_message DecodeCrashes(std::string_view aBytes, time_point aNow);

} // namespace tamarackweir::quarantine
