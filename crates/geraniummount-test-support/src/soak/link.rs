//! Injects faults into a link through the proxy that emulates it.

use std::time::Duration;

use super::fault::LinkFault;
use crate::proxy::{Flow, Link, Proxy};

/// Delay of a slow link, in each direction.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(60);

/// Injects a fault and returns whether it lasts until [`heal`] is called.
pub fn inject(proxy: &Proxy, fault: LinkFault) -> bool {
    let change: fn(&mut Link) = match fault {
        LinkFault::Cut => |link| (link.forward, link.back) = (Flow::Cut, Flow::Cut),
        LinkFault::NoRequests => |link| link.forward = Flow::Cut,
        LinkFault::NoReplies => |link| link.back = Flow::Cut,
        LinkFault::Slow => |link| link.delay = SLOW_LINK_DELAY,
        LinkFault::Blackhole => {
            proxy.blackhole_connections();
            return false;
        }
        LinkFault::Disconnect => {
            proxy.close_connections();
            return false;
        }
    };
    proxy.change_all(change);
    true
}

/// Ends all lasting faults of a link.
pub fn heal(proxy: &Proxy) {
    proxy.change_all(|link| *link = Link::default());
}
