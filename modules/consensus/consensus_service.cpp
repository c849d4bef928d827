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
/// Number of ticks in one heartbeat period.
constexpr int TicksPerHeartbeat = 4;

std::uint64_t randomNumber() {
  static thread_local std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32) | Device();
}

/// Returns a random number that fits a positive 64-bit signed integer, never
/// zero.
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
  throw error("consensus.receive", Peer, "unknown message kind");
}

bool isReply(const consensus_message &Message) {
  return std::holds_alternative<wire::vote_reply>(Message) ||
         std::holds_alternative<wire::append_reply>(Message) ||
         std::holds_alternative<wire::snapshot_reply>(Message);
}

/// Returns the sender of a request, or zero for a reply.
store_id requesterOf(const consensus_message &Message) {
  auto Number = [](std::int64_t Value) {
    return store_id(static_cast<std::uint64_t>(Value));
  };
  if (const auto *Vote = std::get_if<wire::vote_request>(&Message))
    return Number(Vote->candidate);
  if (const auto *Append = std::get_if<wire::append_request>(&Message))
    return Number(Append->leader);
  if (const auto *Chunk = std::get_if<wire::snapshot_request>(&Message))
    return Number(Chunk->leader);
  return {};
}

struct pending_proposal {
  std::uint64_t Term = 0;
  std::function<void(proposal_outcome, revision)> Callback;
};

struct pending_confirmation {
  time_point RequestedAt;
  std::function<void(bool)> Callback;
};

} // namespace

struct consensus_service::state {
  state(daemon_context &Context, link_hub &Hub,
        consensus_settings InitialSettings, state_machine_hooks Hooks);

  consensus_input input() const {
    return {Context.Timers.now(), randomNumber()};
  }
  void onMessage(link_id Link, const link_message &Message);
  void onTimer();
  void scheduleFlush();
  void flush();
  void writeDisk(std::vector<disk_operation> Operations);
  void executeOperation(const disk_operation &Operation);
  void sendAll(std::vector<outgoing_message> Messages);
  link_id findLink(const outgoing_message &Outgoing);
  void applyCommitted();
  void applyEntry(const wire::log_entry &Entry);
  void reportLeadership();
  void resolveProposals();
  void resolveConfirmations();
  void compactIfNeeded();
  std::uint64_t retainedEntryCount() const;
  void dialMembers();
  void updateMetrics();
  void fail(const std::exception &Problem);

  daemon_context &Context;
  link_hub &Hub;
  consensus_settings Settings;
  state_machine_hooks Hooks;
  log_store Store;
  consensus_state Consensus;
  consensus_effects Effects;
  timer_subscription TickTimer;
  std::map<store_id, link_id> ReplyLinks;
  std::map<std::uint64_t, pending_proposal> Proposals;
  std::deque<pending_confirmation> Confirmations;
  latency_histogram &SyncSeconds;
  gauge &TermGauge;
  gauge &CommitGauge;
  gauge &LeaderGauge;
  /// Index of the membership entry whose members have been dialled.
  std::uint64_t DialledMembership = 0;
  std::size_t BytesSinceSnapshot = 0;
  /// Lets posted callbacks detect that this object has been destroyed.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  bool FlushScheduled = false;
  bool WasLeader = false;
  bool LeadershipReported = false;
  /// A disk operation or callback failed. The content of the disk is unknown,
  /// so this member no longer votes or acknowledges anything.
  bool Failed = false;
};

consensus_service::state::state(daemon_context &Context, link_hub &Hub,
                                consensus_settings InitialSettings,
                                state_machine_hooks Hooks)
    : Context(Context), Hub(Hub), Settings(std::move(InitialSettings)),
      Hooks(std::move(Hooks)),
      Store(posixFileSystem(), Settings.DataFolder, store_id(randomId())),
      SyncSeconds(Context.Metrics.histogramOf("teasellock_log_sync_seconds")),
      TermGauge(Context.Metrics.gaugeOf("teasellock_log_term")),
      CommitGauge(Context.Metrics.gaugeOf("teasellock_log_committed")),
      LeaderGauge(Context.Metrics.gaugeOf("teasellock_log_leads")) {
  recovered_log Recovered = Store.extractRecovered();
  event("log.recovered")
      .with("store", Recovered.Store.Value)
      .with("term", Recovered.HardState.Term)
      .with("snapshot", Recovered.Snapshot ? Recovered.Snapshot->Index : 0)
      .with("entries", static_cast<std::uint64_t>(Recovered.Entries.size()))
      .with("cut_bytes", static_cast<std::uint64_t>(Recovered.TruncatedBytes));
  Consensus = startConsensus(
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
  handleMessage(Consensus, Decoded, input(), Effects);
  scheduleFlush();
}

void consensus_service::state::onTimer() {
  if (Failed)
    return;
  handleTick(Consensus, input(), Effects);
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
    handleLogSynced(Consensus, input(), Effects);
    sendAll(std::exchange(Effects.Send, {}));
    applyCommitted();
    reportLeadership();
    resolveProposals();
    resolveConfirmations();
    compactIfNeeded();
    dialMembers();
    updateMetrics();
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
    executeOperation(Operation);
  SyncSeconds.observe(monotonic_clock::now() - Start);
}

void consensus_service::state::executeOperation(
    const disk_operation &Operation) {
  if (const auto *HardState = std::get_if<hard_state>(&Operation))
    Store.saveHardState(*HardState);
  if (const auto *Append = std::get_if<append_entries>(&Operation))
    Store.append(Append->Entries, Append->Commit);
  if (const auto *Install = std::get_if<install_snapshot>(&Operation)) {
    Store.saveSnapshot(*Install->Snapshot, Install->DiscardLog);
    Hooks.Restore(revision(Install->Snapshot->Index), Install->Snapshot->Data);
    Consensus.AppliedIndex = Install->Snapshot->Index;
  }
}

link_id consensus_service::state::findLink(const outgoing_message &Outgoing) {
  if (isReply(Outgoing.Message))
    return ReplyLinks[Outgoing.To];
  const control_member *Member =
      findMember(currentMembers(Consensus), Outgoing.To);
  return Member != nullptr ? Hub.linkTo(Member->Address) : link_id();
}

// Dials members before their links are needed, as the first request of an
// election would be lost on a link that is not open yet. The link of a removed
// member stays, as other modules share it.
void consensus_service::state::dialMembers() {
  const membership_record &Record = Consensus.Memberships.back();
  if (Record.Index == DialledMembership)
    return;
  DialledMembership = Record.Index;
  for (const control_member &Member : Record.Members)
    if (Member.Store != Consensus.Self)
      Hub.linkTo(Member.Address);
}

void consensus_service::state::updateMetrics() {
  TermGauge.set(static_cast<double>(Consensus.HardState.Term));
  CommitGauge.set(static_cast<double>(Consensus.CommitIndex));
  LeaderGauge.set(Consensus.Role == consensus_role::Leader ? 1 : 0);
}

void consensus_service::state::sendAll(std::vector<outgoing_message> Messages) {
  for (const outgoing_message &Outgoing : Messages) {
    link_message Message;
    Message.Kind = message_kind(
        static_cast<std::int16_t>(FirstKindNumber + Outgoing.Message.index()));
    Message.Body = std::visit([](const auto &Body) { return encode(Body); },
                              Outgoing.Message);
    Hub.send(findLink(Outgoing), std::move(Message));
  }
}

void consensus_service::state::applyCommitted() {
  while (Consensus.AppliedIndex < Consensus.CommitIndex) {
    Consensus.AppliedIndex += 1;
    applyEntry(Consensus.Log.at(Consensus.AppliedIndex));
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
  // If another leader's entry has been committed at this index, the proposal
  // is certainly not in the log.
  Callback(Same ? proposal_outcome::Committed : proposal_outcome::Rejected,
           Revision);
}

void consensus_service::state::reportLeadership() {
  bool IsLeading = Consensus.Role == consensus_role::Leader;
  if (IsLeading != WasLeader) {
    event(IsLeading ? "leader.elected" : "leader.stepped_down")
        .with("store", Consensus.Self.Value)
        .with("term", Consensus.HardState.Term);
    WasLeader = IsLeading;
  }
  bool Ready = IsLeading && Consensus.AppliedIndex >= Consensus.BarrierIndex;
  if (Ready == LeadershipReported)
    return;
  LeadershipReported = Ready;
  Hooks.LeadershipChanged(Ready);
}

void consensus_service::state::resolveProposals() {
  if (Consensus.Role == consensus_role::Leader)
    return;
  for (auto &[Index, Proposal] : std::exchange(Proposals, {}))
    Proposal.Callback(proposal_outcome::Unknown, revision(Index));
}

void consensus_service::state::resolveConfirmations() {
  bool IsLeading = Consensus.Role == consensus_role::Leader;
  time_point Confirmed =
      teasellock::leaderConfirmedAt(Consensus, Context.Timers.now());
  while (!Confirmations.empty() &&
         (!IsLeading || Confirmations.front().RequestedAt <= Confirmed)) {
    auto Callback = std::move(Confirmations.front().Callback);
    Confirmations.pop_front();
    Callback(IsLeading);
  }
}

void consensus_service::state::compactIfNeeded() {
  std::uint64_t Last = Consensus.Snapshot ? Consensus.Snapshot->Index : 0;
  if (Consensus.AppliedIndex - Last < Settings.MaxEntriesBeforeSnapshot &&
      BytesSinceSnapshot < Settings.MaxBytesBeforeSnapshot)
    return;
  BytesSinceSnapshot = 0;
  auto Snapshot = std::make_shared<log_snapshot>();
  Snapshot->Index = Consensus.AppliedIndex;
  Snapshot->Term = Consensus.Log.termAt(Snapshot->Index);
  Snapshot->Members = membersAt(Consensus, Snapshot->Index);
  Snapshot->Data = Hooks.Snapshot();
  Store.saveSnapshot(*Snapshot, false);
  event("snapshot.taken")
      .with("index", Snapshot->Index)
      .with("bytes", static_cast<std::uint64_t>(Snapshot->Data.size()));
  compactLog(Consensus, std::move(Snapshot), retainedEntryCount());
}

/// Returns how many applied entries to keep after a snapshot, so that followers
/// that lag a little don't need the snapshot.
std::uint64_t consensus_service::state::retainedEntryCount() const {
  std::uint64_t Retained = 0;
  std::size_t Bytes = 0;
  for (std::uint64_t Index = Consensus.AppliedIndex;
       Index > Consensus.Log.baseIndex() &&
       Retained < Settings.MaxEntriesBeforeSnapshot / 4;
       --Index, ++Retained) {
    Bytes += Consensus.Log.at(Index).data.size();
    if (Bytes > Settings.MaxBytesBeforeSnapshot / 4)
      break;
  }
  return Retained;
}

void consensus_service::state::fail(const std::exception &Problem) {
  Failed = true;
  event("log.failed", severity::Error).with("reason", Problem.what());
  Consensus.Role = consensus_role::Follower;
  reportLeadership();
  resolveProposals();
  resolveConfirmations();
  if (Hooks.LogFailed)
    Hooks.LogFailed();
}

consensus_service::consensus_service(daemon_context &Context, link_hub &Hub,
                                     consensus_settings Settings,
                                     state_machine_hooks Hooks)
    : State(std::make_unique<state>(Context, Hub, std::move(Settings),
                                    std::move(Hooks))) {}

consensus_service::~consensus_service() = default;

void consensus_service::start() {
  state &S = *State;
  if (S.Consensus.Snapshot)
    S.Hooks.Restore(revision(S.Consensus.Snapshot->Index),
                    S.Consensus.Snapshot->Data);
  S.Hub.registerReceiver(FirstKind, LastKind,
                         [this](link_id Link, link_message &&Message) {
                           State->onMessage(Link, Message);
                         });
  S.TickTimer =
      S.Context.Timers.every(S.Settings.HeartbeatPeriod / TicksPerHeartbeat,
                             [this] { State->onTimer(); });
}

void consensus_service::initialise(const std::vector<control_member> &Members) {
  initialiseGroup(State->Consensus, Members, randomId(), State->input(),
                  State->Effects);
  State->flush();
}

void consensus_service::propose(
    std::string Command,
    std::function<void(proposal_outcome, revision)> Callback) {
  if (!isLeader()) {
    Callback(proposal_outcome::Rejected, revision());
    return;
  }
  std::uint64_t Index =
      appendCommand(State->Consensus, std::move(Command), State->Effects);
  State->Proposals[Index] = {State->Consensus.HardState.Term,
                             std::move(Callback)};
  State->scheduleFlush();
}

void consensus_service::changeMembers(
    const std::vector<control_member> &Members,
    std::function<void(proposal_outcome, revision)> Callback) {
  if (!isLeader()) {
    Callback(proposal_outcome::Rejected, revision());
    return;
  }
  std::uint64_t Index = appendMembership(State->Consensus, Members,
                                         State->input(), State->Effects);
  State->Proposals[Index] = {State->Consensus.HardState.Term,
                             std::move(Callback)};
  State->scheduleFlush();
}

replacement_progress
consensus_service::replaceMember(store_id Old, const control_member &New) {
  if (!isLeader())
    throw error("consensus.replace", toString(State->Consensus.Self),
                "not the leader");
  replacement_step Step = nextReplacementStep(State->Consensus, Old, New);
  if (Step.Progress == replacement_step::progress::Propose)
    changeMembers(Step.Members, [](proposal_outcome, revision) {});
  return {Step.Progress == replacement_step::progress::Done, Step.Text};
}

std::string consensus_service::forceSingleMember() {
  std::string Risk = forceMembership(State->Consensus, randomId(),
                                     State->input(), State->Effects);
  event("members.forced", severity::Warning).with("risk", Risk);
  State->flush();
  return Risk;
}

time_point consensus_service::leaderConfirmedAt() const {
  return teasellock::leaderConfirmedAt(State->Consensus,
                                       State->Context.Timers.now());
}

void consensus_service::confirmLeadership(std::function<void(bool)> Callback) {
  if (!isLeader()) {
    Callback(false);
    return;
  }
  consensus_input Input = State->input();
  State->Confirmations.push_back({Input.Now, std::move(Callback)});
  startHeartbeatRound(State->Consensus, Input, State->Effects);
  State->scheduleFlush();
}

bool consensus_service::isLeader() const {
  return !State->Failed && State->Consensus.Role == consensus_role::Leader;
}

std::optional<endpoint> consensus_service::leaderAddress() const {
  const control_member *Member =
      findMember(currentMembers(State->Consensus), State->Consensus.Leader);
  if (Member == nullptr)
    return std::nullopt;
  return Member->Address;
}

store_id consensus_service::storeId() const { return State->Consensus.Self; }

bool consensus_service::isInitialised() const {
  return teasellock::isInitialised(State->Consensus);
}

std::vector<control_member> consensus_service::members() const {
  return currentMembers(State->Consensus);
}

revision consensus_service::commitIndex() const {
  return revision(State->Consensus.CommitIndex);
}

std::string consensus_service::statusJson() const {
  return consensusStatusJson(State->Consensus, State->Failed,
                             State->Context.Timers.now());
}

} // namespace teasellock
