/** \file
 * Prints rows of figures over the size of the fleet, with a fit for each. */
#ifndef PLANTAINHATCH_TOOLS_MEASURE_TABLE_H
#define PLANTAINHATCH_TOOLS_MEASURE_TABLE_H

#include "measure/LinearFit.h"

#include <iomanip>
#include <iostream>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace plantainhatch::tools {

/** Figures by name, each a list of points over the size, in Markdown. */
class Table {
public:
  /** \param target is the size that fits are read at. */
  explicit Table(double target) : target(target) {}

  void add(const std::string &name, double size, double value) {
    if (!points.contains(name))
      names.push_back(name);
    points[name].emplace_back(size, value);
  }

  void print() const {
    std::cout << "| figure |";
    for (const auto &[size, value] : points.at(names.front()))
      std::cout << " " << size << " |";
    std::cout << " slope | residual | at " << target << " |\n|---|";
    for (std::size_t n = 0; n < points.at(names.front()).size() + 3; ++n)
      std::cout << "---|";
    std::cout << "\n";
    for (const std::string &name : names)
      printRow(name);
  }

private:
  double target;
  std::vector<std::string> names;
  std::map<std::string, std::vector<std::pair<double, double>>> points;

  void printRow(const std::string &name) const {
    std::cout << "| " << name << " |" << std::setprecision(4);
    for (const auto &[size, value] : points.at(name))
      std::cout << " " << value << " |";
    const LinearFit fit(points.at(name));
    std::cout << " " << fit.slope << " | " << fit.residual << " | "
              << fit.at(target) << " |\n";
  }
};

} // namespace plantainhatch::tools

#endif
