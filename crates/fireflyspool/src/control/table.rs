//! Answer to a `show` statement.

/// Table of one part of the state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Table {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Rows, each with one cell for every column.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table.
    pub fn new(columns: &[&str]) -> Self {
        Self {
            columns: columns.iter().map(|&column| column.to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn push(&mut self, cells: &[&dyn std::fmt::Display]) {
        self.rows
            .push(cells.iter().map(ToString::to_string).collect());
    }
}
