#pragma once

#include "net/bind_retry.h"
#include "net/caller_connection.h"
#include "net/loop.h"
#include "net/message_reader.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace tamarackweir::net {

/// Answers one request. If it throws before the answer has begun, the caller gets 500.
using request_handler =
  std::function<task<>(std::shared_ptr<caller_connection>, std::shared_ptr<inbound_request>)>;

/// Answers that the server gives by itself.
enum class protocol_refusal
{
  BadRequest,
  HeaderTooLarge,
  BodyTooLarge,
  Timeout,
  NoMemory,
};

/// Options of a server.
struct http_server_options
{
  tcp::endpoint mAddress;
  const caller_limits* mLimits = nullptr; ///< read at each request; outlives the server
  request_handler mHandler;
  /// An address that is taken, or not there yet, is bound once it can be, instead of a throw.
  bool mBindsLater = false;
  /// Told of each request that the server refused by itself; may be empty.
  std::function<void(protocol_refusal)> mOnRefusal;
  /// Bounds the memory for requests of all connections; null: it is not bounded.
  std::shared_ptr<byte_budget> mBudget;
};

/// An HTTP/1.1 server on the event loop: keep-alive, pipelining, bodies with a length or chunked.
class http_server
{
public:
  /// Binds the address. Throws `boost::system::system_error` if that fails, unless it is tried
  /// again.
  http_server(asio::io_context& aLoop, http_server_options aOptions);

  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  void Start();
  /// Accepts the connections that wait, and closes the listening socket.
  void StopAccepting();
  /// From now on each answer ends its connection; connections without a request stay open, since a
  /// request may be on its way.
  void Drain();
  /// Sends the end of the stream on connections without a request, so that their callers close
  /// them.
  void EndIdle();
  /// Closes all connections.
  void CloseAll();
  /// Closes the connection that has waited longest for a request, and returns whether there was
  /// one.
  bool CloseLongestIdle();

  /// Whether the address is bound, so that callers can connect.
  bool IsBound() const { return mAcceptor.is_open(); }
  /// The address that is bound, or will be.
  tcp::endpoint Address() const
  {
    return IsBound() ? mAcceptor.local_endpoint() : mOptions.mAddress;
  }
  std::size_t Connections() const { return mConnections.size(); }
  /// Connections with a request, or a part of one, that has no answer yet.
  std::size_t BusyConnections() const;
  const connection_counts& Counts() const { return *mCounts; }

private:
  error_code Bind();
  task<> Accept();
  void Take(tcp::socket aSocket);
  task<> Serve(std::shared_ptr<caller_connection> aConnection);
  task<> ServeAll(std::shared_ptr<caller_connection> aConnection);
  task<bool> ServeOne(std::shared_ptr<caller_connection> aConnection);
  /// Reads a request. Returns null if the connection ended, or the request was refused.
  task<std::shared_ptr<inbound_request>> ReadRequest(caller_connection& aConnection);
  /// Refuses a request that could not be read, unless its connection ended.
  task<> EndReading(caller_connection& aConnection, const error_code& aFailure, message_part aPart);
  task<> Refuse(caller_connection& aConnection, protocol_refusal aRefusal);

  tcp::acceptor mAcceptor;
  http_server_options mOptions;
  std::unordered_set<caller_connection*> mConnections;
  /// Shared with the connections, which may outlive the server.
  std::shared_ptr<connection_counts> mCounts = std::make_shared<connection_counts>();
  bool mDraining = false;
  bool mIsClosed = false; ///< accepts no connection any more
};

} // namespace tamarackweir::net
