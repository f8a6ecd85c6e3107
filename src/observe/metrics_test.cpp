#include "observe/metrics.h"

#include <doctest/doctest.h>

using namespace tamarackweir;

// Guards against label values that break the exposition format.
TEST_CASE("metrics render as text exposition with escaped labels")
{
  observe::metrics registry;
  registry.Count("requests_total", { { "model", "a\"b" } });
  registry.Count("requests_total", { { "model", "a\"b" } }, 2);
  registry.Set("revision", 7);
  const std::string text = registry.Render();
  CHECK(text.find("# TYPE requests_total counter\nrequests_total{model=\"a\\\"b\"} 3\n") !=
        std::string::npos);
  CHECK(text.find("revision 7\n") != std::string::npos);
}

// Guards against a summary whose quantiles stay at zero.
TEST_CASE("a summary gives count, sum and quantiles")
{
  observe::metrics registry;
  for (int i = 1; i <= 1000; ++i) {
    registry.Observe("latency_seconds", i / 1000.0);
  }
  const std::string text = registry.Render();
  CHECK(text.find("latency_seconds_count 1000\n") != std::string::npos);
  const auto at = text.find("quantile=\"0.5\"} ");
  REQUIRE(at != std::string::npos);
  CHECK(std::stod(text.substr(at + 16)) == doctest::Approx(0.5).epsilon(0.05));
}

// Guards against the quantiles of a few samples, which the algorithm does not know yet.
TEST_CASE("a summary of few samples gives no quantiles")
{
  observe::metrics registry;
  registry.Observe("latency_seconds", 1);
  CHECK(registry.Render().find("quantile=\"0.5\"} nan\n") != std::string::npos);
}
