#include "membership/rumour.h"

#include <tuple>
#include <utility>

namespace tamarackweir::membership {

rumour ServerLeavingRumour(const server_id& aServer, start_epoch aEpoch)
{
  return { { rumour_kind::ServerLeaving, aServer.Value(), aEpoch }, 1, "", {} };
}

rumour ServerColdRumour(const server_id& aServer, start_epoch aEpoch, const instance_id& aHolder,
                        fencing_number aLease)
{
  return {
    { rumour_kind::ServerCold, aServer.Value(), aEpoch }, aLease.Value(), aHolder.Value(), {}
  };
}

rumour InstanceLeftRumour(const instance_id& aInstance, start_epoch aEpoch)
{
  return { { rumour_kind::InstanceLeft, aInstance.Value(), aEpoch }, 1, "", {} };
}

rumour OpaqueRumour(rumour_kind aKind, std::string aKey, std::uint64_t aVersion,
                    std::string aPayload)
{
  rumour made;
  made.mKey.mKind = aKind;
  made.mKey.mSubject = std::move(aKey);
  made.mVersion = aVersion;
  made.mPayload = std::move(aPayload);
  return made;
}

bool Supersedes(const rumour& aNew, const rumour& aOld)
{
  return std::tie(aNew.mVersion, aNew.mPayload) > std::tie(aOld.mVersion, aOld.mPayload);
}

} // namespace tamarackweir::membership
