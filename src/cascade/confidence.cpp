#include "cascade/confidence.h"

#include <algorithm>

namespace tamarackweir::cascade {

std::optional<std::size_t> NextModel(const confidence_step& aStep,
                                     const confidence_options& aOptions)
{
  if (aStep.mModelIndex + 1 >= aStep.mModelCount || !aStep.mMayRunAgain || !aStep.mConfidence) {
    return std::nullopt;
  }
  const double load = std::clamp(aStep.mLoad, 0.0, 1.0);
  if (*aStep.mConfidence >= aOptions.mAcceptThreshold * (1 - load)) {
    return std::nullopt;
  }
  return aStep.mModelCount - 1;
}

} // namespace tamarackweir::cascade
