/** \file
 * Answer body of which a prefix has already been read. */
#ifndef PLANTAINHATCH_NODE_PREFIXEDSOURCE_H
#define PLANTAINHATCH_NODE_PREFIXEDSOURCE_H

#include "connection/AnswerSource.h"

#include <string>
#include <utility>

namespace plantainhatch {

/** Yields the prefix, unless it is empty, as the first chunk and then the
 * chunks of the underlying source. Not thread-safe: main loop only. */
class PrefixedSource : public AnswerSource {
public:
  PrefixedSource(std::string prefix, AnswerSourcePtr source)
      : prefix(std::move(prefix)), source(std::move(source)) {}

  void read(ChunkReceiver receiver) override {
    if (prefix.empty()) {
      source->read(std::move(receiver));
      return;
    }
    const std::string bytes = std::exchange(prefix, {});
    receiver(GBytesPtr(g_bytes_new(bytes.data(), bytes.size())));
  }

  void cancel() override { source->cancel(); }

private:
  std::string prefix;
  AnswerSourcePtr source;
};

} // namespace plantainhatch

#endif
