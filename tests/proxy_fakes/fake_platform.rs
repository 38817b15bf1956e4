//! Fake platform that takes the calls of duties and checks the rules for their holders.

use std::collections::BTreeMap;

use quetzaldeal::proxy::duty_call;

/// How the platform handles calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlatformMode {
    /// Replies to all calls.
    Up,
    /// Ignores all calls.
    Away,
    /// Takes calls without replying to them.
    DropsReplies,
}

/// A usage report that arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ArrivedReport {
    /// When it arrived, in microseconds of virtual time.
    pub(crate) at: u64,
    /// Number of the host that sent it.
    pub(crate) host: usize,
    /// Its fencing token.
    pub(crate) token: u64,
    /// Number of the window.
    pub(crate) window: u64,
    /// Requests by account.
    pub(crate) counts: BTreeMap<String, u64>,
}

/// A fake platform.
#[derive(Debug)]
pub(crate) struct FakePlatform {
    /// How it handles calls.
    pub(crate) mode: PlatformMode,
    /// Usage reports in the order of their arrival, repeated ones included.
    pub(crate) reports: Vec<ArrivedReport>,
    /// Highest token of a promotion so far, by group.
    promotion_tokens: BTreeMap<String, u64>,
}

impl Default for FakePlatform {
    fn default() -> Self {
        Self { mode: PlatformMode::Up, reports: Vec::new(), promotion_tokens: BTreeMap::new() }
    }
}

impl FakePlatform {
    /// Notes the token of a promotion. Returns the rule that it breaks, if it does.
    pub(crate) fn note_promotion(&mut self, group: &str, token: u64) -> Option<String> {
        let highest = self.promotion_tokens.entry(group.to_owned()).or_default();
        let broken = (token < *highest)
            .then(|| format!("the token {token} came after {highest} for a promotion in {group}"));
        *highest = token.max(*highest);
        broken
    }

    /// Takes a usage report. Returns the reply and the rules that the report breaks.
    pub(crate) fn report(
        &mut self,
        report: ArrivedReport,
        turn_us: u64,
    ) -> (duty_call::DutyReply, Vec<String>) {
        if self.mode == PlatformMode::Away {
            return (duty_call::DutyReply::NoReply, Vec::new());
        }
        let mut broken = Vec::new();
        for (position, other) in self.reports.iter().enumerate() {
            if other.window == report.window && other.counts != report.counts {
                broken.push(format!("window {} was reported differently", report.window));
            }
            if other.host != report.host && other.token == report.token {
                broken.push(format!("two hosts sent the token {}", report.token));
            }
            if other.token > report.token {
                broken.push(format!("the token {} came after {}", report.token, other.token));
            }
            let turns = self.reports[position..].iter().any(|between| between.host != report.host);
            if other.host == report.host && turns && report.at < other.at + turn_us {
                broken.push(format!("hosts took turns: {} again after another", report.host));
            }
        }
        self.reports.push(report);
        let reply = match self.mode {
            PlatformMode::Up => duty_call::DutyReply::Accepted,
            _ => duty_call::DutyReply::NoReply,
        };
        (reply, broken)
    }
}
