#include "main/daemon_settings.h"

#include "core/error.h"

#include <algorithm>
#include <charconv>

namespace teasellock {

namespace {

constexpr std::int64_t LongestMilliseconds = 3600 * 1000;
constexpr std::size_t LeastSecretBytes = 16;
constexpr std::size_t MostLosses = 3;
constexpr std::size_t MostPort = 65535;
constexpr std::size_t MostGraceSeconds = 3600;
/// A shutdown ends this long before it would be ended.
constexpr duration GraceMargin = fromMilliseconds(500);

using apply_function =
    std::function<void(daemon_settings &, const std::string &)>;

error badValue(const std::string &Reason) {
  return error("settings.check", "", Reason);
}

duration parseSpan(const std::string &Text, std::int64_t Least) {
  std::int64_t Number = 0;
  const char *Last = Text.data() + Text.size();
  auto [End, Status] = std::from_chars(Text.data(), Last, Number);
  if (Status != std::errc() || End != Last || Number < Least ||
      Number > LongestMilliseconds)
    throw badValue("must be " + std::to_string(Least) + " to " +
                   std::to_string(LongestMilliseconds) + " milliseconds");
  return fromMilliseconds(Number);
}

double parseShare(const std::string &Text) {
  double Number = 0;
  const char *Last = Text.data() + Text.size();
  auto [End, Status] = std::from_chars(Text.data(), Last, Number);
  if (Status != std::errc() || End != Last || !(Number >= 0 && Number <= 1))
    throw badValue("must be 0 to 1");
  return Number;
}

bool parseSwitch(const std::string &Text) {
  if (Text == "on" || Text == "true")
    return true;
  if (Text == "off" || Text == "false")
    return false;
  throw badValue("must be on or off");
}

std::string parseName(const std::string &Text) {
  if (Text.empty())
    throw badValue("must be given");
  for (char Char : Text)
    if (!std::isalnum(static_cast<unsigned char>(Char)) && Char != '-' &&
        Char != '_' && Char != '.')
      throw badValue("must be letters, digits, '-', '_' or '.'");
  return Text;
}

endpoint parseAddress(const std::string &Text) {
  if (Text.empty())
    throw badValue("must be given as address:port");
  return parseEndpoint(Text);
}

/// The parts between commas, empty ones included.
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

daemon_setting setting(const std::string &Flag, const std::string &Meaning,
                       const std::string &Default, apply_function Apply) {
  return {Flag,  environmentName(Flag), Meaning, Default,
          false, std::move(Apply)};
}

daemon_setting secret(const std::string &Flag, const std::string &Meaning,
                      const std::string &Default, apply_function Apply) {
  auto Result = setting(Flag, Meaning, Default, std::move(Apply));
  Result.Secret = true;
  return Result;
}

/// A span of time in milliseconds kept in one field.
template <typename Field>
daemon_setting span(const std::string &Flag, const std::string &Meaning,
                    const std::string &Default, Field FieldOf) {
  return setting(Flag, Meaning, Default,
                 [FieldOf](daemon_settings &Settings, const std::string &Text) {
                   FieldOf(Settings) = parseSpan(Text, 1);
                 });
}

void appendIdentity(std::vector<daemon_setting> &All) {
  All.push_back(setting("vm", "name of this VM, unique in the deployment", "",
                        [](daemon_settings &S, const std::string &Text) {
                          S.Vm = vm_id(parseName(Text));
                        }));
  All.push_back(setting("availability-zone", "availability zone of this VM", "",
                        [](daemon_settings &S, const std::string &Text) {
                          S.AvailabilityZone =
                              availability_zone_id(parseName(Text));
                        }));
  All.push_back(setting("region", "region of this VM", "",
                        [](daemon_settings &S, const std::string &Text) {
                          S.Region = region_id(parseName(Text));
                        }));
  All.push_back(setting("internal", "address:port towards other VMs", "",
                        [](daemon_settings &S, const std::string &Text) {
                          S.Internal = parseAddress(Text);
                        }));
  All.push_back(setting("internal-listen",
                        "address:port to listen at for other VMs, if they "
                        "reach --internal through a proxy",
                        "", [](daemon_settings &S, const std::string &Text) {
                          if (!Text.empty())
                            S.InternalListen = parseAddress(Text);
                        }));
  All.push_back(setting("http", "address:port of the HTTP API", "",
                        [](daemon_settings &S, const std::string &Text) {
                          S.Admin.Listen = parseAddress(Text);
                        }));
  All.push_back(setting("callers",
                        "address:port towards callers; empty: no entry role",
                        "", [](daemon_settings &S, const std::string &Text) {
                          if (Text.empty())
                            return;
                          S.Callers = parseAddress(Text);
                          S.Caller.Listen = *S.Callers;
                        }));
  All.push_back(setting("gateway", "on: groups may be assigned to this VM",
                        "on", [](daemon_settings &S, const std::string &Text) {
                          S.Gateway = parseSwitch(Text);
                        }));
  All.push_back(setting("control",
                        "internal addresses of the control VMs, by commas", "",
                        [](daemon_settings &S, const std::string &Text) {
                          if (!Text.empty())
                            S.Membership.Control = parseAddresses(Text);
                        }));
  All.push_back(setting("data-folder",
                        "folder of the control role; empty: no such role", "",
                        [](daemon_settings &S, const std::string &Text) {
                          S.Consensus.DataFolder = Text;
                        }));
}

/// "name=value" pairs by commas.
std::map<availability_zone_id, region_id>
parseRegions(const std::string &Text) {
  std::map<availability_zone_id, region_id> Result;
  if (Text.empty())
    return Result;
  for (const auto &Pair : splitAtCommas(Text)) {
    std::size_t Middle = Pair.find('=');
    if (Middle == std::string::npos)
      throw badValue("must be zone=region pairs by commas");
    Result[availability_zone_id(parseName(Pair.substr(0, Middle)))] =
        region_id(parseName(Pair.substr(Middle + 1)));
  }
  return Result;
}

std::size_t parseCount(const std::string &Text, std::size_t Most) {
  std::size_t Number = 0;
  const char *Last = Text.data() + Text.size();
  auto [End, Status] = std::from_chars(Text.data(), Last, Number);
  if (Status != std::errc() || End != Last || Number > Most)
    throw badValue("must be a whole number up to " + std::to_string(Most));
  return Number;
}

/// What it takes to be run by a platform instead of by operators.
void appendPlatform(std::vector<daemon_setting> &All) {
  All.push_back(
      setting("protocol", "postgresql or line: spoken by callers and upstreams",
              "postgresql", [](daemon_settings &S, const std::string &Text) {
                if (Text != "postgresql" && Text != "line")
                  throw badValue("must be postgresql or line");
                S.Lines = Text == "line";
              }));
  All.push_back(setting("platform",
                        "address:port that takes orders to promote; empty: "
                        "gateways promote by SQL",
                        "", [](daemon_settings &S, const std::string &Text) {
                          if (!Text.empty())
                            S.Platform = parseAddress(Text);
                        }));
  All.push_back(setting(
      "holder", "name under which orders are given", "",
      [](daemon_settings &S, const std::string &Text) { S.Holder = Text; }));
  All.push_back(setting("tolerated-losses",
                        "control disks that may be lost at once; the group "
                        "then keeps itself complete. 0: operators do",
                        "0", [](daemon_settings &S, const std::string &Text) {
                          S.ToleratedLosses = parseCount(Text, MostLosses);
                        }));
  All.push_back(setting("bootstrap",
                        "on: the deployment starts for the first time", "off",
                        [](daemon_settings &S, const std::string &Text) {
                          S.Bootstrap = parseSwitch(Text);
                        }));
  All.push_back(setting("seeds",
                        "HTTP addresses of control VMs, by commas; replaces "
                        "--control, with --control-port",
                        "", [](daemon_settings &S, const std::string &Text) {
                          if (!Text.empty())
                            S.Seeds = parseAddresses(Text);
                        }));
  All.push_back(setting(
      "control-port", "internal port of the control VMs that --seeds names",
      "0", [](daemon_settings &S, const std::string &Text) {
        std::size_t Port = parseCount(Text, MostPort);
        for (const auto &Seed : S.Seeds)
          S.Membership.Control.push_back(
              {Seed.Address, static_cast<std::uint16_t>(Port)});
      }));
  All.push_back(setting("zone-regions",
                        "zone=region pairs by commas, for upstreams that tell "
                        "no region",
                        "", [](daemon_settings &S, const std::string &Text) {
                          S.Regions = parseRegions(Text);
                        }));
  All.push_back(setting(
      "grace-s", "seconds from SIGTERM to SIGKILL; 0: --drain-ms alone", "0",
      [](daemon_settings &S, const std::string &Text) {
        S.Grace = std::chrono::seconds(parseCount(Text, MostGraceSeconds));
      }));
}

void appendUpstreams(std::vector<daemon_setting> &All) {
  All.push_back(setting("upstream-user", "user towards upstreams", "teasellock",
                        [](daemon_settings &S, const std::string &Text) {
                          S.GatewaySettings.User = parseName(Text);
                        }));
  All.push_back(secret("upstream-password", "password towards upstreams", "",
                       [](daemon_settings &S, const std::string &Text) {
                         S.GatewaySettings.Password = Text;
                       }));
  All.push_back(setting(
      "upstream-sslmode", "disable, require or verify-ca", "disable",
      [](daemon_settings &S, const std::string &Text) {
        if (Text != "disable" && Text != "require" && Text != "verify-ca")
          throw badValue("must be disable, require or verify-ca");
        S.GatewaySettings.SslMode = Text;
      }));
  All.push_back(setting("upstream-root-certificate",
                        "file of the authority that signs upstreams", "",
                        [](daemon_settings &S, const std::string &Text) {
                          S.GatewaySettings.SslRootCertificate = Text;
                        }));
  All.push_back(span("probe-ms", "period of probes of each upstream", "200",
                     [](daemon_settings &S) -> duration & {
                       return S.GatewaySettings.ProbePeriod;
                     }));
  All.push_back(span("probe-timeout-ms", "longest wait for a probe", "500",
                     [](daemon_settings &S) -> duration & {
                       return S.GatewaySettings.ProbeTimeout;
                     }));
  All.push_back(span("connect-timeout-ms", "longest wait for a connection",
                     "1000", [](daemon_settings &S) -> duration & {
                       return S.GatewaySettings.ConnectTimeout;
                     }));
}

void appendTimes(std::vector<daemon_setting> &All) {
  All.push_back(span(
      "lease-ms", "length of a VM's lease", "2000",
      [](daemon_settings &S) -> duration & { return S.Control.LeaseTime; }));
  All.push_back(span(
      "lease-margin-ms", "added before a lease is taken for expired", "200",
      [](daemon_settings &S) -> duration & { return S.Control.LeaseMargin; }));
  All.push_back(span("renewal-ms", "period of lease renewals", "400",
                     [](daemon_settings &S) -> duration & {
                       return S.Membership.RenewalPeriod;
                     }));
  All.push_back(span(
      "vm-timeout-ms", "an unheard VM loses its assignments after this", "3000",
      [](daemon_settings &S) -> duration & { return S.Control.VmTimeout; }));
  All.push_back(span("election-ms", "least election timeout of control", "500",
                     [](daemon_settings &S) -> duration & {
                       return S.Consensus.ElectionTimeout;
                     }));
  All.push_back(span("statement-ms", "longest time of one statement", "30000",
                     [](daemon_settings &S) -> duration & {
                       return S.Caller.StatementTimeout;
                     }));
  All.push_back(
      span("drain-ms", "longest time of a graceful shutdown", "30000",
           [](daemon_settings &S) -> duration & { return S.DrainTimeout; }));
}

void appendRest(std::vector<daemon_setting> &All) {
  All.push_back(secret("token-secret",
                       "signs session tokens; the same on all entries", "",
                       [](daemon_settings &S, const std::string &Text) {
                         if (!Text.empty() && Text.size() < LeastSecretBytes)
                           throw badValue("must have at least 16 bytes");
                         S.Caller.TokenSecret = Text;
                       }));
  All.push_back(secret("operator-token",
                       "bearer token of operators; empty: none is asked", "",
                       [](daemon_settings &S, const std::string &Text) {
                         S.Admin.OperatorToken = Text;
                       }));
  All.push_back(secret("platform-token",
                       "bearer token of the platform; empty: none is asked", "",
                       [](daemon_settings &S, const std::string &Text) {
                         S.Admin.PlatformToken = Text;
                       }));
  All.push_back(setting("log-level", "debug, info, warning or error", "info",
                        [](daemon_settings &S, const std::string &Text) {
                          S.LogLevel = parseSeverity(Text);
                        }));
  All.push_back(setting(
      "trace-file", "spans go here as OTLP/JSON lines; empty: no traces", "",
      [](daemon_settings &S, const std::string &Text) { S.TraceFile = Text; }));
  All.push_back(setting("trace-share", "share of requests that are traced",
                        "0.01",
                        [](daemon_settings &S, const std::string &Text) {
                          S.TraceShare = parseShare(Text);
                        }));
}

std::vector<daemon_setting> makeSettings() {
  std::vector<daemon_setting> All;
  appendIdentity(All);
  appendPlatform(All);
  appendUpstreams(All);
  appendTimes(All);
  appendRest(All);
  return All;
}

/// What no single setting can tell.
void checkTogether(const daemon_settings &Settings,
                   std::vector<std::string> &Problems) {
  if (Settings.Membership.RenewalPeriod * 2 > Settings.Control.LeaseTime)
    Problems.push_back("--renewal-ms must be at most half of --lease-ms");
  if (Settings.Membership.Control.empty() && Settings.Seeds.empty())
    Problems.push_back("--control or --seeds must name a control VM");
  if (!Settings.Lines && Settings.Caller.TokenSecret.empty())
    Problems.push_back("--token-secret must have at least 16 bytes where "
                       "callers speak PostgreSQL's protocol");
  if (!Settings.Seeds.empty() && !Settings.Membership.Control.empty() &&
      Settings.Membership.Control.front().Port == 0)
    Problems.push_back("--control-port must be given with --seeds");
  if (Settings.GatewaySettings.SslMode == "verify-ca" &&
      Settings.GatewaySettings.SslRootCertificate.empty())
    Problems.push_back("--upstream-root-certificate must be given with "
                       "--upstream-sslmode verify-ca");
}

/// Settings that follow from others.
void deriveSettings(daemon_settings &Settings) {
  if (Settings.Grace > GraceMargin) {
    Settings.DrainTimeout = Settings.Grace - GraceMargin;
    Settings.LineCallers.DrainTransactions = Settings.Grace / 2;
  }
  Settings.Membership.Gateway = Settings.Gateway;
  Settings.Membership.InheritsShares = Settings.Lines;
  if (Settings.Callers)
    Settings.LineCallers.Listen = *Settings.Callers;
  if (Settings.ToleratedLosses > 0)
    Settings.Control.Voters = 2 * Settings.ToleratedLosses + 1;
  if (Settings.Platform)
    Settings.Control.Method = promotion_method::Pause;
  // All control VMs are started with the same seeds: exactly one founds.
  auto First = std::min_element(Settings.Seeds.begin(), Settings.Seeds.end());
  Settings.Control.Founder = Settings.Bootstrap &&
                             First != Settings.Seeds.end() &&
                             *First == Settings.Admin.Listen;
}

std::string textOf(const setting_texts &Texts, const daemon_setting &Setting) {
  auto Found = Texts.find(Setting.Flag);
  return Found == Texts.end() ? Setting.Default : Found->second;
}

} // namespace

const std::vector<daemon_setting> &daemonSettings() {
  static const std::vector<daemon_setting> All = makeSettings();
  return All;
}

daemon_settings readSettings(const setting_texts &Texts,
                             std::vector<std::string> &Problems) {
  daemon_settings Settings;
  for (const auto &Setting : daemonSettings()) {
    std::string Text = textOf(Texts, Setting);
    try {
      Setting.Apply(Settings, Text);
    } catch (const error &Problem) {
      Problems.push_back("--" + Setting.Flag + " (" + Setting.Environment +
                         ") \"" + (Setting.Secret ? "hidden" : Text) +
                         "\": " + Problem.reason());
    }
  }
  checkTogether(Settings, Problems);
  deriveSettings(Settings);
  return Settings;
}

std::string printSettings(const setting_texts &Texts) {
  std::string Result;
  for (const auto &Setting : daemonSettings()) {
    std::string Text = textOf(Texts, Setting);
    if (Setting.Secret && !Text.empty())
      Text = "hidden";
    Result += Setting.Flag + "=" + Text + "\n";
  }
  return Result;
}

} // namespace teasellock
