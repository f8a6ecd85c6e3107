#pragma once

#include "base/clock.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarackweir::overload {

/// Number of a waiting request, unique in its queue.
using waiting_id = std::uint64_t;

/// What requests are kept from starving by.
enum class waiting_party
{
  Account,
  Route,
  Session,
};

inline constexpr std::size_t kWaitingParties = 3;

/// A request that waits in the instance until it may be sent to a server.
struct waiting_request
{
  waiting_id mId = 0;
  int mUrgency = 5;       ///< 0 is the most urgent
  time_point mDeadline{}; ///< of the caller; the earlier one has less time to spare
  time_point mLatest{};   ///< then it is too late to be sent
  std::array<std::uint64_t, kWaitingParties> mParties{}; ///< hashes, by `waiting_party`
  std::size_t mBytes = 0;
  std::uint64_t mLetGoBefore = 0; ///< set by `Insert`: requests let go before it came
};

/// Why a request does not wait, or waits no longer.
enum class wait_refusal
{
  Full, ///< as many requests or bytes as allowed wait already
  Late, ///< it can't be sent in its time
};

struct refused_request
{
  waiting_id mId = 0;
  wait_refusal mReason = wait_refusal::Full;
};

/// The requests of one service that wait in an instance.
struct waiting_queue
{
  std::size_t mMaxRequests = 128;
  std::size_t mMaxBytes = std::size_t{ 4 } << 20U;
  std::vector<waiting_request> mRequests; ///< in the order in which they came
  std::size_t mBytes = 0;
  std::uint64_t mLetGo = 0; ///< requests let go so far
  /// Number of the last request that was let go of each party, by `waiting_party`.
  std::array<std::unordered_map<std::uint64_t, std::uint64_t>, kWaitingParties> mServed;
};

/// Every so many requests, one of the party that was served longest ago goes instead of the first
/// in order; the parties' kinds alternate. So a party of K that wait all the time has one of its
/// requests let go in each `kTurnEvery` x `kWaitingParties` x K.
inline constexpr std::uint64_t kTurnEvery = 4;

/// Adds a request. If the queue is full, the last request in order of the account with the most
/// waiting requests is removed; that may be the new one. Returns the removed one.
std::optional<refused_request> Insert(waiting_queue& aQueue, const waiting_request& aRequest);

/// Removes a request; returns whether it waited.
bool Remove(waiting_queue& aQueue, waiting_id aId);

/// The request that is let go next: by urgency, then the one whose caller has the least time to
/// spare, but for the turns of `kTurnEvery`.
std::optional<waiting_id> NextOf(const waiting_queue& aQueue);

/// Removes the next request and counts it as served.
std::optional<waiting_id> TakeNext(waiting_queue& aQueue);

/// Removes the requests whose time has passed.
std::vector<waiting_id> RemoveLate(waiting_queue& aQueue, time_point aNow);

/// Removes the requests that can't be let go in their time: the next one goes at `aFirst`, and each
/// later one `aGap` after the one before.
std::vector<waiting_id> RemoveHopeless(waiting_queue& aQueue, time_point aFirst, duration aGap);

} // namespace tamarackweir::overload
