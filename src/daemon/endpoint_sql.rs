//! Encodes requests to endpoints as SQL and decodes their results.
//!
//! Endpoints provide these in the schema `quetzaldeal`:
//! - `status()`: returns one row: copy, adopted term, log term, position, whether the endpoint is
//!   the primary, and the address it replicates from;
//! - `await(term, position, wait_ms)`: returns the same row once the log has reached the point, or
//!   after `wait_ms`;
//! - `fence(term)`, `promote(term, log_term, position)`, `follow(term, address)`: apply
//!   the change and return the same row;
//! - `write_guard(term)`: fails with `QD002` unless the endpoint is the primary of the term;
//! - `read_guard(term, position)`: fails with `QD001` unless the log has reached the point;
//! - table `requests (account, id)` with a unique key, replicated with the data.

use crate::core::endpoint_message;

/// SQLSTATE from an endpoint whose log has not reached the read point.
pub const STATE_BEHIND: &str = "QD001";
/// SQLSTATE from an endpoint that is not the primary of the term.
pub const STATE_WRONG_TERM: &str = "QD002";
/// SQLSTATE of a violated unique key.
pub const STATE_DUPLICATE: &str = "23505";
/// Start of the query that calls one of the endpoint's functions.
pub const FUNCTION_QUERY: &str = "SELECT * FROM quetzaldeal.";
/// Table of request identifiers, as named in the database's error messages.
pub const REQUESTS_TABLE: &str = "quetzaldeal.requests";

/// Result of one SQL statement.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SqlResult {
    /// Column names.
    pub columns: Vec<String>,
    /// Rows of text values.
    pub rows: Vec<Vec<Option<String>>>,
    /// Number of rows affected or returned.
    pub affected: u64,
}

/// An error returned by a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SqlError {
    /// SQLSTATE.
    pub code: String,
    /// Error message.
    pub message: String,
}

/// Returns the statements of a request; the endpoint runs them as one implicit transaction.
pub fn statements(request: &endpoint_message::EndpointRequest) -> Vec<String> {
    let call = match request {
        endpoint_message::EndpointRequest::Run(statement) => return run_statements(statement),
        endpoint_message::EndpointRequest::Status => "status()".to_owned(),
        endpoint_message::EndpointRequest::AwaitPoint { point, wait_ms } => {
            format!("await({}, {}, {wait_ms})", point.term, point.position)
        }
        endpoint_message::EndpointRequest::Fence { term } => format!("fence({term})"),
        endpoint_message::EndpointRequest::Promote { term, min_point } => {
            format!("promote({term}, {}, {})", min_point.term, min_point.position)
        }
        endpoint_message::EndpointRequest::Follow { term, address } => {
            format!("follow({term}, {})", quote(address))
        }
    };
    vec![format!("{FUNCTION_QUERY}{call}")]
}

/// Joins statements to a batch. A statement may end in a comment, so each separator starts a line.
pub fn join(statements: &[String]) -> String {
    statements.join("\n;\n")
}

/// Returns whether the endpoint's status must be read after a request. Inside a transaction it is
/// not needed, and a failed transaction would not return it.
pub fn needs_status(request: &endpoint_message::EndpointRequest) -> bool {
    let endpoint_message::EndpointRequest::Run(statement) = request else { return false };
    statement.step != endpoint_message::TransactionStep::InTransaction
}

/// Returns the outcome of a request, given the results of its statements and the status read after
/// it.
pub fn outcome(
    request: &endpoint_message::EndpointRequest,
    results: Result<Vec<SqlResult>, SqlError>,
    status: Option<endpoint_message::EndpointStatus>,
) -> endpoint_message::EndpointOutcome {
    let endpoint_message::EndpointRequest::Run(statement) = request else {
        let row = results.ok().and_then(|mut results| results.pop());
        let status = row.as_ref().and_then(read_status);
        return status.map_or(
            endpoint_message::EndpointOutcome::ConnectionLost,
            endpoint_message::EndpointOutcome::Status,
        );
    };
    match (results, status) {
        (Ok(_), None) if needs_status(request) => endpoint_message::EndpointOutcome::ConnectionLost,
        (Ok(mut results), status) => {
            let body = response_body(&statement.text, results.pop().unwrap_or_default());
            endpoint_message::EndpointOutcome::Ran { body, status }
        }
        (Err(error), status) => error_outcome(statement, error, status),
    }
}

/// Decodes a status row; `None` when it is malformed.
pub fn read_status(result: &SqlResult) -> Option<endpoint_message::EndpointStatus> {
    let row = result.rows.first()?;
    let number = |index: usize| row.get(index)?.as_deref()?.parse::<u64>().ok();
    let following = row.get(5)?.clone().filter(|address| !address.is_empty());
    Some(endpoint_message::EndpointStatus {
        copy: number(0)?,
        adopted_term: number(1)?,
        log_term: number(2)?,
        position: number(3)?,
        primary: row.get(4)?.as_deref()? == "t",
        following,
    })
}

/// Encodes a status row.
pub fn write_status(status: &endpoint_message::EndpointStatus) -> SqlResult {
    let columns = ["copy", "adopted_term", "log_term", "position", "is_primary", "following"];
    let row = [
        status.copy.to_string(),
        status.adopted_term.to_string(),
        status.log_term.to_string(),
        status.position.to_string(),
        if status.primary { "t" } else { "f" }.to_owned(),
        status.following.clone().unwrap_or_default(),
    ];
    SqlResult {
        columns: columns.map(str::to_owned).to_vec(),
        rows: vec![row.map(Some).to_vec()],
        affected: 1,
    }
}

/// Returns a text as an escaped SQL string literal.
pub fn quote(text: &str) -> String {
    let escaped = text.replace('\'', "''");
    if escaped.contains('\\') {
        format!("E'{}'", escaped.replace('\\', "\\\\"))
    } else {
        format!("'{escaped}'")
    }
}

fn run_statements(statement: &endpoint_message::EndpointStatement) -> Vec<String> {
    let mut parts = Vec::new();
    if let Some(term) = statement.write_term {
        parts.push(format!("SELECT quetzaldeal.write_guard({term})"));
    }
    if let Some(point) = statement.read_point {
        parts.push(format!("SELECT quetzaldeal.read_guard({}, {})", point.term, point.position));
    }
    if statement.read_only {
        parts.push("SET TRANSACTION READ ONLY".to_owned());
    }
    if let Some(idempotency_key) = &statement.idempotency_key {
        let (account, id) = (quote(&idempotency_key.account), quote(&idempotency_key.id));
        parts.push(format!("INSERT INTO {REQUESTS_TABLE} (account, id) VALUES ({account}, {id})"));
    }
    parts.push(statement.text.trim_end_matches([';', ' ', '\n', '\t', '\r']).to_owned());
    parts
}

/// Builds the response to a statement; its tag is the first word of the text, in upper case.
fn response_body(text: &str, result: SqlResult) -> endpoint_message::ResponseBody {
    let verb = text.split_whitespace().next().unwrap_or_default();
    let verb = verb.trim_end_matches(';').to_ascii_uppercase();
    endpoint_message::ResponseBody {
        columns: result.columns,
        rows: result.rows,
        affected: result.affected,
        tag: verb,
    }
}

/// Maps a database error to an outcome.
fn error_outcome(
    statement: &endpoint_message::EndpointStatement,
    error: SqlError,
    status: Option<endpoint_message::EndpointStatus>,
) -> endpoint_message::EndpointOutcome {
    let key_recorded = statement.idempotency_key.is_some()
        && error.code == STATE_DUPLICATE
        && error.message.contains(REQUESTS_TABLE);
    let outside_transaction = statement.step == endpoint_message::TransactionStep::Single;
    match (error.code.as_str(), status) {
        (STATE_BEHIND, _) => endpoint_message::EndpointOutcome::Lagging,
        (STATE_WRONG_TERM, _) => endpoint_message::EndpointOutcome::WrongTerm,
        (_, Some(status)) if key_recorded && outside_transaction => {
            endpoint_message::EndpointOutcome::Duplicate { status }
        }
        // The write ran earlier, but nothing shows up to which point of the log.
        (_, None) if key_recorded && outside_transaction => {
            endpoint_message::EndpointOutcome::ConnectionLost
        }
        _ => endpoint_message::EndpointOutcome::Refused {
            sqlstate: error.code,
            message: error.message,
        },
    }
}
