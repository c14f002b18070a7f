//! Developer commands: tests, demo, load and measurements.

mod demo;
mod fleet;
mod load;
mod measure;
mod slopes;
mod test;

use bpaf::{Parser, construct, positional, pure};
use eyre::Result;

/// What the developer asked for.
#[derive(Debug, Clone)]
enum Command {
    Demo,
    Load(load::Options),
    Test,
    Measure(measure::Part),
    Slopes,
}

fn main() -> Result<()> {
    match command().run() {
        Command::Demo => demo::run(),
        Command::Load(options) => load::run(&options),
        Command::Test => test::run(),
        Command::Measure(part) => measure::run(part),
        Command::Slopes => slopes::run(),
    }
}

fn command() -> bpaf::OptionParser<Command> {
    let demo = pure(Command::Demo)
        .to_options()
        .command("demo")
        .help("Start a small fleet, send requests through it and say what happened");
    let load = load::options().map(Command::Load).to_options().command("load").help(
        "Measure latency, calls per core and memory of a small fleet under an open-loop load",
    );
    let test = pure(Command::Test).to_options().command("test").help("Run every test");
    let part = positional::<measure::Part>("PART")
        .help("all, limits, health or calls; all by default")
        .fallback(measure::Part::All);
    let measure = part
        .map(Command::Measure)
        .to_options()
        .command("measure")
        .help("Measure the decision cores in virtual time, with their baselines");
    let slopes = pure(Command::Slopes)
        .to_options()
        .command("slopes")
        .help("Measure memory, bytes and processor time per object and per decision");
    construct!([demo, load, test, measure, slopes])
        .to_options()
        .descr("Developer commands of zinniacross")
}
