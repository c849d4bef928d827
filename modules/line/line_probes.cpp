#include "core/event_log.h"
#include "modules/line/line_group_state.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Interval of status requests, which return the term and whether a replica is
/// still paused. Each takes a slot of the upstream.
constexpr duration StatusPeriod = std::chrono::milliseconds(2000);
/// Interval of probes to every upstream while no primary is known.
constexpr duration SearchPeriod = std::chrono::milliseconds(100);
/// Samples are discarded after this; no route tolerates older data.
constexpr duration SampleMemory = std::chrono::seconds(10);
/// Minimum spacing of samples. More samples would not allow replicas to lag
/// noticeably further.
constexpr duration SampleSpacing = std::chrono::milliseconds(100);
constexpr duration ProbeConnectDelay = std::chrono::milliseconds(100);
/// How long a fence waits for replicas to confirm their pause before it reports
/// those that did.
constexpr duration PauseTimeout = std::chrono::milliseconds(250);
/// A primary that has answered no write for this long counts as unable to
/// commit: about twice as long as callers wait for a statement.
constexpr duration WriteStall = std::chrono::milliseconds(1500);

} // namespace

//===----------------------------------------------------------------------===//
// Primary and reachability
//===----------------------------------------------------------------------===//

std::optional<upstream_id> line_group::leader() const {
  const line_upstream *Best = nullptr;
  std::optional<upstream_id> Result;
  for (const auto &[Id, Upstream] : Upstreams)
    if (Upstream.Leads && (!Best || Upstream.Term > Best->Term)) {
      Best = &Upstream;
      Result = Id;
    }
  return Result;
}

void line_group::noteLeads(const upstream_id &Id, bool Leads, term Term) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream)
    return;
  if (Leads && Term != teasellock::term())
    Upstream->Term = Term;
  if (Upstream->Leads == Leads)
    return;
  Upstream->Leads = Leads;
  event("gateway.leads")
      .with("group", View.Group.Value)
      .with("upstream", Id.Value)
      .with("leads", Leads)
      .with("term", Upstream->Term.Value)
      .with("position", toString(Upstream->Applied));
  Upstream->WriteUnansweredSince.reset();
  if (Leads)
    probeStatus(Id);
  Member.Hurry();
}

void line_group::noteReachable(line_upstream &Upstream) {
  Upstream.HeardAt = now();
  Upstream.Heard = true;
  if (!Upstream.UnreachableSince)
    return;
  event("upstream.reachable")
      .with("group", View.Group.Value)
      .with("upstream", Upstream.Announcement.Upstream.Value)
      .with("after_ms", toMilliseconds(now() - *Upstream.UnreachableSince));
  Upstream.UnreachableSince.reset();
  Upstream.Refused = false;
  Upstream.Problem.clear();
  Member.Hurry();
}

void line_group::noteUnreachable(const upstream_id &Id,
                                 const std::string &Problem, bool Refused) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream)
    return;
  Upstream->Refused = Refused;
  Upstream->Problem = Problem;
  if (Upstream->UnreachableSince)
    return;
  // The outage began at the last message received, not when it was noticed.
  Upstream->UnreachableSince =
      Upstream->Heard ? std::max(Upstream->HeardAt, now() - WriteStall) : now();
  event("upstream.unreachable", severity::Warning)
      .with("group", View.Group.Value)
      .with("upstream", Id.Value)
      .with("refused", Refused)
      .with("reason", Problem);
  Member.Hurry();
  // Reads can be executed elsewhere; statements that change data may still be
  // answered.
  std::vector<std::uint64_t> Movable;
  for (const auto &[Number, Work] : Works)
    if (Work->Phase != line_phase::Waiting && Work->Upstream == Id &&
        !Work->inTransaction() && !Work->changesData())
      Movable.push_back(Number);
  for (auto Number : Movable)
    if (auto *Work = findWork(Number))
      lose(*Work, "the upstream is unreachable: " + Problem);
  if (Upstream = findUpstream(Id); Upstream)
    Upstream->Idle.clear();
}

//===----------------------------------------------------------------------===//
// Probe connections
//===----------------------------------------------------------------------===//

void line_group::ask(const upstream_id &Id, line_question Question) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream)
    return;
  Upstream->Questions.push_back(std::move(Question));
  pumpQuestions(Id);
}

void line_group::openProbe(const upstream_id &Id) {
  auto &Upstream = Upstreams.at(Id);
  if (Upstream.ProbeOpening || now() < Upstream.ProbeNotBefore)
    return;
  Upstream.ProbeOpening = true;
  line_target Target{Upstream.Announcement.Address, View.Group.Value,
                     Settings.User, Id, Settings.ProbeTimeout};
  auto Keep = std::shared_ptr<line_connection>(std::move(Upstream.Probe));
  Context.Loop.post([Keep] {});
  Upstream.Probe = std::make_unique<line_connection>(
      Context, protocol(), std::move(Target),
      [Weak = weak_from_this(), Id](const line_opening &Opening) {
        auto Self = Weak.lock();
        auto *Upstream = Self ? Self->findUpstream(Id) : nullptr;
        if (!Upstream)
          return;
        Upstream->ProbeOpening = false;
        if (!Opening.Problem) {
          Self->noteReachable(*Upstream);
          return Self->pumpQuestions(Id);
        }
        Upstream->ProbeNotBefore = Self->now() + ProbeConnectDelay;
        Upstream->Questions.clear();
        // An upstream that rejects the session, for want of a free connection
        // say, is reachable.
        if (!Opening.Code)
          Self->noteUnreachable(Id, Opening.Problem->reason(), Opening.Refused);
      });
}

void line_group::pumpQuestions(const upstream_id &Id) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream || Upstream->Asked || Upstream->Questions.empty())
    return;
  if (!Upstream->Probe || !Upstream->Probe->isOpen())
    return openProbe(Id);
  Upstream->Asked = std::move(Upstream->Questions.front());
  Upstream->Questions.pop_front();
  Upstream->AskedAt = now();
  Upstream->Probe->run(Upstream->Asked->Bytes, Upstream->Asked->Count,
                       [Weak = weak_from_this(), Id](const line_run &Run) {
                         if (auto Self = Weak.lock())
                           Self->onAnswered(Id, Run);
                       });
}

void line_group::onAnswered(const upstream_id &Id, const line_run &Run) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream || !Upstream->Asked)
    return;
  auto Question = std::move(*Upstream->Asked);
  Upstream->Asked.reset();
  if (!Run.Broken) {
    noteReachable(*Upstream);
    if (Run.Answers.back().Ready.Position)
      Upstream->Applied = *Run.Answers.back().Ready.Position;
  }
  Question.Answered(Run);
  pumpQuestions(Id);
}

//===----------------------------------------------------------------------===//
// Probes
//===----------------------------------------------------------------------===//

void line_group::takeSample(time_point AskedAt, const position &Position) {
  addSample(Samples, {AskedAt, Position}, SampleSpacing, SampleMemory);
}

/// Opens a read-write transaction and rolls it back, which only the primary
/// accepts. The answer also returns the upstream's position.
void line_group::probe(const upstream_id &Id) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream || Upstream->Asked || !Upstream->Questions.empty())
    return;
  line_question Question;
  protocol().AppendBegin(Question.Bytes, false, std::nullopt);
  protocol().AppendRollback(Question.Bytes);
  Question.Count = 2;
  Upstream->PositionAskedAt = now();
  Question.Answered = [Weak = weak_from_this(), Id](const line_run &Run) {
    auto Self = Weak.lock();
    auto *Upstream = Self ? Self->findUpstream(Id) : nullptr;
    if (!Upstream || Run.Answers.empty())
      return;
    const auto &Begin = Run.Answers.front();
    if (Begin.Failure && Begin.Failure->Code == line_error::ReadOnly)
      return Self->noteLeads(Id, false, term());
    if (Begin.Failure || Begin.Ready.State != 'T')
      return;
    if (Begin.Ready.Position)
      Self->takeSample(Upstream->AskedAt, *Begin.Ready.Position);
    Self->noteLeads(Id, true, term());
    Self->pump();
  };
  ask(Id, std::move(Question));
}

void line_group::probeStatus(const upstream_id &Id) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream)
    return;
  Upstream->StatusAskedAt = now();
  line_question Question;
  protocol().AppendStatus(Question.Bytes);
  Question.Answered = [Weak = weak_from_this(), Id](const line_run &Run) {
    if (auto Self = Weak.lock())
      Self->takeStatus(Id, Run);
  };
  ask(Id, std::move(Question));
}

void line_group::takeStatus(const upstream_id &Id, const line_run &Run) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream || Run.Answers.empty() || Run.Answers.front().Rows.empty())
    return;
  auto Status = protocol().ReadStatus(Run.Answers.front().Rows.front());
  if (!Status)
    return;
  Upstream->Received = Status->Received;
  Upstream->Paused = !Status->Primary && Status->Held > Status->Term;
  bool Changed = Upstream->Leads != Status->Primary ||
                 (Status->Primary && Upstream->Term != Status->Term);
  Upstream->Term = Status->Term;
  noteLeads(Id, Status->Primary, Status->Term);
  if (Changed)
    Member.Hurry();
}

void line_group::probeAll() {
  auto Leader = leader();
  // While reads wait, replicas are probed more often: they may have caught up.
  bool ReadsWait =
      std::any_of(Queue.begin(), Queue.end(), [&](const auto &Entry) {
        return Works.at(Entry.second)->Need == line_need::Replica;
      });
  duration PositionPeriod = ReadsWait ? SearchPeriod : Settings.PositionPeriod;
  std::vector<upstream_id> Ids;
  for (const auto &[Id, Upstream] : Upstreams)
    Ids.push_back(Id);
  for (const auto &Id : Ids) {
    auto &Upstream = Upstreams.at(Id);
    if (Upstream.Asked && now() - Upstream.AskedAt > Settings.ProbeTimeout) {
      Upstream.Asked.reset();
      Upstream.Questions.clear();
      Upstream.Probe->close();
      noteUnreachable(Id, "no answer to a probe", false);
    }
    auto *Known = findUpstream(Id);
    if (!Known)
      continue;
    // Sends a request that was queued while no connection could be opened.
    pumpQuestions(Id);
    if (!Leader && now() - Known->PositionAskedAt >= SearchPeriod)
      probe(Id);
    else if (Leader == Id &&
             now() - Known->PositionAskedAt >= Settings.SamplePeriod)
      probe(Id);
    else if (Leader != Id &&
             (now() - Known->HeardAt >= PositionPeriod ||
              Known->UnreachableSince) &&
             now() - Known->PositionAskedAt >= SearchPeriod)
      probe(Id);
    else if (now() - Known->StatusAskedAt >= StatusPeriod &&
             !Known->UnreachableSince)
      probeStatus(Id);
  }
}

//===----------------------------------------------------------------------===//
// Reports and orders of control
//===----------------------------------------------------------------------===//

wire::upstream_report
line_group::reportOf(const upstream_id &Id,
                     const line_upstream &Upstream) const {
  wire::upstream_report Report;
  Report.upstream = Id.Value;
  Report.replica = !Upstream.Leads;
  position Applied = Upstream.Applied;
  // The log of a new primary ends in the previous term until its first commit.
  if (Upstream.Leads)
    Applied.Term = std::max(Applied.Term, Upstream.Term);
  Report.replayed = toWire(Applied);
  Report.received =
      toWire(Upstream.Leads ? Upstream.Applied
                            : std::max(Upstream.Received, Upstream.Applied));
  Report.paused = Upstream.Paused;
  Report.age_ms = toMilliseconds(now() - Upstream.HeardAt);
  if (Upstream.Probe && Upstream.Probe->isOpen())
    Report.connection_age_ms =
        toMilliseconds(now() - Upstream.Probe->openedAt());
  std::optional<time_point> Since = Upstream.UnreachableSince;
  std::string Problem = Upstream.Problem;
  if (!Since && Upstream.Leads && Upstream.WriteUnansweredSince &&
      now() - *Upstream.WriteUnansweredSince > WriteStall) {
    Since = Upstream.WriteUnansweredSince;
    Problem = "writes are not confirmed";
  }
  Report.reachable = Upstream.Heard && !Since;
  if (Since)
    Report.unreachable_ms =
        std::max<std::int64_t>(toMilliseconds(now() - *Since), 1);
  Report.refused = Upstream.Refused;
  Report.problem = Problem;
  return Report;
}

wire::group_report line_group::report() const {
  wire::group_report Report;
  Report.group = View.Group.Value;
  Report.term = static_cast<std::int64_t>(View.Term.Value);
  bool Within =
      std::all_of(Upstreams.begin(), Upstreams.end(), [&](const auto &Entry) {
        const auto &Upstream = Entry.second;
        return Upstream.Occupied + Upstream.Opening + Upstream.Idle.size() <=
               connectionLimit();
      });
  Report.budget_epoch =
      Within ? static_cast<std::int64_t>(Share.BudgetEpoch) : 0;
  for (const auto &[Id, Upstream] : Upstreams)
    if (Upstream.Heard || Upstream.UnreachableSince)
      Report.upstreams.push_back(reportOf(Id, Upstream));
  return Report;
}

void line_group::fence(const wire::fence &Fence,
                       std::function<void(wire::fence_reply)> Answer) {
  auto Pause = std::make_shared<pending_pause>();
  Pause->FencedTerm = Fence.term;
  Pause->PauseTerm = term(static_cast<std::uint64_t>(Fence.pause_term));
  Pause->Answer = std::move(Answer);
  for (const auto &[Id, Upstream] : Upstreams)
    if (!Upstream.Leads)
      Pause->Missing.insert(Id);
  Pause->Timeout =
      Context.Timers.after(PauseTimeout, [Weak = weak_from_this(), Pause] {
        if (auto Self = Weak.lock())
          Self->finishPause(*Pause);
      });
  for (const auto &Id : std::set<upstream_id>(Pause->Missing))
    pause(Id, Pause);
}

void line_group::pause(const upstream_id &Id,
                       const std::shared_ptr<pending_pause> &Pause) {
  line_question Question;
  protocol().AppendPause(Question.Bytes, Pause->PauseTerm);
  Question.Answered = [Weak = weak_from_this(), Id,
                       Pause](const line_run &Run) {
    if (auto Self = Weak.lock())
      Self->onPaused(Id, Pause, Run);
  };
  ask(Id, std::move(Question));
}

void line_group::onPaused(const upstream_id &Id,
                          const std::shared_ptr<pending_pause> &Pause,
                          const line_run &Run) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream || Run.Answers.empty() || !Pause->Answer)
    return;
  const auto &Answer = Run.Answers.front();
  std::string Row = Answer.Rows.empty() ? "" : Answer.Rows.front();
  event("gateway.paused")
      .with("group", View.Group.Value)
      .with("upstream", Id.Value)
      .with("term", Pause->PauseTerm.Value)
      .with("row", Row)
      .with("code", Answer.Failure ? sqlStateOf(Answer.Failure->Code) : "");
  if (Answer.Failure && Answer.Failure->Code == line_error::Busy)
    return pause(Id, Pause);
  auto Status = protocol().ReadStatus(Row);
  if (!Status || Status->Primary || Status->Held < Pause->PauseTerm)
    return;
  Upstream->Paused = true;
  Upstream->Received = Status->Received;
  Pause->Paused.insert(Id);
  Pause->Missing.erase(Id);
  if (Pause->Missing.empty())
    finishPause(*Pause);
}

void line_group::finishPause(pending_pause &Pause) {
  auto Answer = std::exchange(Pause.Answer, nullptr);
  if (!Answer)
    return;
  wire::fence_reply Reply;
  Reply.group = View.Group.Value;
  Reply.term = Pause.FencedTerm;
  for (const auto &[Id, Upstream] : Upstreams) {
    auto Report = reportOf(Id, Upstream);
    // Only replicas that answered this order certainly had their position read
    // after the pause.
    Report.paused = Pause.Paused.contains(Id);
    Reply.upstreams.push_back(std::move(Report));
  }
  Answer(std::move(Reply));
}

void line_group::resume() {
  std::vector<upstream_id> Ids;
  for (const auto &[Id, Upstream] : Upstreams)
    if (!Upstream.Leads)
      Ids.push_back(Id);
  for (const auto &Id : Ids) {
    line_question Question;
    protocol().AppendResume(Question.Bytes);
    Question.Answered = [Weak = weak_from_this(), Id](const line_run &Run) {
      if (auto Self = Weak.lock())
        Self->takeStatus(Id, Run);
    };
    ask(Id, std::move(Question));
  }
}

} // namespace teasellock
