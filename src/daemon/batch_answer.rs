//! The answer to a batch: the messages of an endpoint up to the next `ReadyForQuery`.

use std::pin::pin;

use futures::StreamExt;
use tokio_postgres::{SimpleQueryMessage, SimpleQueryStream};

use crate::daemon::endpoint_sql;

/// The answer to a batch of statements.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct BatchAnswer {
    /// Results of the statements that were completed.
    pub results: Vec<endpoint_sql::SqlResult>,
    /// Error that ended the batch.
    pub error: Option<endpoint_sql::SqlError>,
    /// Whether messages are missing or repeated: rows outside of a result, a result with another
    /// number of rows than it states, or messages after the error.
    pub malformed: bool,
}

impl BatchAnswer {
    /// Reads an answer to its end. Returns `None` if the connection is lost before.
    pub async fn read(stream: SimpleQueryStream) -> Option<Self> {
        let mut stream = pin!(stream);
        let mut answer = Self::default();
        let mut current = None;
        while let Some(message) = stream.next().await {
            answer.malformed |= answer.error.is_some();
            match message {
                Ok(message) => answer.add(message, &mut current),
                Err(error) => match error.as_db_error() {
                    Some(error) => {
                        let code = error.code().code().to_owned();
                        let message = error.message().to_owned();
                        answer.error = Some(endpoint_sql::SqlError { code, message });
                    }
                    None if error.is_closed() => return None,
                    // The stream may not get past a message that it cannot decode.
                    None => {
                        answer.malformed = true;
                        return Some(answer);
                    }
                },
            }
        }
        answer.malformed |= current.is_some() && answer.error.is_none();
        Some(answer)
    }

    fn add(&mut self, message: SimpleQueryMessage, current: &mut Option<endpoint_sql::SqlResult>) {
        match message {
            SimpleQueryMessage::RowDescription(columns) => {
                let columns = columns.iter().map(|column| column.name().to_owned()).collect();
                let result =
                    endpoint_sql::SqlResult { columns, ..endpoint_sql::SqlResult::default() };
                self.malformed |= current.replace(result).is_some();
            }
            SimpleQueryMessage::Row(row) => match current {
                Some(result) => {
                    let values = (0..row.len()).map(|index| row.get(index).map(str::to_owned));
                    result.rows.push(values.collect());
                }
                None => self.malformed = true,
            },
            SimpleQueryMessage::CommandComplete(affected) => {
                let returns_rows = current.is_some();
                let mut result = current.take().unwrap_or_default();
                result.affected = affected;
                self.malformed |= returns_rows && result.rows.len() as u64 != affected;
                self.results.push(result);
            }
            _ => {}
        }
    }
}
