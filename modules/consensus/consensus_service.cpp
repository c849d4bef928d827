#include "modules/consensus/consensus_service.h"

#include "core/event_log.h"
#include "modules/consensus/consensus_status.h"
#include "modules/consensus/membership_change.h"
#include "modules/link/codec.h"

#include <deque>
#include <map>
#include <random>

namespace teasellock {

namespace {

const message_kind FirstKind(200);
const message_kind LastKind(299);
constexpr std::int16_t FirstKindNumber = 200;
/// Time is passed to the decisions so many times in a heartbeat.
constexpr int TicksPerHeartbeat = 4;

std::uint64_t randomNumber() {
  static thread_local std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32) | Device();
}

/// A random number that fits a positive 64-bit signed integer, never zero.
std::uint64_t randomId() { return (randomNumber() >> 1) | 1; }

template <std::size_t Alternative = 0>
consensus_message decodeKind(std::size_t Kind, const link_message &Message,
                             const std::string &Peer) {
  if constexpr (Alternative < std::variant_size_v<consensus_message>) {
    using message = std::variant_alternative_t<Alternative, consensus_message>;
    if (Kind == Alternative)
      return decode<message>(Message.Body, Peer);
    return decodeKind<Alternative + 1>(Kind, Message, Peer);
  }
  throw error("consensus.receive", Peer, "unknown kind of message");
}

bool isReply(const consensus_message &Message) {
  return std::holds_alternative<wire::vote_reply>(Message) ||
         std::holds_alternative<wire::append_reply>(Message) ||
         std::holds_alternative<wire::snapshot_reply>(Message);
}

store_id requesterOf(const consensus_message &Message) {
  auto Number = [](std::int64_t Value) {
    return store_id(static_cast<std::uint64_t>(Value));
  };
  if (const auto *Vote = std::get_if<wire::vote_request>(&Message))
    return Number(Vote->candidate);
  if (const auto *Append = std::get_if<wire::append_request>(&Message))
    return Number(Append->leader);
  if (const auto *Part = std::get_if<wire::snapshot_request>(&Message))
    return Number(Part->leader);
  return {};
}

struct pending_proposal {
  std::uint64_t Term = 0;
  std::function<void(proposal_outcome, revision)> Callback;
};

struct pending_confirmation {
  time_point AskedAt;
  std::function<void(bool)> Callback;
};

} // namespace

struct consensus_service::state {
  state(daemon_context &Context, link_hub &Hub, consensus_settings Given,
        state_machine_hooks Hooks);

  decision_input input() const {
    return {Context.Timers.now(), randomNumber()};
  }
  void onMessage(link_id Link, const link_message &Message);
  void onTimer();
  void scheduleFlush();
  void flush();
  void writeDisk(std::vector<disk_operation> Operations);
  void carryOut(const disk_operation &Operation);
  void sendAll(std::vector<outgoing_message> Messages);
  link_id linkOf(const outgoing_message &Outgoing);
  void applyCommitted();
  void applyEntry(const wire::log_entry &Entry);
  void noteLeadership();
  void resolveProposals();
  void resolveConfirmations();
  void maybeCompact();
  std::uint64_t keptEntries() const;
  void dialMembers();
  void showMetrics();
  void fail(const std::exception &Problem);

  daemon_context &Context;
  link_hub &Hub;
  consensus_settings Settings;
  state_machine_hooks Hooks;
  log_store Store;
  consensus_state Decisions;
  consensus_effects Effects;
  timer_subscription Ticks;
  std::map<store_id, link_id> ReplyLinks;
  std::map<std::uint64_t, pending_proposal> Proposals;
  std::deque<pending_confirmation> Confirmations;
  latency_histogram &SyncSeconds;
  gauge &TermGauge;
  gauge &CommitGauge;
  gauge &LeaderGauge;
  /// The entry of the membership whose members have been dialled.
  std::uint64_t DialledMembership = 0;
  std::size_t BytesSinceSnapshot = 0;
  /// Guards posted callbacks against outliving this object.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  bool FlushScheduled = false;
  bool WasLeader = false;
  bool LeadershipReported = false;
  /// The disk failed: what it holds is unknown, so nothing is promised.
  bool Failed = false;
};

consensus_service::state::state(daemon_context &Context, link_hub &Hub,
                                consensus_settings Given,
                                state_machine_hooks Hooks)
    : Context(Context), Hub(Hub), Settings(std::move(Given)),
      Hooks(std::move(Hooks)),
      Store(posixFileSystem(), Settings.DataFolder, store_id(randomId())),
      SyncSeconds(Context.Metrics.histogramOf("teasellock_log_sync_seconds")),
      TermGauge(Context.Metrics.gaugeOf("teasellock_log_term")),
      CommitGauge(Context.Metrics.gaugeOf("teasellock_log_committed")),
      LeaderGauge(Context.Metrics.gaugeOf("teasellock_log_leads")) {
  recovered_log Recovered = Store.takeRecovered();
  event("log.recovered")
      .with("store", Recovered.Store.Value)
      .with("term", Recovered.Promises.Term)
      .with("snapshot", Recovered.Snapshot ? Recovered.Snapshot->Index : 0)
      .with("entries", static_cast<std::uint64_t>(Recovered.Entries.size()))
      .with("cut_bytes", static_cast<std::uint64_t>(Recovered.CutBytes));
  Decisions = startConsensus(
      std::move(Recovered),
      {Settings.HeartbeatPeriod, Settings.ElectionTimeout}, input());
}

void consensus_service::state::onMessage(link_id Link,
                                         const link_message &Message) {
  if (Failed)
    return;
  const link_peer *Peer = Hub.peerOf(Link);
  std::string Name = Peer != nullptr ? Peer->Vm.Value : "unknown";
  auto Kind = static_cast<std::size_t>(Message.Kind.Value - FirstKindNumber);
  consensus_message Decoded = decodeKind(Kind, Message, Name);
  if (store_id Requester = requesterOf(Decoded); Requester != store_id())
    ReplyLinks[Requester] = Link;
  handleMessage(Decisions, Decoded, input(), Effects);
  scheduleFlush();
}

void consensus_service::state::onTimer() {
  if (Failed)
    return;
  passTime(Decisions, input(), Effects);
  flush();
}

void consensus_service::state::scheduleFlush() {
  if (FlushScheduled)
    return;
  FlushScheduled = true;
  Context.Loop.post([this, Guard = std::weak_ptr<bool>(Alive)] {
    if (Guard.expired())
      return;
    FlushScheduled = false;
    flush();
  });
}

void consensus_service::state::flush() {
  if (Failed)
    return;
  try {
    writeDisk(std::exchange(Effects.Disk, {}));
    logSynced(Decisions, input(), Effects);
    sendAll(std::exchange(Effects.Send, {}));
    applyCommitted();
    noteLeadership();
    resolveProposals();
    resolveConfirmations();
    maybeCompact();
    dialMembers();
    showMetrics();
  } catch (const std::exception &Problem) {
    fail(Problem);
  }
  if (!Failed && (!Effects.Disk.empty() || !Effects.Send.empty()))
    scheduleFlush();
}

void consensus_service::state::writeDisk(
    std::vector<disk_operation> Operations) {
  if (Operations.empty())
    return;
  time_point Start = Context.Timers.now();
  for (const disk_operation &Operation : Operations)
    carryOut(Operation);
  SyncSeconds.observe(monotonic_clock::now() - Start);
}

void consensus_service::state::carryOut(const disk_operation &Operation) {
  if (const auto *Promises = std::get_if<store_promises>(&Operation))
    Store.savePromises(*Promises);
  if (const auto *Append = std::get_if<append_entries>(&Operation))
    Store.append(Append->Entries, Append->Commit);
  if (const auto *Install = std::get_if<install_snapshot>(&Operation)) {
    Store.saveSnapshot(*Install->Snapshot, Install->DiscardLog);
    Hooks.Restore(revision(Install->Snapshot->Index), Install->Snapshot->Data);
    Decisions.AppliedIndex = Install->Snapshot->Index;
  }
}

link_id consensus_service::state::linkOf(const outgoing_message &Outgoing) {
  if (isReply(Outgoing.Message))
    return ReplyLinks[Outgoing.To];
  const control_member *Member =
      findMember(currentMembers(Decisions), Outgoing.To);
  return Member != nullptr ? Hub.linkTo(Member->Address) : link_id();
}

// Before the links are needed: the first request of an election must not be
// lost to a link that is only being opened. A removed member's link stays, as
// other tasks share it.
void consensus_service::state::dialMembers() {
  const membership_record &Record = Decisions.Memberships.back();
  if (Record.Index == DialledMembership)
    return;
  DialledMembership = Record.Index;
  for (const control_member &Member : Record.Members)
    if (Member.Store != Decisions.Self)
      Hub.linkTo(Member.Address);
}

void consensus_service::state::showMetrics() {
  TermGauge.set(static_cast<double>(Decisions.Promises.Term));
  CommitGauge.set(static_cast<double>(Decisions.CommitIndex));
  LeaderGauge.set(Decisions.Role == consensus_role::Leader ? 1 : 0);
}

void consensus_service::state::sendAll(std::vector<outgoing_message> Messages) {
  for (const outgoing_message &Outgoing : Messages) {
    link_message Message;
    Message.Kind = message_kind(
        static_cast<std::int16_t>(FirstKindNumber + Outgoing.Message.index()));
    Message.Body = std::visit([](const auto &Body) { return encode(Body); },
                              Outgoing.Message);
    Hub.send(linkOf(Outgoing), std::move(Message));
  }
}

void consensus_service::state::applyCommitted() {
  while (Decisions.AppliedIndex < Decisions.CommitIndex) {
    Decisions.AppliedIndex += 1;
    applyEntry(Decisions.Log.at(Decisions.AppliedIndex));
  }
}

void consensus_service::state::applyEntry(const wire::log_entry &Entry) {
  revision Revision(static_cast<std::uint64_t>(Entry.index));
  BytesSinceSnapshot += Entry.data.size();
  if (Entry.kind == wire::entry_kind::command)
    Hooks.Apply(Revision, Entry.data);
  auto Found = Proposals.find(Revision.Value);
  if (Found == Proposals.end())
    return;
  bool Same = Found->second.Term == static_cast<std::uint64_t>(Entry.term);
  auto Callback = std::move(Found->second.Callback);
  Proposals.erase(Found);
  // Another leader's entry at this index: ours is certainly not in the log.
  Callback(Same ? proposal_outcome::Committed : proposal_outcome::NotLeader,
           Revision);
}

void consensus_service::state::noteLeadership() {
  bool Leads = Decisions.Role == consensus_role::Leader;
  if (Leads != WasLeader) {
    event(Leads ? "leader.elected" : "leader.stepped_down")
        .with("store", Decisions.Self.Value)
        .with("term", Decisions.Promises.Term);
    WasLeader = Leads;
  }
  bool Ready = Leads && Decisions.AppliedIndex >= Decisions.BarrierIndex;
  if (Ready == LeadershipReported)
    return;
  LeadershipReported = Ready;
  Hooks.LeadershipChanged(Ready);
}

void consensus_service::state::resolveProposals() {
  if (Decisions.Role == consensus_role::Leader)
    return;
  for (auto &[Index, Proposal] : std::exchange(Proposals, {}))
    Proposal.Callback(proposal_outcome::Unknown, revision(Index));
}

void consensus_service::state::resolveConfirmations() {
  bool Leads = Decisions.Role == consensus_role::Leader;
  time_point Confirmed =
      teasellock::leaderConfirmedAt(Decisions, Context.Timers.now());
  while (!Confirmations.empty() &&
         (!Leads || Confirmations.front().AskedAt <= Confirmed)) {
    auto Callback = std::move(Confirmations.front().Callback);
    Confirmations.pop_front();
    Callback(Leads);
  }
}

void consensus_service::state::maybeCompact() {
  std::uint64_t Last = Decisions.Snapshot ? Decisions.Snapshot->Index : 0;
  if (Decisions.AppliedIndex - Last < Settings.SnapshotEvery &&
      BytesSinceSnapshot < Settings.SnapshotBytes)
    return;
  BytesSinceSnapshot = 0;
  auto Image = std::make_shared<log_snapshot>();
  Image->Index = Decisions.AppliedIndex;
  Image->Term = Decisions.Log.termAt(Image->Index);
  Image->Members = membersAt(Decisions, Image->Index);
  Image->Data = Hooks.Snapshot();
  Store.saveSnapshot(*Image, false);
  event("snapshot.taken")
      .with("index", Image->Index)
      .with("bytes", static_cast<std::uint64_t>(Image->Data.size()));
  compactLog(Decisions, std::move(Image), keptEntries());
}

/// How many entries stay for followers that are a little behind.
std::uint64_t consensus_service::state::keptEntries() const {
  std::uint64_t Kept = 0;
  std::size_t Bytes = 0;
  for (std::uint64_t Index = Decisions.AppliedIndex;
       Index > Decisions.Log.baseIndex() && Kept < Settings.SnapshotEvery / 4;
       --Index, ++Kept) {
    Bytes += Decisions.Log.at(Index).data.size();
    if (Bytes > Settings.SnapshotBytes / 4)
      break;
  }
  return Kept;
}

void consensus_service::state::fail(const std::exception &Problem) {
  Failed = true;
  event("log.failed", severity::Error).with("reason", Problem.what());
  Decisions.Role = consensus_role::Follower;
  noteLeadership();
  resolveProposals();
  resolveConfirmations();
  if (Hooks.Failed)
    Hooks.Failed();
}

consensus_service::consensus_service(daemon_context &Context, link_hub &Hub,
                                     consensus_settings Settings,
                                     state_machine_hooks Hooks)
    : State(std::make_unique<state>(Context, Hub, std::move(Settings),
                                    std::move(Hooks))) {}

consensus_service::~consensus_service() = default;

void consensus_service::start() {
  state &S = *State;
  if (S.Decisions.Snapshot)
    S.Hooks.Restore(revision(S.Decisions.Snapshot->Index),
                    S.Decisions.Snapshot->Data);
  S.Hub.receive(FirstKind, LastKind,
                [this](link_id Link, link_message &&Message) {
                  State->onMessage(Link, Message);
                });
  S.Ticks =
      S.Context.Timers.every(S.Settings.HeartbeatPeriod / TicksPerHeartbeat,
                             [this] { State->onTimer(); });
}

void consensus_service::initialise(const std::vector<control_member> &Members) {
  foundGroup(State->Decisions, Members, randomId(), State->input(),
             State->Effects);
  State->flush();
}

void consensus_service::propose(
    std::string Command,
    std::function<void(proposal_outcome, revision)> Callback) {
  if (!isLeader()) {
    Callback(proposal_outcome::NotLeader, revision());
    return;
  }
  std::uint64_t Index =
      appendCommand(State->Decisions, std::move(Command), State->Effects);
  State->Proposals[Index] = {State->Decisions.Promises.Term,
                             std::move(Callback)};
  State->scheduleFlush();
}

void consensus_service::changeMembers(
    const std::vector<control_member> &Members,
    std::function<void(proposal_outcome, revision)> Callback) {
  if (!isLeader()) {
    Callback(proposal_outcome::NotLeader, revision());
    return;
  }
  std::uint64_t Index =
      appendMembers(State->Decisions, Members, State->input(), State->Effects);
  State->Proposals[Index] = {State->Decisions.Promises.Term,
                             std::move(Callback)};
  State->scheduleFlush();
}

replacement_progress
consensus_service::replaceMember(store_id Old, const control_member &New) {
  if (!isLeader())
    throw error("consensus.replace", toString(State->Decisions.Self),
                "not the leader");
  replacement_step Step = nextReplacementStep(State->Decisions, Old, New);
  if (Step.Progress == replacement_step::progress::Propose)
    changeMembers(Step.Members, [](proposal_outcome, revision) {});
  return {Step.Progress == replacement_step::progress::Done, Step.Text};
}

std::string consensus_service::forceMembers() {
  std::string Risk = forceMembership(State->Decisions, randomId(),
                                     State->input(), State->Effects);
  event("members.forced", severity::Warning).with("risk", Risk);
  State->flush();
  return Risk;
}

time_point consensus_service::leaderConfirmedAt() const {
  return teasellock::leaderConfirmedAt(State->Decisions,
                                       State->Context.Timers.now());
}

void consensus_service::confirmLeadership(std::function<void(bool)> Callback) {
  if (!isLeader()) {
    Callback(false);
    return;
  }
  decision_input Input = State->input();
  State->Confirmations.push_back({Input.Now, std::move(Callback)});
  startRound(State->Decisions, Input, State->Effects);
  State->scheduleFlush();
}

bool consensus_service::isLeader() const {
  return !State->Failed && State->Decisions.Role == consensus_role::Leader;
}

std::optional<endpoint> consensus_service::leader() const {
  const control_member *Member =
      findMember(currentMembers(State->Decisions), State->Decisions.Leader);
  if (Member == nullptr)
    return std::nullopt;
  return Member->Address;
}

store_id consensus_service::store() const { return State->Decisions.Self; }

bool consensus_service::isInitialised() const {
  return teasellock::isInitialised(State->Decisions);
}

std::vector<control_member> consensus_service::members() const {
  return currentMembers(State->Decisions);
}

revision consensus_service::committed() const {
  return revision(State->Decisions.CommitIndex);
}

std::string consensus_service::statusJson() const {
  return statusText(State->Decisions, State->Failed,
                    State->Context.Timers.now());
}

} // namespace teasellock
