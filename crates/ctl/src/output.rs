//! Prints answers as JSON or as tables.

use chrono::{DateTime, SecondsFormat};
use comfy_table::{Table, presets};
use serde_json::Value;

use crate::config::{Cli, Format};

/// Prints `answer` as JSON, or `rows` as a table. `columns` are the fields of the rows to show.
pub fn print(cli: &Cli, answer: &Value, rows: &[Value], columns: &[&str]) {
    match cli.output {
        Format::Json => println!("{answer:#}"),
        Format::Table => println!("{}", table(rows, columns)),
    }
}

/// Prints `answer` as JSON, or `fields` one per line followed by `rows` as a table. Null fields are omitted.
pub fn print_fields(cli: &Cli, answer: &Value, fields: &[(&str, &Value)], rows: &[Value], columns: &[&str]) {
    match cli.output {
        Format::Json => println!("{answer:#}"),
        Format::Table => {
            let mut list = empty_table();
            for (name, value) in fields.iter().filter(|(_, value)| !value.is_null()) {
                list.add_row([heading(name), cell(value)]);
            }
            println!("{list}");
            if !rows.is_empty() {
                println!("\n{}", table(rows, columns));
            }
        }
    }
}

/// Formats milliseconds since the Unix epoch as RFC 3339 in UTC, or as a plain number if out of range.
pub fn format_timestamp(wall_ms: u64) -> String {
    let time = i64::try_from(wall_ms).ok().and_then(DateTime::from_timestamp_millis);
    time.map_or_else(
        || wall_ms.to_string(),
        |it| it.to_rfc3339_opts(SecondsFormat::Millis, true),
    )
}

fn table(rows: &[Value], columns: &[&str]) -> Table {
    let mut table = empty_table();
    table.set_header(columns.iter().map(|column| heading(column)));
    for row in rows {
        table.add_row(columns.iter().map(|column| cell(&row[*column])));
    }
    table
}

fn empty_table() -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table
}

fn heading(field: &str) -> String {
    field.replace('_', " ").to_uppercase()
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
