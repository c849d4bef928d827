/// A whole deployment on loopback: entries and control as processes behind
/// relays, upstreams, the platform and its operator in this process.
#pragma once

#include "tests/soak/plain_http.h"
#include "tests/soak/relay.h"
#include "tests/soak/soak_caller.h"
#include "tests/soak/upstream_group.h"
#include "tests/soak/vm_process.h"

#include <random>

namespace teasellock::soak {

/// How large the deployment is, and where its files are.
struct deployment_options {
  std::string Program;
  std::string Folder;
  std::uint64_t Seed = 1;
  std::size_t Entries = 4;
  std::size_t Controls = 3;
  std::size_t Groups = 2;
  std::size_t Callers = 24;
  /// Second number of the loopback network that is used.
  unsigned Network = 0;
};

/// A VM: its process and the relay before its internal address.
struct soak_vm {
  std::unique_ptr<vm_process> Process;
  std::unique_ptr<relay> Relay;
  std::string Address;
  std::string DataFolder;
};

/// Everything that runs in one seed.
class soak_deployment {
public:
  soak_deployment(daemon_context &Context, oracle &Oracle,
                  deployment_options Options);
  ~soak_deployment();

  std::vector<soak_vm> Entries;
  std::vector<soak_vm> Controls;
  std::vector<std::unique_ptr<upstream_group>> Groups;
  std::vector<std::unique_ptr<soak_caller>> Callers;

  /// Starts the callers.
  void startCallers();
  /// Changes the deployment's time limits: the next version.
  void changeDeployment();
  /// Orders to promote are answered late, or not at all, with this probability
  /// in 0 to 1; they are carried out all the same.
  void loseOrders(double Share) { LostOrders = Share; }
  /// Acknowledged by control at least once.
  bool deployed() const { return Acknowledged > 0; }
  std::uint64_t acknowledgedVersion() const { return Acknowledged; }
  /// Asks a control VM for the deployment.
  void readDeployment(std::size_t Control);
  /// Version that each control VM told last.
  const std::vector<std::uint64_t> &readVersions() const { return Read; }

private:
  void startVms();
  soak_vm makeVm(const std::string &Name, std::size_t Number, bool Control);
  void startPlatform();
  std::optional<int> takeOrder(const http_text &Order);
  void announce();
  void announce(const upstream_group &Group, std::size_t Upstream,
                const std::string &Service);
  void sendDeployment();
  std::string deploymentText(std::uint64_t Version) const;
  std::string address(std::size_t Number) const;
  void call(const endpoint &Server, const std::string &Method,
            const std::string &Path, const std::string &Body,
            std::function<void(std::optional<http_text>)> Done);

  daemon_context &Context;
  oracle &Oracle;
  deployment_options Options;
  std::mt19937_64 Random;
  std::string Seeds;
  std::unique_ptr<http_responder> Platform;
  std::map<std::string, std::uint64_t> NewestToken;
  double LostOrders = 0;
  std::vector<timer_subscription> LateOrders;
  std::uint64_t Version = 1;
  std::uint64_t Acknowledged = 0;
  std::uint64_t Sequence = 0;
  std::vector<std::uint64_t> Read;
  std::map<std::uint64_t, std::unique_ptr<http_request_call>> Calls;
  std::uint64_t LastCall = 0;
  timer_subscription Announcements;
  timer_subscription Operator;
};

} // namespace teasellock::soak
