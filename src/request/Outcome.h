/** \file
 * What the system says about a request that it answers itself. */
#ifndef PLANTAINHATCH_REQUEST_OUTCOME_H
#define PLANTAINHATCH_REQUEST_OUTCOME_H

#include <cstdint>
#include <string_view>

namespace plantainhatch {

/** Whether a request was run. NotRun is only said where it is proved. */
enum class Outcome : std::uint8_t { NotRun, Unknown };

/** The value of the Plantainhatch-Outcome header: "not-run" or "unknown". */
constexpr std::string_view toString(Outcome outcome) {
  return outcome == Outcome::NotRun ? "not-run" : "unknown";
}

} // namespace plantainhatch

#endif
