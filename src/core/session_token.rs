//! A caller's session: the log points it must see, as a tamper-evident token.

use std::collections::BTreeMap;

use anyhow::{Context, Result, bail};
use subtle::ConstantTimeEq;

use crate::core::endpoint_message;
use crate::world::key_secret;

const TOKEN_VERSION: &str = "1";

/// For each group that the session used, the point that its reads must see.
///
/// Text form: `1~group:term:position~…~mac`. Points only ever advance.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SessionToken {
    points: BTreeMap<String, endpoint_message::LogPoint>,
}

impl SessionToken {
    /// Returns the point that reads from `group` must see, if the session used it.
    pub fn point(&self, group: &str) -> Option<endpoint_message::LogPoint> {
        self.points.get(group).copied()
    }

    /// Advances the session's point in `group`; an earlier point changes nothing.
    pub fn advance(&mut self, group: &str, point: endpoint_message::LogPoint) {
        let current = self.points.entry(group.to_owned()).or_default();
        *current = point.max(*current);
    }

    /// Merges another token of the same session.
    pub fn merge(&mut self, other: &Self) {
        for (group, point) in &other.points {
            self.advance(group, *point);
        }
    }

    /// Writes the token for `account`, sealed with the fleet's secret.
    pub fn seal(&self, secret: &[u8], account: &str) -> String {
        let mut text = TOKEN_VERSION.to_owned();
        for (group, point) in &self.points {
            text.push_str(&format!("~{group}:{}:{}", point.term, point.position));
        }
        let mac = Self::mac(secret, account, &text);
        format!("{text}~{mac}")
    }

    /// Reads a token that `seal` wrote for the same account.
    ///
    /// # Errors
    ///
    /// Fails on malformed text, on a broken seal, and on a token of another account.
    pub fn open(secret: &[u8], account: &str, text: &str) -> Result<Self> {
        let (body, mac) = text.rsplit_once('~').context("session token has no seal")?;
        let expected = Self::mac(secret, account, body);
        if !bool::from(expected.as_bytes().ct_eq(mac.as_bytes())) {
            bail!("session token's seal does not match");
        }
        let mut fields = body.split('~');
        if fields.next() != Some(TOKEN_VERSION) {
            bail!("session token has an unknown version");
        }
        let mut token = Self::default();
        for field in fields {
            let (group, point) = Self::parse_point(field)?;
            token.advance(group, point);
        }
        Ok(token)
    }

    fn parse_point(field: &str) -> Result<(&str, endpoint_message::LogPoint)> {
        let mut parts = field.rsplitn(3, ':');
        let position = parts.next().context("no position")?.parse().context("bad position")?;
        let term = parts.next().context("no term")?.parse().context("bad term")?;
        let group = parts.next().context("no group")?;
        Ok((group, endpoint_message::LogPoint { term, position }))
    }

    fn mac(secret: &[u8], account: &str, body: &str) -> String {
        let sealed = format!("{account}\n{body}");
        key_secret::keyed_hash(secret, sealed.as_bytes())[..32].to_owned()
    }
}
