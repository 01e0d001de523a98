//! Stand-ins for the systems that geraniummount meets, for tests and benches.
