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

std::string numbered(const std::string &Prefix, std::uint64_t Number) {
  char Digits[32];
  std::snprintf(Digits, sizeof(Digits), "%020llu",
                static_cast<unsigned long long>(Number));
  return Prefix + Digits;
}

std::optional<std::uint64_t> numberOf(const std::string &Prefix,
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

bool holds(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

bool hasLogFiles(const std::vector<std::string> &Names) {
  return std::any_of(Names.begin(), Names.end(), [](const auto &Name) {
    return Name.starts_with(SegmentPrefix) || Name.starts_with(SnapshotPrefix);
  });
}

/// The payload of a file that is one frame.
std::string readWholeFrame(const std::string &Content,
                           const std::string &Path) {
  frame_scan Scan = readFrame(Content, 0);
  if (!Scan.Whole || Scan.NextOffset != Content.size())
    throw error("log.recover", Path, "bad checksum at offset 0");
  return std::string(Scan.Payload);
}

store_promises fromWire(const wire::vote_record &Record) {
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
  removeLeftovers(Names);
  openStore(NewStore, Names);
  readSnapshot(Names);
  readSegments(Names);
  dropEntriesCoveredBySnapshot();
}

std::string log_store::path(const std::string &Name) const {
  return Folder + "/" + Name;
}

void log_store::removeLeftovers(std::vector<std::string> &Names) {
  auto IsLeftover = [](const std::string &Name) {
    return Name.ends_with(TemporarySuffix);
  };
  for (const std::string &Name : Names)
    if (IsLeftover(Name))
      Files.Remove(path(Name));
  std::erase_if(Names, IsLeftover);
}

void log_store::openStore(store_id NewStore,
                          const std::vector<std::string> &Names) {
  if (!holds(Names, StoreName)) {
    if (hasLogFiles(Names) || holds(Names, VoteName))
      throw error("log.recover", path(StoreName),
                  "missing although the folder holds a log");
    writeDurably(StoreName, frame(std::to_string(NewStore.Value)));
    Recovered.Store = NewStore;
    return;
  }
  std::string Digits =
      readWholeFrame(*Files.Read(path(StoreName)), path(StoreName));
  Recovered.Store = store_id(std::stoull(Digits));
  if (std::optional<std::string> Vote = Files.Read(path(VoteName)))
    Recovered.Promises = fromWire(decode<wire::vote_record>(
        readWholeFrame(*Vote, path(VoteName)), path(VoteName)));
  else if (hasLogFiles(Names))
    throw error("log.recover", path(VoteName),
                "missing although the folder holds a log");
}

void log_store::readSnapshot(const std::vector<std::string> &Names) {
  for (const std::string &Name : Names)
    if (auto Index = numberOf(SnapshotPrefix, Name))
      Snapshots.push_back(*Index);
  if (Snapshots.empty())
    return;
  std::string Path = path(numbered(SnapshotPrefix, Snapshots.back()));
  auto Record = decode<wire::snapshot_record>(
      readWholeFrame(*Files.Read(Path), Path), Path);
  auto Image = std::make_shared<log_snapshot>();
  Image->Index = static_cast<std::uint64_t>(Record.last_index);
  Image->Term = static_cast<std::uint64_t>(Record.last_term);
  Image->Members = fromWire(Record.members);
  Image->Data = std::move(Record.data);
  Recovered.Snapshot = std::move(Image);
}

void log_store::readSegments(const std::vector<std::string> &Names) {
  std::vector<std::string> Found;
  for (const std::string &Name : Names)
    if (numberOf(SegmentPrefix, Name))
      Found.push_back(Name);
  for (const std::string &Name : Found)
    readSegment(Name, Name == Found.back());
}

void log_store::readSegment(const std::string &Name, bool Last) {
  std::string Content = *Files.Read(path(Name));
  Segments.push_back({*numberOf(SegmentPrefix, Name), 0, 0});
  std::size_t Offset = 0;
  while (Offset < Content.size()) {
    frame_scan Scan = readFrame(Content, Offset);
    if (!Scan.Whole)
      break;
    auto Batch = decode<wire::log_batch>(Scan.Payload, path(Name));
    for (wire::log_entry &Entry : Batch.entries)
      addRecovered(std::move(Entry), Name, Offset);
    Recovered.Commit =
        std::max(Recovered.Commit, static_cast<std::uint64_t>(Batch.commit));
    Offset = Scan.NextOffset;
  }
  Segments.back().Size = Offset;
  if (Offset == Content.size())
    return;
  if (!Last || holdsWholeFrame(Content, Offset + 1))
    throw error("log.recover", path(Name),
                "bad checksum at offset " + std::to_string(Offset) +
                    " followed by good records");
  Recovered.CutBytes = Content.size() - Offset;
  Files.Truncate(path(Name), Offset);
  Files.SyncFile(path(Name));
}

void log_store::addRecovered(wire::log_entry &&Entry, const std::string &Name,
                             std::size_t Offset) {
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
  bool Conflicts = false;
  while (!Entries.empty() && Entries.front().index <= Covered) {
    Conflicts = Entries.front().index < Covered || Entries.front().term != Term;
    Entries.pop_front();
  }
  if (!Conflicts)
    return;
  Recovered.Commit = Recovered.Snapshot->Index;
  Entries.clear();
  removeAllSegments();
}

recovered_log log_store::takeRecovered() { return std::move(Recovered); }

void log_store::writeDurably(const std::string &Name, std::string_view Bytes) {
  std::string Temporary = path(Name + TemporarySuffix);
  Files.Append(Temporary, Bytes);
  Files.SyncFile(Temporary);
  Files.Rename(Temporary, path(Name));
  Files.SyncFolder(Folder);
}

void log_store::savePromises(const store_promises &Promises) {
  wire::vote_record Record;
  Record.term = static_cast<std::int64_t>(Promises.Term);
  Record.vote = static_cast<std::int64_t>(Promises.VotedFor.Value);
  Record.cluster = static_cast<std::int64_t>(Promises.Cluster);
  writeDurably(VoteName, frame(encode(Record)));
}

void log_store::beginSegment() {
  std::uint64_t Number = Segments.empty() ? 1 : Segments.back().Number + 1;
  Files.Append(path(numbered(SegmentPrefix, Number)), "");
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
  std::string Bytes = frame(encode(Batch));
  segment &Current = Segments.back();
  std::string File = path(numbered(SegmentPrefix, Current.Number));
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
  writeDurably(numbered(SnapshotPrefix, Snapshot.Index), frame(encode(Record)));
  Snapshots.push_back(Snapshot.Index);
  if (DiscardLog)
    removeAllSegments();
  else
    removeSegmentsUpTo(Snapshot.Index);
  removeOldSnapshots(Snapshot.Index);
}

// Oldest first, each removal made durable before the next, so that a crash
// leaves a row of segments without a gap.
void log_store::removeSegmentsUpTo(std::uint64_t Index) {
  if (Segments.empty())
    return;
  if (Segments.back().Size > 0)
    beginSegment();
  while (Segments.size() > 1 && Segments.front().LastIndex <= Index) {
    Files.Remove(path(numbered(SegmentPrefix, Segments.front().Number)));
    Files.SyncFolder(Folder);
    Segments.erase(Segments.begin());
  }
}

// Newest first: what is left after a crash still starts with the entries that
// show the conflict with the snapshot.
void log_store::removeAllSegments() {
  while (!Segments.empty()) {
    Files.Remove(path(numbered(SegmentPrefix, Segments.back().Number)));
    Files.SyncFolder(Folder);
    Segments.pop_back();
  }
}

void log_store::removeOldSnapshots(std::uint64_t Kept) {
  for (std::uint64_t Index : Snapshots)
    if (Index != Kept)
      Files.Remove(path(numbered(SnapshotPrefix, Index)));
  Files.SyncFolder(Folder);
  Snapshots.assign(1, Kept);
}

} // namespace teasellock
