#include "core/error.h"
#include "modules/caller/caller_state_internal.h"

namespace teasellock {

namespace {

using item_kind = batch_item::kind;

/// The maximum size of the rows that a portal keeps for later Execute messages,
/// in bytes.
constexpr std::size_t MaxHeldBytes = 16 * 1024 * 1024;

/// Forwards the messages of a gateway's reply to the caller, converted to the
/// items' formats and limited to their rows.
class reply_forwarder {
public:
  reply_forwarder(caller_state &State, const caller_environment &Environment,
                  std::string &Out)
      : State(State), Environment(Environment), Request(*State.Request),
        Out(Out) {}

  void forward(std::string_view Messages) {
    while (!Messages.empty()) {
      auto Frame = pg::nextFrame(Messages, false);
      if (!Frame)
        throw pg::protocol_error{"the gateway's answer ends within a message"};
      processMessage(*Frame, Messages.substr(0, Frame->Size));
      Messages.remove_prefix(Frame->Size);
    }
  }

private:
  void processMessage(const pg::frame &Frame, std::string_view Bytes) {
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
    if (Request.StepIndex >= Request.Items.size())
      throw pg::protocol_error{
          "the gateway's answer has more messages than the request's steps"};
    auto &Item = Request.Items[Request.StepIndex];
    if (!Request.StepStarted)
      Out += Item.MessagesBefore;
    Request.StepStarted = true;
    if (Frame.Type == 'C')
      State.LastCommandTag = pg::field_reader(Frame.Body).cString();
    forwardMessage(Item, Frame, Bytes);
    if (endsStep(Item, Frame.Type)) {
      ++Request.StepIndex;
      Request.StepStarted = false;
      Request.RowCount = 0;
      Request.HeldRows.clear();
      Request.HeldRowsTruncated = false;
      Request.RowConverter.reset();
    }
  }

  void forwardMessage(batch_item &Item, const pg::frame &Frame,
                      std::string_view Bytes) {
    switch (Item.Kind) {
    case item_kind::Validate:
      return;
    case item_kind::ChangeSetting:
      if (Frame.Type == 'C')
        finishSettingChange(Item);
      return;
    case item_kind::DescribePortal:
      if (Frame.Type == 'T')
        Out += pg::buildRowDescription(Frame.Body, Item.ResultFormats);
      else if (Frame.Type != 't')
        Out += Bytes;
      return;
    case item_kind::Statement:
      return forwardStatementMessage(Item, Frame, Bytes);
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

  void finishSettingChange(const batch_item &Item) {
    for (const auto &Change : statementsOf(Item).front()->Settings)
      applySetting(State, Environment, Change, Out);
    pg::appendCommandComplete(Out, "SET");
  }

  void forwardRow(const batch_item &Item, const pg::frame &Frame,
                  std::string_view Bytes) {
    std::string Converted;
    if (Request.RowConverter) {
      Converted = Request.RowConverter->convert(Frame.Body);
      Bytes = Converted;
    }
    if (Item.MaxRows == 0 || Request.RowCount++ < Item.MaxRows)
      Out += Bytes;
    else
      holdRow(Bytes);
  }

  void holdRow(std::string_view Bytes) {
    if (Request.HeldRows.size() + Bytes.size() <= MaxHeldBytes)
      Request.HeldRows += Bytes;
    else
      Request.HeldRowsTruncated = true;
  }

  /// Handles the CommandComplete after the last row: sends it to the caller, or
  /// keeps it with the portal's remaining rows and sends PortalSuspended.
  void forwardEnd(const batch_item &Item, std::string_view Bytes) {
    if (Request.HeldRows.empty() && !Request.HeldRowsTruncated) {
      Out += Bytes;
      return;
    }
    Request.HeldRows += Bytes;
    State.SuspendedPortals[Item.Portal] = {std::move(Request.HeldRows),
                                           Request.HeldRowsTruncated};
    pg::appendEmptyMessage(Out, 's');
  }

  void forwardStatementMessage(const batch_item &Item, const pg::frame &Frame,
                               std::string_view Bytes) {
    if (Frame.Type == 'T' && !Item.ResultFormats.empty()) {
      Request.RowConverter.emplace(Frame.Body, Item.ResultFormats);
      if (Item.RowDescriptionRequested)
        Out += Request.RowConverter->description();
    } else if (Frame.Type == 'n' && !Item.RowDescriptionRequested) {
      return;
    } else if (Frame.Type == 'D') {
      forwardRow(Item, Frame, Bytes);
    } else if (Frame.Type == 'C') {
      forwardEnd(Item, Bytes);
    } else {
      Out += Bytes;
    }
  }

  caller_state &State;
  const caller_environment &Environment;
  statement_key &Request;
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
  if (Item.StatementIndex)
    return {&Item.Info->Statements[*Item.StatementIndex]};
  for (const auto &Statement : Item.Info->Statements)
    Statements.push_back(&Statement);
  return Statements;
}

void resumePortal(caller_state &State, const batch_item &Item,
                  std::string &Out) {
  Out += Item.MessagesBefore;
  auto &Rest = State.SuspendedPortals.at(Item.Portal);
  if (Rest.Truncated)
    return failBatch(State, "54000",
                     "the portal has more rows left than the size limit allows",
                     Out);
  std::string_view Messages = Rest.Messages;
  std::int32_t Rows = 0;
  while (auto Frame = pg::nextFrame(Messages, false)) {
    if (Frame->Type == 'D' && Item.MaxRows > 0 && Rows++ == Item.MaxRows)
      break;
    Out += Messages.substr(0, Frame->Size);
    Messages.remove_prefix(Frame->Size);
  }
  if (Messages.empty()) {
    State.SuspendedPortals.erase(Item.Portal);
    return;
  }
  Rest.Messages.erase(0, Rest.Messages.size() - Messages.size());
  pg::appendEmptyMessage(Out, 's');
}

bool isReplyComplete(const caller_state &State) {
  const auto &Request = *State.Request;
  if (State.Batch.Failed || Request.StepIndex >= Request.Items.size())
    return true;
  const auto &Last = Request.Items.back();
  return Request.StepIndex + 1 == Request.Items.size() && Request.StepStarted &&
         Last.Kind == item_kind::Statement &&
         Last.Step.kind == wire::step_kind::simple;
}

void forwardReply(caller_state &State, const caller_environment &Environment,
                  std::string_view Messages, std::string &Out) {
  reply_forwarder(State, Environment, Out).forward(Messages);
}

} // namespace teasellock
