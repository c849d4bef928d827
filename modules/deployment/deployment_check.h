/// Findings in a valid deployment that an operator probably did not intend:
/// entries without effect, and limits that contradict each other. Control
/// accepts such a deployment; see checkDeployment() for what it refuses.
#pragma once

#include "modules/deployment/deployment.h"

#include <vector>

namespace teasellock {

/// Returns the entries that never match: hidden routes, groups that no route
/// uses, and organisations that no caller can act for. Routes of unknown groups
/// are not among them, since checkDeployment() reports them.
std::vector<deployment_problem>
findUnusedEntries(const deployment_proposal &Proposal);

/// Returns the limits that contradict each other.
std::vector<deployment_problem>
findLimitConflicts(const deployment_proposal &Proposal);

} // namespace teasellock
