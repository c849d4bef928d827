#pragma once

#include "core/strong_type.h"

namespace teasellock {

/// Name of a virtual machine that runs teasellockd. Unique in the deployment.
using vm_id = strong_type<struct vm_id_tag, std::string>;

/// Name of an availability zone, such as "zocalo".
using availability_zone_id =
    strong_type<struct availability_zone_id_tag, std::string>;

/// Name of a region: several availability zones connected by fast links.
using region_id = strong_type<struct region_id_tag, std::string>;

/// Name of a database group: one primary and its replicas.
using group_id = strong_type<struct group_id_tag, std::string>;

/// Name of one database server of a group, unique within the group.
using upstream_id = strong_type<struct upstream_id_tag, std::string>;

/// Name of a class of reads for which the operators' table sets the maximum
/// tolerated staleness, in the column "age.<name>".
using read_kind = strong_type<struct read_kind_tag, std::string>;

/// Name of a caller's session. A session may continue on another connection
/// and through another entry.
using session_id = strong_type<struct session_id_tag, std::string>;

/// Identifies one submitted edit of the operators' table. A retry of the edit
/// carries the same id.
using edit_id = strong_type<struct edit_id_tag, std::string>;

/// Distinguishes successive processes of the same VM: each start has a new,
/// never reused number.
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;

/// Number of a request, unique per VM and incarnation.
using request_id = strong_type<struct request_id_tag, std::uint64_t>;

/// Number of a transaction, unique per VM and incarnation of its entry. Zero
/// means no transaction.
using transaction_id = strong_type<struct transaction_id_tag, std::uint64_t>;

/// Leadership term of a database group. Increases with every promotion.
using term = strong_type<struct term_tag, std::uint64_t>;

/// Revision of the replicated control state: the index of a committed entry.
using revision = strong_type<struct revision_tag, std::uint64_t>;

/// Version of the operators' table. Increases by one with every accepted edit.
using table_version = strong_type<struct table_version_tag, std::uint64_t>;

} // namespace teasellock
