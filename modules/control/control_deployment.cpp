#include "modules/control/control_service_state.h"
#include "modules/control/returning_upstreams.h"

#include "core/compression.h"
#include "core/event_log.h"
#include "modules/consensus/control_member.h"
#include "modules/control/internal_calls.h"
#include "modules/link/codec.h"

#include <algorithm>

namespace teasellock {

namespace {

constexpr int Done = 200;
constexpr int BadRequest = 400;
constexpr int Conflict = 409;
constexpr int ServiceUnavailable = 503;
/// The HTTP server accepts no larger body.
constexpr std::size_t MaxDocumentBytes = 16 * 1024 * 1024;
const duration ProgressReportInterval = fromMilliseconds(1000);

} // namespace

bool control_service::state::handleInternal(
    const std::string &Method, const std::vector<std::string> &Parts,
    const std::string &Body, const answer_callback &Answer) {
  if (Parts.size() != 2 || Parts[0] != "internal")
    return false;
  try {
    if (Parts[1] == "deployment" && Method == "PUT")
      putDeployment(Body, Answer);
    else if (Parts[1] == "deployment" && Method == "GET")
      readDeployment(Answer);
    else if (Parts[1] == "announcement" && Method == "POST")
      handleAnnouncement(Body, Answer);
    else
      return false;
  } catch (const error &Problem) {
    event("control.bad_internal_call", severity::Warning)
        .with("call", Parts[1])
        .with("problem", Problem.what());
    Answer(BadRequest, Problem.reason());
  }
  return true;
}

void control_service::state::putDeployment(const std::string &Body,
                                           const answer_callback &Answer) {
  auto Change = decode<wire::deployment_change>(Body, "deployment");
  deployment_version Version(
      static_cast<std::uint64_t>(Change.content.version));
  auto Known = Replicated.Deployment.Deployment.Version;
  // A deployment that was acknowledged is acknowledged again when resent.
  if (Version <= Known) {
    event("control.deployment_overtaken")
        .with("version", Version.Value)
        .with("known", Known.Value);
    Answer(Done, "");
    return;
  }
  // The first deployment must survive the loss of the tolerated number of
  // disks.
  if (Known == deployment_version() &&
      voterCount(Consensus.members()) < TargetVoters) {
    Answer(ServiceUnavailable, "control stores are still joining");
    return;
  }
  event("control.deployment")
      .with("version", Version.Value)
      .with("known", Known.Value)
      .with("routes", static_cast<std::uint64_t>(Change.content.routes.size()));
  wire::control_command Command;
  Command.__set_change(std::move(Change));
  propose(Command, [this, Version, Answer](proposal_outcome Outcome) {
    bool Committed = Outcome == proposal_outcome::Committed;
    event("control.deployment_decided")
        .with("version", Version.Value)
        .with("committed", Committed);
    Answer(Committed ? Done : ServiceUnavailable, "");
  });
}

void control_service::state::readDeployment(const answer_callback &Answer) {
  Consensus.confirmLeadership([this, Answer](bool Leads) {
    if (!Leads || !Leading)
      return answerNotLeader(Answer);
    if (Replicated.Deployment.Revision == revision())
      return Answer(ServiceUnavailable, "no deployment has been submitted yet");
    Answer(Done, decompress(Replicated.Deployment.Document, MaxDocumentBytes));
  });
}

void control_service::state::addDeployment(wire::renewal_reply &Reply,
                                           link_id Link,
                                           const wire::renewal &Renewal) {
  const auto &Newest = Replicated.Deployment.Deployment;
  deployment_version Applied(
      static_cast<std::uint64_t>(Renewal.deployment_version));
  if (!startTransfer(Transfers, {vm_id(Renewal.vm), Link, Applied},
                     Newest.Version, now()))
    return;
  DeploymentCopies.add();
  if (Renewal.accepts_patches) {
    Reply.__set_deployment_patches(compressPatches(Applied));
    DeploymentBytes.add(Reply.deployment_patches.size());
    return;
  }
  Reply.__set_newer_deployment(toWire(Newest));
  DeploymentBytes.add(encode(Reply.newer_deployment).size());
}

const std::string &
control_service::state::compressPatches(deployment_version Base) {
  auto &Compressed = CompressedPatches[Base];
  if (Compressed.empty()) {
    wire::deployment_patches Patches;
    Patches.patches = patchesSince(History, Base);
    Compressed = compress(encode(Patches));
  }
  return Compressed;
}

void control_service::state::recordDeploymentVersion() {
  const auto &Newest = Replicated.Deployment.Deployment;
  if (History.Newest.Version == Newest.Version)
    return;
  recordVersion(History, Newest);
  CompressedPatches.clear();
}

void control_service::state::reportDeploymentProgress() {
  if (now() - ProgressReportedAt < ProgressReportInterval)
    return;
  ProgressReportedAt = now();
  auto Version = Replicated.Deployment.Deployment.Version;
  auto Behind =
      std::count_if(Leader.Vms.begin(), Leader.Vms.end(), [&](const auto &Vm) {
        return Vm.second.Deployment < Version;
      });
  if (Behind == 0)
    return;
  event("control.deployment_progress")
      .with("version", Version.Value)
      .with("vms", static_cast<std::uint64_t>(Leader.Vms.size()))
      .with("behind", static_cast<std::uint64_t>(Behind))
      .with("copies", DeploymentCopies.Value)
      .with("copy_bytes", DeploymentBytes.Value)
      .with("link_bytes", LinkBytes.Value);
}

/// The announcement of an upstream that has left may contain only its name.
bool control_service::state::completeDeparture(
    wire::announcement &Announcement) const {
  for (const auto &[Name, Group] : Replicated.Groups) {
    auto Known = Group.Upstreams.find(upstream_id(Announcement.upstream));
    if (Known == Group.Upstreams.end())
      continue;
    Announcement.group = Name.Value;
    Announcement.address = toString(Known->second.Address);
    if (Announcement.incarnation == 0)
      Announcement.incarnation =
          static_cast<std::int64_t>(Known->second.Incarnation.Value);
    return true;
  }
  return false;
}

bool control_service::state::isKnownAnnouncement(
    upstream_announcement Announcement) {
  auto Group = Replicated.Groups.find(Announcement.Group);
  if (Group != Replicated.Groups.end() &&
      isOutdated(Group->second, Announcement))
    return true;
  Leader.LastAnnouncements[{Announcement.Group, Announcement.Upstream}] = {
      Announcement.Incarnation, now()};
  if (Group == Replicated.Groups.end())
    return false;
  auto Known = Group->second.Upstreams.find(Announcement.Upstream);
  if (Known == Group->second.Upstreams.end())
    return Announcement.Gone;
  // An incarnation that is leaving cannot revoke this.
  if (Known->second.Incarnation == Announcement.Incarnation &&
      Known->second.Leaving)
    Announcement.Leaving = true;
  return Known->second == Announcement;
}

bool control_service::state::rejectOutdated(
    const group_state &Group, const upstream_announcement &Announcement,
    const answer_callback &Answer) {
  // A departure that is outdated has already taken effect. An upstream that was
  // silent for long is in use again once it has announced itself twice.
  if (Announcement.Gone || !isOutdated(Group, Announcement) ||
      mayReturn(Group, Announcement))
    return false;
  OutdatedAnnouncements.add();
  auto Known = Group.Upstreams.find(Announcement.Upstream);
  event("control.announcement_outdated", severity::Warning)
      .with("group", Announcement.Group.Value)
      .with("upstream", Announcement.Upstream.Value)
      .with("incarnation", Announcement.Incarnation.Value)
      .with("known", Known == Group.Upstreams.end()
                         ? std::uint64_t(0)
                         : Known->second.Incarnation.Value)
      .with("leaving", Announcement.Leaving);
  Answer(Conflict, "a later incarnation is known, or this one has left");
  return true;
}

void control_service::state::handleAnnouncement(const std::string &Body,
                                                const answer_callback &Answer) {
  auto Wire = decode<wire::announcement>(Body, "announcement");
  // The departure of an unknown upstream changes nothing.
  if (Wire.gone && !completeDeparture(Wire)) {
    Answer(Done, "");
    return;
  }
  auto Announcement = fromWire(Wire);
  auto Group = Replicated.Groups.find(Announcement.Group);
  bool HasReturned = Group != Replicated.Groups.end() && !Announcement.Gone &&
                     mayReturn(Group->second, Announcement) &&
                     hasReturned(Leader, Announcement, now());
  if (Group != Replicated.Groups.end() && !HasReturned &&
      rejectOutdated(Group->second, Announcement, Answer))
    return;
  if (!HasReturned && isKnownAnnouncement(Announcement)) {
    Answer(Done, "");
    return;
  }
  event("control.announced")
      .with("group", Wire.group)
      .with("upstream", Wire.upstream)
      .with("address", Wire.address)
      .with("incarnation", Wire.incarnation)
      .with("primary", Wire.primary)
      .with("leaving", Wire.leaving)
      .with("gone", Wire.gone)
      .with("returned", HasReturned);
  propose(makeAnnouncementCommand(Announcement, HasReturned),
          [Answer](proposal_outcome Outcome) {
            bool Committed = Outcome == proposal_outcome::Committed;
            Answer(Committed ? Done : ServiceUnavailable, "");
          });
}

} // namespace teasellock
