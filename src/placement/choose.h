#pragma once

#include "backends/fleet.h"
#include "placement/engine_speed.h"

#include <functional>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace tamarackweir::placement {

/// A part of a prompt. All parts but the last one are shared between requests.
struct prompt_part
{
  std::uint64_t mId = 0; ///< hash of the part's id
  std::int64_t mTokens = 0;
};

/// Inputs to the choice of a backend server for one attempt.
struct demand
{
  service_id mService;
  std::uint64_t mModelHash = 0; ///< cached parts are valid for the same model only
  std::vector<prompt_part> mParts;
  prefill_time mPrefill; ///< of the model on the service's engines
  /// Time by which a request in flight delays another one: between two events of a stream, in which
  /// an engine serves each request once; or of a plain call, as servers serve those one by one.
  double mTurnMs = 1;
  data_centre_id mDataCentre;                              ///< of this instance
  const std::vector<server_id>* mTriedServers = nullptr;   ///< servers already tried
  const std::vector<data_centre_id>* mUnreached = nullptr; ///< once per failed connect
  /// Whether the request may use the server, by version, evacuation and region.
  std::function<bool(const backends::backend_server&)> mIsAllowed;
  /// Reserves a request at a cold server; called only if the server would be chosen.
  std::function<bool(backends::backend_server&)> mAcquireColdSlot;
};

/// Estimate of the prefix caches of servers, from the prompts that this instance sent. What a
/// server has evicted is not known; sending a prompt there costs no more than sending it elsewhere.
struct prefix_caches
{
  /// When a server last processed a part, by a hash of server, model and part.
  std::unordered_map<std::uint64_t, time_point> mPrefilledAt;
  std::size_t mMaxEntries = 50'000; ///< about 3 MB; above it the older half is removed
};

/// Weights of the choice.
struct choice_options
{
  /// Weight of the request's own prefill against the server's queue. Processing a cached part again
  /// delays all later requests, so the queue mostly decides between servers with equal prefill.
  /// Lower weights serve fewer requests in time on busy engines, see docs/design/even-load.md.
  double mPrefillWeight = 40;
  /// While the wait at a server exceeds the prefill of a shared part, and the servers' mean wait by
  /// this factor, the next server holds the part too.
  double mLongWaitFactor = 2;
  std::size_t mMaxHolders = 16;     ///< servers that may hold a part in high demand, at most 16
  double mFailurePenaltyMs = 3000;  ///< penalty at a failure share of 1
  double mToleratedFailures = 0.2;  ///< failure share without a penalty
  double mUnreachedPenaltyMs = 500; ///< per failed connect in the data centre
  double mOtherDataCentreMs = 1;    ///< round trip to another data centre
  /// Whether known loads are carried on from the last report, and the choice is drawn by the room
  /// at each server. Without it, all instances with the same report use the same servers.
  bool mSpreadsLoad = true;
};

/// Why a server is no candidate for a request.
enum class exclusion
{
  None,
  Leaving,
  NotAllowed, ///< by `demand::mIsAllowed`
  Closed,     ///< it wants no request from this instance now
  Tried,
};

exclusion ExclusionOf(const backends::backend_server& aServer, const demand& aDemand,
                      time_point aNow);

/// Why no server was chosen.
enum class no_choice
{
  None,      ///< a server was chosen
  NoServers, ///< no server of the service may be used
  AllTried,  ///< the request has tried all of them
  ColdOnly,  ///< the rest are cold and at their rate limit
  Closed,    ///< the rest want no request from this instance for now, see `mOpensAt`
};

struct choice
{
  backends::server_pointer mServer; ///< null if none was chosen, see `mReason`
  no_choice mReason = no_choice::None;
  /// When the first of the closed servers may be used again, if only these are left.
  std::optional<time_point> mOpensAt;
  std::size_t mCandidateCount = 0;
  double mCostMs = 0;
  double mWaitMs = 0; ///< expected delay at the server, without the prefill of the own prompt
  std::int64_t mPrefillTokens = 0; ///< of the prompt, expected not to be cached
  double mPrefillMs = 0;           ///< expected time to prefill them
  bool mIsUnobstructed = false;    ///< no other prompt waits at the server, as far as known
};

/// Load of a service's usable servers at one moment, for decisions on admission and escalation.
struct service_load
{
  std::size_t mServers = 0; ///< usable ones
  double mMedianWaitMs = 0; ///< expected wait of a new request at the median server
  double mLeastWaitMs = 0;  ///< at the least loaded tenth
  double mBusyShare = 0;    ///< share of the servers whose wait exceeds `demand::mTurnMs`
};

/// The load of the servers that the request may use now, without suspect, missing and cold ones. A
/// server that is full until its next report counts as busy.
service_load LoadOf(const backends::fleet& aFleet, const demand& aDemand,
                    const choice_options& aOptions, time_point aNow);

/// Picks the server with the least expected delay, from the tokens it has to prefill, its queue and
/// its recent failures and delays. Suspect and cold servers are used only if there is no other.
///
/// The first server by rendezvous hashing of the model and the last shared part is assumed to cache
/// the shared parts: every instance sends them there, so no message is needed. While the wait there
/// is long, the next server is assumed to cache them too.
choice Choose(const backends::fleet& aFleet, const demand& aDemand, const prefix_caches& aCaches,
              const choice_options& aOptions, std::mt19937_64& aRandom, time_point aNow);

/// Records that the server processes the prompt now.
void RecordPrefill(prefix_caches& aCaches, const server_id& aServer, const demand& aDemand,
                   time_point aNow);

} // namespace tamarackweir::placement
