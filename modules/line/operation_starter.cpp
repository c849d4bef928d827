#include "modules/line/operation_starter.h"

#include "modules/line/line_protocol.h"

namespace teasellock {

wire::statement_reply refusalOf(limit_verdict Verdict,
                                const organisation_id &Organisation) {
  bool LimitReached = Verdict == limit_verdict::LimitReached;
  wire::statement_reply Reply;
  Reply.outcome = wire::statement_outcome::not_run;
  Reply.last = true;
  Reply.transaction_status = 'I';
  Reply.code =
      sqlStateOf(LimitReached ? line_error::TooMany : line_error::Busy);
  Reply.problem =
      LimitReached
          ? "the limit of " + Organisation.Value + " is reached"
          : "the limiter of " + Organisation.Value + " can't be reached";
  return Reply;
}

bool isReturnable(const wire::statement_reply &Reply) {
  return Reply.last && Reply.outcome == wire::statement_outcome::not_run &&
         isNotExecuted(errorOf(Reply.code));
}

operation_starter::operation_starter(event_loop &Loop, limit_service &Limits,
                                     operation_hooks Hooks)
    : Loop(Loop), Limits(Limits), Hooks(std::move(Hooks)),
      Self(std::make_shared<operation_starter *>(this)) {}

operation_starter::~operation_starter() = default;

void operation_starter::begin(line_caller_id Id,
                              const organisation_id &Organisation,
                              wire::statement_request Request) {
  std::weak_ptr<operation_starter *> Weak = Self;
  Limits.acquire(
      Organisation, [Weak, Id, Organisation, Request = std::move(Request)](
                        const limit_outcome &Outcome) {
        if (auto Alive = Weak.lock())
          (*Alive)->handleOutcome(Id, Organisation, Request, Outcome);
      });
}

void operation_starter::handleOutcome(line_caller_id Id,
                                      const organisation_id &Organisation,
                                      wire::statement_request Request,
                                      const limit_outcome &Outcome) {
  if (Outcome.Verdict == limit_verdict::Granted) {
    Operations[Id] = {Organisation, Outcome.ValidUntil};
    if (Hooks.Submit(Id, std::move(Request)))
      return;
    Operations.erase(Id);
    return Limits.giveBack(Organisation, Outcome.ValidUntil);
  }
  // Not at once: the session may still be processing the input before.
  std::weak_ptr<operation_starter *> Weak = Self;
  auto Reply = refusalOf(Outcome.Verdict, Organisation);
  Loop.post([Weak, Id, Reply] {
    if (auto Alive = Weak.lock())
      (*Alive)->Hooks.Refuse(Id, Reply);
  });
}

void operation_starter::handleReply(line_caller_id Id,
                                    const wire::statement_reply &Reply) {
  auto Operation = Operations.extract(Id);
  if (!Operation.empty() && isReturnable(Reply))
    Limits.giveBack(Operation.mapped().Organisation,
                    Operation.mapped().ValidUntil);
}

void operation_starter::handleDisconnect(line_caller_id Id) {
  Operations.erase(Id);
}

} // namespace teasellock
