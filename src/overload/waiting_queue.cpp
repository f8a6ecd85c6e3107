#include "overload/waiting_queue.h"

#include <algorithm>
#include <tuple>

namespace tamarackweir::overload {

namespace {

constexpr std::size_t kMostServed = 1024; ///< parties of a kind that are remembered

constexpr auto kAccount = static_cast<std::size_t>(waiting_party::Account);

bool GoesBefore(const waiting_request& aLeft, const waiting_request& aRight)
{
  return std::tie(aLeft.mUrgency, aLeft.mDeadline, aLeft.mId) <
         std::tie(aRight.mUrgency, aRight.mDeadline, aRight.mId);
}

/// A waiting request, with the numbers of the last requests that its parties had let go.
struct ranked_request
{
  const waiting_request* mRequest = nullptr;
  std::array<std::uint64_t, kWaitingParties> mServed{};
};

std::vector<ranked_request> Ranked(const waiting_queue& aQueue)
{
  std::vector<ranked_request> result;
  result.reserve(aQueue.mRequests.size());
  for (const waiting_request& request : aQueue.mRequests) {
    ranked_request ranked{ .mRequest = &request };
    for (std::size_t i = 0; i < kWaitingParties; ++i) {
      const auto served = aQueue.mServed[i].find(request.mParties[i]);
      ranked.mServed[i] = served == aQueue.mServed[i].end() ? request.mLetGoBefore : served->second;
    }
    result.push_back(ranked);
  }
  return result;
}

/// The one of a non-empty list that goes next, after `aLetGo` others.
std::vector<ranked_request>::iterator NextIn(std::vector<ranked_request>& aRequests,
                                             std::uint64_t aLetGo)
{
  const bool isTurn = aLetGo % kTurnEvery == kTurnEvery - 1;
  const std::size_t party = aLetGo / kTurnEvery % kWaitingParties;
  return std::min_element(
    aRequests.begin(), aRequests.end(),
    [isTurn, party](const ranked_request& aLeft, const ranked_request& aRight) {
      if (isTurn && aLeft.mServed[party] != aRight.mServed[party]) {
        return aLeft.mServed[party] < aRight.mServed[party];
      }
      return GoesBefore(*aLeft.mRequest, *aRight.mRequest);
    });
}

/// Removes a request from the list and counts it as the number `aLetGo`.
void Serve(std::vector<ranked_request>& aRequests, std::vector<ranked_request>::iterator aNext,
           std::uint64_t aLetGo)
{
  const auto parties = aNext->mRequest->mParties;
  aRequests.erase(aNext);
  for (ranked_request& other : aRequests) {
    for (std::size_t i = 0; i < kWaitingParties; ++i) {
      if (other.mRequest->mParties[i] == parties[i]) {
        other.mServed[i] = aLetGo;
      }
    }
  }
}

/// Forgets the half of the parties that was served longest ago.
void Shorten(std::unordered_map<std::uint64_t, std::uint64_t>& aServed)
{
  std::vector<std::uint64_t> numbers;
  numbers.reserve(aServed.size());
  for (const auto& [party, number] : aServed) {
    numbers.push_back(number);
  }
  const auto middle = numbers.begin() + static_cast<std::ptrdiff_t>(numbers.size() / 2);
  std::nth_element(numbers.begin(), middle, numbers.end());
  std::erase_if(aServed, [median = *middle](const auto& aEntry) { return aEntry.second < median; });
}

/// The request that gives way: the last in order of the account with the most requests. Of two such
/// accounts, the one that came later gives way.
waiting_request LeastDue(const std::vector<waiting_request>& aRequests)
{
  std::unordered_map<std::uint64_t, std::size_t> counts;
  std::size_t most = 0;
  std::uint64_t account = 0;
  for (const waiting_request& request : aRequests) {
    const std::size_t count = ++counts[request.mParties[kAccount]];
    if (count >= most) {
      most = count;
      account = request.mParties[kAccount];
    }
  }
  const waiting_request* last = nullptr;
  for (const waiting_request& request : aRequests) {
    if (request.mParties[kAccount] == account && (last == nullptr || GoesBefore(*last, request))) {
      last = &request;
    }
  }
  return *last;
}

} // namespace

std::optional<refused_request> Insert(waiting_queue& aQueue, const waiting_request& aRequest)
{
  std::optional<refused_request> refused;
  if (aQueue.mRequests.size() >= aQueue.mMaxRequests ||
      aQueue.mBytes + aRequest.mBytes > aQueue.mMaxBytes) {
    std::vector<waiting_request> all = aQueue.mRequests;
    all.push_back(aRequest);
    const waiting_request least = LeastDue(all);
    refused = refused_request{ .mId = least.mId };
    if (least.mId == aRequest.mId ||
        aQueue.mBytes - least.mBytes + aRequest.mBytes > aQueue.mMaxBytes) {
      return refused_request{ .mId = aRequest.mId };
    }
    Remove(aQueue, least.mId);
  }
  aQueue.mRequests.push_back(aRequest);
  aQueue.mRequests.back().mLetGoBefore = aQueue.mLetGo;
  aQueue.mBytes += aRequest.mBytes;
  return refused;
}

bool Remove(waiting_queue& aQueue, waiting_id aId)
{
  const auto found =
    std::find_if(aQueue.mRequests.begin(), aQueue.mRequests.end(),
                 [aId](const waiting_request& aRequest) { return aRequest.mId == aId; });
  if (found == aQueue.mRequests.end()) {
    return false;
  }
  aQueue.mBytes -= found->mBytes;
  aQueue.mRequests.erase(found);
  return true;
}

std::optional<waiting_id> NextOf(const waiting_queue& aQueue)
{
  if (aQueue.mRequests.empty()) {
    return std::nullopt;
  }
  std::vector<ranked_request> ranked = Ranked(aQueue);
  return NextIn(ranked, aQueue.mLetGo)->mRequest->mId;
}

std::optional<waiting_id> TakeNext(waiting_queue& aQueue)
{
  const auto next = NextOf(aQueue);
  if (!next) {
    return next;
  }
  const auto request =
    std::find_if(aQueue.mRequests.begin(), aQueue.mRequests.end(),
                 [&next](const waiting_request& aRequest) { return aRequest.mId == *next; });
  ++aQueue.mLetGo;
  for (std::size_t i = 0; i < kWaitingParties; ++i) {
    aQueue.mServed[i][request->mParties[i]] = aQueue.mLetGo;
    if (aQueue.mServed[i].size() > kMostServed) {
      Shorten(aQueue.mServed[i]);
    }
  }
  Remove(aQueue, *next);
  return next;
}

std::vector<waiting_id> RemoveLate(waiting_queue& aQueue, time_point aNow)
{
  std::vector<waiting_id> late;
  for (const waiting_request& request : aQueue.mRequests) {
    if (request.mLatest < aNow) {
      late.push_back(request.mId);
    }
  }
  for (const waiting_id id : late) {
    Remove(aQueue, id);
  }
  return late;
}

std::vector<waiting_id> RemoveHopeless(waiting_queue& aQueue, time_point aFirst, duration aGap)
{
  std::vector<waiting_id> hopeless;
  std::vector<ranked_request> ranked = Ranked(aQueue);
  std::uint64_t letGo = aQueue.mLetGo;
  time_point at = aFirst;
  while (!ranked.empty()) {
    const auto next = NextIn(ranked, letGo);
    if (at > next->mRequest->mLatest) {
      hopeless.push_back(next->mRequest->mId);
      ranked.erase(next);
      continue;
    }
    Serve(ranked, next, ++letGo);
    at += aGap;
  }
  for (const waiting_id id : hopeless) {
    Remove(aQueue, id);
  }
  return hopeless;
}

} // namespace tamarackweir::overload
