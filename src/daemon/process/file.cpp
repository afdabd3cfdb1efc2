#include "process/file.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace vanillaferry {

FileHandle &FileHandle::operator=(FileHandle &&Other) noexcept {
  if (this != &Other) {
    close();
    m_Descriptor = Other.release();
  }
  return *this;
}

void FileHandle::close() {
  if (m_Descriptor >= 0)
    ::close(m_Descriptor);
  m_Descriptor = -1;
}

int FileHandle::release() { return std::exchange(m_Descriptor, -1); }

Error ioError(const std::string &Action, const std::string &Path) {
  return makeError(ErrorCode::Io,
                   "cannot " + Action + " " + Path + ": " + strerror(errno));
}

Result<FileHandle> openForAppend(const std::string &Path, bool Create) {
  int Flags = O_WRONLY | O_APPEND | O_CLOEXEC | (Create ? O_CREAT | O_EXCL : 0);
  FileHandle Handle(::open(Path.c_str(), Flags, 0600));
  if (!Handle.isOpen())
    return ioError(Create ? "create" : "open", Path);
  return Handle;
}

Status writeAll(int Descriptor, const std::string &Data,
                const std::string &Path) {
  std::size_t Done = 0;
  while (Done < Data.size()) {
    ssize_t Count = ::write(Descriptor, Data.data() + Done, Data.size() - Done);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      return ioError("write to", Path);
    Done += static_cast<std::size_t>(Count);
  }
  return boost::outcome_v2::success();
}

Result<std::string> readFile(const std::string &Path) {
  FileHandle Handle(::open(Path.c_str(), O_RDONLY | O_CLOEXEC));
  struct stat About = {};
  if (!Handle.isOpen() || ::fstat(Handle.get(), &About) != 0)
    return ioError("open", Path);
  std::string Data(static_cast<std::size_t>(About.st_size), '\0');
  std::size_t Done = 0;
  while (Done < Data.size()) {
    ssize_t Count =
        ::read(Handle.get(), Data.data() + Done, Data.size() - Done);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      return ioError("read", Path);
    if (Count == 0)
      break;
    Done += static_cast<std::size_t>(Count);
  }
  Data.resize(Done);
  return Data;
}

Status replaceFile(const std::string &Folder, const std::string &Name,
                   const std::string &Data, const SyncFunction &Sync) {
  std::string Path = Folder + "/" + Name;
  std::string Temporary = Path + ".tmp";
  FileHandle Handle(::open(Temporary.c_str(),
                           O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  if (!Handle.isOpen())
    return ioError("create", Temporary);
  Status Written = writeAll(Handle.get(), Data, Temporary);
  if (!Written)
    return Written;
  if (Sync(Handle.get()) != 0)
    return ioError("sync", Temporary);
  Handle.close();
  if (::rename(Temporary.c_str(), Path.c_str()) != 0)
    return ioError("rename", Temporary);
  return syncFolder(Folder, Sync);
}

Status syncFolder(const std::string &Folder, const SyncFunction &Sync) {
  FileHandle Handle(::open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!Handle.isOpen())
    return ioError("open", Folder);
  if (Sync(Handle.get()) != 0)
    return ioError("sync", Folder);
  return boost::outcome_v2::success();
}

Result<std::vector<std::string>> listFolder(const std::string &Folder) {
  DIR *Directory = ::opendir(Folder.c_str());
  if (!Directory)
    return ioError("list", Folder);
  std::vector<std::string> Names;
  while (dirent *Item = ::readdir(Directory))
    Names.push_back(Item->d_name);
  ::closedir(Directory);
  std::sort(Names.begin(), Names.end());
  return Names;
}

} // namespace vanillaferry
