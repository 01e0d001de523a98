//! Evenly spread points in [0, 1).
//!
//! Independent draws scatter: of a few hundred, a share that is wanted comes
//! out some per cent off. The multiples of the golden ratio's fraction do not.

/// Fractional part of the golden ratio; its multiples are evenly spread.
const STEP: f64 = 0.618_033_988_749_894_9;

/// Source of evenly spread points.
#[derive(Clone, Debug)]
pub struct Sequence {
    last: f64,
}

impl Sequence {
    /// Starts behind a point.
    pub fn starting_after(start: f64) -> Sequence {
        Sequence {
            last: start.fract().abs(),
        }
    }

    /// Returns the next point.
    pub fn next_point(&mut self) -> f64 {
        self.last = (self.last + STEP).fract();
        self.last
    }
}
