#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "placement/engine_speed.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tamarackweir::placement {

/// An estimate of a prefill time and the weight of the samples behind it.
struct speed_estimate
{
  prefill_time mTime;
  double mSamples = 0; ///< older ones count less
};

/// Estimates by a hash of service and model.
using speed_report = std::map<std::uint64_t, speed_estimate>;

/// A message with an instance's own estimates, or with the pooled ones.
struct speed_message
{
  std::string mInstance;
  bool mIsPooled = false;
  bool mAsksForPooled = false; ///< requests a reply with the pooled estimates
  speed_report mSpeeds;
  std::size_t mInvalid = 0; ///< entries that decoding has skipped
};

/// The latest estimates of all instances, and the pooled ones.
struct speed_board
{
  struct entry
  {
    time_point mAt{};
    speed_report mSpeeds;
  };
  std::unordered_map<std::string, entry> mReports; ///< by instance
  entry mPooled;
};

/// Age at which estimates of other instances expire; several messages in a row may be lost.
inline constexpr duration kSpeedLifetime = 10s;
/// Speeds in a message, so that it fits into a datagram.
inline constexpr std::size_t kMaxSpeeds = 256;

std::uint64_t SpeedKey(const service_id& aService, const model_id& aModel);

/// The estimate and its weight; absent until the instance has enough samples of its own.
std::optional<speed_estimate> EstimateOf(const engine_speed& aSpeed);

/// Stores the estimates of an instance in place of its previous ones.
void RecordSpeeds(speed_board& aBoard, const std::string& aInstance, speed_report aSpeeds,
                  time_point aNow);

/// For each key the medians of base and time per token, weighted by samples up to their median, so
/// that one instance's error has no effect. Removes expired reports.
speed_report PoolSpeeds(speed_board& aBoard, time_point aNow);

/// The pooled estimate; absent if there is none or it has expired.
std::optional<speed_estimate> PooledSpeed(const speed_board& aBoard, std::uint64_t aKey,
                                          time_point aNow);

/// Encodes as MessagePack after a mark that tells it from other messages; at most 37 bytes per key.
std::string Encode(const speed_message& aMessage);

/// Whether the bytes are a speed message.
bool IsSpeedMessage(std::string_view aBytes);

/// Inverse of `Encode`. Skips invalid entries. Throws `error` of kind `InvalidInput`.
speed_message DecodeSpeeds(std::string_view aBytes);

} // namespace tamarackweir::placement
