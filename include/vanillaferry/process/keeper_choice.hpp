#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillaferry {

/// The keeper through which a gateway renews its lease. Gateways spread over
/// all keepers by rendezvous hashing, so that no keeper serves the whole fleet
/// and a change of the leader moves no connection.
struct KeeperChoice {
  NodeId m_Self;
  /// Peer URLs of the known keepers; the gateway's home keeper is the first.
  std::vector<std::string> m_Ranked;
  /// Version of the keeper set that m_Ranked comes from; 0 for the settings.
  std::uint64_t m_SetVersion = 0;
  /// Renewals are sent to this keeper.
  std::string m_Current;
  /// Keepers to which a link is up.
  std::set<std::string> m_Up;
  /// When the oldest renewal without an answer was sent to m_Current.
  std::optional<Millis> m_WaitingSince;
  /// When the current keeper's process was last heard of over its link.
  std::optional<Millis> m_HeardAt;
  /// When the unanswered renewal may be repeated.
  Millis m_NextRepeat;
  /// The current keeper said that it keeps the renewal until it knows a leader.
  bool m_Held = false;
  /// Changes of keeper since the last answer; each doubles the time that the
  /// next keeper has for its answer.
  unsigned m_Unanswered = 0;
  /// Earliest time at which the gateway returns to its home keeper.
  Millis m_ReturnAt;
  /// Returns to the home keeper since it last gave answers for long enough.
  unsigned m_Returns = 0;
};

/// Starts with the keepers that the settings name.
KeeperChoice makeKeeperChoice(NodeId Self,
                              const std::vector<std::string> &Urls);

/// Adds keepers that the settings or a redirect name.
void addKeeperUrls(KeeperChoice &Choice, const std::vector<std::string> &Urls);

/// Replaces the known keepers by those of a newer keeper set. Spread is a
/// random number that spaces out the gateways' moves to their new home keepers.
void replaceKeeperUrls(KeeperChoice &Choice,
                       const std::vector<std::string> &Urls,
                       std::uint64_t SetVersion, Millis Now,
                       std::uint64_t Spread);

/// A renewal counts as unanswered only from the time at which the current
/// keeper's link came up.
void recordKeeperLink(KeeperChoice &Choice, const std::string &Url, bool Up);
void recordRenewalSent(KeeperChoice &Choice, Millis Now);
void recordKeeperAnswer(KeeperChoice &Choice, Millis Now);
/// The current keeper keeps the renewal until it knows a leader.
void recordKeeperHolds(KeeperChoice &Choice);

/// The keeper's process answered over its link, though maybe not the renewal.
void recordKeeperHeard(KeeperChoice &Choice, const std::string &Url,
                       Millis Now);

/// True when the current keeper left a renewal unanswered for too long. A
/// keeper that is heard of is only slow: another one, which shares the leader
/// with it, would not be faster, and the new link would add to their work.
bool keeperOverdue(const KeeperChoice &Choice, Millis Now);
/// True when a newer renewal is to be sent to a keeper that is slow, since the
/// lease counts from its sending.
bool renewalRepeatDue(const KeeperChoice &Choice, Millis Now);

/// Makes a named keeper the current one.
void selectKeeper(KeeperChoice &Choice, const std::string &Url);
/// Makes the next keeper in the gateway's order the current one.
void selectNextKeeper(KeeperChoice &Choice, Millis Now, std::uint64_t Spread);

/// Returns to the home keeper when its link is up and a return is due; true
/// when the current keeper changed.
bool returnHome(KeeperChoice &Choice, Millis Now);

/// Keepers to which links are to be kept: the current one, and the home keeper
/// while a return to it is due.
std::vector<std::string> wantedKeepers(const KeeperChoice &Choice, Millis Now);

} // namespace vanillaferry
