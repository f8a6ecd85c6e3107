#pragma once

#include "billing/bill.h"
#include "billing/billing.h"
#include "platform/memory_table.h"

#include <functional>
#include <random>
#include <set>

namespace tamarackweir::billing::test {

/// What a caller got for one request.
struct answer
{
  std::string mInstance;
  std::uint64_t mEpoch = 0;
  request_id mId;
  bool mAnswered = false;
  bool mAtRisk = false;
};

/// Instances in data centres, a lossy network, one table and one object store on a paused clock.
struct world
{
  struct node
  {
    state mState;
    bool mAlive = true;
    bool mCut = false; ///< its messages to and from peers are lost
    time_point mPausedUntil{};
    std::map<sequence_number, std::size_t> mHeldAnswers;
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
  double mLoss = 0;      ///< of messages between instances, and of answers of the store
  double mDuplicate = 0; ///< of messages between instances
  duration mDelay = 1ms;
  duration mJitter{}; ///< reorders messages
  options mOptions;
  std::uint64_t mNextEpoch = 100;
  std::map<std::string, node> mNodes;
  std::set<origin_id> mAnnouncedGone;
  std::multimap<time_point, std::function<void()>> mEvents;
  std::vector<answer> mAnswers;
  std::map<request_id, record> mExpected; ///< what each request costs

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
                      .mHeldAnswers = {} };
    AnnouncePeers();
  }

  /// All living instances that are not announced as gone learn of each other.
  void AnnouncePeers()
  {
    std::vector<peer> peers;
    for (const auto& [name, at] : mNodes) {
      if (at.mAlive && !mAnnouncedGone.contains(at.mState.mSelf)) {
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

  /// Membership tells everybody that this run of an instance is gone, rightly or not.
  void AnnounceGone(const origin_id& aGone)
  {
    mAnnouncedGone.insert(aGone);
    AnnouncePeers();
    for (auto& [name, at] : mNodes) {
      if (at.mAlive && at.mState.mSelf != aGone) {
        actions out;
        OnOriginGone(at.mState, aGone, mNow, out);
        Perform(name, out);
      }
    }
  }

  void Kill(const std::string& aName) { mNodes.at(aName).mAlive = false; }

  record MakeFor(const request_id& aId)
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

  /// A request that ran at an instance: its answer is held until the record is safe. Returns false
  /// if the instance refuses new work.
  bool Request(const std::string& aName, const std::string& aKey = "")
  {
    node& at = mNodes.at(aName);
    if (!at.mAlive || CheckAdmission(at.mState) != admission::Admitted) {
      return false;
    }
    const request_id id =
      aKey.empty() ? NextUnkeyedId(at.mState) : KeyedId(account_id("depot"), aKey);
    const record made = MakeFor(id);
    mExpected[id] = made;
    const std::size_t index = mAnswers.size();
    mAnswers.push_back({ aName, at.mState.mSelf.mEpoch.Value(), id });
    actions out;
    at.mHeldAnswers[sequence_number(at.mState.mNextSequence)] = index;
    Add(at.mState, made, mNow, out);
    Perform(aName, out);
    return true;
  }

  /// Runs `aWork` on the same run of an instance, after its pause if it has one.
  template<class Work>
  void At(time_point aTime, const origin_id& aId, Work aWork)
  {
    mEvents.emplace(aTime, [this, aId, aWork] {
      const auto found = mNodes.find(aId.mInstance.Value());
      if (found == mNodes.end() || !found->second.mAlive || found->second.mState.mSelf != aId) {
        return;
      }
      if (found->second.mPausedUntil > mNow) {
        At(found->second.mPausedUntil, aId, aWork);
        return;
      }
      actions out;
      aWork(found->second.mState, out);
      Perform(aId.mInstance.Value(), out);
    });
  }

  /// Sends to a run of an instance; a replacement at the same address gets the message too.
  template<class Work>
  void Send(const std::string& aFrom, const origin_id& aTo, Work aWork)
  {
    const auto found = mNodes.find(aTo.mInstance.Value());
    if (found == mNodes.end() || found->second.mCut || mNodes.at(aFrom).mCut) {
      return;
    }
    for (int copies = Chance(mDuplicate) ? 2 : 1; copies > 0; --copies) {
      if (!Chance(mLoss)) {
        At(mNow + Delay(), found->second.mState.mSelf, aWork);
      }
    }
  }

  void Perform(const std::string& aName, const actions& aActions)
  {
    node& at = mNodes.at(aName);
    const origin_id self = at.mState.mSelf;
    for (const release& let : aActions.mReleases) {
      answer& released = mAnswers.at(at.mHeldAnswers.at(let.mSequence));
      released.mAnswered = true;
      released.mAtRisk = let.mAtRisk;
    }
    for (const send_copy& sent : aActions.mCopies) {
      // Through the wire form, so that the tests cover the encoding.
      Send(aName, sent.mTo, [this, bytes = EncodeCopy(sent.mBatch)](state& aState, actions& aOut) {
        OnCopy(aState, DecodeCopy(bytes), mNow, aOut);
      });
    }
    for (const send_ack& sent : aActions.mAcks) {
      Send(aName, sent.mTo, [this, bytes = EncodeAck(sent.mAck)](state& aState, actions& aOut) {
        OnCopyAck(aState, DecodeAck(bytes), mNow, aOut);
      });
    }
    for (const object_action& write : aActions.mObjects) {
      mEvents.emplace(mNow + Delay(), [=, this] {
        auto status = object_status::Unreachable;
        if (mObjectFault != store_fault::Down) {
          ++mObjectWrites;
          mObjects[write.mKey] = write.mBody;
          const bool lost = mObjectFault == store_fault::LoseAnswer || Chance(mLoss);
          status = lost ? object_status::Unknown : object_status::Stored;
        }
        At(mNow + Delay(), self, [=, this](state& aState, actions& aOut) {
          OnObject(aState, write.mOperation, status, mNow, aOut);
        });
      });
    }
    for (const commit_action& write : aActions.mCommits) {
      mEvents.emplace(mNow + Delay(), [=, this] {
        platform::commit_result result = Commit(mTable, write.mTransaction);
        if (Chance(mLoss)) {
          result.mStatus = platform::commit_status::Unknown;
        }
        At(mNow + Delay(), self, [=, this](state& aState, actions& aOut) {
          OnCommit(aState, write.mOperation, result, mNow, aOut);
        });
      });
    }
    for (const read_action& read : aActions.mReads) {
      mEvents.emplace(mNow + Delay(), [=, this] {
        const auto result = Chance(mLoss) ? platform::read_result{} : Read(mTable, read.mRequest);
        At(mNow + Delay(), self, [=, this](state& aState, actions& aOut) {
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

  accounts Accounts() const
  {
    accounts known{ .mStoredTotals = {},
                    .mOwners = { { account_id("depot"), owner_id("kitamura") },
                                 { account_id("clerks"), owner_id("plovdiv") } },
                    .mWatermarks = {} };
    for (const auto& [key, row] : mTable.mRows) {
      known.mWatermarks[key.substr(std::string("bill/watermark/").size())] =
        sequence_number(row.mValue.at("sequence").get<std::uint64_t>());
    }
    return known;
  }

  /// Answered requests that the bill lacks or bills with another owner or amount. Those that left
  /// at risk count only if `aAtRiskToo`.
  int CountUnbilled(bool aAtRiskToo) const
  {
    const bill read = ReadBill(Objects());
    int unbilled = 0;
    for (const answer& entry : mAnswers) {
      if (entry.mAnswered && (aAtRiskToo || !entry.mAtRisk)) {
        const auto found = read.mRecords.find(entry.mId);
        const record& expected = mExpected.at(entry.mId);
        const bool right = found != read.mRecords.end() &&
                           found->second.mOwner == expected.mOwner &&
                           CostOf(found->second) == CostOf(expected);
        unbilled += right ? 0 : 1;
      }
    }
    return unbilled;
  }
};

} // namespace tamarackweir::billing::test
