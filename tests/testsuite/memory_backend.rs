//! A backend of the operators' listener that keeps its configuration in
//! memory, with the checks of the real one, and fails as a test tells it.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use geraniummount::core::change::{self, Change, Entry};
use geraniummount::core::resource::{Kind, Resource};
use geraniummount::core::validation;
use geraniummount::edge::metrics::Metrics;
use geraniummount::edge::operator::{self, Accepted, Backend, Changes, Listing, Refusal, Server};
use geraniummount::prelude::*;
use serde_json::{Value, json};

/// How changes end.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Platform {
    #[default]
    Up,
    Down,
    LosesReplies,
}

/// Configuration in memory.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    catalog: Arc<Mutex<Catalog>>,
    platform: Arc<Mutex<Platform>>,
}

impl Memory {
    /// Starts a listener on a free port.
    pub fn serve(&self) -> Server {
        let listen = "127.0.0.1:0".parse().expect("address");
        Server::start(listen, self.clone(), Metrics::new()).expect("listener")
    }

    /// Sets how changes end from now on.
    pub fn set_platform(&self, platform: Platform) {
        *self.platform.lock().expect("lock") = platform;
    }

    fn change(
        &self,
        (kind, name): (Kind, &str),
        action: change::Action,
        if_match: Option<Generation>,
    ) -> Result<Accepted, Refusal> {
        let mut catalog = self.catalog.lock().expect("lock");
        let actual = catalog.generation(kind, name);
        let expected = if_match.unwrap_or(actual);
        if expected != actual {
            return Err(Refusal::Conflict { expected, actual });
        }
        let change = Change {
            id: 7,
            kind,
            name: name.to_string(),
            base: actual,
            action,
        };
        let faults = validation::check(&catalog, &change);
        if !faults.is_empty() {
            return Err(Refusal::Invalid(faults));
        }
        match *self.platform.lock().expect("lock") {
            Platform::Up => {}
            Platform::Down => {
                let retry_after = Duration::from_millis(1_500);
                return Err(Refusal::PlatformDown { retry_after });
            }
            Platform::LosesReplies => return Err(Refusal::Undecided { change: 7 }),
        }
        let revision = catalog.revision + 1;
        catalog.apply(&Entry { revision, change });
        let generation = Some(catalog.generation(kind, name)).filter(|g| *g > 0);
        Ok(Accepted {
            generation,
            revision,
        })
    }
}

impl Backend for Memory {
    fn list(&self, kind: Kind) -> Listing {
        let catalog = self.catalog.lock().expect("lock").clone();
        let names: Vec<String> = match kind {
            Kind::Leaf => catalog.leaves.iter().map(|r| r.spec.name.clone()).collect(),
            Kind::Service => catalog
                .services
                .iter()
                .map(|r| r.spec.name.clone())
                .collect(),
        };
        let items = names.iter().flat_map(|name| self.get(kind, name)).collect();
        Listing {
            revision: catalog.revision,
            items,
        }
    }

    fn get(&self, kind: Kind, name: &str) -> Result<operator::Entry, Refusal> {
        let catalog = self.catalog.lock().expect("lock");
        let record = catalog.resource(kind, name);
        let record = record.ok_or_else(|| Refusal::NotFound(format!("no {kind} `{name}`")))?;
        let spec = match record.spec {
            Resource::Leaf(leaf) => serde_json::to_value(leaf),
            Resource::Service(service) => serde_json::to_value(service),
        };
        Ok(operator::Entry {
            kind,
            name: name.to_string(),
            generation: record.generation,
            spec: spec.expect("JSON"),
        })
    }

    fn put(
        &self,
        kind: Kind,
        name: &str,
        spec: &str,
        if_match: Option<Generation>,
    ) -> Result<Accepted, Refusal> {
        let resource = Resource::parse(kind, spec).map_err(|f| Refusal::Invalid(vec![f]))?;
        self.change((kind, name), change::Action::Put(resource), if_match)
    }

    fn delete(
        &self,
        kind: Kind,
        name: &str,
        if_match: Option<Generation>,
    ) -> Result<Accepted, Refusal> {
        self.change((kind, name), change::Action::Delete, if_match)
    }

    fn wait_for(&self, _after: Revision, _wait: Duration) -> Changes {
        Changes {
            revision: self.catalog.lock().expect("lock").revision,
            changes: Vec::new(),
        }
    }

    fn status(&self) -> Value {
        json!({"revision": self.catalog.lock().expect("lock").revision})
    }

    fn state(&self) -> Value {
        json!({"leaves": [{"leaf": "l1", "queued": 3}, {"leaf": "l2", "queued": 10}]})
    }

    fn is_stopping(&self) -> bool {
        false
    }
}
