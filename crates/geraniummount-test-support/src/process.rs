//! Starts and stops real geraniummount processes for benchmarks, without proxies between them.

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
/// Time within which a process has to reach the state that is waited for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the path of a program from the build of the running test or benchmark.
///
/// Cargo puts programs one directory above the directory of test executables.
pub fn binary_path(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("cannot read the path of the running executable");
    let folder = test
        .ancestors()
        .nth(2)
        .expect("the running executable is not inside a build directory");
    folder.join(name)
}

/// A running process; dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    ip: IpAddr,
}

impl Process {
    /// Starts VM `index` in failure domain `d1` and waits until it reports its state.
    /// VMs 0 and 1 are the first peers of every VM, through which it joins the fleet.
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

    /// Returns a client for the process's HTTP server for callers.
    pub fn caller(&self) -> Client {
        Client::new(SocketAddr::new(self.ip, CALLER_PORT))
    }

    /// Returns a client for the process's HTTP server for operators.
    pub fn operator(&self) -> Client {
        Client::new(SocketAddr::new(self.ip, OPERATOR_PORT))
    }

    /// Writes a resource through the operator API; panics unless the request succeeds.
    pub fn put(&self, operator: &Client, path: &str, spec: &Value) {
        let path = format!("/v1/resources/{path}");
        let body = spec.to_string();
        let reply = operator.call("PUT", &path, &[], body.as_bytes()).unwrap();
        assert!(reply.is_success(), "{path}: {reply:?}");
    }

    /// Waits until the process's `/v1/state` meets a condition; panics after two minutes.
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
        panic!(
            "process at {} did not reach the expected state in time",
            self.ip
        );
    }

    /// Returns the resources that the process has used so far.
    pub fn usage(&self) -> Usage {
        Usage::of(self.child.id())
    }

    /// Returns the sum of all metrics whose line begins with `name`: a counter over its labels.
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
        // This fails only when the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the loopback address of VM `index`.
fn vm_ip(index: u16) -> IpAddr {
    let [high, low] = (index + 1).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 9, high, low))
}
