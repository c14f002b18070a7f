//! Developer commands: tests, demo, load and measurements.

mod measure;
mod slopes;
mod test;

use bpaf::{Parser, construct, pure};
use eyre::Result;

/// What the developer asked for.
#[derive(Debug, Clone)]
enum Command {
    Test,
    Measure,
    Slopes,
}

fn main() -> Result<()> {
    match command().run() {
        Command::Test => test::run(),
        Command::Measure => measure::run(),
        Command::Slopes => slopes::run(),
    }
}

fn command() -> bpaf::OptionParser<Command> {
    let test = pure(Command::Test).to_options().command("test").help("Run every test");
    let measure = pure(Command::Measure)
        .to_options()
        .command("measure")
        .help("Measure the decision cores in virtual time, with their baselines");
    let slopes = pure(Command::Slopes)
        .to_options()
        .command("slopes")
        .help("Measure memory, bytes and processor time per object and per decision");
    construct!([test, measure, slopes]).to_options().descr("Developer commands of zinniacross")
}
