#include "tests/stand_in/session.h"
#include "tests/stand_in/server.h"

#include <random>

namespace teasellock::stand_in {

namespace {

constexpr std::int32_t ProtocolVersion = 196608;
constexpr std::int32_t SslRequest = 80877103;
constexpr std::int32_t GssRequest = 80877104;
constexpr std::int32_t CancelRequest = 80877102;
constexpr std::size_t ReplicationBufferBytes = 256 * 1024;

std::uint32_t newSecret() {
  static std::mt19937 Generator(std::random_device{}());
  return Generator();
}

void emptyMessage(std::string &Out, char Type) {
  message_writer Message(Out, Type);
}

} // namespace

session::session(server &Server, int Descriptor, std::uint32_t Pid)
    : Server(Server), Connection(Server.loop(), Descriptor), Pid(Pid),
      Secret(newSecret()) {
  Transaction.Owner = Pid;
  Environment.CallFunction = [this](const std::string &Name,
                                    const std::vector<value> &Arguments) {
    return callFunction(Name, Arguments);
  };
  Environment.FindVirtualTable = [&Server](const std::string &Name) {
    return Server.findVirtualTable(Name);
  };
  Environment.RecordInsert = [&Server](const std::string &Table,
                                       const std::string &Key) {
    Server.recordInsert(Table, Key);
  };
  Connection.start([this] { handleData(); }, [this] { close(); });
}

session::~session() = default;

std::string session::activity() const {
  if (InSimpleQuery || ExecutingPortal)
    return "active";
  if (!InTransactionBlock)
    return "idle";
  return TransactionFailed ? "idle in transaction (aborted)"
                           : "idle in transaction";
}

void session::setPaused(bool Paused) {
  Connection.setPaused(Paused);
  if (!Paused)
    processMessages();
}

void session::mute() { Connection.mute(); }

void session::close() {
  if (IsClosed)
    return;
  IsClosed = true;
  Timer.cancel();
  endStatement();
  endTransaction(false);
  Server.removeSession(Pid);
}

void session::terminate(const std::string &SqlState,
                        const std::string &Reason) {
  if (IsClosed)
    return;
  writeError(Connection.output(), SqlState, Reason, true);
  Connection.flush();
  close();
}

void session::handleData() { processMessages(); }

void session::processMessages() {
  // Prevents recursion when a wait ends immediately within processNext().
  if (IsProcessing)
    return;
  IsProcessing = true;
  try {
    while (!IsClosed && Waiting == wait::None && !Server.isFrozen() &&
           !Connection.isMuted() && !Connection.isCongested() &&
           processNext()) {
    }
  } catch (const sql_error &Error) {
    // Errors outside of statements are protocol violations.
    terminate(Error.sqlState(), Error.what());
  }
  IsProcessing = false;
  Connection.flush();
}

bool session::processNext() {
  if (InSimpleQuery) {
    executeNextInBatch();
    return true;
  }
  if (ExecutingPortal) {
    executePortal();
    return true;
  }
  std::size_t Bytes = 0;
  auto Message = extractMessage(Connection.input(), Bytes, !IsStarted);
  if (!Message)
    return false;
  handleMessage(*Message);
  Connection.consume(Bytes);
  return true;
}

void session::handleMessage(const message &Message) {
  if (!IsStarted)
    return handleStartup(Message);
  if (IsReplicating) {
    handleReplicaMessage(Sender, Server.tables(), Message, Connection.output());
    return sendReplication(false);
  }
  message_reader Reader(Message.Payload);
  switch (Message.Type) {
  case 'Q':
    return handleQuery(Reader.text());
  case 'S':
    return handleSync();
  case 'X':
    return close();
  case 'p':
    return;
  default:
    break;
  }
  if (SkipToSync)
    return;
  try {
    handleExtendedQueryMessage(Message);
  } catch (const sql_error &Error) {
    handleError(Error);
  }
}

void session::handleStartup(const message &Message) {
  message_reader Reader(Message.Payload);
  std::int32_t Version = Reader.int32();
  if (Version == SslRequest || Version == GssRequest) {
    Connection.output().push_back('N');
    return;
  }
  if (Version == CancelRequest)
    return handleCancelRequest(Reader);
  if (Version != ProtocolVersion)
    throw sql_error("08P01", "unsupported protocol version");
  Settings = startupParameters(Reader);
  StartupSettings = Settings;
  ApplicationName = Settings["application_name"];
  Database = Settings["database"];
  IsStarted = true;
  IsReplicating = !Settings["replication"].empty();
  if (Server.isPartitionedFrom(ApplicationName))
    return close();
  if (IsReplicating)
    return Server.terminateOlderStreams(*this);
  Waiting = wait::Start;
  Timer = Server.timers().after(Server.options().ConnectTime,
                                [this] { finishStartup(); });
}

void session::handleCancelRequest(message_reader Reader) {
  session *Target =
      Server.findSession(static_cast<std::uint32_t>(Reader.int32()));
  auto Key = static_cast<std::uint32_t>(Reader.int32());
  if (Target && Target->secret() == Key)
    Target->cancelStatement();
  close();
}

void session::finishStartup() {
  if (Database != Server.options().Group.Value)
    return terminate("3D000", "database \"" + Database + "\" does not exist");
  if (!Server.isWithinConnectionLimit())
    return terminate("53300", "sorry, too many clients already");
  sendGreeting();
  Waiting = wait::None;
  processMessages();
}

void session::sendGreeting() {
  std::string &Out = Connection.output();
  {
    message_writer Authenticated(Out, 'R');
    Authenticated.int32(0);
  }
  bool Replica = Server.isReplica();
  writeParameterStatus(Out, "server_version", "15.0");
  writeParameterStatus(Out, "server_encoding", "UTF8");
  writeParameterStatus(Out, "client_encoding", "UTF8");
  writeParameterStatus(Out, "DateStyle", "ISO, MDY");
  writeParameterStatus(Out, "TimeZone", "UTC");
  writeParameterStatus(Out, "integer_datetimes", "on");
  writeParameterStatus(Out, "standard_conforming_strings", "on");
  writeParameterStatus(Out, "in_hot_standby", Replica ? "on" : "off");
  writeParameterStatus(Out, "application_name", ApplicationName);
  {
    message_writer KeyData(Out, 'K');
    KeyData.int32(static_cast<std::int32_t>(Pid));
    KeyData.int32(static_cast<std::int32_t>(Secret));
  }
  sendReadyForQuery();
}

void session::sendReadyForQuery() {
  message_writer Message(Connection.output(), 'Z');
  Message.byte(!InTransactionBlock ? 'I' : TransactionFailed ? 'E' : 'T');
}

void session::sendReplication(bool IncludeKeepAlive) {
  if (!IsReplicating || Server.isFrozen() || Connection.isMuted())
    return;
  std::string &Out = Connection.output();
  sendRecords(Sender, Server.tables(), ReplicationBufferBytes, Out);
  if (IncludeKeepAlive)
    emptyMessage(Out, KeepAlive);
  Connection.flush();
}

void session::handleQuery(const std::string &Sql) {
  SkipToSync = false;
  try {
    Batch = parseStatements(Sql);
  } catch (const sql_error &Error) {
    handleError(Error);
    return sendReadyForQuery();
  }
  if (Batch.empty()) {
    emptyMessage(Connection.output(), 'I');
    return sendReadyForQuery();
  }
  NextInBatch = 0;
  InSimpleQuery = true;
}

void session::executeNextInBatch() {
  try {
    auto Result = execute(Batch[NextInBatch], {});
    if (!Result)
      return;
    std::string &Out = Connection.output();
    if (Result->HasRows) {
      writeRowDescription(Out, Result->Columns, {});
      for (const row &Row : Result->Rows)
        writeDataRow(Out, Row, Result->Columns, {});
    }
    {
      message_writer Complete(Out, 'C');
      Complete.text(Result->CommandTag);
    }
    if (++NextInBatch < Batch.size())
      return;
  } catch (const sql_error &Error) {
    handleError(Error);
  }
  finishSimpleQuery();
}

void session::finishSimpleQuery() {
  InSimpleQuery = false;
  SkipToSync = false;
  if (!InTransactionBlock)
    endTransaction(!TransactionFailed);
  if (!IsClosed)
    sendReadyForQuery();
}

void session::handleExtendedQueryMessage(const message &Message) {
  message_reader Reader(Message.Payload);
  switch (Message.Type) {
  case 'P':
    return handleParse(Reader);
  case 'B':
    return handleBind(Reader);
  case 'D':
    return handleDescribe(Reader);
  case 'E':
    return handleExecute(Reader);
  case 'C':
    return handleClose(Reader);
  case 'H':
    return Connection.flush();
  default:
    throw sql_error("08P01", "unknown message type");
  }
}

void session::handleParse(message_reader Reader) {
  std::string Name = Reader.text();
  std::vector<statement> Statements = parseStatements(Reader.text());
  if (Statements.size() > 1)
    throw sql_error("42601", "cannot insert multiple commands into a prepared "
                             "statement");
  if (!Name.empty() && Prepared.contains(Name))
    throw sql_error("42P05",
                    "prepared statement \"" + Name + "\" already exists");
  if (Statements.empty())
    Statements.emplace_back();
  std::vector<sql_type> Declared;
  std::int16_t Count = Reader.int16();
  for (std::int16_t Index = 0; Index < Count; ++Index)
    Declared.push_back(static_cast<sql_type>(Reader.int32()));
  prepared_statement NewStatement;
  NewStatement.ParameterTypes =
      describeStatement(Server.tables(), Statements.front(), Environment,
                        Declared)
          .Parameters;
  NewStatement.Statement =
      std::make_shared<const statement>(std::move(Statements.front()));
  Prepared[Name] = std::move(NewStatement);
  emptyMessage(Connection.output(), '1');
}

void session::handleBind(message_reader Reader) {
  std::string PortalName = Reader.text();
  std::string Name = Reader.text();
  auto Found = Prepared.find(Name);
  if (Found == Prepared.end())
    throw sql_error("26000",
                    "prepared statement \"" + Name + "\" does not exist");
  portal Portal;
  Portal.Statement = Found->second.Statement;
  std::vector<std::int16_t> Formats;
  for (std::int16_t Left = Reader.int16(); Left > 0; --Left)
    Formats.push_back(Reader.int16());
  const std::vector<sql_type> &Types = Found->second.ParameterTypes;
  auto Count =
      static_cast<std::size_t>(static_cast<std::uint16_t>(Reader.int16()));
  if (Count != Types.size())
    throw sql_error("08P01", "bind message supplies " + std::to_string(Count) +
                                 " parameters, but " +
                                 std::to_string(Types.size()) + " are needed");
  for (std::size_t Index = 0; Index < Count; ++Index) {
    std::int32_t Size = Reader.int32();
    if (Size < 0) {
      Portal.Parameters.emplace_back();
      continue;
    }
    Portal.Parameters.push_back(
        readParameter(Types[Index], formatCodeOf(Formats, Index),
                      Reader.bytes(static_cast<std::size_t>(Size))));
  }
  for (std::int16_t Left = Reader.int16(); Left > 0; --Left)
    Portal.Formats.push_back(Reader.int16());
  Portals[PortalName] = std::move(Portal);
  emptyMessage(Connection.output(), '2');
}

void session::handleDescribe(message_reader Reader) {
  bool OfStatement = Reader.byte() == 'S';
  std::string Name = Reader.text();
  auto Statement = Prepared.find(Name);
  auto Portal = Portals.find(Name);
  if (OfStatement ? Statement == Prepared.end() : Portal == Portals.end())
    throw sql_error(OfStatement ? "26000" : "34000",
                    "\"" + Name + "\" does not exist");
  std::string &Out = Connection.output();
  auto Description = describeStatement(
      Server.tables(),
      OfStatement ? *Statement->second.Statement : *Portal->second.Statement,
      Environment, {});
  if (OfStatement) {
    const std::vector<sql_type> &Types = Statement->second.ParameterTypes;
    message_writer Message(Out, 't');
    Message.int16(static_cast<std::int16_t>(Types.size()));
    for (sql_type Type : Types)
      Message.int32(static_cast<std::int32_t>(Type));
  }
  if (Description.HasRows)
    writeRowDescription(Out, Description.Columns,
                        OfStatement ? std::vector<std::int16_t>()
                                    : Portal->second.Formats);
  else
    emptyMessage(Out, 'n');
}

void session::handleExecute(message_reader Reader) {
  std::string Name = Reader.text();
  if (!Portals.contains(Name))
    throw sql_error("34000", "portal \"" + Name + "\" does not exist");
  MaxExecutedRows = Reader.int32();
  ExecutingPortal = std::move(Name);
}

void session::executePortal() {
  try {
    portal &Portal = Portals.at(*ExecutingPortal);
    if (Portal.Statement->Kind == statement_kind::Empty) {
      emptyMessage(Connection.output(), 'I');
    } else {
      if (!Portal.Result)
        Portal.Result = execute(*Portal.Statement, Portal.Parameters);
      if (!Portal.Result)
        return;
      sendRows(Portal);
    }
  } catch (const sql_error &Error) {
    handleError(Error);
  }
  ExecutingPortal.reset();
}

void session::sendRows(portal &Portal) {
  std::string &Out = Connection.output();
  result &Result = *Portal.Result;
  std::size_t End = Result.Rows.size();
  if (MaxExecutedRows > 0)
    End = std::min(End,
                   Portal.NextRow + static_cast<std::size_t>(MaxExecutedRows));
  for (; Portal.NextRow < End; ++Portal.NextRow)
    writeDataRow(Out, Result.Rows[Portal.NextRow], Result.Columns,
                 Portal.Formats);
  if (End < Result.Rows.size())
    return emptyMessage(Out, 's');
  message_writer Complete(Out, 'C');
  Complete.text(Result.CommandTag);
}

void session::handleClose(message_reader Reader) {
  if (Reader.byte() == 'S')
    Prepared.erase(Reader.text());
  else
    Portals.erase(Reader.text());
  emptyMessage(Connection.output(), '3');
}

void session::handleSync() {
  SkipToSync = false;
  if (!InTransactionBlock) {
    endTransaction(!TransactionFailed);
    Portals.clear();
  }
  sendReadyForQuery();
}

void session::handleError(const sql_error &Error) {
  if (IsClosed)
    return;
  writeError(Connection.output(), Error.sqlState(), Error.what(), false);
  endStatement();
  TransactionFailed = true;
  SkipToSync = true;
  // Rolls back the transaction, including the implicit one outside a block.
  endTransaction(false);
}

} // namespace teasellock::stand_in
