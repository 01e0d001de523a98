//! Distribution of requests over weighted services.
//!
//! Load pattern: a few hundred requests, of which each service shall get its
//! share within some per cent. Independent draws scatter more than that, so a
//! sequence of evenly spread points takes their place.

use super::target::Weighted;
use crate::prelude::*;

/// Fractional part of the golden ratio; its multiples are evenly spread.
const STEP: f64 = 0.618_033_988_749_894_9;

/// Source of evenly spread points in [0, 1).
#[derive(Clone, Debug)]
pub struct Split {
    point: f64,
}

impl Split {
    /// Starts at a point in [0, 1); processes start at different ones.
    pub fn new(start: f64) -> Split {
        Split {
            point: start.fract().abs(),
        }
    }

    /// Returns the service of the next request; `None` without any weight.
    pub fn choose<'a>(&mut self, parts: &'a [Weighted]) -> Option<&'a ServiceName> {
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        if total <= 0.0 {
            return None;
        }
        self.point = (self.point + STEP).fract();
        let mut left = self.point * total;
        for part in parts.iter().filter(|part| part.weight > 0.0) {
            if left < part.weight {
                return Some(&part.service);
            }
            left -= part.weight;
        }
        let last = parts.iter().rev().find(|part| part.weight > 0.0);
        last.map(|part| &part.service)
    }
}
