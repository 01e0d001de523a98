//! Measures a gateway's processor time per part of a query over many shards, and the share of it
//! that logging takes.
//!
//! Uses real sockets on loopback: one gateway, one leaf for each shard and one caller. The figures
//! include the time spent in the kernel.

use std::error::Error;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use geraniummount::core::placement::{Policy, Start};
use geraniummount::edge::gateway::{Gateway, Options, Update};
use geraniummount::ops::logs::start_structured;
use geraniummount_test_support::platform::users::caller::Request;
use geraniummount_test_support::platform::users::document::{
    DOCUMENT_KEY, Gather, document, gather_route,
};
use geraniummount_test_support::platform::users::{Leaf, Store};
use log::LevelFilter;

/// Number of shards of a query.
const SHARD_COUNT: usize = 90;

/// Number of queries before the measured ones.
const WARM_UP_QUERIES: usize = 50;

/// Number of consecutive queries measured without logs, and then with logs, in each round.
const QUERIES_PER_ROUND: usize = 200;

/// Number of rounds.
const ROUND_COUNT: usize = 5;

/// Maximum share of the processor time that logging may take at full load.
const MAX_LOG_SHARE: f64 = 0.05;

/// Size of a part with 25 records.
const PART_BYTES: usize = 400;

/// Deadline that the caller gives with a query.
const DEADLINE: Duration = Duration::from_secs(2);

/// Maximum wait for the gateway to discover its leaves, and for each read of an answer.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Name of the gateway's thread.
const GATEWAY_THREAD: &str = "bench-gateway";

/// Names of the threads whose processor time is measured.
const MEASURED_THREADS: [&str; 2] = [GATEWAY_THREAD, "log"];

fn main() -> Result<(), Box<dyn Error>> {
    let store = Store::start();
    let shards: Vec<String> = (0..SHARD_COUNT)
        .map(|shard| format!("shard-{shard}"))
        .collect();
    store.put(DOCUMENT_KEY, configuration(&shards));
    let part = vec![7; PART_BYTES];
    let leaves: Vec<Leaf> = shards
        .iter()
        .map(|shard| Leaf::start(&store, shard, "near", &part))
        .collect();
    let options = Options {
        name: "vm1".to_string(),
        failure_domain: "near".to_string(),
        start: Start::First,
        callers: free_address()?,
        ready: free_address()?,
        metrics: None,
        peer_listen: None,
        source: None,
        store: store.address(),
        max_reply_bytes: 4 * 1024 * 1024,
        linger: Duration::from_millis(200),
        drain: Duration::from_secs(10),
        leaving: Duration::from_secs(3),
        apply: Duration::from_secs(3),
        regions: Vec::new(),
        revoke: None,
        evacuate: Options::DEFAULT_EVACUATE,
        quota_window: Options::DEFAULT_QUOTA_WINDOW,
        quota_tolerance: Options::DEFAULT_QUOTA_TOLERANCE,
        cold_tolerance: Options::DEFAULT_COLD_TOLERANCE,
        placement: Policy::Latency,
        millicores: 0,
        memory_bytes: None,
        max_descriptors: None,
    };
    let callers = options.callers;
    let gateway = Gateway::bind(options)?;
    let sender = gateway.sender();
    let running = thread::Builder::new().name(GATEWAY_THREAD.to_string());
    let running = running.spawn(move || gateway.run())?;
    let mut caller = connect(callers)?;
    let end = Instant::now() + WAIT_TIMEOUT;
    while query(&mut caller)? != 200 {
        if Instant::now() > end {
            return Err(
                "the gateway did not answer a query with 200 within the wait timeout".into(),
            );
        }
        thread::sleep(Duration::from_millis(20));
    }
    for _ in 0..WARM_UP_QUERIES {
        query(&mut caller)?;
    }
    let outcome = compare(&mut caller);
    sender.send(Update::Stop);
    running.join().map_err(|_| "the gateway panicked")??;
    drop(leaves);
    outcome
}

/// Measures queries with and without logs, and prints the share of the processor time that logging
/// takes.
///
/// # Errors
///
/// Fails if the share exceeds [`MAX_LOG_SHARE`] or a query fails.
fn compare(caller: &mut TcpStream) -> Result<(), Box<dyn Error>> {
    start_structured(LevelFilter::Info, "vm1");
    let mut without_logs = Duration::ZERO;
    let mut with_logs = Duration::ZERO;
    for _ in 0..ROUND_COUNT {
        log::set_max_level(LevelFilter::Off);
        without_logs += measure(caller)?;
        log::set_max_level(LevelFilter::Info);
        with_logs += measure(caller)?;
    }
    let parts = u32::try_from(ROUND_COUNT * QUERIES_PER_ROUND * SHARD_COUNT)?;
    let share = with_logs.saturating_sub(without_logs).as_secs_f64() / with_logs.as_secs_f64();
    eprintln!(
        "{} queries over {SHARD_COUNT} shards: {:.2} us of processor time a part without logs, \
         {:.2} us with; logs take {:.1}% (at most {:.0}%)",
        ROUND_COUNT * QUERIES_PER_ROUND,
        (without_logs / parts).as_secs_f64() * 1e6,
        (with_logs / parts).as_secs_f64() * 1e6,
        share * 100.0,
        MAX_LOG_SHARE * 100.0,
    );
    if share > MAX_LOG_SHARE {
        return Err("logging takes a larger share of the processor time than allowed".into());
    }
    Ok(())
}

/// Runs [`QUERIES_PER_ROUND`] queries and returns the processor time that the gateway spends.
fn measure(caller: &mut TcpStream) -> Result<Duration, Box<dyn Error>> {
    let before = processor_time()?;
    for _ in 0..QUERIES_PER_ROUND {
        assert_eq!(query(caller)?, 200);
    }
    Ok(processor_time()?.saturating_sub(before))
}

/// Returns the processor time used by the gateway's threads, including the thread that writes logs.
fn processor_time() -> Result<Duration, Box<dyn Error>> {
    let mut total = Duration::ZERO;
    for task in std::fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        // The thread of a leaf may have ended after the directory was listed.
        let name = std::fs::read_to_string(path.join("comm")).unwrap_or_default();
        if MEASURED_THREADS.contains(&name.trim()) {
            let schedule = std::fs::read_to_string(path.join("schedstat"))?;
            let nanos = schedule
                .split(' ')
                .next()
                .ok_or("schedstat of a thread has no processor time")?;
            total += Duration::from_nanos(nanos.parse()?);
        }
    }
    Ok(total)
}

fn connect(address: SocketAddr) -> Result<TcpStream, Box<dyn Error>> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
    Ok(stream)
}

/// Sends a query, reads the answer and returns its HTTP status.
fn query(caller: &mut TcpStream) -> Result<u16, Box<dyn Error>> {
    let request = Request {
        id: "9c41d07be2a35f68",
        method: "GET",
        path: "/all/1",
        deadline: DEADLINE,
        body: b"",
    };
    Ok(request.exchange(caller)?.status)
}

fn configuration(shards: &[String]) -> String {
    let shards: Vec<&str> = shards.iter().map(String::as_str).collect();
    let gather = Gather {
        top_k: 20,
        min_coverage: 1.0,
    };
    document(1, &[gather_route("/all/", &shards, gather)], &shards)
}

fn free_address() -> Result<SocketAddr, Box<dyn Error>> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}
