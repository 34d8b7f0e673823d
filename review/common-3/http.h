#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>

/// HTTP/1.1 for the stand-ins of cases 9 to 13: a server with one thread for
/// each connection, and a client that makes one call for each connection.
namespace review3 {

struct HttpRequest {
  std::string Method_;
  /// Path without the query.
  std::string Path_;
  std::map<std::string, std::string> Query_;
  /// Names are in lower case.
  std::map<std::string, std::string> Headers_;
  std::string Body_;

  std::string query(const std::string &Name) const;
  std::string header(const std::string &Name) const;
};

struct HttpReply {
  int Status_ = 200;
  std::string Body_ = "{}";
  /// Whether the connection is closed without an answer.
  bool Dropped_ = false;
};

/// Returns a reply that closes the connection without an answer.
HttpReply dropped();

class HttpServer {
public:
  using Handler = std::function<HttpReply(const HttpRequest &)>;

  explicit HttpServer(Handler Handle);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens on a free port of the loopback address.
  void start();
  int port() const { return Port_; }
  std::string address() const;
  /// While false, connections are closed and no request is answered, as of a
  /// process that is gone.
  void setUp(bool Up);

private:
  struct Shared;

  std::shared_ptr<Shared> Shared_;
  int Port_ = 0;
};

/// Makes one call. Returns nullopt without a complete answer in time.
std::optional<HttpReply> call(int Port, const std::string &Method,
                              const std::string &Target,
                              const std::map<std::string, std::string> &Headers,
                              const std::string &Body, int TimeoutMs);

/// Returns a port of the loopback address that is free at present.
int freePort();

std::string toBase64(std::string_view Bytes);
std::string fromBase64(std::string_view Text);

} // namespace review3
