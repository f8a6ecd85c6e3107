#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <compare>
#include <string>

namespace tamarackweir::membership {

/// What a rumour states about its subject.
enum class rumour_kind : std::uint8_t
{
  ServerLeaving, ///< a backend server takes no new work in this epoch
  ServerCold,    ///< a backend server is cold; the payload names its lease holder
  InstanceLeft,  ///< an entry instance has shut down
  CrashSuspect,  ///< a request that may crash backend servers; opaque here
  Evidence,      ///< counters of a roll-out or cascade; opaque here
};

/// Identity of a rumour. Start epochs are random and have no order, so rumours about different
/// epochs of a subject have different keys.
struct rumour_key
{
  rumour_kind mKind = rumour_kind::Evidence;
  std::string mSubject;
  start_epoch mEpoch;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the compiler's comparison with 0
  auto operator<=>(const rumour_key&) const = default;
};

/// A fact that gossip spreads to all instances. Of two rumours with the same key the one with the
/// higher (version, payload) wins, so that merging is commutative, associative and idempotent.
struct rumour
{
  rumour_key mKey;
  std::uint64_t mVersion = 0;
  std::string mPayload; ///< at most `options::mMaxPayload` bytes
  duration mAge{};      ///< time since the first instance learned it
};

/// The rumour that `aServer` takes no new work in `aEpoch`.
rumour ServerLeavingRumour(const server_id& aServer, start_epoch aEpoch);

/// The rumour that `aServer` is cold. The lease's fencing number is the version, so that the latest
/// lease holder wins.
rumour ServerColdRumour(const server_id& aServer, start_epoch aEpoch, const instance_id& aHolder,
                        fencing_number aLease);

/// The rumour that `aInstance` has shut down.
rumour InstanceLeftRumour(const instance_id& aInstance, start_epoch aEpoch);

/// A crash suspect or evidence. Only another module interprets `aKey` and `aPayload`.
rumour OpaqueRumour(rumour_kind aKind, std::string aKey, std::uint64_t aVersion,
                    std::string aPayload);

/// Whether `aNew` replaces `aOld`, which has the same key.
bool Supersedes(const rumour& aNew, const rumour& aOld);

} // namespace tamarackweir::membership
