#include "observe/metrics.h"

#include <array>
// extended_p_square_quantile.hpp of Boost 1.74 uses std::ostringstream without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <limits>

namespace tamarackweir::observe {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 3> kQuantiles{ 0.5, 0.95, 0.99 };

/// The extended P-square algorithm has 2 * 3 + 3 markers and gives no quantile before each holds a
/// sample.
constexpr std::size_t kSamplesForQuantiles = 9;

using quantile_accumulator = accumulators::accumulator_set<
  double, accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                              accumulators::tag::extended_p_square_quantile>>;

std::string RenderLabels(const labels& aLabels, const std::string& aExtra = "")
{
  std::string text;
  for (const auto& [name, value] : aLabels) {
    text += (text.empty() ? "" : ",") + name + "=\"";
    for (const char character : value) {
      if (character == '"' || character == '\\') {
        text += '\\';
      }
      text += character == '\n' ? ' ' : character;
    }
    text += "\"";
  }
  if (!aExtra.empty()) {
    text += (text.empty() ? "" : ",") + aExtra;
  }
  return text.empty() ? "" : "{" + text + "}";
}

void RenderSeries(std::ostringstream& aOut, const std::string& aType,
                  const std::map<std::string, std::map<labels, double>>& aSeries)
{
  for (const auto& [name, values] : aSeries) {
    aOut << "# TYPE " << name << " " << aType << "\n";
    for (const auto& [seriesLabels, value] : values) {
      aOut << name << RenderLabels(seriesLabels) << " " << value << "\n";
    }
  }
}

} // namespace

struct metrics::summary
{
  quantile_accumulator mSamples{ accumulators::extended_p_square_probabilities = kQuantiles };
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::Count(const std::string& aName, const labels& aLabels, double aBy)
{
  const std::lock_guard lock(mMutex);
  mCounters[aName][aLabels] += aBy;
}

void metrics::Set(const std::string& aName, double aValue, const labels& aLabels)
{
  const std::lock_guard lock(mMutex);
  mGauges[aName][aLabels] = aValue;
}

void metrics::Observe(const std::string& aName, double aSeconds, const labels& aLabels)
{
  const std::lock_guard lock(mMutex);
  auto& entry = mSummaries[aName][aLabels];
  if (entry == nullptr) {
    entry = std::make_unique<summary>();
  }
  entry->mSamples(aSeconds);
}

std::string metrics::Render() const
{
  std::ostringstream out;
  out.precision(12);
  const std::lock_guard lock(mMutex);
  RenderSeries(out, "counter", mCounters);
  RenderSeries(out, "gauge", mGauges);
  for (const auto& [name, series] : mSummaries) {
    out << "# TYPE " << name << " summary\n";
    for (const auto& [seriesLabels, entry] : series) {
      const bool enough = accumulators::count(entry->mSamples) >= kSamplesForQuantiles;
      for (const double quantile : kQuantiles) {
        std::ostringstream label;
        label << "quantile=\"" << quantile << "\"";
        out << name << RenderLabels(seriesLabels, label.str()) << " "
            << (enough ? accumulators::quantile(entry->mSamples,
                                                accumulators::quantile_probability = quantile)
                       : std::numeric_limits<double>::quiet_NaN())
            << "\n";
      }
      out << name << "_sum" << RenderLabels(seriesLabels) << " "
          << accumulators::sum(entry->mSamples) << "\n";
      out << name << "_count" << RenderLabels(seriesLabels) << " "
          << accumulators::count(entry->mSamples) << "\n";
    }
  }
  return out.str();
}

} // namespace tamarackweir::observe
