#include "tests/misuse/crowd.h"

#include "core/error.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace teasellock::misuse {

struct crowd::member {
  timer_service &Timers;
  const connection_script Script;
  int Socket = -1;
  descriptor_watch Watch;
  timer_subscription PieceTimer;
  std::string Unsent;
  std::size_t FillerBytes = 0;
  bool IsEndingQueued = false;
  bool IsFinished = false;

  member(event_loop &Loop, timer_service &Timers, const endpoint &Target,
         const connection_script &Script);
  ~member();

  void refill();
  void sendPiece();
  void pause();
};

crowd::member::member(event_loop &Loop, timer_service &Timers,
                      const endpoint &Target, const connection_script &Script)
    : Timers(Timers), Script(Script), Unsent(Script.Opening) {
  Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    throw error("crowd.connect", toString(Target), std::strerror(errno));
  sockaddr_in Address = toSocketAddress(Target);
  int Status = ::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                         sizeof(Address));
  if (Status < 0 && errno != EINPROGRESS)
    throw error("crowd.connect", toString(Target), std::strerror(errno));
  Watch = Loop.watch(Socket, {false, true}, [this](readiness) { sendPiece(); });
}

crowd::member::~member() {
  Watch = descriptor_watch();
  ::close(Socket);
}

void crowd::member::refill() {
  if (!Unsent.empty() || IsEndingQueued)
    return;
  if (FillerBytes < Script.TotalBytes) {
    std::size_t Count =
        std::min(Script.Filler.size(), Script.TotalBytes - FillerBytes);
    Unsent = Script.Filler.substr(0, Count);
    FillerBytes += Count;
    return;
  }
  Unsent = Script.Ending;
  IsEndingQueued = true;
}

void crowd::member::sendPiece() {
  refill();
  if (Unsent.empty()) {
    IsFinished = true;
    return Watch.setInterest({});
  }
  ssize_t Count =
      ::send(Socket, Unsent.data(), std::min(Unsent.size(), Script.PieceBytes),
             MSG_NOSIGNAL);
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (Count < 0) {
    IsFinished = true;
    return Watch.setInterest({});
  }
  Unsent.erase(0, static_cast<std::size_t>(Count));
  if (Script.PieceInterval > duration::zero())
    pause();
}

void crowd::member::pause() {
  Watch.setInterest({});
  PieceTimer = Timers.after(Script.PieceInterval, [this] {
    Watch.setInterest({false, true});
  });
}

crowd::crowd(event_loop &Loop, timer_service &Timers, const endpoint &Target,
             const connection_script &Script, std::size_t Size) {
  for (std::size_t Index = 0; Index < Size; ++Index)
    Members.push_back(std::make_unique<member>(Loop, Timers, Target, Script));
}

crowd::~crowd() = default;

std::size_t crowd::finished() const {
  return static_cast<std::size_t>(
      std::count_if(Members.begin(), Members.end(),
                    [](const auto &Member) { return Member->IsFinished; }));
}

std::size_t crowd::size() const { return Members.size(); }

} // namespace teasellock::misuse
