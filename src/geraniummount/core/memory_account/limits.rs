//! Bounds on what a VM holds.

/// Memory of the process itself: its program, routes, leaves, buffers for reading and logs. 16 MB
/// were measured in a debug build with one leaf.
const PROCESS_BYTES: usize = 28 * 1024 * 1024;

/// Of the rest of the memory, one part in this many is recorded. The other is left for what is not
/// recorded: unused space of the allocator, buffers while they are copied, calls and their plans.
const MEMORY_DIVISOR: usize = 2;

/// The bound is at least the memory divided by this.
const MIN_SHARE_DIVISOR: usize = 8;

/// Bound if the memory of the VM is not known.
const DEFAULT_MAX_BYTES: usize = 1024 * 1024 * 1024;

/// Descriptors that connections do not use: listeners, the store, the log, and connections to leaves
/// that are opened while others are closed.
const RESERVED_DESCRIPTORS: usize = 200;

/// Bounds on what a VM holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of bytes.
    pub max_bytes: usize,
    /// Maximum number of connections, with which no further caller is accepted.
    pub max_connections: usize,
}

impl Limits {
    /// Derives the bounds from the memory in bytes and the number of descriptors of the VM, as far as
    /// they are known.
    pub fn new(memory_bytes: Option<u64>, max_descriptors: Option<u64>) -> Limits {
        let number = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
        let max_bytes = memory_bytes.map(number).map(|memory| {
            let rest = memory.saturating_sub(PROCESS_BYTES) / MEMORY_DIVISOR;
            rest.max(memory / MIN_SHARE_DIVISOR)
        });
        let max_connections = max_descriptors
            .map(number)
            .map(|count| count.saturating_sub(RESERVED_DESCRIPTORS).max(1));
        Limits {
            max_bytes: max_bytes.unwrap_or(DEFAULT_MAX_BYTES),
            max_connections: max_connections.unwrap_or(usize::MAX),
        }
    }
}
