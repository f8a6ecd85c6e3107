#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "platform/endpoint.h"
#include "platform/table.h"

#include <optional>
#include <string>
#include <vector>

namespace tamarackweir::platform {

/// Limits of one call to a platform service.
struct call_options
{
  duration mConnectTimeout = 500ms;
  duration mTimeout = 2s;
};

/// Sends a transaction to the table service (`POST /txn`).
///
/// `Unreachable` is returned only if no connection was made or the service refused with 429; every
/// other failure is `Unknown`, because an error may follow a commit that took effect.
commit_result Commit(const endpoint& aTable, const transaction& aTransaction,
                     const call_options& aOptions = {});

/// Reads rows from the table service (`POST /read`).
read_result Read(const endpoint& aTable, const read_request& aRequest,
                 const call_options& aOptions = {});

/// Stores an object (`PUT /objects/{key}`). Returns true if the store confirmed it; false means
/// unknown. Putting the same bytes again is harmless.
bool PutObject(const endpoint& aStore, const std::string& aKey, const std::string& aBytes,
               const call_options& aOptions = {});

/// The bytes of an object, or nothing if the store did not answer with them.
std::optional<std::string> GetObject(const endpoint& aStore, const std::string& aKey,
                                     const call_options& aOptions = {});

/// The keys that start with `aPrefix`, in order, or nothing if the store did not answer.
std::optional<std::vector<std::string>> ListObjects(const endpoint& aStore,
                                                    const std::string& aPrefix,
                                                    const call_options& aOptions = {});

/// What the platform's instance list says of one instance or backend server.
struct listed_instance
{
  std::string mId;
  std::string mRole; ///< "entry", "engine" or "service"
  std::string mAddress;
  std::string mPeerAddress; ///< empty for backend servers
  data_centre_id mDataCentre;
  bool mLeaving = false;
};

/// An answer of the instance list.
struct instance_list
{
  bool mUnchanged = false; ///< the list is as it was at the given entity tag; `mInstances` is empty
  std::vector<listed_instance> mInstances;
  std::string mEntityTag; ///< for the next read; empty if the list gives none
};

/// The platform's list of live and leaving instances (`GET /instances`), or nothing if it did not
/// answer.
/// \param aEntityTag of the last answer, or empty; sent as `If-None-Match` (RFC 9110), because a
/// list of 1,670 entries has about 200 KB
std::optional<instance_list> ListInstances(const endpoint& aList, const std::string& aEntityTag,
                                           const call_options& aOptions = {});

/// Asks the rating service for a score from 0 to 1 (`POST /ratings`), or nothing if it gave none.
std::optional<double> Rate(const endpoint& aRating, const request_id& aRequest,
                           const model_id& aModel, const std::string& aKind,
                           const std::string& aAnswer, const call_options& aOptions = {});

/// The answer of `GET` with a JSON body and status 200, or nothing.
std::optional<nlohmann::json> GetJson(const endpoint& aServer, const std::string& aPath,
                                      const call_options& aOptions = {});

} // namespace tamarackweir::platform
