#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "platform/table.h"
#include "settings/freshness.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace tamarackweir::settings {

/// Names one probe, so that its answer is matched with the time of its sending.
using probe_id = strong_type<struct probe_id_tag, std::uint64_t>;

/// The settings part of a gossip message: what the sender holds and how old its confirmation is.
struct revision_gossip
{
  instance_run mSender{};
  revision mHeld{}; ///< 0 while the sender has none
  /// Time since no revision above `mHeld` was known to be accepted; empty if it never was.
  std::optional<duration> mConfirmationAge{};
  /// Age and outcome of the sender's last finished store read.
  std::optional<duration> mReadAge{};
  bool mStoreReachable = false;
  probe_id mProbe{};      ///< of the prober; its answer returns it
  bool mIsAnswer = false; ///< answers are not answered
};

/// Read the head row, or with `mContent` the tree of a revision, from the table.
struct read_store
{
  platform::read_request mRequest{};
  std::optional<revision> mContent{};
  time_point mSentAt{}; ///< to hand to `OnHeadRead` with the answer
};

/// Send a gossip message.
struct send_gossip
{
  instance_id mTo{};
  revision_gossip mMessage{};
};

/// Ask a peer for the tree of a revision.
struct fetch_revision
{
  instance_id mFrom{};
  revision mRevision{};
};

/// Use this tree from now on. The shell parses it and replaces its copy.
struct adopt_revision
{
  revision mRevision{};
  nlohmann::json mTree;
};

using propagation_action = std::variant<read_store, send_gossip, fetch_revision, adopt_revision>;
using propagation_actions = std::vector<propagation_action>;

/// Periods and limits of propagation.
struct propagation_options
{
  duration mGossipPeriod = std::chrono::milliseconds(250);
  std::size_t mFanOut = 2;
  /// Reads of the head per second that the whole fleet makes (design, section 4).
  double mFleetReadsPerSecond = 8;
  duration mMinPollInterval = std::chrono::seconds(1);
  /// An instance whose confirmation is older polls every `mMinPollInterval`. Above the ages at rest
  /// (see the test with 370 instances), and so far below 4 s that an outage of the store is known
  /// before confirmations expire.
  duration mUrgentAge = std::chrono::seconds(2);
  /// Each instance adds a random part of this, so that the first ones to ask spare the others it.
  duration mUrgentSpread = std::chrono::milliseconds(500);
  /// A fetch without an answer for this long is made again, from the next peer that announces the
  /// revision or from the same one. With 20% loss 36 in 100 fetches fail; when they were repeated
  /// only after `mFetchTimeout`, 370 instances needed up to 6.8 s.
  duration mFetchRetry = std::chrono::milliseconds(200);
  /// Content that no peer returned within this time is fetched from the table.
  duration mFetchTimeout = std::chrono::milliseconds(500);
  /// A head read without an answer for this long counts as failed; a late answer still counts for
  /// the moment it was sent.
  duration mReadTimeout = std::chrono::milliseconds(500);
  freshness_options mFreshness{};
  /// Switches the rule "only higher revisions" off, so that tests can show what it prevents.
  bool mOnlyHigher = true;
  /// Takes the time of arrival for the time of a confirmation, so that tests can show what
  /// counting from the sending of the probe prevents.
  bool mCountFromArrival = false;
};

/// A fetch of a revision's content.
struct pending_fetch
{
  revision mRevision{};
  std::optional<instance_id> mFrom{}; ///< empty: from the table
  time_point mSince{};                ///< of the first attempt
  time_point mAskedAt{};              ///< of the last attempt
};

/// An instance's view of the settings' revisions.
struct propagation_state
{
  instance_run mSelf{};
  revision mHeld{}; ///< 0: none yet, the instance is not ready
  nlohmann::json mTree;
  freshness_state mFreshness{};
  std::optional<pending_fetch> mFetch{};
  std::optional<time_point> mReadSentAt{}; ///< the latest head read in flight
  std::optional<time_point> mLastPoll{};
  time_point mNextPoll{};  ///< the epoch of the clock: at once
  duration mUrgentExtra{}; ///< the random part of `mUrgentSpread`
  time_point mNextGossip{};
  std::uint64_t mLastProbe = 0;
  std::map<probe_id, std::pair<instance_id, time_point>> mProbes{}; ///< unanswered ones
};

/// The interval of head polls with this many live entry instances.
duration PollInterval(std::size_t aLiveInstances, const propagation_options& aOptions = {});

/// Whether the instance has settings to serve with.
inline bool IsReady(const propagation_state& aState)
{
  return aState.mHeld != revision(0);
}

/// Does what is due: polls the head, probes `mFanOut` random peers, and turns to the table for a
/// fetch that a peer did not answer. `aPeers` are the other live entry instances; it must not
/// contain the instance itself.
propagation_actions OnTick(propagation_state& aState, const std::vector<instance_id>& aPeers,
                           time_point aNow, std::mt19937_64& aRandom,
                           const propagation_options& aOptions = {});

/// Takes the answer of the head read that was sent at `aSentAt`.
propagation_actions OnHeadRead(propagation_state& aState, const platform::read_result& aResult,
                               time_point aSentAt, time_point aNow,
                               const propagation_options& aOptions = {});

/// Takes a gossip message of a peer: answers a probe, confirms the held revision from an answer,
/// and fetches a higher revision.
propagation_actions OnGossip(propagation_state& aState, const revision_gossip& aMessage,
                             time_point aNow, const propagation_options& aOptions = {});

/// Takes a tree that a peer or the table returned, after the caller has parsed it; null if there
/// is none or it does not parse. A peer may return a higher revision than the one asked for.
propagation_actions OnContent(propagation_state& aState, revision aRevision,
                              const nlohmann::json& aTree, time_point aNow,
                              const propagation_options& aOptions = {});

/// Takes a change that this instance itself had accepted, and makes gossip due at once. The
/// revision may be an older one that a retry found accepted; it confirms nothing.
propagation_actions OnAccepted(propagation_state& aState, revision aRevision,
                               const nlohmann::json& aTree, time_point aNow,
                               const propagation_options& aOptions = {});

/// The verdict at the moment of a dispatch.
verdict CurrentVerdict(const propagation_state& aState, time_point aNow,
                       const propagation_options& aOptions = {});

/// Probes up to `aCount` of these instances now. An instance that waits for a revision to be in
/// force uses it, because random gossip takes minutes to meet every peer.
propagation_actions Probe(propagation_state& aState, const std::vector<instance_id>& aPeers,
                          std::size_t aCount, time_point aNow);

/// Which runs of instances have reported which held revision.
struct enforcement_state
{
  std::map<instance_run, revision> mHeld{};
};

/// Records what an instance reports to hold.
void OnReport(enforcement_state& aState, const instance_run& aInstance, revision aHeld);

/// The live instances that have not reported `aRevision` or a higher one; none means that it is in
/// force everywhere. Runs that are not live are forgotten.
std::vector<instance_run> Unconfirmed(enforcement_state& aState,
                                      const std::set<instance_run>& aLive, revision aRevision);

} // namespace tamarackweir::settings
