#define XXH_INLINE_ALL
#include "vanillaferry/version/pool.hpp"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace vanillaferry {

namespace {

/// Applies one entry of the list; true when it changes the report on leaving
/// VMs.
bool updateRecord(VmRecord &Record, VmState State, bool IsNew, Millis Now) {
  Record.m_MissingSince.reset();
  bool StateChanged =
      IsNew ? State == VmState::Leaving : State != Record.m_State;
  if (StateChanged) {
    Record.m_StateChangedAt = Now;
    Record.m_Returned = State == VmState::Live;
  }
  Record.m_State = State;
  return StateChanged;
}

} // namespace

bool updateVms(VmView &Vms, const std::vector<ListedVm> &Listed, Millis Now) {
  std::set<VmId> Seen;
  bool Changed = false;
  bool Left = false;
  for (const ListedVm &Vm : Listed) {
    Seen.insert(Vm.m_Vm);
    auto Entry = Vms.m_Vms.try_emplace(Vm.m_Vm);
    bool StateChanged =
        updateRecord(Entry.first->second, Vm.m_State, Entry.second, Now);
    Changed = Changed || StateChanged;
    Left = Left || (StateChanged && Vm.m_State == VmState::Leaving);
  }
  for (auto It = Vms.m_Vms.begin(); It != Vms.m_Vms.end();) {
    VmRecord &Record = It->second;
    if (Seen.count(It->first) == 0 && !Record.m_MissingSince)
      Record.m_MissingSince = Now;
    bool Gone =
        Record.m_MissingSince && Now - *Record.m_MissingSince >= Vms.m_Grace;
    Changed =
        Changed ||
        (Gone && (Record.m_Returned || Record.m_State == VmState::Leaving));
    It = Gone ? Vms.m_Vms.erase(It) : std::next(It);
  }
  // The first list is reported even when no VM leaves, because it replaces the
  // report of this router's previous process.
  if (Changed || Vms.m_ReportNumber == 0)
    ++Vms.m_ReportNumber;
  return Left;
}

bool vmInService(const VmView &Vms, const VmId &Vm, Millis Now) {
  if (Vms.m_FleetLeaving.count(Vm) != 0)
    return false;
  if (!Vms.m_Configured)
    return true;
  auto It = Vms.m_Vms.find(Vm);
  if (It == Vms.m_Vms.end() || It->second.m_State == VmState::Leaving)
    return false;
  const std::optional<Millis> &Missing = It->second.m_MissingSince;
  return !Missing || Now - *Missing < Vms.m_Grace;
}

PoolView makePoolView(const PoolSettings &Settings,
                      const std::vector<ZoneSettings> &Zones, const VmView &Vms,
                      Millis Now) {
  std::set<ZoneId> InService;
  for (const ZoneSettings &Zone : Zones)
    if (Zone.m_InService)
      InService.insert(Zone.m_Id);
  PoolView View;
  View.m_Settings = Settings;
  for (const TargetSettings &Target : Settings.m_Targets) {
    if (InService.count(Target.m_Zone) == 0 ||
        !vmInService(Vms, Target.m_Vm, Now))
      continue;
    const std::string &Id = Target.m_Id.m_Value;
    View.m_Targets.push_back(
        PoolTarget{Target, XXH3_64bits(Id.data(), Id.size())});
  }
  std::sort(View.m_Targets.begin(), View.m_Targets.end(),
            [](const PoolTarget &A, const PoolTarget &B) {
              return A.m_Settings.m_Id < B.m_Settings.m_Id;
            });
  return View;
}

std::size_t findTarget(const PoolView &View, const TargetId &Target) {
  auto It =
      std::lower_bound(View.m_Targets.begin(), View.m_Targets.end(), Target,
                       [](const PoolTarget &A, const TargetId &B) {
                         return A.m_Settings.m_Id < B;
                       });
  if (It == View.m_Targets.end() || It->m_Settings.m_Id != Target)
    return View.m_Targets.size();
  return static_cast<std::size_t>(It - View.m_Targets.begin());
}

} // namespace vanillaferry
