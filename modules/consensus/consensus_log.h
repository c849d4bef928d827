#pragma once

#include "modules/consensus/gen/consensus_messages_types.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace teasellock {

/// The part of the replicated log that is in memory: the entries that follow a
/// base entry. Of the base only index and term are known; it and all entries
/// before it have been compacted away. Index 0 is the start of the log.
class consensus_log {
public:
  consensus_log() = default;
  consensus_log(std::uint64_t BaseIndex, std::uint64_t BaseTerm,
                std::deque<wire::log_entry> Entries);

  std::uint64_t baseIndex() const { return BaseIndex; }
  std::uint64_t lastIndex() const { return BaseIndex + Entries.size(); }
  std::uint64_t lastTerm() const { return termAt(lastIndex()); }

  /// Reports whether the term of this entry is known: whether it is the base
  /// or one of the entries that follow it.
  bool hasTermAt(std::uint64_t Index) const;

  /// Returns the term of an entry for which hasTermAt() is true. Throws
  /// std::out_of_range for an index outside of the log.
  std::uint64_t termAt(std::uint64_t Index) const;

  /// Returns an entry that follows the base.
  const wire::log_entry &at(std::uint64_t Index) const;

  void append(wire::log_entry Entry);

  /// Removes all entries from Index on.
  void truncateFrom(std::uint64_t Index);

  /// Makes Index, for which hasTermAt() is true, the base. Does nothing if the
  /// base is not before Index.
  void advanceBase(std::uint64_t Index);

  /// Removes all entries and sets the base.
  void reset(std::uint64_t BaseIndex, std::uint64_t BaseTerm);

  /// Returns consecutive entries from Index on, until their data reaches
  /// MaxBytes. The entry that reaches it is included.
  std::vector<wire::log_entry> slice(std::uint64_t Index,
                                     std::size_t MaxBytes) const;

private:
  std::uint64_t BaseIndex = 0;
  std::uint64_t BaseTerm = 0;
  std::deque<wire::log_entry> Entries;
};

} // namespace teasellock
