#pragma once

#include "base/clock.h"

#include <cstdint>

namespace tamarackweir::placement {

/// Time from sending a prompt to an idle engine until the first event of its answer.
struct prefill_time
{
  double mBaseMs = 20;      ///< of a prompt whose tokens are all cached
  double mMsPerToken = 0.1; ///< for each prompt token that is not cached
};

/// Prefill time of one model on the engines of one service, learned from the times to first events.
/// Sums over the samples, of which older ones weigh less.
struct engine_speed
{
  std::uint64_t mSamples = 0;
  double mWeight = 0;
  double mTokens = 0;
  double mMs = 0;
  double mTokensSquared = 0;
  double mTokensMs = 0;
};

/// The estimate; the defaults of `prefill_time` until samples show otherwise.
prefill_time PrefillTimeOf(const engine_speed& aSpeed);

/// Adds a sample of a prompt that had no other prompt ahead of it at its server, as far as known.
/// \param aTokens of the prompt that were not cached, as far as known
/// \param aTime from sending the request to its answer's header or first event
void RecordFirstEvent(engine_speed& aSpeed, std::int64_t aTokens, duration aTime);

/// Expected time in ms to the first event on an idle engine.
double PrefillMs(const prefill_time& aTime, std::int64_t aTokens);

/// Whether there are samples enough to compare with.
bool IsKnown(const engine_speed& aSpeed);

/// Load of a service's engines.
struct engine_load
{
  /// Share of time in which they are busy, from 0 to 1. A queue in front of a server that is busy
  /// for a share of time makes answers take 1 / (1 - share) as long as on an idle one.
  double mBusyShare = 0;
};

/// Adds the time to a first event.
/// \param aIdleMs the same on an idle engine
void RecordLoad(engine_load& aLoad, double aIdleMs, duration aTime);

} // namespace tamarackweir::placement
