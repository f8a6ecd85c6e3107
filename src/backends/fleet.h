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

/// A backend server as it announces itself.
struct announcement
{
  server_id mId;
  service_id mService;
  boost::asio::ip::tcp::endpoint mAddress;
  data_centre_id mDataCentre;
  version_id mVersion; ///< of its software
  bool mIsLeaving = false;
  duration mColdRemaining = 0s; ///< when the announcement was made
  std::int64_t mStartId = 0;    ///< identity of its start; 0: not given
};

/// A value that fades to zero.
struct decaying_value
{
  double mValue = 0;
  time_point mAt{};
};

/// Value at `aNow`, halved every `aHalfLife`.
double ValueAt(const decaying_value& aDecaying, duration aHalfLife, time_point aNow);
/// Adds to the value.
void Add(decaying_value& aDecaying, double aAmount, duration aHalfLife, time_point aNow);

/// How an attempt at a backend server ended, as far as its health is concerned.
enum class attempt_end
{
  Succeeded,   ///< a whole answer that is not a failure of its own
  Failed,      ///< a whole answer that says that the server failed
  Broken,      ///< the connection ended early, or the bytes were no answer
  TimedOut,    ///< no answer within the limit
  Unreachable, ///< no connection
  Refused,     ///< refused before it ran
  WrongServer, ///< another server has the address
};

/// An attempt whose first event, or answer, is not there yet.
struct pending_answer
{
  time_point mSent{};
  duration mExpected{}; ///< time that such an answer usually takes
};

/// What other instances have under way at a server, as they last told.
struct remote_load
{
  double mPrefillTokens = 0;
  int mRequests = 0;
  time_point mExpiresAt{}; ///< it counts no longer afterwards
};

/// A backend server as this instance sees it.
struct backend_server
{
  announcement mAnnounced;
  time_point mFirstSeen{};
  time_point mColdUntil{};
  std::optional<time_point> mMissingSince; ///< its announcement lapsed while the list was away
  bool mIsGone = false;                    ///< off the list; kept for the requests that use it

  int mInFlight = 0; ///< requests of this instance
  double mPrefillTokens =
    0; ///< prompt tokens of this instance's requests that have no first event yet
  remote_load mRemoteLoad;
  std::vector<const pending_answer*> mPending; ///< owned by the attempts
  time_point mSuspectUntil{};                  ///< not chosen before, if there is another
  int mSuspicions = 0;                         ///< in a row
  decaying_value mFailures;
  decaying_value mSuccesses;
  decaying_value mDelay;  ///< ms beyond what such answers usually take
  time_point mLastByte{}; ///< of any answer to this instance
  double mColdTokens = 0; ///< requests that this instance may send now while it is cold
  time_point mColdRefilledAt{};
};

using server_pointer = std::shared_ptr<backend_server>;

/// The backend servers that this instance knows.
struct fleet
{
  std::map<server_id, server_pointer> mServers;
  std::unordered_map<service_id, std::vector<server_pointer>> mByService; ///< in the order of ids
  /// Versions seen of a service, with the moment of the first sight.
  std::map<std::pair<service_id, version_id>, time_point> mVersions;
};

/// Enters or updates a server. One that was born anew, or has moved, starts without a record.
void Announce(fleet& aFleet, const announcement& aAnnouncement, time_point aNow);

/// Takes a server off the list. With `aKeep` it stays usable for now, marked as missing.
void Withdraw(fleet& aFleet, const server_id& aId, bool aKeep, time_point aNow);

/// Takes servers off the list that are missing since before `aBefore`. Returns their ids.
std::vector<server_id> DropMissing(fleet& aFleet, time_point aBefore);

/// The servers of a service; empty if there are none.
const std::vector<server_pointer>& ServersOf(const fleet& aFleet, const service_id& aService);

bool IsCold(const backend_server& aServer, time_point aNow);

/// Records the end of an attempt.
/// \param aDelay by how much the answer, or its first event, came later than usual; 0 if unknown
void RecordEnd(backend_server& aServer, attempt_end aEnd, duration aDelay, time_point aNow);

/// By how much the server is behind: how late its answers were lately, or how late one already is
/// that is still awaited. Zero for a server that keeps its usual times.
duration DelayOf(const backend_server& aServer, time_point aNow);

/// Requests under way at the server, of all instances as far as known.
int RequestsAt(const backend_server& aServer, time_point aNow);

/// Prompt tokens that the server has to read, for all instances as far as known.
double PrefillTokensAt(const backend_server& aServer, time_point aNow);

/// Share of recent attempts that failed, from 0 to 1.
double FailureShare(const backend_server& aServer, time_point aNow);

/// Which instances may send to a cold server, and how much.
struct cold_share
{
  std::string mSelf;                   ///< this instance
  std::vector<std::string> mInstances; ///< all instances, this one included
  double mRate = 0;                    ///< requests/s that a cold server bears in all
};

/// Whether this instance may send a request to a cold server now; if so, it is counted.
///
/// The rate is divided among at most `kColdSenders` instances that rendezvous hashing picks for the
/// server, so the sum stays within it however many instances there are, and without a message. An
/// instance that knows no other takes itself for one of the senders: its part is the same.
bool AcquireColdSlot(backend_server& aServer, const cold_share& aShare, time_point aNow);

inline constexpr duration kDelayHalfLife = 1500ms; ///< half-life of `backend_server::mDelay`
inline constexpr std::size_t kColdSenders = 2;     ///< one may be down without starving the server

} // namespace tamarackweir::backends
