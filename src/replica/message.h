#pragma once

#include "base/clock.h"
#include "replica/table_copy.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackweir::replica {

/// The tables that an instance follows, by name.
using table_set = std::map<std::string, table_copy>;

/// Up to where an instance knows each table.
using known_versions = std::map<std::string, store_version>;

/// Keys of lost rows, by table.
using known_lost = std::map<std::string, std::set<std::string>>;

/// The versions of the tables in a set.
known_versions VersionsOf(const table_set& aTables);

/// A question to a peer.
struct news_question
{
  known_versions mKnown;     ///< the tables of interest
  known_lost mLost;          ///< that the asker knows
  duration mWait = 0s;       ///< how long the peer may wait for news
  bool mAcceptsKeys = false; ///< understands `table_update::mKeys`
};

/// A peer's answer.
struct news_answer
{
  std::map<std::string, table_update> mUpdates; ///< tables without news are left out
  bool mIsStoreLost = false;                    ///< the peer does not reach the store itself
  std::optional<duration> mStoreReturnedAgo;    ///< since the peer reached the store again

  /// Whether a peer that waits for news should get them at once.
  bool IsUrgent() const;
};

/// The question for what is new of some tables. Tables that are not in the set are not known yet.
news_question QuestionAbout(const table_set& aTables, const std::vector<std::string>& aNames);

std::string EncodeQuestion(const news_question& aQuestion);
/// Throws `error` of kind `InvalidInput`.
news_question DecodeQuestion(std::string_view aText);

/// What the peer lacks of the tables that it names.
news_answer AnswerFor(const table_set& aTables, const news_question& aQuestion, bool aIsStoreLost);

std::string EncodeAnswer(const news_answer& aAnswer);
/// Throws `error` of kind `InvalidInput` and takes nothing from a text that can't be read whole.
news_answer DecodeAnswer(std::string_view aText);

} // namespace tamarackweir::replica
