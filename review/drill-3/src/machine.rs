//! A machine: a process of the project, started with the command of the deploy file.

use crate::http::{Connection, Message};
use crate::store::Entrance;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Program and arguments of the deploy file, but for the path of the settings.
const PROGRAM: &str = "target/release/geraniummount";
const ARGUMENTS: [&str; 2] = ["gateway", "--settings"];

/// What all machines of a deployment have in common.
#[derive(Clone)]
pub struct Bounds {
    pub drain_ms: u64,
    pub config_apply_ms: u64,
    pub revoke_ms: Option<u64>,
    /// Zones with their regions.
    pub zones: String,
}

/// A machine.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: IpAddr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    metrics: SocketAddr,
    peers: SocketAddr,
    pub entrance: Entrance,
    bounds: Bounds,
    folder: PathBuf,
    child: Option<Child>,
}

fn free_port(ip: IpAddr) -> SocketAddr {
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().unwrap();
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Machine {
    /// Prepares a machine with the address 127.83.0.`number`.
    pub fn new(
        number: u8,
        zone: &str,
        entrance: Entrance,
        bounds: &Bounds,
        folder: &Path,
    ) -> Machine {
        let ip: IpAddr = format!("127.83.0.{number}").parse().unwrap();
        Machine {
            name: format!("frontend-{zone}-{number}"),
            zone: zone.to_string(),
            ip,
            front: free_port(ip),
            ready: free_port(ip),
            metrics: free_port(ip),
            peers: free_port(ip),
            entrance,
            bounds: bounds.clone(),
            folder: folder.to_path_buf(),
            child: None,
        }
    }

    /// Starts the process, with settings as the template of the deploy file gives them. `source` makes
    /// its connections come from the machine's own address, as on a machine with one address.
    pub fn start(&mut self, is_bootstrap: bool) -> io::Result<()> {
        let path = self.folder.join(format!("{}.ini", self.name));
        let revoke = self
            .bounds
            .revoke_ms
            .map_or(String::new(), |ms| format!("revoke_ms = {ms}\n"));
        let text = format!(
            "[gateway]\nname = {}\nfailure_domain = {}\nfirst_start = {is_bootstrap}\ncallers = {}\n\
             ready = {}\nmetrics = {}\npeer_listen = {}\nprocessor_share = 0.25\nregions = {}\n\
             source = {}\n\n[platform]\naddress = {}\n\n[bounds]\nleaving_ms = {}\napply_ms = {}\n\
             {revoke}evacuate_ms = 5000\nquota_window_s = 5\nquota_over = 0.1\nquota_slack = 20\n\
             cold_over = 1.5\ncold_slack = 5\n\n[limits]\nmemory_mb = 260\nmax_fds = 4100\n",
            self.name,
            self.zone,
            self.front,
            self.ready,
            self.metrics,
            self.peers,
            self.bounds.zones,
            self.ip,
            self.entrance.address,
            self.bounds.drain_ms,
            self.bounds.config_apply_ms,
        );
        std::fs::write(&path, text)?;
        let log_path = self.folder.join(format!("{}.log", self.name));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log_path)?;
        let child = Command::new(PROGRAM)
            .args(ARGUMENTS)
            .arg(&path)
            .env("GERANIUMMOUNT_BOOT", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn get(&self, address: SocketAddr, path: &str) -> io::Result<Message> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_millis(1_000)))?;
        let mut connection = Connection::new(stream);
        connection.request("GET", path, &[("Host", address.to_string())], b"")?;
        connection
            .read()?
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Returns whether the machine says that it is ready.
    pub fn is_ready(&self) -> bool {
        self.get(self.ready, "/api/ready")
            .is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the machine is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns a figure of the machine's metrics.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let answer = self.get(self.metrics, "/metrics").ok()?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let mut lines = text.lines().filter_map(|line| line.split_once(' '));
        lines
            .find(|(known, _)| *known == name)
            .and_then(|(_, value)| value.parse().ok())
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// Returns a new request id.
pub fn new_id() -> String {
    let number = LAST_ID.fetch_add(1, Ordering::Relaxed) + 1;
    format!("{:08x}{number:08x}", std::process::id())
}

/// A request of a client.
pub struct Ask<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub deadline_ms: u64,
    pub key: Option<&'a str>,
    pub body: &'a [u8],
}

/// Sends a request over a new connection; returns the answer, or `None` if there is no complete one
/// within the deadline.
pub fn send(front: SocketAddr, ask: &Ask<'_>) -> Option<Message> {
    let limit = Duration::from_millis(ask.deadline_ms + 500);
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut connection = Connection::new(stream);
    let mut fields = vec![
        ("Host", ask.host.to_string()),
        ("Request-Id", ask.id.to_string()),
        ("Deadline-Ms", ask.deadline_ms.to_string()),
    ];
    fields.extend(ask.key.map(|key| ("Authorization", format!("Token {key}"))));
    connection
        .request(ask.method, ask.path, &fields, ask.body)
        .ok()?;
    connection.read().ok()?
}
