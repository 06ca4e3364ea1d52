#include "support/Fleet.h"

#include "operator/MainLoop.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace plantainhatch::test {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds PollInterval{20};

std::string makeFolder() {
  const std::unique_ptr<gchar, decltype(&g_free)> name(
      g_dir_make_tmp("plantainhatch-XXXXXX", nullptr), g_free);
  return name.get();
}

/** An address in 127.0.0.0/8 of this process alone, so that programs which run
 * side by side do not take each other's ports. */
const std::string &loopbackHost() {
  constexpr unsigned BitsPerPart = 8;
  constexpr unsigned PartMask = 255;
  static const std::string Host = [] {
    const auto id = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + (id >> 2 * BitsPerPart) % PartMask) +
           "." + std::to_string((id >> BitsPerPart) & PartMask) + "." +
           std::to_string(id & PartMask);
  }();
  return Host;
}

bool isFree(const char *host, std::uint16_t port) {
  const GObjectPtr<GSocketListener> listener(g_socket_listener_new());
  const GObjectPtr<GSocketAddress> address(
      g_inet_socket_address_new_from_string(host, port));
  return g_socket_listener_add_address(
             listener.get(), address.get(), G_SOCKET_TYPE_STREAM,
             G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, nullptr) != FALSE;
}

} // namespace

Address freeAddress() {
  // Below the range that the kernel takes for outgoing connections, one of
  // which could otherwise take the port before the process that is to have it.
  constexpr int FirstPort = 10'000;
  constexpr int LastPort = 32'000;
  static int next = g_random_int_range(FirstPort, LastPort);
  for (;;) {
    next = next + 1 < LastPort ? next + 1 : FirstPort;
    const auto port = static_cast<std::uint16_t>(next);
    if (isFree(loopbackHost().c_str(), port))
      return {loopbackHost(), port};
  }
}

Fleet::Fleet(FleetPlan newPlan)
    : plan(std::move(newPlan)), folder(makeFolder()) {
  platform = freeAddress();
  write("cluster.key", key());
  json nodes = json::array();
  for (const VmPlan &it : plan.vms) {
    auto vm = std::make_unique<Vm>();
    vm->plan = it;
    vm->callers = freeAddress();
    vm->peers = freeAddress();
    vm->targets = freeAddress();
    vm->target = freeAddress();
    writeSettings(*vm);
    nodes.push_back(vm->callers.toString());
    vms.push_back(std::move(vm));
  }
  operatorSettings =
      write("operator.json", json{{"cluster", plan.cluster},
                                  {"platform", "http://" + platform.toString()},
                                  {"keyFile", "cluster.key"},
                                  {"nodes", nodes}}
                                 .dump(2));
}

Fleet::~Fleet() {
  vms.clear();
  platformProcess.reset();
  if (std::getenv("PLANTAINHATCH_KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(folder);
  else
    std::cerr << "logs are in " << folder << "\n";
}

void Fleet::writeSettings(Vm &vm) {
  const json settings{{"cluster", plan.cluster},
                      {"failureDomain", vm.plan.failureDomain},
                      {"callers", vm.callers.toString()},
                      {"peers", vm.peers.toString()},
                      {"targets", vm.targets.toString()},
                      {"platform", "http://" + platform.toString()},
                      {"seeds", json::array()},
                      {"keyFile", "cluster.key"}};
  vm.settingsFile = write("node-" + std::to_string(vm.callers.port) + ".json",
                          settings.dump(2));
}

std::string Fleet::write(const std::string &name, const std::string &content) {
  std::string path = folder + "/" + name;
  std::ofstream(path) << content;
  return path;
}

bool Fleet::start() {
  startPlatform();
  if (!waitUntil([this] {
        return http.get(platform, "/standin/stats").status == 200;
      }))
    return false;
  if (!plan.rules.empty()) {
    const auto applied = command({"apply", write("rules.txt", plan.rules)});
    if (applied.code != 0) {
      std::cerr << applied.err;
      return false;
    }
  }
  for (std::size_t n = 0; n < vms.size(); ++n) {
    startNode(n);
    startTarget(n);
  }
  return waitUntil([this] { return isComplete(); }, std::chrono::seconds(60));
}

void Fleet::startPlatform() {
  platformProcess = std::make_unique<ChildProcess>(
      std::vector<std::string>{binFolder() + "/standin-platform",
                               platform.toString()},
      folder + "/platform.log");
}

void Fleet::startNode(std::size_t n) {
  Vm &vm = *vms[n];
  std::vector<std::string> words{binFolder() + "/plantainhatchd", "--settings",
                                 vm.settingsFile};
  std::ranges::copy(plan.nodeOptions, std::back_inserter(words));
  vm.node = std::make_unique<ChildProcess>(
      words, folder + "/node-" + std::to_string(vm.callers.port) + ".log");
}

void Fleet::startTarget(std::size_t n) {
  Vm &vm = *vms[n];
  if (vm.plan.service.empty())
    return;
  std::vector<std::string> words{binFolder() + "/standin-target",
                                 "--listen",
                                 vm.target.toString(),
                                 "--node",
                                 vm.targets.toString(),
                                 "--service",
                                 vm.plan.service,
                                 "--slots",
                                 std::to_string(vm.plan.slots),
                                 "--cold-slots",
                                 std::to_string(vm.plan.coldSlots),
                                 "--connections",
                                 std::to_string(vm.plan.connections),
                                 "--seed",
                                 std::to_string(n + 1),
                                 "--journal",
                                 folder + "/journal"};
  std::ranges::copy(vm.plan.targetOptions, std::back_inserter(words));
  if (!vm.plan.calls.empty()) {
    words.emplace_back("--calls");
    words.push_back("http://" + vm.callers.toString() + vm.plan.calls);
  }
  vm.targetProcess = std::make_unique<ChildProcess>(
      words, folder + "/target-" + std::to_string(vm.target.port) + ".log");
}

bool Fleet::isComplete() {
  for (std::size_t n = 0; n < vms.size(); ++n) {
    const json state = status(n);
    if (state.is_null() || state.value("present", 0U) != vms.size())
      return false;
    const auto serving =
        std::ranges::count_if(state.at("members"), [](const json &member) {
          return member.at("targetState") == "cold" ||
                 member.at("targetState") == "warm";
        });
    const auto wanted = std::ranges::count_if(
        vms, [](const auto &vm) { return !vm->plan.service.empty(); });
    const bool hasRules = plan.rules.empty() || state.value("version", 0) > 0;
    if (serving != wanted || !hasRules)
      return false;
  }
  return true;
}

CommandOutput Fleet::command(const std::vector<std::string> &words) {
  std::vector<std::string> all{binFolder() + "/plantainhatch", "--settings",
                               operatorSettings};
  std::ranges::copy(words, std::back_inserter(all));
  std::vector<const gchar *> argv;
  argv.reserve(all.size() + 1);
  for (const std::string &word : all)
    argv.push_back(word.c_str());
  argv.push_back(nullptr);
  const GObjectPtr<GSubprocess> process(g_subprocess_newv(
      argv.data(),
      static_cast<GSubprocessFlags>(G_SUBPROCESS_FLAGS_STDOUT_PIPE |
                                    G_SUBPROCESS_FLAGS_STDERR_PIPE),
      nullptr));
  gchar *out = nullptr;
  gchar *err = nullptr;
  g_subprocess_communicate_utf8(process.get(), nullptr, nullptr, &out, &err,
                                nullptr);
  CommandOutput output{g_subprocess_get_exit_status(process.get()),
                       out == nullptr ? "" : out, err == nullptr ? "" : err};
  g_free(out);
  g_free(err);
  return output;
}

void Fleet::setPlatform(const json &order) {
  http.send(platform, "POST", "/standin/control", {}, order.dump());
}

void Fleet::setTarget(std::size_t vm, const json &order) {
  http.send(vms[vm]->target, "POST", "/standin/control", {}, order.dump());
}

json Fleet::status(std::size_t vm) {
  const auto answer = http.get(vms[vm]->callers, "/plantainhatch/v1/status");
  return answer.status == 200 ? json::parse(answer.body, nullptr, false)
                              : json();
}

json Fleet::targetStats(std::size_t vm) {
  const auto answer = http.get(vms[vm]->target, "/standin/stats");
  return answer.status == 200 ? json::parse(answer.body, nullptr, false)
                              : json();
}

double Fleet::metric(std::size_t vm, const std::string &name,
                     const std::string &label) {
  const auto answer = http.get(vms[vm]->callers, "/plantainhatch/v1/metrics");
  std::istringstream lines(answer.body);
  std::string line;
  double sum = 0;
  while (std::getline(lines, line)) {
    const std::string full = "plantainhatch_" + name;
    const bool isName =
        line.starts_with(full + " ") || line.starts_with(full + "{");
    if (isName && line.find(label) != std::string::npos)
      sum += std::stod(line.substr(line.rfind(' ')));
  }
  return sum;
}

bool Fleet::waitUntil(const std::function<bool()> &condition,
                      std::chrono::milliseconds limit) {
  const auto giveUpAt = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > giveUpAt)
      return false;
    pause(PollInterval);
  }
  return true;
}

std::size_t Fleet::vmOf(const std::string &service, std::size_t place) const {
  for (std::size_t n = 0; n < vms.size(); ++n)
    if (vms[n]->plan.service == service && place-- == 0)
      return n;
  std::cerr << "the plan has too few targets of " << service << "\n";
  std::abort();
}

std::vector<Address> Fleet::callers() const {
  std::vector<Address> addresses;
  std::ranges::transform(vms, std::back_inserter(addresses),
                         [](const auto &vm) { return vm->callers; });
  return addresses;
}

} // namespace plantainhatch::test
