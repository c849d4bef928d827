/// A complete deployment on loopback addresses. Entry and control VMs are
/// separate processes behind relays; upstreams, the platform and its operator
/// are simulated in this process.
#pragma once

#include "tests/soak/http_endpoints.h"
#include "tests/soak/relay.h"
#include "tests/soak/soak_caller.h"
#include "tests/soak/upstream_group.h"
#include "tests/soak/vm_process.h"

#include <random>

namespace teasellock::soak {

/// Size of the deployment and paths of its files.
struct deployment_options {
  std::string Program;
  std::string Folder;
  std::uint64_t Seed = 1;
  std::size_t Entries = 4;
  std::size_t Controls = 3;
  std::size_t Groups = 2;
  std::size_t Callers = 24;
  /// Selects the second and third byte of the loopback addresses. Deployments
  /// that run at the same time need different numbers.
  unsigned Network = 0;
  /// Settings file of the entry VMs; empty: none.
  std::string EntrySettings;
  /// Whether the deployment has organisations with keys and limits.
  bool HasOrganisations = false;
};

/// A VM: its process and the relay in front of its internal address.
struct soak_vm {
  std::unique_ptr<vm_process> Process;
  std::unique_ptr<relay> Relay;
  std::string Address;
  std::string DataFolder;
};

/// All processes, upstreams and callers of one seed.
class soak_deployment {
public:
  soak_deployment(daemon_context &Context, oracle &Oracle,
                  deployment_options Options);
  ~soak_deployment();

  std::vector<soak_vm> Entries;
  std::vector<soak_vm> Controls;
  std::vector<std::unique_ptr<upstream_group>> Groups;
  std::vector<std::unique_ptr<soak_caller>> Callers;
  /// Null without organisations.
  std::unique_ptr<organisation_roster> Roster;
  std::unique_ptr<organisation_oracle> OrganisationOracle;

  /// Addresses at which an entry VM accepts callers and HTTP requests.
  endpoint callerEndpoint(std::size_t Entry) const;
  endpoint httpEndpoint(std::size_t Entry) const;

  /// Starts the callers.
  void startCallers();
  /// Slows the callers of organisations down, so that none reaches its limit.
  void moderateCallers();
  /// Creates the next version of the deployment, with another statement
  /// timeout.
  void changeDeployment();
  /// Returns the index of the entry that counts the operations of an
  /// organisation. Another one if no control VM has told yet.
  std::size_t limiterOf(std::size_t Organisation) const;
  /// Creates a version in which a random key has changed.
  void changeKey();
  /// Creates a version in which all keys that change have changed.
  void changeKeys();
  /// Creates the last version: all keys are known.
  void restoreKeys();
  /// Sets the probability, 0 to 1, that a promotion request gets no reply. The
  /// promotion is still performed, after a random delay.
  void setPromotionLossProbability(double Share) {
    PromotionLossProbability = Share;
  }
  time_point now() const { return Context.Timers.now(); }
  /// Runs a step of a fault after a delay.
  void runLater(duration Delay, std::function<void()> Step) {
    LaterSteps.push_back(Context.Timers.after(Delay, std::move(Step)));
  }
  /// Whether control has acknowledged a version of the deployment.
  bool isDeployed() const { return AcknowledgedVersion > 0; }
  std::uint64_t acknowledgedVersion() const { return AcknowledgedVersion; }
  /// Queries the deployment from a control VM.
  void queryDeployment(std::size_t Control);
  /// Version that each control VM last reported.
  const std::vector<std::uint64_t> &reportedVersions() const {
    return ReportedVersions;
  }

private:
  void startVms();
  soak_vm makeVm(const std::string &Name, std::size_t Number, bool Control);
  void startPlatform();
  std::optional<int> handlePromotionRequest(const http_message &Request);
  void announce();
  void announce(const upstream_group &Group, std::size_t Upstream,
                const std::string &Service);
  void sendDeployment();
  std::string deploymentText(std::uint64_t Version) const;
  void recordVersion();
  void queryLimiters();
  std::string address(std::size_t Number) const;
  void call(const endpoint &Server, const std::string &Method,
            const std::string &Path, const std::string &Body,
            std::function<void(std::optional<http_message>)> Done);

  daemon_context &Context;
  oracle &Oracle;
  deployment_options Options;
  std::mt19937_64 Random;
  std::string ControlSeeds;
  std::unique_ptr<http_responder> Platform;
  std::map<std::string, std::uint64_t> HighestTokens;
  double PromotionLossProbability = 0;
  std::vector<timer_subscription> DelayedPromotions;
  std::vector<timer_subscription> LaterSteps;
  std::uint64_t Version = 1;
  /// The newest version that was sent.
  std::uint64_t SentVersion = 0;
  std::uint64_t AcknowledgedVersion = 0;
  std::uint64_t Sequence = 0;
  std::vector<std::uint64_t> ReportedVersions;
  /// The entry that holds each limiter slot, as last reported.
  std::map<std::uint32_t, std::size_t> LimiterEntries;
  std::map<std::uint64_t, std::unique_ptr<http_call>> Calls;
  std::uint64_t LastCall = 0;
  timer_subscription AnnouncementTimer;
  timer_subscription OperatorTimer;
};

} // namespace teasellock::soak
