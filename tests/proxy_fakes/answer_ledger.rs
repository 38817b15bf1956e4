//! Answers of the databases and promises to callers, by request.

use std::collections::{BTreeMap, BTreeSet};

use quetzaldeal::proxy::endpoint_command;
use quetzaldeal::proxy::proxy_message;

use crate::proxy_fakes::fake_database;

/// Answers of the databases and promises to callers, by request.
#[derive(Debug, Default)]
pub(crate) struct AnswerLedger {
    /// Signature and rows of each signed answer.
    signed: BTreeMap<String, Vec<(String, Vec<String>)>>,
    /// Writes of which a caller was told that they did not run.
    promised: BTreeSet<String>,
}

impl AnswerLedger {
    /// Records the answer of a database to a statement or COMMIT.
    pub(crate) fn record(&mut self, request: &str, response: &endpoint_command::EndpointResponse) {
        if let Ok(signature) = &response.outcome {
            let answer = (signature.clone(), response.rows.clone());
            self.signed.entry(request.to_owned()).or_default().push(answer);
        }
    }

    /// Records that a caller was told that a write did not run.
    pub(crate) fn promise(&mut self, request: &str) {
        self.promised.insert(request.to_owned());
    }

    /// Returns what is wrong with a response that says that a statement or COMMIT succeeded: its
    /// signature and rows have to be those of an answer to this request.
    pub(crate) fn check_success(
        &self,
        request: &str,
        response: &proxy_message::CallerResponse,
    ) -> Option<String> {
        let answers = self.signed.get(request).map_or(&[][..], Vec::as_slice);
        let own = answers.iter().any(|(signature, rows)| {
            response.signature.as_ref() == Some(signature) && response.rows == *rows
        });
        let (signature, rows) = (&response.signature, &response.rows);
        (!own).then(|| {
            format!(
                "MIXED: {request} was answered with signature {signature:?} and rows {rows:?}, \
                 but its answers were {answers:?}"
            )
        })
    }

    /// Returns what is wrong with a commit: its writes may neither have been promised not to run
    /// nor be in the log already.
    pub(crate) fn check_commit(&self, log: &[fake_database::LogEntry]) -> Vec<String> {
        let Some((entry, earlier)) = log.split_last() else { return Vec::new() };
        let mut broken = Vec::new();
        for request in &entry.requests {
            if self.promised.contains(request) {
                broken.push(format!("REFUSED: {request} was committed after a promise"));
            }
            if earlier.iter().any(|other| other.requests.contains(request)) {
                broken.push(format!("TWICE: {request} was committed again"));
            }
        }
        broken
    }
}
