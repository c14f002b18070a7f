//! Scripts of the review: each starts real nodes, a stand-in of the store, endpoints and clients on
//! loopback addresses, and judges what clients and endpoints have seen.
//!
//! `harness CASE RECORD` runs one case. Exit codes: 0 the rule held, 1 it was broken, 2 the case could
//! not run. `TROUBLE=0` leaves out the disruption.

mod cases;
mod fleet;
mod http;

use std::time::Duration;

/// Time after which a case gives up. A script may take 120 s.
const WATCHDOG: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: harness CASE RECORD");
        std::process::exit(2);
    };
    std::thread::spawn(|| {
        std::thread::sleep(WATCHDOG);
        eprintln!("the case took too long");
        fleet::kill_all();
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = fleet::Record::create(record);
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        cases::run(case, &record, trouble)
    }));
    fleet::kill_all();
    let code = match result {
        Ok(Ok(cases::Verdict::Held)) => 0,
        Ok(Ok(cases::Verdict::Broken)) => 1,
        Ok(Err(reason)) => {
            record.line(&format!("could not run: {reason}"));
            eprintln!("could not run: {reason}");
            2
        }
        Err(_) => 2,
    };
    record.line(&format!("exit code {code}"));
    std::process::exit(code);
}
