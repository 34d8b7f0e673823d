#include "framework/process/exitprocess.h"

#include "framework/log/log.h"

#include <cstdlib>
#include <iostream>

namespace laburnumspread::framework::process {

void exitProcess(int Code) {
  log::flush();
  std::cout.flush();
  std::_Exit(Code);
}

void failStart(std::string_view Program, std::string_view Reason) {
  std::cerr << Program << ": " << Reason << '\n';
  exitProcess(StartFailed);
}

} // namespace laburnumspread::framework::process
