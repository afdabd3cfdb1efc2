#include "vanillaferry/version/text_compression.hpp"

#include <array>
#include <zlib.h>

namespace vanillaferry {

namespace {

constexpr std::size_t ChunkBytes = 32 * 1024;

} // namespace

std::string compressText(const std::string &Text) {
  uLongf Size = compressBound(static_cast<uLong>(Text.size()));
  std::string Data(Size, '\0');
  compress2(reinterpret_cast<Bytef *>(Data.data()), &Size,
            reinterpret_cast<const Bytef *>(Text.data()),
            static_cast<uLong>(Text.size()), Z_DEFAULT_COMPRESSION);
  Data.resize(Size);
  return Data;
}

Result<std::string> decompressText(const std::string &Data) {
  z_stream Stream = {};
  if (inflateInit(&Stream) != Z_OK)
    return makeError(ErrorCode::Unavailable,
                     "not enough memory to decompress a text");
  // zlib does not write to its input.
  Stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(Data.data()));
  Stream.avail_in = static_cast<uInt>(Data.size());
  std::string Text;
  std::array<char, ChunkBytes> Part;
  int State = Z_OK;
  while (State == Z_OK && Text.size() <= MaxDecompressedText) {
    Stream.next_out = reinterpret_cast<Bytef *>(Part.data());
    Stream.avail_out = static_cast<uInt>(Part.size());
    State = inflate(&Stream, Z_NO_FLUSH);
    Text.append(Part.data(), Part.size() - Stream.avail_out);
  }
  inflateEnd(&Stream);
  if (State != Z_STREAM_END || Text.size() > MaxDecompressedText)
    return makeError(ErrorCode::Malformed,
                     "compressed text is damaged or too long");
  return Text;
}

} // namespace vanillaferry
