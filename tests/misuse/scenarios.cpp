#include "tests/misuse/scenarios.h"

#include "modules/line/line_protocol.h"

#include <algorithm>

namespace teasellock::misuse {

namespace {

/// A route of the test's deployment, see soak_deployment.
const std::string StartMessage = "START despacho1-primary caller\r\n";
/// The longest message but for its keyword and line end.
constexpr std::size_t LongMessageBytes = MaxLineBytes - 64;
constexpr std::size_t HttpBodyBytes = 15 * 1024 * 1024;

connection_script scriptOf(std::string Opening, std::string Filler,
                           std::size_t TotalBytes, std::string Ending) {
  connection_script Script;
  Script.Opening = std::move(Opening);
  Script.Filler = std::move(Filler);
  Script.TotalBytes = TotalBytes;
  Script.Ending = std::move(Ending);
  return Script;
}

std::string filler() { return std::string(64 * 1024, 'x'); }

/// Statements of legal size, many at once.
scenario largeMessages() {
  return {"large_messages", 120,
          scriptOf(StartMessage + "QUERY q1 WRITE item ", filler(),
                   LongMessageBytes, "\r\n")};
}

/// The same in small pieces, without an end.
scenario unfinishedMessages() {
  auto Script = scriptOf(StartMessage + "QUERY q1 WRITE item ", filler(),
                         LongMessageBytes, "");
  Script.PieceBytes = 4 * 1024;
  return {"unfinished_messages", 120, Script};
}

/// Messages far over the limit.
scenario oversizedMessages() {
  return {"oversized_messages", 120,
          scriptOf(StartMessage + "QUERY q1 READ ", filler(), 8 * MaxLineBytes,
                   "\r\n")};
}

/// Statements sent ahead by callers that read no answers.
scenario unreadAnswers() {
  std::string Statement;
  while (Statement.size() < 64 * 1024)
    Statement += "QUERY q1 BEGIN\r\nQUERY q1 ROLLBACK\r\n";
  return {"unread_answers", 120,
          scriptOf(StartMessage, Statement, 8 * MaxLineBytes, "")};
}

/// Session settings without end, each under another name.
scenario sessionSettings() {
  std::string Statements;
  for (char Name = 'a'; Name <= 'p'; ++Name)
    Statements += "QUERY q1 SET " + std::string(1, Name) + " " +
                  std::string(512 * 1024, 'x') + "\r\n";
  return {"session_settings", 24,
          scriptOf(StartMessage, Statements, Statements.size(), "")};
}

/// Many connections whose first message never ends.
scenario slowStarts() {
  auto Script = scriptOf("S", "T", 1000000, "");
  Script.PieceBytes = 1;
  Script.PieceInterval = std::chrono::milliseconds(500);
  return {"slow_starts", 600, Script};
}

/// Large HTTP bodies that stop before their end.
scenario unfinishedBodies() {
  std::string Header = "POST /Config.Put HTTP/1.1\r\nHost: x\r\n"
                       "Content-Type: application/json\r\nContent-Length: " +
                       std::to_string(HttpBodyBytes + 1) + "\r\n\r\n";
  scenario Result{"unfinished_bodies", 24,
                  scriptOf(Header, filler(), HttpBodyBytes, "")};
  Result.UsesHttpPort = true;
  return Result;
}

} // namespace

const std::vector<scenario> &scenarios() {
  static const std::vector<scenario> All = {
      largeMessages(),   unfinishedMessages(), oversizedMessages(),
      unreadAnswers(),   sessionSettings(),    slowStarts(),
      unfinishedBodies()};
  return All;
}

const scenario *findScenario(const std::string &Name) {
  auto Found =
      std::find_if(scenarios().begin(), scenarios().end(),
                   [&](const auto &Scenario) { return Scenario.Name == Name; });
  return Found == scenarios().end() ? nullptr : &*Found;
}

} // namespace teasellock::misuse
