#include "placement/engine_speed.h"

#include <algorithm>

namespace tamarackweir::placement {

namespace {

constexpr double kDecay = 0.98; ///< of the earlier samples' weight, by each new one
/// Prompts that this instance does not know of can only lengthen a sample, so a sample above the
/// estimate weighs less than one below it.
constexpr double kWeightAbove = 0.1;
constexpr double kWeightBelow = 1;
/// Bounds the effect of an answer that was held up by a fault.
constexpr double kMaxExcess = 2;
constexpr std::uint64_t kMinSamples = 8; ///< until then the estimate may be far too low
/// Variance of the token counts, in tokens squared, below which they do not show a slope.
constexpr double kMinVariance = 100.0 * 100.0;

} // namespace

prefill_time PrefillTimeOf(const engine_speed& aSpeed)
{
  const prefill_time prior;
  if (aSpeed.mWeight <= 0) {
    return prior;
  }
  const double meanTokens = aSpeed.mTokens / aSpeed.mWeight;
  const double meanMs = aSpeed.mMs / aSpeed.mWeight;
  const double variance = aSpeed.mTokensSquared / aSpeed.mWeight - meanTokens * meanTokens;
  const double covariance = aSpeed.mTokensMs / aSpeed.mWeight - meanTokens * meanMs;
  const double slope = std::max(0.0, variance > kMinVariance ? covariance / variance : 0.0);
  const double base = meanMs - slope * meanTokens;
  if (variance > kMinVariance && base >= 0) {
    return { .mBaseMs = base, .mMsPerToken = slope };
  }
  // Prompts of one length do not tell the two apart, so the base keeps its usual part of the time.
  const double expected = prior.mBaseMs + prior.mMsPerToken * meanTokens;
  const double factor = meanMs / expected;
  return { .mBaseMs = prior.mBaseMs * factor, .mMsPerToken = prior.mMsPerToken * factor };
}

double PrefillMs(const prefill_time& aTime, std::int64_t aTokens)
{
  return aTime.mBaseMs + aTime.mMsPerToken * static_cast<double>(aTokens);
}

bool IsKnown(const engine_speed& aSpeed)
{
  return aSpeed.mSamples >= kMinSamples;
}

void RecordLoad(engine_load& aLoad, double aIdleMs, duration aTime)
{
  constexpr double kSmoothing = 0.2;
  const double milliseconds = std::chrono::duration<double, std::milli>(aTime).count();
  if (milliseconds <= 0) {
    return;
  }
  const double sample = std::clamp(1 - aIdleMs / milliseconds, 0.0, 1.0);
  aLoad.mBusyShare += kSmoothing * (sample - aLoad.mBusyShare);
}

void RecordFirstEvent(engine_speed& aSpeed, std::int64_t aTokens, duration aTime)
{
  const auto tokens = static_cast<double>(aTokens);
  double milliseconds = std::chrono::duration<double, std::milli>(aTime).count();
  const double expected = PrefillMs(PrefillTimeOf(aSpeed), aTokens);
  if (IsKnown(aSpeed)) {
    milliseconds = std::min(milliseconds, expected * kMaxExcess);
  }
  const double weight =
    aSpeed.mSamples > 0 && milliseconds > expected ? kWeightAbove : kWeightBelow;
  ++aSpeed.mSamples;
  aSpeed.mWeight = aSpeed.mWeight * kDecay + weight;
  aSpeed.mTokens = aSpeed.mTokens * kDecay + weight * tokens;
  aSpeed.mMs = aSpeed.mMs * kDecay + weight * milliseconds;
  aSpeed.mTokensSquared = aSpeed.mTokensSquared * kDecay + weight * tokens * tokens;
  aSpeed.mTokensMs = aSpeed.mTokensMs * kDecay + weight * tokens * milliseconds;
}

} // namespace tamarackweir::placement
