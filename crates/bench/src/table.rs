//! Markdown tables and their place on a page.

use std::fmt;

use crate::error::BenchError;

/// Line before the generated part of a page.
pub const BEGIN: &str = "<!-- slopes:begin -->";
/// Line after the generated part of a page.
pub const END: &str = "<!-- slopes:end -->";

/// Table of text cells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Table {
    head: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Empty table.
    pub fn new(head: &[&str]) -> Self {
        Self {
            head: head.iter().map(|it| (*it).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row; missing cells stay empty.
    pub fn row(&mut self, mut cells: Vec<String>) {
        cells.resize(self.head.len(), String::new());
        self.rows.push(cells);
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let line = |cells: &[String]| {
            let cells: Vec<String> = cells.iter().map(|it| it.replace('|', "\\|")).collect();
            format!("| {} |", cells.join(" | "))
        };
        writeln!(f, "{}", line(&self.head))?;
        writeln!(f, "|{}", "---|".repeat(self.head.len()))?;
        self.rows.iter().try_for_each(|it| writeln!(f, "{}", line(it)))
    }
}

/// Replaces the lines between the markers.
///
/// # Errors
///
/// Fails when a marker is missing or they are out of order.
pub fn replace_marked(page: &str, body: &str) -> Result<String, BenchError> {
    let missing = |marker: &str| BenchError::Marker(marker.to_owned());
    let (before, rest) = page.split_once(BEGIN).ok_or_else(|| missing(BEGIN))?;
    let (_, after) = rest.split_once(END).ok_or_else(|| missing(END))?;
    Ok(format!("{before}{BEGIN}\n{}\n{END}{after}", body.trim_end()))
}

/// Number with three significant digits and a prefix of the unit.
pub fn short(value: f64) -> String {
    let (scaled, prefix) = match value.abs() {
        it if it >= 1e9 => (value / 1e9, " G"),
        it if it >= 1e6 => (value / 1e6, " M"),
        it if it >= 1e4 => (value / 1e3, " k"),
        _ => (value, " "),
    };
    let digits = match scaled.abs() {
        it if it >= 99.95 => 0,
        it if it >= 9.995 => 1,
        it if it >= 0.9995 || it == 0.0 => 2,
        _ => 4,
    };
    format!("{scaled:.digits$}{prefix}")
}
