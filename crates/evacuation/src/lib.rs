//! The evacuated failure domains, and when a node has to ask the platform for them.
//!
//! It addresses two failures. A node that does not learn of an evacuation sends calls to endpoints
//! that an operator has taken out of use, and that nobody reports an evacuation proves nothing:
//! those who would may stand still or be cut off. Each node therefore knows when the platform last
//! confirmed its state, by its own calls or by those of its peers, and asks once that is too long
//! ago. And a store that is restored from a backup may lack an evacuation that it had acknowledged;
//! the evacuation stays in effect until the operator has had time to repeat it.
//!
//! The state is a few bytes in size and is always passed on in full. Of two snapshots, the one with
//! the higher revision is used.

mod evacuations;
mod pace;

pub use evacuations::{Change, Evacuations, Snapshot, Step};
pub use pace::Pace;
