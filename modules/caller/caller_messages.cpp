#include "modules/caller/caller_state_internal.h"

#include <algorithm>

namespace teasellock {

namespace {

using item_kind = batch_item::kind;

constexpr std::size_t MaxPreparedStatements = 10000;
/// The maximum size of a batch that waits for its Sync, in bytes.
constexpr std::size_t MaxBatchBytes = 2 * pg::MaxMessageBytes;

wire::statement_step makeStep(wire::step_kind::type Kind, std::string Text) {
  wire::statement_step Step;
  Step.kind = Kind;
  Step.sql = std::move(Text);
  return Step;
}

/// Reports whether an item of the batch opens a transaction.
bool opensTransaction(const caller_batch &Batch) {
  return std::any_of(
      Batch.Items.begin(), Batch.Items.end(), [](const batch_item &Item) {
        return Item.Kind == item_kind::Statement && Item.Info &&
               (Item.Info->contains(statement_class::Begin) ||
                Item.Info->contains(statement_class::BeginReadOnly));
      });
}

/// Adds an error to the batch. In a transaction the error is raised by the
/// upstream, so that the transaction fails there too. Otherwise the batch's
/// earlier items are dropped, because a failed batch is rolled back as a whole.
void addError(caller_state &State, const std::string &Code,
              const std::string &Problem) {
  batch_item Item;
  if (State.TransactionStatus != 'I' || opensTransaction(State.Batch)) {
    Item.Kind = item_kind::Statement;
    Item.Step = makeStep(
        wire::step_kind::simple,
        "DO $teasellock$ BEGIN RAISE EXCEPTION USING ERRCODE = " +
            quoteLiteral(Code) + ", MESSAGE = " + quoteLiteral(Problem) +
            "; END $teasellock$");
    Item.Info = std::make_shared<const query_info>(
        query_info{{statement_info()}, false});
  } else {
    State.Batch.Items.clear();
    Item.Kind = item_kind::Error;
    Item.Code = Code;
    Item.Problem = Problem;
  }
  State.Batch.Items.push_back(std::move(Item));
}

void addMessages(caller_state &State, std::string Bytes) {
  batch_item Item;
  Item.MessagesBefore = std::move(Bytes);
  State.Batch.Items.push_back(std::move(Item));
}

std::string emptyMessage(char Type) {
  std::string Bytes;
  pg::appendEmptyMessage(Bytes, Type);
  return Bytes;
}

/// Returns the SQLSTATE and message of the error if a query text is not
/// supported.
std::optional<std::pair<std::string, std::string>>
refusalOf(const query_info &Info, bool InTransaction) {
  for (const auto &Statement : Info.Statements) {
    if (Statement.Class == statement_class::Copy)
      return std::pair(sql_state::FeatureNotSupported, "COPY is not supported");
    if (Statement.Class == statement_class::Unsupported && !InTransaction)
      return std::pair(sql_state::FeatureNotSupported,
                       "not supported: " + Statement.Feature);
  }
  return std::nullopt;
}

void handleQuery(caller_state &State, caller_environment &Environment,
                 std::string_view Body) {
  pg::field_reader Fields(Body);
  std::string Text(Fields.cString());
  Fields.expectEnd();
  State.Batch.Complete = true;
  batch_item Item;
  Item.Kind = item_kind::Statement;
  Item.Hints = parseHints(Text);
  Item.Info =
      Environment.Statements.findOrClassify(Item.Hints.TextWithoutHints);
  Item.Hints.TextWithoutHints = {};
  if (Item.Info->Statements.empty())
    return addMessages(State, emptyMessage('I'));
  if (auto Refusal = refusalOf(*Item.Info, State.TransactionStatus != 'I'))
    return addError(State, Refusal->first, Refusal->second);
  Item.Step = makeStep(wire::step_kind::simple, std::move(Text));
  State.Batch.Items.push_back(std::move(Item));
}

/// Reports whether the entry answers the statement of an extended query.
bool isAnsweredAtEntry(const query_info &Info) {
  return Info.Statements.empty() ||
         (Info.Statements.size() == 1 &&
          executionSiteOf(Info.Statements[0], false) !=
              execution_site::Gateway);
}

void handleParse(caller_state &State, caller_environment &Environment,
                 std::string_view Body) {
  pg::field_reader Fields(Body);
  std::string Name(Fields.cString());
  auto Statement = std::make_shared<prepared_statement>();
  Statement->Text = Fields.cString();
  auto Count = Fields.count16();
  for (int I = 0; I < Count; ++I)
    Statement->ParameterTypes.push_back(Fields.int32());
  Fields.expectEnd();
  Statement->Hints = parseHints(Statement->Text);
  Statement->Info =
      Environment.Statements.findOrClassify(Statement->Hints.TextWithoutHints);
  Statement->Hints.TextWithoutHints = {};
  bool InTransaction =
      State.TransactionStatus != 'I' || opensTransaction(State.Batch);
  if (auto Refusal = refusalOf(*Statement->Info, InTransaction))
    return addError(State, Refusal->first, Refusal->second);
  if (!Name.empty() && State.PreparedStatements.contains(Name))
    return addError(State, sql_state::DuplicateStatement,
                    "prepared statement \"" + Name + "\" already exists");
  if (State.PreparedStatements.size() >= MaxPreparedStatements)
    return addError(State, "54000", "too many prepared statements");
  State.PreparedStatements[Name] = Statement;
  batch_item Item;
  Item.MessagesBefore = emptyMessage('1');
  if (!isAnsweredAtEntry(*Statement->Info)) {
    Item.Kind = item_kind::Validate;
    Item.Name = Name;
    Item.Info = Statement->Info;
    Item.Hints = Statement->Hints;
    Item.Step = makeStep(wire::step_kind::describe, Statement->Text);
    Item.Step.parameter_types = Statement->ParameterTypes;
  }
  State.Batch.Items.push_back(std::move(Item));
}

/// Drops a statement's validation, because the same batch describes or binds it
/// and that reports its errors.
void dropValidation(caller_batch &Batch, const std::string &Name) {
  for (auto &Item : Batch.Items)
    if (Item.Kind == item_kind::Validate && Item.Name == Name)
      Item.Kind = item_kind::MessagesOnly;
}

std::vector<std::int16_t> parseFormats(pg::field_reader &Fields) {
  std::vector<std::int16_t> Formats;
  auto Count = Fields.count16();
  for (int I = 0; I < Count; ++I) {
    auto Format = Fields.int16();
    if (Format != 0 && Format != 1)
      throw pg::protocol_error{"unsupported format code"};
    Formats.push_back(Format);
  }
  return Formats;
}

std::vector<wire::parameter> parseParameters(pg::field_reader &Fields) {
  auto Formats = parseFormats(Fields);
  auto Count = static_cast<std::size_t>(Fields.count16());
  if (Formats.size() > 1 && Formats.size() != Count)
    throw pg::protocol_error{"parameter formats don't match the parameters"};
  std::vector<wire::parameter> Parameters(Count);
  for (std::size_t I = 0; I < Count; ++I) {
    auto &Parameter = Parameters[I];
    if (!Formats.empty())
      Parameter.format = Formats[Formats.size() == 1 ? 0 : I];
    auto Length = Fields.int32();
    Parameter.null_value = Length == -1;
    if (Length < -1)
      throw pg::protocol_error{"invalid length of a parameter"};
    if (Length >= 0)
      Parameter.value = Fields.bytes(static_cast<std::size_t>(Length));
  }
  return Parameters;
}

void handleBind(caller_state &State, std::string_view Body) {
  pg::field_reader Fields(Body);
  std::string PortalName(Fields.cString());
  std::string Name(Fields.cString());
  auto Portal = std::make_shared<caller_portal>();
  Portal->Parameters = parseParameters(Fields);
  Portal->ResultFormats = parseFormats(Fields);
  Fields.expectEnd();
  auto Statement = State.PreparedStatements.find(Name);
  if (Statement == State.PreparedStatements.end())
    return addError(State, sql_state::InvalidStatementName,
                    "prepared statement \"" + Name + "\" does not exist");
  if (!PortalName.empty() && State.Portals.contains(PortalName))
    return addError(State, sql_state::DuplicateCursor,
                    "portal \"" + PortalName + "\" already exists");
  dropValidation(State.Batch, Name);
  Portal->Statement = Statement->second;
  State.SuspendedPortals.erase(PortalName);
  State.Portals[PortalName] = Portal;
  addMessages(State, emptyMessage('2'));
}

void describeStatement(caller_state &State, const std::string &Name) {
  auto Found = State.PreparedStatements.find(Name);
  if (Found == State.PreparedStatements.end())
    return addError(State, sql_state::InvalidStatementName,
                    "prepared statement \"" + Name + "\" does not exist");
  dropValidation(State.Batch, Name);
  const auto &Statement = *Found->second;
  batch_item Item;
  if (isAnsweredAtEntry(*Statement.Info)) {
    auto Described = Statement.Info->Statements.empty()
                         ? statement_info()
                         : Statement.Info->Statements[0];
    describeAtEntry(Described, true, Item.MessagesBefore);
  } else {
    Item.Kind = item_kind::Describe;
    Item.Info = Statement.Info;
    Item.Hints = Statement.Hints;
    Item.Step = makeStep(wire::step_kind::describe, Statement.Text);
    Item.Step.parameter_types = Statement.ParameterTypes;
  }
  State.Batch.Items.push_back(std::move(Item));
}

void describePortal(caller_state &State, const std::string &Name) {
  auto Found = State.Portals.find(Name);
  if (Found == State.Portals.end())
    return addError(State, sql_state::InvalidCursorName,
                    "portal \"" + Name + "\" does not exist");
  const auto &Portal = *Found->second;
  const auto &Statement = *Portal.Statement;
  batch_item Item;
  if (isAnsweredAtEntry(*Statement.Info)) {
    auto Described = Statement.Info->Statements.empty()
                         ? statement_info()
                         : Statement.Info->Statements[0];
    describeAtEntry(Described, false, Item.MessagesBefore);
  } else {
    Item.Kind = item_kind::DescribePortal;
    Item.Name = Name;
    Item.Info = Statement.Info;
    Item.Hints = Statement.Hints;
    Item.Step = makeStep(wire::step_kind::describe, Statement.Text);
    Item.Step.parameter_types = Statement.ParameterTypes;
    Item.ResultFormats = Portal.ResultFormats;
  }
  State.Batch.Items.push_back(std::move(Item));
}

void handleDescribe(caller_state &State, std::string_view Body) {
  pg::field_reader Fields(Body);
  auto Kind = Fields.byte();
  std::string Name(Fields.cString());
  Fields.expectEnd();
  if (Kind == 'S')
    return describeStatement(State, Name);
  if (Kind == 'P')
    return describePortal(State, Name);
  throw pg::protocol_error{"invalid DESCRIBE message subtype"};
}

/// Returns the format of all columns, or nothing when they differ.
std::optional<std::int16_t>
commonFormat(const std::vector<std::int16_t> &Formats) {
  if (Formats.empty())
    return std::int16_t(0);
  for (auto Format : Formats)
    if (Format != Formats[0])
      return std::nullopt;
  return Formats[0];
}

void handleExecute(caller_state &State, std::string_view Body) {
  pg::field_reader Fields(Body);
  std::string Name(Fields.cString());
  auto MaxRows = Fields.int32();
  Fields.expectEnd();
  auto Found = State.Portals.find(Name);
  if (Found == State.Portals.end())
    return addError(State, sql_state::InvalidCursorName,
                    "portal \"" + Name + "\" does not exist");
  const auto &Portal = *Found->second;
  const auto &Statement = *Portal.Statement;
  if (Statement.Info->Statements.empty())
    return addMessages(State, emptyMessage('I'));
  auto &Items = State.Batch.Items;
  batch_item Item;
  Item.Kind = item_kind::Statement;
  Item.Info = Statement.Info;
  Item.Hints = Statement.Hints;
  Item.Step = makeStep(wire::step_kind::execute, Statement.Text);
  Item.Step.parameter_types = Statement.ParameterTypes;
  Item.Step.parameters = Portal.Parameters;
  Item.MaxRows = std::max(MaxRows, 0);
  Item.Portal = Name;
  auto Format = commonFormat(Portal.ResultFormats);
  Item.Step.result_format = Format.value_or(1);
  if (!Items.empty() && Items.back().Kind == item_kind::DescribePortal &&
      Items.back().Name == Name) {
    Item.MessagesBefore = std::move(Items.back().MessagesBefore);
    Item.Step.describe_rows = true;
    Items.pop_back();
  }
  if (!Format) {
    // All columns are requested in binary; the entry converts the text columns.
    Item.ResultFormats = Portal.ResultFormats;
    Item.RowDescriptionRequested = Item.Step.describe_rows;
    Item.Step.describe_rows = true;
  }
  Items.push_back(std::move(Item));
}

void closePortal(caller_state &State, const std::string &Name) {
  State.Portals.erase(Name);
  State.SuspendedPortals.erase(Name);
}

void handleClose(caller_state &State, std::string_view Body) {
  pg::field_reader Fields(Body);
  auto Kind = Fields.byte();
  std::string Name(Fields.cString());
  Fields.expectEnd();
  if (Kind == 'S')
    State.PreparedStatements.erase(Name);
  else if (Kind == 'P')
    closePortal(State, Name);
  else
    throw pg::protocol_error{"invalid CLOSE message subtype"};
  addMessages(State, emptyMessage('3'));
}

/// Handles a message of the extended query protocol that would be skipped after
/// an error.
void handleExtendedMessage(caller_state &State, caller_environment &Environment,
                           const pg::frame &Frame) {
  switch (Frame.Type) {
  case 'P':
    return handleParse(State, Environment, Frame.Body);
  case 'B':
    return handleBind(State, Frame.Body);
  case 'D':
    return handleDescribe(State, Frame.Body);
  case 'E':
    return handleExecute(State, Frame.Body);
  case 'C':
    return handleClose(State, Frame.Body);
  default:
    return;
  }
}

bool isExtendedMessage(char Type) {
  return Type == 'P' || Type == 'B' || Type == 'D' || Type == 'E' ||
         Type == 'C';
}

} // namespace

void handleMessage(caller_state &State, caller_environment &Environment,
                   const pg::frame &Frame, caller_effects &Effects) {
  auto &Batch = State.Batch;
  if (isExtendedMessage(Frame.Type)) {
    bool AlreadyFailed =
        Batch.Failed ||
        (!Batch.Items.empty() && Batch.Items.back().Kind == item_kind::Error);
    if (!AlreadyFailed)
      handleExtendedMessage(State, Environment, Frame);
    return;
  }
  switch (Frame.Type) {
  case 'Q':
    if (!Batch.Failed)
      handleQuery(State, Environment, Frame.Body);
    return processBatch(State, Environment, Effects);
  case 'S':
    Batch.Complete = true;
    return processBatch(State, Environment, Effects);
  case 'H':
    return processBatch(State, Environment, Effects);
  case 'F':
    addError(State, sql_state::FeatureNotSupported,
             "the protocol's FunctionCall message is not supported");
    Batch.Complete = true;
    return processBatch(State, Environment, Effects);
  case 'd':
  case 'c':
  case 'f':
    // CopyData, CopyDone and CopyFail that follow a refused COPY are ignored.
    return;
  case 'X':
    terminateCaller(State, Effects);
    Effects.Close = true;
    return;
  default:
    throw pg::protocol_error{
        "invalid frontend message type " +
        std::to_string(static_cast<unsigned char>(Frame.Type))};
  }
}

} // namespace teasellock
