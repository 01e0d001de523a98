//! Resolver for the HTTP library `ureq` that returns a fixed address without a name lookup.

use std::net::SocketAddr;

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::NextTimeout;

/// Resolves every host to one address.
///
/// The library's own resolver starts a thread for each request that has a timeout.
#[derive(Debug)]
pub struct FixedResolver(pub SocketAddr);

impl Resolver for FixedResolver {
    fn resolve(
        &self,
        _uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let mut addresses = self.empty();
        addresses.push(self.0);
        Ok(addresses)
    }
}
