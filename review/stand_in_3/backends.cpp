#include "backends.h"

#include <algorithm>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

std::string takeWord(std::string &Rest) {
  std::size_t End = std::min(Rest.find(' '), Rest.size());
  std::string Word = Rest.substr(0, End);
  Rest.erase(0, std::min(End + 1, Rest.size()));
  return Word;
}

log_position parsePosition(const std::string &Text) {
  std::size_t Dot = Text.find('.');
  return {std::stoull(Text.substr(0, Dot)), std::stoull(Text.substr(Dot + 1))};
}

std::uint64_t unixMilliseconds() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Now).count());
}

} // namespace

std::string log_position::text() const {
  if (Number == 0)
    return "-";
  return std::to_string(Term) + "." + std::to_string(Number);
}

/// A connection to a backend.
struct backend_group::session {
  int Socket;
  std::string Backend;
  std::uint64_t Born = 0;
  bool IsOpen = false;
  bool IsPlain = false;
  bool HasFailed = false;
  std::uint64_t Term = 0;
  std::vector<std::string> Ids;
  std::map<std::string, std::string> Items;
  std::map<std::string, std::string> Values;
  std::map<std::string, std::pair<bool, std::string>> Prepared;
};

backend_group::backend_group(recorder &Record, group_options Options)
    : Record(Record), Options(std::move(Options)), LastBorn(unixMilliseconds()),
      Replicator([this] { replicate(); }) {}

backend_group::~backend_group() {
  {
    std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  for (const auto &[Id, Backend] : Backends)
    crash(Id);
  Changed.notify_all();
  Replicator.join();
  // Threads of connections end with their sockets.
  std::this_thread::sleep_for(milliseconds(200));
}

//===----------------------------------------------------------------------===//
// Life of a backend
//===----------------------------------------------------------------------===//

void backend_group::add(const std::string &Id, const endpoint &Address,
                        const std::string &Zone) {
  {
    std::lock_guard Lock(Mutex);
    auto &Backend = Backends[Id];
    Backend = std::make_unique<backend>();
    Backend->Id = Id;
    Backend->Address = Address;
    Backend->Zone = Zone;
    Backend->IsPrimary = Backends.size() == 1;
    Backend->Term = NewestTerm;
  }
  start(Id, true);
}

void backend_group::start(const std::string &Id, bool KeepsLog) {
  std::lock_guard Lock(Mutex);
  auto &Backend = *Backends.at(Id);
  if (Backend.IsRunning)
    return;
  if (!KeepsLog) {
    Backend.Log.clear();
    Backend.Applied = 0;
    Backend.IsPrimary = false;
    Backend.Term = NewestTerm;
  }
  LastBorn = std::max(LastBorn + 1, unixMilliseconds());
  Backend.Born = LastBorn;
  Backend.Sequence = 0;
  Backend.IsPaused = false;
  Backend.HeldTerm = 0;
  Backend.Listener = listenOn(Backend.Address);
  Backend.IsRunning = Backend.Listener >= 0;
  Record.write("backend " + Id + " starts at " + Backend.Address.text() +
               " born " + std::to_string(Backend.Born) + " with " +
               std::to_string(Backend.Log.size()) + " commits" +
               (Backend.IsPrimary ? " as primary" : " as replica"));
  if (Backend.Acceptor.joinable())
    Backend.Acceptor.join();
  Backend.Acceptor = std::thread(
      [this, Id, Listener = Backend.Listener] { accept(Id, Listener); });
}

void backend_group::closeSockets(backend &Backend) {
  for (int Socket : Backend.Sockets)
    ::shutdown(Socket, SHUT_RDWR);
}

void backend_group::crash(const std::string &Id) {
  std::thread Ended;
  {
    std::lock_guard Lock(Mutex);
    auto &Backend = *Backends.at(Id);
    if (!Backend.IsRunning)
      return;
    Record.write("backend " + Id + " ends" +
                 (Backend.IsPrimary ? " (primary)" : " (replica)"));
    Backend.IsRunning = false;
    ::shutdown(Backend.Listener, SHUT_RDWR);
    closeSockets(Backend);
    Ended = std::move(Backend.Acceptor);
  }
  Changed.notify_all();
  Ended.join();
}

void backend_group::setLeaving(const std::string &Id) {
  std::lock_guard Lock(Mutex);
  Backends.at(Id)->IsLeaving = true;
  Record.write("backend " + Id + " is draining");
}

void backend_group::cutReplication(const std::string &Id, bool Cut) {
  std::lock_guard Lock(Mutex);
  Backends.at(Id)->IsCutFromOthers = Cut;
  Record.write("backend " + Id +
               (Cut ? " is cut from the other backends"
                    : " reaches the other backends again"));
}

void backend_group::setFilter(
    std::function<bool(const std::string &, int)> NewFilter) {
  std::lock_guard Lock(Mutex);
  Filter = std::move(NewFilter);
}

void backend_group::forEachSocket(const std::string &Id,
                                  const std::function<void(int)> &Visit) {
  std::lock_guard Lock(Mutex);
  for (int Socket : Backends.at(Id)->Sockets)
    Visit(Socket);
}

void backend_group::accept(std::string Id, int Listener) {
  for (;;) {
    int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      break;
    std::lock_guard Lock(Mutex);
    Backends.at(Id)->Sockets.insert(Socket);
    std::thread([this, Id, Socket] { serve(Id, Socket); }).detach();
  }
  ::close(Listener);
}

//===----------------------------------------------------------------------===//
// Replication and promotion
//===----------------------------------------------------------------------===//

backend *backend_group::findPrimary() {
  for (auto &[Id, Backend] : Backends)
    if (Backend->IsPrimary)
      return Backend.get();
  return nullptr;
}

void backend_group::copyLog(backend &Replica, const backend &Primary) {
  std::size_t Same = std::min(Replica.Log.size(), Primary.Log.size());
  while (Same > 0 &&
         Replica.Log[Same - 1].Unique != Primary.Log[Same - 1].Unique)
    --Same;
  Replica.Log.resize(Same);
  Replica.Applied = std::min(Replica.Applied, Same);
  Replica.Term = Primary.Term;
  for (std::size_t Index = Same; Index < Primary.Log.size(); ++Index) {
    Replica.Log.push_back(Primary.Log[Index]);
    Replica.Log.back().ReceivedAt = steady::now();
  }
}

void backend_group::replicate() {
  std::unique_lock Lock(Mutex);
  while (!Stopping) {
    backend *Primary = findPrimary();
    bool Sends = Primary && Primary->IsRunning && !Primary->IsCutFromOthers;
    for (auto &[Id, Backend] : Backends) {
      if (Backend->IsPrimary || !Backend->IsRunning)
        continue;
      if (Sends && !Backend->IsPaused && !Backend->IsCutFromOthers)
        copyLog(*Backend, *Primary);
      while (Backend->Applied < Backend->Log.size() &&
             Backend->Log[Backend->Applied].ReceivedAt + Options.Lag <=
                 steady::now())
        ++Backend->Applied;
    }
    std::vector<order> Due;
    std::erase_if(Orders, [&](const order &Order) {
      bool IsDue = Order.At <= steady::now();
      if (IsDue)
        Due.push_back(Order);
      return IsDue;
    });
    for (const auto &Order : Due)
      takeLead(Order);
    Changed.notify_all();
    Lock.unlock();
    for (const auto &Order : Due)
      if (OnLead)
        OnLead(Order.Id);
    std::this_thread::sleep_for(milliseconds(2));
    Lock.lock();
  }
}

void backend_group::takeLead(const order &Order) {
  auto &Backend = *Backends.at(Order.Id);
  if (!Backend.IsRunning || Backend.Born != Order.Born) {
    Record.write("the promotion of " + Order.Id +
                 " has no effect: the process has ended");
    return;
  }
  if (Backend.IsPrimary)
    return;
  ++NewestTerm;
  ++Promotions;
  for (auto &[Id, Other] : Backends) {
    Other->IsPaused = false;
    if (Other->IsPrimary)
      Record.write("backend " + Id + " loses the lead with " +
                   std::to_string(Other->Log.size()) + " commits");
    Other->IsPrimary = false;
  }
  Backend.IsPrimary = true;
  Backend.Term = NewestTerm;
  Backend.Applied = Backend.Log.size();
  Record.write("backend " + Order.Id + " leads term " +
               std::to_string(NewestTerm) + " with " +
               std::to_string(Backend.Log.size()) + " commits");
}

int backend_group::promote(const std::string &Id, std::uint64_t Token) {
  {
    std::lock_guard Lock(Mutex);
    auto Found = Backends.find(Id);
    if (Token < HighestToken || Found == Backends.end() ||
        !Found->second->IsRunning)
      return 409;
    HighestToken = Token;
    if (Found->second->IsPrimary)
      return 200;
    Orders.push_back(
        {Id, Found->second->Born, steady::now() + Options.PromoteTime});
  }
  if (OnOrder)
    OnOrder(Id);
  return 200;
}

//===----------------------------------------------------------------------===//
// Queries by the test
//===----------------------------------------------------------------------===//

std::string backend_group::primary() {
  std::lock_guard Lock(Mutex);
  auto *Primary = findPrimary();
  return Primary ? Primary->Id : "";
}

std::vector<std::string> backend_group::running() {
  std::lock_guard Lock(Mutex);
  std::vector<std::string> Ids;
  for (const auto &[Id, Backend] : Backends)
    if (Backend->IsRunning)
      Ids.push_back(Id);
  return Ids;
}

bool backend_group::isRunning(const std::string &Id) {
  std::lock_guard Lock(Mutex);
  return Backends.at(Id)->IsRunning;
}

std::string backend_group::heartbeatOf(const std::string &Id) {
  std::lock_guard Lock(Mutex);
  auto &Backend = *Backends.at(Id);
  std::ostringstream Body;
  Body << "{\"service\":\"" << Options.Service << "\",\"addr\":\""
       << Backend.Address.text() << "\",\"zone\":\"" << Backend.Zone
       << "\",\"version\":\"v1\",\"capacity\":3,\"lifecycle\":\""
       << (Backend.IsLeaving ? "draining" : "ready")
       << "\",\"cold_remaining_ms\":0,\"db_role\":\""
       << (Backend.IsPrimary ? "primary" : "replica")
       << "\",\"sequence\":" << ++Backend.Sequence
       << ",\"born\":" << Backend.Born << "}";
  return Body.str();
}

std::string backend_group::describe() {
  std::lock_guard Lock(Mutex);
  std::string Text;
  for (const auto &[Id, Backend] : Backends)
    Text += Id + (Backend->IsRunning ? "" : " (ended)") +
            (Backend->IsPrimary ? " leads" : "") +
            (Backend->IsPaused ? " paused" : "") + " term " +
            std::to_string(Backend->Term) + " log " +
            std::to_string(Backend->Log.size()) + "; ";
  return Text;
}

bool backend_group::primaryHas(const std::string &StatementId) {
  std::lock_guard Lock(Mutex);
  auto *Primary = findPrimary();
  return Primary &&
         std::any_of(Primary->Log.begin(), Primary->Log.end(),
                     [&](const log_entry &Entry) {
                       return std::count(Entry.Ids.begin(), Entry.Ids.end(),
                                         StatementId) > 0;
                     });
}

statement_runs backend_group::runsOf(const std::string &StatementId) {
  std::lock_guard Lock(Mutex);
  return Statements[StatementId];
}

std::uint64_t backend_group::promotions() {
  std::lock_guard Lock(Mutex);
  return Promotions;
}

//===----------------------------------------------------------------------===//
// Sessions
//===----------------------------------------------------------------------===//

std::string backend_group::ready(const session &Session,
                                 const backend &Backend) const {
  char State = Session.HasFailed ? 'E' : Session.IsOpen ? 'T' : 'I';
  log_position Position;
  if (Backend.Applied > 0)
    Position = Backend.Log[Backend.Applied - 1].Position;
  return std::string("READY ") + State + " " + Position.text() + "\r\n";
}

std::string backend_group::statusRow(const backend &Backend) const {
  log_position Received;
  if (!Backend.Log.empty())
    Received = Backend.Log.back().Position;
  std::ostringstream Row;
  Row << "ROW " << (Backend.IsPrimary ? "primary " : "replica ") << Backend.Term
      << " " << Received.text() << " " << Backend.HeldTerm << " 0 0 "
      << Backend.Sockets.size() << "\r\n";
  return Row.str();
}

void backend_group::serve(const std::string &Id, int Socket) {
  session Session;
  Session.Socket = Socket;
  Session.Backend = Id;
  line_reader Reader(Socket);
  bool Started = false;
  while (auto Line = Reader.next(milliseconds(-1))) {
    std::function<bool(const std::string &, int)> Serves;
    {
      std::lock_guard Lock(Mutex);
      Serves = Filter;
    }
    if (Serves && !Serves(Id, Socket))
      continue;
    if (Started) {
      if (!Line->starts_with("QUERY ") || !handleQuery(Session, *Line))
        break;
      continue;
    }
    std::string Rest = *Line;
    std::string Verb = takeWord(Rest);
    std::string Service = takeWord(Rest);
    takeWord(Rest);
    std::string Out;
    {
      std::lock_guard Lock(Mutex);
      auto &Backend = *Backends.at(Id);
      Session.Born = Backend.Born;
      Started = Verb == "START" && Service == Options.Service &&
                (Rest.empty() || Rest == Id);
      if (!Started)
        Out = "ERR MISROUTED other\r\n";
      else if (Backend.Sockets.size() > Options.MaxConnections) {
        Started = false;
        Out = "ERR TOOMANY full\r\n";
      } else {
        Out = ready(Session, Backend);
      }
    }
    if (!sendAll(Socket, Out) || !Started)
      break;
  }
  std::lock_guard Lock(Mutex);
  Backends.at(Id)->Sockets.erase(Socket);
  ::close(Socket);
}

/// Runs one query and answers it. Returns false if the connection is to be
/// closed without an answer.
bool backend_group::handleQuery(session &Session, const std::string &Line) {
  std::string Rest = Line.substr(6);
  std::string Id = takeWord(Rest);
  std::optional<log_position> After;
  if (Rest.starts_with("AFTER ")) {
    takeWord(Rest);
    After = parsePosition(takeWord(Rest));
  }
  std::string Text = Rest;
  std::string Verb = takeWord(Rest);
  bool IsWork =
      Verb == "READ" || Verb == "WRITE" || Verb == "EXEC" || Verb == "COMMIT";
  if (IsWork)
    std::this_thread::sleep_for(Options.Work);
  std::unique_lock Lock(Mutex);
  auto &Backend = *Backends.at(Session.Backend);
  if (!Backend.IsRunning || Backend.Born != Session.Born)
    return false;
  std::string Rows;
  std::string Signature = "-";
  auto Finish = [&](const std::string &Code) {
    std::string Out = Rows;
    if (Code.empty())
      Out += "DONE " + Signature + "\r\n";
    else
      Out = "ERR " + Code + " " + Session.Backend + "\r\n";
    if (!Code.empty() && Session.IsOpen)
      Session.HasFailed = true;
    Out += ready(Session, Backend);
    if (Id != "-")
      Record.write(Session.Backend + " ran " + Id + " " + Text + " -> " +
                   (Code.empty() ? "DONE" : Code));
    Lock.unlock();
    return sendAll(Session.Socket, Out);
  };
  auto Sign = [&] {
    Signature = "sig" + std::to_string(++LastSignature) + "." + Id;
  };
  auto End = [&] {
    Session.IsOpen = false;
    Session.HasFailed = false;
    Session.Ids.clear();
    Session.Items.clear();
  };
  bool HasLead = Backend.IsPrimary && Backend.Term == Session.Term;
  bool HasLostLead = Session.IsOpen && Session.IsPlain && !HasLead;
  if (Verb == "STATUS" || Verb == "PAUSE" || Verb == "RESUME" ||
      Verb == "DEMOTE") {
    if (Verb != "STATUS")
      Record.write(Session.Backend + " is told " + Text);
    std::uint64_t Term = Rest.empty() ? 0 : std::stoull(Rest);
    if (Verb == "PAUSE" && !Backend.IsPrimary && Term > NewestTerm) {
      Backend.HeldTerm = std::max(Backend.HeldTerm, Term);
      Backend.IsPaused = true;
    }
    if (Verb == "RESUME") {
      Backend.IsPaused = false;
      Backend.HeldTerm = 0;
    }
    if (Verb == "DEMOTE" && Backend.IsPrimary && Term > Backend.Term) {
      // What it has sent still arrives.
      for (auto &[Name, Other] : Backends)
        if (!Other->IsPrimary && Other->IsRunning && !Other->IsPaused &&
            !Other->IsCutFromOthers && !Backend.IsCutFromOthers)
          copyLog(*Other, Backend);
      Backend.IsPrimary = false;
      Record.write("backend " + Session.Backend + " is demoted with " +
                   std::to_string(Backend.Log.size()) + " commits");
      Changed.notify_all();
    }
    Rows = statusRow(Backend);
    return Finish("");
  }
  if (Verb == "ROLLBACK") {
    End();
    return Finish("");
  }
  if (Verb == "COMMIT") {
    if (!Session.IsOpen || Session.HasFailed) {
      End();
      return Finish("ABORTED");
    }
    if (!Session.Ids.empty() && !HasLead) {
      End();
      return Finish("READONLY");
    }
  } else if (Session.HasFailed) {
    return Finish("MALFORMED");
  } else if (HasLostLead) {
    return Finish("READONLY");
  }
  if (Verb == "RESET") {
    Session.Values.clear();
    Session.Prepared.clear();
    return Finish("");
  }
  if (Verb == "SET") {
    std::string Name = takeWord(Rest);
    Session.Values[Name] = Rest;
    return Finish("");
  }
  if (Verb == "PREPARE") {
    std::string Name = takeWord(Rest);
    bool Writes = takeWord(Rest) == "WRITE";
    Session.Prepared[Name] = {Writes, Rest};
    return Finish("");
  }
  if (Verb == "DEALLOC") {
    Session.Prepared.erase(Rest);
    return Finish("");
  }
  if (After && (Backend.Applied == 0 ||
                Backend.Log[Backend.Applied - 1].Position < *After))
    return Finish("LAGGING");
  if (Verb == "BEGIN") {
    bool Plain = Rest.empty();
    if (Session.IsOpen)
      return Finish("MALFORMED");
    if (Plain && !Backend.IsPrimary)
      return Finish("READONLY");
    Session.IsOpen = true;
    Session.IsPlain = Plain;
    Session.Term = Backend.Term;
    return Finish("");
  }
  bool Writes = Verb == "WRITE";
  if (Verb == "EXEC") {
    auto Prepared = Session.Prepared.find(takeWord(Rest));
    if (Prepared == Session.Prepared.end())
      return Finish("NOSTMT");
    Writes = Prepared->second.first;
  }
  if (Verb == "READ" || (Verb == "EXEC" && !Writes)) {
    std::string Item = takeWord(Rest);
    std::string Value = "none";
    for (std::size_t Index = 0; Index < Backend.Applied; ++Index)
      if (auto Found = Backend.Log[Index].Items.find(Item);
          Found != Backend.Log[Index].Items.end())
        Value = Found->second;
    if (auto Own = Session.Items.find(Item); Own != Session.Items.end())
      Value = Own->second;
    ++Statements[Id].Runs;
    Rows = "ROW " + Value + "\r\n";
    Sign();
    return Finish("");
  }
  if (Writes) {
    if (!Backend.IsPrimary)
      return Finish("READONLY");
    ++Statements[Id].Runs;
    std::string Item = takeWord(Rest);
    Session.Ids.push_back(Id);
    Session.Items[Item] = Rest;
    Sign();
    if (Session.IsOpen)
      return Finish("");
  } else if (Verb == "COMMIT") {
    Sign();
    if (Session.Ids.empty()) {
      End();
      return Finish("");
    }
  } else {
    return Finish("MALFORMED");
  }
  log_entry Entry;
  Entry.Position = {Backend.Term, Backend.Log.size() + 1};
  Entry.Unique = ++LastUnique;
  Entry.Ids = Session.Ids;
  Entry.Items = Session.Items;
  Entry.ReceivedAt = steady::now();
  std::size_t Place = Backend.Log.size();
  std::uint64_t Unique = Entry.Unique;
  std::uint64_t Term = Backend.Term;
  for (const auto &Written : Entry.Ids)
    ++Statements[Written].Commits;
  Backend.Log.push_back(std::move(Entry));
  Backend.Applied = Backend.Log.size();
  End();
  auto IsReceived = [&] {
    return std::any_of(Backends.begin(), Backends.end(), [&](const auto &Item) {
      const auto &Other = *Item.second;
      return &Other != &Backend && Other.IsRunning &&
             Other.Log.size() > Place && Other.Log[Place].Unique == Unique;
    });
  };
  auto HasEnded = [&] {
    return Stopping || !Backend.IsRunning || Backend.Born != Session.Born ||
           !Backend.IsPrimary || Backend.Term != Term;
  };
  Changed.wait(Lock, [&] { return HasEnded() || IsReceived(); });
  // A primary that has ended or lost the lead confirms nothing more.
  if (!IsReceived() || Stopping || !Backend.IsRunning ||
      Backend.Born != Session.Born)
    return false;
  return Finish("");
}

} // namespace review
