#include "main/daemon_settings.h"

#include "core/error.h"

#include <algorithm>

namespace teasellock {

namespace {

/// A graceful shutdown is limited to the grace period less this margin, so that
/// it ends before SIGKILL.
constexpr duration ShutdownMargin = fromMilliseconds(500);

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
