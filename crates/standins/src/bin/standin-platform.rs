//! Runs the stand-in of the platform as a process.

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use standins::platform::{PlatformConfig, PlatformStandin};

fn main() -> ExitCode {
    let (listen, cfg) = options().run();
    let standin = match PlatformStandin::start(listen, cfg) {
        Ok(standin) => standin,
        Err(err) => {
            eprintln!("{err}");
            return ExitCode::FAILURE;
        }
    };
    println!("listening on {}", standin.addr());
    standin.wait();
    ExitCode::FAILURE
}

fn options() -> OptionParser<(SocketAddr, PlatformConfig)> {
    let defaults = PlatformConfig::default();
    let listen = long("listen")
        .help("Address to listen on; port 0 picks a free one")
        .argument::<SocketAddr>("ADDR");
    let writes_per_second = long("writes-per-second")
        .help("Writes that are accepted per second")
        .argument::<u32>("N")
        .fallback(defaults.writes_per_second)
        .display_fallback();
    let reads_per_second = long("reads-per-second")
        .help("Lists, reads and watches that are accepted per second")
        .argument::<u32>("N")
        .fallback(defaults.reads_per_second)
        .display_fallback();
    let history = long("history")
        .help("Changes that are kept for watches")
        .argument::<usize>("N")
        .fallback(defaults.history)
        .display_fallback();
    let page = long("page")
        .help("Objects on one page of a list")
        .argument::<usize>("N")
        .fallback(defaults.page)
        .display_fallback();
    let cfg = construct!(PlatformConfig { writes_per_second, reads_per_second, history, page });
    construct!(listen, cfg).to_options().descr("Stand-in of the platform's object API")
}
