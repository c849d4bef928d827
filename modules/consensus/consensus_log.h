#pragma once

#include "modules/consensus/gen/consensus_messages_types.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace teasellock {

/// The entries of the log that are still held, after a base entry.
class consensus_log {
public:
  consensus_log() = default;
  consensus_log(std::uint64_t BaseIndex, std::uint64_t BaseTerm,
                std::deque<wire::log_entry> Entries);

  std::uint64_t baseIndex() const { return BaseIndex; }
  std::uint64_t lastIndex() const { return BaseIndex + Entries.size(); }
  std::uint64_t lastTerm() const { return termAt(lastIndex()); }

  /// Whether the term of this entry is known: the base or any after it.
  bool knows(std::uint64_t Index) const;

  /// The term of an entry that is known.
  std::uint64_t termAt(std::uint64_t Index) const;

  /// An entry after the base.
  const wire::log_entry &at(std::uint64_t Index) const;

  void append(wire::log_entry Entry);

  /// Drops all entries from Index on.
  void truncateFrom(std::uint64_t Index);

  /// Makes Index, which is known, the base.
  void advanceBase(std::uint64_t Index);

  /// Forgets everything.
  void reset(std::uint64_t BaseIndex, std::uint64_t BaseTerm);

  /// Entries from Index on, up to about so many bytes, but at least one.
  std::vector<wire::log_entry> slice(std::uint64_t Index,
                                     std::size_t MostBytes) const;

private:
  std::uint64_t BaseIndex = 0;
  std::uint64_t BaseTerm = 0;
  std::deque<wire::log_entry> Entries;
};

} // namespace teasellock
