/// The files of one member of the control group.
///
/// The data folder holds `lock`, `store` (the random id of the folder), `vote`
/// (term, vote, cluster), log segments `log-<number>` and `snapshot-<index>`.
/// A segment is a row of frames: magic, length, CRC-32, and a batch of entries
/// that was made durable by one sync. An entry whose index is already taken
/// replaces that one and all after it.
#pragma once

#include "modules/consensus/control_member.h"
#include "modules/consensus/file_system.h"
#include "modules/consensus/gen/consensus_messages_types.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace teasellock {

/// What a store has promised to the others.
struct store_promises {
  std::uint64_t Term = 0;
  /// Whom it voted for in Term; zero for nobody.
  store_id VotedFor;
  /// The control group it belongs to; zero before it has learnt of one.
  std::uint64_t Cluster = 0;
};

/// The state as of an entry.
struct log_snapshot {
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
  member_list Members;
  std::string Data;
};

/// Everything found in the data folder.
struct recovered_log {
  store_id Store;
  store_promises Promises;
  std::shared_ptr<const log_snapshot> Snapshot;
  /// The entries after the snapshot.
  std::deque<wire::log_entry> Entries;
  /// Entries up to here are known to be committed.
  std::uint64_t Commit = 0;
  /// Bytes of an unfinished write that were cut off.
  std::size_t CutBytes = 0;
};

/// Size beyond which a new segment is begun, in bytes.
constexpr std::size_t SegmentSize = 4 * 1024 * 1024;

/// The data folder of one member. Whatever a function writes is durable when
/// it returns. After an exception the object must not be used again: what the
/// disk holds is then unknown.
class log_store {
public:
  /// Opens or makes the folder. NewStore is the id it gets if it has none.
  /// Throws error when another process holds it or its files can't be trusted.
  log_store(file_system Files, std::string Folder, store_id NewStore);

  /// What was found at opening; moves it out.
  recovered_log takeRecovered();

  /// Replaces the promises.
  void savePromises(const store_promises &Promises);

  /// Appends entries in one write and one sync.
  /// Commit is what is known to be committed among those before them.
  void append(const std::vector<wire::log_entry> &Entries,
              std::uint64_t Commit);

  /// Writes a snapshot and deletes the segments and snapshots it replaces. With
  /// DiscardLog no entry in the log is kept.
  void saveSnapshot(const log_snapshot &Snapshot, bool DiscardLog);

private:
  struct segment {
    std::uint64_t Number = 0;
    std::uint64_t LastIndex = 0;
    std::size_t Size = 0;
  };

  std::string path(const std::string &Name) const;
  void openStore(store_id NewStore, const std::vector<std::string> &Names);
  void removeLeftovers(std::vector<std::string> &Names);
  void readSnapshot(const std::vector<std::string> &Names);
  void readSegments(const std::vector<std::string> &Names);
  void readSegment(const std::string &Name, bool Last);
  void addRecovered(wire::log_entry &&Entry, const std::string &Name,
                    std::size_t Offset);
  void dropEntriesCoveredBySnapshot();
  void writeDurably(const std::string &Name, std::string_view Bytes);
  void beginSegment();
  void removeSegmentsUpTo(std::uint64_t Index);
  void removeAllSegments();
  void removeOldSnapshots(std::uint64_t Kept);

  file_system Files;
  std::string Folder;
  std::shared_ptr<void> Lock;
  std::vector<segment> Segments;
  std::vector<std::uint64_t> Snapshots;
  recovered_log Recovered;
};

} // namespace teasellock
