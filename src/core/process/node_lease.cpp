#include "vanillaferry/process/node_lease.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

constexpr std::int64_t PerMille = 1000;
constexpr Millis MinRenewInterval{500};
/// At this interval per gateway, renewals of all gateways take at most a fifth
/// of the leader's share of a core.
constexpr Millis RenewIntervalPerGateway{8};

/// The part of a lease that a clock which is slow by the drift bound may use;
/// rounded down, so that the router's view never ends later.
Millis usableDuration(Millis Granted, std::int64_t DriftPerMille) {
  return Millis(Granted.m_Value * (PerMille - DriftPerMille) / PerMille);
}

} // namespace

Millis gatewayRenewInterval(std::size_t Gateways) {
  return std::max(MinRenewInterval,
                  Millis(RenewIntervalPerGateway.m_Value *
                         static_cast<std::int64_t>(Gateways)));
}

bool renewsAfterChange(std::size_t Gateways) {
  return gatewayRenewInterval(Gateways) == MinRenewInterval;
}

bool acceptsUpdate(DocumentVersion Stated, DocumentVersion Update) {
  return Stated != DocumentVersion() && Update >= Stated;
}

std::uint64_t beginRenewal(RouterLease &Lease, Millis Now) {
  std::uint64_t Sequence = Lease.m_NextSequence++;
  Lease.m_Sent[Sequence] = Now;
  Lease.m_NextRenewal = Now + Lease.m_RenewInterval;
  // The grant for a renewal sent a lease time ago would already be expired.
  while (!Lease.m_Sent.empty() &&
         Lease.m_Sent.begin()->second + Lease.m_Options.m_LeaseTime < Now)
    Lease.m_Sent.erase(Lease.m_Sent.begin());
  return Sequence;
}

bool acceptGrant(RouterLease &Lease, const Grant &Granted, Millis Now) {
  std::map<std::uint64_t, Millis>::iterator Sent =
      Lease.m_Sent.find(Granted.m_Sequence);
  if (Sent == Lease.m_Sent.end() ||
      Granted.m_Sequence <= Lease.m_AcceptedSequence ||
      Granted.m_Epoch < Lease.m_Epoch || Granted.m_Version < Lease.m_Version)
    return false;
  if (!leaseHolds(Lease, Now)) {
    // The renewal reported the shares of a lease that has expired since; the
    // former leader may have granted them to others, which a new leader cannot
    // know.
    if (Sent->second < Lease.m_ExpiresAt) {
      Lease.m_Sent.erase(Sent);
      Lease.m_NextRenewal = std::min(Lease.m_NextRenewal, Now);
      return false;
    }
    Lease.m_HeldSince = Granted.m_Epoch;
  }
  Lease.m_ExpiresAt =
      Sent->second +
      usableDuration(Granted.m_Duration, Lease.m_Options.m_DriftPerMille);
  Lease.m_AcceptedSequence = Granted.m_Sequence;
  if (Granted.m_Interrupted && Lease.m_Epoch < Granted.m_Epoch)
    Lease.m_HeldSince = Granted.m_Epoch;
  Lease.m_Epoch = Granted.m_Epoch;
  // A safe epoch stays safe; a new leader reports a lower one while it waits.
  Lease.m_SafeEpoch = std::max(Lease.m_SafeEpoch, Granted.m_SafeEpoch);
  Lease.m_Version = Granted.m_Version;
  Lease.m_Sent.erase(Lease.m_Sent.begin(), std::next(Sent));
  return true;
}

bool leaseHolds(const RouterLease &Lease, Millis Now) {
#ifdef VANILLAFERRY_BREAK_LEASE
  return Lease.m_AcceptedSequence > 0 || Now < Lease.m_ExpiresAt;
#endif
  return Now < Lease.m_ExpiresAt;
}

bool mayDispatchNow(const RouterLease &Lease, const OwnedTargets &Owned,
                    const TargetId &Target, Millis Now) {
  return leaseHolds(Lease, Now) && Owned.m_Epoch == Lease.m_Epoch &&
         Lease.m_HeldSince <= Lease.m_SafeEpoch &&
         mayDispatch(Owned, Target, Lease.m_SafeEpoch);
}

bool renewalDue(const RouterLease &Lease, Millis Now) {
  return Lease.m_NextRenewal <= Now;
}

} // namespace vanillaferry
