//! A gateway that runs as a process of its own.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Instant;

use rustix::process::{Pid, Signal, kill_process};

use crate::proxy::{Proxy, free_ports};

/// A gateway and the proxy in front of its store.
#[derive(Debug)]
pub struct Vm {
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// What stands between it and the store.
    pub store_proxy: Proxy,
    /// When its process started last.
    pub started_at: Instant,
    /// When it was told to stop, while it has not ended.
    pub stop_requested_at: Option<Instant>,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Vm {
    /// Gives a gateway its addresses and settings, and starts it.
    pub fn start(
        binary: &Path,
        folder: &Path,
        number: usize,
        domain: &str,
        store: SocketAddr,
        seed: u64,
    ) -> io::Result<Vm> {
        let [caller_address, ready] = free_ports(loopback_ip(number).into())?;
        let proxy = Proxy::start(Ipv4Addr::LOCALHOST, store, seed)?;
        let settings = folder.join(format!("vm{number}.ini"));
        let text = format!(
            "[gateway]\nname = vm{number}\nfailure_domain = {domain}\ncallers = {caller_address}\n\
             ready = {ready}\n[platform]\naddress = {}\n",
            proxy.address()
        );
        std::fs::write(&settings, text)?;
        let mut vm = Vm {
            caller_address,
            store_proxy: proxy,
            started_at: Instant::now(),
            stop_requested_at: None,
            binary: binary.to_path_buf(),
            settings,
            log: folder.join(format!("vm{number}.log")),
            child: None,
        };
        vm.launch()?;
        Ok(vm)
    }

    /// Starts its process.
    pub fn launch(&mut self) -> io::Result<()> {
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

    /// Tells its process to stop.
    pub fn stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Ends its process at once.
    pub fn kill(&self) {
        self.signal(Signal::KILL);
    }

    /// Lets its process stand still.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets its process go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Tells its process to read its settings again.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Returns what its processes have logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // Fails only when the process has ended already.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Returns how its process ended, once.
    pub fn take_exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        self.child = None;
        Some(status)
    }

    /// Returns whether it has a process.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }
}

/// An address that no other gateway on this machine listens on, nor any
/// connection begins at: a port of it that was found free stays so until the
/// gateway takes it, also when it starts again.
fn loopback_ip(number: usize) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let [.., last] = number.to_be_bytes();
    Ipv4Addr::new(127, 64 + high % 128, low, last.wrapping_add(1))
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // Fails only when the process has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
