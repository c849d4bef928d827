#pragma once

#include "core/strong_type.h"

namespace teasellock {

/// Name of a virtual machine that runs teasellockd. Unique in the deployment.
using vm_id = strong_type<struct vm_id_tag, std::string>;

/// Name of an availability zone, for instance "zocalo".
using availability_zone_id =
    strong_type<struct availability_zone_id_tag, std::string>;

/// Name of a region: several availability zones joined by fast links.
using region_id = strong_type<struct region_id_tag, std::string>;

/// Name of a database group: one primary and its replicas.
using group_id = strong_type<struct group_id_tag, std::string>;

/// Name of one database server of a group, unique within the group.
using upstream_id = strong_type<struct upstream_id_tag, std::string>;

/// Name of a read kind, a column of the table with its own tolerated age.
using read_kind = strong_type<struct read_kind_tag, std::string>;

/// Name of a caller's session. Survives connections and entries.
using session_id = strong_type<struct session_id_tag, std::string>;

/// Identity of one submitted edit of the table. Resent edits carry it again.
using edit_id = strong_type<struct edit_id_tag, std::string>;

/// Distinguishes two runs of the same VM's process. Never reused.
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;

/// Number of a request, unique within (VM, incarnation).
using request_id = strong_type<struct request_id_tag, std::uint64_t>;

/// Number of a transaction, unique within (VM, incarnation) of its entry.
/// Zero stands for "no transaction".
using transaction_id = strong_type<struct transaction_id_tag, std::uint64_t>;

/// Leadership term of a database group. Grows with every promotion.
using term = strong_type<struct term_tag, std::uint64_t>;

/// Revision of the replicated control state: the index of a committed entry.
using revision = strong_type<struct revision_tag, std::uint64_t>;

/// Version of the operators' table. Grows by one with every accepted edit.
using table_version = strong_type<struct table_version_tag, std::uint64_t>;

} // namespace teasellock
