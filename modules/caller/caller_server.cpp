#include "modules/caller/caller_server.h"

#include "modules/caller/caller_listener.h"

namespace teasellock {

struct caller_server::state {
  caller_listener Listener;

  state(daemon_context &Context, router_callbacks Callbacks,
        const caller_settings &Settings)
      : Listener(Context, std::move(Callbacks), Settings) {}
};

caller_server::caller_server(daemon_context &Context, member_agent &Member,
                             statement_router &Router,
                             caller_settings Settings) {
  router_callbacks Callbacks;
  Callbacks.IsGroupServed = [&Member](const group_id &Group) {
    const auto *View = Member.find(Group);
    return View && !View->Removed;
  };
  Callbacks.Submit =
      [&Router](wire::statement_request Request, const std::string &TraceParent,
                std::function<void(wire::statement_reply)> Reply) {
        return Router.submit(std::move(Request), TraceParent, std::move(Reply));
      };
  Callbacks.Cancel = [&Router](request_id Request) { Router.cancel(Request); };
  Callbacks.WasSent = [&Router](request_id Request) {
    return Router.progressOf(Request) != statement_progress::NotSent;
  };
  Callbacks.NextTransaction = [&Router] { return Router.nextTransaction(); };
  Callbacks.ReleaseTransaction = [&Router](transaction_id Transaction) {
    Router.release(Transaction);
  };
  State = std::make_unique<state>(Context, std::move(Callbacks), Settings);
}

caller_server::~caller_server() = default;

endpoint caller_server::start() { return State->Listener.start(); }

void caller_server::drain(std::function<void()> Done) {
  State->Listener.drain(std::move(Done));
}

std::size_t caller_server::callers() const { return State->Listener.callers(); }

} // namespace teasellock
