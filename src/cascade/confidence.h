#pragma once

#include <cstddef>
#include <optional>

namespace tamarackweir::cascade {

/// Options of the choice between models by their own confidence.
struct confidence_options
{
  double mAccept = 50; ///< percent; an answer at or above it is delivered when engines are idle
  double mAcceptUnderLoad = 20; ///< the same when engines are fully loaded
};

/// State of one request's walk through the models.
struct confidence_step
{
  std::size_t mSize = 0;          ///< index of the model that answers, smallest first
  std::size_t mSizes = 1;         ///< number of models
  std::optional<int> mConfidence; ///< percent, of that model in this answer; absent: not told
  double mLoad = 0;               ///< of the engines, from 0 (idle) to 1
  bool mMayRunAgain = false;      ///< attempts, budget and time allow another run
};

/// The model to ask instead, or nothing if the answer is to be delivered.
///
/// A confident small model is taken at its word. An unsure one gives way to the largest: the models
/// between cost most of its price again where they fail too.
std::optional<std::size_t> NextSize(const confidence_step& aStep,
                                    const confidence_options& aOptions);

} // namespace tamarackweir::cascade
