/** \file
 * The settings of the two programs, read from JSON and checked as a whole. */
#ifndef PLANTAINHATCH_BASE_SETTINGS_H
#define PLANTAINHATCH_BASE_SETTINGS_H

#include "base/Address.h"
#include "base/Finding.h"

#include <string>
#include <vector>

namespace plantainhatch {

/** What one node is told at its start. Immutable once read. */
struct NodeSettings {
  std::string cluster;
  std::string failureDomain;
  /** HTTP for callers, for forwarded calls of other nodes, and for status. */
  Address callers;
  /** UDP and TCP between nodes. */
  Address peers;
  /** HTTP for announcements of this VM's target. */
  Address targets;
  /** Base URL of the platform's table service and object store. */
  std::string platform;
  /** Peers addresses to try besides the seed rows in the table. */
  std::vector<Address> seeds;
  /** Content of the key file. */
  std::string key;
};

/** What the operators' program is told. Immutable once read. */
struct OperatorSettings {
  std::string cluster;
  std::string platform;
  /** Callers addresses of the nodes to ask first. */
  std::vector<Address> nodes;
  /** Content of the key file. */
  std::string key;
};

/** Reads and checks a node's settings.
 * \return the settings, or every fault with its field. */
Checked<NodeSettings> readNodeSettings(const std::string &fileName);

/** Reads and checks the operators' settings.
 * \return the settings, or every fault with its field. */
Checked<OperatorSettings> readOperatorSettings(const std::string &fileName);

/** Reads a whole file.
 * \return its content, or a finding that names the file and the reason. */
Checked<std::string> readFile(const std::string &fileName);

} // namespace plantainhatch

#endif
