namespace cpp teasellock.wire

include "../control/control_messages.thrift"

/// What a statement may do to data.
enum statement_access {
  read = 0,
  write = 1,
}

/// The outcome of a request as reported to the caller.
enum statement_outcome {
  /// Executed, with a complete answer. SQL errors count as executed.
  answered = 0,
  /// Certainly not executed.
  not_run = 1,
  /// It may or may not have been executed.
  unknown = 2,
}

/// A bound parameter.
struct parameter {
  1: bool null_value;
  2: binary value;
  3: i16 format;
}

enum step_kind {
  /// Simple query protocol: the text may hold several statements.
  simple = 0,
  /// Parse, bind and execute of one statement.
  execute = 1,
  /// Describes a prepared statement without executing it.
  describe = 2,
}

/// One step of a request. Steps are executed in order on one connection.
struct statement_step {
  1: step_kind kind;
  2: string sql;
  3: list<i32> parameter_types;
  4: list<parameter> parameters;
  /// Format of all result columns: 0 text, 1 binary.
  5: i16 result_format;
  /// The caller requested the description of the rows (execute).
  6: bool describe_rows;
}

/// What a statement of the line protocol does.
enum line_verb {
  read = 0,
  write = 1,
  execute = 2,
  commit = 3,
}

/// A statement of the line protocol.
struct line_step {
  1: line_verb verb;
  /// The caller's id of the statement.
  2: string id;
  /// The text of the statement; empty for execute.
  3: string text;
  /// Execute: the prepared statement's shape, whether it writes, and the
  /// arguments.
  4: string shape;
  5: bool writes;
  6: string arguments;
}

/// A caller's statement, sent by its entry to a gateway. Kind 300.
struct statement_request {
  1: string group;
  /// The highest term of the group that the entry knows.
  2: i64 term;
  /// The lowest position that a replica must have replayed for this session.
  3: control_messages.position floor;
  /// Whether the floor is known. If not, the gateway uses the primary's
  /// position from a probe started after the arrival of the request.
  4: bool floor_known;
  5: string read_kind;
  6: statement_access access;
  /// 0, or the entry's id of an open transaction, whose requests are all
  /// executed on one pinned connection.
  7: i64 transaction;
  /// This request opens the transaction (its steps begin with BEGIN).
  8: bool opens_transaction;
  9: list<statement_step> steps;
  /// The time left until the deadline of the request.
  10: i64 timeout_ms;
  11: string idempotency_key;
  /// Session settings in force, applied to the connection before the steps.
  12: map<string, string> settings;
  /// The steps may commit a transaction that wrote: if their answer is lost, its
  /// outcome is unknown.
  13: bool may_commit;
  /// Replaces the steps for callers of the line protocol.
  14: optional line_step line;
  /// Reads see every write that was acknowledged longer ago than this; if
  /// negative, every acknowledged write.
  15: i64 max_staleness_ms;
  /// The transaction was opened for reading only.
  16: bool read_only;
  /// 0 is the most important.
  17: i32 priority;
  /// The response time that the caller aims at; 0 if not given.
  18: i64 target_ms;
  /// The caller's organisation; empty if callers need no key.
  19: string organisation;
}

/// A part of the answer to a statement_request. Kind 301.
struct statement_reply {
  1: statement_outcome outcome;
  /// Complete back-end messages of the v3 protocol, without ReadyForQuery.
  2: binary messages;
  3: bool last;
  /// For writes: the session's new floor. For reads: the position of the
  /// upstream.
  4: control_messages.position reached;
  /// The term in which it was served.
  5: i64 term;
  /// 'I', 'T' or 'E' after the steps.
  6: i8 transaction_status;
  /// For not_run and unknown: SQLSTATE and error message.
  7: string code;
  8: string problem;
  9: string upstream;
  10: bool by_replica;
  /// The gateway no longer serves the group; the entry should choose another
  /// one.
  11: bool not_assigned;
  /// For not_run under an idempotency key: no earlier attempt with that key was
  /// executed or ever can be.
  12: bool resolved;
}

/// Cancels a statement whose caller has cancelled it or disconnected. Kind 302.
struct statement_cancel {
  1: i64 request;
}

/// Rolls back a pinned transaction whose caller has disconnected. Kind 303.
struct transaction_release {
  1: i64 transaction;
}
