//! `check`: checks a settings file as `serve` would.

use std::io::Write;
use std::path::Path;

use error_stack::{Report, ResultExt};

use crate::ops::exit::Exit;
use crate::ops::output;
use crate::ops::settings::Settings;

/// Reads and checks a settings file; the error lists all faults of the file.
pub fn load(path: &Path) -> Result<Settings, Report<Exit>> {
    Settings::load(path)
        .change_context(Exit::Invalid)
        .attach("do: fix each fault listed above, then run 'geraniummount check' again")
}

/// Checks a settings file and writes the identity and addresses that the process would have.
pub fn check(path: &Path, out: &mut impl Write) -> Result<(), Report<Exit>> {
    let settings = load(path)?;
    let node = &settings.node;
    let text = format!(
        "{}: no fault\nVM {} in failure domain {}; peers {}, callers {}, operators {}, platform {}\n",
        path.display(),
        node.name,
        node.failure_domain,
        node.peer_advertise,
        settings.caller.listen,
        settings.operator.listen,
        settings.platform.address,
    );
    output::text(out, &text)
}
