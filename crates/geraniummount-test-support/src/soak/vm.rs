//! Runs a gateway as a separate process.

use std::fs::File;
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Instant;

use rustix::process::{Pid, Signal, kill_process};

use crate::proxy::{Proxy, free_ports};

/// A gateway process and the proxy between it and the store; dropping it kills the process.
#[derive(Debug)]
pub struct Vm {
    /// Address on which the gateway accepts callers.
    pub caller_address: SocketAddr,
    /// Address that its connections to leaves and to other gateways come from.
    pub source: IpAddr,
    /// The proxy between the gateway and the store.
    pub store_proxy: Proxy,
    /// When its process was last started.
    pub started_at: Instant,
    /// When its process was requested to stop; `None` if it was not or after a restart.
    pub stop_requested_at: Option<Instant>,
    binary: PathBuf,
    /// Another build of the program, which the next start runs; `None` if there is none.
    other_binary: Option<PathBuf>,
    /// Whether the process was started before.
    has_run: bool,
    /// Settings file.
    settings: PathBuf,
    /// Log file.
    log: PathBuf,
    child: Option<Child>,
}

impl Vm {
    /// Allocates addresses for a gateway, writes its settings and starts its process.
    pub fn start(
        binary: &Path,
        folder: &Path,
        number: usize,
        domain: &str,
        store: SocketAddr,
        seed: u64,
    ) -> io::Result<Vm> {
        let mut vm = Vm::create(binary, folder, number, domain, store, seed)?;
        vm.launch()?;
        Ok(vm)
    }

    /// Starts a gateway in failure domain `near`, with further sections of its settings.
    pub fn start_with(
        binary: &Path,
        folder: &Path,
        number: usize,
        store: SocketAddr,
        sections: &str,
    ) -> io::Result<Vm> {
        const SEED: u64 = 1;
        let mut vm = Vm::create(binary, folder, number, "near", store, SEED)?;
        vm.add_settings(sections)?;
        vm.launch()?;
        Ok(vm)
    }

    /// Allocates addresses for a gateway and writes its settings.
    pub(super) fn create(
        binary: &Path,
        folder: &Path,
        number: usize,
        domain: &str,
        store: SocketAddr,
        seed: u64,
    ) -> io::Result<Vm> {
        let [caller_address, ready, peer_listen] = free_ports(listen_ip(number).into())?;
        let source = source_ip(number).into();
        let proxy = Proxy::start(Ipv4Addr::LOCALHOST, store, seed)?;
        let settings = folder.join(format!("vm{number}.ini"));
        let text = format!(
            "[gateway]\nname = vm{number}\nfailure_domain = {domain}\ncallers = {caller_address}\n\
             ready = {ready}\npeer_listen = {peer_listen}\nsource = {source}\n[platform]\naddress = {}\n",
            proxy.address()
        );
        std::fs::write(&settings, text)?;
        Ok(Vm {
            caller_address,
            source,
            store_proxy: proxy,
            started_at: Instant::now(),
            stop_requested_at: None,
            binary: binary.to_path_buf(),
            other_binary: None,
            has_run: false,
            settings,
            log: folder.join(format!("vm{number}.log")),
            child: None,
        })
    }

    /// Appends sections to the settings.
    pub(super) fn add_settings(&self, sections: &str) -> io::Result<()> {
        let mut settings = File::options().append(true).open(&self.settings)?;
        settings.write_all(sections.as_bytes())
    }

    /// Lets each further start run the build that the process did not run before.
    pub fn alternate_with(&mut self, other_binary: &Path) {
        self.other_binary = Some(other_binary.to_path_buf());
    }

    /// Starts the process. Its output is appended to the log file.
    pub fn launch(&mut self) -> io::Result<()> {
        let has_run = std::mem::replace(&mut self.has_run, true);
        if let Some(other) = self.other_binary.as_mut().filter(|_| has_run) {
            std::mem::swap(other, &mut self.binary);
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.binary)
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.started_at = Instant::now();
        self.stop_requested_at = None;
        Ok(())
    }

    /// Requests the process to stop (`SIGTERM`).
    pub fn stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Kills the process (`SIGKILL`).
    pub fn kill(&self) {
        self.signal(Signal::KILL);
    }

    /// Suspends the process (`SIGSTOP`).
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process (`SIGCONT`).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests the process to reload its settings (`SIGHUP`).
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Returns the log of all processes that this gateway has run as.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // This fails only when the process has already exited.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Returns the exit status of the process the first time after it has exited.
    pub fn take_exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        self.child = None;
        Some(status)
    }

    /// Returns the id of the process; `None` if its exit status was taken.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns whether the gateway has a process whose exit status was not taken.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }
}

/// Returns the loopback address that a gateway listens on, derived from the id of this process.
///
/// No other gateway on this machine listens on it, and no outgoing connection uses it. A port that
/// was found free therefore stays free until the gateway binds it, also after a restart.
fn listen_ip(number: usize) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let [.., last] = number.to_be_bytes();
    Ipv4Addr::new(127, 64 + high % 128, low, last.wrapping_add(1))
}

/// Returns the loopback address that the outgoing connections of a gateway come from. No gateway
/// listens on it.
fn source_ip(number: usize) -> Ipv4Addr {
    let [_, high, low, last] = listen_ip(number).octets();
    Ipv4Addr::new(127, 192 + high % 32, low, last)
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // This fails only when the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
