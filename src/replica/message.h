#pragma once

#include "base/clock.h"
#include "replica/table_copy.h"

#include <map>
#include <string>
#include <string_view>

namespace tamarackweir::replica {

/// The tables that an instance follows, by name.
using table_set = std::map<std::string, table_copy>;

/// Up to where an instance knows each table.
using known_versions = std::map<std::string, store_version>;

/// The versions of the tables in a set.
known_versions VersionsOf(const table_set& aTables);

/// A question to a peer.
struct news_question
{
  known_versions mKnown;     ///< the tables of interest
  duration mWait = 0s;       ///< how long the peer may wait for news
  bool mAcceptsKeys = false; ///< understands `table_update::mKeys`
};

/// A peer's answer.
struct news_answer
{
  std::map<std::string, table_update> mUpdates; ///< tables without news are left out
  bool mIsStoreLost = false;                    ///< the peer does not reach the store itself
  std::optional<duration> mStoreReturnedAgo;    ///< since the peer reached the store again
};

std::string EncodeQuestion(const news_question& aQuestion);
/// Throws `error` of kind `InvalidInput`.
news_question DecodeQuestion(std::string_view aText);

/// What the peer lacks of the tables that it names.
news_answer AnswerFor(const table_set& aTables, const news_question& aQuestion, bool aIsStoreLost);

std::string EncodeAnswer(const news_answer& aAnswer);
/// Throws `error` of kind `InvalidInput` and takes nothing from a text that can't be read whole.
news_answer DecodeAnswer(std::string_view aText);

} // namespace tamarackweir::replica
