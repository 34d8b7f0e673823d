#include "http.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cstring>
#include <stdexcept>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace review3 {

namespace {

constexpr std::string_view Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

sockaddr_in loopback(int Port) {
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_port = htons(static_cast<std::uint16_t>(Port));
  At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return At;
}

int listenOn(int Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  const sockaddr_in At = loopback(Port);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&At), sizeof At) != 0 ||
      listen(Socket, 512) != 0)
    throw std::runtime_error("cannot listen on a loopback port");
  return Socket;
}

int portOf(int Socket) {
  sockaddr_in At{};
  socklen_t Length = sizeof At;
  getsockname(Socket, reinterpret_cast<sockaddr *>(&At), &Length);
  return ntohs(At.sin_port);
}

std::string decodeUrl(std::string_view Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      const std::string Digits(Text.substr(I + 1, 2));
      Result += static_cast<char>(std::strtol(Digits.c_str(), nullptr, 16));
      I += 2;
    } else {
      Result += Text[I] == '+' ? ' ' : Text[I];
    }
  }
  return Result;
}

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Text;
}

std::string trim(std::string_view Text) {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t'))
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\r'))
    Text.remove_suffix(1);
  return std::string(Text);
}

/// Reads messages from one connection.
class Reader {
public:
  explicit Reader(int Socket) : Socket_(Socket) {}

  /// Reads the start line and the header fields. Returns false at the end.
  bool readHead(std::string &StartLine,
                std::map<std::string, std::string> &Headers) {
    std::size_t End = 0;
    while ((End = Buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!readMore())
        return false;
    const std::string Head = Buffer_.substr(0, End);
    Buffer_.erase(0, End + 4);
    std::size_t At = Head.find("\r\n");
    StartLine = Head.substr(0, At);
    while (At != std::string::npos) {
      const std::size_t Next = Head.find("\r\n", At + 2);
      const std::string Line =
          Head.substr(At + 2, Next == std::string::npos ? std::string::npos
                                                        : Next - At - 2);
      if (const std::size_t Colon = Line.find(':'); Colon != std::string::npos)
        Headers[lower(Line.substr(0, Colon))] = trim(Line.substr(Colon + 1));
      At = Next;
    }
    return true;
  }

  bool readBody(const std::map<std::string, std::string> &Headers,
                std::string &Body) {
    const auto Length = Headers.find("content-length");
    const std::size_t Bytes =
        Length == Headers.end()
            ? 0
            : static_cast<std::size_t>(std::atoll(Length->second.c_str()));
    while (Buffer_.size() < Bytes)
      if (!readMore())
        return false;
    Body = Buffer_.substr(0, Bytes);
    Buffer_.erase(0, Bytes);
    return true;
  }

private:
  bool readMore() {
    std::array<char, 16384> Part;
    const ssize_t Read = recv(Socket_, Part.data(), Part.size(), 0);
    if (Read <= 0)
      return false;
    Buffer_.append(Part.data(), static_cast<std::size_t>(Read));
    return true;
  }

  int Socket_;
  std::string Buffer_;
};

bool sendAll(int Socket, std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Sent = send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

void readTarget(std::string_view Target, HttpRequest &Into) {
  const std::size_t Mark = Target.find('?');
  Into.Path_ = std::string(Target.substr(0, Mark));
  std::string_view Left =
      Mark == std::string_view::npos ? "" : Target.substr(Mark + 1);
  while (!Left.empty()) {
    const std::size_t And = Left.find('&');
    const std::string_view Field = Left.substr(0, And);
    const std::size_t Equals = Field.find('=');
    Into.Query_[decodeUrl(Field.substr(0, Equals))] =
        Equals == std::string_view::npos ? ""
                                         : decodeUrl(Field.substr(Equals + 1));
    Left = And == std::string_view::npos ? "" : Left.substr(And + 1);
  }
}

std::string textOf(const HttpReply &Reply) {
  return "HTTP/1.1 " + std::to_string(Reply.Status_) +
         " x\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(Reply.Body_.size()) + "\r\n\r\n" + Reply.Body_;
}

} // namespace

struct HttpServer::Shared {
  Handler Handle_;
  int Listener_ = -1;
  std::mutex Mutex_;
  std::set<int> Open_;
  std::atomic<bool> Up_{true};
  std::atomic<bool> Stopped_{false};

  void serve(int Socket) {
    Reader From(Socket);
    while (true) {
      HttpRequest Request;
      std::string StartLine;
      if (!From.readHead(StartLine, Request.Headers_) ||
          !From.readBody(Request.Headers_, Request.Body_))
        break;
      const std::size_t First = StartLine.find(' ');
      const std::size_t Second = StartLine.find(' ', First + 1);
      Request.Method_ = StartLine.substr(0, First);
      readTarget(StartLine.substr(First + 1, Second - First - 1), Request);
      if (!Up_)
        break;
      const HttpReply Reply = Handle_(Request);
      if (Reply.Dropped_ || !Up_ || !sendAll(Socket, textOf(Reply)))
        break;
    }
    const std::lock_guard Lock(Mutex_);
    Open_.erase(Socket);
    close(Socket);
  }

  void closeAll() {
    const std::lock_guard Lock(Mutex_);
    for (const int Socket : Open_)
      shutdown(Socket, SHUT_RDWR);
  }
};

std::string HttpRequest::query(const std::string &Name) const {
  const auto Found = Query_.find(Name);
  return Found == Query_.end() ? "" : Found->second;
}

std::string HttpRequest::header(const std::string &Name) const {
  const auto Found = Headers_.find(Name);
  return Found == Headers_.end() ? "" : Found->second;
}

HttpReply dropped() {
  HttpReply Result;
  Result.Dropped_ = true;
  return Result;
}

HttpServer::HttpServer(Handler Handle) : Shared_(std::make_shared<Shared>()) {
  Shared_->Handle_ = std::move(Handle);
}

HttpServer::~HttpServer() {
  Shared_->Stopped_ = true;
  Shared_->Up_ = false;
  if (Shared_->Listener_ >= 0) {
    shutdown(Shared_->Listener_, SHUT_RDWR);
    close(Shared_->Listener_);
  }
  Shared_->closeAll();
}

void HttpServer::start() {
  Shared_->Listener_ = listenOn(0);
  Port_ = portOf(Shared_->Listener_);
  std::thread([State = Shared_] {
    while (!State->Stopped_) {
      const int Socket =
          accept4(State->Listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        return;
      if (!State->Up_) {
        close(Socket);
        continue;
      }
      const int On = 1;
      setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
      {
        const std::lock_guard Lock(State->Mutex_);
        State->Open_.insert(Socket);
      }
      std::thread([State, Socket] { State->serve(Socket); }).detach();
    }
  }).detach();
}

std::string HttpServer::address() const {
  return "127.0.0.1:" + std::to_string(Port_);
}

void HttpServer::setUp(bool Up) {
  Shared_->Up_ = Up;
  if (!Up)
    Shared_->closeAll();
}

std::optional<HttpReply> call(int Port, const std::string &Method,
                              const std::string &Target,
                              const std::map<std::string, std::string> &Headers,
                              const std::string &Body, int TimeoutMs) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval Time{};
  Time.tv_sec = TimeoutMs / 1000;
  Time.tv_usec = (TimeoutMs % 1000) * 1000;
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Time, sizeof Time);
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Time, sizeof Time);
  const sockaddr_in At = loopback(Port);
  std::optional<HttpReply> Result;
  std::string Head = Method + " " + Target + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Headers)
    Head += Name + ": " + Value + "\r\n";
  if (!Body.empty() || Method != "GET")
    Head += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  Head += "Connection: close\r\n\r\n";
  Reader From(Socket);
  HttpReply Reply;
  std::string StartLine;
  std::map<std::string, std::string> Fields;
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&At), sizeof At) ==
          0 &&
      sendAll(Socket, Head + Body) && From.readHead(StartLine, Fields) &&
      From.readBody(Fields, Reply.Body_)) {
    const std::size_t Space = StartLine.find(' ');
    Reply.Status_ =
        Space == std::string::npos ? 0 : std::atoi(&StartLine[Space + 1]);
    Result = Reply;
  }
  close(Socket);
  return Result;
}

int freePort() {
  const int Socket = listenOn(0);
  const int Port = portOf(Socket);
  close(Socket);
  return Port;
}

std::string toBase64(std::string_view Bytes) {
  std::string Result;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Word = 0;
    const std::size_t Count = std::min<std::size_t>(3, Bytes.size() - I);
    for (std::size_t J = 0; J < 3; ++J)
      Word = Word << 8 |
             (J < Count ? static_cast<unsigned char>(Bytes[I + J]) : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Result += J <= Count ? Alphabet[Word >> (18 - 6 * J) & 63] : '=';
  }
  return Result;
}

std::string fromBase64(std::string_view Text) {
  std::string Result;
  std::uint32_t Word = 0;
  int Bits = 0;
  for (const char C : Text) {
    const std::size_t Value = Alphabet.find(C);
    if (Value == std::string_view::npos)
      break;
    Word = Word << 6 | static_cast<std::uint32_t>(Value);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Result += static_cast<char>(Word >> Bits & 255);
    }
  }
  return Result;
}

} // namespace review3
