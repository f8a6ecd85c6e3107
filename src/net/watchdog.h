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

} // namespace tamarackweir::net
