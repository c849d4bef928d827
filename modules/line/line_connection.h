/// Client connections of the gateway to upstreams that speak the line protocol.
#pragma once

#include "core/daemon_context.h"
#include "core/error.h"
#include "modules/line/line_protocol.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace teasellock {

/// The upstream to connect to, and the parameters of the session's START
/// message.
struct line_target {
  endpoint Address;
  /// Name of the upstream's group.
  std::string Service;
  std::string User;
  /// The upstream expected at the address.
  upstream_id Upstream;
  /// Time limit from the start of the connect to the upstream's first message.
  duration ConnectTimeout;
};

/// What a statement's answer must look like if the statement succeeded. An
/// upstream's answers carry no id, and one may be lost, so that the place of an
/// answer alone does not tell which statement it belongs to.
enum class answer_kind {
  /// Not checked.
  Any,
  /// A read, a write or a commit: it has the upstream's signature.
  Signed,
  /// A statement about the session: no rows, no signature, and the session's
  /// state is as before.
  Session,
  /// No rows, no signature; the session is in a transaction.
  Begin,
  /// No rows, no signature; the session is idle.
  Rollback,
  /// A row with the upstream's status, and no signature.
  Status,
};

/// An upstream's answer to one statement.
struct line_answer {
  std::vector<std::string> Rows;
  /// From the DONE message of a statement that succeeded; empty if it had none.
  std::string Signature;
  std::optional<line_failure> Failure;
  /// The READY message that ended the answer.
  line_ready Ready;
};

/// The result of a batch of statements that was sent in one piece.
struct line_batch_result {
  /// In the order of the statements. Shorter than the batch if the connection
  /// was lost.
  std::vector<line_answer> Answers;
  /// Whether the connection was lost. The outcome of statements without an
  /// answer is then unknown.
  bool ConnectionLost = false;
  /// Why the connection was lost.
  std::string Problem;
};

/// The result of opening a connection.
struct line_connect_result {
  /// Empty when the session is open.
  std::optional<error> Problem;
  /// Whether the TCP connection was refused: no process listens at the address.
  bool Refused = false;
  /// The upstream's error code if it rejected the session.
  std::optional<line_error> Code;
  /// The message that opened the session.
  line_ready Ready = {};
};

/// Reports whether an answer can belong to a statement of this kind.
/// StateBefore is the session's state before the answer. A failure can belong
/// to any.
bool fits(const line_answer &Answer, answer_kind Kind, char StateBefore);

/// A connection to an upstream that speaks the line protocol. Executes one
/// batch of statements at a time.
class line_connection {
public:
  /// Starts to connect. Opened is called once with the result, never from
  /// within the constructor, unless the connection is closed or destroyed
  /// before.
  line_connection(daemon_context &Context, const line_protocol &Protocol,
                  line_target Target,
                  std::function<void(line_connect_result)> Opened);
  ~line_connection();
  line_connection(const line_connection &) = delete;
  line_connection &operator=(const line_connection &) = delete;

  /// Sets the callback for the loss of an open connection that has no batch in
  /// flight.
  void onLost(std::function<void()> Callback);

  /// Sends a batch of statements, encoded in Bytes; Kinds has an entry for
  /// each. Done is called once with the result, never from within run(), unless
  /// the connection is closed or destroyed before. An answer that does not fit
  /// its statement is not part of the result and ends the connection. No other
  /// batch may be in flight.
  void executeBatch(std::string Bytes, std::vector<answer_kind> Kinds,
                    std::function<void(line_batch_result)> Done);

  /// Closes the connection immediately, without invoking callbacks.
  void close();

  bool isOpen() const;
  /// Returns the time at which the upstream accepted the session.
  time_point openedAt() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace teasellock
