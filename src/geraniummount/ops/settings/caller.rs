//! Section `[caller]`: where callers send queries.

use std::net::SocketAddr;

use super::section::Section;

const DEFAULT_THREADS: u64 = 64;
const MOST_THREADS: u64 = 1024;

/// The callers' listener.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Caller {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Threads that read requests and write answers.
    pub threads: usize,
}

impl Caller {
    pub(super) fn read(section: &mut Section<'_>) -> Option<Caller> {
        section.allow(&["listen", "threads"]);
        let listen = section.listener("listen");
        let threads = section.count("threads", DEFAULT_THREADS, 1..=MOST_THREADS);
        Some(Caller {
            listen: listen?,
            threads: threads?,
        })
    }
}
