//! Comparison of two shares.

/// One-sided p-value of Fisher's exact test: the probability of at least `bad` bad calls among
/// `calls` if these and the `peer_calls` have the same share of bad calls. It is exact for small
/// counts, where the normal approximation of a two-proportion test reports too many outliers.
///
/// ```
/// // Two bad calls of two prove little next to ten good calls.
/// assert!(health::fisher_tail(2, 2, 0, 10) > 0.01);
/// assert!(health::fisher_tail(8, 8, 0, 200) < 1e-12);
/// // The same share on both sides is no outlier.
/// assert!(health::fisher_tail(50, 100, 500, 1000) > 0.4);
/// ```
pub fn fisher_tail(bad: u64, calls: u64, peer_bad: u64, peer_calls: u64) -> f64 {
    let bad = bad.min(calls);
    let peer_bad = peer_bad.min(peer_calls);
    let all_bad = bad + peer_bad;
    let all = calls + peer_calls;
    let most = all_bad.min(calls);
    let base = ln_choose(all, all_bad);
    let first = ln_choose(calls, bad) + ln_choose(peer_calls, peer_bad) - base;
    // Each term follows from the one before, so only the first one needs logarithms.
    let mut term = first.exp();
    let mut sum = term;
    for k in bad..most {
        let up = (calls - k) as f64 * (all_bad - k) as f64;
        let down = (k + 1) as f64 * (peer_calls + k + 1 - all_bad) as f64;
        term *= up / down;
        sum += term;
        if term < sum * 1e-6 {
            break;
        }
    }
    sum.min(1.0)
}

fn ln_choose(n: u64, k: u64) -> f64 {
    ln_factorial(n) - ln_factorial(k) - ln_factorial(n - k)
}

fn ln_factorial(n: u64) -> f64 {
    if n < 16 {
        return (2..=n).map(|i| (i as f64).ln()).sum();
    }
    // Stirling's series; the error is below 1e-10 for n >= 16.
    let x = n as f64;
    x * x.ln() - x + 0.5 * (std::f64::consts::TAU * x).ln() + 1.0 / (12.0 * x)
        - 1.0 / (360.0 * x * x * x)
}
