//! What a connection's earlier responses say about the next one.

/// Whether a response belongs to the command in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseMatch {
    /// It belongs to the command.
    Proven,
    /// It may belong to the command, or repeat the response to an earlier one of the same kind. No
    /// data or log position may be taken from it.
    Plausible,
    /// It repeats an earlier response, or stands in the place of one; the command's own follows.
    Repeated,
    /// It cannot be shown to belong to the command, nor to an earlier one.
    Unmatched,
}

impl ResponseMatch {
    /// Returns the value of the metric label `match`.
    pub fn name(self) -> &'static str {
        match self {
            Self::Proven => "proven",
            Self::Plausible => "plausible",
            Self::Repeated => "repeated",
            Self::Unmatched => "unmatched",
        }
    }
}
