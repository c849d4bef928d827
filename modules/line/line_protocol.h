/// The line protocol as the product sees it: messages of a session that are
/// exchanged as single lines. How they are written is the platform's.
#pragma once

#include "core/position.h"
#include "modules/gateway/gen/gateway_messages_types.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace teasellock {

/// The largest message either side accepts, in bytes.
constexpr std::size_t LargestLine = 1024 * 1024;

/// Why a statement failed.
enum class line_error {
  /// Not run: no room for it now.
  Busy,
  /// Not run: the queue is too long for it. Another gateway would say the same.
  Overloaded,
  /// The transaction was rolled back; nothing of it is kept.
  Aborted,
  /// Not run: the upstream's log lacks the position asked for.
  Lagging,
  /// Not run: the upstream does not lead.
  ReadOnly,
  /// Not run: another upstream answers at that address.
  Misrouted,
  /// Not run: the upstream accepts no more connections.
  TooMany,
  /// It may or may not have run.
  InDoubt,
  /// It ran out of time and may have run.
  Timeout,
  /// It ran and failed.
  Failed,
  /// Not run: no such prepared statement.
  NoStatement,
  /// The message can't be read or is not allowed now.
  Malformed,
  /// No such database.
  NoDatabase,
  /// A code that this side does not know.
  Other,
};

/// What a caller's statement asks for.
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
  std::string Id;
  line_verb Verb = line_verb::Read;
  /// As it was sent, without the id.
  std::string Text;
  /// Set: the value's name. Prepare, Execute, Deallocate: the statement's.
  std::string Name;
  /// Set: the value. Execute: the arguments.
  std::string Value;
  /// Prepare: the shape, and whether it writes.
  std::string Shape;
  bool Writes = false;
};

/// The first message of a session.
struct line_start {
  std::string Database;
  std::string User;
};

/// The caller ends its session.
struct line_bye {};

/// A statement or a message that can't be read.
struct line_malformed {
  std::string Problem;
};

using caller_line =
    std::variant<line_start, line_statement, line_bye, line_malformed>;

/// A row of an answer, as it was sent.
struct line_row {
  std::string Text;
};

/// The statement succeeded.
struct line_done {
  std::string Signature;
};

struct line_failure {
  line_error Code = line_error::Other;
  std::string Text;
};

/// The upstream waits for the next message.
struct line_ready {
  /// 'I', 'T' or 'E'.
  char State = 'I';
  std::optional<position> Position;
};

using upstream_line =
    std::variant<line_row, line_done, line_failure, line_ready, line_malformed>;

/// What an upstream says of itself.
struct line_status {
  bool Primary = false;
  term Term;
  /// Highest position in its log.
  position Received;
  /// The term under which it was told to receive nothing; zero: it receives.
  term Held;
};

/// How the messages are written and read. All functions are pure.
struct line_protocol {
  /// Reads a caller's message, without its line end.
  caller_line (*ReadCaller)(std::string_view Line);
  /// Reads an upstream's message, without its line end.
  upstream_line (*ReadUpstream)(std::string_view Line);
  /// Reads the row that answers appendStatus() and the like.
  std::optional<line_status> (*ReadStatus)(const std::string &Row);

  // Towards callers.
  void (*AppendReady)(std::string &Out, char State);
  void (*AppendDone)(std::string &Out);
  void (*AppendError)(std::string &Out, line_error Code,
                      const std::string &Text);

  // Towards upstreams. Statements of the product's own carry no caller's id.
  void (*AppendStart)(std::string &Out, const std::string &Service,
                      const std::string &User, const std::string &Upstream);
  /// A caller's statement as it was sent. After: only if the log has it.
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
  void (*AppendResume)(std::string &Out);
  /// The text of a row that answers a caller's statement.
  void (*AppendRow)(std::string &Out, const std::string &Text);
  void (*AppendSignature)(std::string &Out, const std::string &Signature);
};

/// The SQLSTATE by which the product names an error between its processes.
const char *sqlStateOf(line_error Code);

/// The error for a SQLSTATE, also of those that routing itself reports.
line_error errorOf(std::string_view SqlState);

/// Whether the error says that the statement did not run.
bool isNotRun(line_error Code);

} // namespace teasellock
