/// A deployment: the database names that callers connect to, the consistency
/// each promises, and the limits of the groups behind them. It is submitted as
/// a whole; the highest version is in force.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "modules/control/gen/control_messages_types.h"
#include "modules/table/table_row.h"

#include <string>
#include <vector>

namespace teasellock {

/// Name that callers give as their database.
using database_id = strong_type<struct database_id_tag, std::string>;

/// Number of a deployment. Grows with every change, in steps of any size.
using deployment_version =
    strong_type<struct deployment_version_tag, std::uint64_t>;

/// What a read must see.
enum class consistency {
  /// Every acknowledged write.
  Primary,
  /// Every write acknowledged longer ago than the route's staleness.
  BoundedStaleness,
  /// Besides, the session's own writes.
  ReadYourWrites,
};

/// How the statements of one database name are served.
struct route {
  std::string Name;
  database_id Database;
  /// Routes of one database may differ in it; statements use the first.
  std::string Prefix;
  group_id Group;
  consistency Consistency = consistency::Primary;
  duration MaxStaleness{};
  /// Longest time of one statement.
  duration StatementTimeout{};
  /// What callers hope for; longer is late.
  duration TargetLatency{};
  /// 0 is the most important.
  std::uint32_t Priority = 0;

  bool operator==(const route &) const = default;
};

/// What every VM applies.
struct deployment {
  deployment_version Version;
  std::vector<route> Routes;
  /// A transaction that stays idle for longer may be ended.
  duration IdleTransaction{};

  bool operator==(const deployment &) const = default;
};

/// Limits of one group.
struct group_limits {
  group_id Group;
  /// Connections that each upstream accepts from all VMs together.
  std::uint32_t MaxConnections = 0;
  /// Replicas that must have received a write before it is acknowledged.
  std::uint32_t AckReplicas = 0;

  bool operator==(const group_limits &) const = default;
};

/// A deployment as it is submitted.
struct deployment_proposal {
  deployment Deployment;
  std::vector<group_limits> Groups;
  /// The text it was read from.
  std::string Document;
};

/// What is wrong with one field of a submitted deployment.
struct deployment_problem {
  std::string Where;
  std::string Reason;

  bool operator==(const deployment_problem &) const = default;
};

/// Everything that is wrong with a deployment; empty when it is sound.
std::vector<deployment_problem>
checkDeployment(const deployment_proposal &Proposal);

/// The rows of the operators' table that the groups become.
std::vector<table_row> rowsOf(const deployment_proposal &Proposal);

/// The route of a database name. Null when there is none.
const route *findRoute(const deployment &Deployment,
                       const database_id &Database);

wire::deployment toWire(const deployment &Deployment);
deployment fromWire(const wire::deployment &Deployment);

} // namespace teasellock
