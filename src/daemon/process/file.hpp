#pragma once

#include "vanillaferry/process/result.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace vanillaferry {

/// Owns one file descriptor.
class FileHandle {
public:
  FileHandle() = default;
  explicit FileHandle(int Descriptor) : m_Descriptor(Descriptor) {}
  ~FileHandle() { close(); }
  FileHandle(FileHandle &&Other) noexcept : m_Descriptor(Other.release()) {}
  FileHandle &operator=(FileHandle &&Other) noexcept;
  FileHandle(const FileHandle &) = delete;
  FileHandle &operator=(const FileHandle &) = delete;

  int get() const { return m_Descriptor; }
  bool isOpen() const { return m_Descriptor >= 0; }
  void close();

private:
  int release();

  int m_Descriptor = -1;
};

/// Makes written data durable; fdatasync outside tests. Returns 0 or sets
/// errno.
using SyncFunction = std::function<int(int)>;

/// An Io error from errno that names the action and the path.
Error ioError(const std::string &Action, const std::string &Path);

/// Opens a file for appending; creates it when asked to.
Result<FileHandle> openForAppend(const std::string &Path, bool Create);

/// Writes all of it or fails; part of it may be written by then.
Status writeAll(int Descriptor, const std::string &Data,
                const std::string &Path);

Result<std::string> readFile(const std::string &Path);

/// Writes a temporary file, syncs it, renames it and syncs the folder, so that
/// the path holds either the old or the new content after a crash.
Status replaceFile(const std::string &Folder, const std::string &Name,
                   const std::string &Data, const SyncFunction &Sync);

/// Makes created, renamed and removed names durable.
Status syncFolder(const std::string &Folder, const SyncFunction &Sync);

/// Names in a folder, sorted.
Result<std::vector<std::string>> listFolder(const std::string &Folder);

} // namespace vanillaferry
