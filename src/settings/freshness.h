#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <map>
#include <optional>

namespace tamarackweir::settings {

/// How far an instance may trust its copy of the settings (design, section 7).
enum class verdict
{
  Fresh,    ///< confirmed as the store's head within the limit
  Outage,   ///< unconfirmed, but the store is down for everybody: serve and raise an alarm
  Isolated, ///< unconfirmed, and the head may have changed: refuse new work
};

/// The lower-case name of a verdict.
const char* ToString(verdict aVerdict);

/// One run of an instance. A replacement has the same id or address and another epoch.
struct instance_run
{
  instance_id mId{};
  start_epoch mEpoch{};

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the compiler's comparison with 0
  auto operator<=>(const instance_run&) const = default;
};

/// The knowledge that a revision was the store's head at a moment of the own clock.
struct head_confirmation
{
  revision mRevision{};
  time_point mAt{};
};

/// What came of a read of the store: the moment it was sent and whether it was answered. The time
/// of sending counts, because the answer may have waited while this process was paused.
struct store_read
{
  time_point mSentAt{};
  bool mReachable = false;
};

/// The probes of one peer. All times are of the own clock.
struct peer_probe
{
  time_point mLastSentAt{};
  /// When the latest answered probe was sent.
  std::optional<time_point> mAnsweredProbeAt{};
  /// The peer's last store read; its time is at the latest the true one.
  std::optional<store_read> mStoreRead{};
};

/// State of the verdict.
struct freshness_state
{
  /// For each revision, when it was last known to be the head. Lower revisions than the held one
  /// count too: when one of them was the head, nothing above the held one had been accepted.
  std::map<revision, time_point> mConfirmed{};
  /// The highest revision that anybody reported.
  revision mHighest{};
  /// The own last finished read of the store.
  std::optional<store_read> mLastRead{};
  /// By id: a replacement takes over its predecessor's entry.
  std::map<instance_id, peer_probe> mPeers{};
};

/// Limits of the verdict.
struct freshness_options
{
  /// Confirmations and failed reads older than this don't count. At most the 4 s of guarantee 12.
  duration mLimit = std::chrono::seconds(4);
  /// The majority is taken of the peers probed within `mLimit`, or of those probed within this
  /// time. In a large fleet, where each probe meets another peer, the answers from before an outage
  /// fill the longer window until after the confirmations expire; the shorter one alone, with fewer
  /// peers, made 24% of the verdicts isolated in an outage with 20% loss of messages.
  duration mProbeWindow = std::chrono::milliseconds(1500);
};

/// Records a confirmation; one that is older than the known one of its revision changes nothing.
void Confirm(freshness_state& aState, const head_confirmation& aConfirmation);

/// Returns the verdict on the held revision. Call it at the moment of dispatch: the state does not
/// change during a pause, but the age of the confirmation does.
verdict Verdict(const freshness_state& aState, revision aHeld, time_point aNow,
                const freshness_options& aOptions = {});

/// The latest moment at which no revision above `aHeld` was accepted, as far as is known: the
/// latest confirmation of it or of a lower one. Nothing if there is none.
std::optional<time_point> ConfirmedAt(const freshness_state& aState, revision aHeld);

/// Drops peers that were not probed within the limit, and merges the confirmations of revisions
/// below `aHeld`, so that the state does not grow with replaced instances and with changes.
void ForgetOld(freshness_state& aState, revision aHeld, time_point aNow,
               const freshness_options& aOptions = {});

} // namespace tamarackweir::settings
