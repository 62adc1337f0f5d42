//! Unit of time.

use std::ops::{Add, Sub};

derive_scalar! {
    /// Time in milliseconds on the monotonic clock of one process. Values of different processes are not comparable.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct Millis(pub u64);
}

impl Millis {
    /// Milliseconds from `earlier` to this time, or zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Millis {
    type Output = Self;

    fn add(self, rhs: u64) -> Self {
        Self(self.0.saturating_add(rhs))
    }
}

impl Sub<u64> for Millis {
    type Output = Self;

    fn sub(self, rhs: u64) -> Self {
        Self(self.0.saturating_sub(rhs))
    }
}
