#pragma once

#include "backends/fleet.h"

#include <cstdint>
#include <vector>

namespace tamarackweir::backends {

/// What one or more instances have lately seen of one start of a server. A default time means
/// never.
struct observation
{
  std::uint64_t mServer = 0;  ///< `ServerKey` of its id
  std::uint64_t mStart = 0;   ///< `StartKey` of its start
  std::uint32_t mFailed = 0;  ///< instances whose last connect failed
  std::uint32_t mTried = 0;   ///< instances that tried to connect
  time_point mFailedAt{};     ///< last failed connect
  time_point mAliveAt{};      ///< last accepted connect or received byte
  time_point mFullAt{};       ///< last rejection as full
  double mSlowdown = 1;       ///< time to a first event against the expected time
  std::uint32_t mSamples = 0; ///< first events behind `mSlowdown`; 0: unknown

  bool operator==(const observation&) const = default;
};

using observations = std::vector<observation>;

/// A server whose view has changed between reachable and unreachable.
struct view_change
{
  server_pointer mServer;
  observation mCause;
};

/// Hash of a server's id; 32 bits, as messages list many servers. Two of a thousand servers collide
/// in one of 10,000 fleets.
std::uint64_t ServerKey(const server_id& aServer);

/// 32-bit hash of a server's start.
std::uint64_t StartKey(std::int64_t aStartId);

/// Records whether a connect to the server was accepted. An accepted one ends the suspicion that a
/// failed connect caused.
void RecordConnect(backend_server& aServer, bool aIsAccepted, time_point aNow);

/// Records the time to an answer or first event, and the expected one.
void RecordSlowdown(backend_server& aServer, duration aTime, duration aExpected, time_point aNow);

/// When this instance last had proof that the server is alive.
time_point AliveAt(const backend_server& aServer);

/// Whether the instances together hold the server for unreachable, and this instance has no fresh
/// proof of the contrary.
bool IsLost(const backend_server& aServer, time_point aNow);

/// Whether the server is chosen only without alternatives: it is lost, or this instance's own
/// attempt to reach it has failed.
bool IsSuspect(const backend_server& aServer, time_point aNow);

/// Whether this instance is to probe the server by a connect without a request.
///
/// A lost server is probed by the first instance in rank on behalf of all, or by the second if the
/// first is silent. A server that only this instance could not reach is probed before the suspicion
/// ends, so that no request is risked.
/// \param aRank how many instances go before this one for the server
bool IsProbeDue(const backend_server& aServer, std::size_t aRank, time_point aNow);

/// Records the end of a probe, after `RecordConnect`.
void RecordProbe(backend_server& aServer, bool aIsAccepted, time_point aNow);

/// What this instance has seen within `kEvidenceLifetime`, newest first, at most
/// `kMaxReportedServers`.
observations OwnObservations(const fleet& aFleet, time_point aNow);

/// Pools the observations of instances, newest first, at most `kMaxPooledServers`.
/// \param aWitnesses one element for each instance
observations Pool(const std::vector<const observations*>& aWitnesses, time_point aNow);

/// Updates the views of the fleet's servers. Observations of another start of a server are ignored,
/// and servers without an observation keep their view until it expires.
std::vector<view_change> ApplyPooled(fleet& aFleet, const observations& aPooled, time_point aNow);

/// Sorts by the latest time in each observation, newest first.
void SortNewestFirst(observations& aObservations);

inline constexpr duration kEvidenceLifetime = 2s; ///< older observations are not sent
/// A view outlives the lost datagrams of one round of all aggregators.
inline constexpr duration kViewLifetime = 2s;
/// Own proof of liveness that outweighs what others report, whenever they failed.
inline constexpr duration kOwnProofLifetime = 500ms;
inline constexpr std::size_t kMaxReportedServers = 64;
inline constexpr std::size_t kMaxPooledServers = 256;

inline constexpr duration kMinProbePause = 200ms; ///< doubled after each failed probe
/// At 300 instances, which report every 800 ms, a longer pause would let the views expire between
/// two probes.
inline constexpr duration kMaxProbePause = 1s;
/// Age of the last known failure at which the second in rank probes: the longest pause, a connect
/// that times out, and a report and totals of 79 instances.
inline constexpr duration kTakeOverAfter = 1700ms;
/// Time before the end of a suspicion at which this instance probes: a connect that times out, and
/// the interval of the checks.
inline constexpr duration kProbeAhead = 500ms;

/// A server is unreachable only if at least so many instances failed to connect ...
inline constexpr std::uint32_t kMinFailedInstances = 2;
/// ... and at least one of so many that tried.
inline constexpr std::uint32_t kTriedPerFailed = 4;

} // namespace tamarackweir::backends
