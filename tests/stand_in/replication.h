#pragma once

#include "tests/stand_in/store.h"
#include "tests/stand_in/wire.h"

namespace teasellock::stand_in {

/// A primary's state of one replication stream: the next record to send and
/// the offset that the replica has flushed.
struct sender_state {
  bool IsStreaming = false;
  std::size_t NextRecord = 0;
  std::uint64_t FlushedOffset = 0;
};

/// Handles a replica's message and appends the reply. Throws sql_error 08P01
/// if the message is malformed.
void handleReplicaMessage(sender_state &Sender, const store &Store,
                          const message &Message, std::string &Out);

/// Appends records that were not yet sent to the replica, until the buffer
/// holds about this many bytes.
void sendRecords(sender_state &Sender, const store &Store,
                 std::size_t BufferBytes, std::string &Out);

/// A replica's binary search for the longest common prefix of its log and the
/// primary's. A prefix of MatchedRecords records is known to match, one of
/// FirstMismatch records not to. ProbeLength is the prefix to probe next.
struct prefix_search {
  std::size_t MatchedRecords = 0;
  std::size_t FirstMismatch = 0;
  std::size_t ProbeLength = 0;
  bool IsDone = false;
};

/// Starts the search with a probe of the replica's whole log.
prefix_search startPrefixSearch(std::size_t OwnRecords);

/// Applies the primary's reply to the probe of ProbeLength records.
void applyProbeReply(prefix_search &Search, bool Matches,
                     std::size_t PrimaryRecords);

/// The primary's reply to a probe: whether the prefix matches, the length of
/// the primary's log and its term.
struct probe_reply {
  bool Matches = false;
  std::uint64_t Records = 0;
  std::uint64_t Term = 0;
};

/// Append a replica's messages: a probe of the prefix of its log with this many
/// records, the start of streaming after this many records, and the offset up
/// to which it has flushed.
void writeProbe(std::string &Out, const store &Store, std::size_t Records);
void writeStart(std::string &Out, std::size_t Records);
void writeFlushed(std::string &Out, std::uint64_t Offset);

/// Parses a primary's reply to a probe.
probe_reply parseProbeReply(std::string_view Payload);

/// Message types of the replication protocol.
enum replication_message : char {
  Probe = 'P',
  ProbeReply = 'M',
  Start = 'S',
  Record = 'R',
  Flushed = 'A',
  KeepAlive = 'K'
};

} // namespace teasellock::stand_in
