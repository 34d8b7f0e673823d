#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>

/// A small HTTP/1.1 server and client on blocking sockets, one thread for each
/// connection. For the stand-ins of the review only.
namespace review {

struct Address {
  std::string Ip_;
  std::uint16_t Port_ = 0;

  std::string str() const { return Ip_ + ":" + std::to_string(Port_); }
};

struct HttpMessage {
  /// Of a request.
  std::string Method_;
  std::string Path_;
  std::map<std::string, std::string> Query_;
  /// Of an answer; 0 if there was none.
  int Status_ = 0;
  /// Names are in lower case.
  std::map<std::string, std::string> Headers_;
  std::string Body_;
};

struct Answer {
  int Status_ = 200;
  std::string Body_;
  /// Breaks the connection instead of answering.
  bool Break_ = false;
};

class HttpServer {
public:
  using Handler = std::function<Answer(const HttpMessage &)>;

  HttpServer(Address At, Handler Handle);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Binds, listens and serves. Returns false if the address is taken.
  bool start();
  /// Refuses new connections and breaks the open ones.
  void stop();

private:
  void acceptLoop();
  void serve(int Socket);

  Address At_;
  Handler Handle_;
  int Listener_ = -1;
  std::atomic<bool> Stopped_{false};
  std::thread Acceptor_;
  std::mutex Mutex_;
  std::set<int> Open_;
  std::atomic<int> Serving_{0};
};

/// Sends one request on a connection of its own. The status of the answer is 0
/// if there was none within the time.
HttpMessage call(const Address &To, const std::string &Method,
                 const std::string &Target,
                 const std::map<std::string, std::string> &Headers,
                 const std::string &Body, int TimeoutMs);

} // namespace review
