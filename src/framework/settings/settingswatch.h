#pragma once

#include "framework/settings/settingsfile.h"

namespace laburnumspread::framework::settings {

/// Detects changes to the content of a settings file by polling, since a file
/// may change without a signal to the process. A file that cannot be read
/// counts as unchanged, because it may be in the middle of being replaced.
class SettingsWatch {
public:
  explicit SettingsWatch(std::string File) : File_(std::move(File)) {
    changed();
  }

  /// Reads the file. Returns whether its content differs from the last call.
  bool changed() {
    auto Text = readSettingsFile(File_);
    if (!Text.ok() || *Text == Text_)
      return false;
    Text_ = std::move(*Text);
    return true;
  }

private:
  std::string File_;
  std::string Text_;
};

} // namespace laburnumspread::framework::settings
