//! Injects faults into a link through the proxy that emulates it.

use std::net::IpAddr;
use std::time::Duration;

use super::fault::{LinkFault, LostLinks};
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

/// Lets a gateway, whose connections come from `source`, lose its link to a leaf.
pub fn lose(proxy: &Proxy, source: IpAddr, fault: LostLinks) {
    match fault {
        LostLinks::Hang => proxy.change(source, |link| {
            (link.forward, link.back) = (Flow::Cut, Flow::Cut);
        }),
        LostLinks::Close => {
            proxy.change(source, |link| link.refuse = true);
            proxy.close_connections_from(source);
        }
        LostLinks::CloseNew => proxy.change(source, |link| link.refuse = true),
    }
}

/// Ends the faults of the link from one gateway to a leaf.
pub fn regain(proxy: &Proxy, source: IpAddr) {
    proxy.change(source, |link| *link = Link::default());
}

/// Ends all lasting faults of a link.
pub fn heal(proxy: &Proxy) {
    proxy.change_all(|link| *link = Link::default());
}
