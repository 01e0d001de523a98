//! The users' deployments as resources.
