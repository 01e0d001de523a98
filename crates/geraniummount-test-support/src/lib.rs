//! Stand-ins for the systems that geraniummount meets, for tests and benches.
//!
//! [`leaf`] and [`platform`] speak the interfaces of `docs/LEAF_API.md` and
//! `docs/PLATFORM_API.md` and can be told to fail; [`proxy`] stands for the
//! network in front of one listener; [`fleet`] starts real processes between
//! them; [`deployment`] holds the users' two deployments as resources.
//!
//! [`scene`] and [`balanced`] are the two fleets in which the promises are tried,
//! with callers ([`load`]) and what befalls them ([`trouble`]); [`cases`] bounds
//! how many of them run at once. [`soak`] plays random faults against gateways.

pub mod balanced;
pub mod cases;
pub mod client;
pub mod deployment;
pub mod fleet;
mod http;
pub mod leaf;
pub mod load;
mod monitor;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod scene;
pub mod soak;
pub mod trouble;
pub mod usage;
