#include "modules/line/line_caller_connection.h"

#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace teasellock {

namespace {

constexpr std::size_t ReadBytes = 16 * 1024;
/// TCP_USER_TIMEOUT in milliseconds, for peers that lost power.
constexpr unsigned TcpUserTimeoutMs = 10000;

} // namespace

line_caller_connection::line_caller_connection(line_caller_id Id, int Socket,
                                               time_point Now)
    : Id(Id), Socket(Socket), LastActivityAt(Now), AcceptedAt(Now) {}

line_caller_connection::~line_caller_connection() {
  // The watch ends before its descriptor may be used again.
  Watch = descriptor_watch();
  ::close(Socket);
}

void configureCallerSocket(int Socket) {
  int Enable = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof(Enable));
  ::setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &TcpUserTimeoutMs,
               sizeof(TcpUserTimeoutMs));
}

bool receive(line_caller_connection &Connection, time_point Now) {
  char Buffer[ReadBytes];
  ssize_t Count = ::recv(Connection.Socket, Buffer, sizeof(Buffer), 0);
  if (Count > 0) {
    Connection.Input.append(Buffer, static_cast<std::size_t>(Count));
    Connection.LastActivityAt = Now;
    return true;
  }
  return Count < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

void removeInput(line_caller_connection &Connection, std::size_t Bytes,
                 time_point Now) {
  Connection.Input.erase(0, Bytes);
  // A long message leaves a large buffer behind.
  if (Connection.Input.capacity() > Connection.Input.size() + ReadBytes)
    Connection.Input.shrink_to_fit();
  if (Connection.Input.empty())
    Connection.MessageStartedAt.reset();
  else if (Bytes > 0 || !Connection.MessageStartedAt)
    Connection.MessageStartedAt = Now;
}

bool flush(line_caller_connection &Connection, time_point Now) {
  auto &Out = Connection.Out;
  while (Connection.OutStart < Out.size()) {
    ssize_t Count = ::send(Connection.Socket, Out.data() + Connection.OutStart,
                           Out.size() - Connection.OutStart, MSG_NOSIGNAL);
    if (Count > 0) {
      Connection.OutStart += static_cast<std::size_t>(Count);
      Connection.UnreadSince.reset();
      continue;
    }
    if (errno == EINTR)
      continue;
    if (!Connection.UnreadSince)
      Connection.UnreadSince = Now;
    return errno == EAGAIN || errno == EWOULDBLOCK;
  }
  std::string().swap(Out);
  Connection.OutStart = 0;
  Connection.UnreadSince.reset();
  return true;
}

void discardOutput(line_caller_connection &Connection) {
  Connection.Out.clear();
  Connection.OutStart = 0;
}

bool isInputOverdue(const line_caller_connection &Connection,
                    const caller_limits &Limits, time_point Now) {
  auto Phase = Connection.Caller.Phase;
  bool StartTimedOut = Phase == line_caller_state::phase::Start &&
                       Now - Connection.AcceptedAt > Limits.StartTimeout;
  bool MessageTimedOut =
      Connection.MessageStartedAt && Phase != line_caller_state::phase::Busy &&
      Now - *Connection.MessageStartedAt > Limits.MessageTimeout;
  return StartTimedOut || MessageTimedOut;
}

bool isOutputOverdue(const line_caller_connection &Connection,
                     const caller_limits &Limits, time_point Now) {
  return Connection.UnreadSince &&
         Now - *Connection.UnreadSince > Limits.WriteTimeout;
}

} // namespace teasellock
