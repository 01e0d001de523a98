//! The gateway on the users' platform, against stand-ins that speak its pages.

mod formats;
mod requests;
mod scene;
mod store;
