//! MIXED: clients ask for heads (the method HEAD) on connections that they keep, while all leaves of
//! the service are down.

use crate::Verdict;
use crate::http::Connection;
use crate::leaf::Manner;
use crate::machine::{Bounds, new_id};
use crate::record::Record;
use crate::scene::{LIMITS, Scene, services};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time for which the leaves are down.
const DOWN: Duration = Duration::from_millis(4_500);
/// Time for which clients send requests.
const TIME: Duration = Duration::from_millis(7_500);
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(250);
const CLIENTS: usize = 4;

/// What a client has got.
#[derive(Default)]
struct Got {
    answers: usize,
    /// Connections on which bytes came that are no answer.
    spoilt: usize,
}

fn document() -> String {
    let services = services(&["cert", "billing"]);
    let route = |name: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"desk.example\",\"prefix\":\"/{name}/\",\
             \"type\":\"idempotent\",\"timeoutMs\":4000,\"targetLatencyMs\":400,\"priority\":2,\
             \"attempts\":2,\"backend\":\"{name}\"}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{services}],\"limits\":{LIMITS}}}",
        route("cert"),
        route("billing")
    )
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let bounds = Bounds {
        drain_ms: 3_000,
        config_apply_ms: 3_000,
        revoke_ms: None,
        zones: "arusha-a=arusha".to_string(),
    };
    let mut scene = Scene::new(record, &bounds, &["arusha-a", "arusha-a"]);
    for service in ["cert", "billing"] {
        for number in 1..=2 {
            scene.add_leaf(Manner {
                service: service.to_string(),
                id: format!("i-{service}-{number}"),
                zone: "arusha-a".to_string(),
                slots: 8,
                queue: 32,
                work: Duration::from_millis(20),
            });
        }
    }
    scene.configure(&document());
    if !scene.start() {
        return Verdict::NotRun("machines are not ready".to_string());
    }
    thread::sleep(Duration::from_secs(2));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, (name, front)) = (Arc::clone(record), scene.front(number % 2));
            thread::spawn(move || run_client(&record, &name, front))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    if trouble {
        record.say("all leaves of the service cert crash");
        scene
            .leaves
            .iter()
            .filter(|leaf| leaf.manner.service == "cert")
            .for_each(|leaf| leaf.crash());
    }
    thread::sleep(DOWN);
    if trouble {
        record.say("leaves of the service cert are started again");
        for number in 3..=4 {
            scene.add_leaf(Manner {
                service: "cert".to_string(),
                id: format!("i-cert-{number}"),
                ..scene.leaves[0].manner.clone()
            });
        }
    }
    let mut all = Got::default();
    for client in clients {
        let got = client.join().unwrap_or_default();
        all.answers += got.answers;
        all.spoilt += got.spoilt;
    }
    record.say(format!(
        "{} answers; bytes that are no answer on {} connections, 0 are allowed",
        all.answers, all.spoilt
    ));
    match all.spoilt > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Sends a HEAD to one service and a GET to the other in turn, on a connection that is kept as long as
/// the machine keeps it.
fn run_client(record: &Record, machine: &str, front: SocketAddr) -> Got {
    let mut got = Got::default();
    let end = Instant::now() + TIME;
    while Instant::now() < end {
        let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(4_500)));
        let mut connection = Connection::new(stream);
        let mut is_head = true;
        while Instant::now() < end {
            match exchange(record, machine, &mut connection, is_head) {
                Ok(true) => got.answers += 1,
                Ok(false) => {
                    got.spoilt += 1;
                    break;
                }
                Err(error) => {
                    record.add(format!("client of {machine}: connection ends: {error}"));
                    break;
                }
            }
            is_head = !is_head;
            thread::sleep(PAUSE);
        }
    }
    got
}

/// Sends a request and reads the answer; returns whether it is one.
fn exchange(
    record: &Record,
    machine: &str,
    connection: &mut Connection,
    is_head: bool,
) -> io::Result<bool> {
    let id = new_id();
    let (method, path) = if is_head {
        ("HEAD", "/cert/")
    } else {
        ("GET", "/billing/")
    };
    let fields = [
        ("Host", "desk.example".to_string()),
        ("Request-Id", id.clone()),
        ("Deadline-Ms", "4000".to_string()),
    ];
    record.add(format!("client sends {method} {path}{id} to {machine}"));
    connection.request(method, &format!("{path}{id}"), &fields, b"")?;
    let answer = if is_head {
        connection.read_without_body()?
    } else {
        connection.read()?
    };
    let Some(answer) = answer else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    if answer
        .first
        .first()
        .is_some_and(|word| word.starts_with("HTTP/1."))
    {
        record.add(format!("client gets {} for {id}", answer.status()));
        let ahead = String::from_utf8_lossy(connection.ahead()).into_owned();
        if !ahead.is_empty() {
            record.add(format!(
                "after the answer to {id} stand the bytes {ahead:?}"
            ));
        }
        return Ok(true);
    }
    let first = answer.first.join(" ");
    record.add(format!(
        "client of {machine}: in place of an answer to {method} {id} come the bytes {first:?}"
    ));
    Ok(false)
}
