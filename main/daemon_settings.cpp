#include "main/daemon_settings.h"

#include "core/error.h"

#include <charconv>

namespace teasellock {

namespace {

constexpr std::int64_t LongestMilliseconds = 3600 * 1000;
constexpr std::size_t LeastSecretBytes = 16;

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

std::vector<endpoint> parseAddresses(const std::string &Text) {
  std::vector<endpoint> Result;
  std::size_t Start = 0;
  while (Start <= Text.size()) {
    std::size_t End = std::min(Text.find(',', Start), Text.size());
    Result.push_back(parseAddress(Text.substr(Start, End - Start)));
    Start = End + 1;
  }
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
                          S.Membership.Control = parseAddresses(Text);
                        }));
  All.push_back(setting("data-folder",
                        "folder of the control role; empty: no such role", "",
                        [](daemon_settings &S, const std::string &Text) {
                          S.Consensus.DataFolder = Text;
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
                         if (Text.size() < LeastSecretBytes)
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
  if (Settings.GatewaySettings.SslMode == "verify-ca" &&
      Settings.GatewaySettings.SslRootCertificate.empty())
    Problems.push_back("--upstream-root-certificate must be given with "
                       "--upstream-sslmode verify-ca");
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
