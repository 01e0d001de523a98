//! The gateway on the users' platform, against stand-ins that speak its pages.

mod fixture;
mod formats;
mod isolation;
mod malformed;
mod pause;
mod requests;
mod store;
