//! `gateway`: runs a process that routes callers' requests by host and path.

use std::io::Write;
use std::path::Path;
use std::thread;

use error_stack::{Report, ResultExt};
use log::info;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::edge::gateway::{Gateway, Sender, Update};
use crate::ops::exit::Exit;
use crate::ops::{logs, output, settings};

/// Checks a settings file and writes the identity and addresses that the gateway would have.
///
/// # Errors
///
/// Returns all faults of the settings.
pub fn check(path: &Path, out: &mut impl Write) -> Result<(), Report<Exit>> {
    let options = load(path)?.options;
    let text = format!(
        "{}: no fault\ngateway {} in failure domain {}; callers {}, ready {}, platform {}\n",
        path.display(),
        options.name,
        options.failure_domain,
        options.callers,
        options.ready,
        options.store,
    );
    output::text(out, &text)
}

fn load(path: &Path) -> Result<settings::Gateway, Report<Exit>> {
    settings::Gateway::load(path)
        .change_context(Exit::Invalid)
        .attach("do: fix each fault listed above, then run 'geraniummount gateway --check' again")
}

/// Runs a gateway until it is told to stop.
///
/// # Errors
///
/// Fails if the settings have faults, an address is already in use, or requests were unanswered
/// when `drain_ms` had passed since the gateway was told to stop.
pub fn run(path: &Path) -> Result<(), Report<Exit>> {
    let settings = load(path)?;
    logs::start_structured(settings.log.level, &settings.options.name);
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).change_context(Exit::Other)?;
    let gateway = Gateway::bind(settings.options.clone())
        .change_context(Exit::Other)
        .attach("do: check the addresses in section [gateway]")?;
    info!(
        "start domain={} callers={}",
        settings.options.failure_domain, settings.options.callers
    );
    let sender = gateway.sender();
    let file = path.to_path_buf();
    let thread = thread::Builder::new().name("signals".to_string());
    thread
        .spawn(move || handle_signals(signals, &sender, &file, &settings))
        .change_context(Exit::Other)?;
    let answered = gateway.run().change_context(Exit::Other)?;
    log::logger().flush();
    if answered {
        return Ok(());
    }
    let advice =
        "requests were still in flight when drain_ms had passed; raise drain_ms in [limits]";
    Err(Report::new(Exit::Other).attach(advice))
}

/// Requests a stop of the gateway on SIGTERM and SIGINT and reloads the settings on SIGHUP.
fn handle_signals(
    mut signals: Signals,
    sender: &Sender,
    file: &Path,
    settings: &settings::Gateway,
) {
    for signal in signals.forever() {
        match signal {
            SIGHUP => reload(file, settings),
            _ => {
                info!("stop signal={signal}");
                if !sender.send(Update::Stop) {
                    return;
                }
            }
        }
    }
}

/// Applies the log level of the changed file. All other settings need a restart; the log line
/// says whether one of them changed.
fn reload(file: &Path, running: &settings::Gateway) {
    match settings::Gateway::load(file) {
        Ok(settings) => {
            log::set_max_level(settings.log.level);
            let needs_restart = settings.options != running.options;
            info!(
                "reload outcome=done level={} needs_restart={needs_restart}",
                settings.log.level
            );
        }
        Err(report) => {
            let faults = report.to_string();
            log::warn!("reload outcome=kept-last error=\"{faults}\"");
        }
    }
}
