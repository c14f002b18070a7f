//! Tests of the owners of partitions.

use membership::{Owners, owner_of};
use model::{NodeName, PartitionId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn node(number: u8) -> NodeName {
    format!("node-{number}").parse().unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against kept owners that differ from those which other nodes find: two nodes would grant
    /// tokens of the same share.
    #[test]
    fn kept_owners_are_those_of_the_current_members(
        steps in prop::collection::vec((0u8..6, any::<bool>(), prop::collection::vec(0u16..16, 0..6)), 1..30),
    ) {
        let mut members: Vec<NodeName> = Vec::new();
        let mut owners = Owners::default();
        for (number, joins, lookups) in steps {
            members.retain(|name| *name != node(number));
            members.extend(joins.then(|| node(number)));
            owners.clear();
            for partition in lookups.into_iter().map(PartitionId) {
                let expected = owner_of(partition, members.iter());
                prop_assert_eq!(owners.find(partition, || members.iter()), expected);
                // A second lookup must not need the members again.
                let none = || -> std::slice::Iter<'_, NodeName> { panic!("looked up again") };
                prop_assert_eq!(owners.find(partition, none), expected);
            }
        }
    }
}
