#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarackweir::backends {

/// Requests that a server runs at the same time; at least 1.
using place_count = strong_type<struct place_count_tag, int>;

/// A backend server's announcement of itself.
struct announcement
{
  server_id mId;
  service_id mService;
  boost::asio::ip::tcp::endpoint mAddress;
  data_centre_id mDataCentre;
  version_id mVersion; ///< of its software
  bool mIsLeaving = false;
  duration mColdRemaining = 0s;       ///< as of the announcement
  std::int64_t mStartId = 0;          ///< changes on each start; 0: not given
  std::optional<place_count> mPlaces; ///< absent: not given
};

/// A value that decays exponentially to zero.
struct decaying_value
{
  double mValue = 0;
  time_point mAt{};
};

/// The value at `aNow`, halved every `aHalfLife`.
double ValueAt(const decaying_value& aDecaying, duration aHalfLife, time_point aNow);
/// Decays the value to `aNow`, then adds to it.
void Add(decaying_value& aDecaying, double aAmount, duration aHalfLife, time_point aNow);

/// How an attempt at a backend server ended, as it counts for the server's health.
enum class attempt_end
{
  Succeeded,   ///< a complete answer that is no server error
  Failed,      ///< a complete answer that reports a server error
  Broken,      ///< the connection closed early, or the answer was malformed
  TimedOut,    ///< no answer within the timeout
  Unreachable, ///< the connect failed
  Refused,     ///< the server rejected the request before running it
  WrongServer, ///< another server now uses the address
};

/// An attempt that has not received its first event or answer yet.
struct pending_answer
{
  time_point mSent{};
  duration mExpected{}; ///< estimated latency of such an answer
};

/// Load of other instances at a server, as last reported.
struct remote_load
{
  double mPrefillMs = 0;
  int mRequests = 0;
  time_point mExpiresAt{}; ///< then the report is ignored
};

/// What all instances together have lately seen of a server.
struct pooled_view
{
  bool mIsUnreachable = false; ///< enough instances failed to connect, and none succeeded since
  time_point mFullAt{};        ///< when it last rejected a request as full, at any instance
  double mSlowdown = 1;        ///< time to a first event against the expected time; 1: unknown
  time_point mFailedAt{};      ///< the last failed connect of any instance
  time_point mLostAt{};        ///< the failed connect that made it unreachable
  time_point mExpiresAt{};     ///< then the view says nothing
};

/// What this instance has lately seen of a server. A default time means never.
struct own_view
{
  time_point mConnectFailedAt{};
  time_point mConnectedAt{};
  time_point mFullAt{};
  /// Time to a first event against the expected time: logarithms of the ratios, and their number.
  decaying_value mSlowdownSum;
  decaying_value mSlowdownCount;
  time_point mRefusedAt{};      ///< its machine refused a connection: no process listens
  time_point mReplacedAt{};     ///< another start of it, or another server, has its address
  time_point mAnsweredSentAt{}; ///< when the latest request was sent that it has answered
  bool mIsProbing = false;      ///< a connect without a request is under way
  time_point mProbedAt{};       ///< when the last one ended
  int mFailedProbes = 0;        ///< consecutive ones
};

/// A backend server as this instance sees it.
struct backend_server
{
  announcement mAnnounced;
  time_point mFirstSeen{};
  time_point mColdUntil{};
  std::optional<time_point> mMissingSince; ///< lapsed while the list was unavailable
  bool mIsGone = false;                    ///< removed; kept for the requests that use it
  bool mSaysItLeaves = false; ///< an answer announced a shutdown; only a restart clears it
  time_point mClosedUntil{};  ///< until then it wants no request from this instance

  int mInFlight = 0; ///< requests of this instance in flight
  /// Expected time to prefill the prompts of this instance's requests without a first event.
  double mPrefillMs = 0;
  remote_load mRemoteLoad;
  pooled_view mPooled;
  own_view mSeen;
  std::vector<const pending_answer*> mPending; ///< owned by the attempts
  time_point mSuspectUntil{};                  ///< until then chosen only without alternatives
  int mSuspicions = 0;                         ///< consecutive ones
  decaying_value mFailures;
  decaying_value mSuccesses;
  decaying_value mDelay;  ///< ms beyond the expected latency
  time_point mLastByte{}; ///< last data received by this instance
  double mColdTokens = 0; ///< token bucket for this instance's requests while it is cold
  time_point mColdRefilledAt{};
};

using server_pointer = std::shared_ptr<backend_server>;

/// The start of a server that announced its shutdown in an answer.
struct leaving_start
{
  std::int64_t mStartId = 0;
  time_point mToldAt{};
};

/// The backend servers that this instance knows.
struct fleet
{
  /// Servers that announced their shutdown. Kept after a server is unlisted, because its entry may
  /// return while the same process still runs.
  std::map<server_id, leaving_start> mLeaving;
  std::map<server_id, server_pointer> mServers;
  std::unordered_map<service_id, std::vector<server_pointer>> mByService; ///< sorted by id
  /// The server that was last announced with an address.
  std::map<boost::asio::ip::tcp::endpoint, std::weak_ptr<backend_server>> mByAddress;
  /// When each version of a service was first seen.
  std::map<std::pair<service_id, version_id>, time_point> mVersions;
};

/// Adds or updates a server. One that restarted or changed its address, service or version starts
/// with an empty health record.
void Announce(fleet& aFleet, const announcement& aAnnouncement, time_point aNow);

/// Removes a server. With `aKeep` it stays usable for now, marked as missing.
void Withdraw(fleet& aFleet, const server_id& aId, bool aKeep, time_point aNow);

/// Removes servers that have been missing since before `aBefore`. Returns their ids.
std::vector<server_id> DropMissing(fleet& aFleet, time_point aBefore);

/// The servers of a service; empty if there are none.
const std::vector<server_pointer>& ServersOf(const fleet& aFleet, const service_id& aService);

bool IsCold(const backend_server& aServer, time_point aNow);

/// Records that an answer of the server announced its shutdown. The server is not chosen again
/// until it has restarted, regardless of its list entry. Returns whether the announcement is the
/// first.
bool RecordLeaving(fleet& aFleet, backend_server& aServer, time_point aNow);

/// Records that the server wants no request from this instance for `aWait`, from `aNow` on. A
/// shorter wait does not end a longer one.
void RecordClosed(backend_server& aServer, duration aWait, time_point aNow);

/// When the process of the server was seen to have ended; default: it was not.
time_point EndedAt(const backend_server& aServer);

/// Whether neither the list nor an answer of the server rules out new requests to it.
bool TakesRequests(const backend_server& aServer, time_point aNow);

/// Records the result of an attempt in the server's health.
/// \param aDelay time of the answer or first event beyond the expected latency; 0 if unknown
void RecordEnd(backend_server& aServer, attempt_end aEnd, duration aDelay, time_point aNow);

/// How late the server answers: the smoothed delay of recent answers, or that of the most overdue
/// pending answer if it is larger. Zero for a server that answers within the expected latency.
duration DelayOf(const backend_server& aServer, time_point aNow);

/// Requests in flight at the server, over all instances as far as known.
int RequestsAt(const backend_server& aServer, time_point aNow);

/// Expected time in ms to prefill the prompts that wait at the server, of all instances as far as
/// known.
double PrefillMsAt(const backend_server& aServer, time_point aNow);

/// Share of recent attempts that failed, from 0 to 1.
double FailureShare(const backend_server& aServer, time_point aNow);

/// Inputs for dividing a cold server's request rate among the instances.
struct cold_share
{
  std::string mSelf;                   ///< this instance
  std::vector<std::string> mInstances; ///< all instances, this one included
  double mRate = 0; ///< requests/s that a cold server can handle in total; 0: no limit
};

/// Whether this instance may send a request to a cold server now; if so, counts the request.
///
/// The rate is divided among at most `kColdSenders` instances that rendezvous hashing picks for the
/// server, so the total stays within it without messages, however many instances there are. An
/// instance that knows no others counts itself as one of the senders and gets the same share.
bool AcquireColdSlot(backend_server& aServer, const cold_share& aShare, time_point aNow);

/// For how long it is remembered that a server leaves; the platform ends it long before.
inline constexpr duration kLeavingMemory = std::chrono::minutes(10);
inline constexpr duration kDelayHalfLife = 1500ms; ///< half-life of `backend_server::mDelay`
inline constexpr std::size_t kColdSenders = 2;     ///< one may be down without starving the server

} // namespace tamarackweir::backends
