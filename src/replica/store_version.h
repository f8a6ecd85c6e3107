#pragma once

#include "base/strong_type.h"

#include <cstdint>

namespace tamarackweir::replica {

/// Position in the store's single order of transactions; 0 before the first.
using store_version = strong_type<struct store_version_tag, std::uint64_t>;

/// Counts how often the store came back from an older copy; 0: the store does not tell.
using store_era = strong_type<struct store_era_tag, std::uint64_t>;

} // namespace tamarackweir::replica
