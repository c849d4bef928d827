#include "modules/line/line_connection.h"

#include "core/event_log.h"

#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace teasellock {

namespace {

constexpr std::size_t ReadBytes = 16 * 1024;
/// TCP_USER_TIMEOUT in milliseconds: without it, a connection to a peer that
/// lost power would stay open for minutes.
constexpr unsigned TcpUserTimeoutMs = 3000;
constexpr std::string_view LineEnd = "\r\n";

} // namespace

struct line_connection::state
    : std::enable_shared_from_this<line_connection::state> {
  enum class phase { Connecting, Starting, Open, Closed };

  daemon_context &Context;
  const line_protocol &Protocol;
  line_target Target;
  phase Phase = phase::Connecting;
  int Socket = -1;
  descriptor_watch Watch;
  timer_subscription Timeout;
  std::function<void(line_connect_result)> Opened;
  std::function<void()> OnLost;
  std::function<void(line_batch_result)> Done;
  std::vector<answer_kind> ExpectedAnswers;
  /// From the last READY message.
  char SessionState = 'I';
  line_batch_result Result;
  line_answer CurrentAnswer;
  std::string Input;
  std::string Out;
  time_point OpenedAt;

  state(daemon_context &Context, const line_protocol &Protocol,
        line_target Target, std::function<void(line_connect_result)> Opened)
      : Context(Context), Protocol(Protocol), Target(std::move(Target)),
        Opened(std::move(Opened)) {}

  ~state() { release(); }

  void release();
  void startConnect();
  void onReady(readiness Ready);
  void finishConnect();
  bool read();
  void handleLines();
  void handleLine(std::string_view Line);
  void handleStartLine(line_upstream_message Line);
  void rejectAnswer();
  void flush();
  void closeWithError(const std::string &Step, const std::string &Reason,
                      bool Refused,
                      std::optional<line_error> Code = std::nullopt);
};

void line_connection::state::release() {
  Phase = phase::Closed;
  Watch = descriptor_watch();
  Timeout.cancel();
  if (Socket >= 0)
    ::close(Socket);
  Socket = -1;
}

void line_connection::state::startConnect() {
  Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return closeWithError("upstream.connect", std::strerror(errno), false);
  int Enable = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof(Enable));
  ::setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &TcpUserTimeoutMs,
               sizeof(TcpUserTimeoutMs));
  sockaddr_in Address = toSocketAddress(Target.Address);
  int Status = ::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                         sizeof(Address));
  if (Status < 0 && errno != EINPROGRESS)
    return closeWithError("upstream.connect", std::strerror(errno),
                          errno == ECONNREFUSED);
  auto Weak = weak_from_this();
  Watch = Context.Loop.watch(Socket, {false, true}, [Weak](readiness Ready) {
    if (auto Self = Weak.lock())
      Self->onReady(Ready);
  });
}

void line_connection::state::onReady(readiness Ready) {
  if (Phase == phase::Connecting)
    return finishConnect();
  if (Ready.Writable)
    flush();
  if (Phase != phase::Closed && Ready.Readable && read())
    handleLines();
}

void line_connection::state::finishConnect() {
  int Status = 0;
  socklen_t Length = sizeof(Status);
  ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Status, &Length);
  if (Status != 0)
    return closeWithError("upstream.connect", std::strerror(Status),
                          Status == ECONNREFUSED);
  Phase = phase::Starting;
  try {
    Protocol.AppendStart(Out, Target.Service, Target.User,
                         Target.Upstream.Value);
  } catch (const error &Problem) {
    return closeWithError(Problem.step(), Problem.what(), false);
  }
  flush();
}

bool line_connection::state::read() {
  char Buffer[ReadBytes];
  for (;;) {
    ssize_t Count = ::recv(Socket, Buffer, sizeof(Buffer), 0);
    if (Count > 0) {
      Input.append(Buffer, static_cast<std::size_t>(Count));
      if (static_cast<std::size_t>(Count) < sizeof(Buffer))
        return true;
      continue;
    }
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return true;
    // Messages received before the end of the stream are still valid.
    std::string Reason = Count == 0 ? "closed by peer" : std::strerror(errno);
    auto KeepAlive = shared_from_this();
    handleLines();
    if (Phase != phase::Closed)
      closeWithError("upstream.read", Reason, false);
    return false;
  }
}

void line_connection::state::handleLines() {
  auto KeepAlive = shared_from_this();
  std::size_t Start = 0;
  while (Phase != phase::Closed) {
    std::size_t End = Input.find(LineEnd, Start);
    if (End == std::string::npos)
      break;
    std::string Line = Input.substr(Start, End - Start);
    Start = End + LineEnd.size();
    handleLine(Line);
  }
  if (Phase == phase::Closed)
    return;
  Input.erase(0, Start);
  if (Input.size() > MaxLineBytes)
    closeWithError("upstream.read", "a message is longer than 1 MiB", false);
}

void line_connection::state::handleStartLine(line_upstream_message Line) {
  if (const auto *Failure = std::get_if<line_failure>(&Line))
    return closeWithError("upstream.start", Failure->Text, false,
                          Failure->Code);
  const auto *Ready = std::get_if<line_ready>(&Line);
  if (!Ready)
    return closeWithError("upstream.start", "an unexpected message", false);
  Phase = phase::Open;
  SessionState = Ready->State;
  OpenedAt = Context.Timers.now();
  Timeout.cancel();
  if (auto Callback = std::exchange(Opened, nullptr))
    Callback({{}, false, {}, *Ready});
}

void line_connection::state::handleLine(std::string_view Text) {
  line_upstream_message Line = Protocol.ParseUpstream(Text);
  if (Phase == phase::Starting)
    return handleStartLine(std::move(Line));
  if (const auto *Malformed = std::get_if<line_malformed>(&Line))
    return closeWithError("upstream.read", Malformed->Problem, false);
  if (!Done)
    return closeWithError("upstream.read", "a message without a request",
                          false);
  if (auto *Row = std::get_if<line_row>(&Line))
    return CurrentAnswer.Rows.push_back(std::move(Row->Text));
  if (auto *End = std::get_if<line_done>(&Line)) {
    CurrentAnswer.Signature = std::move(End->Signature);
    return;
  }
  if (auto *Failure = std::get_if<line_failure>(&Line)) {
    CurrentAnswer.Failure = std::move(*Failure);
    return;
  }
  CurrentAnswer.Ready = std::get<line_ready>(Line);
  char StateBefore = std::exchange(SessionState, CurrentAnswer.Ready.State);
  if (!fits(CurrentAnswer, ExpectedAnswers[Result.Answers.size()], StateBefore))
    return rejectAnswer();
  Result.Answers.push_back(std::exchange(CurrentAnswer, {}));
  if (Result.Answers.size() < ExpectedAnswers.size())
    return;
  auto Callback = std::exchange(Done, nullptr);
  Callback(std::exchange(Result, {}));
}

/// The answer of this statement, or of an earlier one, was lost.
void line_connection::state::rejectAnswer() {
  event("line.unexpected_answer", severity::Warning)
      .with("upstream", Target.Upstream.Value)
      .with("group", Target.Service)
      .with("place", static_cast<std::uint64_t>(Result.Answers.size()))
      .with("of", static_cast<std::uint64_t>(ExpectedAnswers.size()));
  Context.Metrics.counterOf("teasellock_line_unexpected_answers_total").add();
  closeWithError("upstream.read", "an answer does not fit its statement",
                 false);
}

void line_connection::state::flush() {
  std::size_t Start = 0;
  while (Start < Out.size()) {
    ssize_t Count =
        ::send(Socket, Out.data() + Start, Out.size() - Start, MSG_NOSIGNAL);
    if (Count > 0) {
      Start += static_cast<std::size_t>(Count);
      continue;
    }
    if (errno == EINTR)
      continue;
    if (errno == EAGAIN || errno == EWOULDBLOCK)
      break;
    std::string Reason = std::strerror(errno);
    // run() must not invoke the callbacks itself.
    Context.Loop.post([Weak = weak_from_this(), Reason] {
      if (auto Self = Weak.lock(); Self && Self->Phase != phase::Closed)
        Self->closeWithError("upstream.write", Reason, false);
    });
    break;
  }
  Out.erase(0, Start);
  Watch.setInterest({true, !Out.empty()});
}

void line_connection::state::closeWithError(const std::string &Step,
                                            const std::string &Reason,
                                            bool Refused,
                                            std::optional<line_error> Code) {
  auto KeepAlive = shared_from_this();
  release();
  if (auto Callback = std::exchange(Opened, nullptr))
    return Callback(
        {error(Step, Target.Upstream.Value, Reason), Refused, Code, {}});
  if (auto Callback = std::exchange(Done, nullptr)) {
    Result.ConnectionLost = true;
    Result.Problem = Step + ": " + Reason;
    return Callback(std::exchange(Result, {}));
  }
  if (OnLost)
    OnLost();
}

bool fits(const line_answer &Answer, answer_kind Kind, char StateBefore) {
  if (Answer.Failure)
    return true;
  bool IsPlain = Answer.Rows.empty() && Answer.Signature.empty();
  switch (Kind) {
  case answer_kind::Any:
    return true;
  case answer_kind::Signed:
    return !Answer.Signature.empty();
  case answer_kind::Session:
    return IsPlain && Answer.Ready.State == StateBefore;
  case answer_kind::Begin:
    return IsPlain && Answer.Ready.State == 'T';
  case answer_kind::Rollback:
    return IsPlain && Answer.Ready.State == 'I';
  case answer_kind::Status:
    return Answer.Rows.size() == 1 && Answer.Signature.empty();
  }
  return false;
}

line_connection::line_connection(
    daemon_context &Context, const line_protocol &Protocol, line_target Target,
    std::function<void(line_connect_result)> Opened)
    : State(std::make_shared<state>(Context, Protocol, std::move(Target),
                                    std::move(Opened))) {
  std::weak_ptr<state> Weak = State;
  Context.Loop.post([Weak] {
    if (auto Self = Weak.lock())
      Self->startConnect();
  });
  State->Timeout = Context.Timers.after(State->Target.ConnectTimeout, [Weak] {
    if (auto Self = Weak.lock())
      Self->closeWithError("upstream.connect", "no answer in time", false);
  });
}

line_connection::~line_connection() { close(); }

void line_connection::onLost(std::function<void()> Callback) {
  State->OnLost = std::move(Callback);
}

void line_connection::executeBatch(
    std::string Bytes, std::vector<answer_kind> Kinds,
    std::function<void(line_batch_result)> Done) {
  State->Done = std::move(Done);
  State->ExpectedAnswers = std::move(Kinds);
  State->Result = {};
  State->CurrentAnswer = {};
  if (State->Phase != state::phase::Open) {
    State->Context.Loop.post([Weak = std::weak_ptr<state>(State)] {
      auto Self = Weak.lock();
      if (!Self || !Self->Done)
        return;
      line_batch_result Result;
      Result.ConnectionLost = true;
      Result.Problem = "the connection is closed";
      std::exchange(Self->Done, nullptr)(std::move(Result));
    });
    return;
  }
  State->Out += Bytes;
  State->flush();
}

void line_connection::close() {
  State->Opened = nullptr;
  State->Done = nullptr;
  State->OnLost = nullptr;
  State->release();
}

bool line_connection::isOpen() const {
  return State->Phase == state::phase::Open;
}

time_point line_connection::openedAt() const { return State->OpenedAt; }

} // namespace teasellock
