//! Clock of the process.

use std::time::{SystemTime, UNIX_EPOCH};

use guava_core::units::Millis;
use rustix::time::{ClockId, clock_gettime};

use crate::Clock;

/// Clock of the operating system.
///
/// The boot time clock also counts the time for which the VM was suspended, which the ordinary monotonic clock does
/// not; a lease must run out during a suspension.
#[derive(Debug, Default)]
pub(crate) struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        let time = clock_gettime(ClockId::Boottime);
        Millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
    }

    fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |it| it.as_millis() as u64)
    }
}
