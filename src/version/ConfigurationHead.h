/** \file
 * The head row: names the accepted version of the configuration. */
#ifndef PLANTAINHATCH_VERSION_CONFIGURATIONHEAD_H
#define PLANTAINHATCH_VERSION_CONFIGURATIONHEAD_H

#include "base/Finding.h"
#include "base/Time.h"

#include <cstdint>
#include <string>

namespace plantainhatch {

/** Names one accepted version. A version is accepted when the compare-and-swap
 * of the head row that names it has taken effect, and at no other moment. */
struct ConfigurationHead {
  std::uint64_t version = 0;
  /** SHA-256 of the rules text, which is stored under this digest. */
  std::string digest;
  /** Chosen by the program that applied it, to recognise its own write when the
   * answer is lost. */
  std::string applyId;
  std::string author;
  /** What was changed, for people. */
  std::string change;
  std::int64_t appliedAtMs = 0;

  bool operator==(const ConfigurationHead &) const = default;

  /** The row's value. */
  std::string toJson() const;

  /** Reads a row's value. */
  static Checked<ConfigurationHead> fromJson(const std::string &json);

  /** Serialization hook. */
  template <typename Archive> void serialize(Archive &archive) {
    archive(version, digest, applyId, author, change, appliedAtMs);
  }
};

} // namespace plantainhatch

#endif
