namespace cpp teasellock.wire

/// An entry asks the limiter of a share of an organisation's limit for
/// operations. Kind 400.
struct limit_request {
  1: string organisation;
  /// Operations wanted, including those of waiting callers.
  2: i32 wanted;
  /// Unused operations of earlier grants that the entry gives up.
  3: i32 returned;
  /// Identifies the request; increases with each one. On the entry's clock.
  4: i64 sent_at_us;
  /// Callers that wait. The other operations are wanted for later.
  5: i32 waiting;
  /// Number of the share, below LimitShares.
  6: i32 share;
}

/// The answer to a limit_request that wants operations. Kind 401.
struct limit_grant {
  1: string organisation;
  /// Less than were waiting: the limit of the share is reached.
  2: i32 granted;
  /// False: the receiver is not the limiter of the share, or its lease
  /// has ended; nothing was granted.
  3: bool limiter_ok;
  /// Copied from the request.
  4: i64 sent_at_us;
  5: i32 share;
}
