#pragma once

#include <cstddef>
#include <optional>

namespace tamarackweir::cascade {

/// Options of the escalation between models by the confidence that they report.
struct confidence_options
{
  /// Percent; minimum to deliver an answer when engines are idle. The model itself takes an answer
  /// below it for more likely weak than good.
  double mAcceptThreshold = 50;
};

/// State of one request's escalation through the models.
struct confidence_step
{
  std::size_t mModelIndex = 0;    ///< index of the model that answered, smallest first
  std::size_t mModelCount = 1;    ///< number of models
  std::optional<int> mConfidence; ///< percent; reported with the answer, if at all
  double mLoad = 0;               ///< share of time in which the engines are busy, from 0 to 1
  bool mMayRunAgain = false;      ///< attempts, retry budget and time allow another run
};

/// Returns the index of the model to run next, or nothing if the answer is to be delivered.
///
/// Escalates directly to the largest model if the confidence is too low: a model in between that
/// fails as well would add most of the largest model's cost. The busier the engines are, the more
/// callers wait for the engine time that a larger model takes, so the lower a confidence suffices.
std::optional<std::size_t> NextModel(const confidence_step& aStep,
                                     const confidence_options& aOptions);

} // namespace tamarackweir::cascade
