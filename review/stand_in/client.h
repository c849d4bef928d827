/// A client of the front address: one session, one statement at a time.
#pragma once

#include "record.h"
#include "sockets.h"

#include <string>
#include <vector>

namespace review {

struct answer {
  bool Lost = false;
  std::vector<std::string> Rows;
  std::string Signature;
  /// Empty for a success.
  std::string Code;
  std::string Text;
  char State = '-';
  std::string Position;

  bool succeeded() const { return !Lost && Code.empty(); }
  std::string text() const {
    if (Lost)
      return "connection lost or no answer";
    std::string Result =
        Code.empty() ? "DONE " + Signature : "ERR " + Code + " " + Text;
    for (const auto &Row : Rows)
      Result = "ROW " + Row + " " + Result;
    return Result + " READY " + State;
  }
};

class client_session {
public:
  client_session(run_record &Record, std::string Name)
      : Record(Record), Name(std::move(Name)) {}
  ~client_session() { close(); }
  client_session(const client_session &) = delete;
  client_session &operator=(const client_session &) = delete;

  bool start(const address &Front, const std::string &Database,
             int TimeoutMs = 2000) {
    close();
    Socket = connectTo(Front, TimeoutMs);
    if (Socket < 0)
      return false;
    Reader = socket_reader(Socket);
    sendAll(Socket, "START " + Database + " " + Name + "\r\n");
    auto Line = Reader.readLine(TimeoutMs);
    if (Line && Line->starts_with("READY"))
      return true;
    close();
    return false;
  }

  /// Sends a statement without waiting for its answer.
  void send(const std::string &Id, const std::string &Text) {
    if (Verbose)
      Record.write(Name + " sends " + Id + " " + Text);
    sendAll(Socket, "QUERY " + Id + " " + Text + "\r\n");
  }

  answer receive(int TimeoutMs) {
    answer Answer;
    for (;;) {
      auto Line = Socket < 0 ? std::nullopt : Reader.readLine(TimeoutMs);
      if (!Line) {
        Answer.Lost = true;
        close();
        return Answer;
      }
      if (Line->starts_with("ROW "))
        Answer.Rows.push_back(Line->substr(4));
      else if (Line->starts_with("DONE "))
        Answer.Signature = Line->substr(5);
      else if (Line->starts_with("ERR ")) {
        std::size_t Blank = Line->find(' ', 4);
        Answer.Code = Line->substr(4, Blank - 4);
        Answer.Text = Blank == std::string::npos ? "" : Line->substr(Blank + 1);
      } else if (Line->starts_with("READY ")) {
        Answer.State = Line->size() > 6 ? (*Line)[6] : '-';
        Answer.Position = Line->size() > 8 ? Line->substr(8) : "-";
        return Answer;
      }
    }
  }

  answer query(const std::string &Id, const std::string &Text,
               int TimeoutMs = 5000) {
    send(Id, Text);
    answer Answer = receive(TimeoutMs);
    if (Verbose)
      Record.write(Name + " gets  " + Id + " " + Answer.text());
    return Answer;
  }

  void close() {
    if (Socket >= 0)
      ::close(Socket);
    Socket = -1;
  }
  bool isOpen() const { return Socket >= 0; }

  /// Whether each statement and answer is written to the record.
  bool Verbose = true;

private:
  run_record &Record;
  std::string Name;
  int Socket = -1;
  socket_reader Reader{-1};
};

} // namespace review
