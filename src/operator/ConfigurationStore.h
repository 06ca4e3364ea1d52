/** \file
 * The accepted configuration in the platform's table, as operators' commands
 * see it. */
#ifndef PLANTAINHATCH_OPERATOR_CONFIGURATIONSTORE_H
#define PLANTAINHATCH_OPERATOR_CONFIGURATIONSTORE_H

#include "platform/StoreClient.h"
#include "version/Configuration.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace plantainhatch {

/** The accepted version with the tag of its row. */
struct StoredConfiguration {
  ConfigurationPtr configuration;
  /** Nothing if there is no head row yet. */
  std::optional<std::string> etag;
};

/** One change that an operator wants to make. */
struct ChangeOrder {
  /** Makes the new text from the accepted version. */
  std::function<std::string(const Configuration &)> edit;
  std::string author;
  /** What is changed, for people. */
  std::string description;
  /** Refuse unless this is the accepted version. */
  std::optional<std::uint64_t> expectedVersion;
  /** The newest version that nodes hold. A store with an older one was set
   * back, and nothing is changed until nodes have repaired it. */
  std::uint64_t versionAtNodes = 0;
};

/** How an order ended. */
struct ChangeResult {
  enum class Kind : std::uint8_t {
    Accepted,
    /** The text is in force already. */
    Unchanged,
    /** Another change won; \c winner names it. */
    Lost,
    /** It was not accepted and never will be. */
    NotAccepted,
    /** The store does not answer, and whether it was accepted is not known. */
    Unknown,
    /** The new text has faults. */
    Invalid
  };
  Kind kind = Kind::NotAccepted;
  ConfigurationHead head;
  /** The text of \c head. */
  std::string text;
  std::optional<ConfigurationHead> winner;
  Findings findings;
  std::string reason;
};

/** Reads and changes the accepted configuration. A change is accepted by one
 * compare-and-swap of the head row; when the answer to it is lost, the store is
 * asked until it is certain whether the swap has taken effect. Blocks the
 * caller while it runs the main loop. */
class ConfigurationStore {
public:
  /** How long a lost answer is looked into. */
  static constexpr std::chrono::seconds ResolveTime{20};

  ConfigurationStore(std::string cluster, StoreClient &platform);

  /** The accepted version, or a finding if the store does not answer. */
  Checked<StoredConfiguration> read();
  /** The version with this number, from the history. */
  Checked<ConfigurationPtr> readVersion(std::uint64_t version);
  /** Heads of accepted versions, oldest first. */
  Checked<std::vector<ConfigurationHead>> readHistory();
  /** Carries out one order. */
  ChangeResult change(const ChangeOrder &order);

private:
  std::string cluster;
  StoreClient &platform;

  Checked<ConfigurationPtr> load(const ConfigurationHead &head);
  StoreResult swap(const StoredConfiguration &from,
                   const ConfigurationHead &head);
  ChangeResult resolve(const StoredConfiguration &from,
                       const ConfigurationHead &head);
  bool fence(const RowResult &row, const ConfigurationHead &unwanted);
  RowResult readHeadRow();
  std::string table() const { return cluster + "-config"; }
};

} // namespace plantainhatch

#endif
