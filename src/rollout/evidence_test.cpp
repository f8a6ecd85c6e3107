#include "rollout/evidence.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace tamarackweir;
using namespace tamarackweir::rollout;

// Guards against counts that depend on lost, repeated or reordered deltas, and against a restarted
// instance whose counters replace those from before its restart.
TEST_CASE("merged counts do not depend on loss, repetition or order of deltas")
{
  const owner_id owner("plovdiv");
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    std::vector<evidence> deltas;
    result_counts expected;
    for (const std::uint64_t start : { 1, 2 }) {
      for (const char* name : { "i1", "i2", "i3" }) {
        evidence own;
        evidence sent;
        for (int i = 0; i < 50; ++i) {
          const bool good = random() % 4 != 0;
          RecordResult(
            own, { owner, "seams", 1, version_id("v2"), instance_id(name), start_epoch(start) },
            good);
          ++(good ? expected.mGood : expected.mBad);
          if (i % 10 == 9) {
            deltas.push_back(Delta(own, sent));
            Merge(sent, deltas.back());
          }
        }
      }
    }
    // Each delta arrives twice or, unless it is the instance's last one, may be lost.
    std::vector<evidence> arrivals;
    for (std::size_t i = 0; i < deltas.size(); ++i) {
      const bool isLast = i % 5 == 4;
      if (isLast || random() % 2 == 0) {
        arrivals.insert(arrivals.end(), { deltas[i], deltas[i] });
      }
    }
    std::shuffle(arrivals.begin(), arrivals.end(), random);
    evidence pooled;
    for (const evidence& one : arrivals) {
      Merge(pooled, one);
    }
    CHECK(PoolCounts(pooled, owner, "seams", version_id("v2")) == expected);
    CHECK(PoolCounts(pooled, owner, "seams", version_id("v2"), 1) == expected);
    CHECK(PoolCounts(pooled, owner, "seams", version_id("v2"), 2) == result_counts{});
    CHECK(Delta(pooled, pooled).empty());
    CHECK_FALSE(Merge(pooled, arrivals.front()));
  }
}
