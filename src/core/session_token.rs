//! The session token: the log points that a caller's reads must observe, authenticated by a MAC so
//! that callers can carry it between hosts but not alter it.

use std::collections::BTreeMap;

use anyhow::{Context, Result, bail};
use subtle::ConstantTimeEq;

use crate::config::key_secret;
use crate::core::endpoint_message;

/// Version of the text form; tokens of any other version are rejected.
const TOKEN_VERSION: &str = "1";

/// Log points that a session's reads must observe, by group.
///
/// The text form is `1~group:term:position~…~mac`. Points never move backwards.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SessionToken {
    points: BTreeMap<String, endpoint_message::LogPoint>,
}

impl SessionToken {
    /// Returns the point that reads from `group` must observe, or `None` if the session has not
    /// used the group.
    pub fn point(&self, group: &str) -> Option<endpoint_message::LogPoint> {
        self.points.get(group).copied()
    }

    /// Raises the session's point in `group` to `point`; an earlier point has no effect.
    pub fn advance(&mut self, group: &str, point: endpoint_message::LogPoint) {
        let current = self.points.entry(group.to_owned()).or_default();
        *current = point.max(*current);
    }

    /// Raises every point to at least that of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (group, point) in &other.points {
            self.advance(group, *point);
        }
    }

    /// Returns the text form for `account`, with a MAC keyed by `secret`.
    pub fn sign(&self, secret: &[u8], account: &str) -> String {
        let mut text = TOKEN_VERSION.to_owned();
        for (group, point) in &self.points {
            text.push_str(&format!("~{group}:{}:{}", point.term, point.position));
        }
        let mac = Self::mac(secret, account, &text);
        format!("{text}~{mac}")
    }

    /// Parses the text form and verifies its MAC for `account`.
    ///
    /// # Errors
    ///
    /// Fails if the text is malformed, was altered, or was issued for another account.
    pub fn verify(secret: &[u8], account: &str, text: &str) -> Result<Self> {
        let (body, mac) = text.rsplit_once('~').context("session token has no MAC")?;
        let expected = Self::mac(secret, account, body);
        if !bool::from(expected.as_bytes().ct_eq(mac.as_bytes())) {
            bail!("session token has a MAC that does not match its content");
        }
        let mut fields = body.split('~');
        if fields.next() != Some(TOKEN_VERSION) {
            bail!("session token has an unknown version, expected {TOKEN_VERSION}");
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
        let position = parts
            .next()
            .context("session token point has no position")?
            .parse()
            .context("session token point has a malformed position, expected an integer")?;
        let term = parts
            .next()
            .context("session token point has no term")?
            .parse()
            .context("session token point has a malformed term, expected an integer")?;
        let group = parts.next().context("session token point has no group")?;
        Ok((group, endpoint_message::LogPoint { term, position }))
    }

    fn mac(secret: &[u8], account: &str, body: &str) -> String {
        let signed = format!("{account}\n{body}");
        key_secret::keyed_hash(secret, signed.as_bytes())[..32].to_owned()
    }
}
