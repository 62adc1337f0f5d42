//! Output as JSON or as tables.

use chrono::{DateTime, SecondsFormat};
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

/// Prints an answer whose fields stand one under the other, with the objects of its list `rows` in a table below.
pub fn print_fields(cli: &Cli, answer: &Value, fields: &[(&str, &Value)], rows: &[Value], columns: &[&str]) {
    match cli.output {
        Format::Json => println!("{answer:#}"),
        Format::Table => {
            let mut list = empty_table();
            for (name, value) in fields.iter().filter(|(_, value)| !value.is_null()) {
                list.add_row([title(name), cell(value)]);
            }
            println!("{list}");
            if !rows.is_empty() {
                println!("\n{}", table(rows, columns));
            }
        }
    }
}

/// Time of day in UTC of Unix milliseconds.
pub fn time_of_day(wall_ms: u64) -> String {
    let time = i64::try_from(wall_ms).ok().and_then(DateTime::from_timestamp_millis);
    time.map_or_else(
        || wall_ms.to_string(),
        |it| it.to_rfc3339_opts(SecondsFormat::Millis, true),
    )
}

fn table(rows: &[Value], columns: &[&str]) -> Table {
    let mut table = empty_table();
    table.set_header(columns.iter().map(|column| title(column)));
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

fn title(field: &str) -> String {
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
