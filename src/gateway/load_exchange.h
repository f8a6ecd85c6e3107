#pragma once

#include "gateway/state.h"
#include "net/loop.h"
#include "placement/load_board.h"

#include <boost/asio/ip/udp.hpp>
#include <map>
#include <string>

namespace tamarackweir::gateway {

using datagram_endpoint = net::asio::ip::udp::endpoint;

/// Tells other instances by datagrams what this one has under way at each backend server, and
/// enters what they have under way into the fleet. Lost datagrams make what is known older, no
/// more.
///
/// Up to `kAllTellAll` instances each tells all others. Above it a few instances take the reports
/// and answer with the totals, so that the cost of the others does not grow with the fleet.
class load_exchange
{
public:
  load_exchange(net::asio::io_context& aLoop, gateway_state& aState);

  /// Binds the address and starts. Throws `boost::system::system_error`.
  void Start(const net::tcp::endpoint& aAddress);

  /// The address that is bound; valid after `Start`.
  datagram_endpoint Address() const { return mSocket.local_endpoint(); }

  /// Where the other instances take datagrams.
  void SetPeers(std::map<std::string, datagram_endpoint> aPeers) { mPeers = std::move(aPeers); }

  static constexpr std::size_t kMaxFullMesh = 16;
  static constexpr std::size_t kAggregators = 4; ///< one a data centre may be lost, and another

private:
  net::task<> SendReports();
  net::task<> ReceiveDatagrams();
  void HandleDatagram(std::string_view aBytes, const datagram_endpoint& aSender);
  void Send(const placement::load_message& aMessage, const datagram_endpoint& aTo);

  net::asio::io_context& mLoop;
  gateway_state& mState;
  net::asio::ip::udp::socket mSocket;
  std::map<std::string, datagram_endpoint> mPeers;
  placement::load_board mBoard;
  std::size_t mRounds = 0;
};

} // namespace tamarackweir::gateway
