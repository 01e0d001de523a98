//! Runs one VM as a real process, with its addresses and proxies.

use std::fs::File;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use super::wait_until;
use crate::proxy::{Proxy, free_ports};

/// Number of bytes at the end of a log that are printed when a test fails.
const MAX_PRINTED_LOG_BYTES: usize = 16 * 1024;

/// Log filter of the processes: debug lines of geraniummount, and only warnings of libraries.
const LOG_FILTER: &str = "warn,geraniummount=debug";

/// A VM of a fleet.
#[derive(Debug)]
pub struct Vm {
    /// Name of the VM, as in its settings.
    pub name: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Address of the callers' listener.
    pub caller: SocketAddr,
    /// Address of the operators' listener.
    pub operator: SocketAddr,
    /// Proxy between the VM's peers and its peer listener.
    pub peer_proxy: Proxy,
    /// Proxy between the VM and the platform (key-value service and membership list).
    pub platform_proxy: Proxy,
    /// IP address of its listeners and source address of its calls to peers.
    pub ip: IpAddr,
    peer_listen: SocketAddr,
    child: Option<Child>,
    log: PathBuf,
    state: State,
}

/// State of a VM's process after the fleet's last action on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Prepared,
    Running,
    Frozen,
    Stopping,
    Ended,
}

impl Vm {
    /// Assigns a VM its addresses and starts its proxies, without starting its process.
    pub(super) fn prepare(
        name: &str,
        failure_domain: &str,
        (ip, proxy_ip): (IpAddr, IpAddr),
        platform: SocketAddr,
        seed: u64,
    ) -> io::Result<Vm> {
        let [peer_listen, caller, operator] = free_ports(ip)?;
        Ok(Vm {
            name: name.to_string(),
            failure_domain: failure_domain.to_string(),
            caller,
            operator,
            peer_proxy: Proxy::start(proxy_ip, peer_listen, seed)?,
            platform_proxy: Proxy::start(proxy_ip, platform, seed)?,
            ip,
            peer_listen,
            child: None,
            log: PathBuf::new(),
            state: State::Prepared,
        })
    }

    /// Writes the VM's settings to `dir` and starts its process, with its log in `dir`.
    pub(super) fn launch(
        &mut self,
        binary: &Path,
        dir: &Path,
        first_peers: &[SocketAddr],
        extra_settings: &str,
    ) -> io::Result<()> {
        let settings = dir.join(format!("{}.ini", self.name));
        std::fs::write(&settings, self.settings(first_peers) + extra_settings)?;
        self.log = dir.join(format!("{}.log", self.name));
        let log = File::create(&self.log)?;
        let child = Command::new(binary)
            .arg("serve")
            .arg("--settings")
            .arg(&settings)
            .env("RUST_LOG", LOG_FILTER)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.state = State::Running;
        Ok(())
    }

    fn settings(&self, first_peers: &[SocketAddr]) -> String {
        let peers: Vec<String> = first_peers.iter().map(SocketAddr::to_string).collect();
        format!(
            "[node]\nname = {}\nfailure_domain = {}\npeer_listen = {}\npeer_advertise = {}\n\
             first_peers = {}\n\n[caller]\nlisten = {}\n\n[operator]\nlisten = {}\n\n\
             [platform]\naddress = {}\n\n[log]\nlevel = debug\n\n",
            self.name,
            self.failure_domain,
            self.peer_listen,
            self.peer_proxy.address(),
            peers.join(", "),
            self.caller,
            self.operator,
            self.platform_proxy.address(),
        )
    }

    pub(super) fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            // Killing fails only if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
        self.child = None;
        self.state = State::Ended;
    }

    pub(super) fn freeze(&mut self) {
        self.signal(Signal::STOP);
        self.state = State::Frozen;
    }

    pub(super) fn thaw(&mut self) {
        self.signal(Signal::CONT);
        self.state = State::Running;
    }

    pub(super) fn terminate(&mut self) {
        self.signal(Signal::TERM);
        self.state = State::Stopping;
    }

    pub(super) fn wait_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let child = self.child.as_mut()?;
        let mut status = None;
        wait_until(timeout, || {
            status = child.try_wait().ok().flatten();
            status.is_some()
        });
        if status.is_some() {
            self.child = None;
            self.state = State::Ended;
        }
        status
    }

    /// Returns whether the process was started and has since not been frozen, stopped or killed by
    /// the fleet. A process that exited by itself still counts as running.
    pub fn is_running(&self) -> bool {
        self.state == State::Running
    }

    /// Returns whether VMs that start list this VM in `first_peers`, the peers through which they
    /// join the fleet.
    pub(super) fn is_first_peer(&self) -> bool {
        !matches!(self.state, State::Ended | State::Stopping)
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.state == State::Stopping
    }

    /// Returns the id of the process, or `None` while there is none.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns what the process has logged until now.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub(super) fn print_log(&self) {
        let log = self.log();
        let start = log.len().saturating_sub(MAX_PRINTED_LOG_BYTES);
        let tail = log.get(start..).unwrap_or(&log);
        eprintln!("---- log of {} ({:?})\n{tail}", self.name, self.state);
    }

    fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("VM has no process");
        let pid = Pid::from_child(child);
        kill_process(pid, signal).expect("VM's process can't be signalled");
    }
}
