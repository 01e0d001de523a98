//! Stand-ins for the systems around geraniummount, for tests and benchmarks.
//!
//! The platform consists of two services that the users run: a key-value service and the membership
//! list (of all processes, VMs and leaves).
//! [`leaf`] and [`platform`] implement the interfaces of `docs/LEAF_API.md` and
//! `docs/PLATFORM_API.md` and inject failures on request. [`proxy`] simulates the network in front
//! of one listener. [`fleet`] starts real processes that use these stand-ins. [`deployment`]
//! describes the users' two deployments as resources.
//!
//! [`testbed`] and [`load_balanced`] start the two fleets that the tests of the promises use.
//! [`load`] sends requests to the former while a [`disruption`] is in effect, and [`cases`] limits
//! how many fleets run at once. [`soak`] runs random faults against gateways, which are
//! processes of `geraniummount gateway`.

pub mod cases;
pub mod client;
pub mod deployment;
pub mod disruption;
pub mod endless;
pub mod fleet;
mod http;
mod interruption;
pub mod leaf;
pub mod load;
pub mod load_balanced;
mod monitor;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod raw_server;
pub mod soak;
pub mod testbed;
pub mod usage;
