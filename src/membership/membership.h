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
/// instances; fleet_test.cpp checks it.
struct options
{
  duration mRoundInterval = 250ms;      ///< interval between gossip rounds
  std::size_t mFanOut = 2;              ///< peers per round
  std::uint64_t mRemoteEvery = 4;       ///< each n-th round has a peer in another data centre
  duration mProbeWindow = 4s;           ///< window of the answered and probed counts
  duration mAnswerTimeout = 1s;         ///< a probe without an answer counts as failed after this
  std::size_t mMaxRumours = 8;          ///< rumours per message
  std::size_t mMaxRumourBytes = 400;    ///< rumour bytes per message
  double mRumourRate = 150;             ///< rumour bytes/s that are sent on average
  double mRumourBurst = 4000;           ///< rumour bytes that may be sent in one burst
  std::size_t mMaxPayload = 96;         ///< bytes of one rumour's payload
  std::size_t mMaxStoredRumours = 4096; ///< the oldest evidence is evicted first
  bool mRepair = true;                  ///< resend rumours to a peer whose digest differs
  duration mRetention = 10min;          ///< a rumour is removed at this age
  duration mUnlistedRetention = 60s;    ///< keep an unlisted peer this long after its last message
  duration mSupersededEpochTimeout = 10s; ///< ignore a replaced start epoch this long
};

/// What the settings module states about its revision; membership only transports it.
struct head_confirmation
{
  revision mHead;
  duration mAge = duration::max(); ///< `max()` means no confirmation
  bool mStoreReachable = false;
};

/// One message between instances: a small fixed part and a bounded number of rumours. An answer
/// omits sender, epoch and digest, because the probe's number identifies the sender.
struct gossip_message
{
  instance_id mSender;
  start_epoch mEpoch;
  head_confirmation mHead;
  bool mLeaving = false;       ///< the sender drains and takes no new tasks
  std::uint64_t mProbe = 0;    ///< requests an answer with this number; 0 requests none
  std::uint64_t mAnswerTo = 0; ///< the probe that this message answers; 0 if none
  std::uint32_t mDigest = 0;   ///< hash of the sender's rumours except evidence
  std::vector<rumour> mRumours;
};

/// Role of a process in the instance list.
enum class role : std::uint8_t
{
  Entry,
  Engine,
  Service,
};

/// One entry of the platform's instance list. The list lags; an epoch of 0 means unknown.
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

/// What this instance knows about another entry instance.
struct member
{
  instance_id mId;
  std::string mAddress;
  std::string mPeerAddress;
  data_centre_id mDataCentre;
  start_epoch mEpoch; ///< 0 until a message or the list contains it
  bool mListed = false;
  bool mLeaving = false;       ///< it drains, and may still answer
  bool mLeft = false;          ///< its process of `mEpoch` has ended
  time_point mLastMessageAt{}; ///< last message in `mEpoch`
  start_epoch mSupersededEpoch;
  time_point mSupersededAt{};
};

/// What this instance knows about a backend server.
struct server
{
  server_id mId;
  role mRole = role::Engine;
  std::string mAddress;
  data_centre_id mDataCentre;
  start_epoch mEpoch; ///< 0 until a report contains it
  bool mListedLeaving = false;
  start_epoch mListedLeavingEpoch; ///< epoch known when the list first marked it as leaving
  std::optional<start_epoch> mLeavingEpoch; ///< epoch reported as leaving by a rumour or the server
};

/// A stored rumour and how often it was sent.
struct stored_rumour
{
  rumour mRumour; ///< `mAge` is as of `mLearnedAt`
  time_point mLearnedAt{};
  std::uint32_t mHash = 0; ///< XORed into the digest
  std::uint32_t mSendCount = 0;
};

/// A probe sent within `options::mProbeWindow`.
struct probe
{
  std::uint64_t mNumber = 0;
  instance_id mPeer;
  time_point mSentAt{};
  bool mAnswered = false;
  bool mStoreReachable = false;
};

/// The membership state of one instance.
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

/// What the caller must do after an event: send the messages, and pass the new rumours to the other
/// modules.
struct actions
{
  std::vector<outgoing> mSend;
  std::vector<rumour> mNewRumours; ///< rumours that are new to this instance
  /// The sender's confirmation, for the settings module. Only an answer has an age, which includes
  /// the time since the probe was sent: a message that was queued while this process was paused
  /// must not look fresh. Of other messages only the revision is used.
  std::optional<head_confirmation> mHead;
  instance_id mHeadFrom; ///< who sent `mHead`
};

/// Probe counts for the freshness rule over the last `options::mProbeWindow`. Excludes probes that
/// may still be answered in time.
struct probe_counts
{
  std::size_t mCountedProbes = 0;
  std::size_t mAnsweredProbes = 0;
  std::size_t mAnsweredStoreReachable = 0; ///< answers from peers that reach the store
};

/// A state without members; its first round is due at `aNow`.
state Start(const options& aOptions, const instance_id& aSelf, start_epoch aEpoch,
            const data_centre_id& aDataCentre, time_point aNow);

/// Applies a new instance list. A member that has left, or a server that is leaving according to
/// gossip or its own answer, stays so in that epoch, whatever the list states.
void OnInstanceList(state& aState, const std::vector<listed_instance>& aList, time_point aNow);

/// Handles a message from a peer. `aHead` is this instance's confirmation, sent if the peer
/// requests an answer; `aFromAddress` is the peer address to which the answer is sent.
actions OnGossip(state& aState, const gossip_message& aMessage, const std::string& aFromAddress,
                 const head_confirmation& aHead, time_point aNow);

/// Sends the messages of a gossip round if one is due, and removes expired rumours. Must be called
/// at least every `options::mRoundInterval`.
actions Tick(state& aState, const head_confirmation& aHead, time_point aNow,
             std::mt19937_64& aRandom);

/// Starts to spread a rumour that originates here. Returns it in `mNewRumours` if it is new. Throws
/// `error` of kind `InvalidInput` if the payload exceeds the limit.
actions Spread(state& aState, const rumour& aRumour, time_point aNow);

/// Handles the epoch and leaving flag of a backend server's own report or answer. Spreads a rumour
/// if the server is leaving.
actions OnServerReport(state& aState, const server_id& aServer, start_epoch aEpoch, bool aLeaving,
                       time_point aNow);

/// Marks this instance as draining in all later messages.
void BeginLeaving(state& aState);

/// The last messages before the exit, which tell several peers that this instance has left. No
/// gossip is sent afterwards.
actions Leave(state& aState, const head_confirmation& aHead, time_point aNow,
              std::mt19937_64& aRandom);

/// Counts the probes and their answers for the freshness rule.
probe_counts CountProbes(const state& aState, time_point aNow);

/// Whether `aServer` takes no new work, as far as this instance knows.
bool IsLeaving(const server& aServer);

/// Members that may take tasks: neither left nor leaving, ordered by id, without this instance.
std::vector<const member*> LiveMembers(const state& aState);

/// Size of a message on the wire: protobuf fields, envelope, ZeroMQ frame and 40 bytes of TCP/IP
/// headers.
std::size_t WireBytes(const gossip_message& aMessage);

/// How often each of `aInstances` instances sends a rumour.
std::uint32_t SendsPerRumour(std::size_t aInstances);

} // namespace tamarackweir::membership
