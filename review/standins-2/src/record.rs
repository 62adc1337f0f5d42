//! What was sent, answered, run and ordered, with times from the start of the case.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: impl Into<String>) -> f64 {
        let at = self.now();
        self.lines.lock().unwrap().push((at, text.into()));
        at
    }

    /// Writes all lines in the order of their times.
    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = String::new();
        for (at, line) in lines {
            text.push_str(&format!("{at:9.3} s  {line}\n"));
        }
        let file = std::fs::File::create(path).and_then(|mut it| it.write_all(text.as_bytes()));
        if let Err(e) = file {
            eprintln!("{path}: {e}");
        }
    }
}
