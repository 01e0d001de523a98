//! The gateway on the users' platform, against stand-ins that speak its pages.

mod scene;
mod store;
