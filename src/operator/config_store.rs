//! Reads and publishes the configuration in the platform's key-value store on behalf of the
//! operators' commands.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result, anyhow, bail};
use volo_http::client::Client;

use crate::config::config_check;
use crate::config::config_head;
use crate::config::fleet_config;
use crate::config::key_secret;
use crate::core::platform_message;
use crate::core::status_report;
use crate::daemon::http_call;
use crate::daemon::peer_driver;
use crate::daemon::platform_driver;
use crate::operator::config_diff;

/// How long a command retries a call while the platform does not reply.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(15);
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Length of the secret that signs session tokens.
const SECRET_BYTES: usize = 32;

/// A configuration as it was read from the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct PublishedConfig {
    /// Head of the configuration.
    pub head: config_head::ConfigHead,
    /// Revision of the head's store entry, for the next compare-and-swap.
    pub revision: u64,
    /// Objects of the configuration.
    pub config: fleet_config::FleetConfig,
}

/// Result of a publication.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishOutcome {
    /// The configuration was published under this version.
    Published {
        /// The new version.
        version: u64,
    },
    /// The configuration is the same as the published one; nothing was written.
    Unchanged {
        /// The version that is published.
        version: u64,
    },
    /// Another operator published a version after the one that the change is based on; nothing was
    /// written.
    Conflict {
        /// The version that is published now.
        version: u64,
        /// Name of the operator who published it.
        author: String,
        /// Differences between the base version and the published one, as text.
        changes: Vec<String>,
    },
    /// The configuration is invalid; nothing was written.
    Invalid {
        /// The errors found.
        findings: Vec<config_check::CheckFinding>,
    },
}

/// Client for the configuration in the platform's key-value store.
#[derive(Clone)]
pub struct ConfigStore {
    client: Client,
    address: String,
}

impl std::fmt::Debug for ConfigStore {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("ConfigStore").field("address", &self.address).finish()
    }
}

impl ConfigStore {
    /// Creates a client for the platform at `address` (IP and port).
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client cannot be created.
    pub fn new(address: String) -> Result<Self> {
        Ok(Self { client: http_call::client(CONNECT_TIMEOUT)?, address })
    }

    /// Reads the published configuration; `None` before the first publication.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not reply in time, or when the head or a part is malformed.
    pub async fn current(&self) -> Result<Option<PublishedConfig>> {
        let Some(entry) = self.get(&config_head::head_key()).await? else { return Ok(None) };
        let head = config_head::ConfigHead::decode(&entry.value)?;
        let config = self.load(&head).await?;
        Ok(Some(PublishedConfig { head, revision: entry.revision, config }))
    }

    /// Reads the head of an earlier version from the history.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not reply in time, or has no such version.
    pub async fn earlier_head(&self, version: u64) -> Result<config_head::ConfigHead> {
        let key = config_head::history_key(version);
        let entry = self.get(&key).await?;
        let entry =
            entry.with_context(|| format!("version {version}: not found in the history"))?;
        config_head::ConfigHead::decode(&entry.value)
    }

    /// Reads the objects of a configuration from the parts that its head lists.
    ///
    /// # Errors
    ///
    /// Fails when a part is missing, or when its content does not match its hash.
    pub async fn load(&self, head: &config_head::ConfigHead) -> Result<fleet_config::FleetConfig> {
        let mut parts = Vec::new();
        for hash in &head.parts {
            let entry = self.get(&config_head::part_key(hash)).await?;
            let entry =
                entry.with_context(|| format!("part {hash}: not found in the platform's store"))?;
            if config_head::part_hash(&entry.value) != *hash {
                bail!("part {hash}: content does not match the hash");
            }
            parts.push(entry.value);
        }
        config_head::join_parts(parts.iter().map(Vec::as_slice))
    }

    /// Publishes `config`, which is based on version `base`, or on none if `base` is 0.
    ///
    /// Each publication has a random identifier in its head. When the reply to the compare-and-swap
    /// of the head is lost, that identifier in the current head or in the history shows whether the
    /// swap took effect. The publication is thus neither reported as a conflict with itself nor
    /// applied twice.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not reply in time. If the configuration may have been published
    /// all the same, the error says so.
    pub async fn publish(
        &self,
        config: &fleet_config::FleetConfig,
        base: u64,
        author: &str,
    ) -> Result<PublishOutcome> {
        let current = self.current().await?;
        let version = current.as_ref().map_or(0, |current| current.head.version);
        if version != base {
            return self.conflict(base).await;
        }
        let previous = current.as_ref().map(|current| &current.config);
        let findings = config_check::check_config(config, previous);
        if !findings.is_empty() {
            return Ok(PublishOutcome::Invalid { findings });
        }
        if previous == Some(config) {
            return Ok(PublishOutcome::Unchanged { version });
        }
        let parts = config_head::split_config(config)?;
        for (hash, bytes) in &parts {
            self.put_if_absent(&config_head::part_key(hash), bytes).await?;
        }
        if let Some(current) = &current {
            let key = config_head::history_key(version);
            self.put_if_absent(&key, &current.head.encode()?).await?;
        }
        let head = config_head::ConfigHead {
            version: version + 1,
            parts: parts.into_iter().map(|(hash, _)| hash).collect(),
            token_secret: match &current {
                Some(current) => current.head.token_secret.clone(),
                None => rand::random::<[u8; SECRET_BYTES]>().to_vec(),
            },
            publish_id: key_secret::to_hex(&rand::random::<[u8; 16]>()),
            author: author.to_owned(),
            published_at_ms: now_unix_ms(),
        };
        self.swap_head(&head, current.map_or(0, |current| current.revision)).await
    }

    /// Replaces the head if its revision is still `expected`, and retries while the platform does
    /// not reply.
    async fn swap_head(
        &self,
        head: &config_head::ConfigHead,
        expected: u64,
    ) -> Result<PublishOutcome> {
        let started = Instant::now();
        let published = PublishOutcome::Published { version: head.version };
        let request = platform_message::PlatformRequest::CompareSwap {
            key: config_head::head_key(),
            expected,
            value: head.encode()?,
        };
        loop {
            match platform_driver::call(&self.client, &self.address, &request).await {
                Ok(platform_message::PlatformReply::Swapped { .. }) => return Ok(published),
                Ok(platform_message::PlatformReply::Conflict(_))
                    if self.was_published(head).await? =>
                {
                    return Ok(published);
                }
                Ok(platform_message::PlatformReply::Conflict(_)) => {
                    return self.conflict(head.version - 1).await;
                }
                Ok(platform_message::PlatformReply::Refused { detail }) => {
                    bail!("configuration head: the platform refused the write: {detail}")
                }
                Ok(_) => bail!("configuration head: unexpected kind of reply from the platform"),
                Err(error) if started.elapsed() > PLATFORM_TIMEOUT => {
                    return Err(error.context(format!(
                        "no reply from the platform; publication {} of version {} may have taken \
                         effect, check with `history`",
                        head.publish_id, head.version
                    )));
                }
                // The swap may have taken effect. Retrying it is safe: it succeeds only while the
                // head still has the expected revision.
                Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
            }
        }
    }

    /// Returns whether `head` was published, be it the current head or one that was replaced since.
    async fn was_published(&self, head: &config_head::ConfigHead) -> Result<bool> {
        let entry = self.get(&config_head::head_key()).await?;
        let Some(entry) = entry else { return Ok(false) };
        let current = config_head::ConfigHead::decode(&entry.value)?;
        if current.version == head.version {
            return Ok(current.publish_id == head.publish_id);
        }
        if current.version < head.version {
            return Ok(false);
        }
        let earlier = self.earlier_head(head.version).await?;
        Ok(earlier.publish_id == head.publish_id)
    }

    /// Reads what was published after version `base`.
    async fn conflict(&self, base: u64) -> Result<PublishOutcome> {
        let current = self.current().await?.context("no configuration is published any more")?;
        let changes = if base == 0 {
            Vec::new()
        } else {
            let old = self.earlier_head(base).await?;
            let old = self.load(&old).await?;
            let changes = config_diff::diff(&old, &current.config);
            changes.iter().map(ToString::to_string).collect()
        };
        let PublishedConfig { head, .. } = current;
        Ok(PublishOutcome::Conflict { version: head.version, author: head.author, changes })
    }

    /// Reads the heads of the newest `limit` versions, newest first.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not reply in time, or a version is missing from the history.
    pub async fn history(&self, limit: usize) -> Result<Vec<config_head::ConfigHead>> {
        let Some(entry) = self.get(&config_head::head_key()).await? else { return Ok(Vec::new()) };
        let mut heads = vec![config_head::ConfigHead::decode(&entry.value)?];
        let mut version = heads[0].version;
        while version > 1 && heads.len() < limit {
            version -= 1;
            heads.push(self.earlier_head(version).await?);
        }
        Ok(heads)
    }

    /// Writes `value` unless the key already exists. For keys whose value never changes.
    async fn put_if_absent(&self, key: &str, value: &[u8]) -> Result<()> {
        let request = platform_message::PlatformRequest::CompareSwap {
            key: key.to_owned(),
            expected: 0,
            value: value.to_vec(),
        };
        match self.call_with_retries(&request).await? {
            platform_message::PlatformReply::Swapped { .. }
            | platform_message::PlatformReply::Conflict(_) => Ok(()),
            platform_message::PlatformReply::Refused { detail } => {
                bail!("key {key}: the platform refused the write: {detail}")
            }
            _ => bail!("key {key}: unexpected kind of reply from the platform"),
        }
    }

    async fn get(&self, key: &str) -> Result<Option<platform_message::StoreEntry>> {
        match self
            .call_with_retries(&platform_message::PlatformRequest::Get { key: key.to_owned() })
            .await?
        {
            platform_message::PlatformReply::Value(entry) => Ok(entry),
            _ => bail!("key {key}: unexpected kind of reply from the platform"),
        }
    }

    /// Calls the platform, and retries for [`PLATFORM_TIMEOUT`] while it does not reply. Only for
    /// requests that are safe to repeat.
    async fn call_with_retries(
        &self,
        request: &platform_message::PlatformRequest,
    ) -> Result<platform_message::PlatformReply> {
        let started = Instant::now();
        let mut last_error = anyhow!("no reply from the platform within {PLATFORM_TIMEOUT:?}");
        while started.elapsed() < PLATFORM_TIMEOUT {
            match platform_driver::call(&self.client, &self.address, request).await {
                Ok(reply) => return Ok(reply),
                Err(error) => last_error = error,
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        Err(last_error)
    }
}

/// Requests the status reports of all hosts at once. Returns by host name the report, or the error
/// if the host did not reply.
pub async fn query_hosts(
    client: &Client,
    config: &fleet_config::FleetConfig,
) -> BTreeMap<String, Result<status_report::StatusReport>> {
    let mut reports = BTreeMap::new();
    let requests = config.hosts.values().map(|host| async {
        let report = http_call::post_message(
            client,
            &host.address,
            peer_driver::STATUS_PATH,
            &(),
            CONNECT_TIMEOUT,
        );
        (host.name.clone(), report.await)
    });
    for (name, report) in futures::future::join_all(requests).await {
        reports.insert(name, report);
    }
    reports
}

fn now_unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
