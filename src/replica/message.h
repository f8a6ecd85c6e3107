#pragma once

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

/// Text of a question to a peer, and its reading. Throws `error` of kind `InvalidInput`.
std::string EncodeVersions(const known_versions& aVersions);
known_versions DecodeVersions(std::string_view aText);

/// The tables in which something changed behind what the asker knows, as JSON. Tables that the asker
/// does not name are left out.
std::string EncodeNewer(const table_set& aTables, const known_versions& aAsker);

/// Tables from a peer. Throws `error` of kind `InvalidInput` and takes nothing from a text that can't
/// be read whole.
table_set DecodeTables(std::string_view aText);

} // namespace tamarackweir::replica
