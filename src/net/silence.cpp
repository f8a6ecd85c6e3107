#include "net/silence.h"

#include "observe/event_log.h"

#include <cerrno>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace tamarackweir::net {

namespace {

constexpr int kLooksPerLimit = 10;

enum class peer_state
{
  Done,   ///< it has acknowledged all bytes
  Alive,  ///< bytes are left, and it has answered what was sent last
  Silent, ///< what was sent last has no answer yet
};

peer_state Look(int aSocket, duration aPeriod)
{
  tcp_info info{};
  socklen_t size = sizeof info;
  int unacknowledged = 0;
  if (getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      ioctl(aSocket, SIOCOUTQ, &unacknowledged) != 0) {
    observe::event_line("silence_unknown").Text("reason", std::strerror(errno)).Write();
    return peer_state::Done;
  }
  if (info.tcpi_unacked == 0 && info.tcpi_probes == 0) {
    return unacknowledged == 0 ? peer_state::Done : peer_state::Alive;
  }
  const bool isAnswered =
    info.tcpi_probes == 0 && info.tcpi_last_ack_recv <= info.tcpi_last_data_sent;
  return isAnswered || std::chrono::milliseconds(info.tcpi_last_ack_recv) < aPeriod
           ? peer_state::Alive
           : peer_state::Silent;
}

} // namespace

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
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    // Without TCP_INFO a closed window looks like a dead machine.
    set(IPPROTO_TCP, TCP_USER_TIMEOUT,
        static_cast<int>(
          std::chrono::duration_cast<std::chrono::milliseconds>(aLimits.mUnacknowledged).count()));
  }
}

struct silence_watch::state
{
  state(tcp::socket& aSocket, duration aLimit)
    : mSocket(&aSocket)
    , mTimer(aSocket.get_executor())
    , mLimit(aLimit)
  {
  }

  tcp::socket* mSocket; ///< null once the watch is gone
  asio::steady_timer mTimer;
  duration mLimit;
  bool mIsRunning = false;
  int mSilentLooks = 0; ///< in a row
};

silence_watch::silence_watch(tcp::socket& aSocket, duration aLimit)
  : mState(std::make_shared<state>(aSocket, aLimit))
{
}

silence_watch::~silence_watch()
{
  mState->mSocket = nullptr;
  mState->mTimer.cancel();
}

void silence_watch::SetLimit(duration aLimit)
{
  mState->mLimit = aLimit;
}

void silence_watch::Start()
{
  if (!mState->mIsRunning) {
    mState->mIsRunning = true;
    mState->mSilentLooks = 0;
    Wait(mState);
  }
}

void silence_watch::Wait(const std::shared_ptr<state>& aState)
{
  const duration period = aState->mLimit / kLooksPerLimit;
  aState->mTimer.expires_after(period);
  aState->mTimer.async_wait([state = aState, period](error_code aFailure) {
    if (aFailure || state->mSocket == nullptr) {
      return;
    }
    const peer_state peer =
      state->mSocket->is_open() ? Look(state->mSocket->native_handle(), period) : peer_state::Done;
    if (peer == peer_state::Done) {
      state->mIsRunning = false;
      return;
    }
    state->mSilentLooks = peer == peer_state::Silent ? state->mSilentLooks + 1 : 0;
    if (state->mSilentLooks < kLooksPerLimit) {
      Wait(state);
      return;
    }
    state->mIsRunning = false;
    error_code ignoredAsClosedAnyway;
    state->mSocket->close(ignoredAsClosedAnyway);
  });
}

} // namespace tamarackweir::net
