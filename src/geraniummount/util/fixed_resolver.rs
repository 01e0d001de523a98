//! An address in place of a name look-up, for the HTTP library.

use std::net::SocketAddr;

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::NextTimeout;

/// Names one address for every request; the library's own resolver starts a
/// thread for each request that has a time limit.
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
