/// Chooses how a statement gets a connection to an upstream when connections
/// belong to organisations: an idle one of its organisation, a new one, or a
/// new one in place of an idle one of another organisation.
///
/// An upstream executes a statement only on a connection that was opened for
/// the statement's organisation, and a gateway has far fewer connections than
/// there are organisations. So idle connections of others give way, the least
/// recently used first, and an organisation that holds its fair share waits for
/// those that hold less.
#pragma once

#include "modules/deployment/deployment.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace teasellock {

/// An idle connection. Callers without an organisation have the empty one.
struct idle_connection {
  organisation_id Organisation;
  /// No statement has used it since it was opened.
  bool IsUnused = false;
};

/// What one organisation has and wants of an upstream's connections.
struct connection_use {
  /// Connections that execute a statement or hold a transaction.
  std::uint32_t InUse = 0;
  /// Connections that are being opened.
  std::uint32_t Opening = 0;
  /// Statements that wait for a connection.
  std::uint32_t Waiting = 0;
};

/// A gateway's connections to one upstream.
struct connection_pool {
  /// Most connections for statements that the gateway may have.
  std::uint32_t Limit = 0;
  /// Whether as many connections are being opened as may be at once.
  bool OpensEnough = false;
  /// Whether opening is delayed because the upstream refused a connection. Idle
  /// connections are then used by those that have them.
  bool IsOpeningDelayed = false;
  /// The least recently used first.
  std::vector<idle_connection> Idle;
  /// Connections in use and being opened, of all organisations.
  std::uint32_t Held = 0;
  /// Never null; not owned.
  const std::map<organisation_id, connection_use> *Uses = nullptr;
};

enum class connection_action {
  /// Use an idle connection of the organisation, an unused one if there is any.
  Use,
  /// Open a connection.
  Open,
  /// Close the idle connection Idle[Victim] and open one.
  Replace,
  /// Wait: for a connection that is being opened, or for one to become free.
  Wait,
};

struct connection_decision {
  connection_action Action = connection_action::Wait;
  std::size_t Victim = 0;
};

/// Returns the connections that each organisation may hold while others wait:
/// the limit divided by the organisations that hold connections or wait, at
/// least 1.
std::uint32_t fairShare(const connection_pool &Pool);

/// Decides for one waiting statement of the organisation. To be called for the
/// waiting statements in their order of execution.
///
/// An organisation at or above its fair share waits while another one, which
/// holds fewer connections than it, has more statements waiting than
/// connections that are idle or being opened. Connections that remain when all
/// have their share are thus still used.
///
/// An unused connection of an organisation with waiting statements is not
/// replaced before one of them has used it, whatever the shares: otherwise
/// organisations that wait at the same time could close each other's new
/// connections without executing anything.
connection_decision decideConnection(const connection_pool &Pool,
                                     const organisation_id &Organisation);

} // namespace teasellock
