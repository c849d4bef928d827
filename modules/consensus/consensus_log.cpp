#include "modules/consensus/consensus_log.h"

namespace teasellock {

consensus_log::consensus_log(std::uint64_t BaseIndex, std::uint64_t BaseTerm,
                             std::deque<wire::log_entry> Entries)
    : BaseIndex(BaseIndex), BaseTerm(BaseTerm), Entries(std::move(Entries)) {}

bool consensus_log::hasTermAt(std::uint64_t Index) const {
  return Index >= BaseIndex && Index <= lastIndex();
}

std::uint64_t consensus_log::termAt(std::uint64_t Index) const {
  if (Index == BaseIndex)
    return BaseTerm;
  return static_cast<std::uint64_t>(at(Index).term);
}

const wire::log_entry &consensus_log::at(std::uint64_t Index) const {
  return Entries.at(Index - BaseIndex - 1);
}

void consensus_log::append(wire::log_entry Entry) {
  Entries.push_back(std::move(Entry));
}

void consensus_log::truncateFrom(std::uint64_t Index) {
  while (lastIndex() >= Index && !Entries.empty())
    Entries.pop_back();
}

void consensus_log::advanceBase(std::uint64_t Index) {
  if (Index <= BaseIndex)
    return;
  BaseTerm = termAt(Index);
  Entries.erase(Entries.begin(), Entries.begin() + static_cast<std::ptrdiff_t>(
                                                       Index - BaseIndex));
  BaseIndex = Index;
}

void consensus_log::reset(std::uint64_t NewIndex, std::uint64_t NewTerm) {
  Entries.clear();
  BaseIndex = NewIndex;
  BaseTerm = NewTerm;
}

std::vector<wire::log_entry> consensus_log::slice(std::uint64_t Index,
                                                  std::size_t MaxBytes) const {
  std::vector<wire::log_entry> Result;
  std::size_t Bytes = 0;
  for (; Index <= lastIndex() && Bytes < MaxBytes; ++Index) {
    Result.push_back(at(Index));
    Bytes += Result.back().data.size();
  }
  return Result;
}

} // namespace teasellock
