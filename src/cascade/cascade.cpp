#include "cascade/cascade.h"

#include "base/error.h"

#include <algorithm>
#include <cmath>

namespace tamarackweir::cascade {

using nlohmann::json;

namespace {

/// Smoothing factor of the share of ratings in time, which averages about the last 50 answers.
constexpr double kInTimeSmoothing = 0.02;
/// Decay of a rating coverage per delivered answer, which averages about the last 2000 answers.
constexpr double kCoverageDecay = 0.9995;
constexpr double kMaxRatingWeight = 3;

struct estimate
{
  double mQuality = 0;
  double mAcceptance = 0;
  double mAcceptedQuality = 0;
  double mRated = 0;
};

const std::map<model_id, evidence>& EvidenceOf(const state& aState, const traffic_key& aKey)
{
  static const std::map<model_id, evidence> noEvidence;
  const auto key = aState.mTotalEvidence.find(aKey);
  return key == aState.mTotalEvidence.end() ? noEvidence : key->second;
}

estimate Estimate(const options& aOptions, const std::map<model_id, evidence>& aEvidence,
                  const model_id& aModel, double aPrior)
{
  evidence observed;
  if (const auto model = aEvidence.find(aModel); model != aEvidence.end()) {
    observed = model->second;
  }
  const double weight = aOptions.mPriorWeight;
  estimate result;
  result.mRated = observed.mRated;
  result.mQuality = (observed.mScore + weight * aPrior) / (observed.mRated + weight);
  result.mAcceptance = (observed.mAccepted + weight * aPrior) / (observed.mRated + weight);
  result.mAcceptedQuality = (observed.mAcceptedScore + weight * std::max(result.mQuality, aPrior)) /
                            (observed.mAccepted + weight);
  return result;
}

double Cost(const stage& aStage)
{
  return static_cast<double>(aStage.mCost.Value());
}

/// Returns whether the expected gain in quality justifies running a more expensive stage if no
/// rating arrived in time.
bool IsEscalationWorthwhile(double aMultiplier, const estimate& aFirst, const estimate& aNext,
                            double aNextCost)
{
  return aMultiplier * (aNext.mQuality - aFirst.mQuality) > aNextCost;
}

struct candidate_plan
{
  plan mPlan;
  double mCost = 0;
  double mQuality = 0;
};

std::vector<candidate_plan> CandidatePlans(const state& aState, const std::vector<stage>& aStages,
                                           const std::vector<estimate>& aEstimates,
                                           double aMultiplier)
{
  std::vector<candidate_plan> candidates;
  candidates.reserve(aStages.size() * (aStages.size() + 1) / 2);
  for (std::size_t i = 0; i < aStages.size(); ++i) {
    const estimate& first = aEstimates[i];
    candidates.push_back({ { i, std::nullopt, false, 0 }, Cost(aStages[i]), first.mQuality });
    for (std::size_t j = i + 1; j < aStages.size(); ++j) {
      if (first.mAcceptance * Cost(aStages[j]) <= Cost(aStages[i])) {
        continue;
      }
      const estimate& next = aEstimates[j];
      const double rejectedShare = 1 - first.mAcceptance;
      const double lateShare = 1 - aState.mInTimeShare;
      const bool escalatesLate = IsEscalationWorthwhile(aMultiplier, first, next, Cost(aStages[j]));
      const double escalatedShare =
        aState.mInTimeShare * rejectedShare + (escalatesLate ? lateShare : 0);
      const double quality = aState.mInTimeShare * (first.mAcceptance * first.mAcceptedQuality +
                                                    rejectedShare * next.mQuality) +
                             lateShare * (escalatesLate ? next.mQuality : first.mQuality);
      candidates.push_back(
        { { i, j, false, 0 }, Cost(aStages[i]) + escalatedShare * Cost(aStages[j]), quality });
    }
  }
  return candidates;
}

void Add(evidence_map& aTotal, const evidence_map& aPart)
{
  for (const auto& [key, models] : aPart) {
    for (const auto& [model, part] : models) {
      evidence& sum = aTotal[key][model];
      sum.mRated += part.mRated;
      sum.mScore += part.mScore;
      sum.mAccepted += part.mAccepted;
      sum.mAcceptedScore += part.mAcceptedScore;
    }
  }
}

void Scale(evidence_map& aEvidence, double aFactor)
{
  for (auto& [key, models] : aEvidence) {
    for (auto& [model, sums] : models) {
      sums.mRated *= aFactor;
      sums.mScore *= aFactor;
      sums.mAccepted *= aFactor;
      sums.mAcceptedScore *= aFactor;
    }
  }
}

/// Returns the number of delivered answers that one rating represents.
double RatingWeight(controller& aController, delivery aDelivery)
{
  if (aDelivery == delivery::Accepted) {
    return 1;
  }
  rating_coverage& coverage = aDelivery == delivery::RatingTimedOut ? aController.mRatingTimedOut
                                                                    : aController.mRatingNotAwaited;
  coverage.mRatedAnswers += 1;
  // Ratings arrive late, so the first few would each represent too many answers.
  return std::clamp(coverage.mDeliveredAnswers / coverage.mRatedAnswers, 1.0, kMaxRatingWeight);
}

void CountDelivered(rating_coverage& aCoverage)
{
  aCoverage.mDeliveredAnswers = aCoverage.mDeliveredAnswers * kCoverageDecay + 1;
  aCoverage.mRatedAnswers *= kCoverageDecay;
}

} // namespace

plan Choose(state& aState, const traffic_key& aKey, const std::vector<stage>& aStages,
            double aQualityTarget, std::mt19937_64& aRandom, time_point /*aNow*/)
{
  if (aStages.empty()) {
    throw error(error_kind::InvalidInput,
                "the cascade has no stage that the client account may use",
                "allow the client account to use one of the cascade's models");
  }
  const double highestCost = Cost(aStages.back());
  controller& control = aState.mControllers[aKey.mAccount];
  if (!control.mStarted) {
    control.mStarted = true;
    control.mMultiplier = aState.mOptions.mInitialMultiplier * highestCost;
  }
  std::vector<estimate> estimates;
  estimates.reserve(aStages.size());
  double rated = 0;
  const auto& known = EvidenceOf(aState, aKey);
  for (const stage& candidate : aStages) {
    estimates.push_back(Estimate(aState.mOptions, known, candidate.mModel, aQualityTarget));
    rated += estimates.back().mRated;
  }
  candidate_plan chosen;
  std::uniform_real_distribution<double> uniform;
  if (aState.mOutage && rated < aState.mOptions.mPriorWeight) {
    return { aStages.size() - 1, std::nullopt, false, aQualityTarget };
  }
  if (!aState.mOutage && uniform(aRandom) < aState.mOptions.mExploration) {
    const std::size_t randomStage =
      std::uniform_int_distribution<std::size_t>(0, aStages.size() - 1)(aRandom);
    chosen = { { randomStage, std::nullopt, true, 0 },
               Cost(aStages[randomStage]),
               estimates[randomStage].mQuality };
  } else {
    const auto candidates = CandidatePlans(aState, aStages, estimates, control.mMultiplier);
    chosen = *std::min_element(candidates.begin(), candidates.end(),
                               [&](const candidate_plan& aLeft, const candidate_plan& aRight) {
                                 return aLeft.mCost - control.mMultiplier * aLeft.mQuality <
                                        aRight.mCost - control.mMultiplier * aRight.mQuality;
                               });
  }
  // Choosing the highest estimates makes the estimates of chosen plans too high on average; the
  // correction by ratings of delivered answers compensates for this bias.
  control.mQualityGoal = aQualityTarget + aState.mOptions.mMargin;
  const double qualityGap = control.mQualityGoal + control.mCorrection - chosen.mQuality;
  // At this price even the most expensive stage is worth a gain in quality of 0.01.
  const double maxMultiplier = 100 * highestCost;
  control.mMultiplier =
    std::clamp(control.mMultiplier + aState.mOptions.mMultiplierStep * highestCost * qualityGap,
               0.0, maxMultiplier);
  chosen.mPlan.mQualityTarget = aQualityTarget;
  return chosen.mPlan;
}

bool IsFinal(state& aState, const traffic_key& aKey, const std::vector<stage>& aStages,
             const plan& aPlan, std::optional<double> aScore)
{
  controller& control = aState.mControllers[aKey.mAccount];
  if (!aPlan.mNext) {
    CountDelivered(control.mRatingNotAwaited);
    return true;
  }
  aState.mInTimeShare += kInTimeSmoothing * ((aScore ? 1.0 : 0.0) - aState.mInTimeShare);
  const stage& next = aStages[*aPlan.mNext];
  const auto& known = EvidenceOf(aState, aKey);
  const bool isFinal =
    aScore ? *aScore >= aState.mOptions.mAcceptScore
           : !IsEscalationWorthwhile(
               control.mMultiplier,
               Estimate(aState.mOptions, known, aStages[aPlan.mFirst].mModel, aPlan.mQualityTarget),
               Estimate(aState.mOptions, known, next.mModel, aPlan.mQualityTarget), Cost(next));
  if (!isFinal) {
    CountDelivered(control.mRatingNotAwaited);
  } else if (!aScore) {
    CountDelivered(control.mRatingTimedOut);
  }
  return isFinal;
}

void OnRatingRequested(state& aState, time_point aNow)
{
  if (aState.mUnratedAnswers++ == 0) {
    aState.mFirstUnratedAt = aNow;
  }
}

void OnRating(state& aState, const traffic_key& aKey, const model_id& aModel, double aScore,
              time_point aNow, delivery aDelivery)
{
  if (!(aScore >= 0 && aScore <= 1)) {
    return;
  }
  aState.mUnratedAnswers = 0;
  if (aState.mOutage) {
    aState.mOutage = false;
    aState.mLastDecay = aNow;
  }
  evidence& own = aState.mOwnEvidence[aKey][aModel];
  own.mRated += 1;
  own.mScore += aScore;
  if (aScore >= aState.mOptions.mAcceptScore) {
    own.mAccepted += 1;
    own.mAcceptedScore += aScore;
  }
  if (aDelivery != delivery::None) {
    controller& control = aState.mControllers[aKey.mAccount];
    const options& settings = aState.mOptions;
    const double gain = settings.mCorrectionGain * RatingWeight(control, aDelivery);
    control.mCorrection = std::clamp(control.mCorrection + gain * (control.mQualityGoal - aScore),
                                     -settings.mMaxCorrection, settings.mMaxCorrection);
  }
}

void OnTick(state& aState, time_point aNow)
{
  const options& settings = aState.mOptions;
  aState.mOutage = aState.mOutage || (aState.mUnratedAnswers >= settings.mMinOutageAnswers &&
                                      aNow - aState.mFirstUnratedAt >= settings.mOutageAfter);
  if (!aState.mOutage) {
    const double halfLives = static_cast<double>((aNow - aState.mLastDecay).count()) /
                             static_cast<double>(settings.mHalfLife.count());
    const double factor = std::exp2(-std::max(0.0, halfLives));
    Scale(aState.mOwnEvidence, factor);
    for (auto& [peer, received] : aState.mPeers) {
      Scale(received.mEvidence, factor);
    }
  }
  aState.mLastDecay = aNow;
  aState.mTotalEvidence = aState.mOwnEvidence;
  for (const auto& [peer, received] : aState.mPeers) {
    Add(aState.mTotalEvidence, received.mEvidence);
  }
  if (aState.mPeers.empty()) {
    Add(aState.mTotalEvidence, aState.mStoredEvidence);
  }
}

peer_evidence TakeSnapshot(state& aState)
{
  return { ++aState.mSequence, aState.mOwnEvidence };
}

void OnSnapshot(state& aState, const instance_id& aFrom, const peer_evidence& aSnapshot)
{
  peer_evidence& received = aState.mPeers[aFrom];
  if (aSnapshot.mSequence > received.mSequence) {
    received = aSnapshot;
  }
}

void OnPeerGone(state& aState, const instance_id& aPeer)
{
  aState.mPeers.erase(aPeer);
}

json SaveRow(const state& aState)
{
  json rows = json::array();
  for (const auto& [key, models] : aState.mTotalEvidence) {
    for (const auto& [model, sum] : models) {
      rows.push_back({ { "account", key.mAccount.Value() },
                       { "kind", key.mKind },
                       { "model", model.Value() },
                       { "rated", sum.mRated },
                       { "score", sum.mScore },
                       { "accepted", sum.mAccepted },
                       { "accepted_score", sum.mAcceptedScore } });
    }
  }
  return { { "evidence", rows } };
}

void LoadRow(state& aState, const json& aRow)
{
  try {
    evidence_map seed;
    for (const json& entry : aRow.at("evidence")) {
      seed[{ account_id(entry.at("account")), entry.at("kind") }][model_id(entry.at("model"))] = {
        entry.at("rated"), entry.at("score"), entry.at("accepted"), entry.at("accepted_score")
      };
    }
    aState.mStoredEvidence = std::move(seed);
  } catch (const json::exception& problem) {
    throw error(error_kind::InvalidInput,
                std::string("the cascade row is malformed: ") + problem.what(),
                "remove the row; the estimates are then learnt again from ratings");
  }
}

} // namespace tamarackweir::cascade
