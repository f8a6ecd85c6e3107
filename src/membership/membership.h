#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "membership/rumour.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace tamarackweir::membership {

/// Limits and intervals. The byte limits keep control traffic under 3 KB/s per instance at 370
/// instances; membership_test.cpp computes the sum.
struct options
{
  duration mRoundInterval = 250ms;      ///< interval between gossip rounds
  std::size_t mFanOut = 2;              ///< peers per round
  std::uint64_t mRemoteEvery = 4;       ///< each n-th round has a peer in another data centre
  duration mProbeWindow = 4s;           ///< window of the answered and probed counts
  duration mAnswerTimeout = 1s;         ///< a probe without an answer counts as failed after this
  std::size_t mMaxRumours = 8;          ///< rumours per message
  std::size_t mMaxRumourBytes = 400;    ///< rumour bytes per message
  double mRumourRate = 150;             ///< sustained rumour bytes/s sent
  double mRumourBurst = 4000;           ///< rumour bytes sent at once after a quiet time
  std::size_t mMaxPayload = 96;         ///< bytes of one rumour's payload
  std::size_t mMaxStoredRumours = 4096; ///< rumours held; the oldest evidence goes first
  bool mRepair = true;               ///< send finished rumours again to a peer whose digest differs
  duration mRetention = 10min;       ///< a rumour is forgotten at this age
  duration mUnlistedRetention = 60s; ///< keep a peer that gossips but is not in the list
  duration mSupersededEpochTimeout = 10s; ///< ignore a start epoch after another one replaced it
};

/// What the settings slice says about its revision; membership only carries it.
struct head_confirmation
{
  revision mHead;
  duration mAge = duration::max(); ///< `max()` is no confirmation
  bool mStoreReachable = false;
};

/// One message between instances: a small fixed part and a bounded number of rumours. An answer
/// leaves sender, epoch and digest out: the probe's number tells the sender.
struct gossip_message
{
  instance_id mSender;
  start_epoch mEpoch;
  head_confirmation mHead;
  bool mLeaving = false;       ///< the sender drains and takes no new duties
  std::uint64_t mProbe = 0;    ///< asks for an answer with this number; 0 asks for none
  std::uint64_t mAnswerTo = 0; ///< the probe that this message answers; 0 if none
  std::uint32_t mDigest = 0;   ///< hash of the sender's lasting rumours
  std::vector<rumour> mRumours;
};

/// Role of a process in the instance list.
enum class role : std::uint8_t
{
  Entry,
  Engine,
  Service,
};

/// One line of the platform's instance list. The list lags; an epoch of 0 is unknown.
struct listed_instance
{
  std::string mId;
  role mRole = role::Entry;
  std::string mAddress;
  std::string mPeerAddress;
  data_centre_id mDataCentre;
  bool mLeaving = false;
  start_epoch mEpoch;
};

/// An entry instance as this instance knows it.
struct member
{
  instance_id mId;
  std::string mAddress;
  std::string mPeerAddress;
  data_centre_id mDataCentre;
  start_epoch mEpoch; ///< 0 until a message or the list names it
  bool mListed = false;
  bool mLeaving = false;       ///< drains; may still answer
  bool mLeft = false;          ///< gone in `mEpoch`
  time_point mLastMessageAt{}; ///< last message in `mEpoch`
  start_epoch mSupersededEpoch;
  time_point mSupersededAt{};
};

/// A backend server as this instance knows it.
struct server
{
  server_id mId;
  role mRole = role::Engine;
  std::string mAddress;
  data_centre_id mDataCentre;
  start_epoch mEpoch; ///< 0 until a report names it
  bool mListedLeaving = false;
  start_epoch mListedLeavingEpoch; ///< epoch that was known when the list first said leaving
  std::optional<start_epoch> mLeavingEpoch; ///< epoch that a rumour or the server said leaves
};

/// A rumour held here and how often it was sent.
struct stored_rumour
{
  rumour mRumour; ///< its age counts from `mLearnedAt`
  time_point mLearnedAt{};
  std::uint32_t mHash = 0; ///< its part of the digest
  std::uint32_t mSendCount = 0;
};

/// A probe sent in the window.
struct probe
{
  std::uint64_t mNumber = 0;
  instance_id mPeer;
  time_point mSentAt{};
  bool mAnswered = false;
  bool mStoreReachable = false;
};

/// All of an instance's membership state.
struct state
{
  options mOptions;
  instance_id mSelf;
  start_epoch mEpoch;
  data_centre_id mDataCentre;
  bool mLeaving = false;
  std::map<instance_id, member> mMembers; ///< without this instance
  std::map<server_id, server> mServers;
  std::map<rumour_key, stored_rumour> mRumours;
  std::deque<probe> mProbes;
  std::uint64_t mRounds = 0;
  std::uint64_t mNextProbe = 1;
  time_point mNextRound{};
  double mRumourTokens = 0;
  time_point mTokensUpdatedAt{};
};

/// A message to send.
struct outgoing
{
  instance_id mTo;
  std::string mPeerAddress;
  gossip_message mMessage;
};

/// What the shell does after an event: send the messages, pass the news to the other slices.
struct actions
{
  std::vector<outgoing> mSend;
  std::vector<rumour> mNewRumours; ///< rumours that are new here
  /// The sender's confirmation, for the settings slice. Only an answer carries an age, which counts
  /// from the moment of the probe: a message that waited in a queue while this process was paused
  /// must not look fresh. From other messages only the revision is used.
  std::optional<head_confirmation> mHead;
  instance_id mHeadFrom; ///< who sent `mHead`
};

/// Counts of the freshness rule over the last `options::mProbeWindow`. Probes that may still be
/// answered in time are left out.
struct probe_counts
{
  std::size_t mProbed = 0;
  std::size_t mAnswered = 0;
  std::size_t mAnsweredStoreReachable = 0; ///< answering peers that reach the store
};

/// A state that knows nobody; its first round is due at `aNow`.
state Start(const options& aOptions, const instance_id& aSelf, start_epoch aEpoch,
            const data_centre_id& aDataCentre, time_point aNow);

/// Replaces what is known from the instance list. A member or server that gossip or its own answer
/// has declared gone stays gone in that epoch, whatever the list says.
void OnInstanceList(state& aState, const std::vector<listed_instance>& aList, time_point aNow);

/// Takes a message from a peer. `aHead` is the own confirmation, sent if the peer asks for an
/// answer; `aFromAddress` is the peer address to answer to.
actions OnGossip(state& aState, const gossip_message& aMessage, const std::string& aFromAddress,
                 const head_confirmation& aHead, time_point aNow);

/// Sends the messages of a gossip round where one is due, and forgets what has aged out. Call at
/// least every `options::mRoundInterval`.
actions Tick(state& aState, const head_confirmation& aHead, time_point aNow,
             std::mt19937_64& aRandom);

/// Starts to spread a rumour that this instance found out itself. Returns it as news if it is new.
/// Throws `error` of kind `InvalidInput` for a payload over the limit.
actions Spread(state& aState, const rumour& aRumour, time_point aNow);

/// Takes the epoch and leaving flag that a backend server's own report or answer carries, and
/// spreads a new leaving.
actions OnServerReport(state& aState, const server_id& aServer, start_epoch aEpoch, bool aLeaving,
                       time_point aNow);

/// Announces that this instance drains: later messages carry the flag.
void BeginLeaving(state& aState);

/// The last messages before the exit: "left" to several peers. No gossip is sent afterwards.
actions Leave(state& aState, const head_confirmation& aHead, time_point aNow,
              std::mt19937_64& aRandom);

/// Answered and probed counts for the freshness rule.
probe_counts CountProbes(const state& aState, time_point aNow);

/// Whether `aServer` takes no new work, as far as this instance knows.
bool IsLeaving(const server& aServer);

/// Members that may take duties: neither left nor leaving, in order of id, without this instance.
std::vector<const member*> LiveMembers(const state& aState);

/// Bytes of a message on the wire: protobuf fields, envelope, ZeroMQ frame and 40 bytes of TCP/IP
/// header.
std::size_t WireBytes(const gossip_message& aMessage);

/// How often each instance sends one rumour in a fleet of `aInstances`.
std::uint32_t SendsPerRumour(std::size_t aInstances);

} // namespace tamarackweir::membership
