/// Measures how the cost of control's operations grows with the size of a
/// deployment. Uses the daemon's own functions and codecs. Prints key=value
/// lines.
#include "bench/capacity/deployment.h"
#include "modules/control/assignment.h"
#include "modules/control/leases.h"
#include "modules/control/promotion.h"
#include "modules/control/renewal_reply.h"
#include "modules/link/codec.h"
#include "modules/membership/member_state.h"

#include <fstream>
#include <iostream>
#include <unistd.h>

using namespace teasellock;

namespace {

constexpr std::size_t MinIterations = 20;
constexpr double MinSeconds = 0.2;

/// Returns the mean CPU time of one call, in microseconds.
template <typename Function> double measureMicroseconds(Function Call) {
  std::size_t Iterations = 0;
  double Elapsed = 0;
  std::clock_t Begin = std::clock();
  while (Iterations < MinIterations || Elapsed < MinSeconds) {
    Call();
    ++Iterations;
    Elapsed = static_cast<double>(std::clock() - Begin) / CLOCKS_PER_SEC;
  }
  return Elapsed * 1e6 / static_cast<double>(Iterations);
}

std::size_t residentBytes() {
  std::ifstream Stat("/proc/self/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  Stat >> Total >> Resident;
  return Resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

void print(std::size_t Vms, const std::string &Name, double Value) {
  std::cout << "vms=" << Vms << " " << Name << "=" << Value << "\n";
}

void measureRenewal(simulated_deployment &Deployment) {
  std::size_t Vms = Deployment.Vms;
  std::vector<std::string> Encoded;
  double Bytes = 0;
  for (std::size_t Vm = 0; Vm < Vms; ++Vm) {
    Encoded.push_back(encode(makeRenewal(Deployment, Vm)));
    Bytes += static_cast<double>(Encoded.back().size());
  }
  print(Vms, "renewal_bytes", Bytes / static_cast<double>(Vms));
  std::size_t Next = 0;
  std::size_t ReplyBytes = 0;
  print(Vms, "renewal_us", measureMicroseconds([&] {
          auto Renewal =
              decode<wire::renewal>(Encoded[Next++ % Vms], "capacity");
          processRenewal(Deployment.State, Deployment.Leader, Renewal,
                         Deployment.Settings, Deployment.Now);
          auto Reply = changesSince(
              Deployment.State,
              revision(static_cast<std::uint64_t>(Renewal.applied_revision)));
          ReplyBytes = encode(Reply).size();
        }));
  print(Vms, "renewal_reply_bytes", static_cast<double>(ReplyBytes));
}

void measureDecisions(simulated_deployment &Deployment) {
  std::size_t Vms = Deployment.Vms;
  auto Pass = [&] {
    for (const auto &[Name, Group] : Deployment.State.Groups) {
      decidePromotion(Group, Deployment.Leader, Deployment.Settings,
                      Deployment.Now);
      decideDirtyClearing(Group, Deployment.Leader, Deployment.Settings);
      decideAssignment(Deployment.State, Group, Deployment.Leader,
                       Deployment.Settings, Deployment.Now);
    }
  };
  print(Vms, "groups", static_cast<double>(Deployment.Groups));
  print(Vms, "decide_one_group_us",
        measureMicroseconds(Pass) / static_cast<double>(Deployment.Groups));
}

void measureChange(simulated_deployment &Deployment) {
  std::size_t Vms = Deployment.Vms;
  auto Rows = makeTableRows(Deployment.Groups);
  bool Flip = false;
  std::size_t CommandBytes = 0;
  revision Before = Deployment.State.AppliedRevision;
  print(Vms, "table_edit_us", measureMicroseconds([&] {
          Flip = !Flip;
          Rows[0].QueueTimeout = fromMilliseconds(Flip ? 1000 : 2000);
          Before = Deployment.State.AppliedRevision;
          auto Command = makeEditCommand(edit_id(std::to_string(Before.Value)),
                                         Deployment.State.TableVersion, Rows);
          CommandBytes = encode(Command).size();
          applyCommand(Deployment.State, revision(Before.Value + 1), Command);
        }));
  print(Vms, "table_edit_bytes", static_cast<double>(CommandBytes));
  auto Reply = changesSince(Deployment.State, Before);
  print(Vms, "change_reply_bytes", static_cast<double>(encode(Reply).size()));
  print(Vms, "snapshot_bytes",
        static_cast<double>(encodeSnapshot(Deployment.State).size()));
  print(Vms, "snapshot_us",
        measureMicroseconds([&] { encodeSnapshot(Deployment.State); }));
}

/// Measures the transfer of all views, page by page, to a VM that joins.
void measureJoin(const simulated_deployment &Deployment) {
  std::size_t Vms = Deployment.Vms;
  double Bytes = 0;
  auto Begin = std::clock();
  std::size_t Before = residentBytes();
  member_state Member;
  for (bool More = true; More;) {
    auto Reply = changesSince(Deployment.State, Member.Applied);
    Reply.granted = true;
    std::string Text = encode(Reply);
    Bytes += static_cast<double>(Text.size());
    More = Reply.more;
    applyRenewalReply(Member, decode<wire::renewal_reply>(Text, "capacity"),
                      Deployment.Now);
  }
  double Elapsed = static_cast<double>(std::clock() - Begin) / CLOCKS_PER_SEC;
  print(Vms, "join_bytes", Bytes);
  print(Vms, "join_ms", Elapsed * 1e3);
  print(Vms, "views_resident_bytes",
        static_cast<double>(residentBytes() - Before));
  print(Vms, "views", static_cast<double>(Member.Views.size()));
}

} // namespace

int main(int Count, char **Arguments) {
  // Memory figures are accurate only for the first size of a process.
  std::vector<std::size_t> Sizes = {100, 300, 1000};
  if (Count > 1)
    Sizes = {std::stoul(Arguments[1])};
  for (std::size_t Vms : Sizes) {
    std::size_t Before = residentBytes();
    simulated_deployment Deployment = makeDeployment(Vms);
    print(Vms, "leader_resident_bytes",
          static_cast<double>(residentBytes() - Before));
    measureJoin(Deployment);
    measureRenewal(Deployment);
    measureDecisions(Deployment);
    measureChange(Deployment);
  }
  return 0;
}
