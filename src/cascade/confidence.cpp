#include "cascade/confidence.h"

#include <algorithm>

namespace tamarackweir::cascade {

std::optional<std::size_t> NextSize(const confidence_step& aStep,
                                    const confidence_options& aOptions)
{
  if (aStep.mSize + 1 >= aStep.mSizes || !aStep.mMayRunAgain || !aStep.mConfidence) {
    return std::nullopt;
  }
  const double load = std::clamp(aStep.mLoad, 0.0, 1.0);
  const double accept = aOptions.mAccept + load * (aOptions.mAcceptUnderLoad - aOptions.mAccept);
  if (*aStep.mConfidence >= accept) {
    return std::nullopt;
  }
  return aStep.mSizes - 1;
}

} // namespace tamarackweir::cascade
