#include "tests/stand_in/replication.h"

#include <algorithm>

namespace teasellock::stand_in {

namespace {

std::uint64_t checksumAt(const store &Store, std::size_t Records) {
  return Records == 0 ? 0 : Store.log()[Records - 1].Checksum;
}

void sendProbeReply(const store &Store, message_reader Reader,
                    std::string &Out) {
  auto Records = static_cast<std::uint64_t>(Reader.int64());
  auto Chain = static_cast<std::uint64_t>(Reader.int64());
  bool Matches = Records <= Store.log().size() &&
                 checksumAt(Store, static_cast<std::size_t>(Records)) == Chain;
  message_writer Reply(Out, ProbeReply);
  Reply.byte(Matches ? 1 : 0);
  Reply.int64(static_cast<std::int64_t>(Store.log().size()));
  Reply.int64(static_cast<std::int64_t>(Store.term()));
}

void startStreaming(sender_state &Sender, const store &Store,
                    message_reader Reader) {
  auto Records = static_cast<std::uint64_t>(Reader.int64());
  if (Records > Store.log().size())
    throw sql_error("08P01", "replication starts behind the end of the log");
  Sender.IsStreaming = true;
  Sender.NextRecord = static_cast<std::size_t>(Records);
  Sender.FlushedOffset =
      Records == 0 ? 0 : Store.log()[Sender.NextRecord - 1].End;
}

} // namespace

void handleReplicaMessage(sender_state &Sender, const store &Store,
                          const message &Message, std::string &Out) {
  message_reader Reader(Message.Payload);
  switch (Message.Type) {
  case Probe:
    return sendProbeReply(Store, Reader, Out);
  case Start:
    return startStreaming(Sender, Store, Reader);
  case Flushed:
    Sender.FlushedOffset = static_cast<std::uint64_t>(Reader.int64());
    return;
  default:
    throw sql_error("08P01", "unknown replication message");
  }
}

void sendRecords(sender_state &Sender, const store &Store,
                 std::size_t BufferBytes, std::string &Out) {
  if (!Sender.IsStreaming)
    return;
  while (Sender.NextRecord < Store.log().size() && Out.size() < BufferBytes) {
    message_writer Message(Out, Record);
    Message.bytes(Store.log()[Sender.NextRecord].Bytes);
    ++Sender.NextRecord;
  }
}

prefix_search startPrefixSearch(std::size_t OwnRecords) {
  prefix_search Search;
  Search.FirstMismatch = OwnRecords + 1;
  Search.ProbeLength = OwnRecords;
  return Search;
}

void applyProbeReply(prefix_search &Search, bool Matches,
                     std::size_t PrimaryRecords) {
  if (Matches)
    Search.MatchedRecords = Search.ProbeLength;
  else
    Search.FirstMismatch = std::min(Search.ProbeLength, PrimaryRecords + 1);
  Search.IsDone = Search.MatchedRecords + 1 >= Search.FirstMismatch;
  Search.ProbeLength = Search.MatchedRecords +
                       (Search.FirstMismatch - Search.MatchedRecords) / 2;
}

void writeProbe(std::string &Out, const store &Store, std::size_t Records) {
  message_writer Message(Out, Probe);
  Message.int64(static_cast<std::int64_t>(Records));
  Message.int64(static_cast<std::int64_t>(checksumAt(Store, Records)));
}

void writeStart(std::string &Out, std::size_t Records) {
  message_writer Message(Out, Start);
  Message.int64(static_cast<std::int64_t>(Records));
}

void writeFlushed(std::string &Out, std::uint64_t Offset) {
  message_writer Message(Out, Flushed);
  Message.int64(static_cast<std::int64_t>(Offset));
}

probe_reply parseProbeReply(std::string_view Payload) {
  message_reader Reader(Payload);
  probe_reply Reply;
  Reply.Matches = Reader.byte() != 0;
  Reply.Records = static_cast<std::uint64_t>(Reader.int64());
  Reply.Term = static_cast<std::uint64_t>(Reader.int64());
  return Reply;
}

} // namespace teasellock::stand_in
