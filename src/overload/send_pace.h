#pragma once

#include "base/clock.h"

#include <cstddef>

namespace tamarackweir::overload {

/// What an instance knows of the places of a service's usable servers.
struct place_view
{
  int mPlaces = 0;          ///< of all of them; 0: not known, and then nothing is held
  bool mAreTaken = false;   ///< at all of them, as far as known
  bool mIsAnyIdle = false;  ///< one of them has no request, as far as known
  double mUsedShare = 0;    ///< requests at the servers per place, as last reported
  time_point mReportedAt{}; ///< of the latest load; default: no load is known
};

/// What the usual pace follows from.
struct pace_basis
{
  duration mAnswerTime{}; ///< usual time of an answer; 0: not known, and then nothing is held
  std::size_t mInstances = 1;
};

/// The rate at which an instance sends requests to a service while its places are taken.
///
/// It is a rate, and no number of requests in flight: 90 instances share 24 places, so the part of
/// one is a quarter of a place. It grows with each answer and falls with each rejection as full.
struct send_pace
{
  double mPerSecond = 0;    ///< 0: not known yet
  double mTokens = 0;       ///< requests that may be sent at once
  time_point mFilledAt{};   ///< when `mTokens` was brought up to date
  time_point mTakenAt{};    ///< when all places were last known to be taken; default: never
  time_point mReportedAt{}; ///< of the last load that was taken into account
  time_point mRejectedAt{}; ///< last own rejection
  double mRecentSends = 0;  ///< sends per second, smoothed
  time_point mSentAt{};     ///< when `mRecentSends` was brought up to date
};

/// For how long places are taken after they were last known to be: until about two loads later.
inline constexpr duration kTakenMemory = 1s;

/// This instance's part of the rate at which places become free, if all instances have equal parts.
double EvenPart(const place_view& aView, const pace_basis& aBasis);

/// Takes the knowledge of the moment into account. The pace begins with the larger of the even part
/// and what the instance sent so far.
void Observe(send_pace& aPace, const place_view& aView, const pace_basis& aBasis, time_point aNow);

/// Whether requests are sent at the pace now. If not, all are sent at once.
bool IsHolding(const send_pace& aPace, const place_view& aView, time_point aNow);

/// Earliest time for a further request at the pace.
time_point NextSendAt(const send_pace& aPace, time_point aNow);

/// Records a send.
void OnSent(send_pace& aPace, time_point aNow);

/// Records an answer of a server.
void OnAnswered(send_pace& aPace, const place_view& aView, const pace_basis& aBasis);

/// Records that a server rejected a request as full.
void OnRejected(send_pace& aPace, const place_view& aView, const pace_basis& aBasis,
                time_point aNow);

} // namespace tamarackweir::overload
