//! Tests the measured rate of requests that are rare.

use std::time::{Duration, Instant};

use geraniummount::core::request_rate::RequestRate;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const REQUESTS: u32 = 20_000;

/// Maximum relative error of the mean.
const MAX_ERROR: f64 = 0.1;

#[test]
fn request_rate_at_the_arrival_of_a_rare_request_is_not_raised_by_it() {
    for per_second in [0.02, 0.2, 2.0] {
        let mut rng = SmallRng::seed_from_u64(5);
        let mut now = Instant::now();
        let mut rate = RequestRate::new(now);
        let mut sum = 0.0;
        for _ in 0..REQUESTS {
            let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            now += Duration::from_secs_f64(-uniform.ln() / per_second);
            rate.record(now);
            sum += rate.per_second_before_last(now);
        }
        let mean = sum / f64::from(REQUESTS);
        let error = (mean / per_second - 1.0).abs();
        assert!(error <= MAX_ERROR, "{per_second}: {mean}");
    }
}
