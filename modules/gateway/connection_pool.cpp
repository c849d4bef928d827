#include "modules/gateway/connection_pool.h"

#include "modules/upstream/dialect.h"

#include <algorithm>
#include <vector>

namespace teasellock {

namespace {

/// Connections that were idle for longer are checked before they are used.
constexpr duration MaxUncheckedIdleTime = std::chrono::seconds(3);

bool needsReset(const pooled_connection &Connection,
                const session_settings &Wanted) {
  if (Connection.SessionChanged)
    return true;
  return std::any_of(
      Connection.Settings.begin(), Connection.Settings.end(),
      [&](const auto &Setting) { return !Wanted.contains(Setting.first); });
}

std::string makeSetStatements(const session_settings &Present,
                              const session_settings &Wanted) {
  std::string Sql;
  for (const auto &[Name, Value] : Wanted) {
    auto Found = Present.find(Name);
    if (Found != Present.end() && Found->second == Value)
      continue;
    Sql += dialect::set(Name, Value) + "; ";
  }
  return Sql;
}

std::vector<upstream_operation>
makeSessionOperations(const pooled_connection &Connection,
                      const session_settings &Wanted) {
  std::vector<upstream_operation> Operations;
  bool Reset = needsReset(Connection, Wanted);
  if (Reset)
    Operations.push_back(hiddenQuery(dialect::reset()));
  std::string Sql = makeSetStatements(
      Reset ? session_settings() : Connection.Settings, Wanted);
  if (!Sql.empty())
    Operations.push_back(hiddenQuery(std::move(Sql)));
  return Operations;
}

/// A pending request for a connection.
struct acquire_request {
  session_settings Settings;
  std::function<void(acquire_result)> Ready;
  std::unique_ptr<pooled_connection> Connection;
  timer_subscription CheckTimer;
};

} // namespace

struct connection_pool::state
    : std::enable_shared_from_this<connection_pool::state> {
  state(daemon_context &Context, upstream_target Target, duration CheckTimeout,
        std::function<void()> IdleLost)
      : Context(Context), Target(std::move(Target)), CheckTimeout(CheckTimeout),
        IdleLost(std::move(IdleLost)) {}

  daemon_context &Context;
  upstream_target Target;
  duration CheckTimeout;
  std::function<void()> IdleLost;
  /// Most recently used last.
  std::vector<std::unique_ptr<pooled_connection>> Idle;

  void acquire(session_settings Settings,
               std::function<void(acquire_result)> Ready) {
    auto Request = std::make_shared<acquire_request>();
    Request->Settings = std::move(Settings);
    Request->Ready = std::move(Ready);
    Request->Connection = popIdle(Request->Settings);
    if (!Request->Connection)
      return open(Request);
    Request->Connection->Connection->onLost(nullptr);
    if (Context.Timers.now() - Request->Connection->IdleSince >
        MaxUncheckedIdleTime)
      return checkConnection(Request);
    applySettings(Request);
  }

  std::unique_ptr<pooled_connection> popIdle(const session_settings &Settings) {
    if (Idle.empty())
      return nullptr;
    auto Same = std::find_if(Idle.rbegin(), Idle.rend(), [&](const auto &Each) {
      return !Each->SessionChanged && Each->Settings == Settings;
    });
    auto Chosen =
        Same == Idle.rend() ? std::prev(Idle.end()) : std::next(Same).base();
    auto Connection = std::move(*Chosen);
    Idle.erase(Chosen);
    return Connection;
  }

  void open(const std::shared_ptr<acquire_request> &Request) {
    Request->Connection = std::make_unique<pooled_connection>();
    Request->Connection->Connection = std::make_unique<upstream_connection>(
        Context, Target,
        [Weak = weak_from_this(), Request](std::optional<error> Problem) {
          if (auto Self = Weak.lock())
            Self->onOpened(Request, Problem);
        });
  }

  void onOpened(const std::shared_ptr<acquire_request> &Request,
                const std::optional<error> &Problem) {
    if (!Problem)
      return applySettings(Request);
    acquire_result Failed;
    Failed.Problem = Problem;
    Request->Ready(std::move(Failed));
  }

  // A connection that fails the check is replaced by a new one.
  void checkConnection(const std::shared_ptr<acquire_request> &Request) {
    auto Weak = weak_from_this();
    Request->CheckTimer = Context.Timers.after(CheckTimeout, [Weak, Request] {
      if (auto Self = Weak.lock())
        Self->replaceConnection(Request);
    });
    execution_callbacks Events;
    Events.Collect = true;
    Events.OnDone = [Weak, Request](execution_result Result) {
      auto Self = Weak.lock();
      if (!Self)
        return;
      Request->CheckTimer.cancel();
      if (Result.ConnectionLost || Result.Failure)
        return Self->replaceConnection(Request);
      Self->applySettings(Request);
    };
    std::vector<upstream_operation> Operations;
    Operations.push_back(hiddenQuery("SELECT term FROM teasellock_term"));
    Request->Connection->Connection->execute(std::move(Operations),
                                             std::move(Events));
  }

  void replaceConnection(const std::shared_ptr<acquire_request> &Request) {
    Request->CheckTimer.cancel();
    Request->Connection->Connection->close();
    open(Request);
  }

  void applySettings(const std::shared_ptr<acquire_request> &Request) {
    std::vector<upstream_operation> Operations =
        makeSessionOperations(*Request->Connection, Request->Settings);
    if (Operations.empty())
      return succeed(Request);
    execution_callbacks Events;
    Events.OnDone = [Weak = weak_from_this(),
                     Request](execution_result Result) {
      if (auto Self = Weak.lock())
        Self->onSettingsApplied(Request, std::move(Result));
    };
    Request->Connection->Connection->execute(std::move(Operations),
                                             std::move(Events));
  }

  void onSettingsApplied(const std::shared_ptr<acquire_request> &Request,
                         execution_result Result) {
    if (Result.ConnectionLost)
      return replaceConnection(Request);
    if (!Result.Failure) {
      Request->Connection->Settings = Request->Settings;
      Request->Connection->SessionChanged = false;
      return succeed(Request);
    }
    acquire_result Failed;
    Failed.Problem = error("upstream.settings", toString(Target.Address),
                           Result.Failure->Message);
    Failed.SettingsError = std::move(Result.Messages);
    Request->Connection->Connection->close();
    Request->Ready(std::move(Failed));
  }

  void succeed(const std::shared_ptr<acquire_request> &Request) {
    acquire_result Acquired;
    Acquired.Connection = std::move(Request->Connection);
    Request->Ready(std::move(Acquired));
  }

  void release(std::unique_ptr<pooled_connection> Connection) {
    Connection->IdleSince = Context.Timers.now();
    pooled_connection *Raw = Connection.get();
    Connection->Connection->onLost([Weak = weak_from_this(), Raw] {
      if (auto Self = Weak.lock())
        Self->onIdleLost(Raw);
    });
    Idle.push_back(std::move(Connection));
  }

  void onIdleLost(pooled_connection *Lost) {
    std::erase_if(
        Idle, [&](const auto &Connection) { return Connection.get() == Lost; });
    if (IdleLost)
      IdleLost();
  }
};

connection_pool::connection_pool(daemon_context &Context,
                                 upstream_target Target, duration CheckTimeout,
                                 std::function<void()> IdleLost)
    : State(std::make_shared<state>(Context, std::move(Target), CheckTimeout,
                                    std::move(IdleLost))) {}

connection_pool::~connection_pool() { State->IdleLost = nullptr; }

void connection_pool::acquire(session_settings Settings,
                              std::function<void(acquire_result)> Ready) {
  State->acquire(std::move(Settings), std::move(Ready));
}

void connection_pool::release(std::unique_ptr<pooled_connection> Connection) {
  State->release(std::move(Connection));
}

void connection_pool::closeIdle(std::size_t Count) {
  Count = std::min(Count, State->Idle.size());
  State->Idle.erase(State->Idle.begin(),
                    State->Idle.begin() + static_cast<std::ptrdiff_t>(Count));
}

std::size_t connection_pool::idleCount() const { return State->Idle.size(); }

} // namespace teasellock
