#pragma once

#include "billing/bill.h"
#include "billing/billing.h"
#include "platform/memory_table.h"

#include <functional>
#include <random>
#include <set>

namespace tamarackweir::billing::test {

/// What the caller of one request received.
struct caller_answer
{
  std::string mInstance;
  std::uint64_t mEpoch = 0;
  request_id mId;
  bool mAnswered = false;
  bool mAtRisk = false;
};

/// Simulates instances, an unreliable network, a table and an object store on a manual clock.
struct simulation
{
  struct node
  {
    state mState;
    bool mAlive = true;
    bool mDisconnected = false; ///< messages to and from peers are lost
    time_point mPausedUntil{};
    std::map<sequence_number, std::size_t> mAnswerIndexes;
  };
  enum class store_fault
  {
    None,
    Down,
    LoseAnswer,
  };

  platform::memory_table mTable;
  std::map<std::string, std::string> mObjects;
  store_fault mObjectFault = store_fault::None;
  std::uint64_t mObjectWrites = 0;
  time_point mNow{};
  duration mStep = 5ms;
  std::mt19937_64 mRandom{ 1 };
  double mLossRate = 0;      ///< of messages between instances and of store replies
  double mDuplicateRate = 0; ///< of messages between instances
  duration mDelay = 1ms;
  duration mJitter{}; ///< reorders messages
  options mOptions;
  std::uint64_t mNextEpoch = 100;
  std::map<std::string, node> mNodes;
  std::set<origin_id> mAnnouncedRemoved;
  std::multimap<time_point, std::function<void()>> mEvents;
  std::vector<caller_answer> mAnswers;
  std::map<request_id, record> mExpected; ///< record expected for each request

  bool Chance(double aRate)
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom) < aRate;
  }

  duration Delay()
  {
    return mDelay + (mJitter > duration{} ? duration(mRandom() % mJitter.count()) : duration{});
  }

  void Start(const std::string& aName, const std::string& aDataCentre)
  {
    const origin_id id{ instance_id(aName), start_epoch(mNextEpoch++) };
    mNodes[aName] = { .mState = billing::Start(mOptions, id, data_centre_id(aDataCentre), mNow),
                      .mAnswerIndexes = {} };
    AnnouncePeers();
  }

  /// Sends each live instance the list of live instances that are not announced as removed.
  void AnnouncePeers()
  {
    std::vector<peer> peers;
    for (const auto& [name, at] : mNodes) {
      if (at.mAlive && !mAnnouncedRemoved.contains(at.mState.mSelf)) {
        peers.push_back({ at.mState.mSelf, at.mState.mDataCentre });
      }
    }
    for (auto& [name, at] : mNodes) {
      if (at.mAlive) {
        actions out;
        OnPeers(at.mState, peers, mNow, out);
        Perform(name, out);
      }
    }
  }

  /// Reports to all instances that this run of an instance was removed, correctly or not.
  void AnnounceRemoved(const origin_id& aGone)
  {
    mAnnouncedRemoved.insert(aGone);
    AnnouncePeers();
    for (auto& [name, at] : mNodes) {
      if (at.mAlive && at.mState.mSelf != aGone) {
        actions out;
        OnOriginRemoved(at.mState, aGone, mNow, out);
        Perform(name, out);
      }
    }
  }

  void Kill(const std::string& aName) { mNodes.at(aName).mAlive = false; }

  record MakeExpectedRecord(const request_id& aId)
  {
    const bool kitamura = aId.Value().back() % 2 == 0;
    const auto tokens = static_cast<std::int64_t>(1 + std::hash<request_id>{}(aId) % 900);
    const model_version version{ model_id("clerk-small"), version_id("v1") };
    const usage used{
      .mId = aId,
      .mOwner = owner_id(kitamura ? "kitamura" : "plovdiv"),
      .mAccount = account_id(kitamura ? "depot" : "clerks"),
      .mStages = { { version, token_count(400), token_count(tokens), { 1000, 0 } } },
      .mTrace = aId.Value(),
      .mEnd = request_end::Answered,
      .mDelivered = {}
    };
    return MakeRecord(used).value();
  }

  /// Runs a request on an instance, which holds the answer until the record is copied or stored.
  /// Returns false if the instance refuses it.
  bool Request(const std::string& aName, const std::string& aKey = "")
  {
    node& at = mNodes.at(aName);
    if (!at.mAlive || CheckAdmission(at.mState) != admission::Admitted) {
      return false;
    }
    const request_id id =
      aKey.empty() ? NextUnkeyedId(at.mState) : KeyedId(account_id("depot"), aKey);
    const record made = MakeExpectedRecord(id);
    mExpected[id] = made;
    const std::size_t index = mAnswers.size();
    mAnswers.push_back({ aName, at.mState.mSelf.mEpoch.Value(), id });
    actions out;
    at.mAnswerIndexes[sequence_number(at.mState.mNextSequence)] = index;
    Add(at.mState, made, mNow, out);
    Perform(aName, out);
    return true;
  }

  /// Schedules `aEvent` on one run of an instance; a pause of the instance delays it.
  template<class Event>
  void ScheduleOn(time_point aTime, const origin_id& aId, Event aEvent)
  {
    mEvents.emplace(aTime, [this, aId, aEvent] {
      const auto found = mNodes.find(aId.mInstance.Value());
      if (found == mNodes.end() || !found->second.mAlive || found->second.mState.mSelf != aId) {
        return;
      }
      if (found->second.mPausedUntil > mNow) {
        ScheduleOn(found->second.mPausedUntil, aId, aEvent);
        return;
      }
      actions out;
      aEvent(found->second.mState, out);
      Perform(aId.mInstance.Value(), out);
    });
  }

  /// Sends a message to the current run at an address, even if it replaced the addressed one.
  template<class Event>
  void Send(const std::string& aFrom, const origin_id& aTo, Event aEvent)
  {
    const auto found = mNodes.find(aTo.mInstance.Value());
    if (found == mNodes.end() || found->second.mDisconnected || mNodes.at(aFrom).mDisconnected) {
      return;
    }
    for (int copies = Chance(mDuplicateRate) ? 2 : 1; copies > 0; --copies) {
      if (!Chance(mLossRate)) {
        ScheduleOn(mNow + Delay(), found->second.mState.mSelf, aEvent);
      }
    }
  }

  void Perform(const std::string& aName, const actions& aActions)
  {
    node& at = mNodes.at(aName);
    const origin_id self = at.mState.mSelf;
    for (const release_action& action : aActions.mReleases) {
      caller_answer& released = mAnswers.at(at.mAnswerIndexes.at(action.mSequence));
      released.mAnswered = true;
      released.mAtRisk = action.mAtRisk;
    }
    for (const send_copy& sent : aActions.mCopies) {
      // Encode and decode each message, so that the tests cover the wire form.
      Send(aName, sent.mRecipient,
           [this, bytes = EncodeCopy(sent.mBatch)](state& aState, actions& aOut) {
             OnCopy(aState, DecodeCopy(bytes), mNow, aOut);
           });
    }
    for (const send_ack& sent : aActions.mAcks) {
      Send(aName, sent.mRecipient,
           [this, bytes = EncodeAck(sent.mAck)](state& aState, actions& aOut) {
             OnCopyAck(aState, DecodeAck(bytes), mNow, aOut);
           });
    }
    for (const object_action& write : aActions.mObjects) {
      mEvents.emplace(mNow + Delay(), [=, this] {
        auto status = object_status::Unreachable;
        if (mObjectFault != store_fault::Down) {
          ++mObjectWrites;
          mObjects[write.mKey] = write.mBody;
          const bool lost = mObjectFault == store_fault::LoseAnswer || Chance(mLossRate);
          status = lost ? object_status::Unknown : object_status::Stored;
        }
        ScheduleOn(mNow + Delay(), self, [=, this](state& aState, actions& aOut) {
          OnObject(aState, write.mOperation, status, mNow, aOut);
        });
      });
    }
    for (const commit_action& write : aActions.mCommits) {
      mEvents.emplace(mNow + Delay(), [=, this] {
        platform::commit_result result = Commit(mTable, write.mTransaction);
        if (Chance(mLossRate)) {
          result.mStatus = platform::commit_status::Unknown;
        }
        ScheduleOn(mNow + Delay(), self, [=, this](state& aState, actions& aOut) {
          OnCommit(aState, write.mOperation, result, mNow, aOut);
        });
      });
    }
    for (const read_action& read : aActions.mReads) {
      mEvents.emplace(mNow + Delay(), [=, this] {
        const auto result =
          Chance(mLossRate) ? platform::read_result{} : Read(mTable, read.mRequest);
        ScheduleOn(mNow + Delay(), self, [=, this](state& aState, actions& aOut) {
          OnRead(aState, read.mOperation, result, mNow, aOut);
        });
      });
    }
  }

  void AdvanceTo(time_point aTime)
  {
    while (mNow < aTime) {
      mNow = std::min(mNow + mStep, aTime);
      while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
        const auto work = std::move(mEvents.begin()->second);
        mEvents.erase(mEvents.begin());
        work();
      }
      for (auto& [name, at] : mNodes) {
        if (at.mAlive && at.mPausedUntil <= mNow) {
          actions out;
          Tick(at.mState, mNow, out);
          Perform(name, out);
        }
      }
    }
  }
  void Advance(duration aTime) { AdvanceTo(mNow + aTime); }

  std::vector<stored_object> Objects() const
  {
    std::vector<stored_object> objects;
    for (const auto& [key, body] : mObjects) {
      objects.push_back({ key, body });
    }
    return objects;
  }

  verification_reference VerificationReference() const
  {
    verification_reference known{ .mStoredTotals = {},
                                  .mOwners = { { account_id("depot"), owner_id("kitamura") },
                                               { account_id("clerks"), owner_id("plovdiv") } },
                                  .mWatermarks = {} };
    for (const auto& [key, row] : mTable.mRows) {
      known.mWatermarks[key.substr(std::string("bill/watermark/").size())] =
        sequence_number(row.mValue.at("sequence").get<std::uint64_t>());
    }
    return known;
  }

  /// Counts answered requests that are not on the bill, or with a wrong owner or amount. Answers
  /// released at risk count only if `aIncludeAtRisk`.
  int CountUnbilled(bool aIncludeAtRisk) const
  {
    const bill read = ReadBill(Objects());
    int unbilled = 0;
    for (const caller_answer& entry : mAnswers) {
      if (entry.mAnswered && (aIncludeAtRisk || !entry.mAtRisk)) {
        const auto found = read.mRecords.find(entry.mId);
        const record& expected = mExpected.at(entry.mId);
        const bool billed = found != read.mRecords.end() &&
                            found->second.mOwner == expected.mOwner &&
                            CostOf(found->second) == CostOf(expected);
        unbilled += billed ? 0 : 1;
      }
    }
    return unbilled;
  }
};

} // namespace tamarackweir::billing::test
