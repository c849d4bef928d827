#include "modules/gateway/promotion.h"

#include "core/event_log.h"
#include "modules/control/group_view.h"

namespace teasellock {

namespace {

/// Longer than the 5 seconds for which pg_promote itself waits.
constexpr duration QueryTimeout = std::chrono::seconds(6);

/// A promotion in progress. Kept alive by the callback of its query.
class promotion : public std::enable_shared_from_this<promotion> {
public:
  promotion(daemon_context &Context, upstream_target Target,
            const wire::promote &Order,
            std::function<void(wire::promote_reply)> Answer)
      : Peer(toString(Target.Address)), Answer(std::move(Answer)),
        Term(static_cast<std::uint64_t>(Order.term)),
        Session(
            auxiliary_session::open(Context, std::move(Target), QueryTimeout)) {
    Reply.group = Order.group;
    Reply.upstream = Order.upstream;
    Reply.term = Order.term;
  }

  void readStatus() {
    Session->query(dialect::probe(),
                   [Self = shared_from_this()](execution_result Result) {
                     Self->onStatus(std::move(Result));
                   });
  }

private:
  void onStatus(execution_result Result) {
    if (failed(Result))
      return;
    std::optional<upstream_status> Status;
    try {
      Status = dialect::parseProbe(Result.Tables, Peer);
    } catch (const error &Problem) {
      return end(Problem.what());
    }
    if (!Status)
      return readStatus();
    if (Status->Position.Term > Term)
      return end("the upstream is already in a higher term");
    if (Status->Replica)
      return endRecovery();
    if (Status->Position.Term < Term)
      return writeTerm();
    Reply.done = true;
    Reply.reached = toWire(Status->Position);
    end("");
  }

  void endRecovery() {
    if (std::exchange(RecoveryEnded, true))
      return end("the upstream is still a replica after its promotion");
    Session->query(dialect::promote(), [Self = shared_from_this()](
                                           execution_result Result) {
      bool AlreadyPrimary =
          Result.Failure && Result.Failure->Code == NotInPrerequisiteState;
      if (!AlreadyPrimary && Self->failed(Result))
        return;
      Self->writeTerm();
    });
  }

  void writeTerm() {
    if (std::exchange(TermWritten, true))
      return end("the term's record was written but cannot be read back");
    Session->query(dialect::writeTerm(Term),
                   [Self = shared_from_this()](execution_result Result) {
                     if (!Self->failed(Result))
                       Self->readStatus();
                   });
  }

  bool failed(const execution_result &Result) {
    if (Result.ConnectionLost)
      end(Result.Problem);
    else if (Result.Failure)
      end(Result.Failure->Message);
    return Result.ConnectionLost || Result.Failure;
  }

  void end(const std::string &Problem) {
    Reply.problem = Problem;
    event("gateway.promotion")
        .with("group", Reply.group)
        .with("upstream", Reply.upstream)
        .with("term", Reply.term)
        .with("done", Reply.done)
        .with("problem", Problem);
    if (auto Callback = std::exchange(Answer, nullptr))
      Callback(Reply);
  }

  std::string Peer;
  std::function<void(wire::promote_reply)> Answer;
  term Term;
  std::shared_ptr<auxiliary_session> Session;
  wire::promote_reply Reply;
  bool RecoveryEnded = false;
  bool TermWritten = false;
};

} // namespace

void startPromotion(daemon_context &Context, upstream_target Target,
                    const wire::promote &Order,
                    std::function<void(wire::promote_reply)> Answer) {
  std::make_shared<promotion>(Context, std::move(Target), Order,
                              std::move(Answer))
      ->readStatus();
}

} // namespace teasellock
