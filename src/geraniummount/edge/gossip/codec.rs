//! Encodes and decodes gossip messages as packed Cap'n Proto.
//!
//! A message contains records of VMs and notices. A notice states whether a leaf is draining (it
//! finishes its work and takes no new requests) according to one source: the leaf, its health
//! endpoint or the platform's membership list. An incarnation is a number that a VM raises with
//! each start and each refuted suspicion. A revision is a position in the log of all accepted
//! changes of the configuration. [`Message`] documents all fields.

use std::net::{IpAddr, SocketAddr};

use capnp::Error;
use capnp::message::{Builder, ReaderOptions};
use capnp::serialize_packed;

use crate::core::gossip::{
    Body, MAX_COUNTER, MAX_MESSAGE_NOTICES, MAX_MESSAGE_VMS, Message, Notice, Source,
};
use crate::core::vm::State;
use crate::gossip_capnp as wire;
use crate::prelude::*;

/// Maximum size of a datagram in 8-byte words, after it was unpacked.
const MAX_UNPACKED_WORDS: usize = 8 * 1024;

/// Encodes a message, whatever its length.
pub(super) fn encode(message: &Message) -> Result<Vec<u8>, Error> {
    let mut builder = Builder::new_default();
    let mut root = builder.init_root::<wire::message::Builder<'_>>();
    write_vm(root.reborrow().init_from(), &message.from);
    let count = message.vms.len() as u32;
    let mut vms = root.reborrow().init_vms(count);
    for (index, vm) in (0..count).zip(&message.vms) {
        write_vm(vms.reborrow().get(index), vm);
    }
    let count = message.notices.len() as u32;
    let mut notices = root.reborrow().init_notices(count);
    for (index, notice) in (0..count).zip(&message.notices) {
        write_notice(notices.reborrow().get(index), notice);
    }
    root.set_digest(message.digest);
    write_body(root.init_body(), message.body);
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, &builder)?;
    Ok(bytes)
}

/// Decodes a message. VMs and notices beyond the maximum numbers are ignored.
pub(super) fn decode(bytes: &[u8]) -> Result<Message, Error> {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_UNPACKED_WORDS));
    let reader = serialize_packed::read_message(bytes, options)?;
    let root = reader.get_root::<wire::message::Reader<'_>>()?;
    let vms = root.get_vms()?.iter().take(MAX_MESSAGE_VMS).map(read_vm);
    let notices = root
        .get_notices()?
        .iter()
        .take(MAX_MESSAGE_NOTICES)
        .map(read_notice);
    Ok(Message {
        from: read_vm(root.get_from()?)?,
        body: read_body(root.get_body())?,
        digest: root.get_digest(),
        vms: vms.collect::<Result<_, _>>()?,
        notices: notices.collect::<Result<_, _>>()?,
    })
}

fn write_vm(mut builder: wire::vm::Builder<'_>, vm: &Vm) {
    builder.set_name(&vm.name);
    builder.set_failure_domain(&vm.failure_domain);
    builder.set_ip(&ip_bytes(vm.peer_address.ip()));
    builder.set_port(vm.peer_address.port());
    builder.set_incarnation(vm.incarnation);
    builder.set_state(match vm.state {
        State::Live => wire::State::Live,
        State::Suspect => wire::State::Suspect,
        State::Leaving => wire::State::Leaving,
        State::Dead => wire::State::Dead,
    });
    builder.set_revision(vm.revision);
}

fn read_vm(reader: wire::vm::Reader<'_>) -> Result<Vm, Error> {
    Ok(Vm {
        name: reader.get_name()?.to_string()?,
        failure_domain: reader.get_failure_domain()?.to_string()?,
        peer_address: read_address(reader.get_ip()?, reader.get_port())?,
        incarnation: read_counter(reader.get_incarnation())?,
        state: match reader.get_state()? {
            wire::State::Live => State::Live,
            wire::State::Suspect => State::Suspect,
            wire::State::Leaving => State::Leaving,
            wire::State::Dead => State::Dead,
        },
        revision: read_counter(reader.get_revision())?,
    })
}

fn write_notice(mut builder: wire::notice::Builder<'_>, notice: &Notice) {
    builder.set_leaf(&notice.leaf);
    builder.set_version(notice.version);
    builder.set_draining(notice.draining);
    builder.set_source(match notice.source {
        Source::Health => wire::Source::Health,
        Source::Leaf => wire::Source::Leaf,
        Source::Members => wire::Source::Members,
    });
}

fn read_notice(reader: wire::notice::Reader<'_>) -> Result<Notice, Error> {
    Ok(Notice {
        leaf: reader.get_leaf()?.to_string()?,
        source: match reader.get_source()? {
            wire::Source::Health => Source::Health,
            wire::Source::Leaf => Source::Leaf,
            wire::Source::Members => Source::Members,
        },
        version: read_counter(reader.get_version())?,
        draining: reader.get_draining(),
    })
}

fn write_body(mut builder: wire::message::body::Builder<'_>, body: Body) {
    match body {
        Body::Ping { probe } => builder.set_ping(probe),
        Body::Ack { probe } => builder.set_ack(probe),
        Body::PingRequest { probe, target } => {
            let mut request = builder.init_ping_request();
            request.set_probe(probe);
            request.set_ip(&ip_bytes(target.ip()));
            request.set_port(target.port());
        }
        Body::Join => builder.set_join(()),
        Body::Push => builder.set_push(()),
    }
}

fn read_body(reader: wire::message::body::Reader<'_>) -> Result<Body, Error> {
    Ok(match reader.which()? {
        wire::message::body::Ping(probe) => Body::Ping { probe },
        wire::message::body::Ack(probe) => Body::Ack { probe },
        wire::message::body::PingRequest(request) => Body::PingRequest {
            probe: request.get_probe(),
            target: read_address(request.get_ip()?, request.get_port())?,
        },
        wire::message::body::Join(()) => Body::Join,
        wire::message::body::Push(()) => Body::Push,
    })
}

/// Checks an incarnation or a revision of a VM, or the version of a notice. Fails if it exceeds
/// [`MAX_COUNTER`].
fn read_counter(counter: u64) -> Result<u64, Error> {
    if counter > MAX_COUNTER {
        return Err(Error::failed(format!(
            "counter {counter} exceeds the maximum of {MAX_COUNTER}"
        )));
    }
    Ok(counter)
}

fn ip_bytes(ip: IpAddr) -> Vec<u8> {
    match ip {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    }
}

fn read_address(ip: &[u8], port: u16) -> Result<SocketAddr, Error> {
    let v4 = <[u8; 4]>::try_from(ip).map(IpAddr::from);
    let ip = v4.or_else(|_| <[u8; 16]>::try_from(ip).map(IpAddr::from));
    let ip = ip.map_err(|_| Error::failed("IP address does not have 4 or 16 bytes".to_string()))?;
    Ok(SocketAddr::new(ip, port))
}
