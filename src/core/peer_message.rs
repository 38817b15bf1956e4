//! Messages between hosts and their encoding.

use std::fmt;

use anyhow::{Result, bail};
use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use subtle::ConstantTimeEq;

use crate::config::key_secret;
use crate::core::platform_message;
use crate::core::share_ledger;

/// Version of the message format; peers with another version are rejected with an error.
pub const PEER_VERSION: u32 = 1;

/// Length of a message's MAC in bytes.
const MAC_BYTES: usize = 16;
/// Unit of the data centres' ages, in milliseconds.
pub const AGE_UNIT_MS: u64 = 10;
/// Age of a data centre that was never reached.
pub const AGE_UNKNOWN: u16 = u16::MAX;

/// State that a host sends with each heartbeat and with the reply to one.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PeerHeartbeat {
    /// Name of the sender.
    pub host: String,
    /// Incarnation of the sending process; greater for each later process with the same host name.
    pub incarnation: u64,
    /// Active configuration of the sender, 0 for none.
    pub version: u64,
    /// Revision up to which the sender has all live records.
    pub watermark: u64,
    /// Age of the sender's last confirmation that the configuration is current, in milliseconds.
    pub platform_age_ms: Option<u64>,
    /// Time since each data centre was last reachable under this configuration, in units of
    /// `AGE_UNIT_MS`, ordered by the names of the data centres.
    pub centre_ages: Vec<u16>,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Live records above the requester's watermark.
    pub entries: Vec<platform_message::StoreEntry>,
}

const HEARTBEAT_FIELDS: usize = 8;

impl Serialize for PeerHeartbeat {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(HEARTBEAT_FIELDS)?;
        tuple.serialize_element(&self.host)?;
        tuple.serialize_element(&self.incarnation)?;
        tuple.serialize_element(&self.version)?;
        tuple.serialize_element(&self.watermark)?;
        tuple.serialize_element(&self.platform_age_ms)?;
        tuple.serialize_element(&self.centre_ages)?;
        tuple.serialize_element(&self.leaving)?;
        tuple.serialize_element(&self.entries)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for PeerHeartbeat {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        deserializer.deserialize_tuple(HEARTBEAT_FIELDS, HeartbeatVisitor)
    }
}

struct HeartbeatVisitor;

impl<'de> Visitor<'de> for HeartbeatVisitor {
    type Value = PeerHeartbeat;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a pulse of {HEARTBEAT_FIELDS} fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(
        self,
        mut fields: A,
    ) -> std::result::Result<PeerHeartbeat, A::Error> {
        Ok(PeerHeartbeat {
            host: next_field(&mut fields, 0)?,
            incarnation: next_field(&mut fields, 1)?,
            version: next_field(&mut fields, 2)?,
            watermark: next_field(&mut fields, 3)?,
            platform_age_ms: next_field(&mut fields, 4)?,
            centre_ages: next_field(&mut fields, 5)?,
            leaving: next_field(&mut fields, 6)?,
            entries: next_field(&mut fields, 7)?,
        })
    }
}

fn next_field<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
    fields: &mut A,
    index: usize,
) -> std::result::Result<T, A::Error> {
    fields.next_element()?.ok_or_else(|| de::Error::invalid_length(index, &HeartbeatVisitor))
}

/// Request from one host to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Exchanges heartbeats.
    #[serde(rename = "Pulse")]
    Heartbeat(PeerHeartbeat),
    /// Requests a loan from the peer's share of an account.
    Share {
        /// Name of the requester.
        host: String,
        /// Account name.
        account: String,
        /// Active configuration of the requester; loans are granted only within the same version.
        version: u64,
        /// Rate, burst and tokens that the requester needs.
        want: share_ledger::ShareGrant,
    },
    /// Asks whether the peer can reach a group's primary.
    Primary {
        /// Group name.
        group: String,
        /// Term of the primary that the requester cannot reach.
        term: u64,
    },
    /// Requests a part of the configuration.
    Part {
        /// Hash of the part.
        hash: String,
    },
}

/// Reply from one host to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Heartbeat of the peer.
    #[serde(rename = "Pulse")]
    Heartbeat(PeerHeartbeat),
    /// A later process runs under the requester's host name.
    Superseded {
        /// Incarnation of the later process.
        incarnation: u64,
    },
    /// Reply to a loan request.
    Share {
        /// The granted loan, if any.
        grant: Option<share_ledger::ShareGrant>,
        /// Hosts that have borrowed the most from the peer; they may lend it on.
        borrowers: Vec<String>,
    },
    /// Whether the peer recently saw the primary serve in the requested term or a later one.
    Primary {
        /// True if it did.
        serving: bool,
    },
    /// Reply to a request for a configuration part.
    Part {
        /// Content of the part, if the peer has it.
        bytes: Option<Vec<u8>>,
    },
}

/// Encoded request with its format version, authenticated with the fleet secret.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// Version of the sender's message format.
    pub version: u32,
    /// HMAC of the body under the fleet secret, truncated to 16 bytes.
    #[serde(with = "serde_bytes")]
    pub mac: Vec<u8>,
    /// Encoded request.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl PeerEnvelope {
    /// Encodes and signs a request.
    ///
    /// # Errors
    ///
    /// Fails if the request cannot be encoded.
    pub fn sign(secret: &str, request: &PeerRequest) -> Result<Self> {
        let body = rmp_serde::to_vec(request)?;
        let mac = Self::compute_mac(secret, &body);
        Ok(Self { version: PEER_VERSION, mac, body })
    }

    /// Verifies and decodes the request.
    ///
    /// # Errors
    ///
    /// Fails if the format version differs, the MAC does not match the fleet secret, or the request
    /// is malformed.
    pub fn verify(&self, secret: &str) -> Result<PeerRequest> {
        if self.version != PEER_VERSION {
            bail!("messages of version {}; this host speaks {PEER_VERSION}", self.version);
        }
        if !bool::from(Self::compute_mac(secret, &self.body).ct_eq(&self.mac)) {
            bail!("the message's seal does not match: field fleet_secret differs");
        }
        Ok(rmp_serde::from_slice(&self.body)?)
    }

    fn compute_mac(secret: &str, body: &[u8]) -> Vec<u8> {
        let mut mac = key_secret::keyed_mac(secret.as_bytes(), body);
        mac.truncate(MAC_BYTES);
        mac
    }
}
