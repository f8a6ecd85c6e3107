#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarackweir::routing {

/// A group of data centres.
using region_id = strong_type<struct region_tag, std::string>;
/// Urgency of a request; 0 is the most urgent.
using urgency = strong_type<struct urgency_tag, int>;

/// How often a call may run, and the form of its answer.
enum class call_kind
{
  Idempotent, ///< may run more than once
  RunOnce,    ///< runs at most once
  Stream,     ///< an event stream; runs at most once unless the route allows resuming it
};

/// A service that receives a share of a route's requests.
struct service_share
{
  service_id mService;
  double mWeight = 1; ///< relative to the other services of the route
};

/// Target services and limits for requests with one host and path prefix.
struct route
{
  std::string mName;
  std::string mHost;
  std::string mPrefix; ///< begins and ends with a slash
  call_kind mKind = call_kind::RunOnce;
  std::vector<service_share> mServices;
  std::vector<model_id>
    mModels;               ///< models to choose from, smallest first; empty: the caller names one
  duration mTimeout = 30s; ///< until the end of the final answer
  duration mTargetLatency = 1s; ///< for the answer or first event; bounds the wait for a place
  duration mTargetGap = 0s;     ///< the same for the longest pause between events; 0: none
  urgency mUrgency{ 5 };
  int mMaxAttempts = 1; ///< backend servers on which one request may run
  bool mAllowAnonymous = false;
  bool mIsResumable = false;       ///< a stream may resume on another backend server
  std::vector<region_id> mRegions; ///< where the request may run; empty: anywhere
};

/// Configuration of a service.
struct service
{
  service_id mId;
  double mColdRate = 0;         ///< requests/s that a cold backend server can handle; 0: no limit
  std::string mStatementTarget; ///< where a backend server states which one it is; empty: nowhere
};

/// A client account.
struct account
{
  account_id mId;
  std::optional<urgency> mUrgency; ///< overrides the route's
  std::vector<region_id> mRegions;
};

/// Limits on callers' requests and connections, from the configuration.
struct ingress_limits
{
  std::uint32_t mMaxHeaderBytes = 16 * 1024;
  std::uint64_t mMaxBodyBytes = 1U << 20U;
  duration mHeaderTimeout = 5s;
  duration mIdleTimeout = 30s;
};

/// One version of the configuration, indexed for look-ups. Immutable once built.
struct route_table
{
  std::uint64_t mVersion = 0;
  std::unordered_map<std::string, std::vector<route>> mHosts; ///< routes with longer prefixes first
  std::unordered_map<service_id, service> mServices;
  std::unordered_map<std::string, account> mAccountsByKey;
  bool mHasAccounts = false; ///< callers need a key, except on routes that allow anonymous calls
  ingress_limits mLimits;
};

/// Adds a route; call `SortRoutes` after the last one.
void AddRoute(route_table& aTable, route aRoute);
/// Sorts the routes of each host into look-up order.
void SortRoutes(route_table& aTable);

/// Why a request is denied.
enum class denial
{
  NoRoute,
  UnknownKey,
};

/// Result of a look-up. The pointers are valid as long as the table.
struct resolution
{
  const route* mRoute = nullptr;     ///< null: denied
  const account* mAccount = nullptr; ///< null: anonymous
  denial mDenial = denial::NoRoute;
};

/// Finds the route by host and longest prefix, then the client account by its key.
/// \param aHost as sent; case and port are ignored
/// \param aPath target of the request; its query is ignored
/// \param aKey empty if the caller sent none
resolution Resolve(const route_table& aTable, std::string_view aHost, std::string_view aPath,
                   std::string_view aKey);

/// Picks the service of a request, at random by weight.
/// \param aPoint uniform in [0, 1); the same value always picks the same service
const service_id& PickService(const route& aRoute, double aPoint);

} // namespace tamarackweir::routing
