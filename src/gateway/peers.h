#pragma once

#include "gateway/state.h"
#include "net/http_server.h"
#include "replica/message.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarackweir::gateway {

/// Another instance.
struct peer
{
  instance_id mId; ///< empty if only the address is known, from the settings
  net::tcp::endpoint mAddress;
};

/// What became of a question to a peer that is followed.
enum class follow_result
{
  Confirmed, ///< the peer reaches the store, and its updates, if any, were applied
  StoreLost, ///< the peer does not reach the store
  Silent,    ///< no answer that can be used, or the peer's address is not known
};

/// Exchanges data with other instances: copies of the store's tables, for instances that can't
/// reach the store, and results of shifts.
class peer_exchange
{
public:
  /// \param aOnUpdate called with the table updates of a peer; returns whether they can be used
  peer_exchange(net::asio::io_context& aLoop, gateway_state& aState, replica::table_set& aTables,
                std::function<bool(const replica::news_answer&)> aOnUpdate);

  /// Binds the address for peers and starts to serve requests; later if the address is taken.
  /// Throws `boost::system::system_error` if it can't be bound at all.
  void Listen(const net::tcp::endpoint& aAddress);

  /// The address that is bound, or will be; valid after `Listen`.
  net::tcp::endpoint Address() const { return mServer->Address(); }

  /// Sets the peers to contact, without this instance.
  void SetPeers(std::vector<peer> aPeers) { mPeers = std::move(aPeers); }

  /// Requests updates of the named tables from `aCount` peers, chosen at random.
  net::task<> PullTables(std::vector<std::string> aNames, std::size_t aCount);

  /// Waits up to `aWait` for updates of the named tables from one peer (long polling), which reads
  /// the store itself while others follow it.
  net::task<follow_result> Follow(instance_id aPeer, std::vector<std::string> aNames,
                                  duration aWait);

  /// Wakes the waiting peers after a table has changed or the store was lost.
  void NotifyFollowers();

  /// Sends this instance's results of a shift to the shift's collectors.
  net::task<> PushResults(service_id aService);

private:
  net::task<> Answer(std::shared_ptr<net::caller_connection> aPeer,
                     std::shared_ptr<net::inbound_request> aRequest);
  net::task<std::string> AnswerTables(std::shared_ptr<net::inbound_request> aRequest);
  net::task<> WaitForNews(time_point aEnd);
  std::string AnswerResults(const net::inbound_request& aRequest);
  net::task<std::optional<replica::news_answer>> PullFrom(peer aPeer,
                                                          std::vector<std::string> aNames,
                                                          duration aWait);

  net::asio::io_context& mLoop;
  gateway_state& mState;
  replica::table_set& mTables;
  std::function<bool(const replica::news_answer&)> mOnUpdate;
  std::set<net::asio::steady_timer*> mFollowerTimers; ///< of peers that wait for updates
  net::caller_limits mLimits;
  std::unique_ptr<net::http_server> mServer;
  std::vector<peer> mPeers;
  std::string mStartId; ///< distinguishes this start of the instance from earlier ones
};

/// An instance that is followed confirms what it knows for this long after an answer of the store;
/// the time of two answers.
inline constexpr duration kConfirmedWithin = 2s;

/// Number of instances that collect the results of a shift. All others send only to them, so that
/// the cost per instance does not grow with the deployment; more than one, so that one may be down.
inline constexpr std::size_t kCollectors = 3;

/// The instances that collect the results of a service's shift: the first by rendezvous hashing,
/// without those that recently did not answer this instance.
std::vector<std::string> Collectors(const gateway_state& aState, const service_id& aService,
                                    time_point aNow);

} // namespace tamarackweir::gateway
