//! Fault-injecting proxy.
