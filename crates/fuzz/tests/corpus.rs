//! Replays the corpus and runs a fixed set of mutations, so that no known finding comes back.

use fuzz::{check, corpus_dir, mutate, replay, targets};

/// Seed of the mutations.
const SEED: u64 = 0xf022;

/// Number of mutations for targets that use connections.
const CONNECTION_RUNS: u64 = 40;

/// Number of mutations for the others.
const RUNS: u64 = 4000;

/// Guards against input from outside that ends a node, makes it stop following the others, or is taken
/// for something that it is not.
#[test]
fn no_input_breaks_a_decoder() {
    let mut broken = Vec::new();
    for target in targets() {
        let inputs = replay(&*target, &corpus_dir()).unwrap();
        let runs = if target.uses_connections() { CONNECTION_RUNS } else { RUNS };
        let check_run = |run| check(&*target, &mutate(&inputs, SEED.wrapping_add(run))).err();
        broken.extend((0..runs).filter_map(check_run).map(|finding| finding.to_string()));
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
