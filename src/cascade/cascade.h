#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <compare>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace tamarackweir::cascade {

/// Key of the estimates: a client account's requests of one kind.
struct traffic_key
{
  account_id mAccount;
  std::string mKind;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the compiler's comparison with 0
  auto operator<=>(const traffic_key&) const = default;
};

/// Sums over the ratings of one model's answers to one kind of request, with exponential decay. The
/// sums of several instances can be added.
struct evidence
{
  double mRated = 0;         ///< number of rated answers
  double mScore = 0;         ///< sum of their scores
  double mAccepted = 0;      ///< number rated at or above the acceptance score
  double mAcceptedScore = 0; ///< sum of the scores of accepted answers
};

/// Evidence per traffic key and model.
using evidence_map = std::map<traffic_key, std::map<model_id, evidence>>;

/// Parameters of the estimates and the controller.
struct options
{
  double mExploration = 0.02; ///< share of requests sent to a random stage
  double mAcceptScore = 0.5;  ///< a lower rating rejects an answer, except the last stage's
  duration mHalfLife = std::chrono::hours(1); ///< half-life of evidence
  /// Weight of the prior as a number of ratings. The prior is the quality target, so that a stage
  /// without evidence is tried and a few bad ratings stop that.
  double mPriorWeight = 5;
  double mMultiplierStep = 0.2;  ///< step of the controller, relative to the cost of the last stage
  double mInitialMultiplier = 2; ///< relative to the cost of the last stage
  double mMargin = 0.001;        ///< added to the quality target to allow for noise
  double mCorrectionGain = 0.0003; ///< a correction builds up over about 3000 ratings
  double mMaxCorrection = 0.03;
  duration mOutageAfter = 30s;         ///< time until missing ratings are an outage
  std::uint64_t mMinOutageAnswers = 5; ///< answers waiting for a rating, at least
};

/// One stage of a cascade.
struct stage
{
  model_id mModel;
  micro_cost mCost; ///< expected cost of one request
};

/// How a rated answer was delivered to the caller. Answers accepted by their rating are all rated,
/// others only in part, so their ratings are weighted differently in the mean delivered quality.
enum class delivery
{
  None,             ///< not delivered, because a later stage answered, or unknown
  Accepted,         ///< `IsFinal` accepted it by its rating
  RatingTimedOut,   ///< `IsFinal` accepted it without a rating
  RatingNotAwaited, ///< delivered without waiting for a rating: the plan's only or last answer
};

/// Number of answers delivered in one way and number of their ratings, with exponential decay.
struct rating_coverage
{
  double mDeliveredAnswers = 0;
  double mRatedAnswers = 0;
};

/// The controller of one client account.
struct controller
{
  double mMultiplier = 0; ///< Lagrange multiplier: price of one unit of quality, in micro-cost
  bool mStarted = false;
  double mQualityGoal = 0; ///< quality target plus margin of the last request
  /// Added to the goal: the integral of the deviation of delivered answers' ratings from the goal.
  double mCorrection = 0;
  rating_coverage mRatingTimedOut;
  rating_coverage mRatingNotAwaited;
};

/// The last evidence received from a peer.
struct peer_evidence
{
  std::uint64_t mSequence = 0;
  evidence_map mEvidence;
};

/// State of the cascade in one instance.
struct state
{
  options mOptions;
  evidence_map mOwnEvidence;
  std::uint64_t mSequence = 0; ///< incremented for each snapshot sent
  std::map<instance_id, peer_evidence> mPeers;
  evidence_map mStoredEvidence; ///< loaded from the table; used until a peer sends a snapshot
  evidence_map mTotalEvidence;  ///< own and peers' evidence, summed on each tick
  std::map<account_id, controller> mControllers;
  double mInTimeShare = 0.5;    ///< share of ratings that arrive while the caller can wait
  time_point mFirstUnratedAt{}; ///< time of the first answer sent for rating since the last rating
  std::uint64_t mUnratedAnswers = 0; ///< number of answers sent for rating since the last rating
  bool mOutage = false;              ///< rating outage: estimates don't decay, no exploration
  time_point mLastDecay{};
};

/// Plan for one request: the first stage, and the stage to use if its answer is rejected.
struct plan
{
  std::size_t mFirst = 0;
  std::optional<std::size_t> mNext; ///< absent: the first answer is final
  bool mExplores = false;
  double mQualityTarget = 0; ///< target used to choose the plan
};

/// Chooses the plan that minimises cost - multiplier * quality, and adjusts the multiplier by the
/// difference between the quality target and the estimated quality of the chosen plan.
///
/// A stage of cost c is tried before one of cost C only if its acceptance rate exceeds c/C. In a
/// rating outage the controller continues with the frozen estimates, which keeps the mix of plans
/// that met the target; a key with little evidence then uses the last stage.
/// \param aStages stages that the account may use, cheapest first; at least one
plan Choose(state& aState, const traffic_key& aKey, const std::vector<stage>& aStages,
            double aQualityTarget, std::mt19937_64& aRandom, time_point aNow);

/// Returns whether the first answer is final. Must be called once for each first answer.
/// \param aScore the rating, or nothing if it did not arrive while the caller could wait; the
/// answer is then final unless the expected gain in quality justifies the cost of escalation.
bool IsFinal(state& aState, const traffic_key& aKey, const std::vector<stage>& aStages,
             const plan& aPlan, std::optional<double> aScore);

/// Records that an answer was sent to the rating service.
void OnRatingRequested(state& aState, time_point aNow);

/// Handles a rating, which may be late. Ignores a score outside 0..1.
/// \param aDelivery how the answer was delivered; ratings of delivered answers correct the goal
void OnRating(state& aState, const traffic_key& aKey, const model_id& aModel, double aScore,
              time_point aNow, delivery aDelivery = delivery::None);

/// Decays evidence, detects a rating outage and sums the evidence of this instance and its peers.
/// Called once a second.
void OnTick(state& aState, time_point aNow);

/// Returns the instance's own evidence with a new sequence number, to be sent to peers.
peer_evidence TakeSnapshot(state& aState);

/// Stores a peer's snapshot; ignores one that is not newer than the stored one.
void OnSnapshot(state& aState, const instance_id& aFrom, const peer_evidence& aSnapshot);

/// Removes the evidence of a peer that has left permanently.
void OnPeerGone(state& aState, const instance_id& aPeer);

/// Returns the value of the row `cascade/<owner>`: the summed evidence.
nlohmann::json SaveRow(const state& aState);

/// Loads the stored evidence from a row. Throws `error` of kind `InvalidInput` if it is malformed.
void LoadRow(state& aState, const nlohmann::json& aRow);

} // namespace tamarackweir::cascade
