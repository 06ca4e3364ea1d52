/** \file
 * Counters, gauges and latency histograms in the Prometheus text format. */
#ifndef PLANTAINHATCH_PROCESS_METRICS_H
#define PLANTAINHATCH_PROCESS_METRICS_H

#include "base/Time.h"

#include <cstdint>
#include <iosfwd>
#include <map>
#include <memory>
#include <string>

namespace plantainhatch {

/** A histogram of durations on a logarithmic axis. Not thread-safe. */
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram &) = delete;
  LatencyHistogram &operator=(const LatencyHistogram &) = delete;
  LatencyHistogram(LatencyHistogram &&) = delete;
  LatencyHistogram &operator=(LatencyHistogram &&) = delete;

  void record(Duration duration);
  /** Number of recorded durations. */
  std::uint64_t count() const { return total; }
  /** Upper edge of the bin that contains the quantile, at most 60 s; zero if
   * nothing was recorded.
   * \pre 0 < \p quantile <= 1. */
  Duration quantile(double quantile) const;
  /** Writes the histogram \p name in the Prometheus text format. */
  void print(const std::string &name, std::ostream &text) const;

private:
  /** Keeps the headers of Boost.Histogram out of this one. */
  struct Impl;
  std::unique_ptr<Impl> impl;
  std::uint64_t total = 0;
  double sumSeconds = 0;
};

/** All metrics of one node, by name. The names are given without the prefix
 * "plantainhatch_", which is added on output. Not thread-safe. */
class Metrics {
public:
  /** Increments a counter. \p labels is empty or in the Prometheus syntax, such
   * as `reason="full"`. */
  void add(const std::string &name, const std::string &labels = {},
           std::uint64_t n = 1);
  /** Sets a gauge. \p labels are as for add(). */
  void set(const std::string &name, const std::string &labels, double value) {
    gauges[name][labels] = value;
  }
  /** Sets a gauge without labels. */
  void set(const std::string &name, double value) { set(name, {}, value); }
  /** The histogram of this name, created at its first use. */
  LatencyHistogram &latency(const std::string &name) {
    return histograms[name];
  }
  /** Sum of a counter over all labels; 0 if there is no such counter. */
  std::uint64_t total(const std::string &name) const;
  /** All metrics in the Prometheus text format. */
  std::string print() const;

private:
  std::map<std::string, std::map<std::string, std::uint64_t>> counters;
  std::map<std::string, std::map<std::string, double>> gauges;
  std::map<std::string, LatencyHistogram> histograms;
};

} // namespace plantainhatch

#endif
