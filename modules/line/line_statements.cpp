#include "modules/gateway/refusals.h"
#include "modules/line/line_group_state.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Cost of distance, as latency: within an availability zone, within a region,
/// between regions. Higher than the round trip because traffic is billed by
/// distance: a nearer upstream is preferred until its latency has grown by the
/// difference.
constexpr duration ZoneCost = std::chrono::microseconds(300);
constexpr duration RegionCost = std::chrono::milliseconds(8);
constexpr duration FarCost = std::chrono::milliseconds(60);
/// Added when a connection must be opened first.
constexpr duration ConnectCost = std::chrono::milliseconds(15);
/// Connections that may be opened to one upstream concurrently: each takes a
/// slot there for as long as a statement.
constexpr std::uint32_t MostOpening = 2;
/// The latest answer's weight in an upstream's average latency is one divided
/// by this.
constexpr int LatencyParts = 8;

duration costTo(const vm_identity &Self,
                const upstream_announcement &Upstream) {
  if (Upstream.AvailabilityZone == Self.AvailabilityZone)
    return ZoneCost;
  return Upstream.Region == Self.Region ? RegionCost : FarCost;
}

/// Returns the name of a prepared statement at upstreams. It depends only on
/// the shape, so all callers' sessions share it.
std::string preparedName(const wire::line_step &Step) {
  constexpr char Digits[] = "0123456789abcdef";
  std::uint64_t Hash = std::hash<std::string>()(Step.shape);
  std::string Name = Step.writes ? "tw" : "tr";
  for (int Shift = 60; Shift >= 0; Shift -= 4)
    Name += Digits[(Hash >> Shift) & 15];
  return Name;
}

line_need needOf(const wire::statement_request &Request) {
  bool Write = Request.access == wire::statement_access::write;
  if (Request.opens_transaction) {
    bool Elsewhere = Request.read_only && Request.max_staleness_ms >= 0;
    return Elsewhere ? line_need::Replica : line_need::Primary;
  }
  if (Write)
    return line_need::Primary;
  return Request.max_staleness_ms < 0 ? line_need::PrimaryRead
                                      : line_need::Replica;
}

} // namespace

//===----------------------------------------------------------------------===//
// Queue and choice of the upstream
//===----------------------------------------------------------------------===//

void line_group::submit(arrived_statement Arrived) {
  auto Work = std::make_unique<line_work>();
  Work->Id = ++LastId;
  Work->ArrivedAt = now();
  Work->Deadline =
      now() +
      fromMilliseconds(std::max<std::int64_t>(Arrived.Statement.timeout_ms, 1));
  Work->Need = needOf(Arrived.Statement);
  Work->Demand.ArrivedAt = now();
  Work->Demand.MaxStaleness = fromMilliseconds(
      std::max<std::int64_t>(Arrived.Statement.max_staleness_ms, 0));
  if (Arrived.Statement.floor_known)
    Work->Demand.Floor = fromWire(Arrived.Statement.floor);
  Work->Span = Context.Tracer.start("gateway.statement",
                                    parseTraceParent(Arrived.TraceParent));
  Work->Arrived = std::move(Arrived);
  auto &Added = *Work;
  Works[Added.Id] = std::move(Work);
  if (Added.inTransaction() && !Added.opens()) {
    auto Found = Transactions.find(Added.transactionKey());
    if (Found == Transactions.end() || !Found->second.Session)
      return refuse(Added, line_error::Aborted, TransactionEnded);
    return continueTransaction(Added, Found->second);
  }
  if (!Assigned)
    return refuse(Added, line_error::Busy,
                  "this VM is not a gateway of the group", true);
  Added.Place = {Added.request().priority, workRank(Estimates, Added.kind()),
                 Added.Id};
  Queue[Added.Place] = Added.Id;
  std::uint64_t Id = Added.Id;
  pump();
  if (auto *Waiting = findWork(Id);
      Waiting && Waiting->Phase == line_phase::Waiting)
    refuseIfTooLong(*Waiting);
  armDeadline();
}

queue_pace &line_group::paceOf(const line_work &Work) {
  return Work.Need == line_need::Replica ? ReadPace : PrimaryPace;
}

std::size_t line_group::aheadOf(const line_work &Work) const {
  bool Read = Work.Need == line_need::Replica;
  std::size_t Ahead = 0;
  for (const auto &[Rank, Id] : Queue) {
    if (Id == Work.Id)
      break;
    const auto &Other = *Works.at(Id);
    Ahead += (Other.Need == line_need::Replica) == Read;
  }
  return Ahead;
}

/// Describes the state of all upstreams, for the reason of a refusal.
std::string line_group::upstreamsText() const {
  std::string Text;
  for (const auto &[Id, Upstream] : Upstreams) {
    Text += Text.empty() ? "" : " ";
    Text += Id.Value + (Upstream.Leads ? " leads" : "") + " at " +
            toString(Upstream.Applied) + " last message " +
            std::to_string(toMilliseconds(now() - Upstream.HeardAt)) +
            " ms ago running " + std::to_string(Upstream.Running) + " idle " +
            std::to_string(Upstream.Idle.size()) + " in use " +
            std::to_string(Upstream.Occupied) +
            (Upstream.UnreachableSince ? " unreachable" : "") +
            (accepts(Upstream) ? "" : " accepts no statements") + ";";
  }
  return Text;
}

/// Refuses a queued statement that is expected to wait too long. Reports
/// whether it did.
bool line_group::refuseIfTooLong(line_work &Work) {
  auto Primary = leader();
  // During a failover the rate of the queue says nothing about the wait.
  if (!Primary)
    return false;
  wait_demand Demand;
  Demand.Target = fromMilliseconds(Work.request().target_ms);
  Demand.Remaining = Work.Deadline - now();
  Demand.Latency = Upstreams.at(*Primary).Latency;
  Demand.Waited = now() - Work.ArrivedAt;
  duration Wait = expectedWait(paceOf(Work), aheadOf(Work));
  if (mayWait(Demand, Wait))
    return false;
  refuse(Work, line_error::Overloaded,
         "the expected wait in the queue is " +
             std::to_string(toMilliseconds(Wait)) + " ms: " + Work.Reason +
             "; " + upstreamsText());
  return true;
}

void line_group::pump() {
  if (Pumping) {
    PumpAgain = true;
    return;
  }
  Pumping = true;
  do {
    PumpAgain = false;
    for (auto &[Id, Upstream] : Upstreams)
      Upstream.Awaited = 0;
    std::vector<std::uint64_t> Waiting;
    for (const auto &[Rank, Id] : Queue)
      Waiting.push_back(Id);
    for (auto Id : Waiting)
      if (auto *Work = findWork(Id); Work && now() >= Work->NotBefore)
        tryStart(*Work);
  } while (PumpAgain);
  Pumping = false;
}

bool line_group::tryStart(line_work &Work) {
  if (Work.Need == line_need::Replica)
    return tryRead(Work);
  auto Primary = leader();
  if (!Primary) {
    Work.Reason = "the group has no primary";
    return false;
  }
  return startOn(Work, *Primary, std::nullopt);
}

std::vector<read_option> line_group::readOptions() const {
  std::vector<read_option> Options;
  auto Primary = leader();
  for (const auto &[Id, Upstream] : Upstreams) {
    if (!accepts(Upstream) || Upstream.UnreachableSince)
      continue;
    read_option Option;
    Option.Upstream = Id;
    Option.Applied = Upstream.Applied;
    Option.Primary = Primary == Id;
    Option.DistanceCost = costTo(Context.Self, Upstream.Announcement);
    bool Opens = Upstream.Opening > 0 || mayConnect(Upstream);
    Option.Free =
        !Upstream.Idle.empty() || (Opens && Upstream.Awaited < MostOpening);
    if (Upstream.Idle.empty())
      Option.DistanceCost += ConnectCost;
    Option.Latency = Upstream.Latency;
    Option.Running = Upstream.Running;
    Option.Slots = Upstream.Announcement.Slots;
    Options.push_back(Option);
  }
  return Options;
}

bool line_group::tryRead(line_work &Work) {
  auto Needed = neededPosition(Work.Demand, Samples);
  if (!Needed) {
    Work.Reason = "the known position of the primary is too old";
    if (auto Primary = leader())
      probe(*Primary);
    return false;
  }
  auto Options = readOptions();
  if (const auto *Best = chooseUpstream(Options, *Needed, Work.Tried))
    return startOn(Work, Best->Upstream, Needed);
  Work.Reason = "no upstream with the data has a free connection";
  // When every upstream has failed, all may be tried again.
  if (Work.Tried.size() >= Options.size())
    Work.Tried.clear();
  return false;
}

bool line_group::startOn(line_work &Work, const upstream_id &Id,
                         std::optional<position> After) {
  auto &Upstream = Upstreams.at(Id);
  if (!accepts(Upstream)) {
    Work.Reason = "the upstream accepts no more statements";
    return false;
  }
  if (Upstream.Idle.empty()) {
    Work.Reason = "no connection is free";
    ++Upstream.Awaited;
    if (Upstream.Opening < MostOpening && mayConnect(Upstream))
      connect(Id);
    return false;
  }
  // A connection with the same session settings saves messages.
  auto Best = std::find_if(Upstream.Idle.begin(), Upstream.Idle.end(),
                           [&](const auto &Idle) {
                             return Idle->Settings == Work.request().settings;
                           });
  if (Best == Upstream.Idle.end())
    Best = std::prev(Upstream.Idle.end());
  Work.Session = std::move(*Best);
  Upstream.Idle.erase(Best);
  ++Upstream.Occupied;
  ++Upstream.Running;
  Work.Upstream = Id;
  Work.After = After;
  Queue.erase(Work.Place);
  QueueSeconds.observe(now() - Work.ArrivedAt);
  bool Read = Work.Need == line_need::Replica;
  bool Others = std::any_of(Queue.begin(), Queue.end(), [&](const auto &Entry) {
    return (Works.at(Entry.second)->Need == line_need::Replica) == Read;
  });
  noteStart(paceOf(Work), Others ? 1 : 0, now());
  prepare(Work);
  return true;
}

//===----------------------------------------------------------------------===//
// Execution
//===----------------------------------------------------------------------===//

void line_group::prepare(line_work &Work) {
  Work.Phase = line_phase::Preparing;
  auto &Session = *Work.Session;
  const auto &Wanted = Work.request().settings;
  std::string Bytes;
  std::size_t Count = 0;
  bool Surplus = std::any_of(
      Session.Settings.begin(), Session.Settings.end(),
      [&](const auto &Entry) { return !Wanted.contains(Entry.first); });
  if (Surplus) {
    protocol().AppendReset(Bytes);
    ++Count;
    Session.Settings.clear();
    Session.Prepared.clear();
  }
  for (const auto &[Name, Value] : Wanted) {
    auto Known = Session.Settings.find(Name);
    if (Known != Session.Settings.end() && Known->second == Value)
      continue;
    protocol().AppendSet(Bytes, Name, Value);
    ++Count;
    Session.Settings[Name] = Value;
  }
  if (Work.step().verb == wire::line_verb::execute) {
    auto [Name, IsNew] = Session.Prepared.insert(preparedName(Work.step()));
    if (IsNew) {
      protocol().AppendPrepare(Bytes, *Name, Work.step().writes,
                               Work.step().shape);
      ++Count;
    }
  }
  // The statement is not sent together with BEGIN: if BEGIN failed, it would be
  // executed outside of a transaction.
  if (Work.opens() || Work.Need == line_need::PrimaryRead) {
    bool ReadOnly = Work.opens() && Work.Need == line_need::Replica;
    protocol().AppendBegin(Bytes, ReadOnly,
                           ReadOnly ? Work.After : std::nullopt);
    ++Count;
  }
  Work.SentAt = now();
  if (Count == 0)
    return runMain(Work);
  Session.Connection->run(
      std::move(Bytes), Count,
      [Weak = weak_from_this(), Key = Work.key()](const line_run &Run) {
        if (auto Self = Weak.lock())
          Self->onPrepared(Key, Run);
      });
}

void line_group::onPrepared(line_attempt_key Key, const line_run &Run) {
  auto *Work = findWork(Key.Work);
  // The caller's own statement has not been sent yet, so there is no answer to
  // forward.
  if (takeStraggler(Key, Run) || !Work)
    return;
  if (Run.Broken)
    return lose(*Work, Run.Problem);
  for (const auto &Answer : Run.Answers)
    if (Answer.Failure)
      return handleFailure(*Work, *Answer.Failure);
  const auto &Last = Run.Answers.back();
  bool Plain = Work->Need != line_need::Replica;
  if (auto *Upstream = findUpstream(Work->Upstream)) {
    noteReachable(*Upstream);
    if (Last.Ready.Position)
      Upstream->Applied = *Last.Ready.Position;
  }
  if (Plain && Last.Ready.State == 'T' && Last.Ready.Position &&
      (Work->opens() || Work->Need == line_need::PrimaryRead))
    takeSample(Work->SentAt, *Last.Ready.Position);
  runMain(*Work);
}

void line_group::runMain(line_work &Work) {
  Work.Phase = line_phase::Running;
  Work.SentAt = now();
  const auto &Step = Work.step();
  // Within a transaction the position was required at its begin.
  std::optional<position> After;
  if (!Work.inTransaction() && Work.Need == line_need::Replica)
    After = Work.After;
  std::string Bytes;
  if (Step.verb == wire::line_verb::execute)
    protocol().AppendExecute(Bytes, Step.id, preparedName(Step), Step.arguments,
                             After);
  else
    protocol().AppendStatement(Bytes, Step.id, Step.text, After);
  std::size_t Count = 1;
  if (Work.Need == line_need::PrimaryRead && !Work.inTransaction()) {
    protocol().AppendRollback(Bytes);
    ++Count;
  }
  auto *Upstream = findUpstream(Work.Upstream);
  if (Upstream && Work.changesData() && !Upstream->WriteUnansweredSince)
    Upstream->WriteUnansweredSince = now();
  Work.Session->Connection->run(
      std::move(Bytes), Count,
      [Weak = weak_from_this(), Key = Work.key()](line_run Run) {
        if (auto Self = Weak.lock())
          Self->onMain(Key, std::move(Run));
      });
}

void line_group::onMain(line_attempt_key Key, line_run Run) {
  bool Straggled = takeStraggler(Key, Run);
  auto *Work = findWork(Key.Work);
  if (!Work)
    return;
  if (Straggled) {
    // An earlier attempt answered first; its answer is just as valid.
    bool Good = Work->readsOnly() && !Run.Answers.empty() &&
                !Run.Answers.front().Failure;
    if (!Good)
      return;
    if (Work->Phase != line_phase::Waiting)
      leaveBehind(*Work);
    return answer(*Work, Run.Answers.front());
  }
  // The answer is valid even if the connection was lost right after it.
  if (Run.Answers.empty())
    return lose(*Work, Run.Problem);
  const auto &Answer = Run.Answers.front();
  noteAnswer(*Work, Answer);
  if (Answer.Failure)
    return handleFailure(*Work, *Answer.Failure);
  succeed(*Work, Answer);
}

void line_group::continueTransaction(line_work &Work,
                                     line_transaction &Transaction) {
  Work.Need = line_need::Primary;
  Work.Upstream = Transaction.Upstream;
  Work.Session = std::move(Transaction.Session);
  if (auto *Upstream = findUpstream(Work.Upstream))
    ++Upstream->Running;
  prepare(Work);
  armDeadline();
}

void line_group::noteAnswer(line_work &Work, const line_answer &Answer) {
  auto *Upstream = findUpstream(Work.Upstream);
  if (!Upstream)
    return;
  noteReachable(*Upstream);
  if (Answer.Ready.Position && *Answer.Ready.Position > Upstream->Applied)
    Upstream->Applied = *Answer.Ready.Position;
  duration Took = now() - Work.SentAt;
  StatementSeconds.observe(Took);
  if (!Answer.Failure) {
    if (Queue.empty())
      noteWork(Estimates, Work.kind(), Took);
    noteLatency(Upstream->Level, Took);
    Upstream->Latency += (Took - Upstream->Latency) / LatencyParts;
    if (Work.changesData())
      Upstream->WriteUnansweredSince.reset();
  }
}

} // namespace teasellock
