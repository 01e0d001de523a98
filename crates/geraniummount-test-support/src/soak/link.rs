//! Faults of a link, brought about by the proxy that stands for it.

use std::time::Duration;

use super::fault::LinkFault;
use crate::proxy::{Flow, Link, Proxy};

/// Delay of a slow link, each way.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(60);

/// Brings a fault about; returns whether it duration until it is healed.
pub fn inject(proxy: &Proxy, fault: LinkFault) -> bool {
    let change: fn(&mut Link) = match fault {
        LinkFault::Cut => |link| (link.forward, link.back) = (Flow::Cut, Flow::Cut),
        LinkFault::NoRequests => |link| link.forward = Flow::Cut,
        LinkFault::NoResponses => |link| link.back = Flow::Cut,
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

/// Ends all faults of a link that last.
pub fn heal(proxy: &Proxy) {
    proxy.change_all(|link| *link = Link::default());
}
