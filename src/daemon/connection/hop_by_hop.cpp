#include "connection/hop_by_hop.hpp"

#include <cctype>
#include <sstream>

namespace vanillaferry {

namespace {

/// RFC 9110, section 7.6.1, and the framing of the body.
const std::set<std::string> HopByHop = {"connection",
                                        "keep-alive",
                                        "proxy-connection",
                                        "proxy-authenticate",
                                        "te",
                                        "trailer",
                                        "transfer-encoding",
                                        "upgrade",
                                        "expect",
                                        "proxy-authorization",
                                        "content-length"};

} // namespace

std::string lowerCase(std::string Text) {
  for (char &C : Text)
    C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  return Text;
}

bool isHopByHop(const std::string &Name) { return HopByHop.count(Name) != 0; }

std::set<std::string> hopByHopFields(const CallerRequest &Request) {
  std::set<std::string> Names = HopByHop;
  std::map<std::string, std::string>::const_iterator Listed =
      Request.m_Fields.find("connection");
  if (Listed == Request.m_Fields.end())
    return Names;
  std::stringstream List(Listed->second);
  for (std::string Name; std::getline(List, Name, ',');) {
    std::size_t Start = Name.find_first_not_of(' ');
    if (Start != std::string::npos)
      Names.insert(lowerCase(Name.substr(Start)));
  }
  return Names;
}

} // namespace vanillaferry
