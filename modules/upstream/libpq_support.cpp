#include "modules/upstream/libpq_support.h"

namespace teasellock {

parameter_arrays::parameter_arrays(
    const std::vector<wire::parameter> &Parameters) {
  for (const wire::parameter &Parameter : Parameters) {
    Values.push_back(Parameter.null_value ? nullptr : Parameter.value.c_str());
    Lengths.push_back(static_cast<int>(Parameter.value.size()));
    Formats.push_back(Parameter.format);
  }
}

std::vector<Oid> toOids(const std::vector<std::int32_t> &Types) {
  return std::vector<Oid>(Types.begin(), Types.end());
}

text_table toTable(const PGresult *Result) {
  text_table Table;
  for (int Row = 0; Row < PQntuples(Result); ++Row) {
    std::vector<std::string> &Values = Table.Rows.emplace_back();
    for (int Column = 0; Column < PQnfields(Result); ++Column)
      Values.emplace_back(PQgetvalue(Result, Row, Column));
  }
  return Table;
}

std::string problemOf(const PGconn *Connection) {
  const char *Text = PQerrorMessage(Connection);
  std::string Line(Text ? Text : "");
  while (!Line.empty() && Line.back() == '\n')
    Line.pop_back();
  return Line;
}

PGconn *startConnection(const upstream_target &Target) {
  std::string Port = std::to_string(Target.Address.Port);
  std::vector<const char *> Names;
  std::vector<const char *> Values;
  auto Add = [&](const char *Name, const std::string &Value) {
    if (Value.empty())
      return;
    Names.push_back(Name);
    Values.push_back(Value.c_str());
  };
  Add("hostaddr", Target.Address.Address);
  Add("port", Port);
  Add("dbname", Target.Database);
  Add("user", Target.User);
  Add("password", Target.Password);
  Add("application_name", Target.ApplicationName);
  Add("sslmode", Target.SslMode);
  Add("sslrootcert", Target.SslRootCertificate);
  static const std::string Disable = "disable";
  Add("gssencmode", Disable);
  Names.push_back(nullptr);
  Values.push_back(nullptr);
  return PQconnectStartParams(Names.data(), Values.data(), 0);
}

} // namespace teasellock
