#include "net/watchdog.h"

#include <optional>

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

} // namespace tamarackweir::net
