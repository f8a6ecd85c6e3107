#pragma once

#include "entry/runtime.h"

#include <memory>
#include <thread>

namespace httplib {
class Server;
}

namespace tamarackweir::entry {

/// Serves health, metrics and the operator API on a port apart from the callers'.
class operator_server
{
public:
  /// Binds the operators' address and serves in threads of its own. Throws `error` of kind
  /// `Unavailable` if the address is in use.
  explicit operator_server(const runtime& aRuntime);
  ~operator_server();
  operator_server(const operator_server&) = delete;
  operator_server& operator=(const operator_server&) = delete;

private:
  std::unique_ptr<httplib::Server> mServer;
  std::thread mThread;
};

} // namespace tamarackweir::entry
