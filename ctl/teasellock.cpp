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

/// What was given on the command line.
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
  std::string OldStore;
  std::string NewStore;
  std::vector<std::string> Members;
  std::vector<std::string> TraceFiles;
};

using command = std::function<int(command_context &)>;

/// A member as the HTTP API takes it. Store ids go as text: not every JSON
/// reader keeps 64 bits.
nlohmann::json memberJson(const std::string &Text) {
  control_member Member = parseMember(Text);
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

/// Adds a command that runs Run; Example is printed with its help.
CLI::App *addCommand(CLI::App &Parent, const std::string &Name,
                     const std::string &Meaning, const std::string &Example,
                     command &Chosen, const command &Run) {
  CLI::App *Command = Parent.add_subcommand(Name, Meaning);
  Command->footer("Example:\n  " + Example);
  Command->callback([&Chosen, Run] { Chosen = Run; });
  return Command;
}

void addTableCommands(CLI::App &App, arguments &Given, command &Chosen) {
  CLI::App *Table = App.add_subcommand("table", "the operators' table");
  Table->require_subcommand(1);
  addCommand(*Table, "get", "write the table in force as CSV",
             "teasellock table get --out table.csv", Chosen,
             [&](command_context &C) { return tableGet(C, Given.File); })
      ->add_option("--out", Given.File, "file to write; default: print");
  auto AddFile = [&](CLI::App *Command) {
    Command->add_option("file", Given.File, "CSV file, - for standard input")
        ->required();
    return Command;
  };
  AddFile(
      addCommand(*Table, "check", "check a file; names row and column",
                 "teasellock table check table.csv", Chosen,
                 [&](command_context &) { return tableCheck(Given.File); }));
  AddFile(addCommand(
      *Table, "diff", "what a file would change (exit code 4: something)",
      "teasellock table diff table.csv", Chosen,
      [&](command_context &C) { return tableDiff(C, Given.File); }));
  auto *Apply = AddFile(addCommand(
      *Table, "apply", "put a file in force (exit code 3: someone was first)",
      "teasellock table apply table.csv --base-version 7", Chosen,
      [&](command_context &C) {
        return tableApply(C, Given.File, Given.BaseVersion, Given.EditId);
      }));
  Apply->add_option("--base-version", Given.BaseVersion,
                    "version the file was made from; default: the present one");
  Apply->add_option("--edit-id", Given.EditId,
                    "identity of the edit, to send it again safely");
  addCommand(*Table, "status", "which VMs have applied the table",
             "teasellock table status", Chosen, tableStatus);
}

void addGroupCommands(CLI::App &App, arguments &Given, command &Chosen) {
  addCommand(App, "groups", "every group: primary, term, gateways",
             "teasellock groups --watch", Chosen, [](command_context &C) {
               return showList(C, "/v1/groups", "groups",
                               {"group", "term", "primary", "gateways",
                                "promoting", "dirty", "waiting"});
             });
  addCommand(App, "vms", "every VM: zone, lease, applied revision",
             "teasellock vms", Chosen, [](command_context &C) {
               return showList(C, "/v1/vms", "vms",
                               {"vm", "availability_zone", "region", "address",
                                "lease_ms", "draining", "applied",
                                "heard_ms_ago"});
             });
  addCommand(App, "routes", "every route of the deployment in force",
             "teasellock routes", Chosen, [](command_context &C) {
               return showList(C, "/v1/deployment", "routes",
                               {"database", "group", "consistency",
                                "max_staleness_ms", "timeout_ms", "target_ms",
                                "priority"});
             });
  addCommand(App, "group", "all that is known of one group",
             "teasellock group despacho-1", Chosen,
             [&](command_context &C) {
               return showCall(C, "GET", "/v1/groups/" + Given.Name, nullptr);
             })
      ->add_option("name", Given.Name)
      ->required();
  auto *Promote = addCommand(
      App, "promote", "make an upstream the primary of its group",
      "teasellock promote despacho-1 --upstream u2", Chosen,
      [&](command_context &C) {
        return showCall(C, "POST", "/v1/groups/" + Given.Name + "/promote",
                        {{"upstream", Given.Upstream}, {"force", Given.Force}});
      });
  Promote->add_option("group", Given.Name)->required();
  Promote->add_option("--upstream", Given.Upstream)->required();
  Promote->add_flag("--force", Given.Force,
                    "even where acknowledged writes may be lost");
  addCommand(App, "drain", "move all assignments off a VM",
             "teasellock drain vm-3", Chosen,
             [&](command_context &C) {
               return showCall(C, "POST", "/v1/vms/" + Given.Name + "/drain",
                               nullptr);
             })
      ->add_option("vm", Given.Name)
      ->required();
}

void addProposalCommands(CLI::App &App, arguments &Given, command &Chosen) {
  CLI::App *Proposals =
      App.add_subcommand("proposals", "decisions that wait for a person");
  Proposals->require_subcommand(1);
  addCommand(*Proposals, "list", "all open proposals with their reasons",
             "teasellock proposals list", Chosen, [](command_context &C) {
               return showList(C, "/v1/proposals", "proposals",
                               {"id", "group", "kind", "reason", "rejected"});
             });
  for (std::string Verb : {"approve", "reject"})
    addCommand(*Proposals, Verb, Verb + " one proposal",
               "teasellock proposals " + Verb + " 12", Chosen,
               [&Given, Verb](command_context &C) {
                 return showCall(C, "POST",
                                 "/v1/proposals/" + Given.Name + "/" + Verb,
                                 nullptr);
               })
        ->add_option("id", Given.Name)
        ->required();
}

void addControlCommands(CLI::App &App, arguments &Given, command &Chosen) {
  CLI::App *Control =
      App.add_subcommand("control", "the control group's own members");
  Control->require_subcommand(1);
  auto *Init = addCommand(
      *Control, "init", "first start of a deployment; once, on one control VM",
      "teasellock --vm 10.0.0.1:9001 control init --member "
      "1122334455:vm-1:10.0.0.1:9000",
      Chosen, [&](command_context &C) {
        return showCall(C, "POST", "/v1/control/init",
                        {{"members", memberList(Given.Members)}});
      });
  Init->add_option("--member", Given.Members,
                   "store:vm:address:port of each control VM")
      ->required();
  addCommand(*Control, "status", "role, log and members as this VM sees them",
             "teasellock --vm 10.0.0.1:9001 control status", Chosen,
             [](command_context &C) {
               return showCall(C, "GET", "/v1/control/status", nullptr);
             });
  auto *Replace = addCommand(
      *Control, "replace", "put a new store in the place of a lost one",
      "teasellock control replace --old 1122334455 --new "
      "6677889900:vm-2:10.0.0.2:9000",
      Chosen, [&](command_context &C) {
        if (Given.Force)
          return forceMember(C);
        return replaceMember(C, Given.OldStore, memberJson(Given.NewStore));
      });
  auto *Force = Replace->add_flag(
      "--force", Given.Force,
      "the majority is gone: make the VM called the only member, even where "
      "accepted changes may be lost");
  Replace->add_option("--old", Given.OldStore, "store id of the lost member")
      ->excludes(Force);
  Replace->add_option("--new", Given.NewStore, "store:vm:address:port")
      ->excludes(Force);
}

void addTraceCommand(CLI::App &App, arguments &Given, command &Chosen) {
  auto *Trace = addCommand(
      App, "trace", "the hops of one request, from the daemons' trace files",
      "teasellock trace 4bf92f3577b34da6a3ce929d0e0e4736 vm-*.trace", Chosen,
      [&](command_context &) {
        return showTrace(Given.Name, Given.TraceFiles);
      });
  Trace->add_option("trace", Given.Name, "trace id")->required();
  Trace->add_option("files", Given.TraceFiles)->required();
}

int runChosen(const arguments &Given, const command &Chosen) {
  std::vector<endpoint> Vms;
  for (const auto &Vm : Given.Vms)
    Vms.push_back(parseEndpoint(Vm));
  command_context Context{api_client(Vms, Given.Token), Given.Json};
  for (;;) {
    int Exit = Chosen(Context);
    if (!Given.Watch)
      return Exit;
    std::this_thread::sleep_for(WatchPeriod);
    std::cout << "\n";
  }
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App{"teasellock: watches and changes a deployment."};
  App.require_subcommand(1);
  App.fallthrough();
  arguments Given;
  command Chosen;
  App.add_option("--vm", Given.Vms,
                 "address:port of a VM's HTTP API; several are tried in order")
      ->envname("TEASELLOCK_API")
      ->delimiter(',')
      ->default_str("127.0.0.1:9001");
  App.add_option("--token", Given.Token, "operators' bearer token")
      ->envname("TEASELLOCK_OPERATOR_TOKEN");
  App.add_flag("--json", Given.Json, "print JSON");
  App.add_flag("--watch", Given.Watch, "print again every second");
  addTableCommands(App, Given, Chosen);
  addGroupCommands(App, Given, Chosen);
  addProposalCommands(App, Given, Chosen);
  addControlCommands(App, Given, Chosen);
  addTraceCommand(App, Given, Chosen);
  try {
    App.parse(Count, Arguments);
    if (Given.Vms.empty())
      Given.Vms = {"127.0.0.1:9001"};
    return runChosen(Given, Chosen);
  } catch (const CLI::ParseError &Problem) {
    int Code = App.exit(Problem);
    return Code == 0 ? Succeeded : BadInput;
  } catch (const std::exception &Problem) {
    std::cerr << "teasellock: " << Problem.what() << "\n";
    return Failed;
  }
}
