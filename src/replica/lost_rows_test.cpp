#include "replica/lost_rows.h"
#include "replica/message.h"
#include "replica/table_copy.h"

#include <doctest/doctest.h>
#include <map>
#include <random>
#include <vector>

using namespace tamarackweir;
using namespace tamarackweir::replica;

namespace {

constexpr std::uint64_t kFirstEra = 1;

store_version At(std::uint64_t aNumber, std::uint64_t aEra = kFirstEra)
{
  return store_version(aNumber, store_era(aEra));
}

/// A store with one table that can restore an older snapshot.
struct drilled_store
{
  std::map<std::string, row> mRows;
  std::uint64_t mNumber = 1;
  std::uint64_t mEra = kFirstEra;
  std::map<std::string, row> mSnapshot;
  std::uint64_t mSnapshotNumber = 1;

  void Put(const std::string& aKey, const std::string& aValue)
  {
    mRows[aKey] = { .mValue = aValue, .mVersion = At(++mNumber, mEra) };
  }
  void Remove(const std::string& aKey)
  {
    ++mNumber;
    mRows.erase(aKey);
  }
  void TakeSnapshot()
  {
    mSnapshot = mRows;
    mSnapshotNumber = mNumber;
  }
  void Restore()
  {
    ++mEra;
    mNumber = mSnapshotNumber;
    mRows = mSnapshot;
    for (auto& [key, row] : mRows) {
      row.mVersion = At(row.mVersion.Value(), mEra);
    }
  }
  table_copy Table() const { return { .mRows = mRows, .mCompleteTo = At(mNumber, mEra) }; }
  void ReadInto(table_copy& aCopy) const { REQUIRE(Replace(aCopy, Table())); }
  /// Writes a row in the time that the next drill loses.
  void PutAfterSnapshot(const std::string& aKey, const std::string& aValue)
  {
    TakeSnapshot();
    Put(aKey, aValue);
  }
  /// Restores a snapshot in which the row "k" is "old"; the copy has seen "new", and the drill.
  void DrillSeenBy(table_copy& aCopy)
  {
    Put("k", "old");
    ReadInto(aCopy);
    PutAfterSnapshot("k", "new");
    ReadInto(aCopy);
    Restore();
    ReadInto(aCopy);
  }
};

/// Takes a peer's news over as they arrive: as text.
bool TakeNews(table_copy& aCopy, const table_copy& aPeer,
              missing_rows aMissing = missing_rows::Kept)
{
  const table_set own{ { "t", aCopy } };
  const news_question question = DecodeQuestion(EncodeQuestion(QuestionAbout(own, { "t" })));
  const news_answer answer =
    DecodeAnswer(EncodeAnswer(AnswerFor({ { "t", aPeer } }, question, false)));
  const auto update = answer.mUpdates.find("t");
  return update != answer.mUpdates.end() && Merge(aCopy, update->second, aMissing);
}

std::string InForce(const table_copy& aCopy, const std::string& aKey)
{
  const auto& rows = RowsInForce(aCopy);
  const auto found = rows.find(aKey);
  return found == rows.end() ? "" : found->second.mValue;
}

} // namespace

// Guards against a table that is thrown away for its lower version.
TEST_CASE("a version of a newer era is higher, whatever its number")
{
  CHECK(At(4, 2) > At(11, 1));
  CHECK(At(4, 2) < At(5, 2));
  CHECK(At(4, 2) != At(4, 1));
}

// Guards against a row that reverts to the snapshot's until its owner has written it again.
TEST_CASE("what the store has lost stays in force until it is written again")
{
  drilled_store store;
  table_copy copy;
  store.Put("changed", "old");
  store.Put("removed", "x");
  store.Put("kept", "same");
  store.ReadInto(copy);
  store.PutAfterSnapshot("changed", "new");
  store.Put("added", "y");
  store.Remove("removed");
  store.ReadInto(copy);
  store.Restore();
  store.ReadInto(copy);
  CHECK(InForce(copy, "changed") == "new");
  CHECK(InForce(copy, "added") == "y");
  CHECK(InForce(copy, "removed").empty());
  CHECK(InForce(copy, "kept") == "same");
  CHECK(copy.mRows.at("changed").mVersion == At(2, 2));
  CHECK(copy.mLost.size() == 3);

  Apply(copy,
        { { .mKey = "changed", .mValue = "newer", .mVersion = At(5, 2) },
          { .mKey = "added", .mVersion = At(6, 2) },
          { .mKey = "removed", .mValue = "z", .mVersion = At(7, 2) } },
        At(7, 2));
  CHECK(copy.mLost.empty());
  CHECK(InForce(copy, "changed") == "newer");
  CHECK(InForce(copy, "added").empty());
  CHECK(InForce(copy, "removed") == "z");
}

// Guards against a new row that is taken for the snapshot's, as its version was given out before.
TEST_CASE("a row with a version that was given out again is new")
{
  drilled_store store;
  table_copy copy;
  store.Put("k", "old");
  store.TakeSnapshot();
  for (const char* const value : { "a", "b", "c" }) {
    store.Put("k", value);
    store.ReadInto(copy);
  }
  store.Restore();
  store.Put("k", "new");
  CHECK(store.mRows.at("k").mVersion.Value() == 3);
  store.ReadInto(copy);
  CHECK(InForce(copy, "k") == "new");
  CHECK(copy.mLost.empty());
}

// Guards against a row that stays for good though it was removed while this copy was not read.
TEST_CASE("a row that the snapshot must have had, and that is gone, was removed")
{
  drilled_store store;
  table_copy copy;
  store.Put("early", "x");
  store.Put("later", "y");
  store.ReadInto(copy);
  store.TakeSnapshot();
  store.Restore();
  store.Remove("early");
  store.ReadInto(copy);
  CHECK(InForce(copy, "early").empty());
  CHECK(InForce(copy, "later") == "y");
}

// Guards against a data centre that stays out for good: its row was removed before this copy was
// read again, and only another table shows that the snapshot must have had it (soak seed 5791).
TEST_CASE("a later row of another table shows that a missing row was removed")
{
  drilled_store store;
  table_copy copy;
  store.Put("config", "x");
  store.Put("evacuate", "y");
  store.ReadInto(copy);
  store.TakeSnapshot();
  store.Restore();
  store.Remove("evacuate");
  store.ReadInto(copy);
  CHECK(InForce(copy, "evacuate") == "y");
  CHECK_FALSE(DropRemovedSince(copy, At(2)));
  CHECK_FALSE(DropRemovedSince(copy, At(9, 2)));
  CHECK(DropRemovedSince(copy, At(3)));
  CHECK(InForce(copy, "evacuate").empty());
}

// Guards against a rule of lapsed servers that no longer applies.
TEST_CASE("rows that are missing are dropped where the table says so")
{
  drilled_store store;
  table_copy copy;
  store.Put("k", "ready");
  store.ReadInto(copy);
  store.PutAfterSnapshot("k", "draining");
  store.Put("added", "ready");
  store.ReadInto(copy);
  store.Restore();
  REQUIRE(Replace(copy, store.Table(), missing_rows::Dropped));
  CHECK(InForce(copy, "added").empty());
  CHECK(InForce(copy, "k") == "draining");
}

// Guards against a snapshot that returns a second time, after the rows were written again.
TEST_CASE("what was lost stays in force through two drills from the same snapshot")
{
  for (const bool isWrittenBetween : { false, true }) {
    drilled_store store;
    table_copy copy;
    store.DrillSeenBy(copy);
    if (isWrittenBetween) {
      store.Put("other", "x");
      store.Put("k", "new");
      store.ReadInto(copy);
      CHECK(copy.mLost.empty());
    }
    store.Restore();
    store.ReadInto(copy);
    CHECK(InForce(copy, "k") == "new");
    CHECK(copy.mRows.at("k").mValue == "old");
  }
}

// Guards against an instance that joins the changes of one era to the rows of another.
TEST_CASE("nothing joins on across eras, and older eras bring nothing")
{
  drilled_store store;
  table_copy behind;
  store.Put("k", "old");
  store.ReadInto(behind);
  store.PutAfterSnapshot("k", "lost");
  table_copy lost = behind;
  store.ReadInto(lost);
  store.Restore();
  table_copy ahead = behind;
  store.ReadInto(ahead);
  for (int i = 0; i < 9; ++i) {
    store.Put("k", "new " + std::to_string(i));
  }
  store.ReadInto(ahead);

  CHECK_FALSE(NewsFor(lost, ahead.mCompleteTo).has_value());
  const auto news = NewsFor(ahead, lost.mCompleteTo);
  REQUIRE(news.has_value());
  CHECK_FALSE(news->mAfter.has_value());
  table_copy late = ahead;
  CHECK_FALSE(Replace(late, lost));
  Apply(late, { { .mKey = "k", .mValue = "lost", .mVersion = At(3) } }, At(3));
  CHECK(late.mRows == ahead.mRows);
  const table_update ofOtherEra{ .mAfter = At(11, 2), .mCompleteTo = At(12, 3) };
  CHECK_FALSE(Merge(late, ofOtherEra));
  REQUIRE(TakeNews(lost, ahead));
  CHECK(lost.mRows == ahead.mRows);
  CHECK(lost.mLost.empty());
}

// Guards against a new instance that serves what the snapshot says beside others that know better.
TEST_CASE("a peer that has read only the snapshot learns what the store has lost, and that once")
{
  drilled_store store;
  table_copy witness;
  store.Put("k", "old");
  store.ReadInto(witness);
  store.PutAfterSnapshot("k", "new");
  store.Put("added", "y");
  store.ReadInto(witness);
  store.Restore();
  store.ReadInto(witness);
  table_copy fresh;
  store.ReadInto(fresh);
  CHECK(InForce(fresh, "k") == "old");
  REQUIRE(TakeNews(fresh, witness));
  CHECK(InForce(fresh, "k") == "new");
  CHECK(InForce(fresh, "added") == "y");
  CHECK_FALSE(TakeNews(fresh, witness));
  CHECK_FALSE(TakeNews(witness, fresh));

  // One that is ahead of its peer keeps what was written again.
  store.Put("k", "newest");
  store.ReadInto(fresh);
  TakeNews(fresh, witness);
  CHECK(InForce(fresh, "k") == "newest");
}

// Guards against a data centre that one instance holds for taken out, as it missed that this was
// written again and taken back.
TEST_CASE("a lost row ends where a peer saw its key written again and removed")
{
  drilled_store store;
  table_copy away;
  store.Put("config", "1");
  store.ReadInto(away);
  store.PutAfterSnapshot("evacuate", "x");
  store.ReadInto(away);
  table_copy witness = away;
  store.Restore();
  store.ReadInto(witness);
  store.Put("evacuate", "x");
  Apply(witness, { { .mKey = "evacuate", .mValue = "x", .mVersion = At(3, 2) } }, At(3, 2));
  store.Remove("evacuate");
  Apply(witness, { { .mKey = "evacuate", .mVersion = At(4, 2) } }, At(4, 2));
  store.ReadInto(away);
  CHECK(InForce(away, "evacuate") == "x");
  TakeNews(witness, away);
  CHECK(InForce(witness, "evacuate").empty());
  REQUIRE(TakeNews(away, witness));
  CHECK(InForce(away, "evacuate").empty());
}

// Guards against followers that are asked again and again for lost rows that they do not take.
TEST_CASE("lost rows alone do not end a peer's wait")
{
  drilled_store store;
  table_copy witness;
  store.DrillSeenBy(witness);
  const auto lostOnly = NewsFor(witness, witness.mCompleteTo);
  REQUIRE(lostOnly.has_value());
  CHECK_FALSE(IsUrgent(*lostOnly));
  const auto rows = NewsFor(witness, At(3));
  REQUIRE(rows.has_value());
  CHECK(IsUrgent(*rows));
}

// Guards against an instance that never again agrees with the store, however drills, writes and
// news between instances follow each other.
TEST_CASE("instances hold what the store holds once all keys were written again")
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    drilled_store store;
    std::vector<table_copy> copies(4);
    const auto keyOf = [](std::uint64_t aNumber) { return "k" + std::to_string(aNumber); };
    for (int step = 0; step < 120; ++step) {
      const std::string key = keyOf(random() % 6);
      switch (random() % 8) {
        case 0:
          store.Remove(key);
          break;
        case 1:
          store.TakeSnapshot();
          break;
        case 2:
          if (random() % 3 == 0) {
            store.Restore();
          }
          break;
        default:
          store.Put(key, std::to_string(random() % 3));
      }
      table_copy& copy = copies[random() % copies.size()];
      if (random() % 2 == 0) {
        Replace(copy, store.Table());
      } else {
        TakeNews(copy, copies[random() % copies.size()]);
      }
      CHECK(copy.mLost.size() <= 6);
    }
    for (std::uint64_t key = 0; key < 6; ++key) {
      store.Put(keyOf(key), "last");
    }
    for (table_copy& copy : copies) {
      Replace(copy, store.Table());
      CHECK(copy.mRows == store.mRows);
      CHECK(copy.mLost.empty());
      CHECK(RowsInForce(copy) == store.mRows);
    }
  }
}
