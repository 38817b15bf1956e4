//! Databases that send some of their answers twice.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use quetzaldeal::proxy::endpoint_command;

/// Kind of an answer, as far as a repetition of it can be told from the next answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum AnswerKind {
    /// READY after the start-up message.
    StartUp,
    /// Answer to a statement or COMMIT, with a signature.
    Signed,
    /// Answer to a session command, without a signature.
    Plain,
    /// Answer with a status row.
    Status,
    /// Error answer.
    Error,
}

impl AnswerKind {
    /// All kinds.
    pub(crate) const ALL: [Self; 5] =
        [Self::StartUp, Self::Signed, Self::Plain, Self::Status, Self::Error];

    /// Returns the kind of a response.
    pub(crate) fn of(response: &endpoint_command::EndpointResponse) -> Self {
        match &response.outcome {
            Err(_) => Self::Error,
            Ok(_) if response.report.is_some() => Self::Status,
            Ok(signature) if signature.is_empty() => Self::StartUp,
            Ok(signature) if signature == "-" => Self::Plain,
            Ok(_) => Self::Signed,
        }
    }
}

/// Which answers of a database are sent twice, and when.
#[derive(Debug, Clone)]
pub(crate) struct FakeStutter {
    /// Fraction of the answers that is sent twice.
    pub(crate) share: f64,
    /// How long after the answer its repetition is sent, in milliseconds.
    pub(crate) delay_ms: RangeInclusive<u64>,
    /// Kinds of answers that are sent twice.
    pub(crate) kinds: BTreeSet<AnswerKind>,
}

impl FakeStutter {
    /// Repeats every answer of the given kinds after a fixed delay.
    pub(crate) fn always(kinds: &[AnswerKind], delay_ms: u64) -> Self {
        let kinds = kinds.iter().copied().collect();
        Self { share: 1.0, delay_ms: delay_ms..=delay_ms, kinds }
    }

    /// Repeats a share of the answers of all kinds after up to `delay_ms`.
    pub(crate) fn up_to(share: f64, delay_ms: u64) -> Self {
        Self { share, delay_ms: 0..=delay_ms, kinds: AnswerKind::ALL.into() }
    }
}
