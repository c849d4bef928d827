#pragma once

#include "core/event_log.h"
#include "modules/admin/admin_service.h"
#include "modules/caller/caller_server.h"
#include "modules/control/control_service.h"
#include "modules/gateway/gateway_service.h"
#include "modules/line/line_group.h"
#include "modules/line/line_listener.h"
#include "modules/membership/member_agent.h"
#include "modules/routing/statement_router.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace teasellock {

/// Everything a daemon is told at start.
struct daemon_settings {
  vm_id Vm;
  availability_zone_id AvailabilityZone;
  region_id Region;
  endpoint Internal;
  /// Nothing: --internal is listened at.
  std::optional<endpoint> InternalListen;
  /// Nothing: no entry role.
  std::optional<endpoint> Callers;
  /// Callers and upstreams speak the line protocol in place of PostgreSQL's.
  bool Lines = false;
  /// Where the platform takes orders to promote. Nothing: gateways promote.
  std::optional<endpoint> Platform;
  /// Name under which this machine gives orders to the platform.
  std::string Holder;
  /// Disks that may be lost at once; 0: operators keep the control group.
  std::size_t ToleratedLosses = 0;
  bool Bootstrap = false;
  /// HTTP addresses of control VMs, one of which may be this one.
  std::vector<endpoint> Seeds;
  /// Regions by availability zone, for upstreams that tell no region.
  std::map<availability_zone_id, region_id> Regions;
  bool Gateway = true;
  severity LogLevel = severity::Info;
  std::string TraceFile;
  double TraceShare = 0.01;
  duration DrainTimeout = fromMilliseconds(30000);
  /// From SIGTERM to SIGKILL; zero when nobody tells.
  duration Grace{};
  admin_settings Admin;
  caller_settings Caller;
  control_settings Control;
  /// An empty data folder: no control role.
  consensus_settings Consensus;
  gateway_settings GatewaySettings;
  membership_settings Membership;
  line_group_settings LineGroup;
  line_listener_settings LineCallers;
  routing_settings Routing;
};

/// One setting: a flag, its environment variable, and how its text is read.
struct daemon_setting {
  std::string Flag;
  std::string Environment;
  std::string Meaning;
  std::string Default;
  bool Secret = false;
  /// Throws error when the text is no valid value.
  std::function<void(daemon_settings &, const std::string &)> Apply;
};

/// All settings, in the order of the help.
const std::vector<daemon_setting> &daemonSettings();

/// The text of each setting by flag; flags left out have their defaults.
using setting_texts = std::map<std::string, std::string>;

/// Reads and checks all settings. Problems holds a line for every bad one:
/// flag, variable, value and reason; the result is only good without any.
daemon_settings readSettings(const setting_texts &Texts,
                             std::vector<std::string> &Problems);

/// "flag=value" lines with secrets hidden.
std::string printSettings(const setting_texts &Texts);

} // namespace teasellock
