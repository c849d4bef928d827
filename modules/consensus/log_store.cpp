#include "modules/consensus/log_store.h"

#include "core/error.h"
#include "modules/consensus/log_frame.h"
#include "modules/consensus/wire_members.h"
#include "modules/link/codec.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace teasellock {

namespace {

const std::string LockName = "lock";
const std::string StoreName = "store";
const std::string VoteName = "vote";
const std::string SegmentPrefix = "log-";
const std::string SnapshotPrefix = "snapshot-";
const std::string TemporarySuffix = ".tmp";

/// Returns the prefix followed by the number with leading zeros, so that the
/// order of names is that of numbers.
std::string numberedFileName(const std::string &Prefix, std::uint64_t Number) {
  char Digits[32];
  std::snprintf(Digits, sizeof(Digits), "%020llu",
                static_cast<unsigned long long>(Number));
  return Prefix + Digits;
}

/// Returns the number after the prefix, or nullopt if the name has another
/// form.
std::optional<std::uint64_t> parseFileNumber(const std::string &Prefix,
                                             const std::string &Name) {
  if (!Name.starts_with(Prefix))
    return std::nullopt;
  std::uint64_t Number = 0;
  const char *End = Name.data() + Name.size();
  auto Result = std::from_chars(Name.data() + Prefix.size(), End, Number);
  if (Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Number;
}

bool contains(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

bool hasLogFiles(const std::vector<std::string> &Names) {
  return std::any_of(Names.begin(), Names.end(), [](const auto &Name) {
    return Name.starts_with(SegmentPrefix) || Name.starts_with(SnapshotPrefix);
  });
}

/// Returns the payload of a file that consists of one frame. Throws error when
/// the frame is not valid.
std::string readSingleFrame(const std::string &Content,
                            const std::string &Path) {
  frame_result Frame = readFrame(Content, 0);
  if (!Frame.IsValid || Frame.NextOffset != Content.size())
    throw error("log.recover", Path, "bad checksum at offset 0");
  return std::string(Frame.Payload);
}

hard_state fromWire(const wire::vote_record &Record) {
  return {static_cast<std::uint64_t>(Record.term),
          store_id(static_cast<std::uint64_t>(Record.vote)),
          static_cast<std::uint64_t>(Record.cluster)};
}

} // namespace

log_store::log_store(file_system Files, std::string Folder, store_id NewStore)
    : Files(std::move(Files)), Folder(std::move(Folder)) {
  this->Files.MakeFolder(this->Folder);
  Lock = this->Files.Lock(path(LockName));
  std::vector<std::string> Names = this->Files.List(this->Folder);
  removeTemporaryFiles(Names);
  loadIdentity(NewStore, Names);
  readSnapshot(Names);
  readSegments(Names);
  dropEntriesCoveredBySnapshot();
}

std::string log_store::path(const std::string &Name) const {
  return Folder + "/" + Name;
}

void log_store::removeTemporaryFiles(std::vector<std::string> &Names) {
  auto IsTemporary = [](const std::string &Name) {
    return Name.ends_with(TemporarySuffix);
  };
  for (const std::string &Name : Names)
    if (IsTemporary(Name))
      Files.Remove(path(Name));
  std::erase_if(Names, IsTemporary);
}

void log_store::loadIdentity(store_id NewStore,
                             const std::vector<std::string> &Names) {
  if (!contains(Names, StoreName)) {
    if (hasLogFiles(Names) || contains(Names, VoteName))
      throw error("log.recover", path(StoreName),
                  "missing although the folder contains a log or a vote");
    writeFileAtomically(StoreName, encodeFrame(std::to_string(NewStore.Value)));
    Recovered.Store = NewStore;
    return;
  }
  std::string Digits =
      readSingleFrame(*Files.Read(path(StoreName)), path(StoreName));
  Recovered.Store = store_id(std::stoull(Digits));
  if (std::optional<std::string> Vote = Files.Read(path(VoteName)))
    Recovered.HardState = fromWire(decode<wire::vote_record>(
        readSingleFrame(*Vote, path(VoteName)), path(VoteName)));
  else if (hasLogFiles(Names))
    throw error("log.recover", path(VoteName),
                "missing although the folder contains a log");
}

void log_store::readSnapshot(const std::vector<std::string> &Names) {
  for (const std::string &Name : Names)
    if (auto Index = parseFileNumber(SnapshotPrefix, Name))
      Snapshots.push_back(*Index);
  if (Snapshots.empty())
    return;
  std::string Path = path(numberedFileName(SnapshotPrefix, Snapshots.back()));
  auto Record = decode<wire::snapshot_record>(
      readSingleFrame(*Files.Read(Path), Path), Path);
  auto Snapshot = std::make_shared<log_snapshot>();
  Snapshot->Index = static_cast<std::uint64_t>(Record.last_index);
  Snapshot->Term = static_cast<std::uint64_t>(Record.last_term);
  Snapshot->Members = fromWire(Record.members);
  Snapshot->Data = std::move(Record.data);
  Recovered.Snapshot = std::move(Snapshot);
}

void log_store::readSegments(const std::vector<std::string> &Names) {
  std::vector<std::string> SegmentNames;
  for (const std::string &Name : Names)
    if (parseFileNumber(SegmentPrefix, Name))
      SegmentNames.push_back(Name);
  for (const std::string &Name : SegmentNames)
    readSegment(Name, Name == SegmentNames.back());
}

void log_store::readSegment(const std::string &Name, bool IsLast) {
  std::string Content = *Files.Read(path(Name));
  Segments.push_back({*parseFileNumber(SegmentPrefix, Name), 0, 0});
  std::size_t Offset = 0;
  while (Offset < Content.size()) {
    frame_result Frame = readFrame(Content, Offset);
    if (!Frame.IsValid)
      break;
    auto Batch = decode<wire::log_batch>(Frame.Payload, path(Name));
    for (wire::log_entry &Entry : Batch.entries)
      addRecoveredEntry(std::move(Entry), Name, Offset);
    Recovered.Commit =
        std::max(Recovered.Commit, static_cast<std::uint64_t>(Batch.commit));
    Offset = Frame.NextOffset;
  }
  Segments.back().Size = Offset;
  if (Offset == Content.size())
    return;
  if (!IsLast || containsValidFrame(Content, Offset + 1))
    throw error("log.recover", path(Name),
                "bad checksum at offset " + std::to_string(Offset) +
                    " followed by good records");
  Recovered.TruncatedBytes = Content.size() - Offset;
  Files.Truncate(path(Name), Offset);
  Files.SyncFile(path(Name));
}

void log_store::addRecoveredEntry(wire::log_entry &&Entry,
                                  const std::string &Name, std::size_t Offset) {
  auto Index = static_cast<std::uint64_t>(Entry.index);
  std::deque<wire::log_entry> &Entries = Recovered.Entries;
  while (!Entries.empty() && Entries.back().index >= Entry.index)
    Entries.pop_back();
  std::uint64_t Covered = Recovered.Snapshot ? Recovered.Snapshot->Index : 0;
  std::uint64_t Previous =
      Entries.empty() ? Covered
                      : static_cast<std::uint64_t>(Entries.back().index);
  if (Index > std::max(Previous, Covered) + 1)
    throw error("log.recover", path(Name),
                "entry " + std::to_string(Index) + " at offset " +
                    std::to_string(Offset) + " follows entry " +
                    std::to_string(Previous));
  if (Index > Previous + 1)
    Entries.clear();
  Segments.back().LastIndex = std::max(Segments.back().LastIndex, Index);
  Entries.push_back(std::move(Entry));
}

void log_store::dropEntriesCoveredBySnapshot() {
  if (!Recovered.Snapshot)
    return;
  std::deque<wire::log_entry> &Entries = Recovered.Entries;
  auto Covered = static_cast<std::int64_t>(Recovered.Snapshot->Index);
  auto Term = static_cast<std::int64_t>(Recovered.Snapshot->Term);
  bool HasConflict = false;
  while (!Entries.empty() && Entries.front().index <= Covered) {
    HasConflict =
        Entries.front().index < Covered || Entries.front().term != Term;
    Entries.pop_front();
  }
  if (!HasConflict)
    return;
  Recovered.Commit = Recovered.Snapshot->Index;
  Entries.clear();
  removeAllSegments();
}

recovered_log log_store::extractRecovered() { return std::move(Recovered); }

void log_store::writeFileAtomically(const std::string &Name,
                                    std::string_view Bytes) {
  std::string Temporary = path(Name + TemporarySuffix);
  Files.Append(Temporary, Bytes);
  Files.SyncFile(Temporary);
  Files.Rename(Temporary, path(Name));
  Files.SyncFolder(Folder);
}

void log_store::saveHardState(const hard_state &HardState) {
  wire::vote_record Record;
  Record.term = static_cast<std::int64_t>(HardState.Term);
  Record.vote = static_cast<std::int64_t>(HardState.VotedFor.Value);
  Record.cluster = static_cast<std::int64_t>(HardState.Cluster);
  writeFileAtomically(VoteName, encodeFrame(encode(Record)));
}

void log_store::beginSegment() {
  std::uint64_t Number = Segments.empty() ? 1 : Segments.back().Number + 1;
  Files.Append(path(numberedFileName(SegmentPrefix, Number)), "");
  Files.SyncFolder(Folder);
  Segments.push_back({Number, 0, 0});
}

void log_store::append(const std::vector<wire::log_entry> &Entries,
                       std::uint64_t Commit) {
  if (Entries.empty())
    return;
  if (Segments.empty() || Segments.back().Size >= SegmentSize)
    beginSegment();
  wire::log_batch Batch;
  Batch.entries = Entries;
  Batch.commit = static_cast<std::int64_t>(Commit);
  std::string Bytes = encodeFrame(encode(Batch));
  segment &Current = Segments.back();
  std::string File = path(numberedFileName(SegmentPrefix, Current.Number));
  Files.Append(File, Bytes);
  Files.SyncFile(File);
  Current.Size += Bytes.size();
  for (const wire::log_entry &Entry : Entries)
    Current.LastIndex =
        std::max(Current.LastIndex, static_cast<std::uint64_t>(Entry.index));
}

void log_store::saveSnapshot(const log_snapshot &Snapshot, bool DiscardLog) {
  wire::snapshot_record Record;
  Record.last_index = static_cast<std::int64_t>(Snapshot.Index);
  Record.last_term = static_cast<std::int64_t>(Snapshot.Term);
  Record.members = toWire(Snapshot.Members);
  Record.data = Snapshot.Data;
  writeFileAtomically(numberedFileName(SnapshotPrefix, Snapshot.Index),
                      encodeFrame(encode(Record)));
  Snapshots.push_back(Snapshot.Index);
  if (DiscardLog)
    removeAllSegments();
  else
    removeSegmentsUpTo(Snapshot.Index);
  removeOldSnapshots(Snapshot.Index);
}

// Removes the oldest segment first and makes each removal durable before the
// next, so that a crash leaves a sequence of segments without a gap.
void log_store::removeSegmentsUpTo(std::uint64_t Index) {
  if (Segments.empty())
    return;
  if (Segments.back().Size > 0)
    beginSegment();
  while (Segments.size() > 1 && Segments.front().LastIndex <= Index) {
    Files.Remove(
        path(numberedFileName(SegmentPrefix, Segments.front().Number)));
    Files.SyncFolder(Folder);
    Segments.erase(Segments.begin());
  }
}

// Removes the newest segment first, so that the segments left after a crash
// still start with the entries that show the conflict with the snapshot.
void log_store::removeAllSegments() {
  while (!Segments.empty()) {
    Files.Remove(path(numberedFileName(SegmentPrefix, Segments.back().Number)));
    Files.SyncFolder(Folder);
    Segments.pop_back();
  }
}

void log_store::removeOldSnapshots(std::uint64_t Kept) {
  for (std::uint64_t Index : Snapshots)
    if (Index != Kept)
      Files.Remove(path(numberedFileName(SnapshotPrefix, Index)));
  Files.SyncFolder(Folder);
  Snapshots.assign(1, Kept);
}

} // namespace teasellock
