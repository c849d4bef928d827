#include "core/error.h"
#include "modules/caller/caller_decisions.h"

namespace teasellock {

namespace {

using item_kind = batch_item::kind;

/// The maximum size of the rows that a portal keeps for later Execute messages,
/// in bytes.
constexpr std::size_t MostHeldBytes = 16 * 1024 * 1024;

/// Forwards the messages of a gateway's reply to the caller, converted to the
/// items' formats and limited to their rows.
class answer_reader {
public:
  answer_reader(caller_state &State, const caller_environment &Environment,
                std::string &Out)
      : State(State), Environment(Environment), Request(*State.Request),
        Out(Out) {}

  void take(std::string_view Messages) {
    while (!Messages.empty()) {
      auto Frame = pg::nextFrame(Messages, false);
      if (!Frame)
        throw pg::malformed{"the gateway's answer ends within a message"};
      takeOne(*Frame, Messages.substr(0, Frame->Size));
      Messages.remove_prefix(Frame->Size);
    }
  }

private:
  void takeOne(const pg::frame &Frame, std::string_view Bytes) {
    if (Frame.Type == 'N' || Frame.Type == 'S' || Frame.Type == 'A') {
      Out += Bytes;
      return;
    }
    if (Frame.Type == 'E') {
      Out += Bytes;
      State.Batch.Failed = true;
      return;
    }
    if (State.Batch.Failed)
      return;
    if (Request.Step >= Request.Items.size())
      throw pg::malformed{
          "the gateway's answer has more messages than the request's steps"};
    auto &Item = Request.Items[Request.Step];
    if (!Request.Started)
      Out += Item.Before;
    Request.Started = true;
    if (Frame.Type == 'C')
      State.LastTag = pg::field_reader(Frame.Body).cString();
    pass(Item, Frame, Bytes);
    if (endsStep(Item, Frame.Type)) {
      ++Request.Step;
      Request.Started = false;
      Request.Rows = 0;
      Request.HeldRows.clear();
      Request.TooManyHeld = false;
      Request.Converter.reset();
    }
  }

  void pass(batch_item &Item, const pg::frame &Frame, std::string_view Bytes) {
    switch (Item.Kind) {
    case item_kind::Validate:
      return;
    case item_kind::ChangeSetting:
      if (Frame.Type == 'C')
        finishSetting(Item);
      return;
    case item_kind::DescribePortal:
      if (Frame.Type == 'T')
        Out += pg::describeWith(Frame.Body, Item.ResultFormats);
      else if (Frame.Type != 't')
        Out += Bytes;
      return;
    case item_kind::Statement:
      return passStatement(Item, Frame, Bytes);
    default:
      Out += Bytes;
    }
  }

  static bool endsStep(const batch_item &Item, char Type) {
    if (Item.Kind == item_kind::Validate || Item.Kind == item_kind::Describe ||
        Item.Kind == item_kind::DescribePortal)
      return Type == 'T' || Type == 'n';
    if (Type != 'C' && Type != 'I')
      return false;
    // A simple query has a CommandComplete for each of its statements.
    return Item.Kind == item_kind::ChangeSetting ||
           Item.Step.kind != wire::step_kind::simple;
  }

  void finishSetting(const batch_item &Item) {
    for (const auto &Change : statementsOf(Item).front()->Settings)
      applySetting(State, Environment, Change, Out);
    pg::appendCommandComplete(Out, "SET");
  }

  void passRow(const batch_item &Item, const pg::frame &Frame,
               std::string_view Bytes) {
    std::string Converted;
    if (Request.Converter) {
      Converted = Request.Converter->convert(Frame.Body);
      Bytes = Converted;
    }
    if (Item.MostRows == 0 || Request.Rows++ < Item.MostRows)
      Out += Bytes;
    else
      hold(Bytes);
  }

  void hold(std::string_view Bytes) {
    if (Request.HeldRows.size() + Bytes.size() <= MostHeldBytes)
      Request.HeldRows += Bytes;
    else
      Request.TooManyHeld = true;
  }

  /// Handles the CommandComplete after the last row: sends it to the caller, or
  /// keeps it with the portal's remaining rows and sends PortalSuspended.
  void passEnd(const batch_item &Item, std::string_view Bytes) {
    if (Request.HeldRows.empty() && !Request.TooManyHeld) {
      Out += Bytes;
      return;
    }
    Request.HeldRows += Bytes;
    State.Suspended[Item.Portal] = {std::move(Request.HeldRows),
                                    Request.TooManyHeld};
    pg::appendEmpty(Out, 's');
  }

  void passStatement(const batch_item &Item, const pg::frame &Frame,
                     std::string_view Bytes) {
    if (Frame.Type == 'T' && !Item.ResultFormats.empty()) {
      Request.Converter.emplace(Frame.Body, Item.ResultFormats);
      if (Item.TellsRows)
        Out += Request.Converter->description();
    } else if (Frame.Type == 'n' && !Item.TellsRows) {
      return;
    } else if (Frame.Type == 'D') {
      passRow(Item, Frame, Bytes);
    } else if (Frame.Type == 'C') {
      passEnd(Item, Bytes);
    } else {
      Out += Bytes;
    }
  }

  caller_state &State;
  const caller_environment &Environment;
  caller_request &Request;
  std::string &Out;
};

} // namespace

void failBatch(caller_state &State, const std::string &Code,
               const std::string &Problem, std::string &Out) {
  pg::appendError(Out, "ERROR", Code, Problem);
  State.Batch.Failed = true;
}

std::vector<const statement_info *> statementsOf(const batch_item &Item) {
  std::vector<const statement_info *> Statements;
  if (Item.Index)
    return {&Item.Info->Statements[*Item.Index]};
  for (const auto &Statement : Item.Info->Statements)
    Statements.push_back(&Statement);
  return Statements;
}

void resumePortal(caller_state &State, const batch_item &Item,
                  std::string &Out) {
  Out += Item.Before;
  auto &Rest = State.Suspended.at(Item.Portal);
  if (Rest.TooMany)
    return failBatch(State, "54000",
                     "the portal has more rows left than the size limit allows",
                     Out);
  std::string_view Messages = Rest.Messages;
  std::int32_t Rows = 0;
  while (auto Frame = pg::nextFrame(Messages, false)) {
    if (Frame->Type == 'D' && Item.MostRows > 0 && Rows++ == Item.MostRows)
      break;
    Out += Messages.substr(0, Frame->Size);
    Messages.remove_prefix(Frame->Size);
  }
  if (Messages.empty()) {
    State.Suspended.erase(Item.Portal);
    return;
  }
  Rest.Messages.erase(0, Rest.Messages.size() - Messages.size());
  pg::appendEmpty(Out, 's');
}

bool answerIsWhole(const caller_state &State) {
  const auto &Request = *State.Request;
  if (State.Batch.Failed || Request.Step >= Request.Items.size())
    return true;
  const auto &Last = Request.Items.back();
  return Request.Step + 1 == Request.Items.size() && Request.Started &&
         Last.Kind == item_kind::Statement &&
         Last.Step.kind == wire::step_kind::simple;
}

void readAnswer(caller_state &State, const caller_environment &Environment,
                std::string_view Messages, std::string &Out) {
  answer_reader(State, Environment, Out).take(Messages);
}

} // namespace teasellock
