//! Clock of the operating system.

use std::time::{SystemTime, UNIX_EPOCH};

use guava_core::units::Millis;
use rustix::time::{ClockId, clock_gettime};

use crate::Clock;

/// [`Clock`] based on the boot-time clock.
///
/// Unlike the ordinary monotonic clock, the boot-time clock advances while the VM is suspended. A lease must expire
/// during a suspension.
#[derive(Debug, Default)]
pub(crate) struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        let time = clock_gettime(ClockId::Boottime);
        Millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
    }

    fn wall_ms(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        since_epoch.map_or(0, |it| it.as_millis() as u64)
    }
}
