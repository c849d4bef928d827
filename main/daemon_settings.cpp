#include "main/daemon_settings.h"

#include "core/error.h"

#include <algorithm>
#include <charconv>

namespace teasellock {

namespace {

constexpr std::int64_t MaxMilliseconds = 3600 * 1000;
constexpr std::size_t MinSecretBytes = 16;
constexpr std::size_t MaxToleratedLosses = 3;
constexpr std::size_t MaxPort = 65535;
constexpr std::size_t MaxGraceSeconds = 3600;
constexpr std::size_t MaxMemoryMb = 1024 * 1024;
constexpr std::size_t MaxDescriptorCount = 10000000;
constexpr std::size_t BytesPerMb = 1024 * 1024;
/// A graceful shutdown is limited to the grace period less this margin, so that
/// it ends before SIGKILL.
constexpr duration ShutdownMargin = fromMilliseconds(500);

using apply_function =
    std::function<void(daemon_settings &, const std::string &)>;

error invalidValue(const std::string &Reason) {
  return error("settings.check", "", Reason);
}

duration parseDuration(const std::string &Text, std::int64_t Min) {
  std::int64_t Number = 0;
  const char *Last = Text.data() + Text.size();
  auto [End, Status] = std::from_chars(Text.data(), Last, Number);
  if (Status != std::errc() || End != Last || Number < Min ||
      Number > MaxMilliseconds)
    throw invalidValue("must be " + std::to_string(Min) + " to " +
                       std::to_string(MaxMilliseconds) + " milliseconds");
  return fromMilliseconds(Number);
}

double parseRatio(const std::string &Text) {
  double Number = 0;
  const char *Last = Text.data() + Text.size();
  auto [End, Status] = std::from_chars(Text.data(), Last, Number);
  if (Status != std::errc() || End != Last || !(Number >= 0 && Number <= 1))
    throw invalidValue("must be 0 to 1");
  return Number;
}

bool parseBoolean(const std::string &Text) {
  if (Text == "on" || Text == "true")
    return true;
  if (Text == "off" || Text == "false")
    return false;
  throw invalidValue("must be on or off");
}

std::string parseName(const std::string &Text) {
  if (Text.empty())
    throw invalidValue("must be given");
  for (char Char : Text)
    if (!std::isalnum(static_cast<unsigned char>(Char)) && Char != '-' &&
        Char != '_' && Char != '.')
      throw invalidValue("must be letters, digits, '-', '_' or '.'");
  return Text;
}

endpoint parseAddress(const std::string &Text) {
  if (Text.empty())
    throw invalidValue("must be given as address:port");
  return parseEndpoint(Text);
}

/// Splits at commas; keeps empty parts.
std::vector<std::string> splitAtCommas(const std::string &Text) {
  std::vector<std::string> Result;
  std::size_t Start = 0;
  while (Start <= Text.size()) {
    std::size_t End = std::min(Text.find(',', Start), Text.size());
    Result.push_back(Text.substr(Start, End - Start));
    Start = End + 1;
  }
  return Result;
}

std::vector<endpoint> parseAddresses(const std::string &Text) {
  std::vector<endpoint> Result;
  for (const auto &Part : splitAtCommas(Text))
    Result.push_back(parseAddress(Part));
  return Result;
}

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

/// Parses zone=region pairs separated by commas.
std::map<availability_zone_id, region_id>
parseRegions(const std::string &Text) {
  std::map<availability_zone_id, region_id> Result;
  if (Text.empty())
    return Result;
  for (const auto &Pair : splitAtCommas(Text)) {
    std::size_t Separator = Pair.find('=');
    if (Separator == std::string::npos)
      throw invalidValue("must be comma-separated zone=region pairs");
    Result[availability_zone_id(parseName(Pair.substr(0, Separator)))] =
        region_id(parseName(Pair.substr(Separator + 1)));
  }
  return Result;
}

std::size_t parseCount(const std::string &Text, std::size_t Max) {
  std::size_t Number = 0;
  const char *Last = Text.data() + Text.size();
  auto [End, Status] = std::from_chars(Text.data(), Last, Number);
  if (Status != std::errc() || End != Last || Number > Max)
    throw invalidValue("must be a whole number up to " + std::to_string(Max));
  return Number;
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

/// Parses a count; an empty text, as a template renders an unknown field, is 0.
std::size_t parseCountOrNone(const std::string &Text, std::size_t Max) {
  return Text.empty() ? 0 : parseCount(Text, Max);
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

/// Validates combinations of settings.
void checkCombinations(const daemon_settings &Settings,
                       std::vector<std::string> &Problems) {
  if (Settings.Membership.RenewalPeriod * 2 > Settings.Control.LeaseTime)
    Problems.push_back("--renewal-ms must be at most half of --lease-ms");
  if (Settings.Membership.ControlEndpoints.empty() && Settings.Seeds.empty())
    Problems.push_back("--control or --seeds must name a control VM");
  if (!Settings.UseLineProtocol && Settings.CallerSettings.TokenSecret.empty())
    Problems.push_back("--token-secret must have at least 16 bytes where "
                       "callers speak PostgreSQL's protocol");
  if (!Settings.Seeds.empty() &&
      !Settings.Membership.ControlEndpoints.empty() &&
      Settings.Membership.ControlEndpoints.front().Port == 0)
    Problems.push_back("--control-port must be given with --seeds");
  if (Settings.GatewaySettings.SslMode == "verify-ca" &&
      Settings.GatewaySettings.SslRootCertificate.empty())
    Problems.push_back("--upstream-root-certificate must be given with "
                       "--upstream-sslmode verify-ca");
}

/// Sets fields that are derived from other settings.
void deriveSettings(daemon_settings &Settings) {
  if (Settings.GracePeriod > ShutdownMargin) {
    Settings.DrainTimeout = Settings.GracePeriod - ShutdownMargin;
    Settings.LineListenerSettings.DrainTransactionPeriod =
        Settings.GracePeriod / 2;
  }
  Settings.Membership.IsGateway = Settings.HasGatewayRole;
  Settings.Membership.InheritsShares = Settings.UseLineProtocol;
  if (Settings.CallerListen)
    Settings.LineListenerSettings.Listen = *Settings.CallerListen;
  Settings.LineListenerSettings.Limits = limitsFor(Settings.Resources);
  Settings.Admin.Resources = Settings.Resources;
  if (Settings.Resources.MemoryBytes > 0)
    Settings.GatewaySettings.MaxStatementBytes =
        Settings.LineListenerSettings.Limits.MaxInFlightBytes;
  if (Settings.ToleratedLosses > 0)
    Settings.Control.TargetVoters = 2 * Settings.ToleratedLosses + 1;
  if (Settings.PlatformEndpoint)
    Settings.Control.Method = promotion_method::Pause;
  // All control VMs are started with the same seeds, so that exactly one, the
  // first in order, initialises the control group.
  auto First = std::min_element(Settings.Seeds.begin(), Settings.Seeds.end());
  Settings.Control.InitialisesGroup = Settings.Bootstrap &&
                                      First != Settings.Seeds.end() &&
                                      *First == Settings.Admin.Listen;
}

std::string valueOf(const setting_values &Values,
                    const daemon_setting &Setting) {
  auto Found = Values.find(Setting.Flag);
  return Found == Values.end() ? Setting.Default : Found->second;
}

} // namespace

const std::vector<daemon_setting> &daemonSettings() {
  static const std::vector<daemon_setting> Definitions = makeSettings();
  return Definitions;
}

daemon_settings readSettings(const setting_values &Values,
                             std::vector<std::string> &Problems) {
  daemon_settings Settings;
  for (const auto &Setting : daemonSettings()) {
    std::string Text = valueOf(Values, Setting);
    try {
      Setting.Apply(Settings, Text);
    } catch (const error &Problem) {
      Problems.push_back("--" + Setting.Flag + " (" + Setting.Environment +
                         ") \"" + (Setting.IsSecret ? "hidden" : Text) +
                         "\": " + Problem.reason());
    }
  }
  checkCombinations(Settings, Problems);
  deriveSettings(Settings);
  return Settings;
}

std::string printSettings(const setting_values &Values) {
  std::string Result;
  for (const auto &Setting : daemonSettings()) {
    std::string Text = valueOf(Values, Setting);
    if (Setting.IsSecret && !Text.empty())
      Text = "hidden";
    Result += Setting.Flag + "=" + Text + "\n";
  }
  return Result;
}

} // namespace teasellock
