//! Distribution of requests over weighted services.
//!
//! Load pattern: a few hundred requests, of which each service shall get its
//! share within some per cent. Evenly spread points do that, independent draws
//! don't.

use super::target::Weighted;
use crate::core::points::Points;
use crate::prelude::*;

/// Chooses among weighted services.
#[derive(Clone, Debug)]
pub struct Split {
    points: Points,
}

impl Split {
    /// Starts at a point in [0, 1); processes start at different ones.
    pub fn new(start: f64) -> Split {
        Split {
            points: Points::after(start),
        }
    }

    /// Returns the service of the next request; `None` without any weight.
    pub fn choose<'a>(&mut self, parts: &'a [Weighted]) -> Option<&'a ServiceName> {
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        if total <= 0.0 {
            return None;
        }
        let mut left = self.points.next_point() * total;
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
