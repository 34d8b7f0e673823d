#include "sim.h"

#include <algorithm>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t MaxHeadBytes = 64 * 1024;
constexpr int Backlog = 256;

sockaddr_in loopback(int Port) {
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_port = htons(static_cast<std::uint16_t>(Port));
  At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return At;
}

int bindTo(int Socket, int Port) {
  sockaddr_in At = loopback(Port);
  return ::bind(Socket, reinterpret_cast<sockaddr *>(&At), sizeof(At));
}

int portOf(int Socket) {
  sockaddr_in At{};
  socklen_t Size = sizeof(At);
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&At), &Size);
  return ntohs(At.sin_port);
}

void setNoDelay(int Socket) {
  const int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

bool sendAll(int Socket, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Part =
        ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Part <= 0)
      return false;
    Sent += static_cast<std::size_t>(Part);
  }
  return true;
}

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Text;
}

std::string trim(const std::string &Text) {
  const auto First = Text.find_first_not_of(" \t");
  const auto Last = Text.find_last_not_of(" \t");
  return First == std::string::npos ? "" : Text.substr(First, Last - First + 1);
}

/// Reads messages of one connection.
class Reader {
public:
  explicit Reader(int Socket) : Socket_(Socket) {}

  /// Reads the first line, the header fields and the body of a message.
  /// Returns false if the connection ends or \p Until passes first.
  bool read(std::string &First, std::map<std::string, std::string> &Headers,
            std::string &Body, std::optional<Steady::time_point> Until) {
    std::size_t End = 0;
    while ((End = Buffer_.find("\r\n\r\n")) == std::string::npos)
      if (Buffer_.size() > MaxHeadBytes || !more(Until))
        return false;
    parseHead(Buffer_.substr(0, End), First, Headers);
    Buffer_.erase(0, End + 4);
    const auto Length = Headers.find("content-length");
    const std::size_t Bytes =
        Length == Headers.end() ? 0 : std::stoul(Length->second);
    while (Buffer_.size() < Bytes)
      if (!more(Until))
        return false;
    Body = Buffer_.substr(0, Bytes);
    Buffer_.erase(0, Bytes);
    return true;
  }

private:
  static void parseHead(const std::string &Head, std::string &First,
                        std::map<std::string, std::string> &Headers) {
    Headers.clear();
    std::size_t At = Head.find("\r\n");
    First = Head.substr(0, At);
    while (At != std::string::npos) {
      const std::size_t Next = Head.find("\r\n", At + 2);
      const std::string Line =
          Head.substr(At + 2, Next == std::string::npos ? Next : Next - At - 2);
      const std::size_t Colon = Line.find(':');
      if (Colon != std::string::npos)
        Headers[lower(Line.substr(0, Colon))] = trim(Line.substr(Colon + 1));
      At = Next;
    }
  }

  bool more(std::optional<Steady::time_point> Until) {
    int Wait = -1;
    if (Until) {
      const auto Left =
          std::chrono::duration_cast<Millis>(*Until - Steady::now()).count();
      if (Left <= 0)
        return false;
      Wait = static_cast<int>(Left);
    }
    pollfd Ready{Socket_, POLLIN, 0};
    if (::poll(&Ready, 1, Wait) <= 0)
      return false;
    char Part[16 * 1024];
    const ssize_t Count = ::recv(Socket_, Part, sizeof(Part), 0);
    if (Count <= 0)
      return false;
    Buffer_.append(Part, static_cast<std::size_t>(Count));
    return true;
  }

  int Socket_;
  std::string Buffer_;
};

} // namespace

std::string HttpRequest::path() const {
  return Target_.substr(0, Target_.find('?'));
}

std::string HttpRequest::query(const std::string &Name) const {
  std::size_t At = Target_.find('?');
  while (At != std::string::npos) {
    const std::size_t Next = Target_.find('&', At + 1);
    const std::string Part = Target_.substr(
        At + 1, Next == std::string::npos ? Next : Next - At - 1);
    At = Next;
    if (!Part.starts_with(Name + "="))
      continue;
    std::string Value;
    for (std::size_t I = Name.size() + 1; I < Part.size(); ++I) {
      if (Part[I] == '%' && I + 2 < Part.size()) {
        Value +=
            static_cast<char>(std::stoi(Part.substr(I + 1, 2), nullptr, 16));
        I += 2;
      } else {
        Value += Part[I] == '+' ? ' ' : Part[I];
      }
    }
    return Value;
  }
  return "";
}

HttpServer::HttpServer(Handler Handle, int Port) : Handle_(std::move(Handle)) {
  Listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Listener_, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  if (bindTo(Listener_, Port) != 0 || ::listen(Listener_, Backlog) != 0) {
    record("cannot listen on a port");
    std::_Exit(2);
  }
  Port_ = portOf(Listener_);
  std::thread([this] { acceptLoop(); }).detach();
}

std::string HttpServer::address() const {
  return "127.0.0.1:" + std::to_string(Port_);
}

void HttpServer::reset() {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  for (const int Socket : Open_)
    ::shutdown(Socket, SHUT_RDWR);
}

void HttpServer::acceptLoop() {
  while (true) {
    const int Socket = ::accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      continue;
    setNoDelay(Socket);
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      Open_.insert(Socket);
    }
    std::thread([this, Socket] { serve(Socket); }).detach();
  }
}

void HttpServer::serve(int Socket) {
  Reader In(Socket);
  std::string First;
  HttpRequest Call;
  while (In.read(First, Call.Headers_, Call.Body_, std::nullopt)) {
    const std::size_t Space = First.find(' ');
    Call.Method_ = First.substr(0, Space);
    Call.Target_ =
        First.substr(Space + 1, First.find(' ', Space + 1) - Space - 1);
    const HttpAnswer Answer = Handle_(Call);
    if (Answer.Dropped_ ||
        !sendAll(Socket, "HTTP/1.1 " + std::to_string(Answer.Status_) +
                             " -\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(Answer.Body_.size()) + "\r\n\r\n" +
                             Answer.Body_))
      break;
  }
  const std::lock_guard<std::mutex> Lock(Mutex_);
  Open_.erase(Socket);
  ::close(Socket);
}

std::optional<HttpAnswer>
httpCall(int Port, const std::string &Method, const std::string &Target,
         const std::map<std::string, std::string> &Headers,
         const std::string &Body, std::int64_t TimeoutMs) {
  const auto Until = Steady::now() + Millis(TimeoutMs);
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in At = loopback(Port);
  std::optional<HttpAnswer> Result;
  std::string Text = Method + " " + Target + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Headers) {
    Text += Name;
    Text += ": ";
    Text += Value;
    Text += "\r\n";
  }
  Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&At), sizeof(At)) == 0) {
    setNoDelay(Socket);
    std::string First;
    std::map<std::string, std::string> Fields;
    HttpAnswer Answer;
    Reader In(Socket);
    if (sendAll(Socket, Text) && In.read(First, Fields, Answer.Body_, Until)) {
      Answer.Status_ = std::atoi(First.substr(First.find(' ') + 1).c_str());
      Result = Answer;
    }
  }
  ::close(Socket);
  return Result;
}

int freePort() {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bindTo(Socket, 0);
  const int Port = portOf(Socket);
  ::close(Socket);
  return Port;
}

} // namespace review
