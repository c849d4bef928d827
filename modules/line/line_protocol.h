/// The line protocol: a text protocol of callers and upstreams whose messages
/// are single lines. A session begins with a start message and then sends
/// statements. An upstream answers each statement with rows, then its success
/// or failure, then a ready message. This header has the messages; their
/// encoding is supplied by the platform as a table of functions, line_protocol.
#pragma once

#include "core/position.h"
#include "modules/gateway/gen/gateway_messages_types.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace teasellock {

/// Maximum size of a message, in bytes, in either direction.
constexpr std::size_t MaxLineBytes = 1024 * 1024;

/// Why a statement failed.
enum class line_error {
  /// Not executed: no capacity at the moment.
  Busy,
  /// Not executed: the expected wait in the queue is too long. Other gateways
  /// would refuse the statement as well.
  Overloaded,
  /// The transaction was rolled back.
  Aborted,
  /// Not executed: the upstream has not applied the requested position.
  Lagging,
  /// Not executed: the upstream is not the primary.
  ReadOnly,
  /// Not executed: a different upstream listens at the address.
  Misrouted,
  /// Not executed: the upstream accepts no more connections.
  TooMany,
  /// The outcome is unknown: the statement may or may not have been executed.
  InDoubt,
  /// The statement timed out and may have been executed.
  Timeout,
  /// The statement was executed and failed.
  Failed,
  /// Not executed: no such prepared statement.
  NoStatement,
  /// The message can't be parsed or is not allowed in this state.
  Malformed,
  /// No such database.
  NoDatabase,
  /// Not executed: the caller's key is not known.
  Unauthorized,
  /// An error code that this process does not know.
  Other,
};

/// The kind of a caller's statement. BeginRead opens a read-only transaction.
enum class line_verb {
  Begin,
  BeginRead,
  Commit,
  Rollback,
  Read,
  Write,
  Set,
  Prepare,
  Execute,
  Deallocate,
};

/// A caller's statement.
struct line_statement {
  /// Chosen by the caller.
  std::string Id;
  line_verb Verb = line_verb::Read;
  /// The statement as the caller sent it, without the id.
  std::string Text;
  /// Set: name of the setting. Prepare, Execute, Deallocate: name of the
  /// prepared statement.
  std::string Name;
  /// Set: the value. Execute: the arguments.
  std::string Value;
  /// Prepare: the statement's text with its parameters left open.
  std::string Shape;
  /// Write and Prepare: whether the statement writes.
  bool Writes = false;
};

/// The first message of a session.
struct line_start {
  std::string Database;
  /// In a deployment with organisations, the caller's key: to be hashed at once
  /// and neither kept nor logged.
  std::string User;
};

/// The caller ends its session.
struct line_bye {};

/// A message that can't be parsed.
struct line_malformed {
  std::string Problem;
};

using line_caller_message =
    std::variant<line_start, line_statement, line_bye, line_malformed>;

/// A row of an answer, as the upstream sent it.
struct line_row {
  std::string Text;
};

/// The statement succeeded. The signature is passed on to the caller unchanged;
/// it is empty if the upstream gave none.
struct line_done {
  std::string Signature;
};

/// The statement failed.
struct line_failure {
  line_error Code = line_error::Other;
  std::string Text;
};

/// The answer is complete; the upstream waits for the next message.
struct line_ready {
  /// 'I' (idle), 'T' (in a transaction) or 'E' (in a failed transaction).
  char State = 'I';
  /// The upstream's log position, if it reported one.
  std::optional<position> Position;
};

using line_upstream_message =
    std::variant<line_row, line_done, line_failure, line_ready, line_malformed>;

/// The replication status that an upstream reports.
struct line_status {
  bool IsPrimary = false;
  term Term;
  /// Highest position in its log.
  position Received;
  /// The term of the latest pause order: the replica is paused, that is, it
  /// receives nothing, while this is above Term. Zero: none.
  term PauseTerm;
};

/// Parses and encodes the messages. All functions are pure; the Append
/// functions append one message with its line end to Out. They throw error
/// "line.encode", with the field as its peer, and append nothing if a text
/// could end a line or a field early.
struct line_protocol {
  /// Parses a caller's message, given without its line end.
  line_caller_message (*ParseCaller)(std::string_view Line);
  /// Parses an upstream's message, given without its line end.
  line_upstream_message (*ParseUpstream)(std::string_view Line);
  /// Parses the row that answers a status, pause or resume statement. Empty
  /// when it can't be parsed.
  std::optional<line_status> (*ParseStatus)(const std::string &Row);

  // Messages to callers.
  void (*AppendReady)(std::string &Out, char State);
  void (*AppendDone)(std::string &Out);
  void (*AppendError)(std::string &Out, line_error Code,
                      const std::string &Text);

  // Messages to upstreams. Statements that don't come from a caller have no id.
  void (*AppendStart)(std::string &Out, const std::string &Service,
                      const std::string &User, const std::string &Upstream);
  /// Appends a caller's statement as the caller sent it. With After, an
  /// upstream that has not applied the position rejects it as lagging.
  void (*AppendStatement)(std::string &Out, const std::string &Id,
                          const std::string &Text,
                          const std::optional<position> &After);
  void (*AppendExecute)(std::string &Out, const std::string &Id,
                        const std::string &Name, const std::string &Arguments,
                        const std::optional<position> &After);
  void (*AppendBegin)(std::string &Out, bool ReadOnly,
                      const std::optional<position> &After);
  void (*AppendRollback)(std::string &Out);
  void (*AppendReset)(std::string &Out);
  void (*AppendSet)(std::string &Out, const std::string &Name,
                    const std::string &Value);
  void (*AppendPrepare)(std::string &Out, const std::string &Name, bool Writes,
                        const std::string &Shape);
  void (*AppendStatus)(std::string &Out);
  void (*AppendPause)(std::string &Out, term Term);
  void (*AppendDemote)(std::string &Out, term Term);
  void (*AppendResume)(std::string &Out);
  /// Appends a row of the answer to a caller's statement.
  void (*AppendRow)(std::string &Out, const std::string &Text);
  void (*AppendSignature)(std::string &Out, const std::string &Signature);
};

/// Returns the SQLSTATE that stands for an error between entries and gateways.
const char *sqlStateOf(line_error Code);

/// Returns the error for a SQLSTATE, including the codes that routing reports.
line_error errorOf(std::string_view SqlState);

/// Reports whether the error implies that the statement was not executed.
bool isNotExecuted(line_error Code);

} // namespace teasellock
