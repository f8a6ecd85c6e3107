#pragma once

#include "platform/endpoint.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace tamarackweir::peer {

/// Sends messages to peers over ZeroMQ PUSH sockets. Not safe to use from several threads.
///
/// Messages are lost, not queued, while a peer is not connected: a replacement at the same address
/// must not get the backlog of its predecessor.
class peer_sender
{
public:
  peer_sender();
  ~peer_sender();

  /// Sends bytes to "IPv4:port", or drops them if the peer is not connected or its queue is full.
  void Send(const std::string& aAddress, const std::string& aBytes);

private:
  struct sockets;
  std::unique_ptr<sockets> mSockets;
};

/// Receives messages on a ZeroMQ PULL socket in a thread of its own.
class peer_receiver
{
public:
  /// Binds and starts to receive. Throws `error` of kind `Unavailable` if the address is in use.
  peer_receiver(const platform::endpoint& aAddress,
                std::function<void(const std::string& aBytes)> aOnMessage);
  /// Stops receiving.
  ~peer_receiver();
  peer_receiver(const peer_receiver&) = delete;
  peer_receiver& operator=(const peer_receiver&) = delete;

private:
  struct socket;
  std::unique_ptr<socket> mSocket;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace tamarackweir::peer
