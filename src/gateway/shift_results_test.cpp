#include "gateway/shift_results.h"

#include <doctest/doctest.h>

using namespace tamarackweir;
using namespace tamarackweir::gateway;

// Guards against a slow version that passes because busy servers of the old one raise the mean: on
// gps-addis all of its streams had at least 89 ms between events, and half of them counted as
// usual.
TEST_CASE("very late answers do not hide that another version is slow")
{
  quantile_estimate usual;
  for (int i = 0; i < 200; ++i) {
    RecordQuantile(usual, 0.5, i % 5 == 0 ? duration(400ms) : duration(30ms));
    if (i > 50) {
      CHECK(IsOffPace(usual, 89ms));
      CHECK_FALSE(IsOffPace(usual, 45ms));
    }
  }
}

TEST_CASE("what is usual follows a lasting change of the load")
{
  quantile_estimate usual;
  for (int i = 0; i < 50; ++i) {
    RecordQuantile(usual, 0.5, 30ms);
  }
  for (int i = 0; i < 50; ++i) {
    RecordQuantile(usual, 0.5, 200ms);
  }
  CHECK_FALSE(IsOffPace(usual, 250ms));
}
