//! Registered leaves for tests of decisions, which open no connections.

use std::time::Duration;

use geraniummount::core::instance::Instance;

/// Returns a leaf that is ready and warm.
pub fn instance(service: &str, id: &str, domain: &str) -> Instance {
    Instance {
        id: id.to_string(),
        started_at_ms: None,
        heartbeat: None,
        service: service.to_string(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: domain.to_string(),
        slots: 2,
        is_leaving: false,
        warm_up_left: Duration::ZERO,
    }
}
