#pragma once

#include "net/loop.h"

#include <memory>

namespace tamarackweir::net {

/// Closes a socket when a phase of its use takes longer than its limit, so that the pending
/// operation fails. It must not outlive the socket.
class watchdog
{
public:
  explicit watchdog(tcp::socket& aSocket);
  ~watchdog();
  watchdog(const watchdog&) = delete;
  watchdog& operator=(const watchdog&) = delete;

  /// Starts a phase that may take `aLimit`; replaces the phase before.
  void Arm(duration aLimit);
  /// Ends the phase.
  void Disarm();
  /// Whether a phase took too long, so that the socket was closed.
  bool HasExpired() const;

private:
  struct state;
  static void Wait(const std::shared_ptr<state>& aState);

  std::shared_ptr<state> mState;
};

/// Bounds on the silence of a peer's machine, as TCP sees it. They show a machine without power or
/// behind a partition, which sends nothing and resets nothing.
struct silence_limits
{
  int mKeepAliveIdleS = 1;      ///< quiet seconds before the first probe; the smallest TCP allows
  int mKeepAliveIntervalS = 1;  ///< seconds between probes
  int mKeepAliveProbes = 2;     ///< unanswered probes that end the connection
  int mUnacknowledgedMs = 2500; ///< age of unacknowledged bytes that ends the connection
};

/// Sets `TCP_NODELAY` and the limits on a connected socket. An option that can't be set is logged.
void LimitSilence(tcp::socket& aSocket, const silence_limits& aLimits);

} // namespace tamarackweir::net
