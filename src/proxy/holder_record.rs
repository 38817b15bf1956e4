//! Record of the logs that may hold acknowledged commits of a group with synchronous replicas.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Logs that may hold acknowledged commits of one group.
///
/// A log belongs to an address: an endpoint that starts again there, under whatever id, has it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HolderRecord {
    /// Ids of the endpoints that were last seen at the addresses, by address.
    pub holders: BTreeMap<String, String>,
}
