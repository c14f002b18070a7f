//! Mutations of inputs, drawn from a seed.

use routing::{RandomSource, SplitMix64};

/// Longest input that a mutation produces, in bytes. Decoders have limits of 1 MB and less, which the
/// inputs of the corpus exercise.
const MAX_INPUT_BYTES: usize = 256 * 1024;

/// Most mutations of one input.
const MAX_MUTATIONS: usize = 6;

/// Fragments that decoders treat in a special way.
const FRAGMENTS: [&[u8]; 24] = [
    b"\r\n",
    b"\r\n\r\n",
    b"\0",
    b"\xff\xfe",
    b"{",
    b"[[[[[[[[",
    b"]",
    b"\"",
    b"\\ud800",
    b"null",
    b"true",
    b"1e999",
    b"-1",
    b"2.5",
    b"70000",
    b"123456789012345678901234567890",
    b"transfer-encoding: chunked\r\n",
    b"content-length: 18446744073709551616\r\n",
    b"content-length: 5\r\n",
    b"ffffffffffffffff\r\n",
    b"0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n",
    b"\x9f\x9f\x9f\x9f",
    b"\x1b\xff\xff\xff\xff\xff\xff\xff\xff",
];

/// Returns a mutation of one of the inputs. The same inputs and seed give the same result.
///
/// ```
/// let inputs = [b"{\"slots\":3}".to_vec()];
/// assert_eq!(fuzz::mutate(&inputs, 7), fuzz::mutate(&inputs, 7));
/// ```
///
/// # Panics
///
/// Panics if there are no inputs.
pub fn mutate(inputs: &[Vec<u8>], seed: u64) -> Vec<u8> {
    let mut rng = SplitMix64::new(seed);
    let mut input = inputs[rng.below(inputs.len())].clone();
    for _ in 0..=rng.below(MAX_MUTATIONS) {
        mutate_once(&mut input, inputs, &mut rng);
    }
    input.truncate(MAX_INPUT_BYTES);
    input
}

fn mutate_once(input: &mut Vec<u8>, inputs: &[Vec<u8>], rng: &mut SplitMix64) {
    let at = rng.below(input.len() + 1);
    let end = at + rng.below(input.len() - at + 1);
    match rng.below(8) {
        0 if at < input.len() => input[at] ^= 1 << rng.below(8),
        1 if at < input.len() => input[at] = rng.below(256) as u8,
        2 => drop(input.drain(at..end)),
        3 => input.truncate(at),
        4 => insert(input, at, FRAGMENTS[rng.below(FRAGMENTS.len())]),
        5 => {
            let part = input[at..end].to_vec();
            insert(input, at, &part);
        }
        6 => {
            // Deep nesting and long runs need many copies of one fragment.
            let fragment = FRAGMENTS[rng.below(FRAGMENTS.len())];
            insert(input, at, &fragment.repeat(1 << rng.below(13)));
        }
        _ => {
            let other = &inputs[rng.below(inputs.len())];
            let from = rng.below(other.len() + 1);
            input.truncate(at);
            input.extend_from_slice(&other[from..]);
        }
    }
    input.truncate(MAX_INPUT_BYTES);
}

fn insert(input: &mut Vec<u8>, at: usize, part: &[u8]) {
    input.splice(at..at, part.iter().copied());
}
