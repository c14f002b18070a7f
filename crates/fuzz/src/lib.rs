//! Mutated input for every decoder of bytes that come from outside a node: frames of other nodes,
//! announcements, entries of the store, heads and bodies of callers, responses of upstreams, settings.
//!
//! A target fails if it panics, breaks its property, or takes too long. `cargo xtask fuzz` runs the
//! targets for some time; the tests replay the corpus and a fixed number of mutations.

mod connections;
mod decoders;
mod mutation;

use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::sync::Once;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr};

pub use mutation::mutate;

/// Time that a decoder may take for one input. All of them are far quicker, also on a busy machine.
const MAX_RUN_TIME: Duration = Duration::from_secs(10);

/// A decoder, and what must hold for any input.
pub trait Target {
    /// Name of the target and of its directory in the corpus.
    fn name(&self) -> &'static str;
    /// Whether a run opens connections, which takes some milliseconds.
    fn uses_connections(&self) -> bool {
        false
    }
    /// Valid inputs, from which mutations start.
    fn seeds(&self) -> Vec<Vec<u8>>;
    /// Runs the decoder on one input. Returns what is wrong as an error.
    fn run(&self, input: &[u8]) -> Result<(), String>;
}

/// Returns all targets.
pub fn targets() -> Vec<Box<dyn Target>> {
    decoders::targets().into_iter().chain(connections::targets()).collect()
}

/// An input that a target failed on.
#[derive(Debug)]
pub struct Finding {
    /// Name of the target.
    pub target: &'static str,
    /// The input.
    pub input: Vec<u8>,
    /// What went wrong.
    pub reason: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start = self.input[..self.input.len().min(200)].escape_ascii();
        write!(f, "{}: {} ({} bytes: {start})", self.target, self.reason, self.input.len())
    }
}

/// Panics of this process, including those of tasks and threads that the caller does not see.
static PANICS: AtomicU64 = AtomicU64::new(0);

fn count_panics() -> u64 {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let print = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            PANICS.fetch_add(1, Ordering::SeqCst);
            print(info);
        }));
    });
    PANICS.load(Ordering::SeqCst)
}

/// Runs a target on one input.
///
/// ```
/// for target in fuzz::targets() {
///     assert!(fuzz::check(&*target, b"").is_ok(), "{}", target.name());
/// }
/// ```
pub fn check(target: &dyn Target, input: &[u8]) -> Result<(), Box<Finding>> {
    let (started, panics) = (Instant::now(), count_panics());
    let reason = match catch_unwind(AssertUnwindSafe(|| target.run(input))) {
        _ if count_panics() > panics => "it panicked".to_owned(),
        Err(_) => "it panicked without a message".to_owned(),
        Ok(Err(reason)) => reason,
        Ok(Ok(())) if started.elapsed() > MAX_RUN_TIME => {
            format!("it took {:?}", started.elapsed())
        }
        Ok(Ok(())) => return Ok(()),
    };
    Err(Box::new(Finding { target: target.name(), input: input.to_vec(), reason }))
}

/// Runs a target on its seeds and on the inputs of the corpus, and returns them.
pub fn replay(target: &dyn Target, corpus: &Path) -> Result<Vec<Vec<u8>>> {
    let mut inputs = target.seeds();
    inputs.extend(read_corpus(&corpus.join(target.name()))?);
    for input in &inputs {
        check(target, input).map_err(|finding| eyre::eyre!("{finding}"))?;
    }
    Ok(inputs)
}

/// Directory of the corpus in the repository.
pub fn corpus_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus")
}

fn read_corpus(dir: &Path) -> Result<Vec<Vec<u8>>> {
    let Ok(entries) = std::fs::read_dir(dir) else { return Ok(Vec::new()) };
    let mut paths = Vec::new();
    for entry in entries {
        paths.push(entry?.path());
    }
    paths.sort();
    let read = |path: PathBuf| std::fs::read(&path).wrap_err_with(|| path.display().to_string());
    paths.into_iter().map(read).collect()
}
