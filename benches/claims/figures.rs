//! What is run, and what it showed.

use hdrhistogram::Histogram;

/// What is run.
#[derive(Clone, Copy)]
pub struct Run {
    pub claimers: usize,
    /// Keyed requests a second in the whole fleet.
    pub rate: f64,
    /// The product, or each VM alone.
    pub is_product: bool,
}

/// What it showed, without the warm-up.
pub struct Figures {
    pub granted: f64,
    pub own_duplicates: u64,
    pub writes: f64,
    pub reads: f64,
    pub bytes_per_second: f64,
    pub value_bytes: u64,
    pub rate: f64,
    pub micros: Histogram<u64>,
}

impl Figures {
    pub fn millis(&self, quantile: f64) -> f64 {
        self.micros.value_at_quantile(quantile) as f64 / 1e3
    }

    pub fn granted_per_second(&self) -> f64 {
        self.granted * self.rate
    }
}
