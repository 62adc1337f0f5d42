//! What was sent, answered and run, with the milliseconds since the start of the case.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self(Arc::new((Instant::now(), Mutex::new(File::create(path)?)))))
    }

    pub fn ms(&self) -> u64 {
        self.0 .0.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let ms = self.ms();
        let _ = writeln!(self.0 .1.lock().unwrap(), "{ms:6} {text}");
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}
