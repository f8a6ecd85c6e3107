#include "billing/billing.h"

#include "base/digest.h"
#include "billing/internal.h"

#include <algorithm>

namespace tamarackweir::billing {

using namespace internal;

operation_id internal::NextOperation(state& aState)
{
  return operation_id(aState.mNextOperation++);
}

const char* ToString(admission aAdmission)
{
  switch (aAdmission) {
    case admission::Admitted:
      return "admitted";
    case admission::AtRiskFull:
      return "bill_records_at_risk";
    case admission::BufferFull:
      return "bill_buffer_full";
  }
  return "admitted";
}

state Start(const options& aOptions, const origin_id& aSelf, const data_centre_id& aDataCentre,
            time_point aNow)
{
  state started;
  started.mOptions = aOptions;
  started.mSelf = aSelf;
  started.mDataCentre = aDataCentre;
  // Spread the settlements of instances that start together: 370 simultaneous writes exceed what
  // the object store accepts in one second.
  const duration spread(static_cast<std::int64_t>(
    StableHash(ToString(aSelf)) % static_cast<std::uint64_t>(aOptions.mSettleInterval.count())));
  started.mNextSettleAt = aNow + aOptions.mSettleInterval / 2 + spread;
  return started;
}

request_id NextUnkeyedId(state& aState)
{
  return UnkeyedId(aState.mSelf, aState.mNextUnkeyedCounter++);
}

admission CheckAdmission(const state& aState)
{
  if (CountBuffered(aState) >= aState.mOptions.mMaxBufferedRecords) {
    return admission::BufferFull;
  }
  const bool atRiskFull = aState.mOptions.mMaxAtRiskRecords > 0 &&
                          aState.mAtRiskCount >= aState.mOptions.mMaxAtRiskRecords;
  return atRiskFull || aState.mOverdueCount > 0 ? admission::AtRiskFull : admission::Admitted;
}

void Tick(state& aState, time_point aNow, actions& aOut)
{
  SendDueCopies(aState, aNow, aOut);
  ReleaseOverdueAnswers(aState, aNow, aOut);
  SettleRecords(aState, aNow, aOut);
  RecoverCopies(aState, aNow, aOut);
}

void Drain(state& aState, time_point aNow, actions& aOut)
{
  aState.mDraining = true;
  Tick(aState, aNow, aOut);
}

bool IsDrained(const state& aState)
{
  const bool ownSafe = std::all_of(aState.mOwnRecords.begin(), aState.mOwnRecords.end(),
                                   [](const auto& aEntry) { return aEntry.second.mCopied; });
  const bool copiesSafe =
    std::none_of(aState.mHeldCopies.begin(), aState.mHeldCopies.end(), [](const auto& aEntry) {
      return aEntry.second.mOriginRemoved && !aEntry.second.mRecords.empty();
    });
  return ownSafe && copiesSafe;
}

std::size_t CountBuffered(const state& aState)
{
  return aState.mOwnRecords.size() + aState.mHeldRecordCount;
}

} // namespace tamarackweir::billing
