/// The durable storage of one member of the control group.
///
/// The data folder holds `lock`, `store` (the random id of the folder), `vote`
/// (term, vote, cluster), log segments `log-<number>` and `snapshot-<index>`.
/// A segment is a sequence of frames, each with a header of magic, length and
/// CRC-32 and a batch of entries that was made durable by one sync. An entry
/// whose index is already in the log replaces that entry and all after it.
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

/// The part of the protocol state that must be durable before any message that
/// depends on it is sent (Raft's persistent state without the log).
struct hard_state {
  /// The current term.
  std::uint64_t Term = 0;
  /// The candidate that this store voted for in Term; zero if there is none.
  store_id VotedFor;
  /// Random id of the control group; zero if the store belongs to none yet.
  std::uint64_t Cluster = 0;
};

/// The state of the state machine and the membership as of an entry.
struct log_snapshot {
  /// Index and term of the last entry that the snapshot includes.
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
  member_list Members;
  /// The serialised state machine.
  std::string Data;
};

/// The content of the data folder when it was opened.
struct recovered_log {
  store_id Store;
  hard_state HardState;
  /// The newest snapshot, or nullptr if there is none.
  std::shared_ptr<const log_snapshot> Snapshot;
  /// The entries after the snapshot.
  std::deque<wire::log_entry> Entries;
  /// The last entry known to be committed.
  std::uint64_t Commit = 0;
  /// Bytes of an incomplete write that were removed from the log's end.
  std::size_t TruncatedBytes = 0;
};

/// Size in bytes from which on a new segment is started.
constexpr std::size_t SegmentSize = 4 * 1024 * 1024;

/// The data folder of one member. What a function writes is durable when it
/// returns. After an exception the object must not be used again, because the
/// content of the disk is then unknown.
class log_store {
public:
  /// Opens or creates the folder and recovers its content. NewStore is the id
  /// of the folder if it is new. Throws error when another process has locked
  /// the folder, or when files are missing or damaged other than by a write
  /// that was interrupted.
  log_store(file_system Files, std::string Folder, store_id NewStore);

  /// Moves out the recovered content. To be called once.
  recovered_log extractRecovered();

  /// Replaces the saved hard state.
  void saveHardState(const hard_state &HardState);

  /// Appends entries with one write and one sync. Commit is the last entry
  /// known to be committed; it is stored with them.
  void append(const std::vector<wire::log_entry> &Entries,
              std::uint64_t Commit);

  /// Writes a snapshot and deletes the segments and snapshots that it replaces.
  /// With DiscardLog all segments are deleted.
  void saveSnapshot(const log_snapshot &Snapshot, bool DiscardLog);

private:
  /// A log file. LastIndex is the highest index of an entry in it, Size its
  /// size in bytes.
  struct segment {
    std::uint64_t Number = 0;
    std::uint64_t LastIndex = 0;
    std::size_t Size = 0;
  };

  std::string path(const std::string &Name) const;
  void loadIdentity(store_id NewStore, const std::vector<std::string> &Names);
  void removeTemporaryFiles(std::vector<std::string> &Names);
  void readSnapshot(const std::vector<std::string> &Names);
  void readSegments(const std::vector<std::string> &Names);
  void readSegment(const std::string &Name, bool IsLast);
  void addRecoveredEntry(wire::log_entry &&Entry, const std::string &Name,
                         std::size_t Offset);
  void dropEntriesCoveredBySnapshot();
  void writeFileAtomically(const std::string &Name, std::string_view Bytes);
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
