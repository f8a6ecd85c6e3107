#include "routing/route_table.h"

#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::routing;

namespace {

route_table MakeTable()
{
  route_table table;
  AddRoute(table, { .mName = "short", .mHost = "a.example", .mPrefix = "/x/" });
  AddRoute(table, { .mName = "long", .mHost = "a.example", .mPrefix = "/x/y/" });
  AddRoute(table,
           { .mName = "open", .mHost = "b.example", .mPrefix = "/", .mAllowAnonymous = true });
  SortRoutes(table);
  table.mHasAccounts = true;
  table.mAccountsByKey["key-1"] = { .mId = account_id("depot") };
  return table;
}

std::string RouteName(const route_table& aTable, const char* aHost, const char* aPath,
                      const char* aKey = "key-1")
{
  const resolution found = Resolve(aTable, aHost, aPath, aKey);
  return found.mRoute == nullptr ? "" : found.mRoute->mName;
}

} // namespace

TEST_CASE("the longest prefix of the host wins")
{
  const route_table table = MakeTable();
  CHECK(RouteName(table, "a.example", "/x/1") == "short");
  CHECK(RouteName(table, "a.example", "/x/y/1") == "long");
  CHECK(RouteName(table, "a.example", "/x/yy") == "short");
}

TEST_CASE("the case and port of the host, and the query, are ignored")
{
  const route_table table = MakeTable();
  CHECK(RouteName(table, "A.Example:8080", "/x/y/1?q=/z/") == "long");
  CHECK(RouteName(table, "a.example", "/x?/x/").empty());
}

TEST_CASE("an unknown host or path has no route, whatever the key")
{
  const route_table table = MakeTable();
  CHECK(Resolve(table, "c.example", "/x/", "key-1").mDenial == denial::NoRoute);
  CHECK(Resolve(table, "a.example", "/z/", "wrong").mDenial == denial::NoRoute);
}

TEST_CASE("an unknown key is denied unless the route allows anonymous calls")
{
  const route_table table = MakeTable();
  CHECK(Resolve(table, "a.example", "/x/1", "wrong").mDenial == denial::UnknownKey);
  CHECK(Resolve(table, "a.example", "/x/1", "wrong").mRoute == nullptr);
  CHECK(RouteName(table, "b.example", "/x", "wrong") == "open");
  CHECK(Resolve(table, "a.example", "/x/1", "key-1").mAccount->mId == account_id("depot"));
}

TEST_CASE("services are picked in proportion to their weights")
{
  const route both{ .mServices = { { .mService = service_id("a"), .mWeight = 90 },
                                   { .mService = service_id("b"), .mWeight = 10 } } };
  CHECK(PickService(both, 0.0) == service_id("a"));
  CHECK(PickService(both, 0.899) == service_id("a"));
  CHECK(PickService(both, 0.901) == service_id("b"));
  CHECK(PickService(both, 0.999999) == service_id("b"));
}

TEST_CASE("a service with weight 0 gets no requests")
{
  const route both{ .mServices = { { .mService = service_id("a"), .mWeight = 0 },
                                   { .mService = service_id("b"), .mWeight = 1 } } };
  CHECK(PickService(both, 0.0) == service_id("b"));
}
