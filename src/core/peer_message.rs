//! Messages between hosts.

use std::fmt;

use anyhow::{Result, bail};
use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use subtle::ConstantTimeEq;

use crate::core::platform_message;
use crate::core::share_ledger;
use crate::world::key_secret;

/// Version of the messages; a peer of another version is answered with an error.
pub const PEER_VERSION: u32 = 1;

/// Bytes of a message's seal.
const SEAL_BYTES: usize = 16;
/// Unit of the ages of data centres, in milliseconds.
pub const AGE_UNIT_MS: u64 = 10;
/// Age of a data centre that was never heard.
pub const AGE_UNKNOWN: u16 = u16::MAX;

/// What a host tells of itself in each exchange.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PeerHeartbeat {
    /// The host's name.
    pub host: String,
    /// Differs for each process that has run under this name; later ones are greater.
    pub incarnation: u64,
    /// The configuration in force at the host, 0 for none.
    pub version: u64,
    /// The revision up to which the host knows all live records.
    pub watermark: u64,
    /// Age of the evidence that the configuration is current, in milliseconds.
    pub platform_age_ms: Option<u64>,
    /// How long ago each data centre was heard under this configuration, in units of
    /// `AGE_UNIT_MS`, in the order of the data centres' names.
    pub centre_ages: Vec<u16>,
    /// Whether the host is leaving.
    pub leaving: bool,
    /// Live records above the watermark of the host that asked.
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

/// A question from one host to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Exchanges pulses.
    #[serde(rename = "Pulse")]
    Heartbeat(PeerHeartbeat),
    /// Asks for a loan of an account's share.
    Share {
        /// The host that asks.
        host: String,
        /// The account.
        account: String,
        /// The configuration in force at the asker; loans pass only within one version.
        version: u64,
        /// What the asker lacks.
        want: share_ledger::ShareGrant,
    },
    /// Asks whether the peer can reach a group's primary.
    Primary {
        /// The group.
        group: String,
        /// The term that the asker suspects.
        term: u64,
    },
    /// Asks for a part of the configuration.
    Part {
        /// The part's hash.
        hash: String,
    },
}

/// An answer from one host to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The peer's pulse.
    #[serde(rename = "Pulse")]
    Heartbeat(PeerHeartbeat),
    /// A later process runs under the asker's name.
    Superseded {
        /// That process's incarnation.
        incarnation: u64,
    },
    /// The loan granted, if any.
    Share {
        /// The loan.
        grant: Option<share_ledger::ShareGrant>,
        /// Hosts that hold most of what the peer has lent; they may lend it on.
        borrowers: Vec<String>,
    },
    /// Whether the peer saw the primary serve lately under the term asked for.
    Primary {
        /// True when it did.
        serving: bool,
    },
    /// The part, when the peer has it.
    Part {
        /// The part's bytes.
        bytes: Option<Vec<u8>>,
    },
}

/// A request with the version of its sender, sealed with the fleet's secret.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The sender's version of the messages.
    pub version: u32,
    /// First bytes of the HMAC of the body under the fleet's secret.
    #[serde(with = "serde_bytes")]
    pub seal: Vec<u8>,
    /// The encoded request.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl PeerEnvelope {
    /// Seals a request.
    ///
    /// # Errors
    ///
    /// Fails when the request cannot be encoded.
    pub fn seal(secret: &str, request: &PeerRequest) -> Result<Self> {
        let body = rmp_serde::to_vec(request)?;
        let seal = Self::mac(secret, &body);
        Ok(Self { version: PEER_VERSION, seal, body })
    }

    /// Opens a request.
    ///
    /// # Errors
    ///
    /// Fails on another version, on a seal of another secret, and on a malformed request.
    pub fn open(&self, secret: &str) -> Result<PeerRequest> {
        if self.version != PEER_VERSION {
            bail!("messages of version {}; this host speaks {PEER_VERSION}", self.version);
        }
        if !bool::from(Self::mac(secret, &self.body).ct_eq(&self.seal)) {
            bail!("the message's seal does not match: field fleet_secret differs");
        }
        Ok(rmp_serde::from_slice(&self.body)?)
    }

    fn mac(secret: &str, body: &[u8]) -> Vec<u8> {
        let mut mac = key_secret::keyed_mac(secret.as_bytes(), body);
        mac.truncate(SEAL_BYTES);
        mac
    }
}
