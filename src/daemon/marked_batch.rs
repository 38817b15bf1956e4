//! A batch of statements whose answer carries a mark.
//!
//! PostgreSQL's protocol matches answers to batches by their order alone, so an endpoint that
//! repeats an answer shifts all later ones. Each batch therefore selects a text of its own, and
//! only an answer with that text belongs to it.

use crate::core::endpoint_message;
use crate::daemon::batch_answer;
use crate::daemon::endpoint_sql;

/// A batch of statements, one of which selects the mark.
#[derive(Debug, Clone)]
pub struct MarkedBatch {
    text: String,
    mark: String,
    mark_index: usize,
    statement_count: usize,
}

/// How an answer relates to a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerMatch {
    /// The answer carries the batch's mark: the results of its statements, or their error.
    Belongs(Result<Vec<endpoint_sql::SqlResult>, endpoint_sql::SqlError>),
    /// An error without results, as of a batch that cannot be parsed or a commit that fails. It
    /// carries no mark.
    BareError(endpoint_sql::SqlError),
    /// The answer to another batch, or an answer that is not whole.
    Unmatched,
}

impl MarkedBatch {
    /// Marks the batch of `request`.
    pub fn for_request(request: &endpoint_message::EndpointRequest) -> Self {
        let mark = format!("{:016x}", rand::random::<u64>());
        let mut statements = endpoint_sql::statements(request);
        let statement_count = statements.len();
        // A failed transaction executes nothing before its end, so there the mark comes last.
        let mark_index = if ends_transaction(request) { statement_count } else { 0 };
        statements.insert(mark_index, format!("SELECT '{mark}'"));
        Self { text: endpoint_sql::join(&statements), mark, mark_index, statement_count }
    }

    /// Returns the text to send.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Decides whether an answer belongs to this batch.
    pub fn check(&self, answer: batch_answer::BatchAnswer) -> AnswerMatch {
        let batch_answer::BatchAnswer { mut results, error, malformed } = answer;
        let marked = results.get(self.mark_index).is_some_and(|result| self.is_mark(result));
        match error {
            _ if malformed => AnswerMatch::Unmatched,
            Some(error) if results.is_empty() => AnswerMatch::BareError(error),
            Some(error) if marked => AnswerMatch::Belongs(Err(error)),
            None if marked && results.len() == self.statement_count + 1 => {
                results.remove(self.mark_index);
                AnswerMatch::Belongs(Ok(results))
            }
            _ => AnswerMatch::Unmatched,
        }
    }

    fn is_mark(&self, result: &endpoint_sql::SqlResult) -> bool {
        matches!(&result.rows[..], [row] if matches!(&row[..], [Some(value)] if *value == self.mark))
    }
}

fn ends_transaction(request: &endpoint_message::EndpointRequest) -> bool {
    let endpoint_message::EndpointRequest::Run(statement) = request else { return false };
    matches!(
        statement.step,
        endpoint_message::TransactionStep::Commit | endpoint_message::TransactionStep::Rollback
    )
}
