/** \file
 * A straight line through measured points, with its residual. */
#ifndef PLANTAINHATCH_TOOLS_MEASURE_LINEARFIT_H
#define PLANTAINHATCH_TOOLS_MEASURE_LINEARFIT_H

#include <cmath>
#include <span>
#include <utility>

namespace plantainhatch::tools {

/** Least squares over points (x, y). */
struct LinearFit {
  double intercept = 0;
  double slope = 0;
  /** Root mean square of the distances in y. */
  double residual = 0;

  /** \pre At least two points with different x. */
  explicit LinearFit(std::span<const std::pair<double, double>> points) {
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    for (const auto &[x, y] : points) {
      sumX += x;
      sumY += y;
      sumXx += x * x;
      sumXy += x * y;
    }
    const auto n = static_cast<double>(points.size());
    slope = (n * sumXy - sumX * sumY) / (n * sumXx - sumX * sumX);
    intercept = (sumY - slope * sumX) / n;
    double squares = 0;
    for (const auto &[x, y] : points)
      squares += (y - at(x)) * (y - at(x));
    residual = std::sqrt(squares / n);
  }

  /** The line's value at \p x. */
  double at(double x) const { return intercept + slope * x; }
};

} // namespace plantainhatch::tools

#endif
