//! Max-min division of capacity by weight.

/// Standard deviations by which a tenant's demand may exceed its share before it is shed. A VM that
/// happens to see two requests of a tenant must not take them for an excess.
const TOLERATED_DEVIATIONS: f64 = 2.0;

/// Number of bisections; the level is then exact to 1e-9 of its range.
const BISECTIONS: u32 = 30;

/// Demand of one tenant and its weight, both as numbers of requests in the same time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    pub(super) demand: f64,
    pub(super) weight: f64,
}

impl Claim {
    /// Returns the part of the demand that is admitted at a level: the level times the weight, with
    /// an allowance for chance, and not less than `floor` of the demand.
    pub(super) fn share(&self, level: f64, floor: f64) -> f64 {
        let fair = level * self.weight;
        let allowed = fair + TOLERATED_DEVIATIONS * fair.sqrt();
        allowed.clamp(floor * self.demand, self.demand)
    }
}

/// Returns the level at which the shares of all claims add up to the capacity.
pub(super) fn water_level(claims: &[Claim], floor: f64, capacity: f64) -> f64 {
    let full = |claim: &Claim| claim.demand / claim.weight.max(1e-9);
    let (mut low, mut high) = (0.0, claims.iter().map(full).fold(0.0, f64::max));
    for _ in 0..BISECTIONS {
        let level = (low + high) / 2.0;
        let taken: f64 = claims.iter().map(|claim| claim.share(level, floor)).sum();
        if taken < capacity {
            low = level;
        } else {
            high = level;
        }
    }
    high
}
