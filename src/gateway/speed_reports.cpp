#include "gateway/speed_reports.h"

#include "observe/event_log.h"

namespace tamarackweir::gateway {

placement::speed_report OwnSpeeds(const gateway_state& aState)
{
  placement::speed_report speeds;
  for (const auto& [key, speed] : aState.mEngineSpeeds) {
    if (const auto estimate = placement::EstimateOf(speed)) {
      speeds[placement::SpeedKey(key.first, key.second)] = *estimate;
    }
  }
  return speeds;
}

void UsePooledSpeeds(gateway_state& aState, time_point aNow)
{
  placement::speed_board& board = aState.mSpeedBoard;
  placement::RecordSpeeds(board, aState.mSelf.mId.Value(), OwnSpeeds(aState), aNow);
  board.mPooled = { .mAt = aNow, .mSpeeds = placement::PoolSpeeds(board, aNow) };
}

bool ApplySpeeds(gateway_state& aState, placement::speed_message aMessage, time_point aNow)
{
  if (aMessage.mInvalid > 0) {
    observe::event_line("speeds_skipped")
      .Text("instance", aMessage.mInstance)
      .Number("entries", static_cast<std::int64_t>(aMessage.mInvalid))
      .Write();
  }
  if (aMessage.mIsPooled) {
    aState.mSpeedBoard.mPooled = { .mAt = aNow, .mSpeeds = std::move(aMessage.mSpeeds) };
    return false;
  }
  placement::RecordSpeeds(aState.mSpeedBoard, aMessage.mInstance, std::move(aMessage.mSpeeds),
                          aNow);
  return aMessage.mAsksForPooled;
}

} // namespace tamarackweir::gateway
