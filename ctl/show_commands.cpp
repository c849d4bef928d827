#include "core/error.h"
#include "ctl/commands.h"
#include "ctl/text_table.h"

#include <algorithm>
#include <fstream>
#include <iostream>

namespace teasellock {

namespace {

using nlohmann::json;

constexpr int MinErrorStatus = 400;
constexpr double NanosecondsPerMillisecond = 1e6;

std::string cellText(const json &Row, const std::string &Field) {
  auto Found = Row.find(Field);
  if (Found == Row.end() || Found->is_null())
    return "-";
  return Found->is_string() ? Found->get<std::string>() : Found->dump();
}

int toExitCode(const api_response &Response) {
  if (Response.Status < MinErrorStatus)
    return Succeeded;
  std::cerr << "status " << Response.Status << ": " << Response.Body.dump()
            << "\n";
  return Failed;
}

struct trace_hop {
  std::string Vm;
  std::string Name;
  std::int64_t Start = 0;
  std::int64_t End = 0;
  std::string Attributes;
};

void collectHops(const json &Line, const std::string &TraceId,
                 std::vector<trace_hop> &Hops) {
  const json &Resource = Line.at("resourceSpans").at(0);
  std::string Vm = Resource.at("resource")
                       .at("attributes")
                       .at(1)
                       .at("value")
                       .at("stringValue");
  for (const json &Span : Resource.at("scopeSpans").at(0).at("spans")) {
    if (Span.at("traceId") != TraceId)
      continue;
    trace_hop Hop{Vm, Span.at("name"),
                  std::stoll(Span.at("startTimeUnixNano").get<std::string>()),
                  std::stoll(Span.at("endTimeUnixNano").get<std::string>()),
                  ""};
    for (const json &Attribute : Span.at("attributes"))
      Hop.Attributes +=
          Attribute.at("key").get<std::string>() + "=" +
          Attribute.at("value").at("stringValue").get<std::string>() + " ";
    Hops.push_back(Hop);
  }
}

std::string formatMilliseconds(std::int64_t Nanoseconds) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.3f",
                static_cast<double>(Nanoseconds) / NanosecondsPerMillisecond);
  return Text;
}

} // namespace

int showList(command_context &Context, const std::string &Path,
             const std::string &List, const std::vector<std::string> &Fields) {
  api_response Response = Context.Client.call("GET", Path);
  int ExitCode = toExitCode(Response);
  if (ExitCode != Succeeded)
    return ExitCode;
  if (Context.Json) {
    std::cout << Response.Body.dump(2) << "\n";
    return Succeeded;
  }
  std::vector<std::vector<std::string>> Lines = {Fields};
  // A deployment may have none of the listed things.
  for (const json &Row : Response.Body.value(List, json::array())) {
    std::vector<std::string> Line;
    for (const auto &Field : Fields)
      Line.push_back(cellText(Row, Field));
    Lines.push_back(std::move(Line));
  }
  std::cout << formatColumns(Lines);
  return Succeeded;
}

int callAndPrint(command_context &Context, const std::string &Method,
                 const std::string &Path, const json &Body) {
  api_response Response = Context.Client.call(
      Method, Path, Body.is_null() ? std::string() : Body.dump());
  int ExitCode = toExitCode(Response);
  if (ExitCode == Succeeded)
    std::cout << Response.Body.dump(2) << "\n";
  return ExitCode;
}

int showTrace(const std::string &TraceId,
              const std::vector<std::string> &Files) {
  std::vector<trace_hop> Hops;
  for (const auto &Name : Files) {
    std::ifstream In(Name);
    if (!In)
      throw error("trace.read", Name, "cannot be read");
    std::string Text;
    while (std::getline(In, Text)) {
      json Line = json::parse(Text, nullptr, false);
      // The last line of a file that is being written may be incomplete.
      if (!Line.is_discarded())
        collectHops(Line, TraceId, Hops);
    }
  }
  std::sort(Hops.begin(), Hops.end(),
            [](const trace_hop &Left, const trace_hop &Right) {
              return Left.Start < Right.Start;
            });
  std::vector<std::vector<std::string>> Lines = {
      {"start_ms", "took_ms", "vm", "hop", "attributes"}};
  for (const auto &Hop : Hops)
    Lines.push_back({formatMilliseconds(Hop.Start - Hops.front().Start),
                     formatMilliseconds(Hop.End - Hop.Start), Hop.Vm, Hop.Name,
                     Hop.Attributes});
  std::cout << formatColumns(Lines);
  return Hops.empty() ? Failed : Succeeded;
}

} // namespace teasellock
