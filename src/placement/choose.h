#pragma once

#include "backends/fleet.h"

#include <functional>
#include <random>
#include <unordered_map>
#include <vector>

namespace tamarackweir::placement {

/// A part of a prompt; parts are shared between requests, apart from the last one.
struct prompt_part
{
  std::uint64_t mId = 0; ///< hash of the part's id
  std::int64_t mTokens = 0;
};

/// What the choice of a backend server depends on.
struct demand
{
  service_id mService;
  std::uint64_t mModelHash = 0; ///< cached parts are of use to the same model only
  std::vector<prompt_part> mParts;
  double mPrefillCost = 1;    ///< time to read a token, relative to a model of ordinary size
  data_centre_id mDataCentre; ///< of this instance
  const std::vector<server_id>* mTriedServers = nullptr;   ///< servers that this request has tried
  const std::vector<data_centre_id>* mUnreached = nullptr; ///< where it reached no server
  /// Whether the request may go to the server at all: version, evacuation, region.
  std::function<bool(const backends::backend_server&)> mIsAllowed;
  /// Asked for a cold server only, and only if it is the choice.
  std::function<bool(backends::backend_server&)> mAcquireColdSlot;
};

/// What this instance knows of prompts that servers have read.
struct prefix_caches
{
  /// When a server last read a part for a model, by a hash of the three.
  std::unordered_map<std::uint64_t, time_point> mPrefilledAt;
  std::size_t mMaxEntries = 50'000; ///< about 3 MB; it is emptied of old entries above
};

/// Weights of the choice.
struct choice_options
{
  double mPrefillTokensPerMs =
    32; ///< speed of an engine at reading prompts, from the engines' sheet
  /// Of the own reading, against work that the server has for others: a part that is read twice
  /// delays all requests that follow, so the queue decides mostly between servers that would read
  /// as much.
  double mPrefillWeight = 40;
  /// Expected wait above which the next server holds a shared part too; a long prompt's reading.
  double mLongWaitMs = 280;
  double mLongWaitFactor = 2;       ///< and at least this multiple of the mean wait
  duration mCacheLifetime = 9s;     ///< after its last use a shared part is taken as forgotten
  double mRequestMs = 6;            ///< delay by a request that is under way; a step of an engine
  double mPlainCallFactor = 4;      ///< a plain call takes this many times as long as a step
  double mFailurePenaltyMs = 3000;  ///< weight of a server that fails every time
  double mToleratedFailures = 0.2;  ///< share of failures that says nothing about a server
  double mUnreachedPenaltyMs = 500; ///< for a data centre where the request has reached no server
  double mOtherDataCentreMs = 1;    ///< way to another data centre and back
};

/// Why no server was chosen.
enum class no_choice
{
  None,      ///< there was one
  NoServers, ///< none of the service may be used
  AllTried,  ///< this request has tried them all
  ColdOnly,  ///< those left are cold and take no more now
};

struct choice
{
  backends::server_pointer mServer; ///< null: none, see `mReason`
  no_choice mReason = no_choice::None;
  std::size_t mCandidateCount = 0;
  double mCostMs = 0;
  std::int64_t mPrefillTokens = 0; ///< of the prompt, that the server is thought not to hold
};

/// Picks the server with the least expected delay: the part of the prompt that it has not read,
/// what it has to do for others, and how it fared lately. Servers that are suspect or cold are used
/// when there is no other.
///
/// The first server by rendezvous hashing of the model and the last shared part is taken to hold
/// the shared parts: every instance sends them there, so no message is needed to know it. While the
/// wait there is long, the next one is taken to hold them too.
choice Choose(const backends::fleet& aFleet, const demand& aDemand, const prefix_caches& aCaches,
              const choice_options& aOptions, std::mt19937_64& aRandom, time_point aNow);

/// Notes that the server reads the prompt now.
void RecordPrefill(prefix_caches& aCaches, const server_id& aServer, const demand& aDemand,
                   const choice_options& aOptions, time_point aNow);

} // namespace tamarackweir::placement
