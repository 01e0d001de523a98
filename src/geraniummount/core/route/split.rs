//! Distributes requests over weighted services.
//!
//! Load pattern: a few hundred requests, of which each service has to get its share within a few
//! per cent. A low-discrepancy sequence achieves this; independent random draws do not.

use super::target::WeightedService;
use crate::core::low_discrepancy::Sequence;
use crate::prelude::*;

/// Selector of weighted services.
#[derive(Clone, Debug)]
pub struct Split {
    sequence: Sequence,
}

impl Split {
    /// Creates a selector that starts at a point in [0, 1). Each process starts at a different
    /// point.
    pub fn new(start: f64) -> Split {
        Split {
            sequence: Sequence::starting_after(start),
        }
    }

    /// Returns the service for the next request, or `None` if no weight is positive.
    pub fn choose<'a>(&mut self, candidates: &'a [WeightedService]) -> Option<&'a ServiceName> {
        let total: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
        if total <= 0.0 {
            return None;
        }
        let mut remaining = self.sequence.next_point() * total;
        for candidate in candidates.iter().filter(|candidate| candidate.weight > 0.0) {
            if remaining < candidate.weight {
                return Some(&candidate.service);
            }
            remaining -= candidate.weight;
        }
        let last = candidates
            .iter()
            .rev()
            .find(|candidate| candidate.weight > 0.0);
        last.map(|candidate| &candidate.service)
    }
}
