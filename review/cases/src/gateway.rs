//! Starts the project's gateway with the command and the template of the deploy file.

use std::fs;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;

/// A gateway on an address of its own, as each entry machine has one.
pub struct Gateway {
    pub name: String,
    pub ip: IpAddr,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    command: Vec<String>,
    root: PathBuf,
    child: Option<Child>,
    /// How often the process has ended by itself.
    pub ended: usize,
}

/// What all gateways of a case have in common.
pub struct Deployment<'a> {
    /// Root of the repository.
    pub root: &'a Path,
    /// Folder for settings and logs.
    pub folder: &'a Path,
    /// Figures of the users' pages, by the names of the template.
    pub bounds: &'a [(&'a str, u64)],
}

impl Deployment<'_> {
    /// Prepares the gateway with a number, which also gives it its address. `store` is the address
    /// at which it reaches the store.
    pub fn gateway(&self, number: u8, zone: &str, store: SocketAddr) -> io::Result<Gateway> {
        // The process id spreads the cases that run at the same time.
        let block = (std::process::id() % 200 + 20) as u8;
        let ip = format!("127.{block}.7.{}", number + 10);
        let name = format!("frontend-{zone}-{number}");
        let (front, ready) = (free_port(&ip)?, free_port(&ip)?);
        let peer = free_port(&ip)?;
        let mut text = fs::read_to_string(self.root.join("deploy/gateway.ini"))?;
        let mut fill = |name: &str, value: &str| {
            text = text.replace(&format!("{{{{{name}}}}}"), value);
        };
        fill("node", &name);
        fill("zone", zone);
        fill("bootstrap", "true");
        fill("listen.front", &front.to_string());
        fill("listen.ready", &ready.to_string());
        fill("ip", &ip);
        fill("internalPorts.0", &peer.port().to_string());
        fill("platform.address", &store.to_string());
        for (name, value) in self.bounds {
            fill(&format!("bounds.{name}"), &value.to_string());
        }
        // A machine's connections come from its own address, which loopback addresses do not do by
        // themselves.
        text = text.replace("[gateway]\n", &format!("[gateway]\nsource = {ip}\n"));
        let settings = self.folder.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let deploy = fs::read_to_string(self.root.join("deploy/system.toml"))?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.unwrap_or_default().trim_matches('"').to_string();
        let words = run.split(' ').map(|word| match word {
            "/etc/geraniummount/settings.toml" => settings.display().to_string(),
            word => word.to_string(),
        });
        Ok(Gateway {
            command: words.collect(),
            root: self.root.to_path_buf(),
            log: self.folder.join(format!("{name}.log")),
            name,
            ip: front.ip(),
            front,
            ready,
            settings,
            child: None,
            ended: 0,
        })
    }
}

impl Gateway {
    /// Starts the process.
    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let mut command = Command::new(self.root.join(&self.command[0]));
        command
            .args(&self.command[1..])
            .current_dir(&self.root)
            .env("GERANIUMMOUNT_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Waits until the process is ready; returns whether it is.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let mut connection = Connection::new(stream);
        connection.set_timeout(Duration::from_millis(500));
        let request = b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        connection.write(request).is_ok()
            && matches!(connection.read_head(), Ok(Some(head)) if head.status() == 200)
    }

    /// Returns how the process has ended, if it has ended by itself since it was started.
    pub fn take_ending(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        self.ended += 1;
        Some(status.to_string())
    }

    /// Returns the lines of the log that tell why the process has ended.
    pub fn panics(&self) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().collect::<Vec<_>>();
        let at = lines.iter().enumerate();
        let at = at.filter(|(_, line)| line.contains("panicked at"));
        at.map(|(index, line)| format!("{line} {}", lines.get(index + 1).unwrap_or(&"")))
            .collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns a free port of a loopback address.
fn free_port(ip: &str) -> io::Result<SocketAddr> {
    TcpListener::bind(format!("{ip}:0"))?.local_addr()
}
