//! Requests of callers while faults come and go.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use guava_platform_standin::caller::{Call, Finished, send};
use guava_platform_standin::settings::{BOOKING_PATH, LOOKUP_PATH, REPORT_PATH, STREAM_PATH};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::fleet::MODELS;

/// Mean time between two requests.
const PAUSE_MS: u64 = 25;
/// Models that most requests ask for.
const BUSY_MODELS: usize = 3;

/// Source of requests.
#[derive(Debug, Clone)]
pub struct Traffic {
    /// Addresses for callers.
    pub entries: Vec<std::net::SocketAddr>,
    /// Keys in use.
    pub keys: Vec<String>,
    /// Seed.
    pub seed: u64,
}

impl Traffic {
    /// Sends requests until told to stop and returns all that finished.
    pub async fn run(self, stop: Arc<AtomicBool>) -> Vec<Finished> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 0x7261_6666);
        let (tx, mut rx) = mpsc::unbounded_channel();
        let number = AtomicU64::new(0);
        while !stop.load(Ordering::Relaxed) {
            let call = self.call(number.fetch_add(1, Ordering::Relaxed), &mut rng);
            let address = self.entries[rng.random_range(0..self.entries.len())];
            let tx = tx.clone();
            tokio::spawn(async move {
                // The receiver lives until all senders are gone.
                let _ = tx.send(send(address, call).await);
            });
            sleep(Duration::from_millis(rng.random_range(0..2 * PAUSE_MS))).await;
        }
        drop(tx);
        let mut finished = Vec::new();
        while let Some(it) = rx.recv().await {
            finished.push(it);
        }
        finished
    }

    fn call(&self, number: u64, rng: &mut ChaCha8Rng) -> Call {
        let kind = rng.random_range(0..10);
        let (path, model, deadline) = match kind {
            0..=4 => (STREAM_PATH, Some(busy_model(rng)), 10_000),
            5..=6 => (REPORT_PATH, Some(format!("m{}", rng.random_range(0..MODELS))), 12_000),
            7..=8 => (BOOKING_PATH, None, 2_000),
            _ => (LOOKUP_PATH, None, 2_000),
        };
        Call {
            attempt: format!("{:08x}-{number}", self.seed as u32),
            path,
            key: self.keys[rng.random_range(0..self.keys.len())].clone(),
            model,
            deadline: Duration::from_millis(deadline),
        }
    }
}

fn busy_model(rng: &mut ChaCha8Rng) -> String {
    let model = format!("m{}", rng.random_range(0..BUSY_MODELS));
    if rng.random_bool(0.15) {
        return format!("{model}/a{}", rng.random_range(1..=4));
    }
    model
}
