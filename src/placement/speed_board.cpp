#include "placement/speed_board.h"

#include "base/digest.h"
#include "base/error.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <vector>

namespace tamarackweir::placement {

namespace {

using nlohmann::json;

constexpr char kMark = '\xc1'; ///< the one byte that begins no MessagePack value
/// Bounds the weight of one instance; the sum of the weights of its samples approaches it.
constexpr double kMaxSamples = 50;
constexpr double kMaxMs = 60'000; ///< far above any time to a first event
constexpr std::size_t kMaxName = 256;

bool IsValid(const speed_estimate& aSpeed)
{
  const auto isWithin = [](double aValue, double aMost) {
    return std::isfinite(aValue) && aValue >= 0 && aValue <= aMost;
  };
  return isWithin(aSpeed.mTime.mBaseMs, kMaxMs) && isWithin(aSpeed.mTime.mMsPerToken, kMaxMs) &&
         std::isfinite(aSpeed.mSamples) && aSpeed.mSamples > 0;
}

/// The median of one member, weighted by samples.
/// \param aSpeeds not empty
double WeightedMedian(std::vector<speed_estimate>& aSpeeds, double prefill_time::*aMember)
{
  std::sort(aSpeeds.begin(), aSpeeds.end(), [aMember](const auto& aLeft, const auto& aRight) {
    return aLeft.mTime.*aMember < aRight.mTime.*aMember;
  });
  double half = 0;
  for (const speed_estimate& speed : aSpeeds) {
    half += speed.mSamples / 2;
  }
  std::size_t median = 0;
  for (double below = aSpeeds[0].mSamples; below < half && median + 1 < aSpeeds.size();) {
    ++median;
    below += aSpeeds[median].mSamples;
  }
  return aSpeeds[median].mTime.*aMember;
}

/// Lets no instance weigh more than the median one: an error of an instance with many samples would
/// decide alone while the others have few.
/// \param aSpeeds not empty
void BoundWeights(std::vector<speed_estimate>& aSpeeds)
{
  const auto middle = aSpeeds.begin() + static_cast<std::ptrdiff_t>(aSpeeds.size() / 2);
  std::nth_element(
    aSpeeds.begin(), middle, aSpeeds.end(),
    [](const auto& aLeft, const auto& aRight) { return aLeft.mSamples < aRight.mSamples; });
  const double most = middle->mSamples;
  for (speed_estimate& speed : aSpeeds) {
    speed.mSamples = std::min(speed.mSamples, most);
  }
}

/// \param aSpeeds not empty
speed_estimate Pool(std::vector<speed_estimate>& aSpeeds)
{
  BoundWeights(aSpeeds);
  speed_estimate pooled{ .mTime = { .mBaseMs = WeightedMedian(aSpeeds, &prefill_time::mBaseMs),
                                    .mMsPerToken =
                                      WeightedMedian(aSpeeds, &prefill_time::mMsPerToken) } };
  for (const speed_estimate& speed : aSpeeds) {
    pooled.mSamples += speed.mSamples;
  }
  return pooled;
}

} // namespace

std::uint64_t SpeedKey(const service_id& aService, const model_id& aModel)
{
  return StableHash(aModel.Value(), StableHash(aService.Value()));
}

std::optional<speed_estimate> EstimateOf(const engine_speed& aSpeed)
{
  const speed_estimate estimate{ .mTime = PrefillTimeOf(aSpeed), .mSamples = aSpeed.mWeight };
  return aSpeed.mSamples > 0 && IsValid(estimate) ? std::optional(estimate) : std::nullopt;
}

void RecordSpeeds(speed_board& aBoard, const std::string& aInstance, speed_report aSpeeds,
                  time_point aNow)
{
  aBoard.mReports[aInstance] = { .mAt = aNow, .mSpeeds = std::move(aSpeeds) };
}

speed_report PoolSpeeds(speed_board& aBoard, time_point aNow)
{
  std::erase_if(aBoard.mReports,
                [aNow](const auto& aEntry) { return aNow - aEntry.second.mAt > kSpeedLifetime; });
  std::map<std::uint64_t, std::vector<speed_estimate>> byKey;
  for (const auto& [instance, entry] : aBoard.mReports) {
    for (const auto& [key, speed] : entry.mSpeeds) {
      byKey[key].push_back(speed);
    }
  }
  speed_report pooled;
  for (auto& [key, speeds] : byKey) {
    pooled[key] = Pool(speeds);
  }
  return pooled;
}

std::optional<speed_estimate> PooledSpeed(const speed_board& aBoard, std::uint64_t aKey,
                                          time_point aNow)
{
  const auto found = aBoard.mPooled.mSpeeds.find(aKey);
  if (found == aBoard.mPooled.mSpeeds.end() || aNow - aBoard.mPooled.mAt > kSpeedLifetime) {
    return std::nullopt;
  }
  return found->second;
}

std::string Encode(const speed_message& aMessage)
{
  json speeds = json::array();
  for (const auto& [key, speed] : aMessage.mSpeeds) {
    if (speeds.size() == kMaxSpeeds) {
      break;
    }
    speeds.push_back({ key, speed.mTime.mBaseMs, speed.mTime.mMsPerToken, speed.mSamples });
  }
  const auto bytes = json::to_msgpack(json::array(
    { aMessage.mInstance, aMessage.mIsPooled, aMessage.mAsksForPooled, std::move(speeds) }));
  return kMark + std::string(bytes.begin(), bytes.end());
}

bool IsSpeedMessage(std::string_view aBytes)
{
  return !aBytes.empty() && aBytes.front() == kMark;
}

speed_message DecodeSpeeds(std::string_view aBytes)
{
  try {
    const json message = json::from_msgpack(aBytes.begin() + 1, aBytes.end());
    speed_message result{ .mInstance = message.at(0).get<std::string>(),
                          .mIsPooled = message.at(1).get<bool>(),
                          .mAsksForPooled = message.at(2).get<bool>() };
    const json& speeds = message.at(3);
    if (result.mInstance.size() > kMaxName || speeds.size() > kMaxSpeeds) {
      throw error(error_kind::InvalidInput, "the speed message of a peer is too long",
                  "check that all instances run the same release");
    }
    for (const json& entry : speeds) {
      speed_estimate speed{ .mTime = { .mBaseMs = entry.at(1).get<double>(),
                                       .mMsPerToken = entry.at(2).get<double>() },
                            .mSamples = entry.at(3).get<double>() };
      if (!IsValid(speed)) {
        ++result.mInvalid;
        continue;
      }
      if (!result.mIsPooled) {
        speed.mSamples = std::min(speed.mSamples, kMaxSamples);
      }
      result.mSpeeds[entry.at(0).get<std::uint64_t>()] = speed;
    }
    return result;
  } catch (const json::exception& failure) {
    throw error(error_kind::InvalidInput,
                std::string("the speed message of a peer can't be decoded: ") + failure.what(),
                "check that all instances run the same release");
  }
}

} // namespace tamarackweir::placement
