//! Faults of a link, brought about by the proxy that stands for it.

use std::time::Duration;

use super::fault::LinkFault;
use crate::proxy::{Flow, Link, Proxy};

/// Delay of a slow link, each way.
const SLOWNESS: Duration = Duration::from_millis(60);

/// Brings a fault about; returns whether it lasts until it is healed.
pub fn strike(proxy: &Proxy, fault: LinkFault) -> bool {
    let change: fn(&mut Link) = match fault {
        LinkFault::Cut => |link| (link.forward, link.back) = (Flow::Cut, Flow::Cut),
        LinkFault::NoRequests => |link| link.forward = Flow::Cut,
        LinkFault::NoAnswers => |link| link.back = Flow::Cut,
        LinkFault::Slow => |link| link.delay = SLOWNESS,
        LinkFault::Silent => {
            proxy.silence_open();
            return false;
        }
        LinkFault::Reset => {
            proxy.break_open();
            return false;
        }
    };
    proxy.change_all(change);
    true
}

/// Ends all faults of a link that last.
pub fn heal(proxy: &Proxy) {
    proxy.change_all(|link| *link = Link::default());
}
