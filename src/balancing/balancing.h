#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarackweir::balancing {

/// Load balancing policy within a data centre. All but the first are baselines for comparison.
enum class policy : std::uint8_t
{
  PowerOfTwo,    ///< the less loaded of two randomly drawn servers
  LeastReported, ///< the lowest reported load, ignoring this instance's dispatches
  Random,
  RoundRobin,
};

/// Tuning parameters; section 11 of the design page gives the reasons for the defaults.
struct options
{
  policy mPolicy = policy::PowerOfTwo;
  bool mCountOwnDispatches = true; ///< add dispatches of this instance since the report
  double mAffinityBound =
    1.25;                     ///< skip a prefix holder whose load exceeds this multiple of the mean
  double mSpillMargin = 0.25; ///< difference in load per capacity
  duration mRampDuration = 30s;         ///< for a data centre or server that returns to service
  int mFailuresToEject = 3;             ///< consecutive failures
  duration mFirstEjectionDuration = 5s; ///< doubles with each ejection
  duration mMaxEjectionDuration = 60s;
  duration mUnlistedRetention = 10min;    ///< how long an unlisted server's state is kept
  duration mPoolStatsMaxAge = 20ms;       ///< pool statistics older than this are recomputed
  std::size_t mMaxPrefixesPerServer = 64; ///< the oldest are evicted first
};

/// A backend server in the instance list.
struct listed_server
{
  server_id mId;
  data_centre_id mDataCentre;
  bool mLeaving = false; ///< result of `membership::IsLeaving`
};

/// A data centre as configured in the settings.
struct data_centre
{
  data_centre_id mId;
  std::string mRegion;
  bool mInService = true;
};

/// The fields of a backend server's `GET /load` that load balancing uses.
struct load_report
{
  server_id mServer;
  start_epoch mEpoch;
  std::uint64_t mSequence = 0;
  std::int64_t mRunning = 0;
  std::int64_t mWaiting = 0;
  std::int64_t mCapacity = 1; ///< maximum concurrent requests
  std::vector<model_version> mVersions;
  time_point mMeasuredAt{}; ///< on this instance's clock; the report may arrive much later
};

/// Prefixes added to and removed from a server's cache. A sequence number that does not follow the
/// last one indicates lost events.
struct cache_event
{
  server_id mServer;
  start_epoch mEpoch;
  std::uint64_t mSequence = 0;
  std::vector<std::uint64_t> mAdded;
  std::vector<std::uint64_t> mRemoved;
};

/// State of one backend server. Server indices refer to `state::mServers`.
struct server
{
  server_id mId;
  data_centre_id mDataCentre;
  bool mListed = false;
  time_point mUnlistedAt{};
  bool mListedLeaving = false;
  start_epoch mEpoch;
  std::vector<start_epoch> mLeavingEpochs; ///< epochs that get no new requests
  bool mReported = false;
  bool mCold = true;
  bool mColdStartSeen = false; ///< reported cold since its last ramp; a ramp starts when warm
  std::uint64_t mSequence = 0;
  std::int64_t mReportedLoad = 0; ///< running and waiting requests in the last report
  std::int64_t mCapacity = 1;
  std::vector<model_version> mVersions;
  time_point mMeasuredAt{};
  std::deque<time_point> mUnreportedDispatches; ///< dispatches since the report, still running
  std::deque<time_point> mUnreportedEnds; ///< ends since the report of requests included in it
  std::optional<time_point> mRampStart;
  int mConsecutiveFailures = 0;
  int mConsecutiveEjections = 0;
  time_point mEjectedUntil{};
  std::uint64_t mCacheSequence = 0;
  start_epoch mCacheEpoch;
  std::deque<std::uint64_t> mPrefixes;
};

/// The servers of one data centre that can serve one model version.
struct pool
{
  std::vector<std::uint32_t> mServers;
  std::size_t mRoundRobinNext = 0; ///< next position for round robin
  time_point mStatsComputedAt{};
  bool mStatsComputed = false;
  double mMeanLoad = 0;
  double mLoadPerCapacity = 0;
  std::size_t mWarmCount = 0; ///< servers usable without a credit
  std::size_t mColdCount = 0; ///< servers usable with a credit only
};

/// A data centre, and the start of its ramp if it returned to service.
struct data_centre_state
{
  data_centre mSettings;
  std::optional<time_point> mRampStart;
};

/// The load balancing state of an instance.
struct state
{
  options mOptions;
  data_centre_id mLocalDataCentre;
  std::vector<server> mServers;
  std::unordered_map<server_id, std::uint32_t> mServerIndices;
  std::map<data_centre_id, data_centre_state> mDataCentres;
  std::map<model_version, std::map<data_centre_id, pool>> mPools;
  bool mPoolsStale = true; ///< rebuild before the next choice
  std::unordered_map<std::uint64_t, std::vector<std::uint32_t>> mPrefixHolders;
};

/// The request to choose a server for.
struct request
{
  model_version mVersion;
  std::vector<std::uint64_t> mPrefixes; ///< hashes of prompt prefixes, longest first
  std::vector<server_id> mExclude;      ///< servers that were already tried
  bool mAllowCold = false;              ///< accept a server that needs a credit
};

/// Why a server was chosen.
enum class reason : std::uint8_t
{
  Load,       ///< selected by the policy
  Prefix,     ///< it has a prefix of the prompt in its cache
  LastResort, ///< all eligible servers are ejected
};

/// A chosen server.
struct choice
{
  server_id mServer;
  data_centre_id mDataCentre;
  bool mNeedsCredit = false; ///< cold server: request a credit from `capacity`
  reason mReason = reason::Load;
};

/// Creates a state without servers; `aLocal` is this instance's data centre.
state Start(const options& aOptions, const data_centre_id& aLocal);

/// Replaces the list of servers. Servers that are no longer listed get no new requests.
void OnServerList(state& aState, const std::vector<listed_server>& aServers, time_point aNow);

/// Applies the data centres of the settings revision in force. A data centre that returns to
/// service ramps up. Servers in a data centre that is not configured are not eligible.
void OnDataCentres(state& aState, const std::vector<data_centre>& aDataCentres, time_point aNow);

/// Applies a load report. Reports that are older than the last one are ignored.
void OnLoadReport(state& aState, const load_report& aReport, time_point aNow);

/// Excludes a server for the rest of `aEpoch` after gossip or the server reported that it leaves.
void OnServerLeaving(state& aState, const server_id& aServer, start_epoch aEpoch);

/// Sets whether `capacity` considers the server cold. A server that becomes warm ramps up.
void OnColdState(state& aState, const server_id& aServer, bool aCold, time_point aNow);

/// Applies a cache event. After a gap in the sequence numbers all known prefixes of the server are
/// dropped, because the lost events may contain removals.
void OnCacheEvent(state& aState, const cache_event& aEvent);

/// Chooses a server, or returns `std::nullopt` if none is eligible. Does not count the request:
/// call `OnDispatch` when it is sent.
std::optional<choice> Choose(state& aState, const request& aRequest, time_point aNow,
                             std::mt19937_64& aRandom);

/// Records that a request was sent to the server.
void OnDispatch(state& aState, const server_id& aServer, time_point aNow);

/// Records the end of the request sent at `aDispatchedAt`. `aFailed` means a broken connection or a
/// server error; a rejection due to overload is not a failure.
void OnRequestEnded(state& aState, const server_id& aServer, time_point aDispatchedAt, bool aFailed,
                    time_point aNow);

/// Returns whether the server, cold or warm, may get new requests for the version now. Checked
/// again at the time of dispatch.
bool IsEligible(const state& aState, const server_id& aServer, const model_version& aVersion,
                time_point aNow);

/// Returns the reported load, adjusted by this instance's dispatches and ended requests since.
std::int64_t EstimatedLoad(const state& aState, const server& aServer);

} // namespace tamarackweir::balancing
