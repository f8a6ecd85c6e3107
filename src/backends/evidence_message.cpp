#include "backends/evidence_message.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>

namespace tamarackweir::backends {

namespace {

using nlohmann::json;

constexpr std::size_t kFields = 9;
constexpr int kNever = -1;
constexpr double kMaxKey = 0xffffffffU;
constexpr double kMaxInstances = 10'000;
constexpr double kPercent = 100;
constexpr double kMaxSlowdownPercent = 10'000;
constexpr double kMaxSamples = 65'535;

std::int64_t AgeMs(time_point aAt, time_point aNow)
{
  const duration age = aNow - aAt;
  if (aAt == time_point{} || age > kEvidenceLifetime) {
    return kNever;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(age, duration::zero()))
    .count();
}

time_point TimeOf(double aAgeMs, time_point aNow)
{
  return aAgeMs < 0 ? time_point{} : aNow - std::chrono::milliseconds(std::lround(aAgeMs));
}

bool IsAge(double aValue)
{
  return aValue == kNever ||
         (aValue >= 0 &&
          aValue <= std::chrono::duration<double, std::milli>(kEvidenceLifetime).count());
}

bool IsWithin(double aValue, double aLeast, double aMost)
{
  return aValue >= aLeast && aValue <= aMost; // false for a value that is not a number
}

std::optional<observation> Decode(const std::array<double, kFields>& aValues, time_point aNow)
{
  const auto& [server, start, failed, tried, failedAge, aliveAge, fullAge, slowdown, samples] =
    aValues;
  if (!IsWithin(server, 0, kMaxKey) || !IsWithin(start, 0, kMaxKey) ||
      !IsWithin(tried, 0, kMaxInstances) || !IsWithin(failed, 0, tried) || !IsAge(failedAge) ||
      !IsAge(aliveAge) || !IsAge(fullAge) || !IsWithin(slowdown, 1, kMaxSlowdownPercent) ||
      !IsWithin(samples, 0, kMaxSamples)) {
    return std::nullopt;
  }
  return observation{ .mServer = static_cast<std::uint64_t>(server),
                      .mStart = static_cast<std::uint64_t>(start),
                      .mFailed = static_cast<std::uint32_t>(failed),
                      .mTried = static_cast<std::uint32_t>(tried),
                      .mFailedAt = TimeOf(failedAge, aNow),
                      .mAliveAt = TimeOf(aliveAge, aNow),
                      .mFullAt = TimeOf(fullAge, aNow),
                      .mSlowdown = slowdown / kPercent,
                      .mSamples = static_cast<std::uint32_t>(samples) };
}

} // namespace

json ToList(const observations& aSeen, time_point aNow)
{
  json list = json::array();
  for (const observation& seen : aSeen) {
    const double percent = std::min(kMaxSlowdownPercent, std::max(1.0, seen.mSlowdown * kPercent));
    for (const std::int64_t value :
         { static_cast<std::int64_t>(seen.mServer), static_cast<std::int64_t>(seen.mStart),
           static_cast<std::int64_t>(seen.mFailed), static_cast<std::int64_t>(seen.mTried),
           AgeMs(seen.mFailedAt, aNow), AgeMs(seen.mAliveAt, aNow), AgeMs(seen.mFullAt, aNow),
           static_cast<std::int64_t>(std::lround(percent)),
           static_cast<std::int64_t>(seen.mSamples) }) {
      list.push_back(value);
    }
  }
  return list;
}

decoded_observations FromList(const json& aList, std::size_t aMaxServers, time_point aNow)
{
  decoded_observations result;
  if (!aList.is_array() || aList.size() % kFields != 0) {
    result.mSkipped = 1;
    return result;
  }
  for (std::size_t i = 0; i < aList.size(); i += kFields) {
    std::array<double, kFields> values{};
    for (std::size_t field = 0; field < kFields; ++field) {
      const json& value = aList[i + field];
      values.at(field) = value.is_number() ? value.get<double>() : std::nan("");
    }
    const auto seen = Decode(values, aNow);
    if (!seen || result.mSeen.size() >= aMaxServers) {
      ++result.mSkipped;
      continue;
    }
    result.mSeen.push_back(*seen);
  }
  return result;
}

} // namespace tamarackweir::backends
