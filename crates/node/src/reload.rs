//! Reloads the settings file while the node runs.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use log::{info, warn};
use settings::Settings;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

use crate::shared::{Node, lock};
use crate::view;

/// Interval between checks of the file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Installs the handler of SIGHUP. Until then the signal ends the process.
pub(crate) fn hangup_signal() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reloads the settings after SIGHUP or when the file has changed.
///
/// Changes of the service of the instance and of the log level take effect immediately. Changes of
/// other settings need a restart, and a warning is logged. An invalid file changes nothing.
pub(crate) async fn watch_settings(node: Arc<Node>, file: PathBuf, mut hangup: Signal) {
    let mut last_modified = modified_time(&file);
    loop {
        let by_signal = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(POLL_INTERVAL) => false,
        };
        let current = modified_time(&file);
        if !by_signal && current == last_modified {
            continue;
        }
        last_modified = current;
        reload(&node, &file);
    }
}

fn modified_time(file: &Path) -> Option<SystemTime> {
    // A file that is being replaced may be missing for a moment; a later check detects the new one.
    std::fs::metadata(file).and_then(|metadata| metadata.modified()).ok()
}

fn reload(node: &Node, file: &Path) {
    let loaded = match Settings::load(file) {
        Ok(loaded) => loaded,
        Err(mistakes) => {
            return warn!("the settings are kept, as the file is not valid: {mistakes}");
        }
    };
    log::set_max_level(view::level_filter(loaded.log_level));
    *lock(&node.local_service) = loaded.node.service.clone();
    let mut applied = node.settings.clone();
    applied.log_level = loaded.log_level;
    applied.node.service = loaded.node.service.clone();
    match applied == loaded {
        true => info!("settings reloaded"),
        false => warn!("settings reloaded; some changes need a restart to take effect"),
    }
}
