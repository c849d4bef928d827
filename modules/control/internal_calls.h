/// Paths of the calls that a VM forwards to the control leader on behalf of a
/// platform adapter. Bodies are Thrift structs in the compact protocol.
#pragma once

namespace teasellock {

/// PUT with a deployment_change: 200 once it or a later version is in force,
/// 503 if the request should be sent to another VM or again later.
/// GET: 200 with the document in force, 503 if this VM cannot confirm that it
/// leads or no deployment has been submitted.
constexpr const char *DeploymentPath = "internal/deployment";
/// POST with an announcement: 200 once it is committed.
constexpr const char *AnnouncementPath = "internal/announcement";

} // namespace teasellock
