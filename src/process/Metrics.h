/** \file
 * Counters and latency histograms of one node. */
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
  std::uint64_t count() const { return total; }
  /** An upper bound of the given quantile; zero if nothing was recorded.
   * \pre 0 < \p quantile <= 1. */
  Duration quantile(double quantile) const;
  /** Appends Prometheus text. */
  void print(const std::string &name, std::ostream &text) const;

private:
  /** Keeps the library's headers out of this one. */
  struct Impl;
  std::unique_ptr<Impl> impl;
  std::uint64_t total = 0;
  double sumSeconds = 0;
};

/** All metrics of one node, by name. Names are without the program's prefix.
 * Not thread-safe. */
class Metrics {
public:
  /** Adds to a counter. \p labels is empty or like `reason="full"`. */
  void add(const std::string &name, const std::string &labels = {},
           std::uint64_t n = 1);
  /** Sets a gauge. */
  void set(const std::string &name, double value) { gauges[name] = value; }
  /** The histogram of this name, made at its first use. */
  LatencyHistogram &latency(const std::string &name) {
    return histograms[name];
  }
  /** A counter's value over all labels. */
  std::uint64_t total(const std::string &name) const;
  /** All metrics as Prometheus text. */
  std::string print() const;

private:
  std::map<std::string, std::map<std::string, std::uint64_t>> counters;
  std::map<std::string, double> gauges;
  std::map<std::string, LatencyHistogram> histograms;
};

} // namespace plantainhatch

#endif
