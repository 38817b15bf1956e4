//! In-memory tables whose rows are text values under a text key.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A change to a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableChange {
    /// Creates a table.
    Create {
        /// Name of the table.
        table: String,
        /// Column names; the first column is the key.
        columns: Vec<String>,
    },
    /// Inserts or replaces a row.
    Put {
        /// Name of the table.
        table: String,
        /// Values of the row; the first is the key.
        row: Vec<String>,
    },
    /// Removes a row.
    Remove {
        /// Name of the table.
        table: String,
        /// Key of the row.
        key: String,
    },
}

/// An in-memory table.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SmallTable {
    /// Column names; the first column is the key.
    pub columns: Vec<String>,
    /// Rows by key.
    pub rows: BTreeMap<String, Vec<String>>,
}

/// All tables of a database.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TableStore {
    tables: BTreeMap<String, SmallTable>,
}

impl TableStore {
    /// Applies a committed change.
    pub fn apply(&mut self, change: &TableChange) {
        match change {
            TableChange::Create { table, columns } => {
                self.tables.entry(table.clone()).or_default().columns = columns.clone();
            }
            TableChange::Put { table, row } => {
                let rows = &mut self.tables.entry(table.clone()).or_default().rows;
                rows.insert(row[0].clone(), row.clone());
            }
            TableChange::Remove { table, key } => {
                if let Some(table) = self.tables.get_mut(table) {
                    table.rows.remove(key);
                }
            }
        }
    }

    /// Returns a copy of a table with uncommitted changes applied, or `None` if it does not exist.
    pub fn view(&self, name: &str, pending: &[TableChange]) -> Option<SmallTable> {
        let mut view = Self::default();
        if let Some(table) = self.tables.get(name) {
            view.tables.insert(name.to_owned(), table.clone());
        }
        let touches = |change: &&TableChange| match change {
            TableChange::Create { table, .. }
            | TableChange::Put { table, .. }
            | TableChange::Remove { table, .. } => table == name,
        };
        for change in pending.iter().filter(touches) {
            view.apply(change);
        }
        view.tables.remove(name)
    }

    /// Returns one row with uncommitted changes applied, or `None` if it does not exist.
    pub fn row(&self, name: &str, key: &str, pending: &[TableChange]) -> Option<Vec<String>> {
        for change in pending.iter().rev() {
            match change {
                TableChange::Put { table, row } if table == name && row[0] == key => {
                    return Some(row.clone());
                }
                TableChange::Remove { table, key: removed } if table == name && removed == key => {
                    return None;
                }
                _ => {}
            }
        }
        self.tables.get(name)?.rows.get(key).cloned()
    }

    /// Returns a table's columns, if it exists.
    pub fn columns(&self, name: &str) -> Option<&[String]> {
        self.tables.get(name).map(|table| table.columns.as_slice())
    }
}
