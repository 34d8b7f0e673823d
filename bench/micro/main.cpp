#include <benchmark/benchmark.h>
#include <cstdlib>
#include <iostream>

int main(int Argc, char **Argv) {
  benchmark::Initialize(&Argc, Argv);
  if (benchmark::ReportUnrecognizedArguments(Argc, Argv))
    return EXIT_FAILURE;
  benchmark::RunSpecifiedBenchmarks();
  std::cout.flush();
  // The fibers of the benchmarked leaders last as long as the process, and
  // destroying their scheduler would wait for them.
  std::_Exit(EXIT_SUCCESS);
}
