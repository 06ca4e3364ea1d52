/** \file
 * Versions of the configuration that other nodes have and this one lacks. */
#ifndef PLANTAINHATCH_PROCESS_HEARDVERSIONS_H
#define PLANTAINHATCH_PROCESS_HEARDVERSIONS_H

#include "base/Address.h"
#include "base/Time.h"

#include <cstdint>
#include <vector>

namespace plantainhatch {

/** Bounds how long a node may serve by its version after it has heard of a
 * newer one, whatever keeps that one from arriving. A version is heard of from
 * a node that has it in force, so it has been accepted. Time is an argument.
 * Not thread-safe. */
class HeardVersions {
public:
  /** How long the version in force may be used after a newer one was heard of.
   * A longer lag shows that this one does not arrive as usual. */
  static constexpr std::chrono::milliseconds MaxLag{500};
  /** Versions that are kept apart. Beyond that, a newer one takes the place of
   * the newest, with the time at which that was heard of. */
  static constexpr std::size_t MaxVersions = 16;
  /** Nodes that are remembered for a version. */
  static constexpr std::size_t MaxHolders = 4;

  /** The node at \p holder has \p version in force. \return true if no node has
   * named a version that new before. */
  bool onHeard(std::uint64_t version, const Address &holder, TimePoint now);

  /** \p version is in force at this node. */
  void onInForce(std::uint64_t version);

  /** The source of versions has answered a question of \p askedAt with the
   * version in force, so that what was heard of before was never accepted. */
  void onConfirmed(TimePoint askedAt);

  /** This node has run a call by \p version, which another node has; it runs
   * none by an older one from now on. */
  void onUsed(std::uint64_t version);

  /** True if a newer version than the one in force was heard of too long ago,
   * or was used already. */
  bool isOutdated(TimePoint now) const;

  /** Time since the first newer version was heard of; zero if there is none. */
  Duration lag(TimePoint now) const;

  /** The newest version that was heard of; 0 if none is newer than the one in
   * force. */
  std::uint64_t newest() const;

  /** Nodes that have the newest version, the latest that was heard first. */
  std::vector<Address> holders() const;

private:
  struct Entry {
    std::uint64_t version = 0;
    TimePoint heardAt;
    bool isUsed = false;
    std::vector<Address> holders;
  };

  /** Ascending by version and by time. */
  std::vector<Entry> entries;
  std::uint64_t inForce = 0;
};

} // namespace plantainhatch

#endif
