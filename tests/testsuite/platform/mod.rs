//! Tests of the gateway with stand-ins for the users' platform.

mod bounded;
mod crashes;
mod cut_answers;
mod delegation;
mod deployment;
mod endless;
mod fixture;
mod formats;
mod isolation;
mod late_write;
mod leases;
mod limits;
mod lost_links;
mod malformed;
mod not_run;
mod notice;
mod odd_entries;
mod odd_numbers;
mod older_routes;
mod pause;
mod reads;
mod requests;
mod restore;
mod statuses;
mod stop;
mod store;
