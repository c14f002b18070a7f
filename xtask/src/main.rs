//! Developer commands: tests, demo, fuzzing, load and slopes.

mod demo;
mod fleet;
mod fuzzing;
mod http_libraries;
mod load;
mod slopes;
mod test;

use std::net::SocketAddr;
use std::process;

use bpaf::{Parser, construct, long, pure};
use eyre::{Result, ensure};

/// What the developer asked for.
#[derive(Debug, Clone)]
enum Command {
    Demo,
    Fuzz(fuzzing::Options),
    Load(load::Options),
    HttpLibraries(Option<(String, SocketAddr)>),
    Test,
    Slopes,
}

fn main() -> Result<()> {
    let command = command().run();
    if cfg!(debug_assertions) && command.is_measurement() {
        return run_in_release();
    }
    match command {
        Command::Demo => demo::run(),
        Command::Fuzz(options) => fuzzing::run(&options),
        Command::Load(options) => load::run(&options),
        Command::HttpLibraries(server) => http_libraries::run(server.as_ref()),
        Command::Test => test::run(),
        Command::Slopes => slopes::run(),
    }
}

impl Command {
    fn is_measurement(&self) -> bool {
        match self {
            Command::Load(_) | Command::Slopes => true,
            Command::Demo | Command::Fuzz(_) | Command::HttpLibraries(_) | Command::Test => false,
        }
    }
}

/// Runs the same command again as a release build. Figures of an unoptimized build are several times
/// too high, and a client without optimization takes more processor time than the nodes.
fn run_in_release() -> Result<()> {
    let status = process::Command::new(env!("CARGO"))
        .args(["run", "--quiet", "--release", "--locked", "-p", "xtask", "--"])
        .args(std::env::args_os().skip(1))
        .status()?;
    ensure!(status.success(), "the release build of the command failed: {status}");
    Ok(())
}

fn command() -> bpaf::OptionParser<Command> {
    let demo = pure(Command::Demo)
        .to_options()
        .command("demo")
        .help("Start a small fleet, send requests through it and say what happened");
    let fuzz = fuzzing::options()
        .map(Command::Fuzz)
        .to_options()
        .command("fuzz")
        .help("Feed mutated input to every decoder of bytes from outside");
    let load = load::options().map(Command::Load).to_options().command("load").help(
        "Measure latency, calls per core and memory of a small fleet under an open-loop load",
    );
    let name = long("server").help("Only run this server").argument::<String>("NAME");
    let listen = long("listen").help("Where it listens").argument::<SocketAddr>("ADDR");
    let http_libraries = construct!(name, listen)
        .optional()
        .map(Command::HttpLibraries)
        .to_options()
        .command("http-libraries")
        .help("Compare HTTP servers under half-open connections");
    let test = pure(Command::Test).to_options().command("test").help("Run every test");
    let slopes = pure(Command::Slopes)
        .to_options()
        .command("slopes")
        .help("Measure memory, bytes and processor time per object and per decision");
    construct!([demo, fuzz, load, http_libraries, test, slopes])
        .to_options()
        .descr("Developer commands of zinniacross")
}
