#include "modules/upstream/message_encoder.h"

namespace teasellock {

namespace {

constexpr std::size_t LengthSize = 4;

void append16(std::string &Out, std::uint32_t Number) {
  Out += static_cast<char>(Number >> 8);
  Out += static_cast<char>(Number);
}

void append32(std::string &Out, std::uint32_t Number) {
  append16(Out, Number >> 16);
  append16(Out, Number);
}

// libpq's field codes are those of the protocol.
constexpr char DiagnosticFields[] = {
    PG_DIAG_SEVERITY,           PG_DIAG_SEVERITY_NONLOCALIZED,
    PG_DIAG_SQLSTATE,           PG_DIAG_MESSAGE_PRIMARY,
    PG_DIAG_MESSAGE_DETAIL,     PG_DIAG_MESSAGE_HINT,
    PG_DIAG_STATEMENT_POSITION, PG_DIAG_INTERNAL_POSITION,
    PG_DIAG_INTERNAL_QUERY,     PG_DIAG_CONTEXT,
    PG_DIAG_SCHEMA_NAME,        PG_DIAG_TABLE_NAME,
    PG_DIAG_COLUMN_NAME,        PG_DIAG_DATATYPE_NAME,
    PG_DIAG_CONSTRAINT_NAME,    PG_DIAG_SOURCE_FILE,
    PG_DIAG_SOURCE_LINE,        PG_DIAG_SOURCE_FUNCTION,
};

std::string makeMessage(char Type, const std::string &Body) {
  std::string Message(1, Type);
  append32(Message, static_cast<std::uint32_t>(Body.size() + LengthSize));
  return Message + Body;
}

void appendField(std::string &Out, char Code, std::string_view Value) {
  Out += Code;
  Out += Value;
  Out += '\0';
}

std::string makeDiagnostics(char Type, std::string_view Severity,
                            std::string_view Code, std::string_view Text) {
  std::string Body;
  appendField(Body, PG_DIAG_SEVERITY, Severity);
  appendField(Body, PG_DIAG_SEVERITY_NONLOCALIZED, Severity);
  appendField(Body, PG_DIAG_SQLSTATE, Code);
  appendField(Body, PG_DIAG_MESSAGE_PRIMARY, Text);
  Body += '\0';
  return makeMessage(Type, Body);
}

std::size_t rowSize(const PGresult *Result, int Row, int Columns) {
  std::size_t Size = 2 + static_cast<std::size_t>(Columns) * 4;
  for (int Column = 0; Column < Columns; ++Column)
    Size += static_cast<std::size_t>(PQgetlength(Result, Row, Column));
  return Size;
}

} // namespace

void message_encoder::beginMessage(char Type, std::size_t BodySize) {
  std::size_t Whole = 1 + LengthSize + BodySize;
  if (OnPart && !Buffer.empty() && Buffer.size() + Whole > MaxPartSize) {
    OnPart(std::move(Buffer));
    Buffer = std::string();
  }
  Buffer += Type;
  append32(Buffer, static_cast<std::uint32_t>(LengthSize + BodySize));
}

void message_encoder::rowDescription(const PGresult *Result) {
  std::string Body;
  int Columns = PQnfields(Result);
  append16(Body, static_cast<std::uint32_t>(Columns));
  for (int Column = 0; Column < Columns; ++Column) {
    Body += PQfname(Result, Column);
    Body += '\0';
    append32(Body, PQftable(Result, Column));
    append16(Body, static_cast<std::uint32_t>(PQftablecol(Result, Column)));
    append32(Body, PQftype(Result, Column));
    append16(Body, static_cast<std::uint32_t>(PQfsize(Result, Column)));
    append32(Body, static_cast<std::uint32_t>(PQfmod(Result, Column)));
    append16(Body, static_cast<std::uint32_t>(PQfformat(Result, Column)));
  }
  beginMessage('T', Body.size());
  Buffer += Body;
}

void message_encoder::dataRows(const PGresult *Result) {
  int Rows = PQntuples(Result);
  int Columns = PQnfields(Result);
  for (int Row = 0; Row < Rows; ++Row) {
    beginMessage('D', rowSize(Result, Row, Columns));
    append16(Buffer, static_cast<std::uint32_t>(Columns));
    for (int Column = 0; Column < Columns; ++Column) {
      if (PQgetisnull(Result, Row, Column)) {
        append32(Buffer, 0xFFFFFFFF);
        continue;
      }
      int Length = PQgetlength(Result, Row, Column);
      append32(Buffer, static_cast<std::uint32_t>(Length));
      Buffer.append(PQgetvalue(Result, Row, Column),
                    static_cast<std::size_t>(Length));
    }
  }
}

void message_encoder::commandComplete(const PGresult *Result) {
  // PQcmdStatus lacks const but does not change the result.
  std::string_view Tag = PQcmdStatus(const_cast<PGresult *>(Result));
  beginMessage('C', Tag.size() + 1);
  Buffer += Tag;
  Buffer += '\0';
}

void message_encoder::emptyQuery() { beginMessage('I', 0); }

void message_encoder::noData() { beginMessage('n', 0); }

void message_encoder::parameterDescription(const PGresult *Result) {
  int Count = PQnparams(Result);
  beginMessage('t', 2 + static_cast<std::size_t>(Count) * 4);
  append16(Buffer, static_cast<std::uint32_t>(Count));
  for (int Parameter = 0; Parameter < Count; ++Parameter)
    append32(Buffer, PQparamtype(Result, Parameter));
}

void message_encoder::diagnostics(char Type, const PGresult *Result) {
  std::string Body;
  for (char Field : DiagnosticFields)
    if (const char *Value = PQresultErrorField(Result, Field))
      appendField(Body, Field, Value);
  Body += '\0';
  beginMessage(Type, Body.size());
  Buffer += Body;
}

void message_encoder::errorResponse(const PGresult *Result) {
  diagnostics('E', Result);
}

void message_encoder::noticeResponse(const PGresult *Result) {
  diagnostics('N', Result);
}

std::string makeErrorResponse(std::string_view Code, std::string_view Text) {
  return makeDiagnostics('E', "ERROR", Code, Text);
}

std::string makeNoticeResponse(std::string_view Code, std::string_view Text) {
  return makeDiagnostics('N', "NOTICE", Code, Text);
}

std::string makeCommandComplete(std::string_view Tag) {
  std::string Body(Tag);
  Body += '\0';
  return makeMessage('C', Body);
}

} // namespace teasellock
