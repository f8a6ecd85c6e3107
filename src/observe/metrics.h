#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace tamarackweir::observe {

/// Labels of a time series, name to value.
using labels = std::map<std::string, std::string>;

/// Counters, gauges and latency summaries of an instance; safe to use from all threads.
class metrics
{
public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  /// Adds to a counter.
  void Count(const std::string& aName, const labels& aLabels = {}, double aBy = 1);

  /// Sets a gauge.
  void Set(const std::string& aName, double aValue, const labels& aLabels = {});

  /// Adds a sample, in seconds, to a summary with the quantiles 0.5, 0.95 and 0.99.
  void Observe(const std::string& aName, double aSeconds, const labels& aLabels = {});

  /// All series in the Prometheus text exposition format, version 0.0.4.
  std::string Render() const;

private:
  struct summary;
  mutable std::mutex mMutex;
  std::map<std::string, std::map<labels, double>> mCounters;
  std::map<std::string, std::map<labels, double>> mGauges;
  std::map<std::string, std::map<labels, std::unique_ptr<summary>>> mSummaries;
};

} // namespace tamarackweir::observe
