//! The head of the published configuration and the parts that it names.
//!
//! Parts are content-addressed and small: a change rewrites only the parts that differ, so that a
//! change of one object costs each host one small part, however many objects there are.

use std::collections::BTreeMap;

use anyhow::{Context, Result, bail};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3;

use crate::config::config_object;
use crate::config::fleet_config;
use crate::config::key_secret;
use crate::core::group_record;

/// Platform prefix of the parts.
pub const PART_PREFIX: &str = "parts/";
/// Platform prefix of replaced heads, by version.
pub const HISTORY_PREFIX: &str = "history/";
/// The largest part of several objects, in bytes.
pub const PART_MAX_BYTES: usize = 16 * 1024;
/// The largest part of one object, in bytes; the platform holds values up to a megabyte.
pub const OBJECT_MAX_BYTES: usize = 900_000;
const BUCKETS_MAX: u64 = 1 << 16;

/// The head of the configuration, changed only by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Grows by one with each publication.
    pub version: u64,
    /// Hashes of the parts, in order.
    pub parts: Vec<String>,
    /// Secret that seals session tokens.
    pub token_secret: Vec<u8>,
    /// Identifies one publication, so that its own lost answer is recognised.
    pub publish_id: String,
    /// Who published it.
    pub author: String,
    /// When, in milliseconds since the Unix epoch.
    pub published_at_ms: u64,
}

impl ConfigHead {
    /// Decodes a head as the platform holds it.
    ///
    /// # Errors
    ///
    /// Fails on truncated or foreign bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        rmp_serde::from_slice(bytes).context("the configuration's head is malformed")
    }

    /// Encodes the head for the platform.
    ///
    /// # Errors
    ///
    /// Fails when the head cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>> {
        Ok(rmp_serde::to_vec_named(self)?)
    }
}

/// Returns the platform key of the head.
pub fn head_key() -> String {
    format!("{}config", group_record::LIVE_PREFIX)
}

/// Returns the platform key of a part.
pub fn part_key(hash: &str) -> String {
    format!("{PART_PREFIX}{hash}")
}

/// Returns the platform key of a replaced head.
pub fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version:012}")
}

/// Returns the hash that names a part.
pub fn part_hash(bytes: &[u8]) -> String {
    key_secret::to_hex(&Sha256::digest(bytes))
}

/// Splits a configuration into parts, named by hash, in a stable order.
///
/// # Errors
///
/// Names an object that is too large to publish.
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

/// Joins the parts of a head.
///
/// # Errors
///
/// Fails on malformed parts and on names that stand twice.
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
    rmp_serde::from_slice(bytes).context("a part of the configuration is malformed")
}

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

fn hash_part(bytes: Vec<u8>) -> Result<(String, Vec<u8>)> {
    if bytes.len() > OBJECT_MAX_BYTES {
        let objects: Vec<config_object::ConfigObject> = rmp_serde::from_slice(&bytes)?;
        let object = objects.first().context("an empty part")?;
        let (kind, name) = (object.kind(), object.name());
        bail!("{kind} {name}: {} bytes; at most {OBJECT_MAX_BYTES} can be published", bytes.len());
    }
    Ok((part_hash(&bytes), bytes))
}

/// Encodes objects by the bucket of their names; each with the number of its objects.
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
