#include "support/BackgroundCallers.h"

#include "support/ChildProcess.h"

#include <nlohmann/json.hpp>

namespace plantainhatch::test {

using nlohmann::json;

BackgroundCallers::BackgroundCallers(const std::vector<Address> &nodes,
                                     const std::vector<std::string> &options) {
  std::string list;
  for (const Address &node : nodes)
    list += node.toString() + ",";
  const std::string program = binFolder() + "/standin-caller";
  std::vector<const gchar *> argv{program.c_str(), "--nodes", list.c_str()};
  for (const std::string &it : options)
    argv.push_back(it.c_str());
  argv.push_back(nullptr);
  process.reset(
      g_subprocess_newv(argv.data(), G_SUBPROCESS_FLAGS_STDOUT_PIPE, nullptr));
}

json BackgroundCallers::finish() {
  gchar *out = nullptr;
  g_subprocess_communicate_utf8(process.get(), nullptr, nullptr, &out, nullptr,
                                nullptr);
  json report = json::parse(out == nullptr ? "" : out, nullptr, false);
  g_free(out);
  return report;
}

} // namespace plantainhatch::test
