//! Output as JSON or as a table.

use comfy_table::{Table, presets};
use serde_json::Value;

use crate::config::{Cli, Format};

/// Prints an answer; tables show `rows` of it under `columns`.
pub fn print(cli: &Cli, answer: &Value, rows: &[Value], columns: &[&str]) {
    match cli.output {
        Format::Json => println!("{answer:#}"),
        Format::Table => println!("{}", table(rows, columns)),
    }
}

fn table(rows: &[Value], columns: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(columns.iter().map(|column| column.to_uppercase()));
    for row in rows {
        table.add_row(columns.iter().map(|column| cell(&row[*column])));
    }
    table
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
