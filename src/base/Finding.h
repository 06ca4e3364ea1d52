/** \file
 * Findings about what a user wrote, each with its place. */
#ifndef PLANTAINHATCH_BASE_FINDING_H
#define PLANTAINHATCH_BASE_FINDING_H

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>

#include <string>
#include <vector>

namespace plantainhatch {

/** One fault in a file or in an argument. The message says what to do about it.
 */
struct Finding {
  /** The file, or the argument's name. */
  std::string source;
  /** Counted from 1; 0 if the place has no line. */
  std::size_t line = 0;
  /** Counted from 1; 0 if the place has no column. */
  std::size_t column = 0;
  /** The name of the field, if the place is one. */
  std::string field;
  std::string message;

  /** "source:line:column: field: message", without the parts that are not set.
   */
  std::string toString() const;
};

/** All faults of one input, in the order of their places. */
using Findings = std::vector<Finding>;

/** The findings, one a line. */
std::string toString(const Findings &findings);

/** A value, or everything that was wrong with the input it should have come
 * from. */
template <typename T>
using Checked =
    boost::outcome_v2::basic_result<T, Findings,
                                    boost::outcome_v2::policy::all_narrow>;

} // namespace plantainhatch

#endif
