//! The operator's configuration.

/// Host of all routes.
pub const HOST: &str = "pupu76.example";

/// A route to one service.
pub struct Route<'a> {
    pub prefix: &'a str,
    /// `idempotent` or `non_idempotent`.
    pub kind: &'a str,
    pub service: &'a str,
    pub attempts: u32,
    pub timeout_ms: u64,
    pub target_ms: u64,
}

/// Returns a configuration; a service is a name and the connections that each of its leaves takes.
pub fn document(version: u64, routes: &[Route], services: &[(&str, usize)]) -> String {
    let routes: Vec<String> = routes.iter().map(route).collect();
    let services = services.iter().map(|(name, connections)| {
        format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":{connections}}}")
    });
    let services: Vec<String> = services.collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

fn route(route: &Route) -> String {
    format!(
        "{{\"name\":\"{0}\",\"host\":\"{HOST}\",\"prefix\":\"{0}\",\"type\":\"{1}\",\
         \"backend\":\"{2}\",\"attempts\":{3},\"timeoutMs\":{4},\"targetLatencyMs\":{5},\
         \"priority\":1}}",
        route.prefix, route.kind, route.service, route.attempts, route.timeout_ms, route.target_ms
    )
}
