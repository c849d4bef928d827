#include "ctl/commands.h"

#include <chrono>
#include <iostream>
#include <thread>

namespace teasellock {

namespace {

constexpr const char *ReplacePath = "/v1/control/replace";
constexpr int StepUnderWay = 202;
constexpr int LeastErrorStatus = 400;
constexpr int MostSteps = 300;
constexpr auto StepPeriod = std::chrono::milliseconds(200);

int refused(const api_answer &Answer) {
  std::cerr << "status " << Answer.Status << ": " << Answer.Body.dump() << "\n";
  return Failed;
}

} // namespace

int replaceMember(command_context &Context, const std::string &OldStore,
                  const nlohmann::json &NewMember) {
  nlohmann::json Body = {{"old", OldStore}, {"new", NewMember}};
  std::string LastStep;
  for (int Step = 0; Step < MostSteps; ++Step) {
    api_answer Answer = Context.Client.call("POST", ReplacePath, Body.dump());
    if (Answer.Status >= LeastErrorStatus)
      return refused(Answer);
    std::string Text = Answer.Body.value("step", "");
    if (Text != LastStep)
      std::cout << Text << std::endl;
    LastStep = Text;
    if (Answer.Status != StepUnderWay)
      return Succeeded;
    std::this_thread::sleep_for(StepPeriod);
  }
  std::cerr << "not done yet; send the command again\n";
  return Failed;
}

int forceMember(command_context &Context) {
  nlohmann::json Body = {{"force", true}};
  api_answer Answer = Context.Client.call("POST", ReplacePath, Body.dump());
  if (Answer.Status >= LeastErrorStatus)
    return refused(Answer);
  std::cout << Answer.Body.value("risk", "") << "\n";
  return Succeeded;
}

} // namespace teasellock
