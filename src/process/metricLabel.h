/** \file
 * Labels of metrics. */
#ifndef PLANTAINHATCH_PROCESS_METRICLABEL_H
#define PLANTAINHATCH_PROCESS_METRICLABEL_H

#include <string>
#include <string_view>

namespace plantainhatch {

/** The label \p name for Metrics in the Prometheus syntax, whatever bytes are
 * in \p value. \pre \p name is a label name of that syntax. Pure; thread-safe.
 */
std::string metricLabel(std::string_view name, std::string_view value);

} // namespace plantainhatch

#endif
