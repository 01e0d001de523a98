//! Clock that also counts the time for which the machine is suspended.

use std::io;

use nix::time::{ClockId, clock_gettime};

use crate::core::boot_time::BootTime;

/// Reads the clock.
///
/// # Errors
///
/// Returns an error if the system has no such clock.
pub fn now() -> io::Result<BootTime> {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME)?;
    Ok(BootTime::new(time.into()))
}
