#include "framework/log/outputbuffer.h"

#include <array>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

namespace laburnumspread::framework::log {

namespace {

struct Pipe {
  Pipe() { BOOST_REQUIRE(pipe(Ends_.data()) == 0); }
  ~Pipe() {
    close(Ends_[0]);
    close(Ends_[1]);
  }
  std::string readSome() {
    std::array<char, 65536> Bytes{};
    const ssize_t Done = read(Ends_[0], Bytes.data(), Bytes.size());
    return std::string(Bytes.data(), Done > 0 ? Done : 0);
  }
  std::array<int, 2> Ends_{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(OutputBufferTest)

BOOST_AUTO_TEST_CASE(LinesArriveInOrder) {
  Pipe Reader;
  OutputBuffer Out(Reader.Ends_[1]);
  Out.add("a\n");
  Out.add("b\n");
  Out.flush();
  BOOST_TEST(Reader.readSome() == "a\nb\n");
}

// A blocking write would stall requests when the log's reader stops reading,
// such as a suspended terminal or a log collector that hangs.
BOOST_AUTO_TEST_CASE(BlockedReaderDropsLinesWithoutWaiting) {
  Pipe Reader;
  OutputBuffer Out(Reader.Ends_[1]);
  const std::string Line(1000, 'x');
  for (int I = 0; I < 1000; ++I)
    Out.add(Line);
  BOOST_TEST(Out.size() <= OutputBuffer::MaxBytes);
  BOOST_TEST(Out.takeDropped() > 0u);
  BOOST_TEST(Out.takeDropped() == 0u);
  // Once the reader resumes, the buffered lines arrive complete.
  std::string Read;
  while (Out.size() > 0) {
    Read += Reader.readSome();
    Out.flush();
  }
  Read += Reader.readSome();
  BOOST_TEST(Read.size() % Line.size() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::framework::log
