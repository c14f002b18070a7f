//! Plan of a soak: which faults come when. It follows from a seed, and can be saved, cut down by hand
//! and played again.

use routing::{RandomSource, SplitMix64};
use serde::{Deserialize, Serialize};

/// Nodes of a fleet that is drawn.
const NODES: usize = 4;

/// Upstreams of a fleet that is drawn, spread over the nodes.
const UPSTREAMS: usize = 8;

/// Time in which faults begin, in milliseconds from the start of the load.
const FAULTS_BEGIN_MS: [u64; 2] = [500, 7000];

/// Fewest and most faults of a plan.
const FAULTS: [u64; 2] = [5, 12];

/// Shortest and longest fault, in milliseconds. It spans the time limits of links and probes.
const FAULT_MS: [u64; 2] = [200, 3500];

/// A fault with its length in milliseconds, where it has one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The process of a node is killed, and started again after this time.
    KillNode { node: usize, ms: u64 },
    /// The process of a node is asked to stop, and started again this long after the request, or when
    /// it has ended.
    StopNode { node: usize, ms: u64 },
    /// The process of a node is paused.
    PauseNode { node: usize, ms: u64 },
    /// The settings of a node are read again.
    ReloadNode { node: usize },
    /// What a node sends to the others does not arrive.
    CutOutgoing { node: usize, ms: u64 },
    /// What the others send to a node does not arrive.
    CutIncoming { node: usize, ms: u64 },
    /// A node does not reach the platform.
    CutPlatform { node: usize, ms: u64 },
    /// The platform refuses all calls.
    PlatformDown { ms: u64 },
    /// Each call to the platform takes 400 ms longer.
    PlatformSlow { ms: u64 },
    /// The answers of the next writes to the platform are lost.
    LoseAnswers { count: u32 },
    /// An upstream takes 20 times as long.
    SlowUpstream { upstream: usize, ms: u64 },
    /// An upstream fails one call in three.
    FailingUpstream { upstream: usize, ms: u64 },
    /// An upstream runs calls and closes the connection without a response.
    DroppingUpstream { upstream: usize, ms: u64 },
    /// An upstream refuses all calls without running them.
    SheddingUpstream { upstream: usize, ms: u64 },
    /// The process of an upstream is killed, and another one started after this time.
    KillUpstream { upstream: usize, ms: u64 },
    /// An upstream says that it leaves, and comes back after this time.
    LeavingUpstream { upstream: usize, ms: u64 },
}

/// A fault and when it begins, in milliseconds from the start of the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    pub at_ms: u64,
    #[serde(flatten)]
    pub fault: Fault,
}

/// Everything that a soak does, apart from the timing of the processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    pub seed: u64,
    pub nodes: usize,
    pub upstreams: usize,
    pub steps: Vec<Step>,
}

impl Plan {
    /// Draws a plan. The same seed gives the same plan.
    pub fn draw(seed: u64) -> Plan {
        let mut rng = SplitMix64::new(seed);
        let [fewest, most] = FAULTS;
        let count = between(&mut rng, fewest, most);
        let mut steps: Vec<Step> = (0..count)
            .map(|_| {
                let [first, last] = FAULTS_BEGIN_MS;
                Step { at_ms: between(&mut rng, first, last), fault: draw_fault(&mut rng) }
            })
            .collect();
        steps.sort_by_key(|step| step.at_ms);
        Plan { seed, nodes: NODES, upstreams: UPSTREAMS, steps }
    }
}

fn between(rng: &mut SplitMix64, min: u64, max: u64) -> u64 {
    min + rng.below((max - min + 1) as usize) as u64
}

fn draw_fault(rng: &mut SplitMix64) -> Fault {
    let (node, upstream) = (rng.below(NODES), rng.below(UPSTREAMS));
    let [shortest, longest] = FAULT_MS;
    let ms = between(rng, shortest, longest);
    match rng.below(20) {
        0 | 1 => Fault::KillNode { node, ms },
        2..=4 => Fault::StopNode { node, ms },
        5 | 6 => Fault::PauseNode { node, ms },
        7 => Fault::ReloadNode { node },
        8 => Fault::CutOutgoing { node, ms },
        9 => Fault::CutIncoming { node, ms },
        10 => Fault::CutPlatform { node, ms },
        11 => Fault::PlatformDown { ms },
        12 => Fault::PlatformSlow { ms },
        13 => Fault::LoseAnswers { count: 1 + (ms % 3) as u32 },
        14 => Fault::SlowUpstream { upstream, ms },
        15 => Fault::FailingUpstream { upstream, ms },
        16 => Fault::DroppingUpstream { upstream, ms },
        17 => Fault::SheddingUpstream { upstream, ms },
        18 => Fault::KillUpstream { upstream, ms },
        _ => Fault::LeavingUpstream { upstream, ms: ms + 4000 },
    }
}
