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

/// The messages of a frame, or an error that says what is malformed. Nothing
/// is allocated by a length that the frame only claims.
Result<std::vector<PeerMessage>> decodeFrame(const std::string &Frame);

/// False for forwarded requests and answers, which carry callers' bytes; all
/// other messages count towards the control budget.
bool isControlMessage(const PeerMessage &Message);

/// Name of the message's type, for logs and metrics.
const char *messageName(const PeerMessage &Message);

} // namespace vanillaferry
