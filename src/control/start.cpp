#include "base/digest.h"
#include "control/state.h"

namespace tamarackweir::control {

state Start(const start_options& aOptions, time_point aNow)
{
  state result;
  const identity& self = aOptions.mSelf;
  result.mSelf = self;
  result.mRandom.seed(aOptions.mSeed);
  result.mPropagation.mSelf = { self.mId, self.mEpoch };
  result.mMembership = membership::Start({}, self.mId, self.mEpoch, self.mDataCentre, aNow);
  result.mBalancing = balancing::Start({}, self.mDataCentre);
  result.mCapacity = capacity::Start({}, self.mId, self.mEpoch);
  result.mQuarantine.mSelf = self.mId;
  result.mClaims = claims::Start({}, self.mId, self.mEpoch, aNow, aOptions.mWallNow);
  result.mBilling = billing::Start({}, { self.mId, self.mEpoch }, self.mDataCentre, aNow);
  result.mSessions = sessions::MakeState(aOptions.mSessionKeys, self.mId, self.mEpoch);
  return result;
}

void RotateKeys(state& aState, sessions::key_ring aKeys)
{
  sessions::RotateKeys(aState.mSessions, std::move(aKeys));
}

bool IsBusy(const state& aState)
{
  return aState.mActive > 0 || !aState.mQueued.empty() || !aState.mChoices.empty() ||
         !aState.mClaimWaits.empty() || !aState.mBillWaits.empty() || !aState.mProposals.empty() ||
         !aState.mQuarantine.mPendingReports.empty() || !claims::IsIdle(aState.mClaims) ||
         aState.mDrainTicket.has_value();
}

bool IsReady(const state& aState)
{
  return settings::IsReady(aState.mPropagation) && aState.mTree != nullptr && aState.mListRead &&
         !aState.mDrainTicket && !aState.mHasLeft;
}

} // namespace tamarackweir::control
