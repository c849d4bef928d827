#pragma once

#include "tests/stand_in/store.h"
#include "tests/stand_in/wire.h"

namespace teasellock::stand_in {

/// A primary's view of one replica's stream.
struct sender_state {
  bool Streaming = false;
  std::size_t NextRecord = 0;
  std::uint64_t FlushedOffset = 0;
};

/// Handles a replica's message and appends the answer. Throws sql_error 08P01
/// on a malformed one.
void handleReplicaMessage(sender_state &Sender, const store &Store,
                          const message &Message, std::string &Out);

/// Appends the records that the replica has not been sent, until the buffer
/// holds about this many bytes.
void sendRecords(sender_state &Sender, const store &Store,
                 std::size_t BufferBytes, std::string &Out);

/// A replica's search for the longest prefix of its log that the primary
/// shares. Records below Shared are known to match, those from Limit on not
/// to.
struct prefix_search {
  std::size_t Shared = 0;
  std::size_t Limit = 0;
  std::size_t Probed = 0;
  bool Done = false;
};

/// Starts with the whole of the own log.
prefix_search startSearch(std::size_t OwnRecords);

/// Takes the primary's answer for the prefix of Probed records.
void searchAnswered(prefix_search &Search, bool Matches,
                    std::size_t PrimaryRecords);

/// What the primary answers to a probe.
struct probe_answer {
  bool Matches = false;
  std::uint64_t Records = 0;
  std::uint64_t Term = 0;
};

/// Messages of a replica: a probe of the own prefix, the start of streaming
/// behind so many records, and the offset that is flushed.
void writeProbe(std::string &Out, const store &Store, std::size_t Records);
void writeStart(std::string &Out, std::size_t Records);
void writeFlushed(std::string &Out, std::uint64_t Offset);

/// Reads a primary's answer to a probe.
probe_answer readProbeAnswer(std::string_view Payload);

/// Types of the messages.
enum replication_message : char {
  Probe = 'P',
  ProbeAnswer = 'M',
  Start = 'S',
  Record = 'R',
  Flushed = 'A',
  KeepAlive = 'K'
};

} // namespace teasellock::stand_in
