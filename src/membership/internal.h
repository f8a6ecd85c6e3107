#pragma once

#include "membership/membership.h"

namespace tamarackweir::membership::internal {

/// Bytes of one rumour in a message.
std::size_t RumourBytes(const rumour& aRumour);

/// Merges a rumour; returns whether it is new here.
bool Merge(state& aState, const rumour& aRumour, time_point aNow);

/// Moves rumours into a message within the limits of size and rate. With `aRepair`, also rumours
/// that were sent often enough already, because the receiver's digest shows that some are missing.
void AddRumours(state& aState, gossip_message& aMessage, bool aRepair, time_point aNow);

/// Hash over the lasting rumours; evidence is left out because it changes too often.
std::uint32_t Digest(const state& aState, time_point aNow);

/// Forgets rumours that have reached the retention age.
void Expire(state& aState, time_point aNow);

/// Time since the first instance learned the rumour.
duration AgeOf(const stored_rumour& aHeld, time_point aNow);

} // namespace tamarackweir::membership::internal
