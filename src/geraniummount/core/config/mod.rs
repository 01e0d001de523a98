//! The configuration of the product's own interface: what operators declare, and how a change of it is
//! checked, agreed on and applied.
//!
//! An operator proposes a [`change`] to a [`resource`], such as a service with the [`contract`] of its
//! leaves. [`validation`] checks it against the whole [`catalog`] and returns a [`fault`] for each
//! error. [`proposal`] appends it to the log of changes, of which each VM has a copy ([`change_log`]).

pub mod catalog;
pub mod change;
pub mod change_log;
pub mod contract;
pub mod fault;
pub mod proposal;
pub mod resource;
pub mod validation;
