/// A service of one primary and its replicas, as the users' pages describe it:
/// the wire protocol for statements, a replicated log, PAUSE, RESUME, DEMOTE,
/// promotions, and heartbeats.
#pragma once

#include "record.h"
#include "sockets.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

struct commit_entry {
  std::uint64_t Term = 0;
  std::uint64_t Number = 0;
  /// Tells apart entries that different primaries wrote under one number.
  std::uint64_t Unique = 0;
  /// The clients' ids of the writes.
  std::vector<std::string> Writes;
  std::map<std::string, std::string> Items;
};

struct backend {
  std::string Id;
  std::string Zone;
  /// Where it listens, and the address that its heartbeats name.
  address Listen;
  address Announced;
  int Listener = -1;
  bool IsRunning = false;
  bool IsPrimary = false;
  bool IsPaused = false;
  bool IsDraining = false;
  /// Starts only when startBackend() is called, as a new replica.
  bool StartsLater = false;
  std::uint64_t Term = 1;
  std::uint64_t PauseTerm = 0;
  /// Counts its starts.
  std::uint64_t Run = 0;
  std::int64_t Born = 0;
  std::uint64_t Sequence = 0;
  std::vector<commit_entry> Log;
  std::vector<clock_type::time_point> ReceivedAt;
  std::size_t Applied = 0;
  std::set<int> Sockets;
  int BusySlots = 0;
  int WaitingForSlot = 0;
};

/// What ran: for the checks after the run.
struct execution {
  std::string Backend;
  std::string Id;
  std::string Text;
  bool InTransaction = false;
  /// The session values in force.
  std::map<std::string, std::string> Values;
};

struct service_settings {
  std::string Name;
  int MaxConnections = 24;
  int Slots = 3;
  int Queue = 24;
  int HandshakeMs = 12;
  int WorkMs = 18;
  int ApplyLagMs = 20;
  int PromoteMs = 600;
  int HeartbeatMs = 1200;
};

class service {
public:
  service(run_record &Record, service_settings Given)
      : Record(Record), Settings(std::move(Given)) {}
  ~service() { stop(); }

  /// Adds a backend; the first one is the primary. Call before start().
  void add(const std::string &Zone, const address &Listen,
           const address &Announced, bool StartsLater = false) {
    auto Added = std::make_unique<backend>();
    Added->Id = idOf(Backends.size(), 1);
    Added->Zone = Zone;
    Added->Listen = Listen;
    Added->Announced = Announced;
    Added->IsPrimary = Backends.empty();
    Added->StartsLater = StartsLater;
    commit_entry First;
    First.Term = 1;
    First.Number = 1;
    Added->Log.push_back(First);
    Added->ReceivedAt.push_back(clock_type::now());
    Backends.push_back(std::move(Added));
  }

  bool start(const std::vector<address> &ControlAddresses) {
    Control = ControlAddresses;
    for (std::size_t Index = 0; Index < Backends.size(); ++Index)
      if (!Backends[Index]->StartsLater && !startBackend(Index))
        return false;
    Threads.emplace_back([this] { replicate(); });
    for (std::size_t Index = 0; Index < Backends.size(); ++Index)
      Threads.emplace_back([this, Index] { sendHeartbeats(Index); });
    return true;
  }

  void stop() {
    {
      std::lock_guard Lock(Mutex);
      if (Stopping)
        return;
      Stopping = true;
      for (auto &Backend : Backends)
        closeSockets(*Backend);
    }
    Changed.notify_all();
    for (auto &Thread : Threads)
      Thread.join();
    while (Connections > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }

  /// The process ends: its connections are reset, its log stays.
  void crash(std::size_t Index) {
    std::lock_guard Lock(Mutex);
    auto &Backend = *Backends[Index];
    Record.write(Backend.Id + " crashes");
    Backend.IsRunning = false;
    closeSockets(Backend);
    Changed.notify_all();
  }

  /// Starts it again after a crash. It comes back with its log; a primary that
  /// was replaced comes back as a replica.
  bool startBackend(std::size_t Index) {
    std::lock_guard Lock(Mutex);
    auto &Backend = *Backends[Index];
    Backend.Listener = listenOn(Backend.Listen);
    if (Backend.Listener < 0)
      return false;
    Backend.IsRunning = true;
    Backend.IsPaused = false;
    Backend.PauseTerm = 0;
    Backend.BusySlots = 0;
    Backend.WaitingForSlot = 0;
    Backend.Id = idOf(Index, ++Backend.Run);
    Backend.Born = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
    Backend.Sequence = 0;
    Backend.Applied = Backend.Log.size();
    Record.write(Backend.Id + " starts as " +
                 (Backend.IsPrimary ? "primary" : "replica"));
    Acceptors.emplace_back(
        [this, Index, Listener = Backend.Listener, Run = Backend.Run] {
          accept(Index, Listener, Run);
        });
    Acceptors.back().detach();
    Changed.notify_all();
    return true;
  }

  /// Reports from now on that the backend leaves.
  void drain(std::size_t Index) {
    std::lock_guard Lock(Mutex);
    Backends[Index]->IsDraining = true;
    Record.write(Backends[Index]->Id + " is draining");
    Changed.notify_all();
  }

  bool isRunning(const std::string &Id) {
    std::lock_guard Lock(Mutex);
    for (auto &Backend : Backends)
      if (Backend->Id == Id)
        return Backend->IsRunning;
    return false;
  }

  /// Carries out a promotion after the time that it takes. Reports false if
  /// the backend isn't running.
  bool promote(const std::string &Id) {
    if (!isRunning(Id))
      return false;
    std::thread([this, Id] {
      std::this_thread::sleep_for(
          std::chrono::milliseconds(Settings.PromoteMs));
      becomePrimary(Id);
    }).detach();
    return true;
  }

  /// Ids of the writes in the log of a backend.
  std::set<std::string> writesOf(std::size_t Index) {
    std::lock_guard Lock(Mutex);
    std::set<std::string> Result;
    for (const auto &Entry : Backends[Index]->Log)
      Result.insert(Entry.Writes.begin(), Entry.Writes.end());
    return Result;
  }

  std::vector<execution> executions() {
    std::lock_guard Lock(Mutex);
    return Executions;
  }

  /// Number of open transactions of a backend's connections.
  int openTransactions() {
    std::lock_guard Lock(Mutex);
    return OpenTransactions;
  }

  const std::string &name() const { return Settings.Name; }

  /// Called with the id when a backend has become primary, and the ids of the
  /// writes that its log holds at that moment.
  std::function<void(const std::string &, const std::set<std::string> &)>
      OnPromoted;

private:
  struct session {
    int Socket = -1;
    bool InTransaction = false;
    bool IsPlain = false;
    bool Failed = false;
    std::uint64_t Term = 0;
    std::map<std::string, std::string> Values;
    std::map<std::string, std::pair<bool, std::string>> Prepared;
    std::vector<std::string> Writes;
    std::map<std::string, std::string> Items;
  };

  using lock_type = std::unique_lock<std::mutex>;

  /// A backend that comes back with its log after a crash has a new id at its
  /// old address.
  static std::string idOf(std::size_t Index, std::uint64_t Run) {
    return "i-" + std::to_string(9 - Run) + "0" + std::to_string(Index + 1);
  }

  void closeSockets(backend &Backend) {
    if (Backend.Listener >= 0) {
      ::shutdown(Backend.Listener, SHUT_RDWR);
      ::close(Backend.Listener);
      Backend.Listener = -1;
    }
    linger Reset = {1, 0};
    for (int Socket : Backend.Sockets) {
      ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
      ::shutdown(Socket, SHUT_RDWR);
    }
  }

  bool isCurrent(const backend &Backend, std::uint64_t Run) const {
    return !Stopping && Backend.IsRunning && Backend.Run == Run;
  }

  void accept(std::size_t Index, int Listener, std::uint64_t Run) {
    for (;;) {
      int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        return;
      int Enable = 1;
      ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof(Enable));
      ++Connections;
      std::thread([this, Index, Socket, Run] {
        serve(Index, Socket, Run);
        {
          std::lock_guard Lock(Mutex);
          Backends[Index]->Sockets.erase(Socket);
          ::close(Socket);
        }
        --Connections;
      }).detach();
    }
  }

  void serve(std::size_t Index, int Socket, std::uint64_t Run) {
    auto &Backend = *Backends[Index];
    session Session;
    Session.Socket = Socket;
    socket_reader Reader(Socket);
    {
      std::lock_guard Lock(Mutex);
      if (!isCurrent(Backend, Run))
        return;
      Backend.Sockets.insert(Socket);
    }
    auto Start = Reader.readLine(-1);
    if (!Start || !acceptStart(Backend, Session, *Start, Run))
      return;
    for (;;) {
      auto Line = Reader.readLine(-1);
      if (!Line || !Line->starts_with("QUERY "))
        break;
      std::string Reply;
      {
        lock_type Lock(Mutex);
        if (!isCurrent(Backend, Run))
          break;
        if (!handleQuery(Backend, Session, Line->substr(6), Run, Lock, Reply))
          break;
        Reply += ready(Backend, Session);
      }
      if (!sendAll(Socket, Reply))
        break;
    }
    std::lock_guard Lock(Mutex);
    OpenTransactions -= Session.InTransaction;
  }

  bool acceptStart(backend &Backend, session &Session, const std::string &Line,
                   std::uint64_t Run) {
    std::istringstream In(Line);
    std::string Word;
    std::string Service;
    std::string User;
    std::string Id;
    In >> Word >> Service >> User >> Id;
    std::string Refusal;
    {
      lock_type Lock(Mutex);
      bool Misrouted =
          Service != Settings.Name || (!Id.empty() && Id != Backend.Id);
      if (Word != "START" || Misrouted)
        Refusal = "ERR MISROUTED " + Backend.Id + "\r\n";
      else if (static_cast<int>(Backend.Sockets.size()) >
               Settings.MaxConnections)
        Refusal = "ERR TOOMANY full\r\n";
      else if (!takeSlot(Backend, Run, Settings.HandshakeMs, Lock))
        return false;
    }
    if (!Refusal.empty()) {
      sendAll(Session.Socket, Refusal);
      return false;
    }
    std::string Reply;
    {
      std::lock_guard Lock(Mutex);
      Reply = ready(Backend, Session);
    }
    return sendAll(Session.Socket, Reply);
  }

  /// Occupies a slot for some time. Reports false if the process has ended.
  bool takeSlot(backend &Backend, std::uint64_t Run, int Milliseconds,
                lock_type &Lock) {
    ++Backend.WaitingForSlot;
    Changed.wait(Lock, [&] {
      return !isCurrent(Backend, Run) || Backend.BusySlots < Settings.Slots;
    });
    if (!isCurrent(Backend, Run))
      return false;
    --Backend.WaitingForSlot;
    ++Backend.BusySlots;
    Lock.unlock();
    std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
    Lock.lock();
    if (!isCurrent(Backend, Run))
      return false;
    --Backend.BusySlots;
    Changed.notify_all();
    return true;
  }

  std::string ready(const backend &Backend, const session &Session) const {
    char State = Session.Failed ? 'E' : Session.InTransaction ? 'T' : 'I';
    return std::string("READY ") + State + " " +
           positionText(Backend.Log, Backend.Applied) + "\r\n";
  }

  static std::string positionText(const std::vector<commit_entry> &Log,
                                  std::size_t Count) {
    if (Count == 0 || Log.empty())
      return "-";
    const auto &Last = Log[std::min(Count, Log.size()) - 1];
    return std::to_string(Last.Term) + "." + std::to_string(Last.Number);
  }

  std::string fail(session &Session, const std::string &Code) const {
    if (Session.InTransaction)
      Session.Failed = true;
    return "ERR " + Code + " stand-in\r\n";
  }

  void endTransaction(session &Session) {
    OpenTransactions -= Session.InTransaction;
    Session.InTransaction = false;
    Session.Failed = false;
    Session.Writes.clear();
    Session.Items.clear();
  }

  std::string status(const backend &Backend) const {
    return std::string("ROW ") + (Backend.IsPrimary ? "primary " : "replica ") +
           std::to_string(Backend.Term) + " " +
           positionText(Backend.Log, Backend.Log.size()) + " " +
           std::to_string(Backend.PauseTerm) + " 0 " +
           std::to_string(Backend.BusySlots) + " " +
           std::to_string(Backend.Sockets.size()) + "\r\nDONE -\r\n";
  }

  /// Whether a plain transaction's backend has lost the lead.
  bool hasLostLead(const backend &Backend, const session &Session) const {
    return Session.InTransaction && Session.IsPlain &&
           (!Backend.IsPrimary || Backend.Term != Session.Term);
  }

  /// Reports false if the connection is to be closed without an answer.
  bool handleQuery(backend &Backend, session &Session, const std::string &Query,
                   std::uint64_t Run, lock_type &Lock, std::string &Reply) {
    std::size_t Blank = Query.find(' ');
    std::string Id = Query.substr(0, Blank);
    std::string Text =
        Blank == std::string::npos ? "" : Query.substr(Blank + 1);
    std::istringstream In(Text);
    std::vector<std::string> Words;
    for (std::string Word; In >> Word;)
      Words.push_back(Word);
    std::string Verb = Words.empty() ? "" : Words[0];
    if (Verb == "ROLLBACK") {
      endTransaction(Session);
      Reply = "DONE -\r\n";
      return true;
    }
    if (Verb == "COMMIT")
      return commit(Backend, Session, Id, Run, Lock, Reply);
    if (Session.Failed) {
      Reply = fail(Session, "MALFORMED");
      return true;
    }
    // Any statement of a plain transaction whose backend has lost the lead.
    if (hasLostLead(Backend, Session)) {
      Record.write(Backend.Id + " answers READONLY to " + Id + " " + Text);
      Reply = fail(Session, "READONLY");
      return true;
    }
    if (Verb == "SET" && Words.size() >= 3) {
      Session.Values[Words[1]] = Text.substr(5 + Words[1].size());
      Reply = "DONE -\r\n";
    } else if (Verb == "RESET") {
      Session.Values.clear();
      Session.Prepared.clear();
      Reply = "DONE -\r\n";
    } else if (Verb == "PREPARE" && Words.size() >= 4) {
      Session.Prepared[Words[1]] = {Words[2] == "WRITE", Words[3]};
      Reply = "DONE -\r\n";
    } else if (Verb == "DEALLOC" && Words.size() >= 2) {
      Session.Prepared.erase(Words[1]);
      Reply = "DONE -\r\n";
    } else if (Verb == "STATUS" || Verb == "PAUSE" || Verb == "DEMOTE" ||
               Verb == "RESUME") {
      Reply = control(Backend, Words);
    } else {
      return handleSlotted(Backend, Session, Id, Text, Words, Run, Lock, Reply);
    }
    return true;
  }

  std::string control(backend &Backend, const std::vector<std::string> &Words) {
    std::uint64_t Term = Words.size() > 1 ? std::stoull(Words[1]) : 0;
    if (Words[0] == "PAUSE" && !Backend.IsPrimary && Term > NewestTerm) {
      Backend.IsPaused = true;
      Backend.PauseTerm = std::max(Backend.PauseTerm, Term);
      Record.write(Backend.Id + " is paused under " + Words[1] + " at " +
                   positionText(Backend.Log, Backend.Log.size()));
    }
    if (Words[0] == "RESUME") {
      Backend.IsPaused = false;
      Backend.PauseTerm = 0;
      Record.write(Backend.Id + " is resumed");
    }
    if (Words[0] == "DEMOTE" && Backend.IsPrimary && Backend.Term < Term) {
      Backend.IsPrimary = false;
      Record.write(Backend.Id + " is demoted");
      Changed.notify_all();
    }
    return status(Backend);
  }

  /// Statements that occupy a slot: reads, writes and BEGIN.
  bool handleSlotted(backend &Backend, session &Session, const std::string &Id,
                     std::string Text, std::vector<std::string> Words,
                     std::uint64_t Run, lock_type &Lock, std::string &Reply) {
    if (Words.size() > 2 && Words[0] == "AFTER") {
      if (!hasPosition(Backend, Words[1])) {
        Reply = fail(Session, "LAGGING");
        return true;
      }
      Text.erase(0, 7 + Words[1].size());
      Words.erase(Words.begin(), Words.begin() + 2);
    }
    if (Words.empty()) {
      Reply = fail(Session, "MALFORMED");
      return true;
    }
    if (Words[0] == "BEGIN") {
      bool Plain = Words.size() == 1;
      if (Session.InTransaction || (Plain && !Backend.IsPrimary)) {
        Reply = fail(Session, Session.InTransaction ? "MALFORMED" : "READONLY");
        return true;
      }
      Session.InTransaction = true;
      ++OpenTransactions;
      Session.IsPlain = Plain;
      Session.Term = Backend.Term;
      Reply = "DONE -\r\n";
      return true;
    }
    if (Backend.WaitingForSlot >= Settings.Queue) {
      Reply = fail(Session, "BUSY");
      return true;
    }
    if (!takeSlot(Backend, Run, Settings.WorkMs, Lock))
      return false;
    if (hasLostLead(Backend, Session)) {
      Record.write(Backend.Id + " answers READONLY to " + Id + " " + Text);
      Reply = fail(Session, "READONLY");
      return true;
    }
    return runStatement(Backend, Session, Id, Text, Words, Run, Lock, Reply);
  }

  bool runStatement(backend &Backend, session &Session, const std::string &Id,
                    const std::string &Text,
                    const std::vector<std::string> &Words, std::uint64_t Run,
                    lock_type &Lock, std::string &Reply) {
    bool Writes = Words[0] == "WRITE";
    if (Words[0] == "EXEC") {
      auto Known = Words.size() > 1 ? Session.Prepared.find(Words[1])
                                    : Session.Prepared.end();
      if (Known == Session.Prepared.end()) {
        Record.write(Backend.Id + " does not know the prepared name of " + Id);
        Reply = fail(Session, "NOSTMT");
        return true;
      }
      Writes = Known->second.first;
    }
    if (Writes && !Backend.IsPrimary) {
      Reply = fail(Session, "READONLY");
      return true;
    }
    Executions.push_back(
        {Backend.Id, Id, Text, Session.InTransaction, Session.Values});
    std::string Values;
    for (const auto &[Name, Value] : Session.Values)
      Values += " " + Name + "=" + Value;
    Record.write(Backend.Id + " runs " + Id + " " + Text + " values:" + Values);
    std::size_t ItemAt = Words[0] == "EXEC" ? 2 : 1;
    std::string Item = Words.size() > ItemAt ? Words[ItemAt] : "";
    if (!Writes) {
      Reply = "ROW " + readItem(Backend, Session, Item) + "\r\n" + sign();
      return true;
    }
    std::string Data = Words.size() > ItemAt + 1 ? Words[ItemAt + 1] : "";
    if (Session.InTransaction) {
      Session.Writes.push_back(Id);
      Session.Items[Item] = Data;
      Reply = sign();
      return true;
    }
    return append(Backend, Session, {Id}, {{Item, Data}}, Run, Lock, Reply);
  }

  std::string sign() {
    return "DONE sig" + std::to_string(++LastSignature) + "\r\n";
  }

  std::string readItem(const backend &Backend, const session &Session,
                       const std::string &Item) const {
    if (auto Own = Session.Items.find(Item); Own != Session.Items.end())
      return Own->second;
    for (std::size_t Index = Backend.Applied; Index > 0; --Index)
      if (auto Found = Backend.Log[Index - 1].Items.find(Item);
          Found != Backend.Log[Index - 1].Items.end())
        return Found->second;
    return "none";
  }

  bool commit(backend &Backend, session &Session, const std::string &Id,
              std::uint64_t Run, lock_type &Lock, std::string &Reply) {
    if (!Session.InTransaction || Session.Failed) {
      endTransaction(Session);
      Reply = "ERR ABORTED stand-in\r\n";
      return true;
    }
    if (!takeSlot(Backend, Run, Settings.WorkMs / 4, Lock))
      return false;
    auto Writes = Session.Writes;
    auto Items = Session.Items;
    bool LostLead = hasLostLead(Backend, Session);
    endTransaction(Session);
    if (Writes.empty()) {
      Reply = sign();
      return true;
    }
    if (LostLead) {
      Reply = "ERR READONLY stand-in\r\n";
      return true;
    }
    Record.write(Backend.Id + " commits " + Id);
    return append(Backend, Session, Writes, Items, Run, Lock, Reply);
  }

  /// Appends a commit and waits until a replica has received it. Reports false
  /// if the process ends or loses the lead meanwhile: no answer is sent then.
  bool append(backend &Backend, session &, std::vector<std::string> Writes,
              std::map<std::string, std::string> Items, std::uint64_t Run,
              lock_type &Lock, std::string &Reply) {
    commit_entry Entry;
    Entry.Term = Backend.Term;
    Entry.Number = Backend.Log.size() + 1;
    Entry.Unique = ++LastUnique;
    Entry.Writes = std::move(Writes);
    Entry.Items = std::move(Items);
    std::size_t At = Backend.Log.size();
    std::uint64_t Unique = Entry.Unique;
    Backend.Log.push_back(std::move(Entry));
    Backend.ReceivedAt.push_back(clock_type::now());
    Backend.Applied = Backend.Log.size();
    auto IsReceived = [&] {
      return std::any_of(
          Backends.begin(), Backends.end(), [&](const auto &Other) {
            return Other.get() != &Backend && Other->IsRunning &&
                   Other->Log.size() > At && Other->Log[At].Unique == Unique;
          });
    };
    auto IsOver = [&] {
      return !isCurrent(Backend, Run) || !Backend.IsPrimary;
    };
    Changed.wait(Lock, [&] { return IsOver() || IsReceived(); });
    if (IsOver())
      return false;
    Reply = sign();
    return true;
  }

  bool hasPosition(const backend &Backend, const std::string &Position) const {
    std::size_t Dot = Position.find('.');
    if (Dot == std::string::npos || Backend.Applied == 0)
      return Dot == std::string::npos;
    std::uint64_t Term = std::stoull(Position.substr(0, Dot));
    std::uint64_t Number = std::stoull(Position.substr(Dot + 1));
    const auto &Last = Backend.Log[Backend.Applied - 1];
    return std::pair(Last.Term, Last.Number) >= std::pair(Term, Number);
  }

  void replicate() {
    lock_type Lock(Mutex);
    while (!Stopping) {
      backend *Primary = nullptr;
      for (auto &Backend : Backends)
        if (Backend->IsPrimary && Backend->IsRunning)
          Primary = Backend.get();
      for (auto &Backend : Backends) {
        if (!Backend->IsRunning || Backend->IsPrimary)
          continue;
        if (Primary && !Backend->IsPaused)
          copyLog(*Backend, *Primary);
        auto Lag = std::chrono::milliseconds(Settings.ApplyLagMs);
        while (Backend->Applied < Backend->Log.size() &&
               Backend->ReceivedAt[Backend->Applied] + Lag <= clock_type::now())
          ++Backend->Applied;
      }
      Changed.notify_all();
      Lock.unlock();
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
      Lock.lock();
    }
  }

  static void copyLog(backend &Replica, const backend &Primary) {
    std::size_t Same = std::min(Replica.Log.size(), Primary.Log.size());
    while (Same > 0 &&
           Replica.Log[Same - 1].Unique != Primary.Log[Same - 1].Unique)
      --Same;
    Replica.Log.resize(Same);
    Replica.ReceivedAt.resize(Same);
    Replica.Applied = std::min(Replica.Applied, Same);
    Replica.Term = Primary.Term;
    for (std::size_t Index = Same; Index < Primary.Log.size(); ++Index) {
      Replica.Log.push_back(Primary.Log[Index]);
      Replica.ReceivedAt.push_back(clock_type::now());
    }
  }

  void becomePrimary(const std::string &Id) {
    std::set<std::string> Held;
    {
      std::lock_guard Lock(Mutex);
      backend *Chosen = nullptr;
      for (auto &Backend : Backends)
        if (Backend->Id == Id)
          Chosen = Backend.get();
      if (!Chosen || !Chosen->IsRunning || Chosen->IsPrimary || Stopping)
        return;
      ++NewestTerm;
      for (auto &Backend : Backends) {
        Backend->IsPrimary = false;
        Backend->IsPaused = false;
        Backend->PauseTerm = 0;
      }
      Chosen->IsPrimary = true;
      Chosen->Term = NewestTerm;
      Chosen->Applied = Chosen->Log.size();
      for (const auto &Entry : Chosen->Log)
        Held.insert(Entry.Writes.begin(), Entry.Writes.end());
      Record.write(Id + " becomes primary of term " +
                   std::to_string(NewestTerm) + " at " +
                   positionText(Chosen->Log, Chosen->Log.size()));
      Changed.notify_all();
    }
    if (OnPromoted)
      OnPromoted(Id, Held);
  }

  /// Reports to control every HeartbeatMs, and at once after a change.
  void sendHeartbeats(std::size_t Index) {
    lock_type Lock(Mutex);
    std::size_t Next = Index;
    auto &Backend = *Backends[Index];
    while (!Stopping) {
      if (Backend.IsRunning) {
        std::string Body = heartbeat(Backend);
        Lock.unlock();
        for (std::size_t Attempt = 0; Attempt < Control.size(); ++Attempt) {
          auto Response =
              callHttp(Control[Next % Control.size()], "POST",
                       "/Instances.Heartbeat/" + Backend.Id, Body, 1000);
          if (Response && Response->status() / 100 == 2)
            break;
          ++Next;
        }
        Lock.lock();
      }
      bool Primary = Backend.IsPrimary;
      std::uint64_t Run = Backend.Run;
      bool Draining = Backend.IsDraining;
      Changed.wait_for(
          Lock, std::chrono::milliseconds(Settings.HeartbeatMs), [&] {
            return Stopping || Backend.IsPrimary != Primary ||
                   Backend.Run != Run || Backend.IsDraining != Draining;
          });
    }
  }

  std::string heartbeat(backend &Backend) {
    return "{\"service\":\"" + Settings.Name + "\",\"addr\":\"" +
           Backend.Announced.text() + "\",\"zone\":\"" + Backend.Zone +
           "\",\"version\":\"v1\",\"capacity\":" +
           std::to_string(Settings.Slots) + ",\"lifecycle\":\"" +
           (Backend.IsDraining ? "draining" : "ready") +
           "\",\"cold_remaining_ms\":0,\"db_role\":\"" +
           (Backend.IsPrimary ? "primary" : "replica") +
           "\",\"born\":" + std::to_string(Backend.Born) +
           ",\"sequence\":" + std::to_string(++Backend.Sequence) + "}";
  }

  run_record &Record;
  service_settings Settings;
  std::vector<address> Control;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<std::unique_ptr<backend>> Backends;
  std::vector<std::thread> Threads;
  std::deque<std::thread> Acceptors;
  std::vector<execution> Executions;
  std::atomic<int> Connections = 0;
  int OpenTransactions = 0;
  std::uint64_t NewestTerm = 1;
  std::uint64_t LastUnique = 0;
  std::uint64_t LastSignature = 0;
  bool Stopping = false;
};

} // namespace review
