//! Expected load durations, derived from the weight store's limits until loads have been measured.

use super::Input;
use crate::plan::CacheTier;

/// Weight of a new measurement in the moving average of load times.
const LOAD_TIME_GAIN: f64 = 0.3;

/// Load times in milliseconds per byte, indexed by [`CacheTier`].
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadTimes {
    ms_per_byte: [f64; 3],
    measured: [bool; 3],
}

impl Default for LoadTimes {
    /// 10 GB/s, 2 GB/s and 0.5 GB/s. Only their ratios matter once the pool's limits are known.
    fn default() -> Self {
        Self {
            ms_per_byte: [1e-7, 5e-7, 2e-6],
            measured: [false; 3],
        }
    }
}

impl LoadTimes {
    /// Expected duration of a load, in milliseconds.
    pub(super) fn estimate_ms(&self, tier: CacheTier, bytes: u64) -> u64 {
        (self.ms_per_byte[tier as usize] * bytes as f64) as u64
    }

    /// Adds the measured duration of a completed load to the average of its tier.
    pub(super) fn record(&mut self, tier: CacheTier, bytes: u64, ms: u64) {
        let measured = ms as f64 / bytes.max(1) as f64;
        let known = &mut self.ms_per_byte[tier as usize];
        *known += (measured - *known) * LOAD_TIME_GAIN;
        self.measured[tier as usize] = true;
    }

    /// Derives the load times of tiers without measurements from the weight store's limits: a load of mean size at full
    /// speed takes `loads_at_once / loads_per_second`. Too long an estimate would refuse requests that could be served.
    pub(super) fn derive_from_limits(&mut self, input: &Input<'_>) {
        let sizes = input.config.models.values().filter(|it| it.pool == input.plan.pool);
        let sizes: Vec<u64> = sizes.map(|it| it.bytes).collect();
        let bytes = sizes.iter().sum::<u64>() as f64 / sizes.len().max(1) as f64;
        let Some(limits) = input.limits().filter(|it| it.loads_per_second > 0.0 && bytes > 0.0) else {
            return;
        };
        let remote = f64::from(limits.loads_at_once) / limits.loads_per_second * 1_000.0 / bytes;
        let defaults = Self::default().ms_per_byte;
        for (tier, measured) in self.measured.iter().enumerate() {
            if !measured {
                self.ms_per_byte[tier] = remote * defaults[tier] / defaults[CacheTier::Remote as usize];
            }
        }
    }
}
