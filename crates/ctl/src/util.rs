//! Small helpers that several commands share.

use std::fs;
use std::io::{self, Read};
use std::path::Path;

use guava_core::config::{Kind, Object};
use serde_json::Value;

use crate::error::CtlError;

/// Configuration kind by its plural name.
pub fn kind(text: &str) -> Result<Kind, String> {
    Kind::from_plural(text)
        .filter(|kind| Kind::CONFIG.contains(kind))
        .ok_or_else(|| {
            let known: Vec<_> = Kind::CONFIG.into_iter().map(Kind::plural).collect();
            format!("known kinds: {}", known.join(", "))
        })
}

/// JSON from a file, or from standard input for `-`.
pub fn read_json(path: &Path) -> Result<Value, CtlError> {
    let mut text = String::new();
    if path.as_os_str() == "-" {
        io::stdin().read_to_string(&mut text)?;
    } else {
        text = fs::read_to_string(path)?;
    }
    Ok(serde_json::from_str(&text)?)
}

/// Objects `{kind, spec}` from a file that holds one or an array of them.
pub fn read_objects(path: &Path) -> Result<Vec<Object>, CtlError> {
    let value = read_json(path)?;
    let objects = match value {
        Value::Array(items) => items,
        single => vec![single],
    };
    objects.into_iter().map(|it| Ok(serde_json::from_value(it)?)).collect()
}

/// Lines that name each fault of an object.
pub fn fault_lines(object: &Object) -> Vec<String> {
    let place = format!("{} {}", object.kind().plural(), object.name());
    object
        .check()
        .into_iter()
        .map(|it| format!("{place}: {}: accepted is {}", it.field, it.accepted))
        .collect()
}
