#pragma once

#include "entry/refusal_log.h"
#include "entry/runtime.h"

#include <memory>
#include <thread>

namespace tamarackweir::entry {

class bounded_server;

/// Serves callers: chat completions, the model list and service calls.
class caller_server
{
public:
  /// Binds the callers' address and serves in threads of its own. Throws `error` of kind
  /// `Unavailable` if the address is in use.
  explicit caller_server(const runtime& aRuntime);
  /// Stops accepting, and waits for the running requests.
  ~caller_server();
  caller_server(const caller_server&) = delete;
  caller_server& operator=(const caller_server&) = delete;

private:
  refusal_log mRefusals;
  std::unique_ptr<bounded_server> mServer;
  std::thread mThread;
};

} // namespace tamarackweir::entry
