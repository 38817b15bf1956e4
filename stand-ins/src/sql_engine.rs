//! Executes the subset of SQL that the stand-in databases support.

use quetzaldeal::core::endpoint_message;
use quetzaldeal::daemon::endpoint_sql;
use sqlparser::ast::{self, Expr, SetExpr, Statement};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use crate::database_model::{ConnectionId, DatabaseModel, error};
use crate::table_store;

const STATE_SYNTAX: &str = "42601";
const STATE_READ_ONLY: &str = "25006";
const STATE_FAILED_TRANSACTION: &str = "25P02";

/// Runs a batch of statements in the open transaction, or else in an implicit one. Returns the
/// results of the statements before the first that fails, and its error; an implicit transaction is
/// then rolled back.
pub fn execute(
    database: &mut DatabaseModel,
    connection: ConnectionId,
    batch: &str,
) -> (Vec<endpoint_sql::SqlResult>, Option<endpoint_sql::SqlError>) {
    let statements = match Parser::parse_sql(&PostgreSqlDialect {}, batch) {
        Ok(statements) => statements,
        Err(problem) => {
            return (Vec::new(), Some(error(STATE_SYNTAX, &problem.to_string())));
        }
    };
    let in_explicit_transaction = database.transaction(connection).is_some();
    if !in_explicit_transaction {
        database.begin(connection);
    }
    let mut run = BatchRun { database, connection, in_explicit_transaction };
    let mut results = Vec::new();
    for statement in &statements {
        match run.statement(statement) {
            Ok(result) => results.push(result),
            Err(problem) => {
                run.abort();
                return (results, Some(problem));
            }
        }
    }
    let committed = run.finish();
    if committed.is_err() {
        // The last statement of a batch is complete once it is committed.
        results.pop();
    }
    (results, committed.err())
}

struct BatchRun<'a> {
    database: &'a mut DatabaseModel,
    connection: ConnectionId,
    in_explicit_transaction: bool,
}

impl BatchRun<'_> {
    fn statement(
        &mut self,
        statement: &Statement,
    ) -> Result<endpoint_sql::SqlResult, endpoint_sql::SqlError> {
        let failed = self.read_transaction(|transaction| transaction.failed || transaction.fenced);
        let ends = matches!(statement, Statement::Commit { .. } | Statement::Rollback { .. });
        if failed && !ends && self.in_explicit_transaction {
            return Err(error(STATE_FAILED_TRANSACTION, "the transaction is aborted"));
        }
        match statement {
            Statement::StartTransaction { .. } => {
                self.in_explicit_transaction = true;
                Ok(endpoint_sql::SqlResult::default())
            }
            Statement::Commit { .. } => self.commit(),
            Statement::Rollback { .. } => {
                self.database.take_transaction(self.connection);
                self.in_explicit_transaction = false;
                self.database.begin(self.connection);
                Ok(endpoint_sql::SqlResult::default())
            }
            Statement::Set(ast::Set::SetTransaction { .. }) => {
                if let Some(transaction) = self.database.transaction(self.connection) {
                    transaction.read_only = true;
                }
                Ok(endpoint_sql::SqlResult::default())
            }
            Statement::Set(_) => Ok(endpoint_sql::SqlResult::default()),
            Statement::CreateTable(table) => {
                let columns = table.columns.iter().map(|column| column.name.value.clone());
                let change = table_store::TableChange::Create {
                    table: table.name.to_string(),
                    columns: columns.collect(),
                };
                self.write(change)
            }
            Statement::Insert(insert) => self.insert(insert),
            Statement::Update(update) => self.update(update),
            Statement::Delete(delete) => self.delete(delete),
            Statement::Query(query) => self.query(query),
            other => Err(error(STATE_SYNTAX, &format!("not known here: {other}"))),
        }
    }

    fn commit(&mut self) -> Result<endpoint_sql::SqlResult, endpoint_sql::SqlError> {
        let transaction = self.database.take_transaction(self.connection).unwrap_or_default();
        self.in_explicit_transaction = false;
        self.database.begin(self.connection);
        if transaction.fenced {
            let state = endpoint_sql::STATE_WRONG_TERM;
            return Err(error(state, "the transaction was ended by a fence"));
        }
        if transaction.failed {
            return Ok(endpoint_sql::SqlResult::default());
        }
        self.database.commit(transaction.changes)?;
        Ok(endpoint_sql::SqlResult::default())
    }

    /// Commits the implicit transaction, if the batch ran in one.
    fn finish(self) -> Result<(), endpoint_sql::SqlError> {
        if self.in_explicit_transaction {
            return Ok(());
        }
        let transaction = self.database.take_transaction(self.connection).unwrap_or_default();
        self.database.commit(transaction.changes)
    }

    fn abort(self) {
        if !self.in_explicit_transaction {
            self.database.take_transaction(self.connection);
        } else if let Some(transaction) = self.database.transaction(self.connection) {
            transaction.failed = true;
        }
    }

    fn read_transaction<T: Default>(
        &mut self,
        read: impl Fn(&crate::database_model::OpenTransaction) -> T,
    ) -> T {
        self.database
            .transaction(self.connection)
            .map(|transaction| read(transaction))
            .unwrap_or_default()
    }

    fn changes(&mut self) -> Vec<table_store::TableChange> {
        self.read_transaction(|transaction| transaction.changes.clone())
    }

    fn view(&mut self, table: &str) -> table_store::SmallTable {
        let pending = self.changes();
        self.database.tables().view(table, &pending).unwrap_or_default()
    }

    fn write(
        &mut self,
        change: table_store::TableChange,
    ) -> Result<endpoint_sql::SqlResult, endpoint_sql::SqlError> {
        let primary = self.database.status().primary;
        let read_only = self.read_transaction(|transaction| transaction.read_only);
        if read_only || !primary {
            return Err(error(STATE_READ_ONLY, "cannot write in a read-only transaction"));
        }
        if let Some(transaction) = self.database.transaction(self.connection) {
            transaction.changes.push(change);
        }
        Ok(endpoint_sql::SqlResult { affected: 1, ..endpoint_sql::SqlResult::default() })
    }

    fn insert(
        &mut self,
        insert: &ast::Insert,
    ) -> Result<endpoint_sql::SqlResult, endpoint_sql::SqlError> {
        let table = insert.table.to_string();
        let Some(SetExpr::Values(values)) = insert.source.as_ref().map(|query| &*query.body) else {
            return Err(error(STATE_SYNTAX, "INSERT takes VALUES"));
        };
        let known = self.database.tables().columns(&table).is_some();
        if !known && !insert.columns.is_empty() {
            let columns = insert.columns.iter().map(ToString::to_string).collect();
            self.write(table_store::TableChange::Create { table: table.clone(), columns })?;
        }
        let mut affected = 0;
        for row in &values.rows {
            let mut row: Vec<String> = row.iter().map(literal).collect();
            if table == endpoint_sql::REQUESTS_TABLE {
                row = vec![row.join("/")];
            }
            let pending = self.changes();
            if self.database.tables().row(&table, &row[0], &pending).is_some() {
                let message = format!("duplicate key {} in table {table}", row[0]);
                return Err(error(endpoint_sql::STATE_DUPLICATE, &message));
            }
            self.write(table_store::TableChange::Put { table: table.clone(), row })?;
            affected += 1;
        }
        Ok(endpoint_sql::SqlResult { affected, ..endpoint_sql::SqlResult::default() })
    }

    fn update(
        &mut self,
        update: &ast::Update,
    ) -> Result<endpoint_sql::SqlResult, endpoint_sql::SqlError> {
        let table = update.table.to_string();
        let view = self.view(&table);
        let mut affected = 0;
        for row in matching(&view, update.selection.as_ref()) {
            let mut row = row.clone();
            for assignment in &update.assignments {
                let target = assignment.target.to_string();
                let Some(index) = view.columns.iter().position(|column| *column == target) else {
                    return Err(error(STATE_SYNTAX, &format!("no column {target}")));
                };
                row[index] = evaluate(&assignment.value, &view, &row);
            }
            self.write(table_store::TableChange::Put { table: table.clone(), row })?;
            affected += 1;
        }
        Ok(endpoint_sql::SqlResult { affected, ..endpoint_sql::SqlResult::default() })
    }

    fn delete(
        &mut self,
        delete: &ast::Delete,
    ) -> Result<endpoint_sql::SqlResult, endpoint_sql::SqlError> {
        let ast::FromTable::WithFromKeyword(from) = &delete.from else {
            return Err(error(STATE_SYNTAX, "DELETE takes FROM"));
        };
        let table = from.first().map(ToString::to_string).unwrap_or_default();
        let view = self.view(&table);
        let mut affected = 0;
        for row in matching(&view, delete.selection.as_ref()) {
            self.write(table_store::TableChange::Remove {
                table: table.clone(),
                key: row[0].clone(),
            })?;
            affected += 1;
        }
        Ok(endpoint_sql::SqlResult { affected, ..endpoint_sql::SqlResult::default() })
    }

    fn query(
        &mut self,
        query: &ast::Query,
    ) -> Result<endpoint_sql::SqlResult, endpoint_sql::SqlError> {
        let SetExpr::Select(select) = &*query.body else {
            return Err(error(STATE_SYNTAX, "only SELECT is known here"));
        };
        let from = select.from.first().map(|from| from.to_string()).unwrap_or_default();
        let call = if from.is_empty() {
            select.projection.first().map(ToString::to_string).unwrap_or_default()
        } else {
            from.clone()
        };
        if let Some(call) = call.strip_prefix("quetzaldeal.") {
            return self.function(call);
        }
        let view = self.view(&from);
        Ok(project(&view, select, from.is_empty()))
    }

    fn function(&mut self, call: &str) -> Result<endpoint_sql::SqlResult, endpoint_sql::SqlError> {
        let (name, arguments) = call.split_once('(').unwrap_or((call, ""));
        let arguments: Vec<&str> =
            arguments.trim_end_matches(')').split(',').map(|text| text.trim()).collect();
        let number = |index: usize| -> u64 {
            arguments.get(index).and_then(|text| text.parse().ok()).unwrap_or_default()
        };
        let status = self.database.status();
        match name {
            "status" | "await" => {}
            "fence" => self.database.fence(number(0)),
            "promote" => {
                let min_point = endpoint_message::LogPoint { term: number(1), position: number(2) };
                self.database.promote(number(0), min_point);
            }
            "follow" => {
                let address = arguments.get(1).map(|text| text.trim_matches('\''));
                self.database.follow(number(0), address.unwrap_or_default());
            }
            "write_guard" if !status.primary || status.adopted_term != number(0) => {
                let message = format!("term {} is in force", status.adopted_term);
                return Err(error(endpoint_sql::STATE_WRONG_TERM, &message));
            }
            "read_guard" => {
                let point = endpoint_message::LogPoint { term: number(0), position: number(1) };
                if !status.reached(point) {
                    return Err(error(endpoint_sql::STATE_BEHIND, "the log is behind"));
                }
            }
            "write_guard" => {}
            _ => return Err(error(STATE_SYNTAX, &format!("no function {name}"))),
        }
        Ok(endpoint_sql::write_status(&self.database.status()))
    }
}

fn literal(expression: &Expr) -> String {
    match expression {
        Expr::Value(value) => match &value.value {
            ast::Value::SingleQuotedString(text) | ast::Value::EscapedStringLiteral(text) => {
                text.clone()
            }
            other => other.to_string(),
        },
        other => other.to_string(),
    }
}

/// Evaluates a literal, a column of `row`, or a sum of such expressions.
fn evaluate(expression: &Expr, table: &table_store::SmallTable, row: &[String]) -> String {
    match expression {
        Expr::Identifier(name) => {
            let index = table.columns.iter().position(|column| *column == name.value);
            index.and_then(|index| row.get(index)).cloned().unwrap_or_default()
        }
        Expr::BinaryOp { left, op: ast::BinaryOperator::Plus, right } => {
            let number = |side: &Expr| evaluate(side, table, row).parse::<i64>().unwrap_or(0);
            (number(left) + number(right)).to_string()
        }
        other => literal(other),
    }
}

fn matching<'a>(
    table: &'a table_store::SmallTable,
    selection: Option<&Expr>,
) -> Vec<&'a Vec<String>> {
    let wanted = |row: &&Vec<String>| match selection {
        Some(Expr::BinaryOp { left, op: ast::BinaryOperator::Eq, right }) => {
            evaluate(left, table, row) == evaluate(right, table, row)
        }
        _ => true,
    };
    table.rows.values().filter(wanted).collect()
}

fn project(
    table: &table_store::SmallTable,
    select: &ast::Select,
    constant: bool,
) -> endpoint_sql::SqlResult {
    let empty = Vec::new();
    let rows = if constant { vec![&empty] } else { matching(table, select.selection.as_ref()) };
    let names: Vec<String> = select.projection.iter().map(ToString::to_string).collect();
    if names == ["count(*)"] || names == ["COUNT(*)"] {
        let count = rows.len().to_string();
        return endpoint_sql::SqlResult {
            columns: vec!["count".to_owned()],
            rows: vec![vec![Some(count)]],
            affected: 1,
        };
    }
    if names == ["*"] {
        let rows: Vec<_> =
            rows.into_iter().map(|row| row.iter().cloned().map(Some).collect()).collect();
        return endpoint_sql::SqlResult {
            columns: table.columns.clone(),
            affected: rows.len() as u64,
            rows,
        };
    }
    let cell = |item: &ast::SelectItem, row: &[String]| match item {
        ast::SelectItem::UnnamedExpr(expression)
        | ast::SelectItem::ExprWithAlias { expr: expression, .. } => {
            Some(evaluate(expression, table, row))
        }
        _ => None,
    };
    let line = |row: &Vec<String>| select.projection.iter().map(|item| cell(item, row)).collect();
    let rows: Vec<Vec<Option<String>>> = rows.into_iter().map(line).collect();
    endpoint_sql::SqlResult { columns: names, affected: rows.len() as u64, rows }
}
