/// An entry's line listener with its membership, routing and limit service on
/// one event loop. Control, the gateway and the limiter are simulated VMs that
/// it reaches over loopback links.
#pragma once

#include "modules/limits/gen/limit_messages_types.h"
#include "modules/line/line_listener.h"

#include <deque>
#include <doctest/doctest.h>
#include <vector>

namespace teasellock {

/// One VM of a deployment on the test's event loop.
struct simulated_vm {
  metrics Metrics;
  tracer Tracer;
  daemon_context Context;
  link_hub Hub;

  simulated_vm(event_loop &Loop, timer_service &Timers,
               const std::string &Name);
};

/// The gateway of all groups. Answers each statement at once, unless it is told
/// to keep them.
struct simulated_gateway {
  struct received_statement {
    link_id Link;
    request_id Number;
    wire::statement_request Request;
  };

  link_hub &Hub;
  std::vector<received_statement> Received;
  bool KeepsStatements = false;

  explicit simulated_gateway(link_hub &Hub);

  /// Returns the reply to an executed statement: a row with the caller's id of
  /// the statement, and DONE.
  static wire::statement_reply executed(const wire::statement_request &Request);

  void answer(const received_statement &Statement,
              const wire::statement_reply &Reply);

  /// Returns the callers' ids of the received statements.
  std::vector<std::string> ids() const;
};

/// The limiter of all shares of all organisations. Grants what the test decides
/// from the share that the entry asks first, and nothing from the others.
struct simulated_limiter {
  struct received_request {
    link_id Link;
    request_id Number;
    wire::limit_request Request;
  };

  link_hub &Hub;
  std::uint32_t FirstShare = 0;
  /// How many operations each of the next requests is granted; none after the
  /// last.
  std::deque<std::uint32_t> Grants;
  bool KeepsRequests = false;
  /// Requests that want operations of the first share.
  std::vector<received_request> Received;
  /// Operations that entries gave back.
  std::uint32_t Returned = 0;

  explicit simulated_limiter(link_hub &Hub);

  void answer(const received_request &Request, std::uint32_t Granted);
};

/// An entry that gets its deployment from a simulated control VM. Database "db"
/// is served by group "g".
struct line_listener_fixture {
  event_loop Loop;
  timer_service Timers{Loop};
  simulated_vm Control{Loop, Timers, "control"};
  simulated_vm Peer{Loop, Timers, "peer"};
  simulated_vm Entry{Loop, Timers, "entry"};
  simulated_gateway Gateway{Peer.Hub};
  simulated_limiter Limiter{Peer.Hub};
  deployment Deployment;
  limiter_view LimiterView;
  std::unique_ptr<member_agent> Member;
  std::unique_ptr<statement_router> Router;
  std::unique_ptr<limit_service> Limits;
  std::unique_ptr<line_listener> Listener;
  endpoint Address;

  /// The settings need no address and no protocol.
  explicit line_listener_fixture(
      std::optional<std::vector<organisation>> Organisations,
      line_listener_settings Settings = {});

  /// Puts a new version with these organisations into force.
  void setOrganisations(std::optional<std::vector<organisation>> Organisations);

  /// Makes the simulated limiter the holder of all slots, or none.
  void setLimiter(bool HasLimiter);

  /// Runs until the entry can reach the gateway of the group.
  void awaitGateway();

  template <typename Condition> bool runUntil(Condition Done) {
    constexpr int MaxTurns = 5000;
    auto Tick = Timers.every(fromMilliseconds(1), [] {});
    for (int Turn = 0; Turn < MaxTurns && !Done(); ++Turn)
      Loop.runOnce();
    return Done();
  }

  void run(duration Span) {
    time_point End = Timers.now() + Span;
    runUntil([&] { return Timers.now() >= End; });
  }

private:
  void serveRenewals();
  wire::renewal_reply replyTo(const wire::renewal &Renewal) const;
};

/// A caller's connection.
struct simulated_caller {
  int Socket = -1;
  std::string Received;
  bool IsClosed = false;

  explicit simulated_caller(const endpoint &Address);
  ~simulated_caller() { disconnect(); }
  simulated_caller(const simulated_caller &) = delete;
  simulated_caller &operator=(const simulated_caller &) = delete;

  void send(const std::string &Text) const;

  /// Returns everything received so far.
  const std::string &receive();

  void disconnect();
};

} // namespace teasellock
