#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

/// A folder that is removed with its content at the end of a test.
struct TemporaryFolder {
  std::string m_Path;

  TemporaryFolder() {
    std::string Template =
        (std::filesystem::temp_directory_path() / "vanillaferry-XXXXXX")
            .string();
    if (char *Made = ::mkdtemp(Template.data()))
      m_Path = Made;
  }
  ~TemporaryFolder() {
    std::error_code Ignored;
    std::filesystem::remove_all(m_Path, Ignored);
  }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;
};
