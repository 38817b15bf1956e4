//! Parses SQL statements and classifies them as reads, writes, transaction control or settings.

use sqlparser::ast::{self, Statement};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer};

/// Schema of the proxy's own functions and tables on endpoints.
const OWN_SCHEMA: &str = "quetzaldeal";
/// Prefix of the proxy's own settings.
const OWN_PREFIX: &str = "quetzaldeal.";
/// Settings that drivers make on connecting; they are accepted and ignored.
const INERT_SETTINGS: [&str; 4] =
    ["application_name", "client_encoding", "extra_float_digits", "datestyle"];
/// Functions that are rejected because their effect outlives the statement on a shared connection,
/// or reaches other sessions.
const SESSION_FUNCTIONS: [&str; 8] = [
    "set_config",
    "pg_advisory_lock",
    "pg_advisory_lock_shared",
    "pg_try_advisory_lock",
    "pg_try_advisory_lock_shared",
    "pg_terminate_backend",
    "pg_cancel_backend",
    "pg_reload_conf",
];

/// Class of a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementClass {
    /// Only reads data.
    Read,
    /// May change data or the schema.
    Write,
    /// Begins a transaction.
    Begin,
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Changes one of the proxy's own settings.
    ApplySetting {
        /// Name of the setting, without the prefix.
        name: String,
        /// New value.
        value: String,
    },
    /// Shows one of the proxy's own settings.
    ShowSetting {
        /// Name of the setting, without the prefix.
        name: String,
    },
    /// Changes a setting that the proxy ignores.
    IgnoredSet,
    /// Is not supported by the proxy.
    Forbidden {
        /// Error message for the caller.
        detail: String,
    },
}

/// Parses `text` and returns its class; text that cannot be parsed is `Forbidden`.
pub fn classify(text: &str) -> StatementClass {
    match try_classify(text) {
        Ok(class) => class,
        Err(detail) => StatementClass::Forbidden { detail },
    }
}

fn try_classify(text: &str) -> Result<StatementClass, String> {
    let dialect = PostgreSqlDialect {};
    let tokens = Tokenizer::new(&dialect, text).tokenize().map_err(|error| error.to_string())?;
    let words = check_words(&tokens);
    let mut statements = Parser::new(&dialect)
        .with_tokens(tokens)
        .parse_statements()
        .map_err(|error| error.to_string())?;
    let Some(statement) = statements.pop() else {
        return Err("the statement is empty".to_owned());
    };
    if !statements.is_empty() {
        return Err("send one statement at a time".to_owned());
    }
    match &statement {
        Statement::Set(set) => classify_set(set),
        Statement::ShowVariable { variable } => classify_show(variable),
        _ => words.and_then(|()| classify_statement(&statement)),
    }
}

/// Rejects statements that name the proxy's own schema or one of `SESSION_FUNCTIONS`.
///
/// Unicode-escaped string literals are rejected too.
fn check_words(tokens: &[Token]) -> Result<(), String> {
    for token in tokens {
        match token {
            Token::Word(word) => check_word(&word.value)?,
            Token::UnicodeStringLiteral(_) => {
                return Err("unicode escapes are not accepted".to_owned());
            }
            _ => {}
        }
    }
    Ok(())
}

fn check_word(word: &str) -> Result<(), String> {
    let word = word.to_ascii_lowercase();
    if word == OWN_SCHEMA {
        return Err(format!("schema {OWN_SCHEMA} is not open to callers"));
    }
    if SESSION_FUNCTIONS.contains(&word.as_str()) {
        return Err(format!("function {word} is not open to callers"));
    }
    Ok(())
}

fn classify_statement(statement: &Statement) -> Result<StatementClass, String> {
    match statement {
        Statement::Query(query) => classify_query(query),
        Statement::Insert(_)
        | Statement::Update(_)
        | Statement::Delete(_)
        | Statement::CreateIndex(_)
        | Statement::AlterTable(_)
        | Statement::Truncate(_)
        | Statement::Drop { .. } => Ok(StatementClass::Write),
        Statement::CreateTable(table) if table.temporary => {
            Err("temporary tables outlive the statement on a shared connection".to_owned())
        }
        Statement::CreateTable(_) => Ok(StatementClass::Write),
        Statement::StartTransaction { statements, .. } if statements.is_empty() => {
            Ok(StatementClass::Begin)
        }
        Statement::Commit { chain: false, .. } => Ok(StatementClass::Commit),
        Statement::Rollback { chain: false, savepoint: None } => Ok(StatementClass::Rollback),
        other => {
            let text = other.to_string();
            let verb = text.split_whitespace().next().unwrap_or("this").to_owned();
            Err(format!("{verb} statements of this form are not served"))
        }
    }
}

fn classify_query(query: &ast::Query) -> Result<StatementClass, String> {
    let ctes = query.with.iter().flat_map(|with| &with.cte_tables);
    let mut class = classify_body(&query.body)?;
    for cte in ctes {
        if classify_query(&cte.query)? == StatementClass::Write {
            class = StatementClass::Write;
        }
    }
    if !query.locks.is_empty() {
        class = StatementClass::Write;
    }
    Ok(class)
}

fn classify_body(body: &ast::SetExpr) -> Result<StatementClass, String> {
    match body {
        ast::SetExpr::Select(select) if select.into.is_some() => {
            Err("SELECT INTO is not served; use CREATE TABLE AS".to_owned())
        }
        ast::SetExpr::Select(_) | ast::SetExpr::Values(_) | ast::SetExpr::Table(_) => {
            Ok(StatementClass::Read)
        }
        ast::SetExpr::Query(query) => classify_query(query),
        ast::SetExpr::SetOperation { left, right, .. } => {
            let left = classify_body(left)?;
            let right = classify_body(right)?;
            let reads = left == StatementClass::Read && right == StatementClass::Read;
            Ok(if reads { StatementClass::Read } else { StatementClass::Write })
        }
        _ => Ok(StatementClass::Write),
    }
}

fn classify_set(set: &ast::Set) -> Result<StatementClass, String> {
    let ast::Set::SingleAssignment { variable, values, .. } = set else {
        return Err("settings of the database cannot be changed through the proxy".to_owned());
    };
    let name = variable.to_string().to_ascii_lowercase();
    if INERT_SETTINGS.contains(&name.as_str()) {
        return Ok(StatementClass::IgnoredSet);
    }
    let Some(option) = name.strip_prefix(OWN_PREFIX) else {
        return Err(format!("setting {name} cannot be changed through the proxy"));
    };
    let [value] = values.as_slice() else {
        return Err(format!("setting {name} takes one value"));
    };
    Ok(StatementClass::ApplySetting { name: option.to_owned(), value: value_text(value) })
}

fn classify_show(variable: &[ast::Ident]) -> Result<StatementClass, String> {
    let parts: Vec<String> = variable.iter().map(|part| part.value.to_lowercase()).collect();
    let name = parts.join(".").replace("..", ".");
    match name.strip_prefix(OWN_PREFIX) {
        Some(option) => Ok(StatementClass::ShowSetting { name: option.to_owned() }),
        None => Err(format!("setting {name} cannot be shown through the proxy")),
    }
}

fn value_text(value: &ast::Expr) -> String {
    match value {
        ast::Expr::Value(literal) => match &literal.value {
            ast::Value::SingleQuotedString(text) => text.clone(),
            other => other.to_string(),
        },
        other => other.to_string(),
    }
}
