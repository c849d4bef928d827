namespace cpp teasellock.wire

include "../control/control_messages.thrift"

/// What a statement may do to data.
enum statement_access {
  read = 0,
  write = 1,
}

/// How a request ended, as far as the caller may be told.
enum statement_outcome {
  /// Executed; the answer is whole. SQL errors count as executed.
  answered = 0,
  /// It certainly did not run.
  not_run = 1,
  /// It may or may not have run.
  unknown = 2,
}

/// A bound parameter.
struct parameter {
  1: bool null_value;
  2: binary value;
  3: i16 format;
}

enum step_kind {
  /// Simple query protocol: the whole text, possibly several statements.
  simple = 0,
  /// Parse, bind and execute of one statement.
  execute = 1,
  /// Describes a prepared statement without executing it.
  describe = 2,
}

/// One thing to do on the back-end connection, in order.
struct statement_step {
  1: step_kind kind;
  2: string sql;
  3: list<i32> parameter_types;
  4: list<parameter> parameters;
  /// 0 text, 1 binary, for all columns.
  5: i16 result_format;
  /// The caller asked for the description of the rows (execute).
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
  /// The caller's id of it.
  2: string id;
  /// Its text, but for execute.
  3: string text;
  /// Execute: the prepared statement's shape, whether it writes, and the
  /// arguments.
  4: string shape;
  5: bool writes;
  6: string arguments;
}

/// A caller's statement on its way to a gateway. Kind 300.
struct statement_request {
  1: string group;
  /// Highest term of the group the entry knows.
  2: i64 term;
  /// Lowest position a replica must have replayed for this session.
  3: control_messages.position floor;
  /// Whether the floor is known. If not, the gateway takes the primary's
  /// position in a probe started after arrival.
  4: bool floor_known;
  5: string read_kind;
  6: statement_access access;
  /// 0, or the entry's number of an open transaction: all its requests run on
  /// one pinned connection.
  7: i64 transaction;
  /// This request opens the transaction (its steps begin with BEGIN).
  8: bool opens_transaction;
  9: list<statement_step> steps;
  /// Remaining time for it.
  10: i64 timeout_ms;
  11: string idempotency_key;
  /// Session settings in force, applied to the connection before the steps.
  12: map<string, string> settings;
  /// The steps may end a transaction that wrote: losing their answer leaves
  /// its outcome unknown.
  13: bool may_commit;
  /// In place of steps, where callers speak the line protocol.
  14: optional line_step line;
  /// Reads see every write acknowledged longer ago than this; negative: all.
  15: i64 max_staleness_ms;
  /// The transaction was opened for reading only.
  16: bool read_only;
  /// 0 is the most important.
  17: i32 priority;
  /// What the caller hopes for; 0: not told.
  18: i64 target_ms;
}

/// A part of the answer. Kind 301.
struct statement_reply {
  1: statement_outcome outcome;
  /// Back-end messages of the v3 protocol, complete ones, without
  /// ReadyForQuery.
  2: binary messages;
  3: bool last;
  /// For writes: the session's new floor. For reads: position of the upstream.
  4: control_messages.position reached;
  /// Term in which it was served.
  5: i64 term;
  /// 'I', 'T' or 'E' after the steps.
  6: i8 transaction_status;
  /// For not_run and unknown: SQLSTATE and text.
  7: string code;
  8: string problem;
  9: string upstream;
  10: bool by_replica;
  /// The gateway no longer serves the group; the entry should look again.
  11: bool not_assigned;
  /// For not_run under an idempotency key: no earlier attempt with that key
  /// ran either, nor ever will.
  12: bool resolved;
}

/// The caller went away or cancelled: stop working on it. Kind 302.
struct statement_cancel {
  1: i64 request;
}

/// Ends a pinned transaction whose caller is gone; rolled back. Kind 303.
struct transaction_release {
  1: i64 transaction;
}
