//! Processor time of a gateway for each part of a query over many shards.
//!
//! Real sockets on loopback: one gateway, a leaf for each shard, one caller.
//! The kernel's time is part of the figure.

use std::error::Error;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use geraniummount::core::placement::Start;
use geraniummount::edge::gateway::{Gateway, Options, Update};
use geraniummount_test_support::platform::users::{Leaf, Store};
use serde_json::{Value, json};

/// Shards of a query.
const SHARDS: usize = 90;

/// Queries before the measured ones.
const WARM_UP: usize = 50;

/// Queries that are measured.
const QUERIES: usize = 500;

/// Bytes of a part: 25 records.
const PART_BYTES: usize = 400;

/// Longest wait for the gateway to know its leaves.
const PATIENCE: Duration = Duration::from_secs(20);

/// Name of the gateway's thread, by which its processor time is found.
const THREAD: &str = "bench-gateway";

fn main() -> Result<(), Box<dyn Error>> {
    let store = Store::start();
    let shards: Vec<String> = (0..SHARDS).map(|shard| format!("shard-{shard}")).collect();
    store.put("op/config", document(&shards));
    let part = vec![7; PART_BYTES];
    let leaves: Vec<Leaf> = shards
        .iter()
        .map(|shard| Leaf::start(&store, shard, "near", &part))
        .collect();
    let options = Options {
        name: "vm1".to_string(),
        domain: "near".to_string(),
        start: Start::First,
        callers: free_address()?,
        ready: free_address()?,
        metrics: None,
        store: store.address(),
        linger: Duration::from_millis(200),
        drain: Duration::from_secs(10),
        leaving: Duration::from_secs(3),
        apply: Duration::from_secs(3),
    };
    let callers = options.callers;
    let gateway = Gateway::bind(options)?;
    let sender = gateway.sender();
    let running = thread::Builder::new().name(THREAD.to_string());
    let running = running.spawn(move || gateway.run())?;
    let mut caller = connect(callers)?;
    let end = Instant::now() + PATIENCE;
    while query(&mut caller)? != 200 {
        if Instant::now() > end {
            return Err("the gateway did not serve in time".into());
        }
        thread::sleep(Duration::from_millis(20));
    }
    for _ in 0..WARM_UP {
        query(&mut caller)?;
    }
    let before = processor_time()?;
    for _ in 0..QUERIES {
        assert_eq!(query(&mut caller)?, 200);
    }
    let spent = processor_time()?.saturating_sub(before);
    let parts = u32::try_from(QUERIES * SHARDS)?;
    println!(
        "{QUERIES} queries over {SHARDS} shards: {:.2} us of processor time a part",
        (spent / parts).as_secs_f64() * 1e6
    );
    sender.send(Update::Stop);
    running.join().map_err(|_| "the gateway panicked")??;
    drop(leaves);
    Ok(())
}

/// The processor time of the gateway's thread.
fn processor_time() -> Result<Duration, Box<dyn Error>> {
    for task in std::fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        let name = std::fs::read_to_string(path.join("comm"))?;
        if name.trim() == THREAD {
            let schedule = std::fs::read_to_string(path.join("schedstat"))?;
            let nanos = schedule.split(' ').next().ok_or("no processor time")?;
            return Ok(Duration::from_nanos(nanos.parse()?));
        }
    }
    Err("the gateway's thread is not there".into())
}

fn connect(address: SocketAddr) -> Result<TcpStream, Box<dyn Error>> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    Ok(stream)
}

/// Sends a query and reads its answer; returns the status.
fn query(caller: &mut TcpStream) -> Result<u16, Box<dyn Error>> {
    caller.write_all(
        b"GET /all/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: 9c41d07be2a35f68\r\n\
          Deadline-Ms: 2000\r\n\r\n",
    )?;
    let mut answer = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        let count = caller.read(&mut chunk)?;
        if count == 0 {
            return Err("the gateway closed the connection".into());
        }
        answer.extend_from_slice(&chunk[..count]);
        let text = String::from_utf8_lossy(&answer);
        let Some((head, _)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let lines = head.lines().filter_map(|line| line.split_once(": "));
        let mut lengths = lines.filter(|(name, _)| *name == "Content-Length");
        let length: usize = lengths.next().ok_or("no length")?.1.parse()?;
        if answer.len() >= head.len() + 4 + length {
            return Ok(head.split(' ').nth(1).ok_or("no status")?.parse()?);
        }
    }
}

fn document(shards: &[String]) -> String {
    let services = shards.iter().map(|shard| {
        json!({"name": shard, "healthPath": "/health", "maxConns": 57,
               "protocol": "h1", "tls": false})
    });
    let services: Vec<Value> = services.collect();
    json!({
        "version": 1, "services": services,
        "routes": [{"name": "all", "host": "shop.example", "prefix": "/all/",
                    "type": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 2000,
                    "priority": 1, "gather": shards, "attempts": 2, "topK": 20,
                    "minCoverage": 1.0}],
        "limits": {"maxHeaderBytes": 2048, "maxBodyBytes": 4096,
                   "headerTimeoutMs": 1000, "idleTimeoutMs": 10_000},
    })
    .to_string()
}

fn free_address() -> Result<SocketAddr, Box<dyn Error>> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}
