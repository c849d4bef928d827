#include "modules/gateway/primary_gateways.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Returns the region of a group's primary, if it has a known primary.
std::optional<region_id> primaryRegion(const group_view &View) {
  if (!View.Primary)
    return std::nullopt;
  auto Primary = std::find_if(View.Upstreams.begin(), View.Upstreams.end(),
                              [&](const upstream_announcement &Announcement) {
                                return Announcement.Upstream == *View.Primary;
                              });
  if (Primary == View.Upstreams.end())
    return std::nullopt;
  return Primary->Region;
}

} // namespace

bool needsPrimary(const wire::statement_request &Request) {
  if (Request.opens_transaction)
    return !Request.read_only || Request.max_staleness_ms < 0;
  return Request.access == wire::statement_access::write ||
         Request.max_staleness_ms < 0;
}

std::set<vm_id> primaryGateways(const group_view &View) {
  auto Region = primaryRegion(View);
  std::set<vm_id> All;
  std::set<vm_id> InRegion;
  for (const auto &Share : View.Gateways) {
    All.insert(Share.Vm);
    if (Region == Share.Region)
      InRegion.insert(Share.Vm);
  }
  return InRegion.empty() ? All : InRegion;
}

} // namespace teasellock
