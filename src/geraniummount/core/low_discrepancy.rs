//! Low-discrepancy sequence of points in [0, 1).
//!
//! Independent random draws scatter: after a few hundred, an intended share is off by a few per
//! cent. Multiples of the golden ratio, taken modulo 1, are spread evenly and meet the share.

/// Fractional part of the golden ratio, the step between two points.
const STEP: f64 = 0.618_033_988_749_894_9;

/// Additive recurrence that returns evenly spread points.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// Point returned last.
    last: f64,
}

impl Sequence {
    /// Creates a sequence that starts after the point `start`.
    pub fn starting_after(start: f64) -> Sequence {
        Sequence {
            last: start.fract().abs(),
        }
    }

    /// Returns the next point, in [0, 1).
    pub fn next_point(&mut self) -> f64 {
        self.last = (self.last + STEP).fract();
        self.last
    }
}
