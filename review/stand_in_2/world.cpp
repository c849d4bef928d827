/// Stand-ins for the surroundings of a small deployment that speaks the line
/// protocol: three upstreams of one group with a replicated log, the platform
/// that promotes them, an operator and callers. Plays one case and judges it by
/// what upstreams and callers have seen.
///
///   review_world --case NAME --net 127.a.b --record FILE --trouble 0|1
///
/// Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not
/// run.

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>

#include <cstdio>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

constexpr int ControlPort = 8782;
constexpr int PlatformPort = 8783;
constexpr int CallerPort = 8784;
constexpr int UpstreamPort = 8301;
constexpr int Machines = 3;
constexpr int FirstUpstream = 64;
constexpr int UpstreamCount = 3;
constexpr int PlatformNumber = 160;
constexpr const char *ServiceName = "ledger";
/// The bound `drain_ms` of the deployment.
constexpr milliseconds DrainBound(7000);
constexpr milliseconds HeartbeatInterval(1200);
constexpr milliseconds PromotionTime(1000);
/// One way between two regions.
constexpr milliseconds FarDelay(12);
constexpr milliseconds ApplyDelay(20);
constexpr milliseconds ExecutionTime(4);

struct position {
  std::uint64_t Term = 0;
  std::uint64_t Number = 0;
  auto operator<=>(const position &) const = default;
};

std::string toText(const position &Position) {
  if (Position == position())
    return "-";
  return std::to_string(Position.Term) + "." + std::to_string(Position.Number);
}

struct log_entry {
  position At;
  std::string StatementId;
  std::map<std::string, std::string> Items;
  steady::time_point CreatedAt;
  steady::time_point ReceivedAt;
};

struct upstream {
  std::string Id;
  std::string Address;
  std::string Zone;
  std::int64_t Born = 0;
  bool IsPrimary = false;
  std::uint64_t Term = 1;
  std::uint64_t PausedTerm = 0;
  std::vector<log_entry> Log;
  std::size_t Applied = 0;
  bool IsLeaving = false;
  /// It has left.
  bool IsGone = false;
  /// How long what the primary sends takes to arrive here.
  milliseconds ReplicationDelay = milliseconds(2);
  std::uint64_t Sequence = 0;
  std::optional<steady::time_point> LeavingAcknowledgedAt;
};

struct http_answer {
  int Status = 0;
  std::string Body;
};

/// Everything that the threads share, guarded by Mutex.
struct world {
  std::mutex Mutex;
  std::condition_variable Changed;
  std::string Net;
  std::string Case;
  bool HasTrouble = false;
  std::ofstream Record;
  steady::time_point Start = steady::now();
  std::vector<upstream> Upstreams;
  std::uint64_t LastSignature = 0;
  std::uint64_t HighestToken = 0;
  /// Signatures by statement id.
  std::map<std::string, std::set<std::string>> Signatures;
  /// Ids of the statements that callers have sent.
  std::set<std::string> Sent;
  std::uint64_t Succeeded = 0;
  std::vector<std::string> Violations;

  /// The next read in a transaction without a caller loses its answer.
  bool LosesNextAnswer = false;
  std::uint64_t LostAnswers = 0;
  std::atomic<bool> IsEnding = false;
};

world World;

std::int64_t elapsedMs() {
  return std::chrono::duration_cast<milliseconds>(steady::now() - World.Start)
      .count();
}

/// Writes a line to the record. Needs the lock.
void record(const std::string &Text) {
  World.Record << elapsedMs() << " " << Text << "\n";
}

void sleepFor(milliseconds Span) { std::this_thread::sleep_for(Span); }

//===----------------------------------------------------------------------===//
// Sockets
//===----------------------------------------------------------------------===//

sockaddr_in toSocketAddress(const std::string &Address, int Port) {
  sockaddr_in Result = {};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Address.c_str(), &Result.sin_addr);
  return Result;
}

int openListener(const std::string &Address, int Port) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  auto Where = toSocketAddress(Address, Port);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Where), sizeof(Where)) != 0 ||
      listen(Socket, 256) != 0) {
    std::fprintf(stderr, "can't listen at %s:%d\n", Address.c_str(), Port);
    std::_Exit(2);
  }
  return Socket;
}

/// Returns a connected socket, or -1.
int dial(const std::string &Address, int Port, milliseconds Timeout) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval Limit = {Timeout.count() / 1000, Timeout.count() % 1000 * 1000};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  auto Where = toSocketAddress(Address, Port);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Where), sizeof(Where)) == 0)
    return Socket;
  close(Socket);
  return -1;
}

bool sendAll(int Socket, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Count =
        send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

/// Reads lines that end in CR LF.
struct line_reader {
  int Socket;
  std::string Buffer;

  std::optional<std::string> next() {
    for (;;) {
      auto End = Buffer.find("\r\n");
      if (End != std::string::npos) {
        std::string Line = Buffer.substr(0, End);
        Buffer.erase(0, End + 2);
        return Line;
      }
      char Part[4096];
      ssize_t Count = recv(Socket, Part, sizeof(Part), 0);
      if (Count <= 0)
        return std::nullopt;
      Buffer.append(Part, static_cast<std::size_t>(Count));
    }
  }
};

std::optional<http_answer> callHttp(const std::string &Address, int Port,
                                    const std::string &Method,
                                    const std::string &Path,
                                    const std::string &Body) {
  int Socket = dial(Address, Port, milliseconds(1000));
  if (Socket < 0)
    return std::nullopt;
  std::string Request =
      Method + " " + Path + " HTTP/1.1\r\nHost: " + Address +
      "\r\nContent-Type: application/json\r\nConnection: close\r\n" +
      "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  std::string Answer;
  if (sendAll(Socket, Request)) {
    char Part[4096];
    while (ssize_t Count = recv(Socket, Part, sizeof(Part), 0)) {
      if (Count < 0)
        break;
      Answer.append(Part, static_cast<std::size_t>(Count));
    }
  }
  close(Socket);
  if (Answer.size() < 12 || !Answer.starts_with("HTTP/1.1 "))
    return std::nullopt;
  auto End = Answer.find("\r\n\r\n");
  return http_answer{std::stoi(Answer.substr(9, 3)),
                     End == std::string::npos ? "" : Answer.substr(End + 4)};
}

std::string machine(int Number) {
  return World.Net + "." + std::to_string(Number);
}

//===----------------------------------------------------------------------===//
// Upstreams
//===----------------------------------------------------------------------===//

upstream *findPrimary() {
  for (auto &Upstream : World.Upstreams)
    if (Upstream.IsPrimary && !Upstream.IsGone)
      return &Upstream;
  return nullptr;
}

position appliedOf(const upstream &Upstream) {
  return Upstream.Applied == 0 ? position()
                               : Upstream.Log[Upstream.Applied - 1].At;
}

/// Copies the primary's log to the replicas and applies it there.
void replicate() {
  auto Now = steady::now();
  const auto *Primary = findPrimary();
  for (auto &Upstream : World.Upstreams) {
    if (Upstream.IsPrimary || Upstream.IsGone)
      continue;
    if (Primary && Upstream.PausedTerm <= Primary->Term) {
      Upstream.Term = Primary->Term;
      const auto &Source = Primary->Log;
      std::size_t Same = 0;
      while (Same < Upstream.Log.size() && Same < Source.size() &&
             Upstream.Log[Same].At == Source[Same].At)
        ++Same;
      Upstream.Log.resize(Same);
      for (; Same < Source.size() &&
             Source[Same].CreatedAt + Upstream.ReplicationDelay <= Now;
           ++Same) {
        Upstream.Log.push_back(Source[Same]);
        Upstream.Log.back().ReceivedAt = Now;
      }
    }
    Upstream.Applied = std::min(Upstream.Applied, Upstream.Log.size());
    while (Upstream.Applied < Upstream.Log.size() &&
           Upstream.Log[Upstream.Applied].ReceivedAt + ApplyDelay <= Now)
      ++Upstream.Applied;
  }
}

void runReplication() {
  while (!World.IsEnding) {
    {
      std::lock_guard Lock(World.Mutex);
      replicate();
    }
    World.Changed.notify_all();
    sleepFor(milliseconds(1));
  }
}

struct upstream_session {
  std::size_t Index = 0;
  bool InTransaction = false;
  bool IsPlain = false;
  bool HasFailed = false;
  std::uint64_t Term = 0;
  std::uint64_t Statements = 0;
  std::map<std::string, std::string> Items;
  std::map<std::string, std::pair<bool, std::string>> Prepared;
  /// The connection is closed after the next answer.
  bool IsClosing = false;
  bool LosesAnswer = false;

  upstream &node() const { return World.Upstreams[Index]; }
};

std::string popWord(std::string &Rest) {
  auto End = std::min(Rest.find(' '), Rest.size());
  std::string Word = Rest.substr(0, End);
  Rest.erase(0, std::min(End + 1, Rest.size()));
  return Word;
}

std::string readyLine(const upstream_session &Session) {
  char State = Session.HasFailed ? 'E' : Session.InTransaction ? 'T' : 'I';
  return std::string("READY ") + State + " " +
         toText(appliedOf(Session.node())) + "\r\n";
}

std::string failure(upstream_session &Session, const std::string &Code) {
  Session.HasFailed = Session.HasFailed || Session.InTransaction;
  return "ERR " + Code + " " + Session.node().Id + "\r\n" + readyLine(Session);
}

std::string success(const upstream_session &Session, const std::string &Id,
                    const std::string &Row = "") {
  std::string Signature = "-";
  if (Id != "-") {
    Signature = "s" + std::to_string(++World.LastSignature);
    World.Signatures[Id].insert(Signature);
  }
  return (Row.empty() ? "" : "ROW " + Row + "\r\n") + "DONE " + Signature +
         "\r\n" + readyLine(Session);
}

std::string statusRow(const upstream &Upstream) {
  position Received =
      Upstream.Log.empty() ? position() : Upstream.Log.back().At;
  return std::string(Upstream.IsPrimary ? "primary " : "replica ") +
         std::to_string(Upstream.Term) + " " + toText(Received) + " " +
         std::to_string(Upstream.PausedTerm) + " 0 0 1";
}

std::string valueOf(const upstream_session &Session, const std::string &Item) {
  if (auto Own = Session.Items.find(Item); Own != Session.Items.end())
    return Own->second;
  const auto &Upstream = Session.node();
  for (std::size_t Index = Upstream.Applied; Index > 0; --Index) {
    const auto &Items = Upstream.Log[Index - 1].Items;
    if (auto Found = Items.find(Item); Found != Items.end())
      return Found->second;
  }
  return "none";
}

bool hasLostLead(const upstream_session &Session) {
  const auto &Upstream = Session.node();
  return Session.InTransaction && Session.IsPlain &&
         (!Upstream.IsPrimary || Upstream.Term != Session.Term);
}

/// Appends a commit and waits until a replica has received it.
std::string commit(upstream_session &Session, const std::string &Id,
                   std::unique_lock<std::mutex> &Lock) {
  auto &Upstream = Session.node();
  log_entry Entry;
  Entry.At = {Upstream.Term, Upstream.Log.size() + 1};
  Entry.StatementId = Id;
  Entry.Items = std::exchange(Session.Items, {});
  Entry.CreatedAt = steady::now();
  Upstream.Log.push_back(Entry);
  Upstream.Applied = Upstream.Log.size();
  bool IsReceived = World.Changed.wait_for(Lock, milliseconds(5000), [&] {
    for (const auto &Other : World.Upstreams)
      if (&Other != &Session.node() && !Other.IsGone &&
          Other.Log.size() >= Entry.At.Number &&
          Other.Log[Entry.At.Number - 1].At == Entry.At)
        return true;
    return World.IsEnding.load();
  });
  return IsReceived && Session.node().IsPrimary ? success(Session, Id)
                                                : failure(Session, "INDOUBT");
}

/// Records that a caller's statement has reached an upstream, and checks that
/// the upstream may still get statements.
void recordArrival(upstream_session &Session, const std::string &Id,
                   const std::string &Text) {
  const auto &Upstream = Session.node();
  record("run " + Id + " at " + Upstream.Id + " " + Text);
  if (!World.Sent.contains(Id)) {
    World.Violations.push_back("UNASKED: " + Upstream.Id + " runs " + Id + " " +
                               Text + ", which no caller sent");
    record(World.Violations.back());
  }
  bool IsFirst = !Session.InTransaction || Session.Statements++ == 0;
  if (!IsFirst || !Upstream.LeavingAcknowledgedAt)
    return;
  auto Since = steady::now() - *Upstream.LeavingAcknowledgedAt;
  if (Since <= DrainBound)
    return;
  World.Violations.push_back(
      "DRAIN: " + Id + " reached " + Upstream.Id + " " +
      std::to_string(std::chrono::duration_cast<milliseconds>(Since).count()) +
      " ms after it was acknowledged that it is draining");
  record(World.Violations.back());
}

std::string executeData(upstream_session &Session, const std::string &Id,
                        const std::string &Verb, std::string Rest,
                        std::unique_lock<std::mutex> &Lock) {
  bool Writes = Verb == "WRITE";
  if (Verb == "EXEC") {
    auto Found = Session.Prepared.find(popWord(Rest));
    if (Found == Session.Prepared.end())
      return failure(Session, "NOSTMT");
    Writes = Found->second.first;
  }
  if (Session.HasFailed)
    return failure(Session, "MALFORMED");
  if (hasLostLead(Session) || (Writes && !Session.node().IsPrimary))
    return failure(Session, "READONLY");
  recordArrival(Session, Id, Verb + " " + Rest);
  Lock.unlock();
  sleepFor(ExecutionTime);
  Lock.lock();
  std::string Item = popWord(Rest);
  if (!Writes) {
    std::string Answer = success(Session, Id, valueOf(Session, Item));
    Session.LosesAnswer = Session.InTransaction && Session.IsPlain &&
                          std::exchange(World.LosesNextAnswer, false);
    return Answer;
  }
  Session.Items[Item] = Rest;
  return Session.InTransaction ? success(Session, Id)
                               : commit(Session, Id, Lock);
}

std::string executeTransactionVerb(upstream_session &Session,
                                   const std::string &Id,
                                   const std::string &Verb,
                                   const std::string &Rest,
                                   std::unique_lock<std::mutex> &Lock) {
  if (Verb == "BEGIN") {
    bool Plain = Rest.empty();
    if (Plain && !Session.node().IsPrimary)
      return failure(Session, "READONLY");
    Session.InTransaction = true;
    Session.IsPlain = Plain;
    Session.Term = Session.node().Term;
    Session.Statements = 0;
    return success(Session, Id);
  }
  bool HasFailed = std::exchange(Session.HasFailed, false);
  bool WasOpen = std::exchange(Session.InTransaction, false);
  if (Verb == "ROLLBACK") {
    Session.Items.clear();
    return success(Session, Id);
  }
  if (HasFailed || !WasOpen)
    return failure(Session, "ABORTED");
  if (Session.Items.empty())
    return success(Session, Id);
  if (!Session.node().IsPrimary || Session.node().Term != Session.Term) {
    Session.Items.clear();
    return failure(Session, "READONLY");
  }
  return commit(Session, Id, Lock);
}

std::string executeOrder(upstream_session &Session, const std::string &Verb,
                         const std::string &Rest) {
  auto &Upstream = Session.node();
  if (Verb == "PAUSE" && !Upstream.IsPrimary) {
    std::uint64_t Term = std::stoull(Rest);
    if (Term > Upstream.Term)
      Upstream.PausedTerm = std::max(Upstream.PausedTerm, Term);
  } else if (Verb == "RESUME") {
    Upstream.PausedTerm = 0;
  } else if (Verb == "DEMOTE" && Upstream.IsPrimary &&
             Upstream.Term < std::stoull(Rest)) {
    replicate();
    Upstream.IsPrimary = false;
  }
  return success(Session, "-", statusRow(Upstream));
}

std::string execute(upstream_session &Session, std::string Line,
                    std::unique_lock<std::mutex> &Lock) {
  std::string Id = popWord(Line);
  if (Line.starts_with("AFTER ")) {
    popWord(Line);
    std::string Text = popWord(Line);
    auto Dot = Text.find('.');
    position After{std::stoull(Text.substr(0, Dot)),
                   std::stoull(Text.substr(Dot + 1))};
    if (After.Number > 0 && appliedOf(Session.node()) < After)
      return failure(Session, "LAGGING");
  }
  std::string Rest = Line;
  std::string Verb = popWord(Rest);
  if (Verb == "READ" || Verb == "WRITE" || Verb == "EXEC")
    return executeData(Session, Id, Verb, Rest, Lock);
  if (Verb == "BEGIN" || Verb == "COMMIT" || Verb == "ROLLBACK")
    return executeTransactionVerb(Session, Id, Verb, Rest, Lock);
  if (Verb == "STATUS" || Verb == "PAUSE" || Verb == "RESUME" ||
      Verb == "DEMOTE")
    return executeOrder(Session, Verb, Rest);
  if (Verb == "PREPARE") {
    std::string Name = popWord(Rest);
    bool Writes = popWord(Rest) == "WRITE";
    Session.Prepared[Name] = {Writes, Rest};
  } else if (Verb == "RESET") {
    Session.Prepared.clear();
  } else if (Verb != "SET" && Verb != "DEALLOC") {
    return failure(Session, "MALFORMED");
  }
  return success(Session, Id);
}

void serveUpstreamSession(std::size_t Index, int Socket) {
  int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  line_reader Reader{Socket, ""};
  upstream_session Session;
  Session.Index = Index;
  bool IsStarted = false;
  while (auto Line = Reader.next()) {
    std::unique_lock Lock(World.Mutex);
    if (World.IsEnding || Session.node().IsGone)
      break;
    std::string Rest = *Line;
    std::string Word = popWord(Rest);
    std::string Answer;
    if (Word == "START") {
      bool IsService = popWord(Rest) == ServiceName;
      popWord(Rest);
      IsStarted = IsService && (Rest.empty() || Rest == Session.node().Id);
      Answer = IsStarted ? readyLine(Session)
                         : "ERR MISROUTED " + Session.node().Id + "\r\n";
    } else if (Word == "QUERY" && IsStarted) {
      Answer = execute(Session, Rest, Lock);
    } else {
      break;
    }
    if (std::exchange(Session.LosesAnswer, false)) {
      ++World.LostAnswers;
      Session.IsClosing = true;
      record("the answer is lost: " + Rest);
      continue;
    }
    bool IsClosing = Session.IsClosing;
    Lock.unlock();
    if (!sendAll(Socket, Answer) || !IsStarted)
      break;
    if (IsClosing) {
      sleepFor(milliseconds(50));
      break;
    }
  }
  close(Socket);
}

void runUpstream(std::size_t Index) {
  int Listener = openListener(World.Upstreams[Index].Address, UpstreamPort);
  while (!World.IsEnding) {
    int Socket = accept(Listener, nullptr, nullptr);
    if (Socket >= 0)
      std::thread(serveUpstreamSession, Index, Socket).detach();
  }
}

std::string heartbeatBody(const upstream &Upstream, bool HasBorn) {
  std::ostringstream Body;
  Body << R"({"service":")" << ServiceName << R"(","addr":")"
       << Upstream.Address << ":" << UpstreamPort << R"(","zone":")"
       << Upstream.Zone << R"(","version":"v1","capacity":3,"lifecycle":")"
       << (Upstream.IsLeaving ? "draining" : "ready")
       << R"(","cold_remaining_ms":0,"db_role":")"
       << (Upstream.IsPrimary ? "primary" : "replica") << R"(","sequence":)"
       << Upstream.Sequence;
  if (HasBorn)
    Body << R"(,"born":)" << Upstream.Born;
  Body << "}";
  return Body.str();
}

/// Sends a heartbeat, to the next machine if one does not acknowledge it.
bool sendHeartbeat(std::size_t Index, bool HasBorn) {
  static std::atomic<int> Next = 0;
  for (int Attempt = 0; Attempt < Machines; ++Attempt) {
    std::string Path;
    std::string Body;
    bool SaysLeaving = false;
    {
      std::lock_guard Lock(World.Mutex);
      auto &Upstream = World.Upstreams[Index];
      ++Upstream.Sequence;
      Path = "/Instances.Heartbeat/" + Upstream.Id;
      Body = heartbeatBody(Upstream, HasBorn);
      SaysLeaving = Upstream.IsLeaving;
    }
    auto Answer = callHttp(machine(1 + Next++ % Machines), ControlPort, "POST",
                           Path, Body);
    std::lock_guard Lock(World.Mutex);
    auto &Upstream = World.Upstreams[Index];
    record("heartbeat " + Upstream.Id + " " + Body + " -> " +
           std::to_string(Answer ? Answer->Status : 0));
    if (!Answer || Answer->Status / 100 != 2)
      continue;
    if (SaysLeaving && !Upstream.LeavingAcknowledgedAt)
      Upstream.LeavingAcknowledgedAt = steady::now();
    return true;
  }
  return false;
}

/// Sends an upstream's heartbeats from its start until it has left.
void runHeartbeats(std::size_t Index) {
  auto NextAt = steady::now();
  bool WasPrimary = false;
  bool WasLeaving = false;
  while (!World.IsEnding) {
    bool IsDue = steady::now() >= NextAt;
    {
      std::lock_guard Lock(World.Mutex);
      const auto &Upstream = World.Upstreams[Index];
      if (Upstream.IsGone)
        return;
      IsDue = IsDue || WasPrimary != Upstream.IsPrimary ||
              WasLeaving != Upstream.IsLeaving;
      WasPrimary = Upstream.IsPrimary;
      WasLeaving = Upstream.IsLeaving;
    }
    if (!IsDue) {
      sleepFor(milliseconds(10));
      continue;
    }
    NextAt = steady::now() + HeartbeatInterval;
    if (!sendHeartbeat(Index, true))
      NextAt = steady::now() + milliseconds(300);
  }
}

//===----------------------------------------------------------------------===//
// Platform
//===----------------------------------------------------------------------===//

std::string headerOf(const std::string &Request, const std::string &Name) {
  auto Found = Request.find(Name);
  if (Found == std::string::npos)
    return "";
  auto Start = Request.find_first_not_of(' ', Found + Name.size() + 1);
  return Request.substr(Start, Request.find("\r\n", Start) - Start);
}

void becomePrimary(std::size_t Index) {
  sleepFor(PromotionTime);
  std::lock_guard Lock(World.Mutex);
  auto &Chosen = World.Upstreams[Index];
  if (Chosen.IsPrimary || Chosen.IsGone)
    return;
  std::uint64_t Term = 0;
  for (auto &Upstream : World.Upstreams) {
    Term = std::max(Term, Upstream.Term);
    Upstream.IsPrimary = false;
    Upstream.PausedTerm = 0;
  }
  Chosen.IsPrimary = true;
  Chosen.Term = Term + 1;
  Chosen.Applied = Chosen.Log.size();
  record("promoted " + Chosen.Id + " to term " + std::to_string(Term + 1));
}

int handlePromotion(const std::string &Request) {
  std::uint64_t Token = 0;
  try {
    Token = std::stoull(headerOf(Request, "X-Teasellock-Fencing-Token"));
  } catch (const std::exception &) {
    return 400;
  }
  std::lock_guard Lock(World.Mutex);
  std::string Holder = headerOf(Request, "X-Teasellock-Duty-Holder");
  record("promote with token " + std::to_string(Token) + " by " + Holder + " " +
         Request.substr(Request.find("\r\n\r\n") + 4));
  if (Token < World.HighestToken)
    return 409;

  World.HighestToken = Token;
  for (std::size_t Index = 0; Index < World.Upstreams.size(); ++Index) {
    const auto &Upstream = World.Upstreams[Index];
    if (Request.find("\"" + Upstream.Id + "\"") == std::string::npos ||
        Upstream.IsGone)
      continue;
    if (!Upstream.IsPrimary)
      std::thread(becomePrimary, Index).detach();
    return 200;
  }
  return 409;
}

void runPlatform() {
  int Listener = openListener(machine(PlatformNumber), PlatformPort);
  while (!World.IsEnding) {
    int Socket = accept(Listener, nullptr, nullptr);
    if (Socket < 0)
      continue;
    std::string Request;
    char Part[4096];
    while (Request.find("}") == std::string::npos) {
      ssize_t Count = recv(Socket, Part, sizeof(Part), 0);
      if (Count <= 0)
        break;
      Request.append(Part, static_cast<std::size_t>(Count));
    }
    int Status = handlePromotion(Request);
    sendAll(Socket, "HTTP/1.1 " + std::to_string(Status) +
                        " x\r\nContent-Length: 2\r\nConnection: "
                        "close\r\n\r\n{}");
    close(Socket);
  }
}

//===----------------------------------------------------------------------===//
// Operator and callers
//===----------------------------------------------------------------------===//

std::string configuration() {
  std::ostringstream Body;
  Body << R"({"version":1,"routes":[)";
  const char *Kinds[] = {"primary", "bounded_staleness", "read_your_writes"};
  for (int Index = 0; Index < 3; ++Index)
    Body << (Index ? "," : "") << R"({"name":"r)" << Index << R"(","host":"db)"
         << Index << R"(","path_prefix":"/","route_kind":")" << Kinds[Index]
         << R"(","timeout_ms":1500,"target_latency_ms":800,"priority":1,)"
         << R"("service":")" << ServiceName
         << R"(","max_attempts":2,"max_staleness_ms":1500})";
  Body << R"(],"services":[{"name":")" << ServiceName
       << R"(","health_path":"/health","max_conns":34,"protocol":"h1",)"
       << R"("tls":false,"sync_replicas":1}],"limits":{"tx_idle_ms":3000}})";
  return Body.str();
}

bool deploy() {
  for (int Attempt = 0; Attempt < 100; ++Attempt) {
    auto Answer = callHttp(machine(1 + Attempt % Machines), ControlPort, "POST",
                           "/Config.Put", configuration());
    {
      std::lock_guard Lock(World.Mutex);
      record("configuration -> " + std::to_string(Answer ? Answer->Status : 0));
    }
    if (Answer && Answer->Status == 200)
      return true;
    sleepFor(milliseconds(200));
  }
  return false;
}

struct statement_answer {
  bool HasSucceeded = false;
  bool IsInDoubt = false;
  std::string Signature;
};

/// Returns nothing if the connection ended.
std::optional<statement_answer> ask(line_reader &Reader, const std::string &Id,
                                    const std::string &Text) {
  {
    std::lock_guard Lock(World.Mutex);
    record("sent " + Id + " " + Text);
    World.Sent.insert(Id);
  }
  if (!sendAll(Reader.Socket, "QUERY " + Id + " " + Text + "\r\n"))
    return std::nullopt;
  statement_answer Answer;
  std::string Whole;
  while (auto Line = Reader.next()) {
    Whole += *Line + " | ";
    if (Line->starts_with("DONE ")) {
      Answer.HasSucceeded = true;
      Answer.Signature = Line->substr(5);
    }
    if (!Line->starts_with("READY "))
      continue;
    std::lock_guard Lock(World.Mutex);
    record("answered " + Id + " " + Whole);
    if (!Answer.HasSucceeded)
      return Answer;
    ++World.Succeeded;

    if (!World.Signatures[Id].contains(Answer.Signature)) {
      World.Violations.push_back(
          "MIXED: " + Id + " succeeded with the signature " + Answer.Signature +
          ", which no upstream gave for it");
      record(World.Violations.back());
    }
    return Answer;
  }
  return std::nullopt;
}

/// Reads and writes on one session after the other until the case ends.
void runCaller(int Number) {
  int Route = World.Case == "lost-answer" ? 0 : 1 + Number % 2;
  std::string Database = "db" + std::to_string(Route);
  std::uint64_t Count = 0;
  while (!World.IsEnding) {
    int Socket =
        dial(machine(1 + Number % Machines), CallerPort, milliseconds(5000));
    if (Socket < 0) {
      sleepFor(milliseconds(100));
      continue;
    }
    line_reader Reader{Socket, ""};
    sendAll(Socket,
            "START " + Database + " u" + std::to_string(Number) + "\r\n");
    auto Ready = Reader.next();
    while (Ready && Ready->starts_with("READY") && !World.IsEnding) {
      std::string Id =
          "c" + std::to_string(Number) + "x" + std::to_string(++Count);
      bool Writes = Route != 1 && Count % 10 == 0;
      std::string Item = "i" + std::to_string(Count % 7);
      if (!ask(Reader, Id,
               Writes ? "WRITE " + Item + " " + Id : "READ " + Item))
        break;
      sleepFor(milliseconds(20));
    }
    close(Socket);
    sleepFor(milliseconds(50));
  }
}

//===----------------------------------------------------------------------===//
// Cases
//===----------------------------------------------------------------------===//

/// A replica drains. With trouble, another writer has sent one heartbeat in its
/// name before, in which a field is missing.
bool playForeignHeartbeat() {
  constexpr std::size_t Leaving = 1;
  sleepFor(milliseconds(3000));
  if (World.HasTrouble) {
    {
      std::lock_guard Lock(World.Mutex);
      record("another writer sends a heartbeat without the field born");
    }
    sendHeartbeat(Leaving, false);
  }
  sleepFor(milliseconds(3000));
  {
    std::lock_guard Lock(World.Mutex);
    World.Upstreams[Leaving].IsLeaving = true;
    record(World.Upstreams[Leaving].Id + " drains");
  }
  sleepFor(DrainBound + milliseconds(6000));
  std::string Path;
  std::string Body;
  {
    std::lock_guard Lock(World.Mutex);
    auto &Upstream = World.Upstreams[Leaving];
    if (!Upstream.LeavingAcknowledgedAt)
      return false;
    Path = "/Instances.Deregister/" + Upstream.Id;
    Body = heartbeatBody(Upstream, true);
  }
  callHttp(machine(1), ControlPort, "POST", Path, Body);
  std::lock_guard Lock(World.Mutex);
  World.Upstreams[Leaving].IsGone = true;
  return true;
}

/// The primary executes reads whose answers are lost, and closes their
/// connections a moment later.
bool playLostAnswer() {
  sleepFor(milliseconds(3000));
  for (int Round = 0; Round < 10; ++Round) {
    {
      std::lock_guard Lock(World.Mutex);
      World.LosesNextAnswer = World.HasTrouble;
    }
    sleepFor(milliseconds(400));
  }
  std::lock_guard Lock(World.Mutex);
  return !World.HasTrouble || World.LostAnswers > 0;
}

/// With trouble, another writer sends one heartbeat with the primary's fields.
/// Its id has a line end in it, and after that the text of a statement.
bool playUnreadableId() {
  sleepFor(milliseconds(3000));
  std::string Path;
  std::string Body;
  {
    std::lock_guard Lock(World.Mutex);
    const auto &Primary = World.Upstreams.front();
    Path = "/Instances.Heartbeat/" + Primary.Id +
           "%0D%0AQUERY%20forged%20WRITE%20i0%20forged";
    Body = heartbeatBody(Primary, true);
  }
  if (World.HasTrouble) {
    auto Answer = callHttp(machine(1), ControlPort, "POST", Path, Body);
    std::lock_guard Lock(World.Mutex);
    record("another writer's heartbeat " + Path + " -> " +
           std::to_string(Answer ? Answer->Status : 0));
  }
  sleepFor(milliseconds(6000));
  return true;
}

bool playCase() {
  if (World.Case == "unreadable-id")
    return playUnreadableId();
  if (World.Case == "foreign-heartbeat")
    return playForeignHeartbeat();
  return playLostAnswer();
}

int play() {
  const char *Zones[] = {"zone-a", "zone-b", "zone-c"};
  auto Born = std::chrono::duration_cast<milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
  for (int Index = 0; Index < UpstreamCount; ++Index) {
    upstream Upstream;
    Upstream.Id = "i-" + std::to_string(Index + 1) + "f3a91c2";
    Upstream.Address = machine(FirstUpstream + Index);
    Upstream.Zone = Zones[Index];
    if (Index == 2)
      Upstream.ReplicationDelay = FarDelay;
    Upstream.Born = Born + Index;
    Upstream.IsPrimary = Index == 0;
    // What the database held before.
    Upstream.Log.push_back(
        {{1, 1}, "", {{"i0", "first"}}, World.Start, World.Start});
    Upstream.Applied = 1;
    World.Upstreams.push_back(Upstream);
  }
  std::thread(runReplication).detach();
  std::thread(runPlatform).detach();
  for (std::size_t Index = 0; Index < World.Upstreams.size(); ++Index) {
    std::thread(runUpstream, Index).detach();
    std::thread(runHeartbeats, Index).detach();
  }
  if (!deploy())
    return 2;
  sleepFor(milliseconds(4000));
  for (int Number = 0; Number < 6; ++Number)
    std::thread(runCaller, Number).detach();
  bool HasRun = playCase();
  std::lock_guard Lock(World.Mutex);
  World.IsEnding = true;
  std::printf("case %s, trouble %d: %llu statements succeeded, %zu breaks\n",
              World.Case.c_str(), World.HasTrouble,
              static_cast<unsigned long long>(World.Succeeded),
              World.Violations.size());
  for (std::size_t Index = 0; Index < World.Violations.size() && Index < 3;
       ++Index)
    std::printf("%s\n", World.Violations[Index].c_str());
  std::fflush(stdout);
  World.Record.flush();
  constexpr std::uint64_t MinSucceeded = 200;
  if (!HasRun || World.Succeeded < MinSucceeded)
    return 2;
  return World.Violations.empty() ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  std::map<std::string, std::string> Flags;
  for (int Index = 1; Index + 1 < Count; Index += 2)
    Flags[Arguments[Index]] = Arguments[Index + 1];
  World.Case = Flags["--case"];
  World.Net = Flags["--net"];
  World.HasTrouble = Flags["--trouble"] != "0";

  World.Record.open(Flags["--record"]);
  if (World.Net.empty() || !World.Record)
    return 2;
  std::_Exit(play());
}
