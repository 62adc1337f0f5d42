//! Faults of the stand-ins that can be set at run time.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// Faults of one stand-in; the default is none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Calls fail without effect.
    pub down: bool,
    /// Delay before a call takes effect, in milliseconds.
    pub latency_ms: u64,
    /// Delay between effect and answer, in milliseconds.
    pub answer_latency_ms: u64,
    /// Number of coming writes that take effect and get no answer.
    pub lose_next_writes: u32,
    /// Probability that a write takes effect and gets no answer.
    pub lose_write_probability: f64,
    /// Seed of the random losses.
    pub seed: u64,
    /// Age of the state that reads and lists show, in milliseconds.
    pub stale_reads_ms: u64,
    /// Age of the state that the list of VMs shows, in milliseconds.
    pub list_lag_ms: u64,
    /// Watches report nothing until their timeout.
    pub watch_stall: bool,
    /// Factor by which weight loads take longer.
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
    /// Whether reads show an old state.
    pub(crate) fn stale_reads(&self) -> Option<Duration> {
        (self.stale_reads_ms > 0).then(|| Duration::from_millis(self.stale_reads_ms))
    }
}

/// Current faults of a stand-in.
#[derive(Debug)]
pub(crate) struct FaultSwitch {
    /// False while all faults are off, so that the common path takes no lock.
    active: AtomicBool,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    rng: ChaCha8Rng,
}

impl FaultSwitch {
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

    /// Applies latency and outage at the start of a call and returns the faults in force.
    pub(crate) async fn enter(&self) -> Result<Faults, PlatformError> {
        let faults = self.get();
        if faults.latency_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.latency_ms)).await;
        }
        if faults.down {
            return Err(PlatformError::Unavailable("stand-in is down".to_owned()));
        }
        Ok(faults)
    }

    /// Applies the delay of the answer and decides whether the answer of a write is lost.
    pub(crate) async fn answer_write(&self) -> Result<(), PlatformError> {
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
    fn loses_answer(&mut self) -> bool {
        if self.faults.lose_next_writes > 0 {
            self.faults.lose_next_writes -= 1;
            return true;
        }
        let probability = self.faults.lose_write_probability.clamp(0.0, 1.0);
        probability > 0.0 && self.rng.random_bool(probability)
    }
}
