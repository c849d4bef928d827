/// A deployment: the database names that callers connect to, the consistency
/// that each guarantees, and the limits of the database groups that serve them.
/// It is submitted as a whole; the highest version is in effect.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "modules/control/gen/control_messages_types.h"
#include "modules/table/table_row.h"

#include <optional>
#include <string>
#include <vector>

namespace teasellock {

/// Database name that callers specify when they connect.
using database_id = strong_type<struct database_id_tag, std::string>;

/// Version of a deployment. Increases with every change, not necessarily by
/// one.
using deployment_version =
    strong_type<struct deployment_version_tag, std::uint64_t>;

/// Name of an organisation, that is, of a customer whose callers share keys,
/// connections and limits.
using organisation_id = strong_type<struct organisation_id_tag, std::string>;

/// Digest of a caller's key. VMs keep only digests, so that no key can reach an
/// upstream, a log line or a metric.
using key_digest = strong_type<struct key_digest_tag, std::string>;

/// How many operations an organisation may start on all VMs together: a token
/// bucket. An operation is a transaction or a single statement outside one.
struct operation_limit {
  double RatePerSecond = 0;
  /// Operations that may start at once after a pause.
  double Burst = 0;

  bool operator==(const operation_limit &) const = default;
};

/// An organisation whose callers identify themselves by a key.
struct organisation {
  organisation_id Name;
  std::vector<key_digest> Keys;
  /// Empty: no limit.
  std::optional<operation_limit> Limit;
  /// 0 is the highest priority.
  std::uint32_t Priority = 0;

  bool operator==(const organisation &) const = default;
};

/// Consistency guarantee of reads.
enum class consistency {
  /// A read sees every acknowledged write.
  Primary,
  /// A read sees every write that was acknowledged longer ago than the route's
  /// MaxStaleness.
  BoundedStaleness,
  /// As BoundedStaleness; a read also sees the session's own writes.
  ReadYourWrites,
};

/// How the statements of one database name are served.
struct route {
  std::string Name;
  database_id Database;
  /// Path prefix. Routes of one database may differ in it; statements use the
  /// first of them.
  std::string PathPrefix;
  group_id Group;
  consistency Consistency = consistency::Primary;
  duration MaxStaleness{};
  /// Maximum duration of one statement.
  duration StatementTimeout{};
  /// Latency objective; slower statements count as late.
  duration TargetLatency{};
  /// 0 is the highest priority.
  std::uint32_t Priority = 0;
  /// Callers need no key.
  bool IsPublic = false;

  bool operator==(const route &) const = default;
};

/// The part of a deployment that is distributed to every VM.
struct deployment {
  deployment_version Version;
  std::vector<route> Routes;
  /// A transaction that is idle for longer may be terminated.
  duration IdleTransactionTimeout{};
  /// Empty: the deployment has no organisations, and callers need no key.
  std::optional<std::vector<organisation>> Organisations;

  bool operator==(const deployment &) const = default;
};

/// Limits of one group.
struct group_limits {
  group_id Group;
  /// Maximum connections to each upstream from all VMs together.
  std::uint32_t MaxConnections = 0;
  /// Replicas that must have received a write before it is acknowledged.
  std::uint32_t AckReplicas = 0;

  bool operator==(const group_limits &) const = default;
};

/// A deployment as submitted, with the limits of its groups.
struct deployment_proposal {
  deployment Deployment;
  std::vector<group_limits> Groups;
  /// The text that it was parsed from.
  std::string Document;
};

/// A validation error of a submitted deployment and where it is.
struct deployment_problem {
  std::string Location;
  std::string Reason;

  bool operator==(const deployment_problem &) const = default;
};

/// Validates a deployment. Returns all problems; empty when it is valid.
std::vector<deployment_problem>
checkDeployment(const deployment_proposal &Proposal);

/// Converts the group limits to rows of the operators' table.
std::vector<table_row> toTableRows(const deployment_proposal &Proposal);

/// Returns the first route of a database name; null if there is none.
const route *findRoute(const deployment &Deployment,
                       const database_id &Database);

wire::organisation_list toWire(const std::vector<organisation> &Organisations);
std::vector<organisation>
fromWire(const wire::organisation_list &Organisations);
wire::route toWire(const route &Route);
route fromWire(const wire::route &Route);
wire::deployment toWire(const deployment &Deployment);
deployment fromWire(const wire::deployment &Deployment);

} // namespace teasellock
