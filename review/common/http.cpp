#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr int Backlog = 1024;
constexpr std::size_t ReadSize = 65536;

sockaddr_in toSockaddr(const Address &At) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(At.Port_);
  inet_pton(AF_INET, At.Ip_.c_str(), &Result.sin_addr);
  return Result;
}

void setNoDelay(int Socket) {
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
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

bool sendAll(int Socket, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Count =
        ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

using Deadline = std::optional<std::chrono::steady_clock::time_point>;

bool waitReadable(int Socket, const Deadline &Until) {
  if (!Until)
    return true;
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      *Until - std::chrono::steady_clock::now());
  if (Left.count() <= 0)
    return false;
  pollfd Wait{Socket, POLLIN, 0};
  return poll(&Wait, 1, static_cast<int>(Left.count())) > 0;
}

bool readMore(int Socket, std::string &Into, const Deadline &Until) {
  if (!waitReadable(Socket, Until))
    return false;
  std::string Part(ReadSize, '\0');
  const ssize_t Count = recv(Socket, Part.data(), Part.size(), 0);
  if (Count <= 0)
    return false;
  Into.append(Part, 0, static_cast<std::size_t>(Count));
  return true;
}

/// Reads one message. \p Buffer keeps what follows it.
bool readMessage(int Socket, std::string &Buffer, HttpMessage &Into,
                 const Deadline &Until) {
  std::size_t End = 0;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!readMore(Socket, Buffer, Until))
      return false;
  std::size_t At = Buffer.find("\r\n");
  const std::string First = Buffer.substr(0, At);
  while (At < End) {
    const std::size_t Next = std::min(Buffer.find("\r\n", At + 2), End);
    const std::string Line = Buffer.substr(At + 2, Next - At - 2);
    const auto Colon = Line.find(':');
    if (Colon != std::string::npos)
      Into.Headers_[lower(Line.substr(0, Colon))] =
          trim(Line.substr(Colon + 1));
    At = Next;
  }
  const auto Space = First.find(' ');
  if (First.starts_with("HTTP/")) {
    Into.Status_ = std::atoi(First.c_str() + Space + 1);
  } else {
    Into.Method_ = First.substr(0, Space);
    const std::string Target =
        First.substr(Space + 1, First.rfind(' ') - Space - 1);
    const auto Mark = Target.find('?');
    Into.Path_ = Target.substr(0, Mark);
    std::string Rest = Mark == std::string::npos ? "" : Target.substr(Mark + 1);
    while (!Rest.empty()) {
      const auto Amp = Rest.find('&');
      const std::string Pair = Rest.substr(0, Amp);
      const auto Equal = Pair.find('=');
      if (Equal != std::string::npos)
        Into.Query_[Pair.substr(0, Equal)] = Pair.substr(Equal + 1);
      Rest = Amp == std::string::npos ? "" : Rest.substr(Amp + 1);
    }
  }
  std::size_t Length = 0;
  if (const auto Field = Into.Headers_.find("content-length");
      Field != Into.Headers_.end())
    Length = std::strtoull(Field->second.c_str(), nullptr, 10);
  Buffer.erase(0, End + 4);
  while (Buffer.size() < Length)
    if (!readMore(Socket, Buffer, Until))
      return false;
  Into.Body_ = Buffer.substr(0, Length);
  Buffer.erase(0, Length);
  return true;
}

const char *reasonOf(int Status) { return Status < 300 ? "OK" : "Refused"; }

} // namespace

HttpServer::HttpServer(Address At, Handler Handle)
    : At_(std::move(At)), Handle_(std::move(Handle)) {}

HttpServer::~HttpServer() { stop(); }

bool HttpServer::start() {
  Listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Listener_, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in To = toSockaddr(At_);
  if (bind(Listener_, reinterpret_cast<const sockaddr *>(&To), sizeof(To)) !=
          0 ||
      listen(Listener_, Backlog) != 0)
    return false;
  Acceptor_ = std::thread([this] { acceptLoop(); });
  return true;
}

void HttpServer::stop() {
  if (Stopped_.exchange(true))
    return;
  if (Listener_ >= 0)
    shutdown(Listener_, SHUT_RDWR);
  if (Acceptor_.joinable())
    Acceptor_.join();
  if (Listener_ >= 0)
    close(Listener_);
  {
    const std::lock_guard Lock(Mutex_);
    for (const int Socket : Open_)
      shutdown(Socket, SHUT_RDWR);
  }
  while (Serving_ > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void HttpServer::acceptLoop() {
  while (!Stopped_) {
    const int Socket = accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      continue;
    setNoDelay(Socket);
    {
      const std::lock_guard Lock(Mutex_);
      Open_.insert(Socket);
    }
    ++Serving_;
    std::thread([this, Socket] {
      serve(Socket);
      {
        const std::lock_guard Lock(Mutex_);
        Open_.erase(Socket);
        close(Socket);
      }
      --Serving_;
    }).detach();
  }
}

void HttpServer::serve(int Socket) {
  std::string Buffer;
  while (!Stopped_) {
    HttpMessage Request;
    if (!readMessage(Socket, Buffer, Request, std::nullopt))
      return;
    const Answer Reply = Handle_(Request);
    if (Reply.Break_ || Stopped_)
      return;
    const std::string Text =
        "HTTP/1.1 " + std::to_string(Reply.Status_) + " " +
        reasonOf(Reply.Status_) +
        "\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(Reply.Body_.size()) + "\r\n\r\n" + Reply.Body_;
    if (!sendAll(Socket, Text))
      return;
  }
}

HttpMessage call(const Address &To, const std::string &Method,
                 const std::string &Target,
                 const std::map<std::string, std::string> &Headers,
                 const std::string &Body, int TimeoutMs) {
  HttpMessage Result;
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in At = toSockaddr(To);
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&At), sizeof(At)) ==
      0) {
    setNoDelay(Socket);
    std::string Text = Method + " " + Target + " HTTP/1.1\r\n";
    for (const auto &[Name, Value] : Headers)
      Text += Name + ": " + Value + "\r\n";
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
    std::string Buffer;
    const Deadline Until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(TimeoutMs);
    if (!sendAll(Socket, Text + Body) ||
        !readMessage(Socket, Buffer, Result, Until))
      Result = HttpMessage();
  }
  close(Socket);
  return Result;
}

} // namespace review
