//! Parameters and figures of a run.

use hdrhistogram::Histogram;

/// Parameters of a run.
#[derive(Clone, Copy)]
pub struct Run {
    /// Number of VMs that claim keys.
    pub claimers: usize,
    /// Requests with an idempotency key per second, over all VMs.
    pub rate: f64,
    /// Whether the run uses the product's policy. Otherwise each VM claims by itself.
    pub is_product: bool,
}

/// Figures of a run without its warm-up.
pub struct Figures {
    /// Share of the requests whose key was granted.
    pub granted: f64,
    /// Requests rejected as duplicates although each has a distinct key.
    pub own_duplicates: u64,
    /// Writes to the platform per second.
    pub writes: f64,
    /// Reads from the platform per second.
    pub reads: f64,
    /// Bytes of values read and written per second.
    pub bytes_per_second: f64,
    /// Size of one stored value in bytes.
    pub value_bytes: u64,
    /// Requests per second.
    pub rate: f64,
    /// Times from arrival to grant in microseconds.
    pub micros: Histogram<u64>,
}

impl Figures {
    /// Returns a quantile of the time to grant in milliseconds.
    pub fn millis(&self, quantile: f64) -> f64 {
        self.micros.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the number of keys granted per second.
    pub fn granted_per_second(&self) -> f64 {
        self.granted * self.rate
    }
}
