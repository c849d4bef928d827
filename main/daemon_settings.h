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

/// The settings of a daemon, from command line, environment and settings file.
struct daemon_settings {
  vm_id Vm;
  availability_zone_id AvailabilityZone;
  region_id Region;
  /// Address at which other VMs reach this process.
  endpoint Internal;
  /// Address to listen at for other VMs; nullopt: Internal.
  std::optional<endpoint> InternalListen;
  /// Address to listen at for callers; nullopt: no entry role.
  std::optional<endpoint> CallerListen;
  /// Whether callers and upstreams use the line protocol rather than
  /// PostgreSQL's.
  bool UseLineProtocol = false;
  /// Address of the platform service that promotes upstreams; nullopt: gateways
  /// promote them by SQL.
  std::optional<endpoint> PlatformEndpoint;
  /// Name by which this VM identifies itself in promotion requests to the
  /// platform.
  std::string DutyHolder;
  /// Number of control disks that may be lost at the same time; 0: operators
  /// manage the membership of the control group.
  std::size_t ToleratedLosses = 0;
  /// Whether the deployment is started for the first time.
  bool Bootstrap = false;
  /// HTTP addresses of control VMs, possibly including this one.
  std::vector<endpoint> Seeds;
  /// Region of each availability zone, for upstreams announced without one.
  std::map<availability_zone_id, region_id> RegionByZone;
  /// Whether groups may be assigned to this VM.
  bool HasGatewayRole = true;
  severity LogLevel = severity::Info;
  /// File for trace spans; empty: no tracing.
  std::string TraceFile;
  /// Ratio of requests that are traced, 0 to 1.
  double TraceSampleRatio = 0.01;
  /// Timeout of a graceful shutdown; derived from GracePeriod if that is set.
  duration DrainTimeout = fromMilliseconds(30000);
  /// Time from SIGTERM to SIGKILL; zero if unknown.
  duration GracePeriod{};
  admin_settings Admin;
  caller_settings CallerSettings;
  control_settings Control;
  /// If the data folder is empty, the process has no control role.
  consensus_settings Consensus;
  gateway_settings GatewaySettings;
  membership_settings Membership;
  line_group_settings LineGroupSettings;
  line_listener_settings LineListenerSettings;
  process_resources Resources;
  routing_settings Routing;
};

/// Definition of one setting: its flag without dashes, its environment
/// variable, and a function that parses its value.
struct daemon_setting {
  std::string Flag;
  std::string Environment;
  std::string Description;
  std::string Default;
  bool IsSecret = false;
  /// Parses a value and stores it. Throws error when it is invalid.
  std::function<void(daemon_settings &, const std::string &)> Apply;
};

/// All settings, in the order of the help. They are applied in this order.
const std::vector<daemon_setting> &daemonSettings();

/// Unparsed values by flag. Missing flags have their defaults.
using setting_values = std::map<std::string, std::string>;

/// Parses and validates all settings. Adds a line with flag, variable, value
/// and reason to Problems for every invalid one. The result may only be used if
/// there is none.
daemon_settings readSettings(const setting_values &Values,
                             std::vector<std::string> &Problems);

/// Formats the settings as "flag=value" lines with secrets hidden.
std::string printSettings(const setting_values &Values);

} // namespace teasellock
