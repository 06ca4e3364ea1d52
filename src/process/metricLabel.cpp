#include "process/metricLabel.h"

#include "base/Text.h"

namespace plantainhatch {

std::string metricLabel(std::string_view name, std::string_view value) {
  std::string label(name);
  label += "=\"";
  for (const char c : toValidUtf8(value)) {
    if (c == '\\' || c == '"')
      label += '\\';
    if (c == '\n')
      label += "\\n";
    else
      label += c;
  }
  return label + "\"";
}

} // namespace plantainhatch
