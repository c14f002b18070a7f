//! Plays the cases of the second review: `review-2 CASE RECORD`.
//!
//! Exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment it leaves the disruption out.

mod client;
mod departure;
mod endpoint;
mod fleet;
mod http;
mod json;
mod proxy;
mod quota;
mod record;
mod restore;
mod site;
mod store;

use std::process::ExitCode;
use std::{env, fs, panic};

use record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// What a case gets to run with.
pub struct Setup {
    /// Folder for settings and logs, removed at the end.
    pub dir: String,
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, record] = &args[..] else {
        eprintln!("usage: review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let play: fn(&Setup) -> Verdict = match case.as_str() {
        "departure" => departure::play,
        "quota" => quota::play,
        "restore" => restore::play,
        _ => {
            eprintln!("there is no case {case}");
            return ExitCode::from(2);
        }
    };
    let dir = env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    let dir = dir.to_string_lossy().into_owned();
    fs::create_dir_all(&dir).unwrap();
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let setup = Setup { dir, record: Record::create(record).unwrap(), trouble };
    let played = panic::catch_unwind(panic::AssertUnwindSafe(|| play(&setup)));
    let verdict = played.unwrap_or_else(|_| Verdict::NotRun("a step failed".into()));
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&setup.dir);
    }
    match verdict {
        Verdict::Held => {
            setup.record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            setup.record.say("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::NotRun(reason) => {
            setup.record.say(format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
