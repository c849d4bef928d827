#include "main/daemon_settings.h"
#include "main/setting_parsers.h"

#include <cctype>

namespace teasellock {

namespace {

constexpr std::size_t MinSecretBytes = 16;
constexpr std::size_t MaxToleratedLosses = 3;
constexpr std::size_t MaxPort = 65535;
constexpr std::size_t MaxGraceSeconds = 3600;
constexpr std::size_t MaxMemoryMb = 1024 * 1024;
constexpr std::size_t MaxDescriptorCount = 10000000;
constexpr std::size_t BytesPerMb = 1024 * 1024;

using apply_function =
    std::function<void(daemon_settings &, const std::string &)>;

std::string environmentName(const std::string &Flag) {
  std::string Name = "TEASELLOCK_";
  for (char Char : Flag)
    Name +=
        Char == '-'
            ? '_'
            : static_cast<char>(std::toupper(static_cast<unsigned char>(Char)));
  return Name;
}

daemon_setting makeSetting(const std::string &Flag,
                           const std::string &Description,
                           const std::string &Default, apply_function Apply) {
  return {Flag,  environmentName(Flag), Description, Default,
          false, std::move(Apply)};
}

daemon_setting makeSecretSetting(const std::string &Flag,
                                 const std::string &Description,
                                 const std::string &Default,
                                 apply_function Apply) {
  auto Result = makeSetting(Flag, Description, Default, std::move(Apply));
  Result.IsSecret = true;
  return Result;
}

/// Defines a setting that is a duration of at least one millisecond. GetField
/// returns a reference to the field that stores it.
template <typename Field>
daemon_setting makeDurationSetting(const std::string &Flag,
                                   const std::string &Description,
                                   const std::string &Default, Field GetField) {
  return makeSetting(
      Flag, Description, Default,
      [GetField](daemon_settings &Settings, const std::string &Text) {
        GetField(Settings) = parseDuration(Text, 1);
      });
}

void appendIdentitySettings(std::vector<daemon_setting> &Definitions) {
  Definitions.push_back(
      makeSetting("vm", "name of this VM, unique in the deployment", "",
                  [](daemon_settings &S, const std::string &Text) {
                    S.Vm = vm_id(parseName(Text));
                  }));
  Definitions.push_back(
      makeSetting("availability-zone", "availability zone of this VM", "",
                  [](daemon_settings &S, const std::string &Text) {
                    S.AvailabilityZone = availability_zone_id(parseName(Text));
                  }));
  Definitions.push_back(
      makeSetting("region", "region of this VM", "",
                  [](daemon_settings &S, const std::string &Text) {
                    S.Region = region_id(parseName(Text));
                  }));
  Definitions.push_back(
      makeSetting("internal", "address:port at which other VMs reach this one",
                  "", [](daemon_settings &S, const std::string &Text) {
                    S.Internal = parseAddress(Text);
                  }));
  Definitions.push_back(
      makeSetting("internal-listen",
                  "address:port to listen at for other VMs, if they "
                  "reach --internal through a proxy",
                  "", [](daemon_settings &S, const std::string &Text) {
                    if (!Text.empty())
                      S.InternalListen = parseAddress(Text);
                  }));
  Definitions.push_back(
      makeSetting("http", "address:port of the HTTP API", "",
                  [](daemon_settings &S, const std::string &Text) {
                    S.Admin.Listen = parseAddress(Text);
                  }));
  Definitions.push_back(
      makeSetting("callers", "address:port for callers; empty: no entry role",
                  "", [](daemon_settings &S, const std::string &Text) {
                    if (Text.empty())
                      return;
                    S.CallerListen = parseAddress(Text);
                    S.CallerSettings.Listen = *S.CallerListen;
                  }));
  Definitions.push_back(
      makeSetting("gateway", "on: groups may be assigned to this VM", "on",
                  [](daemon_settings &S, const std::string &Text) {
                    S.HasGatewayRole = parseBoolean(Text);
                  }));
  Definitions.push_back(makeSetting(
      "control", "internal addresses of the control VMs, comma-separated", "",
      [](daemon_settings &S, const std::string &Text) {
        if (!Text.empty())
          S.Membership.ControlEndpoints = parseAddresses(Text);
      }));
  Definitions.push_back(makeSetting(
      "data-folder", "data folder of the control role; empty: no control role",
      "", [](daemon_settings &S, const std::string &Text) {
        S.Consensus.DataFolder = Text;
      }));
}

/// Settings for deployments that are managed by a platform rather than by
/// operators.
void appendPlatformSettings(std::vector<daemon_setting> &Definitions) {
  Definitions.push_back(makeSetting(
      "protocol", "postgresql or line: protocol of callers and upstreams",
      "postgresql", [](daemon_settings &S, const std::string &Text) {
        if (Text != "postgresql" && Text != "line")
          throw invalidValue("must be postgresql or line");
        S.UseLineProtocol = Text == "line";
      }));
  Definitions.push_back(
      makeSetting("platform",
                  "address:port that accepts promotion requests; empty: "
                  "gateways promote by SQL",
                  "", [](daemon_settings &S, const std::string &Text) {
                    if (!Text.empty())
                      S.PlatformEndpoint = parseAddress(Text);
                  }));
  Definitions.push_back(
      makeSetting("holder", "name of this VM in promotion requests", "",
                  [](daemon_settings &S, const std::string &Text) {
                    S.DutyHolder = Text;
                  }));
  Definitions.push_back(
      makeSetting("tolerated-losses",
                  "control disks that may be lost at once; lost "
                  "members are then replaced automatically. 0: by "
                  "operators",
                  "0", [](daemon_settings &S, const std::string &Text) {
                    S.ToleratedLosses = parseCount(Text, MaxToleratedLosses);
                  }));
  Definitions.push_back(
      makeSetting("bootstrap", "on: the deployment starts for the first time",
                  "off", [](daemon_settings &S, const std::string &Text) {
                    S.Bootstrap = parseBoolean(Text);
                  }));
  Definitions.push_back(
      makeSetting("seeds",
                  "HTTP addresses of control VMs, comma-separated; replaces "
                  "--control, with --control-port",
                  "", [](daemon_settings &S, const std::string &Text) {
                    if (!Text.empty())
                      S.Seeds = parseAddresses(Text);
                  }));
  Definitions.push_back(makeSetting(
      "control-port", "internal port of the control VMs that --seeds names",
      "0", [](daemon_settings &S, const std::string &Text) {
        std::size_t Port = parseCount(Text, MaxPort);
        for (const auto &Seed : S.Seeds)
          S.Membership.ControlEndpoints.push_back(
              {Seed.Address, static_cast<std::uint16_t>(Port)});
      }));
  Definitions.push_back(
      makeSetting("zone-regions",
                  "comma-separated zone=region pairs, for upstreams "
                  "announced without a region",
                  "", [](daemon_settings &S, const std::string &Text) {
                    S.RegionByZone = parseRegions(Text);
                  }));
  Definitions.push_back(makeSetting(
      "grace-s", "seconds from SIGTERM to SIGKILL; 0: only --drain-ms applies",
      "0", [](daemon_settings &S, const std::string &Text) {
        S.GracePeriod = std::chrono::seconds(parseCount(Text, MaxGraceSeconds));
      }));
}

/// Settings for the limits that protect the process from its callers.
void appendResourceSettings(std::vector<daemon_setting> &Definitions) {
  Definitions.push_back(makeSetting(
      "memory-mb",
      "memory that the process may use, in MiB; bounds what callers may have "
      "in buffers; 0: not known",
      "0", [](daemon_settings &S, const std::string &Text) {
        S.Resources.MemoryBytes =
            parseCountOrNone(Text, MaxMemoryMb) * BytesPerMb;
      }));
  Definitions.push_back(makeSetting(
      "max-descriptors",
      "descriptors that the process may open; bounds the number of callers; 0: "
      "not known",
      "0", [](daemon_settings &S, const std::string &Text) {
        S.Resources.Descriptors = parseCountOrNone(Text, MaxDescriptorCount);
      }));
}

void appendUpstreamSettings(std::vector<daemon_setting> &Definitions) {
  Definitions.push_back(makeSetting(
      "upstream-user", "user for connections to upstreams", "teasellock",
      [](daemon_settings &S, const std::string &Text) {
        S.GatewaySettings.User = parseName(Text);
      }));
  Definitions.push_back(makeSecretSetting(
      "upstream-password", "password for connections to upstreams", "",
      [](daemon_settings &S, const std::string &Text) {
        S.GatewaySettings.Password = Text;
      }));
  Definitions.push_back(makeSetting(
      "upstream-sslmode", "disable, require or verify-ca", "disable",
      [](daemon_settings &S, const std::string &Text) {
        if (Text != "disable" && Text != "require" && Text != "verify-ca")
          throw invalidValue("must be disable, require or verify-ca");
        S.GatewaySettings.SslMode = Text;
      }));
  Definitions.push_back(
      makeSetting("upstream-root-certificate",
                  "file with the root certificate that signs upstreams", "",
                  [](daemon_settings &S, const std::string &Text) {
                    S.GatewaySettings.SslRootCertificate = Text;
                  }));
  Definitions.push_back(
      makeDurationSetting("probe-ms", "period of probes of each upstream",
                          "200", [](daemon_settings &S) -> duration & {
                            return S.GatewaySettings.ProbePeriod;
                          }));
  Definitions.push_back(
      makeDurationSetting("probe-timeout-ms", "timeout of a probe", "500",
                          [](daemon_settings &S) -> duration & {
                            return S.GatewaySettings.ProbeTimeout;
                          }));
  Definitions.push_back(makeDurationSetting(
      "connect-timeout-ms", "timeout of a connection attempt", "1000",
      [](daemon_settings &S) -> duration & {
        return S.GatewaySettings.ConnectTimeout;
      }));
  Definitions.push_back(makeSetting(
      "even-load",
      "measures for even load over upstreams of the line protocol, "
      "comma-separated: positions (learnt from every answer), spread (reads "
      "over the best), reliability (avoids upstreams that fail; needs spread), "
      "limit (in flight, follows BUSY answers and latency); empty: none",
      "", [](daemon_settings &S, const std::string &Text) {
        S.LineGroupSettings.EvenLoad = parseEvenLoad(Text);
      }));
}

void appendTimeSettings(std::vector<daemon_setting> &Definitions) {
  Definitions.push_back(makeDurationSetting(
      "lease-ms", "duration of a VM's lease", "2000",
      [](daemon_settings &S) -> duration & { return S.Control.LeaseTime; }));
  Definitions.push_back(makeDurationSetting(
      "lease-margin-ms",
      "margin added to a lease before it is considered expired", "200",
      [](daemon_settings &S) -> duration & { return S.Control.LeaseMargin; }));
  Definitions.push_back(
      makeDurationSetting("renewal-ms", "period of lease renewals", "400",
                          [](daemon_settings &S) -> duration & {
                            return S.Membership.RenewalPeriod;
                          }));
  Definitions.push_back(makeDurationSetting(
      "vm-timeout-ms", "a VM without renewals loses its assignments after this",
      "3000",
      [](daemon_settings &S) -> duration & { return S.Control.VmTimeout; }));
  Definitions.push_back(makeDurationSetting(
      "announcement-ms",
      "how often upstreams announce themselves; a new control leader waits for "
      "it before it replaces a failed primary through the platform",
      "1200", [](daemon_settings &S) -> duration & {
        return S.Control.AnnouncementInterval;
      }));
  Definitions.push_back(makeDurationSetting(
      "election-ms", "minimum election timeout of the control group", "500",
      [](daemon_settings &S) -> duration & {
        return S.Consensus.ElectionTimeout;
      }));
  Definitions.push_back(
      makeDurationSetting("statement-ms", "timeout of a statement", "30000",
                          [](daemon_settings &S) -> duration & {
                            return S.CallerSettings.StatementTimeout;
                          }));
  Definitions.push_back(makeDurationSetting(
      "drain-ms", "timeout of a graceful shutdown", "30000",
      [](daemon_settings &S) -> duration & { return S.DrainTimeout; }));
}

void appendSecretAndLogSettings(std::vector<daemon_setting> &Definitions) {
  Definitions.push_back(makeSecretSetting(
      "token-secret", "signs session tokens; the same on all entries", "",
      [](daemon_settings &S, const std::string &Text) {
        if (!Text.empty() && Text.size() < MinSecretBytes)
          throw invalidValue("must have at least 16 bytes");
        S.CallerSettings.TokenSecret = Text;
      }));
  Definitions.push_back(makeSecretSetting(
      "operator-token", "bearer token of operators; empty: none is required",
      "", [](daemon_settings &S, const std::string &Text) {
        S.Admin.OperatorToken = Text;
      }));
  Definitions.push_back(makeSecretSetting(
      "platform-token", "bearer token of the platform; empty: none is required",
      "", [](daemon_settings &S, const std::string &Text) {
        S.Admin.PlatformToken = Text;
      }));
  Definitions.push_back(
      makeSetting("log-level", "debug, info, warning or error", "info",
                  [](daemon_settings &S, const std::string &Text) {
                    S.LogLevel = parseSeverity(Text);
                  }));
  Definitions.push_back(makeSetting(
      "trace-file",
      "file for trace spans as OTLP/JSON lines; empty: no tracing", "",
      [](daemon_settings &S, const std::string &Text) { S.TraceFile = Text; }));
  Definitions.push_back(
      makeSetting("trace-share", "ratio of requests that are traced, 0 to 1",
                  "0.01", [](daemon_settings &S, const std::string &Text) {
                    S.TraceSampleRatio = parseRatio(Text);
                  }));
}

std::vector<daemon_setting> makeSettings() {
  std::vector<daemon_setting> Definitions;
  appendIdentitySettings(Definitions);
  appendPlatformSettings(Definitions);
  appendResourceSettings(Definitions);
  appendUpstreamSettings(Definitions);
  appendTimeSettings(Definitions);
  appendSecretAndLogSettings(Definitions);
  return Definitions;
}

} // namespace

const std::vector<daemon_setting> &daemonSettings() {
  static const std::vector<daemon_setting> Definitions = makeSettings();
  return Definitions;
}

} // namespace teasellock
