#include "ctl/commands.h"

#include <chrono>
#include <iostream>
#include <thread>

namespace teasellock {

namespace {

constexpr const char *ReplacePath = "/v1/control/replace";
constexpr int StatusAccepted = 202;
constexpr int MinErrorStatus = 400;
constexpr int MaxSteps = 300;
constexpr auto StepPeriod = std::chrono::milliseconds(200);

int printError(const api_response &Response) {
  std::cerr << "status " << Response.Status << ": " << Response.Body.dump()
            << "\n";
  return Failed;
}

} // namespace

int replaceMember(command_context &Context, const std::string &OldStore,
                  const nlohmann::json &NewMember) {
  nlohmann::json Body = {{"old", OldStore}, {"new", NewMember}};
  std::string LastStep;
  for (int Step = 0; Step < MaxSteps; ++Step) {
    api_response Response =
        Context.Client.call("POST", ReplacePath, Body.dump());
    if (Response.Status >= MinErrorStatus)
      return printError(Response);
    std::string Text = Response.Body.value("step", "");
    if (Text != LastStep)
      std::cout << Text << std::endl;
    LastStep = Text;
    if (Response.Status != StatusAccepted)
      return Succeeded;
    std::this_thread::sleep_for(StepPeriod);
  }
  std::cerr << "not complete yet; run the command again\n";
  return Failed;
}

int forceMember(command_context &Context) {
  nlohmann::json Body = {{"force", true}};
  api_response Response = Context.Client.call("POST", ReplacePath, Body.dump());
  if (Response.Status >= MinErrorStatus)
    return printError(Response);
  std::cout << Response.Body.value("risk", "") << "\n";
  return Succeeded;
}

} // namespace teasellock
