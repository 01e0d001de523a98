//! Decides when an incomplete reply of a leaf is too long to be waited for.
//!
//! Load pattern: faulty leaves send bytes without end, hundreds of megabytes a second, in answer
//! to each request that reaches them. A VM has a few hundred megabytes of memory or less. Each reply
//! is bounded, and so are all incomplete replies together, as many may arrive at the same time.
//! Small replies go on whatever the others hold, so that sound leaves are not affected.

/// Maximum number of bytes of incomplete replies that are held together. The smallest VMs have
/// 112 MB.
const MAX_HELD_BYTES: usize = 32 * 1024 * 1024;

/// Number of held bytes up to which a reply is not ended because of the others.
pub const SMALL_REPLY_BYTES: usize = 64 * 1024;

/// An incomplete reply.
#[derive(Clone, Copy, Debug)]
pub struct ReplySize {
    /// Bytes received so far, including those that are not held, such as interim replies.
    pub received: usize,
    /// Bytes that are held.
    pub held: usize,
}

impl ReplySize {
    /// Returns whether the reply is too long. `max_reply_bytes` is the maximum size of a reply, and
    /// `all_held` returns the number of bytes that all incomplete replies hold.
    pub fn is_too_long(self, max_reply_bytes: usize, all_held: impl FnOnce() -> usize) -> bool {
        self.received > max_reply_bytes
            || (self.held > SMALL_REPLY_BYTES && all_held() > MAX_HELD_BYTES)
    }
}
