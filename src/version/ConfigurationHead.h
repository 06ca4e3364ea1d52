/** \file
 * The head row, which identifies the accepted version of the configuration. */
#ifndef PLANTAINHATCH_VERSION_CONFIGURATIONHEAD_H
#define PLANTAINHATCH_VERSION_CONFIGURATIONHEAD_H

#include "base/Finding.h"
#include "base/Time.h"

#include <cstdint>
#include <string>

namespace plantainhatch {

/** Identifies one accepted version. A version becomes accepted at the moment
 * when the compare-and-swap of the head row takes effect, and only then. */
struct ConfigurationHead {
  std::uint64_t version = 0;
  /** SHA-256 of the rules text, in hexadecimal; the key under which the text is
   * stored. */
  std::string digest;
  /** Set by the program that applies the version, which uses it to recognise
   * its own write if the store's answer is lost. */
  std::string applyId;
  std::string author;
  /** Description of the change for display. */
  std::string change;
  /** Wall-clock time, in milliseconds since the Unix epoch. */
  std::int64_t appliedAtMs = 0;

  bool operator==(const ConfigurationHead &) const = default;

  /** The value of the row, as JSON. */
  std::string toJson() const;

  /** Parses the value of a row. \return a finding if it is not valid. */
  static Checked<ConfigurationHead> fromJson(const std::string &json);

  /** Serialization hook. */
  template <typename Archive> void serialize(Archive &archive) {
    archive(version, digest, applyId, author, change, appliedAtMs);
  }
};

} // namespace plantainhatch

#endif
