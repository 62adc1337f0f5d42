//! Parsing of arguments and files that several commands share.

use std::fs;
use std::io::{self, Read};
use std::path::Path;

use guava_core::config::{Kind, Object};
use serde_json::Value;

use crate::error::CtlError;

/// Parses the plural name of a configuration kind; the error lists the known kinds.
pub fn parse_kind(text: &str) -> Result<Kind, String> {
    Kind::from_plural(text)
        .filter(|kind| Kind::CONFIG.contains(kind))
        .ok_or_else(|| {
            let known: Vec<_> = Kind::CONFIG.into_iter().map(Kind::plural).collect();
            format!("known kinds: {}", known.join(", "))
        })
}

/// Reads JSON from a file, or from standard input if `path` is `-`.
pub fn read_json(path: &Path) -> Result<Value, CtlError> {
    let mut text = String::new();
    if path.as_os_str() == "-" {
        io::stdin().read_to_string(&mut text)?;
    } else {
        text = fs::read_to_string(path)?;
    }
    Ok(serde_json::from_str(&text)?)
}

/// Reads objects from a file that holds one object `{kind, spec}` or an array of them. Their values are not checked.
pub fn read_objects(path: &Path) -> Result<Vec<Object>, CtlError> {
    let value = read_json(path)?;
    let objects = match value {
        Value::Array(items) => items,
        single => vec![single],
    };
    objects.into_iter().map(|it| Ok(serde_json::from_value(it)?)).collect()
}

/// Returns one line for each fault of an object; empty if it is valid.
pub fn fault_lines(object: &Object) -> Vec<String> {
    let object_label = format!("{} {}", object.kind().plural(), object.name());
    object
        .check()
        .into_iter()
        .map(|it| format!("{object_label}: {}: accepted is {}", it.field, it.accepted))
        .collect()
}
