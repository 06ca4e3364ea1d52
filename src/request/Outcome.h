/** \file
 * Execution status that the system reports in answers that it makes itself.
 */
#ifndef PLANTAINHATCH_REQUEST_OUTCOME_H
#define PLANTAINHATCH_REQUEST_OUTCOME_H

#include <cstdint>
#include <string_view>

namespace plantainhatch {

/** Whether a request was run. NotRun is reported only if it is proven. */
enum class Outcome : std::uint8_t { NotRun, Unknown };

/** The value of the Plantainhatch-Outcome header: "not-run" or "unknown". */
constexpr std::string_view toString(Outcome outcome) {
  return outcome == Outcome::NotRun ? "not-run" : "unknown";
}

} // namespace plantainhatch

#endif
