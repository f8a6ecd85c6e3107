#include "overload/send_pace.h"

#include <algorithm>
#include <cmath>

namespace tamarackweir::overload {

namespace {

/// A rejection costs a few ms and a place that stays free costs an answer, so the pace is high
/// enough to meet rejections; see docs/design/waiting-room.md for other values.
constexpr double kRaise = 0.3; ///< part of the even part, per answer
/// Times the even part or the recent sends. A pace that begins too low refuses requests while
/// places are free; one that begins too high is lowered by rejections within a second.
constexpr double kStart = 6;
constexpr double kLower = 0.2;         ///< part of the pace, per rejection
constexpr double kMostRaise = 1.25;    ///< factor on the pace, per report of unused places
constexpr double kFullUse = 0.9;       ///< used share below which places are unused
constexpr double kLowUse = 0.5;        ///< used share below which nothing is held
constexpr double kLeastPart = 0.05;    ///< of the even part, so that the instance keeps probing
constexpr double kMostPart = 8;        ///< times the even part, or the recent sends
constexpr double kMinTokens = 12;      ///< requests that may be sent at once at a low pace
constexpr double kTokenSeconds = 0.02; ///< the same at a high one, as timers are not exact

double Seconds(duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

double TokensAt(const send_pace& aPace, time_point aNow)
{
  const double most = std::max(kMinTokens, aPace.mPerSecond * kTokenSeconds);
  return std::min(most, aPace.mTokens + aPace.mPerSecond * Seconds(aNow - aPace.mFilledAt));
}

double RecentSends(const send_pace& aPace, time_point aNow)
{
  return aPace.mRecentSends * std::exp(-std::max(0.0, Seconds(aNow - aPace.mSentAt)));
}

/// Factor on the steps of the pace, so that it changes as fast in an instance with many places as
/// in one with a quarter of a place, which gets an answer and a rejection much more seldom.
double StepOf(double aEven, const pace_basis& aBasis)
{
  constexpr double kFullSteps = 0.25; ///< places of an instance up to which the steps are whole
  return kFullSteps / std::max(kFullSteps, aEven * Seconds(aBasis.mAnswerTime));
}

void SetPace(send_pace& aPace, double aPerSecond, double aEven, time_point aNow)
{
  aPace.mTokens = TokensAt(aPace, aNow);
  aPace.mFilledAt = aNow;
  aPace.mPerSecond =
    std::clamp(aPerSecond, aEven * kLeastPart, kMostPart * std::max(aEven, aPace.mRecentSends));
}

} // namespace

double EvenPart(const place_view& aView, const pace_basis& aBasis)
{
  const double seconds = Seconds(aBasis.mAnswerTime);
  return seconds > 0 ? aView.mPlaces / seconds /
                         static_cast<double>(std::max<std::size_t>(1, aBasis.mInstances))
                     : 0;
}

void Observe(send_pace& aPace, const place_view& aView, const pace_basis& aBasis, time_point aNow)
{
  const double even = EvenPart(aView, aBasis);
  // A route without an answer yet knows no time of one, which says nothing about the places.
  if (even <= 0) {
    return;
  }
  const bool wasTaken = aPace.mTakenAt != time_point{} && aNow - aPace.mTakenAt <= kTakenMemory;
  if (aView.mAreTaken) {
    aPace.mTakenAt = aNow;
    if (!wasTaken) {
      aPace.mTokens = 1;
      aPace.mFilledAt = aNow;
      aPace.mReportedAt = aView.mReportedAt;
      SetPace(aPace, kStart * std::max(even, RecentSends(aPace, aNow)), even, aNow);
    }
    return;
  }
  if (!wasTaken || aView.mReportedAt <= aPace.mReportedAt) {
    return;
  }
  const bool wasRejected = aPace.mRejectedAt > aPace.mReportedAt;
  aPace.mReportedAt = aView.mReportedAt;
  if (wasRejected || aView.mUsedShare >= kFullUse) {
    return;
  }
  if (aView.mUsedShare < kLowUse) {
    aPace.mTakenAt = {};
    return;
  }
  SetPace(aPace, aPace.mPerSecond * std::min(kMostRaise, kFullUse / aView.mUsedShare), even, aNow);
}

bool IsHolding(const send_pace& aPace, const place_view& aView, time_point aNow)
{
  return aView.mPlaces > 0 && !aView.mIsAnyIdle && aPace.mPerSecond > 0 &&
         aPace.mTakenAt != time_point{} && aNow - aPace.mTakenAt <= kTakenMemory;
}

time_point NextSendAt(const send_pace& aPace, time_point aNow)
{
  const double lacking = 1 - TokensAt(aPace, aNow);
  if (lacking <= 0) {
    return aNow;
  }
  return aNow +
         std::chrono::ceil<duration>(std::chrono::duration<double>(lacking / aPace.mPerSecond));
}

void OnSent(send_pace& aPace, time_point aNow)
{
  aPace.mRecentSends = RecentSends(aPace, aNow) + 1;
  aPace.mSentAt = aNow;
  aPace.mTokens = std::max(0.0, TokensAt(aPace, aNow) - 1);
  aPace.mFilledAt = aNow;
}

void OnAnswered(send_pace& aPace, const place_view& aView, const pace_basis& aBasis)
{
  if (const double even = EvenPart(aView, aBasis); even > 0 && aPace.mPerSecond > 0) {
    aPace.mPerSecond = std::min(aPace.mPerSecond + kRaise * even * StepOf(even, aBasis),
                                kMostPart * std::max(even, aPace.mRecentSends));
  }
}

void OnRejected(send_pace& aPace, const place_view& aView, const pace_basis& aBasis,
                time_point aNow)
{
  aPace.mRejectedAt = aNow;
  if (const double even = EvenPart(aView, aBasis); even > 0 && aPace.mPerSecond > 0) {
    SetPace(aPace, aPace.mPerSecond * (1 - kLower * StepOf(even, aBasis)), even, aNow);
  }
}

} // namespace tamarackweir::overload
