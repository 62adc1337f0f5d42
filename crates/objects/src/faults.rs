//! Faults injected into the stand-ins, which can be changed at run time.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// Faults injected into one stand-in; the default injects none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails as unavailable and has no effect.
    pub down: bool,
    /// Delay before a call takes effect, in milliseconds.
    pub latency_ms: u64,
    /// Delay between the effect of a write or deletion and its answer, in milliseconds.
    pub answer_latency_ms: u64,
    /// Number of next writes and deletions that take effect but get no answer; counts down to 0.
    pub lose_next_writes: u32,
    /// Probability, 0 to 1, that a write or deletion takes effect but gets no answer.
    pub lose_write_probability: f64,
    /// Seed of the random choice of lost answers; the sequence restarts whenever faults are set.
    pub seed: u64,
    /// Age of the state that reads and lists of objects return, in milliseconds; 0 for the current state.
    pub stale_reads_ms: u64,
    /// Age of the state that the list of VMs returns, in milliseconds, in addition to the list's configured lag.
    pub list_lag_ms: u64,
    /// Watches report no changes and end at their timeout.
    pub watch_stall: bool,
    /// Factor on the duration of loads from the weight store; 1 for full speed.
    pub slowdown: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            latency_ms: 0,
            answer_latency_ms: 0,
            lose_next_writes: 0,
            lose_write_probability: 0.0,
            seed: 0,
            stale_reads_ms: 0,
            list_lag_ms: 0,
            watch_stall: false,
            slowdown: 1.0,
        }
    }
}

impl Faults {
    /// Age of the state that reads return; `None` for the current state.
    pub(crate) fn stale_read_age(&self) -> Option<Duration> {
        (self.stale_reads_ms > 0).then(|| Duration::from_millis(self.stale_reads_ms))
    }
}

/// Injects the current faults of a stand-in into its calls.
#[derive(Debug)]
pub(crate) struct FaultInjector {
    /// False while no fault is set, so that calls take no lock then.
    active: AtomicBool,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    rng: ChaCha8Rng,
}

impl FaultInjector {
    pub(crate) fn new() -> Self {
        Self {
            active: AtomicBool::new(false),
            state: Mutex::new(State {
                faults: Faults::default(),
                rng: ChaCha8Rng::seed_from_u64(0),
            }),
        }
    }

    pub(crate) fn set(&self, faults: Faults) {
        let mut state = self.state.lock();
        let is_active = faults != Faults::default();
        state.rng = ChaCha8Rng::seed_from_u64(faults.seed);
        state.faults = faults;
        self.active.store(is_active, Ordering::Release);
    }

    pub(crate) fn get(&self) -> Faults {
        if !self.active.load(Ordering::Acquire) {
            return Faults::default();
        }
        self.state.lock().faults.clone()
    }

    /// Applies latency and outage at the start of a call and returns the current faults.
    pub(crate) async fn start_call(&self) -> Result<Faults, PlatformError> {
        let faults = self.get();
        if faults.latency_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.latency_ms)).await;
        }
        if faults.down {
            return Err(PlatformError::Unavailable("stand-in is down".to_owned()));
        }
        Ok(faults)
    }

    /// Delays the answer to a write that has taken effect, and fails when the answer is to be lost.
    pub(crate) async fn finish_write(&self) -> Result<(), PlatformError> {
        if !self.active.load(Ordering::Acquire) {
            return Ok(());
        }
        let (delay, is_lost) = {
            let mut state = self.state.lock();
            (state.faults.answer_latency_ms, state.loses_answer())
        };
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        if is_lost {
            return Err(PlatformError::OutcomeUnknown("answer lost".to_owned()));
        }
        Ok(())
    }
}

impl State {
    /// Decides whether the next answer is lost, and counts `lose_next_writes` down.
    fn loses_answer(&mut self) -> bool {
        if self.faults.lose_next_writes > 0 {
            self.faults.lose_next_writes -= 1;
            return true;
        }
        let probability = self.faults.lose_write_probability.clamp(0.0, 1.0);
        probability > 0.0 && self.rng.random_bool(probability)
    }
}
