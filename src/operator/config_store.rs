//! The published configuration in the platform's service, as operators' commands use it.

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

/// How long a command goes on trying when the platform gives no answer.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(15);
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const SECRET_BYTES: usize = 32;

/// A published configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct PublishedConfig {
    /// The head.
    pub head: config_head::ConfigHead,
    /// The head's revision in the platform's service.
    pub revision: u64,
    /// The objects.
    pub config: fleet_config::FleetConfig,
}

/// How a publication ended.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishOutcome {
    /// The configuration was published under this version.
    Published {
        /// The version.
        version: u64,
    },
    /// Nothing differs from what is published.
    Unchanged {
        /// The version published.
        version: u64,
    },
    /// Another operator has published since; nothing was written.
    Conflict {
        /// The version now published.
        version: u64,
        /// Who published it.
        author: String,
        /// What differs from the version that the change was based on, as text.
        changes: Vec<String>,
    },
    /// The configuration has faults; nothing was written.
    Invalid {
        /// The faults.
        findings: Vec<config_check::CheckFinding>,
    },
}

/// The platform's service as operators' commands use it.
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
    /// Builds a store at the platform's address.
    ///
    /// # Errors
    ///
    /// Fails when no client can be made.
    pub fn new(address: String) -> Result<Self> {
        Ok(Self { client: http_call::client(CONNECT_TIMEOUT)?, address })
    }

    /// Reads the configuration in force; `None` before the first publication.
    ///
    /// # Errors
    ///
    /// Fails when the platform gives no answer, or a damaged one.
    pub async fn current(&self) -> Result<Option<PublishedConfig>> {
        let Some(entry) = self.get(&config_head::head_key()).await? else { return Ok(None) };
        let head = config_head::ConfigHead::decode(&entry.value)?;
        let config = self.load(&head).await?;
        Ok(Some(PublishedConfig { head, revision: entry.revision, config }))
    }

    /// Reads an earlier version's head.
    ///
    /// # Errors
    ///
    /// Fails when the platform gives no answer, or has no such version.
    pub async fn earlier_head(&self, version: u64) -> Result<config_head::ConfigHead> {
        let key = config_head::history_key(version);
        let entry = self.get(&key).await?;
        let entry = entry.with_context(|| format!("version {version} is not in the history"))?;
        config_head::ConfigHead::decode(&entry.value)
    }

    /// Reads the objects that a head names.
    ///
    /// # Errors
    ///
    /// Fails when a part is missing or damaged.
    pub async fn load(&self, head: &config_head::ConfigHead) -> Result<fleet_config::FleetConfig> {
        let mut parts = Vec::new();
        for hash in &head.parts {
            let entry = self.get(&config_head::part_key(hash)).await?;
            let entry = entry.with_context(|| format!("part {hash} is missing"))?;
            if config_head::part_hash(&entry.value) != *hash {
                bail!("part {hash} is damaged");
            }
            parts.push(entry.value);
        }
        config_head::join_parts(parts.iter().map(Vec::as_slice))
    }

    /// Publishes `config`, which was made from version `base` (0: from nothing).
    ///
    /// The head is swapped once under an identifier of its own. When the answer is lost, the head
    /// or the history tells whether the swap took effect, so the change is neither reported as a
    /// conflict with itself nor published twice.
    ///
    /// # Errors
    ///
    /// Fails when the platform gives no answer for long; the text says what is known.
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
                    bail!("the platform refused: {detail}")
                }
                Ok(_) => bail!("the platform gave an answer of another kind"),
                Err(error) if started.elapsed() > PLATFORM_TIMEOUT => {
                    return Err(error.context(format!(
                        "publication {} of version {} may have taken effect; look with `history`",
                        head.publish_id, head.version
                    )));
                }
                // The swap may have taken effect. Trying it again is safe: it can succeed only
                // while the head is still the one that it was based on.
                Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
            }
        }
    }

    /// Whether the head was published, now in force or replaced since.
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

    async fn conflict(&self, base: u64) -> Result<PublishOutcome> {
        let current = self.current().await?.context("the configuration is gone")?;
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

    /// Reads the heads of all versions, the newest first, at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails when the platform gives no answer.
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

    /// Writes a key that is written once; a value that stands there already is left.
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
                bail!("{key}: the platform refused: {detail}")
            }
            _ => bail!("{key}: the platform gave an answer of another kind"),
        }
    }

    async fn get(&self, key: &str) -> Result<Option<platform_message::StoreEntry>> {
        match self
            .call_with_retries(&platform_message::PlatformRequest::Get { key: key.to_owned() })
            .await?
        {
            platform_message::PlatformReply::Value(entry) => Ok(entry),
            _ => bail!("{key}: the platform gave an answer of another kind"),
        }
    }

    async fn call_with_retries(
        &self,
        request: &platform_message::PlatformRequest,
    ) -> Result<platform_message::PlatformReply> {
        let started = Instant::now();
        let mut last_error = anyhow!("the platform gave no answer");
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

/// Returns the names of hosts by the version that each reports, for hosts that answer.
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
