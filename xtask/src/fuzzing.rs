//! Mutated input for the decoders of the product, for some time.

use std::time::{Duration, Instant};

use bpaf::{Parser, construct, long};
use eyre::{Result, WrapErr, ensure};

/// Options of `cargo xtask fuzz`.
#[derive(Debug, Clone)]
pub struct Options {
    target: Option<String>,
    seconds: u64,
    seed: Option<u64>,
}

/// Parser of the options.
pub fn options() -> impl Parser<Options> {
    let target = long("target").help("Only this target").argument::<String>("NAME").optional();
    let seconds =
        long("seconds").help("Time for each target, in seconds").argument::<u64>("N").fallback(60);
    let seed = long("seed")
        .help("Seed of the first mutation; without it one is drawn")
        .argument::<u64>("N")
        .optional();
    construct!(Options { target, seconds, seed })
}

/// Runs the targets. An input that breaks one is kept in the corpus, and the command fails.
pub fn run(options: &Options) -> Result<()> {
    let corpus = fuzz::corpus_dir();
    let chosen = |name: &str| options.target.as_ref().is_none_or(|target| target == name);
    let targets: Vec<_> =
        fuzz::targets().into_iter().filter(|target| chosen(target.name())).collect();
    ensure!(!targets.is_empty(), "there is no target {:?}", options.target);
    let mut found = 0;
    for target in targets {
        let inputs = fuzz::replay(&*target, &corpus)?;
        let first = options.seed.unwrap_or_else(rand::random);
        let deadline = Instant::now() + Duration::from_secs(options.seconds);
        let mut seed = first;
        while Instant::now() < deadline {
            let input = fuzz::mutate(&inputs, seed);
            if let Err(finding) = fuzz::check(&*target, &input) {
                found += 1;
                let dir = corpus.join(target.name());
                std::fs::create_dir_all(&dir)?;
                let file = dir.join(format!("seed-{seed}"));
                std::fs::write(&file, &finding.input).wrap_err("the finding can't be kept")?;
                println!("seed {seed}: {finding}");
            }
            seed = seed.wrapping_add(1);
        }
        let runs = seed.wrapping_sub(first);
        println!("{}: {runs} inputs from seed {first}", target.name());
    }
    ensure!(found == 0, "{found} inputs broke a target; they are kept in the corpus");
    Ok(())
}
