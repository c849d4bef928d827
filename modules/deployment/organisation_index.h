/// Finds the organisation that holds a key, in constant time.
#pragma once

#include "modules/deployment/deployment.h"

#include <unordered_map>

namespace teasellock {

/// The organisations of one version of a deployment by their keys.
struct organisation_index {
  deployment_version Version;
  /// Whether callers need a key on routes that are not public.
  bool NeedsKeys = false;
  std::unordered_map<key_digest, organisation_id> ByKey;
};

/// Rebuilds the index if the deployment has another version. Returns whether it
/// did.
bool updateIndex(organisation_index &Index, const deployment &Deployment);

/// Returns the organisation that holds the key; null if there is none.
const organisation_id *findOrganisation(const organisation_index &Index,
                                        const key_digest &Key);

} // namespace teasellock
