#include "process/Metrics.h"

#include <boost/histogram.hpp>

#include <cmath>
#include <iterator>
#include <numeric>
#include <ranges>
#include <sstream>

namespace plantainhatch {

namespace {

/** Number of bins of a histogram, which divide the range between these bounds
 * on a logarithmic scale. */
constexpr unsigned Bins = 120;
constexpr double LowestSeconds = 1e-5;
constexpr double HighestSeconds = 60.0;
const std::string Prefix = "plantainhatch_";

double toSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::string withLabels(const std::string &name, const std::string &labels) {
  return labels.empty() ? name : name + "{" + labels + "}";
}

} // namespace

struct LatencyHistogram::Impl {
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::unlimited_storage<>;
  boost::histogram::histogram<std::tuple<Axis>, Storage> histogram =
      boost::histogram::make_histogram_with(
          Storage(), Axis(Bins, LowestSeconds, HighestSeconds, "seconds"));
};

LatencyHistogram::LatencyHistogram() : impl(std::make_unique<Impl>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration duration) {
  const double seconds = toSeconds(duration);
  impl->histogram(seconds);
  ++total;
  sumSeconds += seconds;
}

Duration LatencyHistogram::quantile(double quantile) const {
  if (total == 0)
    return {};
  const double rank = quantile * static_cast<double>(total);
  double cumulative = 0;
  for (auto &&cell : boost::histogram::indexed(
           impl->histogram, boost::histogram::coverage::all)) {
    cumulative += static_cast<double>(*cell);
    if (cumulative >= rank)
      return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          std::min(cell.bin().upper(), HighestSeconds)));
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(HighestSeconds));
}

void LatencyHistogram::print(const std::string &name,
                             std::ostream &text) const {
  double cumulative = 0;
  for (auto &&cell : boost::histogram::indexed(
           impl->histogram, boost::histogram::coverage::all)) {
    const auto count = static_cast<double>(*cell);
    // The overflow bin is the bucket of all samples, which follows.
    if (count == 0 || std::isinf(cell.bin().upper()))
      continue;
    cumulative += count;
    text << name << "_bucket{le=\"" << cell.bin().upper() << "\"} "
         << static_cast<std::uint64_t>(cumulative) << "\n";
  }
  text << name << "_bucket{le=\"+Inf\"} " << total << "\n"
       << name << "_sum " << sumSeconds << "\n"
       << name << "_count " << total << "\n";
}

void Metrics::add(const std::string &name, const std::string &labels,
                  std::uint64_t n) {
  counters[name][labels] += n;
}

std::uint64_t Metrics::total(const std::string &name) const {
  const auto it = counters.find(name);
  if (it == counters.end())
    return 0;
  const auto values = it->second | std::views::values | std::views::common;
  return std::accumulate(values.begin(), values.end(), std::uint64_t{0});
}

std::string Metrics::print() const {
  std::ostringstream text;
  for (const auto &[name, values] : counters) {
    text << "# TYPE " << Prefix << name << " counter\n";
    for (const auto &[labels, value] : values)
      text << withLabels(Prefix + name, labels) << " " << value << "\n";
  }
  for (const auto &[name, values] : gauges) {
    text << "# TYPE " << Prefix << name << " gauge\n";
    for (const auto &[labels, value] : values)
      text << withLabels(Prefix + name, labels) << " " << value << "\n";
  }
  for (const auto &[name, histogram] : histograms) {
    text << "# TYPE " << Prefix << name << " histogram\n";
    histogram.print(Prefix + name, text);
  }
  return std::move(text).str();
}

} // namespace plantainhatch
