//! Logging as JSON lines on standard output.
//!
//! A dedicated thread writes the lines, so a reader that stops reading never blocks a request. While the
//! queue to that thread is full, lines are dropped and counted.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Condvar, Mutex, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use eyre::Result;
use log::LevelFilter;

/// Log target of routing and placement decisions. The message of such a record is a JSON object.
pub(crate) const DECISION_TARGET: &str = "decision";

/// Capacity of the queue to the writer thread, about 2 MB of lines.
const QUEUE_CAPACITY_LINES: usize = 4096;

/// Maximum time that [`flush`] waits when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of lines dropped because the queue was full.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// The lines that [`flush`] waits for.
static PENDING_LINES: OnceLock<Arc<PendingLines>> = OnceLock::new();

/// Number of lines that are queued but not yet written.
#[derive(Default)]
struct PendingLines {
    count: Mutex<u64>,
    written: Condvar,
}

/// Installs the logger and starts the writer thread. Fails if a logger is already installed.
pub(crate) fn start(level: LevelFilter, node: &str) -> Result<()> {
    let node: Box<str> = node.into();
    let (tx, rx) = sync_channel(QUEUE_CAPACITY_LINES);
    let pending = Arc::clone(PENDING_LINES.get_or_init(Arc::default));
    let writer_pending = Arc::clone(&pending);
    thread::Builder::new()
        .name("log-writer".into())
        .spawn(move || write_lines(&rx, &writer_pending))?;
    let queue = LineQueue { tx, pending };
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let text = message.to_string();
            let (key, value) = match record.target() {
                DECISION_TARGET => ("event", text),
                _ => ("message", serde_json::Value::from(text).to_string()),
            };
            out.finish(format_args!(
                "{{\"time\":{:.6},\"level\":\"{}\",\"node\":\"{node}\",\"target\":\"{}\",\"{key}\":{value}}}",
                since_epoch.as_secs_f64(),
                record.level(),
                record.target(),
            ));
        })
        .chain(fern::Output::call(move |record| queue.send(record.args().to_string())))
        .apply()?;
    Ok(())
}

/// Returns the number of lines dropped so far.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Waits until all queued lines are written, or until a short timeout.
pub(crate) fn flush() {
    let Some(pending) = PENDING_LINES.get() else { return };
    let count = pending.count.lock().unwrap_or_else(PoisonError::into_inner);
    // Lines that are not written by then are lost when the process exits.
    let _ = pending.written.wait_timeout_while(count, FLUSH_TIMEOUT, |count| *count > 0);
}

struct LineQueue {
    tx: SyncSender<String>,
    pending: Arc<PendingLines>,
}

impl LineQueue {
    fn send(&self, line: String) {
        *self.pending.count.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        match self.tx.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
                *self.pending.count.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
            }
        }
    }
}

fn write_lines(rx: &Receiver<String>, pending: &PendingLines) {
    let mut reported = 0;
    while let Ok(mut line) = rx.recv() {
        line.push('\n');
        write_whole(&line);
        let dropped = dropped_lines();
        if dropped > reported {
            write_whole(&format!(
                "{{\"level\":\"WARN\",\"target\":\"log\",\"dropped\":{dropped}}}\n"
            ));
            reported = dropped;
        }
        *pending.count.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        pending.written.notify_all();
    }
}

/// Writes a line with its line feed in one call of the operating system, as far as that takes it.
/// Formatted output passes a long line on in pieces, and a reader then sees half a line.
fn write_whole(line: &str) {
    // A write error can't be reported, since standard output is the only log destination.
    let _ = std::io::stdout().lock().write_all(line.as_bytes());
}
