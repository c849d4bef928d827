#include "modules/deployment/organisation_index.h"

namespace teasellock {

bool updateIndex(organisation_index &Index, const deployment &Deployment) {
  if (Index.Version == Deployment.Version)
    return false;
  Index = {Deployment.Version, Deployment.Organisations.has_value(), {}};
  if (!Deployment.Organisations)
    return true;
  for (const auto &Organisation : *Deployment.Organisations)
    for (const auto &Key : Organisation.Keys)
      Index.ByKey.emplace(Key, Organisation.Name);
  return true;
}

const organisation_id *findOrganisation(const organisation_index &Index,
                                        const key_digest &Key) {
  auto Found = Index.ByKey.find(Key);
  return Found == Index.ByKey.end() ? nullptr : &Found->second;
}

} // namespace teasellock
