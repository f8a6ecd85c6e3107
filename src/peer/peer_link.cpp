#include "peer/peer_link.h"

#include "base/error.h"

#include <zmq.hpp>

namespace tamarackweir::peer {

namespace {

/// Messages queued per peer; a round of gossip and the bill copies of 100 ms fit.
constexpr int kHighWaterMark = 1000;
/// How often a receiver looks whether it is to stop.
constexpr int kReceiveTimeoutMs = 100;
/// Sockets to peers that are gone are closed when there are more than this; the design size is 370
/// instances.
constexpr std::size_t kMaxSockets = 1024;

} // namespace

struct peer_sender::sockets
{
  zmq::context_t mContext{ 1 };
  std::map<std::string, zmq::socket_t> mByAddress;
};

peer_sender::peer_sender()
  : mSockets(std::make_unique<sockets>())
{
}

peer_sender::~peer_sender() = default;

void peer_sender::Send(const std::string& aAddress, const std::string& aBytes)
{
  auto& byAddress = mSockets->mByAddress;
  if (byAddress.size() > kMaxSockets) {
    byAddress.clear();
  }
  auto found = byAddress.find(aAddress);
  if (found == byAddress.end()) {
    zmq::socket_t socket(mSockets->mContext, zmq::socket_type::push);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::sndhwm, kHighWaterMark);
    socket.set(zmq::sockopt::reconnect_ivl, 100);
    socket.set(zmq::sockopt::reconnect_ivl_max, 5000);
    socket.connect("tcp://" + aAddress);
    found = byAddress.emplace(aAddress, std::move(socket)).first;
  }
  found->second.send(zmq::buffer(aBytes), zmq::send_flags::dontwait);
}

struct peer_receiver::socket
{
  zmq::context_t mContext{ 1 };
  zmq::socket_t mPull{ mContext, zmq::socket_type::pull };
};

peer_receiver::peer_receiver(const platform::endpoint& aAddress,
                             std::function<void(const std::string& aBytes)> aOnMessage)
  : mSocket(std::make_unique<socket>())
{
  mSocket->mPull.set(zmq::sockopt::linger, 0);
  mSocket->mPull.set(zmq::sockopt::rcvtimeo, kReceiveTimeoutMs);
  mSocket->mPull.set(zmq::sockopt::rcvhwm, kHighWaterMark);
  try {
    mSocket->mPull.bind("tcp://" + platform::ToString(aAddress));
  } catch (const zmq::error_t& failure) {
    throw error(error_kind::Unavailable,
                "the peer address " + platform::ToString(aAddress) + " can't be bound (" +
                  failure.what() + ")",
                "stop the process that uses it, or change 'peers' in the instance settings");
  }
  mThread = std::thread([this, onMessage = std::move(aOnMessage)] {
    while (!mStopping) {
      zmq::message_t message;
      if (mSocket->mPull.recv(message)) {
        onMessage(message.to_string());
      }
    }
  });
}

peer_receiver::~peer_receiver()
{
  mStopping = true;
  mThread.join();
}

} // namespace tamarackweir::peer
