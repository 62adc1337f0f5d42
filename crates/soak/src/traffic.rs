//! Random requests of callers, sent while faults are injected.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use guava_platform_standin::caller::{ANY_PROMPT, Call, Finished, send};
use guava_platform_standin::settings::{BOOKING_PATH, LOOKUP_PATH, REPORT_PATH, STREAM_PATH};
use guava_platform_standin::taking_up::{EntryAddress, send_resumable};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::fleet::MODEL_COUNT;

/// Usual mean interval between two requests, in milliseconds.
pub const MEAN_INTERVAL_MS: u64 = 25;
/// Number of models from which most streaming requests choose, so that these models are in demand all the time.
const POPULAR_MODEL_COUNT: usize = 3;

/// Generator of random requests.
#[derive(Debug, Clone)]
pub struct Traffic {
    /// Addresses of the entry processes; each request goes to a random one.
    pub addresses: Vec<EntryAddress>,
    /// Keys of the callers; each request uses a random one.
    pub keys: Vec<String>,
    /// Seed of the random choices; it also distinguishes the ids of attempts.
    pub seed: u64,
    /// Mean interval in milliseconds between two requests, which is uniformly distributed from 0 to twice this value.
    pub interval_ms: u64,
}

impl Traffic {
    /// Sends requests until `should_stop` is set, waits for the outstanding ones and returns all in the order in which
    /// they finished.
    pub async fn run(self, should_stop: Arc<AtomicBool>) -> Vec<Finished> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 0x7261_6666);
        let addresses: Arc<[EntryAddress]> = self.addresses.as_slice().into();
        let (tx, mut rx) = mpsc::unbounded_channel();
        let number = AtomicU64::new(0);
        while !should_stop.load(Ordering::Relaxed) {
            let call = self.draw_call(number.fetch_add(1, Ordering::Relaxed), &mut rng);
            let vm = rng.random_range(0..addresses.len());
            let (tx, addresses) = (tx.clone(), Arc::clone(&addresses));
            tokio::spawn(async move {
                let finished = if call.path == STREAM_PATH {
                    send_resumable(&addresses, vm, call).await
                } else {
                    send(addresses[vm].callers, call).await
                };
                // Cannot fail: the receiver is kept until all senders are dropped.
                let _ = tx.send(finished);
            });
            sleep(Duration::from_millis(rng.random_range(0..2 * self.interval_ms))).await;
        }
        drop(tx);
        let mut finished = Vec::new();
        while let Some(it) = rx.recv().await {
            finished.push(it);
        }
        finished
    }

    fn draw_call(&self, number: u64, rng: &mut ChaCha8Rng) -> Call {
        let choice = rng.random_range(0..10);
        let (path, model, deadline) = match choice {
            0..=4 => (STREAM_PATH, Some(popular_model(rng)), 10_000),
            5..=6 => (
                REPORT_PATH,
                Some(format!("m{}", rng.random_range(0..MODEL_COUNT))),
                12_000,
            ),
            7..=8 => (BOOKING_PATH, None, 2_000),
            _ => (LOOKUP_PATH, None, 2_000),
        };
        Call {
            attempt: format!("{:08x}-{number}", self.seed as u32),
            path,
            key: self.keys[rng.random_range(0..self.keys.len())].clone(),
            model,
            prompt: ANY_PROMPT.to_owned(),
            body: format!("request {number}"),
            deadline: Duration::from_millis(deadline),
        }
    }
}

fn popular_model(rng: &mut ChaCha8Rng) -> String {
    let model = format!("m{}", rng.random_range(0..POPULAR_MODEL_COUNT));
    if rng.random_bool(0.15) {
        return format!("{model}/a{}", rng.random_range(1..=4));
    }
    model
}
