#include "replica/message.h"
#include "replica/table_copy.h"

#include "base/error.h"

#include <doctest/doctest.h>
#include <map>
#include <random>
#include <vector>

using namespace tamarackweir;
using namespace tamarackweir::replica;

namespace {

table_copy CopyAt(std::uint64_t aVersion, const char* aValue)
{
  table_copy copy;
  copy.mRows["k"] = row{ .mValue = aValue, .mVersion = store_version(aVersion) };
  copy.mCompleteTo = store_version(aVersion);
  copy.mLastChange = store_version(aVersion);
  return copy;
}

} // namespace

// Guards against a configuration that reverts because an instance heard of an older one last.
TEST_CASE("a copy never gives way to an older one")
{
  table_copy copy = CopyAt(7, "new");
  CHECK_FALSE(Replace(copy, CopyAt(6, "old")));
  CHECK_FALSE(Replace(copy, CopyAt(7, "other")));
  CHECK(copy.mRows["k"].mValue == "new");
  CHECK(Replace(copy, CopyAt(8, "newest")));
  CHECK(copy.mRows["k"].mValue == "newest");
}

// Guards against an answer of the feed that was on its way while a peer's copy overtook it.
TEST_CASE("a change that the copy already holds, or that it has overtaken, is skipped")
{
  table_copy copy = CopyAt(7, "new");
  Apply(copy, { { .mKey = "k", .mValue = "old", .mVersion = store_version(5) } }, store_version(6));
  CHECK(copy.mRows["k"].mValue == "new");
  CHECK(copy.mCompleteTo == store_version(7));
}

TEST_CASE("changes are applied in their order, removals too")
{
  table_copy copy = CopyAt(7, "a");
  Apply(copy,
        { { .mKey = "k", .mValue = "b", .mVersion = store_version(8) },
          { .mKey = "k", .mValue = std::nullopt, .mVersion = store_version(9) },
          { .mKey = "l", .mValue = "c", .mVersion = store_version(10) } },
        store_version(12));
  CHECK_FALSE(copy.mRows.contains("k"));
  CHECK(copy.mRows["l"].mValue == "c");
  CHECK(copy.mCompleteTo == store_version(12));
  CHECK(copy.mLastChange == store_version(10));
}

TEST_CASE("a peer is told of a table only if something changed behind what it knows")
{
  table_copy copy = CopyAt(7, "x");
  copy.mCompleteTo = store_version(20);
  CHECK_FALSE(NewsFor(copy, store_version(7)).has_value());
  CHECK(NewsFor(copy, store_version(6)).has_value());
  CHECK_FALSE(NewsFor(table_copy{}, store_version(0)).has_value());
}

// Guards an instance that follows the store through a peer against losing a change on the way.
TEST_CASE("an instance that follows a peer holds what the peer holds")
{
  std::mt19937_64 random(5);
  for (int round = 0; round < 50; ++round) {
    table_copy reader = CopyAt(1, "first");
    table_copy follower;
    std::uint64_t version = 1;
    for (int step = 0; step < 100; ++step) {
      ++version;
      const std::string key = "k" + std::to_string(random() % 8);
      if (random() % 10 == 0) {
        // The history was gone, and the table was read whole.
        table_copy whole{ .mRows = reader.mRows, .mCompleteTo = store_version(version) };
        whole.mRows.erase(key);
        Replace(reader, whole);
      } else {
        const bool isRemoval = random() % 3 == 0;
        Apply(reader,
              { { .mKey = key,
                  .mValue =
                    isRemoval ? std::nullopt : std::optional<std::string>(std::to_string(version)),
                  .mVersion = store_version(version) } },
              store_version(version));
      }
      if (random() % 3 == 0) {
        const auto news = NewsFor(reader, follower.mCompleteTo);
        if (news) {
          // On its way, the news is text.
          news_answer sent{ .mUpdates = { { "t", *news } } };
          CHECK(Merge(follower, DecodeAnswer(EncodeAnswer(sent)).mUpdates.at("t")));
        }
        CHECK(follower.mRows == reader.mRows);
      }
    }
  }
}

TEST_CASE("a small change is told without the other rows")
{
  table_copy copy;
  for (int i = 0; i < 100; ++i) {
    copy.mRows["k" + std::to_string(i)] = { .mValue = "v", .mVersion = store_version(3) };
  }
  copy.mCompleteTo = store_version(3);
  table_copy known;
  REQUIRE(Replace(known, copy));
  Apply(known, { { .mKey = "k1", .mValue = "w", .mVersion = store_version(4) } }, store_version(4));
  CHECK(NewsFor(known, store_version(3))->mChanges.size() == 1);
  CHECK(NewsFor(known, store_version(1))->mChanges.size() == 100);
}

// Guards against whole tables sent to all followers of an instance that has just started: at 300
// machines and 3,003 servers a table has over 1 MB.
TEST_CASE("a copy that was just read whole tells a follower only of newer rows, and of all keys")
{
  table_copy copy;
  for (int i = 0; i < 100; ++i) {
    copy.mRows["k" + std::to_string(i)] = { .mValue = std::string(300, 'v'),
                                            .mVersion = store_version(3) };
  }
  copy.mRows["new"] = { .mValue = "w", .mVersion = store_version(8) };
  copy.mCompleteTo = store_version(9);
  table_copy fresh;
  REQUIRE(Replace(fresh, copy));
  table_copy follower = copy;
  follower.mRows.erase("new");
  follower.mRows["gone"] = { .mValue = "x", .mVersion = store_version(4) };
  follower.mCompleteTo = store_version(5);
  follower.mLastChange = store_version(4);
  const auto news = NewsFor(fresh, follower.mCompleteTo);
  REQUIRE(news.has_value());
  CHECK(news->mChanges.size() == 1);
  REQUIRE(Merge(follower, *news));
  CHECK(follower.mRows == fresh.mRows);
}

// Guards against a row that stays with an instance for good: one reader missed that it came and
// went, and another instance had heard of it between.
TEST_CASE("instances that change their readers hold what the store holds")
{
  for (int round = 0; round < 100; ++round) {
    std::mt19937_64 random(static_cast<std::uint64_t>(round));
    std::map<std::string, row> store;
    std::uint64_t version = 1;
    std::vector<table_copy> readers(3);
    std::vector<table_copy> followers(4);
    const auto readWhole = [&](table_copy& aReader) {
      Replace(aReader, { .mRows = store, .mCompleteTo = store_version(version) });
    };
    const auto follow = [&random, &readers](table_copy& aFollower) {
      const table_copy& reader = readers[random() % readers.size()];
      if (const auto news = NewsFor(reader, aFollower.mCompleteTo); news) {
        const news_answer sent{ .mUpdates = { { "t", *news } } };
        Merge(aFollower, DecodeAnswer(EncodeAnswer(sent)).mUpdates.at("t"));
      }
    };
    for (int step = 0; step < 200; ++step) {
      ++version;
      const std::string key = "k" + std::to_string(random() % 6);
      if (random() % 2 == 0) {
        store.erase(key);
      } else {
        store[key] = { .mValue = std::to_string(version), .mVersion = store_version(version) };
      }
      if (random() % 4 == 0) {
        readWhole(readers[random() % readers.size()]);
      }
      follow(followers[random() % followers.size()]);
      if (random() % 3 == 0) {
        // Readers also hear from each other while they start.
        follow(readers[random() % readers.size()]);
      }
    }
    ++version;
    store["last"] = { .mValue = "x", .mVersion = store_version(version) };
    for (table_copy& reader : readers) {
      readWhole(reader);
    }
    for (table_copy& follower : followers) {
      follow(follower);
      CHECK(follower.mRows == store);
    }
  }
}

TEST_CASE("news that do not join on are not taken")
{
  table_copy copy = CopyAt(7, "x");
  const table_update gap{ .mAfter = store_version(9), .mCompleteTo = store_version(12) };
  CHECK_FALSE(Merge(copy, gap));
  CHECK(copy.mCompleteTo == store_version(7));
  table_copy empty;
  const table_update delta{ .mAfter = store_version(0), .mCompleteTo = store_version(12) };
  CHECK_FALSE(Merge(empty, delta));
  CHECK_FALSE(empty.IsKnown());
}

TEST_CASE("a copy forgets removals above its bound, and tells whole tables then")
{
  table_copy copy = CopyAt(1, "x");
  copy.mHistoryFrom = store_version(1);
  std::uint64_t version = 1;
  for (std::size_t i = 0; i <= kMaxRemoved; ++i) {
    const std::string key = "gone" + std::to_string(i);
    ++version;
    Apply(copy, { { .mKey = key, .mValue = "v", .mVersion = store_version(version) } },
          store_version(version));
    ++version;
    Apply(copy, { { .mKey = key, .mVersion = store_version(version) } }, store_version(version));
  }
  CHECK(copy.mRemoved.size() <= kMaxRemoved);
  CHECK(NewsFor(copy, store_version(2))->mKeys.has_value());
  CHECK_FALSE(NewsFor(copy, store_version(2), false)->mAfter.has_value());
}

TEST_CASE("nothing is taken from a message that can't be read whole")
{
  CHECK_THROWS_AS(DecodeAnswer("no json"), error);
  CHECK_THROWS_AS(DecodeAnswer(R"({"store_lost":false,"tables":{"a":{"rows":[]}}})"), error);
  CHECK_THROWS_AS(
    DecodeAnswer(
      R"({"store_lost":false,"tables":{"a":{"complete_to":1,"last_change":1,"rows":[["k",1,"%%"]]}}})"),
    error);
  CHECK_THROWS_AS(DecodeQuestion(R"({"known":{"a":"x"},"wait_ms":1})"), error);
}

TEST_CASE("a question and its wait survive their way")
{
  const news_question read =
    DecodeQuestion(EncodeQuestion({ .mKnown = { { "a", store_version(4) } }, .mWait = 800ms }));
  CHECK(read.mKnown.at("a") == store_version(4));
  CHECK(read.mWait == 800ms);
}
