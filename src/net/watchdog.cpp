#include "net/watchdog.h"

#include "observe/event_log.h"

#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

namespace tamarackweir::net {

struct watchdog::state
{
  explicit state(tcp::socket& aSocket)
    : mSocket(&aSocket)
    , mTimer(aSocket.get_executor())
  {
  }

  tcp::socket* mSocket; ///< null once the watchdog is gone
  asio::steady_timer mTimer;
  std::optional<time_point> mDeadline;
  std::optional<time_point> mWake; ///< when the pending wait ends
  bool mExpired = false;
};

watchdog::watchdog(tcp::socket& aSocket)
  : mState(std::make_shared<state>(aSocket))
{
}

watchdog::~watchdog()
{
  mState->mSocket = nullptr;
  mState->mTimer.cancel();
}

void watchdog::Arm(duration aLimit)
{
  mState->mDeadline = Now() + aLimit;
  // A pending wait that ends earlier looks at the new deadline by itself.
  if (!mState->mWake || *mState->mWake > *mState->mDeadline) {
    Wait(mState);
  }
}

void watchdog::Disarm()
{
  mState->mDeadline.reset();
}

bool watchdog::HasExpired() const
{
  return mState->mExpired;
}

void watchdog::Wait(const std::shared_ptr<state>& aState)
{
  aState->mWake = aState->mDeadline;
  aState->mTimer.expires_after(std::max(*aState->mDeadline - Now(), duration::zero()));
  aState->mTimer.async_wait([state = aState](error_code aFailure) {
    if (aFailure || state->mSocket == nullptr) {
      return;
    }
    state->mWake.reset();
    if (!state->mDeadline) {
      return;
    }
    if (Now() < *state->mDeadline) {
      Wait(state);
      return;
    }
    state->mExpired = true;
    error_code ignoredAsClosedAnyway;
    state->mSocket->close(ignoredAsClosedAnyway);
  });
}

void LimitSilence(tcp::socket& aSocket, const silence_limits& aLimits)
{
  const int on = 1;
  const auto set = [&aSocket](int aLevel, int aOption, int aValue) {
    if (setsockopt(aSocket.native_handle(), aLevel, aOption, &aValue, sizeof aValue) != 0) {
      observe::event_line("socket_option_failed")
        .Number("option", aOption)
        .Text("reason", std::strerror(errno))
        .Write();
    }
  };
  set(IPPROTO_TCP, TCP_NODELAY, on);
  set(SOL_SOCKET, SO_KEEPALIVE, on);
  set(IPPROTO_TCP, TCP_KEEPIDLE, aLimits.mKeepAliveIdleS);
  set(IPPROTO_TCP, TCP_KEEPINTVL, aLimits.mKeepAliveIntervalS);
  set(IPPROTO_TCP, TCP_KEEPCNT, aLimits.mKeepAliveProbes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, aLimits.mUnacknowledgedMs);
}

} // namespace tamarackweir::net
