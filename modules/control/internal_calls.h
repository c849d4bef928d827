/// Calls that a VM forwards to the control leader on behalf of a platform
/// adapter. Bodies are Thrift structs in the compact protocol.
#pragma once

namespace teasellock {

/// PUT deployment_change: 200 in force or overtaken, 503 try elsewhere.
/// GET: 200 with the document in force, 503 when that is not certain.
constexpr const char *DeploymentCall = "internal/deployment";
/// POST announcement: 200 once it is known to a quorum.
constexpr const char *AnnouncementCall = "internal/announcement";

} // namespace teasellock
