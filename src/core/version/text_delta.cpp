#include "vanillaferry/version/text_delta.hpp"

#include <charconv>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace vanillaferry {

namespace {

constexpr std::string_view PieceEnd = "},";

std::vector<std::string_view> splitPieces(std::string_view Text) {
  std::vector<std::string_view> Pieces;
  while (!Text.empty()) {
    std::size_t End = Text.find(PieceEnd);
    std::size_t Length =
        End == std::string_view::npos ? Text.size() : End + PieceEnd.size();
    Pieces.push_back(Text.substr(0, Length));
    Text.remove_prefix(Length);
  }
  return Pieces;
}

/// Appends "cOFFSET,LENGTH;".
void appendCopy(std::string &Delta, std::size_t Offset, std::size_t Length) {
  if (Length > 0)
    Delta += "c" + std::to_string(Offset) + "," + std::to_string(Length) + ";";
}

/// Appends "tLENGTH;TEXT".
void appendText(std::string &Delta, std::string_view Text) {
  if (Text.empty())
    return;
  Delta += "t" + std::to_string(Text.size()) + ";";
  Delta += Text;
}

/// Reads a number up to the end character; removes both from Rest.
bool readNumber(std::string_view &Rest, char End, std::size_t &Number) {
  std::size_t Length = Rest.find(End);
  if (Length == std::string_view::npos)
    return false;
  std::from_chars_result Read =
      std::from_chars(Rest.data(), Rest.data() + Length, Number);
  if (Read.ec != std::errc() || Read.ptr != Rest.data() + Length)
    return false;
  Rest.remove_prefix(Length + 1);
  return true;
}

/// Applies the first step of the script and removes it.
bool applyStep(std::string_view Base, std::string_view &Rest,
               std::string &Target) {
  char Step = Rest.front();
  Rest.remove_prefix(1);
  std::size_t Offset = 0;
  std::size_t Length = 0;
  if (Step == 'c') {
    if (!readNumber(Rest, ',', Offset) || !readNumber(Rest, ';', Length) ||
        Offset > Base.size() || Length > Base.size() - Offset)
      return false;
    Target += Base.substr(Offset, Length);
    return true;
  }
  if (Step != 't' || !readNumber(Rest, ';', Length) || Length > Rest.size())
    return false;
  Target += Rest.substr(0, Length);
  Rest.remove_prefix(Length);
  return true;
}

} // namespace

std::string makeTextDelta(const std::string &Base, const std::string &Target) {
  std::unordered_map<std::string_view, std::size_t> Offsets;
  std::size_t Offset = 0;
  for (std::string_view Piece : splitPieces(Base)) {
    Offsets.emplace(Piece, Offset);
    Offset += Piece.size();
  }
  std::string Delta;
  std::size_t CopyFrom = 0;
  std::size_t CopyLength = 0;
  std::string Text;
  for (std::string_view Piece : splitPieces(Target)) {
    auto Found = Offsets.find(Piece);
    if (Found == Offsets.end()) {
      appendCopy(Delta, CopyFrom, CopyLength);
      CopyLength = 0;
      Text += Piece;
      continue;
    }
    appendText(Delta, Text);
    Text.clear();
    if (CopyLength > 0 && Found->second != CopyFrom + CopyLength) {
      appendCopy(Delta, CopyFrom, CopyLength);
      CopyLength = 0;
    }
    if (CopyLength == 0)
      CopyFrom = Found->second;
    CopyLength += Piece.size();
  }
  appendCopy(Delta, CopyFrom, CopyLength);
  appendText(Delta, Text);
  return Delta;
}

Result<std::string> applyTextDelta(const std::string &Base,
                                   const std::string &Delta) {
  std::string Target;
  std::string_view Rest = Delta;
  while (!Rest.empty())
    if (!applyStep(Base, Rest, Target))
      return makeError(ErrorCode::Malformed,
                       "the edit script does not apply to its base text");
  return Target;
}

} // namespace vanillaferry
