#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/result.hpp"

#include <string>
#include <vector>

namespace vanillaferry {

/// Most messages that one frame carries.
constexpr std::size_t MaxMessagesPerFrame = 64;

/// CBOR map of one message. A frame of one message is exactly this map.
std::string encodeMessage(const PeerMessage &Message);
void appendMessage(std::string &Out, const PeerMessage &Message);

/// Appends the head of a CBOR array; a frame of several messages is this head
/// followed by their maps. Count is at most MaxMessagesPerFrame.
void appendFrameHead(std::string &Frame, std::size_t Count);

/// Messages of a frame that were left out: of an unknown kind, or with a field
/// or an enumeration number that this build cannot read.
struct UnreadMessages {
  std::size_t m_Count = 0;
  /// What was wrong with the first one.
  std::string m_Why;
};

/// The messages of a frame that can be read, or an error that says why the
/// frame as a whole is malformed. Nothing is allocated by a length that the
/// frame only claims.
Result<std::vector<PeerMessage>> decodeFrame(const std::string &Frame,
                                             UnreadMessages &Unread);
/// The same, with an error for the first message that cannot be read.
Result<std::vector<PeerMessage>> decodeFrame(const std::string &Frame);

/// The feature level from which on all builds know this kind of message.
FeatureLevel featureLevelOf(const PeerMessage &Message);
/// True for kinds of a level above 0 that some builds know which state no
/// level. They are sent to every process, but in a frame of their own: builds
/// without levels drop each frame with an unknown kind as a whole.
bool precedesLevels(const PeerMessage &Message);

/// False for forwarded requests and answers, which carry callers' bytes; all
/// other messages count towards the control budget.
bool isControlMessage(const PeerMessage &Message);

/// Name of the message's type, for logs and metrics.
const char *messageName(const PeerMessage &Message);

} // namespace vanillaferry
