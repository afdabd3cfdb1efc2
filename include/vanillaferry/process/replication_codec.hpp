#pragma once

#include "vanillaferry/process/replication.hpp"
#include "vanillaferry/process/result.hpp"

#include <string>

namespace vanillaferry {

/// CBOR text of a message between keepers, for Replicate::m_Payload.
std::string encodeReplicaMessage(const ReplicaMessage &Message);
Result<ReplicaMessage> decodeReplicaMessage(const std::string &Data);

/// CBOR text of a snapshot, as stored on disk.
std::string encodeSnapshot(const Snapshot &Taken);
Result<Snapshot> decodeSnapshot(const std::string &Data);

} // namespace vanillaferry
