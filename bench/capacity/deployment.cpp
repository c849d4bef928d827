#include "bench/capacity/deployment.h"

#include "modules/control/assignment.h"
#include "modules/control/leases.h"

namespace teasellock {

namespace {

constexpr std::size_t ZoneCount = 11;
constexpr std::size_t RegionCount = 3;
constexpr std::size_t UpstreamsPerGroup = 3;
constexpr std::size_t GroupsPerThousandVms = 1706;
constexpr std::uint32_t Slots = 30;
constexpr std::uint32_t Connections = 200;
constexpr std::uint64_t Offset = 123456789;

std::string zoneName(std::size_t Number) {
  return "zone-" + std::to_string(Number % ZoneCount);
}

std::string regionName(std::size_t Number) {
  return "region-" + std::to_string(Number % ZoneCount % RegionCount);
}

std::string groupName(std::size_t Number) {
  return "despacho-" + std::to_string(Number);
}

std::string vmName(std::size_t Number) {
  return "vm-" + std::to_string(Number);
}

std::string addressOf(std::size_t Number, int Port) {
  return "10." + std::to_string(Number / 65536) + "." +
         std::to_string(Number / 256 % 256) + "." +
         std::to_string(Number % 256) + ":" + std::to_string(Port);
}

void apply(simulated_deployment &Deployment,
           const wire::control_command &Command) {
  applyCommand(Deployment.State,
               revision(Deployment.State.AppliedRevision.Value + 1), Command);
}

void announce(simulated_deployment &Deployment, std::size_t Group,
              std::size_t Number) {
  upstream_announcement Announcement;
  Announcement.Group = group_id(groupName(Group));
  Announcement.Upstream = upstream_id("u" + std::to_string(Number));
  Announcement.Address =
      parseEndpoint(addressOf(Group * UpstreamsPerGroup + Number, 5432));
  Announcement.AvailabilityZone =
      availability_zone_id(zoneName(Group + Number));
  Announcement.Region = region_id(regionName(Group + Number));
  Announcement.Slots = Slots;
  Announcement.Connections = Connections;
  apply(Deployment, makeAnnouncementCommand(Announcement));
}

void assignGateways(simulated_deployment &Deployment, const group_id &Group) {
  auto Decision =
      decideAssignment(Deployment.State, Deployment.State.Groups.at(Group),
                       Deployment.Leader, Deployment.Settings, Deployment.Now);
  group_state Next =
      Decision.Next ? *Decision.Next : Deployment.State.Groups.at(Group);
  Next.Term = term(1);
  Next.Primary = upstream_id("u1");
  apply(Deployment, makeGroupCommand(Next));
}

wire::upstream_report reportOf(std::size_t Number) {
  wire::upstream_report Report;
  Report.upstream = "u" + std::to_string(Number);
  Report.reachable = true;
  Report.replica = Number != 1;
  Report.replayed.term = 1;
  Report.replayed.offset = Offset;
  Report.age_ms = 100;
  return Report;
}

wire::group_report reportOf(const group_state &Group,
                            const gateway_share &Share) {
  wire::group_report Report;
  Report.group = Group.Group.Value;
  Report.term = static_cast<std::int64_t>(Group.Term.Value);
  Report.acknowledged.term = 1;
  Report.acknowledged.offset = Offset;
  Report.budget_epoch = static_cast<std::int64_t>(Share.BudgetEpoch);
  for (std::size_t Number = 1; Number <= UpstreamsPerGroup; ++Number)
    Report.upstreams.push_back(reportOf(Number));
  return Report;
}

} // namespace

std::vector<table_row> makeTableRows(std::size_t Groups) {
  std::vector<table_row> Rows(Groups);
  for (std::size_t Group = 0; Group < Groups; ++Group) {
    Rows[Group].Group = group_id(groupName(Group));
    Rows[Group].MaxReadAges[read_kind("stock")] = fromMilliseconds(5000);
    Rows[Group].MaxReadAges[read_kind("invoice")] = fromMilliseconds(60000);
  }
  return Rows;
}

simulated_deployment makeDeployment(std::size_t Vms) {
  simulated_deployment Result;
  Result.Now = time_point(fromMilliseconds(1000000));
  Result.Vms = Vms;
  Result.Groups = Vms * GroupsPerThousandVms / 1000;
  for (std::size_t Vm = 0; Vm < Vms; ++Vm) {
    vm_record Record{vm_id(vmName(Vm)),
                     incarnation(Vm + 1),
                     parseEndpoint(addressOf(Vm, 9000)),
                     availability_zone_id(zoneName(Vm)),
                     region_id(regionName(Vm)),
                     false};
    apply(Result, makeVmCommand(Record));
    processRenewal(Result.State, Result.Leader, makeRenewal(Result, Vm),
                   Result.Settings, Result.Now);
  }
  apply(Result, makeEditCommand(edit_id("first"), Result.State.TableVersion,
                                makeTableRows(Result.Groups)));
  for (std::size_t Group = 0; Group < Result.Groups; ++Group) {
    for (std::size_t Number = 1; Number <= UpstreamsPerGroup; ++Number)
      announce(Result, Group, Number);
    assignGateways(Result, group_id(groupName(Group)));
  }
  return Result;
}

wire::renewal makeRenewal(const simulated_deployment &Deployment,
                          std::size_t Vm) {
  wire::renewal Renewal;
  Renewal.vm = vmName(Vm);
  Renewal.incarnation = static_cast<std::int64_t>(Vm + 1);
  Renewal.address = addressOf(Vm, 9000);
  Renewal.availability_zone = zoneName(Vm);
  Renewal.region = regionName(Vm);
  Renewal.applied_revision =
      static_cast<std::int64_t>(Deployment.State.AppliedRevision.Value);
  Renewal.sent_at_us = 1;
  for (const auto &[Name, Group] : Deployment.State.Groups)
    if (const auto *Share = findShare(Group, vm_id(Renewal.vm)))
      Renewal.groups.push_back(reportOf(Group, *Share));
  return Renewal;
}

} // namespace teasellock
