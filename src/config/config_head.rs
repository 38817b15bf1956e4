//! The head of the published configuration, and the parts that hold its objects.
//!
//! Parts are stored under the hash of their content and are small. Publishing writes only the parts
//! that differ, so after a change of one object each host fetches one small part, however many
//! objects there are.

use std::collections::BTreeMap;

use anyhow::{Context, Result, bail};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3;

use crate::config::config_object;
use crate::config::fleet_config;
use crate::config::key_secret;
use crate::core::group_record;

/// Prefix of the parts' keys in the platform's store.
pub const PART_PREFIX: &str = "parts/";
/// Prefix of the keys of replaced heads, followed by their version.
pub const HISTORY_PREFIX: &str = "history/";
/// Maximum size of a part that holds several objects, in bytes.
pub const PART_MAX_BYTES: usize = 16 * 1024;
/// Maximum size of a part that holds a single object, in bytes. The platform's store accepts values
/// of up to 1 MB.
pub const OBJECT_MAX_BYTES: usize = 900_000;
/// Maximum number of parts that the objects of one kind are split into.
const BUCKETS_MAX: u64 = 1 << 16;

/// The head of the configuration, replaced only by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Version, incremented by each publication.
    pub version: u64,
    /// Hashes of the parts, ordered by the kind of their objects.
    pub parts: Vec<String>,
    /// Secret that signs session tokens.
    pub token_secret: Vec<u8>,
    /// Random identifier of the publication, by which the publisher recognises its own head when
    /// the reply to its write was lost.
    pub publish_id: String,
    /// Name of the operator who published it.
    pub author: String,
    /// Time of publication, in milliseconds since the Unix epoch.
    pub published_at_ms: u64,
}

impl ConfigHead {
    /// Decodes a head from the bytes in the platform's store.
    ///
    /// # Errors
    ///
    /// Fails on bytes that do not encode a head.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        rmp_serde::from_slice(bytes).context("cannot decode the configuration's head")
    }

    /// Encodes the head for the platform's store.
    ///
    /// # Errors
    ///
    /// Fails if serialization fails.
    pub fn encode(&self) -> Result<Vec<u8>> {
        Ok(rmp_serde::to_vec_named(self)?)
    }
}

/// Returns the key of the head in the platform's store.
pub fn head_key() -> String {
    format!("{}config", group_record::LIVE_PREFIX)
}

/// Returns the key of a part in the platform's store.
pub fn part_key(hash: &str) -> String {
    format!("{PART_PREFIX}{hash}")
}

/// Returns the key of a replaced head in the platform's store.
pub fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version:012}")
}

/// Returns the SHA-256 hash of a part in hexadecimal, under which it is stored.
pub fn part_hash(bytes: &[u8]) -> String {
    key_secret::to_hex(&Sha256::digest(bytes))
}

/// Splits a configuration into parts and returns each with its hash. Equal configurations give the
/// same parts in the same order.
///
/// # Errors
///
/// Fails when an object is larger than [`OBJECT_MAX_BYTES`].
pub fn split_config(config: &fleet_config::FleetConfig) -> Result<Vec<(String, Vec<u8>)>> {
    let mut by_kind: BTreeMap<&str, Vec<config_object::ConfigObject>> = BTreeMap::new();
    for object in config.to_objects() {
        by_kind.entry(object.kind()).or_default().push(object);
    }
    let mut parts = Vec::new();
    for objects in by_kind.values() {
        parts.extend(split_kind(objects)?);
    }
    Ok(parts)
}

/// Builds the configuration from all parts of a head.
///
/// # Errors
///
/// Fails on malformed parts, and when two objects have the same kind and name.
pub fn join_parts<'a>(
    parts: impl IntoIterator<Item = &'a [u8]>,
) -> Result<fleet_config::FleetConfig> {
    let mut objects = Vec::new();
    for bytes in parts {
        objects.extend(decode_part(bytes)?);
    }
    fleet_config::FleetConfig::from_objects(objects)
}

/// Decodes the objects of one part.
///
/// # Errors
///
/// Fails on malformed bytes.
pub fn decode_part(bytes: &[u8]) -> Result<Vec<config_object::ConfigObject>> {
    rmp_serde::from_slice(bytes).context("cannot decode a part of the configuration")
}

/// Splits the objects of one kind, doubling the number of buckets until every part with several
/// objects has at most [`PART_MAX_BYTES`].
fn split_kind(objects: &[config_object::ConfigObject]) -> Result<Vec<(String, Vec<u8>)>> {
    let mut buckets = 1;
    loop {
        let parts = encode_buckets(objects, buckets)?;
        let fits = |(count, bytes): &(usize, Vec<u8>)| *count == 1 || bytes.len() <= PART_MAX_BYTES;
        if parts.iter().all(fits) || buckets >= BUCKETS_MAX {
            return parts.into_iter().map(|(_, bytes)| hash_part(bytes)).collect();
        }
        buckets *= 2;
    }
}

/// Returns a part with its hash.
///
/// # Errors
///
/// Fails when the part is larger than [`OBJECT_MAX_BYTES`].
fn hash_part(bytes: Vec<u8>) -> Result<(String, Vec<u8>)> {
    if bytes.len() > OBJECT_MAX_BYTES {
        let objects: Vec<config_object::ConfigObject> = rmp_serde::from_slice(&bytes)?;
        let object = objects.first().context("configuration part has no objects")?;
        let (kind, name) = (object.kind(), object.name());
        bail!(
            "{kind} {name}: object has {} bytes; expected at most {OBJECT_MAX_BYTES}",
            bytes.len()
        );
    }
    Ok((part_hash(&bytes), bytes))
}

/// Encodes the objects of each non-empty bucket as one part, and returns it with its number of
/// objects. An object's bucket follows from the hash of its name alone, so changes of other objects
/// do not move it while the number of buckets is the same.
fn encode_buckets(
    objects: &[config_object::ConfigObject],
    buckets: u64,
) -> Result<Vec<(usize, Vec<u8>)>> {
    let mut by_bucket: BTreeMap<u64, Vec<&config_object::ConfigObject>> = BTreeMap::new();
    for object in objects {
        let bucket = xxh3::xxh3_64(object.name().as_bytes()) % buckets;
        by_bucket.entry(bucket).or_default().push(object);
    }
    let encode = |bucket: &Vec<&config_object::ConfigObject>| {
        Ok((bucket.len(), rmp_serde::to_vec_named(bucket)?))
    };
    by_bucket.values().map(encode).collect()
}
