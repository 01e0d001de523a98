//! Cases of the review that are scripts. Each starts gateways as processes of their own, with the
//! command and the template of the deploy file, and plays the platform, the leaves and the clients.
//!
//! `review CASE ROOT RECORD` exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` in the environment it does the same without the disruption.

mod client;
mod dark;
mod document;
mod expired;
mod gateway;
mod http;
mod json;
mod keep_alive;
mod leaf;
mod random;
mod record;
mod regress;
mod stale;
mod store;
mod twice;

use std::env;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::gateway::{Deployment, Gateway};
use crate::leaf::{Config, Leaf};
use crate::record::Record;
use crate::store::Store;

/// Figures of the small deployments (SYSTEM.md).
const BOUNDS: &[(&str, u64)] = &[("drainMs", 3_000), ("configApplyMs", 3_000)];

/// What each case has.
struct Stage {
    root: PathBuf,
    folder: PathBuf,
    record: Arc<Record>,
    store: Store,
    /// Whether the disruption is played.
    has_trouble: bool,
}

/// Result of a case.
enum Verdict {
    Held,
    Broken,
    /// The case did not get so far that the rule could be judged.
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, root, record] = &arguments[..] else {
        eprintln!("usage: review CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    // A case that hangs must not keep its processes.
    let folder = env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    let verdict = Stage::new(root, record, folder.clone()).and_then(|stage| {
        let verdict = match case.as_str() {
            "twice" => twice::play(&stage),
            "keep-alive" => keep_alive::play(&stage),
            "regress" => regress::play(&stage),
            "stale" => stale::play(&stage),
            "expired" => expired::play(&stage),
            "dark" => dark::play(&stage),
            _ => Err(io::ErrorKind::NotFound.into()),
        };
        stage.record.flush();
        verdict
    });
    let is_kept = env::var_os("KEEP_LOGS").is_some();
    if !is_kept {
        let _ = std::fs::remove_dir_all(&folder);
    }
    match verdict {
        Ok(Verdict::Held) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            println!("broken");
            ExitCode::from(1)
        }
        Ok(Verdict::NotRun) => {
            println!("could not run");
            ExitCode::from(2)
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}

impl Stage {
    fn new(root: &str, record: &str, folder: PathBuf) -> io::Result<Stage> {
        std::fs::create_dir_all(&folder)?;
        Ok(Stage {
            root: PathBuf::from(root).canonicalize()?,
            folder,
            record: Arc::new(Record::create(record.as_ref())?),
            store: Store::start()?,
            has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
        })
    }

    /// Starts a leaf and registers it.
    fn leaf(&self, id: &str, config: Config) -> io::Result<Leaf> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        self.leaf_on(id, listener, config)
    }

    fn leaf_on(&self, id: &str, listener: TcpListener, config: Config) -> io::Result<Leaf> {
        let leaf = Leaf::start(id, listener, config, &self.record)?;
        leaf.register(&self.store, "ready", 1);
        Ok(leaf)
    }

    /// Starts gateways, one for each zone named, and waits until they are ready.
    fn gateways(&self, zones: &[&str]) -> io::Result<Vec<Gateway>> {
        let store = self.store.address;
        self.gateways_at(&zones.iter().map(|zone| (*zone, store)).collect::<Vec<_>>())
    }

    /// As [`Stage::gateways`], each with the address at which it reaches the store.
    fn gateways_at(&self, zones: &[(&str, SocketAddr)]) -> io::Result<Vec<Gateway>> {
        let deployment = Deployment {
            root: &self.root,
            folder: &self.folder,
            bounds: BOUNDS,
        };
        let mut gateways = Vec::new();
        for (number, (zone, store)) in (1..).zip(zones) {
            let mut gateway = deployment.gateway(number, zone, *store)?;
            gateway.start()?;
            self.record
                .note(&format!("gateway {} starts", gateway.name));
            gateways.push(gateway);
        }
        for gateway in &gateways {
            if !gateway.wait_until_ready(Duration::from_secs(10)) {
                return Err(io::Error::other(format!("{} is not ready", gateway.name)));
            }
        }
        thread::sleep(Duration::from_millis(500));
        Ok(gateways)
    }

    /// Lets the store serve a machine again after `shut`, and leaves after `cut`, whatever the case does
    /// meanwhile.
    fn heal_later(&self, store: &Store, shut: Duration, leaves: &[Leaf], cut: Duration) {
        let (record, store, leaves) = (Arc::clone(&self.record), store.clone(), leaves.to_vec());
        thread::spawn(move || {
            thread::sleep(shut);
            store.set_shut(false);
            record.note("the store serves the machine again");
            thread::sleep(cut.saturating_sub(shut));
            for leaf in &leaves {
                leaf.faults.cut.lock().unwrap().clear();
                leaf.faults.cut_new.lock().unwrap().clear();
            }
            record.note("the machine reaches the leaves again");
        });
    }

    /// Says something on standard output and in the record.
    fn say(&self, text: &str) {
        println!("{text}");
        self.record.note(text);
    }
}
