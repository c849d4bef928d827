/// Differences between a deployment and the one in force, without callers'
/// keys: these appear by their fingerprints.
#pragma once

#include "modules/deployment/deployment.h"

#include <optional>
#include <string>
#include <vector>

namespace teasellock {

/// An organisation as operators see it.
struct organisation_summary {
  organisation_id Name;
  /// Fingerprints of its keys.
  std::vector<std::string> Keys;
  /// Empty: no limit.
  std::optional<operation_limit> Limit;
  std::uint32_t Priority = 0;

  bool operator==(const organisation_summary &) const = default;
};

/// What operators see of a deployment. Path prefixes are missing: they have no
/// effect, and control does not keep them.
struct deployment_summary {
  deployment_version Version;
  std::vector<route> Routes;
  std::vector<group_limits> Groups;
  duration IdleTransactionTimeout{};
  /// Empty: callers need no key.
  std::optional<std::vector<organisation_summary>> Organisations;

  bool operator==(const deployment_summary &) const = default;
};

/// One difference. Before is empty for what is added, After for what is
/// removed.
struct deployment_difference {
  std::string Location;
  std::optional<std::string> Before;
  std::optional<std::string> After;

  bool operator==(const deployment_difference &) const = default;
};

deployment_summary summaryOf(const deployment_proposal &Proposal);

/// Returns the differences: one for each entry that is added or removed, and
/// one for each changed field of the others. Routes, groups and organisations
/// are matched by name, those of one name by their order.
std::vector<deployment_difference>
diffDeployments(const deployment_summary &Before,
                const deployment_summary &After);

/// Returns a problem if control would ignore a version because it is not above
/// the one in force.
std::optional<deployment_problem> checkVersion(deployment_version InForce,
                                               deployment_version Next);

} // namespace teasellock
