//! Thread that reads from the store how new the configuration is. It has a connection of its own, as
//! a watch occupies that of the thread that watches the store for up to half a minute.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;

use log::debug;

use super::Event;
use crate::core::key_lease::Read;
use crate::core::store::freshness::Freshness;
use crate::edge::boot_clock;
use crate::edge::gateway::update::{Sender, Update};
use crate::platform::{self, Error, Store};

/// What is read.
#[derive(Clone, Copy, Debug)]
pub(super) enum Target {
    /// The store's revision, with an answer of some bytes.
    Revision,
    /// The revision at which the configuration was last changed, with the configuration.
    Document,
}

/// Starts the thread, which ends with the returned channel. Each message makes it read once.
pub(super) fn start(store: SocketAddr, sender: &Sender) -> io::Result<mpsc::Sender<Target>> {
    let (requests, receiver) = mpsc::channel();
    let sender = sender.clone();
    let thread = thread::Builder::new().name("keys".to_string());
    thread.spawn(move || run(Store::new(store), &sender, &receiver))?;
    Ok(requests)
}

fn run(mut store: Store, sender: &Sender, requests: &mpsc::Receiver<Target>) {
    while let Ok(target) = requests.recv() {
        let event = match (read(&mut store, target), target) {
            (Ok(read), Target::Revision) => Event::Read(read),
            (Ok(read), Target::Document) => Event::DocumentRead(read),
            (Err(error), _) => {
                debug!("keys event=not-read error={:?}", error.to_string());
                Event::NotRead
            }
        };
        if !sender.send(Update::Keys(event)) {
            return;
        }
    }
}

fn read(store: &mut Store, target: Target) -> Result<Read, Error> {
    let began = boot_clock::now()?;
    let (era, revision) = match target {
        Target::Revision => store.current_revision()?,
        Target::Document => {
            let page = store.range(platform::DOCUMENT_KEY, None, Freshness::Current)?;
            let mut items = page.items.iter();
            let document = items.find(|item| item.key == platform::DOCUMENT_KEY);
            let document = document.ok_or(Error::Malformed("it lacks the configuration".into()))?;
            (page.era, document.revision)
        }
    };
    Ok(Read {
        began,
        era: era.unwrap_or_default(),
        revision,
    })
}
