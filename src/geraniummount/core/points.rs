//! Evenly spread points in [0, 1).
//!
//! Independent draws scatter: of a few hundred, a share that is wanted comes
//! out some per cent off. The multiples of the golden ratio's fraction do not.

/// Fractional part of the golden ratio; its multiples are evenly spread.
const STEP: f64 = 0.618_033_988_749_894_9;

/// Source of evenly spread points.
#[derive(Clone, Debug)]
pub struct Points {
    last: f64,
}

impl Points {
    /// Starts behind a point.
    pub fn after(start: f64) -> Points {
        Points {
            last: start.fract().abs(),
        }
    }

    /// Returns the next point.
    pub fn next_point(&mut self) -> f64 {
        self.last = (self.last + STEP).fract();
        self.last
    }
}
