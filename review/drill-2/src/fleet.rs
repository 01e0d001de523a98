//! Gateways as separate processes, started as the deploy file says.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;

pub const SIGCONT: i32 = 18;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// What the settings of a gateway say, besides its addresses.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Lines that are added to the section of the bounds.
    pub bounds: String,
    pub memory_mb: u64,
    pub max_fds: u64,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            bounds: String::new(),
            memory_mb: 260,
            max_fds: 4100,
        }
    }
}

/// A gateway process.
pub struct Gateway {
    pub name: String,
    pub ip: IpAddr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Writes the settings of a gateway, as the template of the deploy file gives them, and starts it.
    /// Each gateway has an address of its own, by which leaves tell the VMs apart.
    pub fn start(
        root: &Path,
        folder: &Path,
        (name, zone): (&str, &str),
        number: u8,
        store: SocketAddr,
        terms: &Terms,
    ) -> Gateway {
        let third = (std::process::id() % 200) as u8 + 20;
        let ip = Ipv4Addr::new(127, 83, third, number);
        let [front, ready, peer, metrics] = free_ports(ip);
        let settings = folder.join(format!("{name}.ini"));
        let (bounds, memory_mb, max_fds) = (&terms.bounds, terms.memory_mb, terms.max_fds);
        let text = format!(
            "[gateway]\nname = {name}\nfailure_domain = {zone}\nfirst_start = true\n\
             callers = {front}\nready = {ready}\nmetrics = {metrics}\npeer_listen = {peer}\n\
             processor_share = 0.25\nregions = za=r,zb=r,zc=r\nsource = {ip}\n\n\
             [platform]\naddress = {store}\n\n\
             [bounds]\nleaving_ms = 3000\napply_ms = 3000\n{bounds}\n\
             [limits]\nmemory_mb = {memory_mb}\nmax_fds = {max_fds}\n"
        );
        fs::write(&settings, text).expect("the settings can be written");
        let mut gateway = Gateway {
            name: name.to_string(),
            ip: ip.into(),
            front,
            ready,
            log: folder.join(format!("{name}.log")),
            settings,
            root: root.to_path_buf(),
            child: None,
        };
        gateway.spawn();
        gateway
    }

    /// Starts the process.
    pub fn spawn(&mut self) {
        let open = |file: &PathBuf| {
            let file = File::options().create(true).append(true).open(file);
            Stdio::from(file.expect("the log can be written"))
        };
        let child = Command::new("target/release/geraniummount")
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .current_dir(&self.root)
            .env("GERANIUMMOUNT_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(open(&self.log))
            .stderr(open(&self.log))
            .spawn();
        self.child = Some(child.expect("the gateway can be started"));
    }

    /// Sends a signal to the process, unless it has ended.
    pub fn signal(&mut self, signal: i32) {
        if self.ended().is_none()
            && let Some(child) = &self.child
        {
            // SAFETY: the process is a child that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns how the process has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Waits until the gateway is ready; returns whether it is.
    pub fn wait_ready(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until && self.ended().is_none() {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut connection = Connection::new(stream);
        let asked = connection.write("GET /api/ready HTTP/1.1", &[("Host", "ready")], b"");
        asked.is_ok()
            && connection
                .read_head()
                .is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns the last lines of the log that contain a text.
    pub fn log_lines(&self, text: &str, most: usize) -> Vec<String> {
        let log = fs::read(&self.log).unwrap_or_default();
        let log = String::from_utf8_lossy(&log).into_owned();
        let lines: Vec<&str> = log.lines().filter(|line| line.contains(text)).collect();
        let first = lines.len().saturating_sub(most);
        lines[first..].iter().map(|line| line.to_string()).collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.signal(SIGKILL);
        if let Some(child) = &mut self.child {
            let _ = child.wait();
        }
    }
}

/// Finds four free ports of an address.
fn free_ports(ip: Ipv4Addr) -> [SocketAddr; 4] {
    let listeners = [(); 4].map(|()| TcpListener::bind((ip, 0)).expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address"))
}
