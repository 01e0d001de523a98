//! The gateway on the users' platform, against stand-ins that speak its pages.

mod formats;
mod pause;
mod requests;
mod scene;
mod store;
