#include "core/error.h"
#include "ctl/commands.h"
#include "modules/consensus/control_member.h"

#include <CLI/CLI.hpp>
#include <chrono>
#include <iostream>
#include <thread>

using namespace teasellock;

namespace {

constexpr auto WatchPeriod = std::chrono::seconds(1);

/// Values of the command line.
struct arguments {
  std::vector<std::string> Vms;
  std::string Token;
  bool Json = false;
  bool Watch = false;
  std::string File;
  std::string Name;
  std::string Upstream;
  std::string EditId;
  std::uint64_t BaseVersion = 0;
  bool Force = false;
  bool AgainstCurrent = false;
  std::string OldStore;
  std::string NewStore;
  std::vector<std::string> Members;
  std::vector<std::string> TraceFiles;
};

using command = std::function<int(command_context &)>;

/// Converts a member to the JSON of the HTTP API. Store ids are strings, since
/// not every JSON parser preserves 64-bit integers.
nlohmann::json memberJson(const std::string &Text) {
  control_member Member = parseControlMember(Text);
  return {{"store", toString(Member.Store)},
          {"vm", Member.Vm.Value},
          {"address", toString(Member.Address)}};
}

nlohmann::json memberList(const std::vector<std::string> &Texts) {
  nlohmann::json Members = nlohmann::json::array();
  for (const auto &Text : Texts)
    Members.push_back(memberJson(Text));
  return Members;
}

/// Adds a command that selects Run for execution. Example is printed with the
/// help of the command.
CLI::App *addCommand(CLI::App &Parent, const std::string &Name,
                     const std::string &Description, const std::string &Example,
                     command &Selected, const command &Run) {
  CLI::App *Command = Parent.add_subcommand(Name, Description);
  Command->footer("Example:\n  " + Example);
  Command->callback([&Selected, Run] { Selected = Run; });
  return Command;
}

void addTableCommands(CLI::App &App, arguments &Args, command &Selected) {
  CLI::App *Table = App.add_subcommand("table", "the operators' table");
  Table->require_subcommand(1);
  addCommand(*Table, "get", "write the current table as CSV",
             "teasellock table get --out table.csv", Selected,
             [&](command_context &C) { return tableGet(C, Args.File); })
      ->add_option("--out", Args.File,
                   "file to write; default: standard output");
  auto AddFile = [&](CLI::App *Command) {
    Command->add_option("file", Args.File, "CSV file, - for standard input")
        ->required();
    return Command;
  };
  AddFile(addCommand(*Table, "check", "validate a file; reports row and column",
                     "teasellock table check table.csv", Selected,
                     [&](command_context &) { return tableCheck(Args.File); }));
  AddFile(
      addCommand(*Table, "diff",
                 "show what a file would change (exit code 4: differences)",
                 "teasellock table diff table.csv", Selected,
                 [&](command_context &C) { return tableDiff(C, Args.File); }));
  auto *Apply = AddFile(addCommand(
      *Table, "apply", "apply a file (exit code 3: edited in the meantime)",
      "teasellock table apply table.csv --base-version 7", Selected,
      [&](command_context &C) {
        return tableApply(C, Args.File, Args.BaseVersion, Args.EditId);
      }));
  Apply->add_option("--base-version", Args.BaseVersion,
                    "version the file is based on; default: the current one");
  Apply->add_option("--edit-id", Args.EditId,
                    "id of the edit, which makes retries safe");
  addCommand(*Table, "status", "show which VMs have applied the table",
             "teasellock table status", Selected, tableStatus);
}

void addCheckCommand(CLI::App &App, arguments &Args, command &Selected) {
  auto *Check = addCommand(
      App, "check",
      "check a configuration before it is sent (exit code 1: warnings, 2: "
      "errors, 3: not checked)",
      "teasellock check configuration.json --against-current", Selected,
      [&](command_context &C) {
        return checkConfiguration(C, Args.File, Args.AgainstCurrent);
      });
  Check
      ->add_option("file", Args.File,
                   "JSON file in the platform's format, - for standard input")
      ->required();
  Check->add_flag("--against-current", Args.AgainstCurrent,
                  "also print the differences from the version in force");
}

void addGroupCommands(CLI::App &App, arguments &Args, command &Selected) {
  addCommand(App, "groups", "every group: primary, term, gateways",
             "teasellock groups --watch", Selected, [](command_context &C) {
               return showList(C, "/v1/groups", "groups",
                               {"group", "term", "primary", "gateways",
                                "promoting", "dirty", "waiting"});
             });
  addCommand(App, "vms", "every VM: zone, lease, applied revision",
             "teasellock vms", Selected, [](command_context &C) {
               return showList(C, "/v1/vms", "vms",
                               {"vm", "availability_zone", "region", "address",
                                "lease_ms", "draining", "applied",
                                "heard_ms_ago"});
             });
  addCommand(App, "limiters", "which VM counts for each limiter slot",
             "teasellock limiters", Selected, [](command_context &C) {
               return showList(C, "/v1/limiters", "slots",
                               {"slot", "vm", "incarnation", "address",
                                "former", "lease_ms"});
             });
  addCommand(App, "routes", "every route of the current deployment",
             "teasellock routes", Selected, [](command_context &C) {
               return showList(C, "/v1/deployment", "routes",
                               {"database", "group", "consistency",
                                "max_staleness_ms", "timeout_ms", "target_ms",
                                "priority"});
             });
  addCommand(App, "organisations",
             "every organisation: fingerprints of its keys, limits",
             "teasellock organisations", Selected, [](command_context &C) {
               return showList(
                   C, "/v1/deployment", "organisations",
                   {"organisation", "keys", "rate_per_s", "burst", "priority"});
             });
  addCommand(App, "group", "details of one group",
             "teasellock group despacho-1", Selected,
             [&](command_context &C) {
               return callAndPrint(C, "GET", "/v1/groups/" + Args.Name,
                                   nullptr);
             })
      ->add_option("name", Args.Name)
      ->required();
  auto *Promote =
      addCommand(App, "promote", "make an upstream the primary of its group",
                 "teasellock promote despacho-1 --upstream u2", Selected,
                 [&](command_context &C) {
                   return callAndPrint(
                       C, "POST", "/v1/groups/" + Args.Name + "/promote",
                       {{"upstream", Args.Upstream}, {"force", Args.Force}});
                 });
  Promote->add_option("group", Args.Name)->required();
  Promote->add_option("--upstream", Args.Upstream)->required();
  Promote->add_flag("--force", Args.Force,
                    "even if acknowledged writes may be lost");
  addCommand(App, "drain", "move all assignments off a VM",
             "teasellock drain vm-3", Selected,
             [&](command_context &C) {
               return callAndPrint(C, "POST", "/v1/vms/" + Args.Name + "/drain",
                                   nullptr);
             })
      ->add_option("vm", Args.Name)
      ->required();
}

void addProposalCommands(CLI::App &App, arguments &Args, command &Selected) {
  CLI::App *Proposals =
      App.add_subcommand("proposals", "decisions that wait for approval");
  Proposals->require_subcommand(1);
  addCommand(*Proposals, "list", "all open proposals with their reasons",
             "teasellock proposals list", Selected, [](command_context &C) {
               return showList(C, "/v1/proposals", "proposals",
                               {"id", "group", "kind", "reason", "rejected"});
             });
  for (std::string Verb : {"approve", "reject"})
    addCommand(*Proposals, Verb, Verb + " one proposal",
               "teasellock proposals " + Verb + " 12", Selected,
               [&Args, Verb](command_context &C) {
                 return callAndPrint(C, "POST",
                                     "/v1/proposals/" + Args.Name + "/" + Verb,
                                     nullptr);
               })
        ->add_option("id", Args.Name)
        ->required();
}

void addControlCommands(CLI::App &App, arguments &Args, command &Selected) {
  CLI::App *Control =
      App.add_subcommand("control", "members of the control group");
  Control->require_subcommand(1);
  auto *Init = addCommand(
      *Control, "init", "first start of a deployment; once, on one control VM",
      "teasellock --vm 10.0.0.1:9001 control init --member "
      "1122334455:vm-1:10.0.0.1:9000",
      Selected, [&](command_context &C) {
        return callAndPrint(C, "POST", "/v1/control/init",
                            {{"members", memberList(Args.Members)}});
      });
  Init->add_option("--member", Args.Members,
                   "store:vm:address:port of each control VM")
      ->required();
  addCommand(*Control, "status",
             "role, log and members from the view of this VM",
             "teasellock --vm 10.0.0.1:9001 control status", Selected,
             [](command_context &C) {
               return callAndPrint(C, "GET", "/v1/control/status", nullptr);
             });
  auto *Replace = addCommand(
      *Control, "replace", "replace a lost store by a new one",
      "teasellock control replace --old 1122334455 --new "
      "6677889900:vm-2:10.0.0.2:9000",
      Selected, [&](command_context &C) {
        if (Args.Force)
          return forceMember(C);
        return replaceMember(C, Args.OldStore, memberJson(Args.NewStore));
      });
  auto *Force = Replace->add_flag(
      "--force", Args.Force,
      "the majority is lost: make the called VM the only member, even if "
      "accepted changes may be lost");
  Replace->add_option("--old", Args.OldStore, "store id of the lost member")
      ->excludes(Force);
  Replace->add_option("--new", Args.NewStore, "store:vm:address:port")
      ->excludes(Force);
}

void addTraceCommand(CLI::App &App, arguments &Args, command &Selected) {
  auto *Trace = addCommand(
      App, "trace", "the spans of one request, from the daemons' trace files",
      "teasellock trace 4bf92f3577b34da6a3ce929d0e0e4736 vm-*.trace", Selected,
      [&](command_context &) { return showTrace(Args.Name, Args.TraceFiles); });
  Trace->add_option("trace", Args.Name, "trace id")->required();
  Trace->add_option("files", Args.TraceFiles)->required();
}

int runSelected(const arguments &Args, const command &Selected) {
  std::vector<endpoint> Vms;
  for (const auto &Vm : Args.Vms)
    Vms.push_back(parseEndpoint(Vm));
  command_context Context{api_client(Vms, Args.Token), Args.Json};
  for (;;) {
    int ExitCode = Selected(Context);
    if (!Args.Watch)
      return ExitCode;
    std::this_thread::sleep_for(WatchPeriod);
    std::cout << "\n";
  }
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  CLI::App App{"teasellock: inspects and manages a deployment."};
  App.require_subcommand(1);
  App.fallthrough();
  arguments Args;
  command Selected;
  App.add_option("--vm", Args.Vms,
                 "address:port of a VM's HTTP API; several are tried in order")
      ->envname("TEASELLOCK_API")
      ->delimiter(',')
      ->default_str("127.0.0.1:9001");
  App.add_option("--token", Args.Token, "operators' bearer token")
      ->envname("TEASELLOCK_OPERATOR_TOKEN");
  App.add_flag("--json", Args.Json, "print JSON");
  App.add_flag("--watch", Args.Watch, "print again every second");
  addTableCommands(App, Args, Selected);
  addCheckCommand(App, Args, Selected);
  addGroupCommands(App, Args, Selected);
  addProposalCommands(App, Args, Selected);
  addControlCommands(App, Args, Selected);
  addTraceCommand(App, Args, Selected);
  // Scripts read other exit codes of the check as findings.
  auto FailureCode = [&App](int Usual) {
    return App.got_subcommand("check") ? int(NotChecked) : Usual;
  };
  try {
    App.parse(ArgumentCount, Arguments);
    if (Args.Vms.empty())
      Args.Vms = {"127.0.0.1:9001"};
    return runSelected(Args, Selected);
  } catch (const CLI::ParseError &Problem) {
    int Code = App.exit(Problem);
    return Code == 0 ? int(Succeeded) : FailureCode(BadInput);
  } catch (const std::exception &Problem) {
    std::cerr << "teasellock: " << Problem.what() << "\n";
    return FailureCode(Failed);
  }
}
