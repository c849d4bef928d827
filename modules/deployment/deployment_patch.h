/// Patches: the changes from one version of a deployment to the next.
///
/// Most versions change a few routes of many. Control keeps the latest patches,
/// so that a VM is sent what has changed since its own version.
#pragma once

#include "modules/deployment/deployment.h"

#include <deque>
#include <vector>

namespace teasellock {

/// Returns the patch from one version to another. The routes keep their order.
wire::deployment_patch makePatch(const deployment &Base,
                                 const deployment &Next);

/// Applies a patch. Returns false, and changes nothing, if the patch is not
/// newer than the deployment or is based on another version; a patch based on
/// version 0 contains all routes and is based on any. Throws error with step
/// "deployment.patch" if the patch is malformed.
bool applyPatch(deployment &Deployment, const wire::deployment_patch &Patch);

/// The newest version and the patches that lead to it, oldest first. Each patch
/// is based on the version of the one before.
struct deployment_history {
  deployment Newest;
  std::deque<wire::deployment_patch> Patches;
};

/// Adds a version. Forgets patches that are of no use because all routes and
/// organisations together would be fewer.
void recordVersion(deployment_history &History, const deployment &Next);

/// Returns the patches that lead from a version to the newest one: a single
/// patch with all routes if the version is not in the history.
std::vector<wire::deployment_patch>
patchesSince(const deployment_history &History, deployment_version Base);

} // namespace teasellock
