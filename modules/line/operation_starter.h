/// Starts operations of organisations with a limit: the first statement of an
/// operation is submitted once the operation is granted, or is refused.
#pragma once

#include "core/event_loop.h"
#include "modules/gateway/gen/gateway_messages_types.h"
#include "modules/limits/limit_service.h"

#include <functional>
#include <map>
#include <memory>

namespace teasellock {

/// Number of a caller's session at this entry; never used again.
using line_caller_id = strong_type<struct line_caller_tag, std::uint64_t>;

/// Returns the reply to a statement whose operation was not granted. It states
/// that nothing was executed.
wire::statement_reply refusalOf(limit_verdict Verdict,
                                const organisation_id &Organisation);

/// Reports whether an operation may be given back after the final reply to its
/// first statement: no upstream executed it. An aborted transaction may have
/// been executed in part before it was rolled back.
bool isReturnable(const wire::statement_reply &Reply);

/// How the starter reaches the sessions.
struct operation_hooks {
  /// Submits a session's statement. Returns false if the session has ended.
  std::function<bool(line_caller_id, wire::statement_request)> Submit;
  /// Answers a session's statement that was not submitted. Not called before
  /// begin() has returned; the session may have ended.
  std::function<void(line_caller_id, const wire::statement_reply &)> Refuse;
};

/// The operations that sessions are about to start. A session has at most one.
class operation_starter {
public:
  operation_starter(event_loop &Loop, limit_service &Limits,
                    operation_hooks Hooks);
  ~operation_starter();

  /// Submits the first statement of an operation once it is granted, at the
  /// latest after 300 ms, or refuses it. If the session has ended meanwhile,
  /// the operation is given back.
  void begin(line_caller_id Id, const organisation_id &Organisation,
             wire::statement_request Request);

  /// Handles the final reply to a session's statement: if it is the first one
  /// of an operation and was not executed, the operation is given back.
  void handleReply(line_caller_id Id, const wire::statement_reply &Reply);

  /// Handles the end of a session. The outcome of its statement is unknown, so
  /// that its operation counts.
  void handleDisconnect(line_caller_id Id);

private:
  struct granted_operation {
    organisation_id Organisation;
    time_point ValidUntil;
  };

  void handleOutcome(line_caller_id Id, const organisation_id &Organisation,
                     wire::statement_request Request,
                     const limit_outcome &Outcome);

  event_loop &Loop;
  limit_service &Limits;
  operation_hooks Hooks;
  /// Operations whose first statement has no reply yet.
  std::map<line_caller_id, granted_operation> Operations;
  std::shared_ptr<operation_starter *> Self;
};

} // namespace teasellock
