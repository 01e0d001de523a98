//! A fleet of real processes.
