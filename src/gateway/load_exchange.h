#pragma once

#include "gateway/state.h"
#include "net/loop.h"
#include "placement/load_board.h"

#include <boost/asio/ip/udp.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarackweir::gateway {

using datagram_endpoint = net::asio::ip::udp::endpoint;

/// Reports this instance's load at each backend server to other instances by UDP, and records their
/// load in the fleet. A lost datagram only makes the known load older. Crash records and
/// quarantined prompt parts are sent on the same socket and schedule.
///
/// Up to `kMaxFullMesh` instances, each one reports to all others. Above that, a few aggregators
/// receive the reports and reply with the totals, so that the cost of the other instances does not
/// grow with the deployment.
class load_exchange
{
public:
  load_exchange(net::asio::io_context& aLoop, gateway_state& aState);

  /// Binds the address and starts the exchange; later if the address is taken. Throws
  /// `boost::system::system_error` if it can't be bound at all.
  void Start(const net::tcp::endpoint& aAddress);

  /// The address that is bound, or will be; valid after `Start`.
  datagram_endpoint Address() const
  {
    return mSocket.is_open() ? mSocket.local_endpoint() : mAddress;
  }

  /// Sets the addresses of the other instances.
  void SetPeers(std::map<std::string, datagram_endpoint> aPeers) { mPeers = std::move(aPeers); }

  static constexpr std::size_t kMaxFullMesh = 16;
  static constexpr std::size_t kAggregators = 4; ///< a data centre with one and one more may fail

private:
  net::error_code Bind();
  net::task<> BindAndRun();
  net::task<> SendReports();
  net::task<> ReceiveDatagrams();
  void OnTotals(const placement::load_report& aLoads, const backends::observations& aSeen,
                time_point aNow);
  const backends::observations& PooledObservations(time_point aNow);
  void HandleDatagram(std::string_view aBytes, const datagram_endpoint& aSender);
  /// Handles estimates of engine speeds by another instance.
  void HandleSpeeds(std::string_view aBytes, const datagram_endpoint& aSender);
  void Send(const std::string& aBytes, const datagram_endpoint& aTo);
  /// Tells other instances at once what is known of crashes.
  void ShareCrashNews(crash_news aNews);
  net::task<> SendEvidence();
  /// Those who decide by the reports of all instances.
  std::vector<std::string> Receivers() const;
  /// Sends what is known of crashes, if anything is.
  void SendCrashes(const std::vector<std::string>& aDatagrams, const datagram_endpoint& aTo);
  /// The crash message as datagrams; none if it would be empty.
  std::vector<std::string> EncodedCrashes(bool aIsReminder) const;

  net::asio::io_context& mLoop;
  gateway_state& mState;
  net::asio::ip::udp::socket mSocket;
  datagram_endpoint mAddress;
  std::map<std::string, datagram_endpoint> mPeers;
  placement::load_board mBoard;
  backends::observations mPooled; ///< as of `mPooledAt`
  time_point mPooledAt{};
  std::size_t mRounds = 0;
  bool mWillSendEvidence = false;
};

} // namespace tamarackweir::gateway
