#pragma once

#include "base/digest.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace tamarackweir {

/// Weight of an instance for a duty in rendezvous hashing; the highest weights have the duty.
inline std::uint64_t DutyWeight(const std::string& aDuty, const std::string& aInstance)
{
  return StableHash(aDuty, StableHash(aInstance));
}

/// The first `aCount` instances for a duty; all instances that know the same others find the same
/// ones.
inline std::vector<std::string> FirstInstances(std::vector<std::string> aInstances,
                                               const std::string& aDuty, std::size_t aCount)
{
  std::sort(aInstances.begin(), aInstances.end(),
            [&aDuty](const std::string& aLeft, const std::string& aRight) {
              return DutyWeight(aDuty, aLeft) > DutyWeight(aDuty, aRight);
            });
  aInstances.resize(std::min(aInstances.size(), aCount));
  return aInstances;
}

/// How many instances go before `aSelf` for a duty.
inline std::size_t InstancesBefore(const std::vector<std::string>& aInstances,
                                   const std::string& aDuty, const std::string& aSelf)
{
  const std::uint64_t own = DutyWeight(aDuty, aSelf);
  return static_cast<std::size_t>(
    std::count_if(aInstances.begin(), aInstances.end(), [&](const std::string& aOther) {
      return aOther != aSelf && DutyWeight(aDuty, aOther) > own;
    }));
}

} // namespace tamarackweir
