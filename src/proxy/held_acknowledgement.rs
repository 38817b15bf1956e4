//! An endpoint's acknowledgement of a commit that is not passed on yet.

use crate::core::arena_keys;
use crate::core::endpoint_message;

/// An endpoint's acknowledgement of a commit that is not passed on yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldAcknowledgement {
    /// The primary that sent it.
    pub endpoint: arena_keys::EndpointKey,
    /// End of the primary's log, which includes the commit.
    pub point: endpoint_message::LogPoint,
    /// Rows of the response.
    pub rows: Vec<String>,
    /// Signature of the response.
    pub signature: String,
}
