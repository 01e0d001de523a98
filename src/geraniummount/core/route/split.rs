//! Distribution of requests over weighted services.
//!
//! Load pattern: a few hundred requests, of which each service shall get its
//! share within some per cent. Evenly spread points do that, independent draws
//! don't.

use super::target::WeightedService;
use crate::core::low_discrepancy::Sequence;
use crate::prelude::*;

/// Chooses among weighted services.
#[derive(Clone, Debug)]
pub struct Split {
    sequence: Sequence,
}

impl Split {
    /// Starts at a point in [0, 1); processes start at different ones.
    pub fn new(start: f64) -> Split {
        Split {
            sequence: Sequence::starting_after(start),
        }
    }

    /// Returns the service of the next request; `None` without any weight.
    pub fn choose<'a>(&mut self, parts: &'a [WeightedService]) -> Option<&'a ServiceName> {
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        if total <= 0.0 {
            return None;
        }
        let mut remaining = self.sequence.next_point() * total;
        for part in parts.iter().filter(|part| part.weight > 0.0) {
            if remaining < part.weight {
                return Some(&part.service);
            }
            remaining -= part.weight;
        }
        let last = parts.iter().rev().find(|part| part.weight > 0.0);
        last.map(|part| &part.service)
    }
}
