//! Markdown tables and the place on a page where a generated one is written.

use std::fmt;

use crate::error::BenchError;

/// Marker comment before the generated part of a page.
pub const BEGIN: &str = "<!-- slopes:begin -->";
/// Marker comment after the generated part of a page.
pub const END: &str = "<!-- slopes:end -->";

/// Table of text cells, printed as Markdown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Table {
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these column headings and no rows.
    pub fn new(header: &[&str]) -> Self {
        Self {
            header: header.iter().map(|it| (*it).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row. Missing cells are left empty; cells beyond the last column are dropped.
    pub fn add_row(&mut self, mut cells: Vec<String>) {
        cells.resize(self.header.len(), String::new());
        self.rows.push(cells);
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let format_row = |cells: &[String]| {
            let cells: Vec<String> = cells.iter().map(|it| it.replace('|', "\\|")).collect();
            format!("| {} |", cells.join(" | "))
        };
        writeln!(f, "{}", format_row(&self.header))?;
        writeln!(f, "|{}", "---|".repeat(self.header.len()))?;
        self.rows.iter().try_for_each(|it| writeln!(f, "{}", format_row(it)))
    }
}

/// Returns the page with the text between the markers replaced by `body`.
///
/// # Errors
///
/// Fails when a marker is missing or the markers are out of order.
pub fn replace_marked(page: &str, body: &str) -> Result<String, BenchError> {
    let missing = |marker: &str| BenchError::Marker(marker.to_owned());
    let (before, rest) = page.split_once(BEGIN).ok_or_else(|| missing(BEGIN))?;
    let (_, after) = rest.split_once(END).ok_or_else(|| missing(END))?;
    Ok(format!("{before}{BEGIN}\n{}\n{END}{after}", body.trim_end()))
}

/// Number with about three significant digits, followed by a space and the SI prefix of the unit (k, M, G or none).
pub fn format_short(value: f64) -> String {
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
