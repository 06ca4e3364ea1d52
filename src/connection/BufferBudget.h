/** \file
 * Counts the bytes that all connections of this process hold in memory. */
#ifndef PLANTAINHATCH_CONNECTION_BUFFERBUDGET_H
#define PLANTAINHATCH_CONNECTION_BUFFERBUDGET_H

#include <cstddef>
#include <string>
#include <utility>

namespace plantainhatch {

/** The sum of all BufferCharges. It is a signal and not a hard limit: whoever
 * buffers stops, or refuses new work, while it is exhausted. Used on the main
 * loop's thread only. */
class BufferBudget {
public:
  /** Bytes. Half of the memory that a node may take. */
  static constexpr std::size_t Limit = 16UL * 1024 * 1024;

  static BufferBudget &instance() {
    static BufferBudget budget;
    return budget;
  }

  bool isExhausted() const { return used >= Limit; }
  /** Bytes that are held. */
  std::size_t usedBytes() const { return used; }

private:
  friend class BufferCharge;
  std::size_t used = 0;
};

/** What one buffer takes of the budget, until it is destroyed. Used on the main
 * loop's thread only. */
class BufferCharge {
public:
  BufferCharge() = default;
  ~BufferCharge() { set(0); }
  BufferCharge(const BufferCharge &) = delete;
  BufferCharge &operator=(const BufferCharge &) = delete;
  BufferCharge(BufferCharge &&other) noexcept
      : charged(std::exchange(other.charged, 0)) {}
  BufferCharge &operator=(BufferCharge &&other) noexcept {
    if (this != &other) {
      set(0);
      charged = std::exchange(other.charged, 0);
    }
    return *this;
  }

  /** Charges \p n bytes, in place of what was charged before. */
  void set(std::size_t n) {
    std::size_t &used = BufferBudget::instance().used;
    used = used - charged + n;
    charged = n;
  }
  /** Charges what \p text has allocated. */
  void set(const std::string &text) { set(text.capacity()); }

private:
  std::size_t charged = 0;
};

} // namespace plantainhatch

#endif
