#pragma once

#include "base/strong_type.h"

namespace tamarackweir {

/// One of the two owners of the fleet, for example "kitamura".
using owner_id = strong_type<struct owner_tag, std::string>;
/// A client account, unique over both owners.
using account_id = strong_type<struct account_tag, std::string>;
/// A model, for example "clerk-small".
using model_id = strong_type<struct model_tag, std::string>;
/// A version of a model, without the model's name, for example "v1".
using version_id = strong_type<struct version_tag, std::string>;
/// A cascade of models, named per owner.
using cascade_id = strong_type<struct cascade_tag, std::string>;
/// A plain service beside the model engines.
using service_id = strong_type<struct service_tag, std::string>;
/// A backend server: a model engine or a plain service process.
using server_id = strong_type<struct server_tag, std::string>;
/// An entry instance. A replacement may reuse the address, so pair it with `start_epoch` for
/// identity.
using instance_id = strong_type<struct instance_tag, std::string>;
/// A random number that an instance or backend server draws at start; tells a replacement from its
/// predecessor.
using start_epoch = strong_type<struct start_epoch_tag, std::uint64_t>;
/// A data centre, for example "sapporo-a".
using data_centre_id = strong_type<struct data_centre_tag, std::string>;
/// One request of a caller over all its retries; also the identity of its bill record.
using request_id = strong_type<struct request_tag, std::string>;
/// Number of an accepted settings revision; 0 means none yet.
using revision = strong_type<struct revision_tag, std::uint64_t>;
/// A number that only grows with each new holder of a lease; stale holders are refused by it.
using fencing_number = strong_type<struct fencing_tag, std::uint64_t>;

/// Money in micro-units of the owners' currency.
using micro_cost = strong_type<struct micro_cost_tag, std::int64_t>;
/// A number of prompt or answer tokens.
using token_count = strong_type<struct token_count_tag, std::int64_t>;

/// A model together with one of its versions; written "model@version".
struct model_version
{
  model_id mModel;
  version_id mVersion;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the compiler's comparison with 0
  auto operator<=>(const model_version&) const = default;
};

/// Returns "model@version".
inline std::string ToString(const model_version& aVersion)
{
  return aVersion.mModel.Value() + "@" + aVersion.mVersion.Value();
}

} // namespace tamarackweir
