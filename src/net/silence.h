#pragma once

#include "net/loop.h"

#include <memory>

namespace tamarackweir::net {

/// Bounds on the silence of a peer's machine, as TCP sees it. They show a machine without power or
/// behind a partition, which sends nothing and resets nothing.
struct silence_limits
{
  int mKeepAliveIdleS = 1;     ///< quiet seconds before the first probe; the smallest TCP allows
  int mKeepAliveIntervalS = 1; ///< seconds between probes
  int mKeepAliveProbes = 2;    ///< unanswered probes that end the connection
  duration mUnacknowledged = 2500ms; ///< without an acknowledgement of sent bytes
};

/// Sets `TCP_NODELAY` and the limits for an idle connection on a connected socket. An option that
/// can't be set is logged.
void LimitSilence(tcp::socket& aSocket, const silence_limits& aLimits);

/// Closes a socket whose peer's machine does not answer what is sent to it, so that the pending
/// operation fails. A peer that has no room, and says so, is not silent. `TCP_USER_TIMEOUT` does
/// not tell the two apart. It must not outlive the socket.
class silence_watch
{
public:
  silence_watch(tcp::socket& aSocket, duration aLimit);
  ~silence_watch();
  silence_watch(const silence_watch&) = delete;
  silence_watch& operator=(const silence_watch&) = delete;

  void SetLimit(duration aLimit);
  /// To be called when bytes are sent. The watch lasts until the peer has acknowledged all.
  void Start();

private:
  struct state;
  static void Wait(const std::shared_ptr<state>& aState);

  std::shared_ptr<state> mState;
};

} // namespace tamarackweir::net
