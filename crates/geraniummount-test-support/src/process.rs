//! A process of the product that a measurement starts and ends, without
//! proxies around it.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::client::Client;
use crate::usage::Usage;

const PEER_PORT: u16 = 7001;
const CALLER_PORT: u16 = 8080;
const OPERATOR_PORT: u16 = 9090;
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns a program of the build to which the running test belongs, which
/// stands in the folder above the test's own.
pub fn binary_path(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test's path");
    let folder = test.ancestors().nth(2).expect("a folder of the build");
    folder.join(name)
}

/// A started process; dropping it ends it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    ip: IpAddr,
}

impl Process {
    /// Starts VM `index` of failure domain `d1`; VMs 0 and 1 are first peers.
    pub fn start(binary: &str, index: u16, platform: SocketAddr, folder: &Path) -> Process {
        let ip = vm_ip(index);
        let settings = folder.join(format!("vm{index}.ini"));
        let text = format!(
            "[node]\nname = vm{index:03}\nfailure_domain = d1\npeer_listen = {ip}:{PEER_PORT}\n\
             first_peers = {}:{PEER_PORT}, {}:{PEER_PORT}\n\
             [caller]\nlisten = {ip}:{CALLER_PORT}\n[operator]\nlisten = {ip}:{OPERATOR_PORT}\n\
             [platform]\naddress = {platform}\n[log]\nlevel = warn\n[limits]\nlinger_ms = 0\n",
            vm_ip(0),
            vm_ip(1),
        );
        std::fs::write(&settings, text).unwrap();
        let log = File::create(folder.join(format!("vm{index}.log"))).unwrap();
        let child = Command::new(binary)
            .args(["serve", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        let process = Process { child, ip };
        process.wait_until(|state| state["vm"].is_string());
        process
    }

    /// Client of the callers' listener.
    pub fn caller(&self) -> Client {
        Client::new(SocketAddr::new(self.ip, CALLER_PORT))
    }

    /// Client of the operators' listener.
    pub fn operator(&self) -> Client {
        Client::new(SocketAddr::new(self.ip, OPERATOR_PORT))
    }

    /// Declares a resource.
    pub fn put(&self, operator: &Client, path: &str, spec: &Value) {
        let path = format!("/v1/resources/{path}");
        let body = spec.to_string();
        let reply = operator.call("PUT", &path, &[], body.as_bytes()).unwrap();
        assert!(reply.is_success(), "{path}: {reply:?}");
    }

    /// Waits until the process's state meets a condition.
    pub fn wait_until(&self, condition: impl Fn(&Value) -> bool) {
        let operator = self.operator();
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end {
            let reply = operator.get("/v1/state");
            if reply.is_ok_and(|reply| condition(&reply.body)) {
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
        panic!("{} did not get there", self.ip);
    }

    /// What the process has used so far.
    pub fn usage(&self) -> Usage {
        Usage::of(self.child.id())
    }

    /// Sum of a counter over its labels.
    pub fn counter(&self, name: &str) -> f64 {
        let reply = self.operator().get("/metrics").unwrap();
        let lines = reply.text.lines().filter(|line| line.starts_with(name));
        lines
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only when the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn vm_ip(index: u16) -> IpAddr {
    let [high, low] = (index + 1).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 9, high, low))
}
