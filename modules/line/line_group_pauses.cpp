#include "core/event_log.h"
#include "modules/line/line_group_state.h"

#include <algorithm>
#include <utility>

namespace teasellock {

namespace {

/// How long a fence waits for replicas to confirm their pause before it reports
/// those that did.
constexpr duration PauseTimeout = std::chrono::milliseconds(250);
/// Time in which replicas receive what a demoted primary had sent them before
/// they are paused.
constexpr duration CatchUpTime = std::chrono::milliseconds(50);

} // namespace

/// Returns the term after the newest one that any upstream has reported.
/// Upstreams reject orders of earlier terms, and control doesn't know the term
/// of a primary that failed before its first commit.
term line_group::nextTerm() const {
  term Newest;
  for (const auto &[Id, Upstream] : Upstreams)
    Newest = std::max(Newest, Upstream.Term);
  return term(Newest.Value + 1);
}

void line_group::fence(const wire::fence &Fence,
                       std::function<void(wire::fence_reply)> Answer) {
  auto Pause = std::make_shared<pending_pause>();
  Pause->FencedTerm = Fence.term;
  Pause->PauseTerm =
      std::max(term(static_cast<std::uint64_t>(Fence.pause_term)), nextTerm());
  revision Revision(static_cast<std::uint64_t>(Fence.revision));
  // A fence that arrives after the end of its promotion closes nothing.
  bool IsLate = View.Primary && Revision < View.Revision;
  if (!IsLate)
    closeWriteFence(WriteFence, term(Pause->PauseTerm.Value - 1), Revision);
  Pause->Answer = std::move(Answer);
  if (!Fence.demoted.empty())
    Pause->Demoted = upstream_id(Fence.demoted);
  for (const auto &[Id, Upstream] : Upstreams)
    if (!Upstream.IsPrimary || Id == Pause->Demoted)
      Pause->Unanswered.insert(Id);
  Pause->Timeout =
      Context.Timers.after(PauseTimeout, [Weak = weak_from_this(), Pause] {
        if (auto Self = Weak.lock())
          Self->finishPause(*Pause);
      });
  Pause->AwaitsDemotion =
      Pause->Demoted && Pause->Unanswered.contains(*Pause->Demoted);
  if (Pause->AwaitsDemotion)
    sendPause(*Pause->Demoted, Pause);
  else
    sendPauses(Pause);
}

void line_group::sendPauses(const std::shared_ptr<pending_pause> &Pause) {
  for (const auto &Id : std::set<upstream_id>(Pause->Unanswered))
    sendPause(Id, Pause);
}

/// Sends the order to pause, or to demote as long as that is awaited.
void line_group::sendPause(const upstream_id &Id,
                           const std::shared_ptr<pending_pause> &Pause) {
  line_probe_request Request;
  auto Append =
      Pause->AwaitsDemotion ? protocol().AppendDemote : protocol().AppendPause;
  Append(Request.Bytes, Pause->PauseTerm);
  Request.OnResult = [Weak = weak_from_this(), Id,
                      Pause](const line_batch_result &Result) {
    if (auto Self = Weak.lock())
      Self->onPaused(Id, Pause, Result);
  };
  enqueueProbeRequest(Id, std::move(Request));
}

void line_group::onPaused(const upstream_id &Id,
                          const std::shared_ptr<pending_pause> &Pause,
                          const line_batch_result &Result) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream || Result.Answers.empty() || !Pause->Answer)
    return;
  bool IsDemotion = Pause->AwaitsDemotion;
  const auto &Answer = Result.Answers.front();
  std::string Row = Answer.Rows.empty() ? "" : Answer.Rows.front();
  event(IsDemotion ? "gateway.demoted" : "gateway.paused")
      .with("group", View.Group.Value)
      .with("upstream", Id.Value)
      .with("term", Pause->PauseTerm.Value)
      .with("row", Row)
      .with("code", Answer.Failure ? sqlStateOf(Answer.Failure->Code) : "");
  if (Answer.Failure && Answer.Failure->Code == line_error::Busy)
    return sendPause(Id, Pause);
  auto Status = protocol().ParseStatus(Row);
  if (Status && !Status->IsPrimary)
    handleLeadership(Id, false, term());
  if (Status)
    Upstream->Term = std::max(Upstream->Term, Status->Term);
  if (!Status || Status->IsPrimary ||
      (!IsDemotion && Status->PauseTerm < Pause->PauseTerm))
    return;
  Upstream->Paused = !IsDemotion;
  Upstream->Received = Status->Received;
  recordReplicaPosition(*Upstream, *Upstream->ProbeConnection,
                        Status->Received);
  if (IsDemotion)
    return onDemoted(Pause);
  Pause->Paused.insert(Id);
  Pause->Unanswered.erase(Id);
  if (Pause->Unanswered.empty())
    finishPause(*Pause);
}

/// Pauses all once the replicas have had time to catch up. The former primary
/// is paused too: if another upstream leads by now, it may receive and confirm
/// that one's commits.
void line_group::onDemoted(const std::shared_ptr<pending_pause> &Pause) {
  Pause->AwaitsDemotion = false;
  Pause->CatchUp =
      Context.Timers.after(CatchUpTime, [Weak = weak_from_this(), Pause] {
        if (auto Self = Weak.lock())
          Self->sendPauses(Pause);
      });
}

void line_group::finishPause(pending_pause &Pause) {
  auto Answer = std::exchange(Pause.Answer, nullptr);
  if (!Answer)
    return;
  recordPauses(WriteFence);
  handleHeldCommits();
  wire::fence_reply Reply;
  Reply.group = View.Group.Value;
  Reply.term = Pause.FencedTerm;
  // Commits up to the covered position may still be acknowledged.
  Reply.acknowledged = toWire(std::max(Acknowledged, Coverage.Covered));
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
    if (!Upstream.IsPrimary)
      Ids.push_back(Id);
  for (const auto &Id : Ids) {
    std::string Bytes;
    protocol().AppendResume(Bytes);
    enqueueStatusRequest(Id, std::move(Bytes));
  }
}

} // namespace teasellock
