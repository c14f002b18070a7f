//! What a process asks before it uses endpoints of its instance.

use std::time::Duration;

use membership::{Evidence, Handover, HandoverStep};
use model::{NodeName, Revision, Time};

fn nodes(count: usize) -> Vec<NodeName> {
    (0..count).map(|number| format!("n{number:02}").parse().unwrap()).collect()
}

fn at(millis: u64) -> Time {
    Time::from_micros(1000 * millis)
}

/// A process that has listed a store of era 2, in which its record is of era 1 or absent.
fn asking(record: Option<Revision>) -> Handover {
    let mut handover = Handover::default();
    handover.store_listed(2, record, at(0));
    handover
}

/// Start of the history of a node that ran before the restore, and of one that has started since.
const BEFORE: Revision = Revision::new(1, 5);
const SINCE: Revision = Revision::new(2, 1);

/// Answers for all nodes of a step; `None` for a node that can't be reached.
fn answer(handover: &mut Handover, step: &HandoverStep, from: Option<Revision>) -> usize {
    let HandoverStep::Ask(asked) = step else { panic!("{step:?}") };
    asked.iter().for_each(|_| handover.answered(from));
    asked.len()
}

/// Guards against a record of a restored store that is taken for the latest one, and against endpoints that
/// wait for peers although the store has lost nothing.
#[test]
fn peers_are_asked_only_if_the_store_may_have_lost_the_record() {
    let check = |era, record, is_latest| {
        let mut handover = Handover::default();
        handover.store_listed(era, record, at(0));
        let step = handover.next_step(&nodes(5), at(0));
        match is_latest {
            true => assert_eq!(step, HandoverStep::Complete(Evidence::Store)),
            false => assert!(matches!(step, HandoverStep::Ask(_)), "{era}, {record:?}: {step:?}"),
        }
    };
    check(0, None, true);
    check(0, Some(Revision::new(0, 7)), true);
    check(2, Some(Revision::new(2, 7)), true);
    check(2, Some(Revision::new(1, 7)), false);
    check(2, None, false);
}

/// Guards against a process that relies on nodes that have started since the restore, and know no more than
/// the store, or on a single one, which the record may not have reached.
#[test]
fn enough_nodes_that_ran_before_the_restore_are_asked() {
    let all = nodes(40);
    let mut handover = asking(Some(Revision::new(1, 7)));
    let first = handover.next_step(&all, at(0));
    assert_eq!(answer(&mut handover, &first, Some(SINCE)), 3);
    let second = handover.next_step(&all, at(1));
    assert_ne!(first, second, "no node is asked twice");
    assert_eq!(answer(&mut handover, &second, Some(BEFORE)), 3);
    assert_eq!(handover.next_step(&all, at(2)), HandoverStep::Complete(Evidence::Peers));
}

/// Guards against a process that asks the whole fleet, or waits for ever, when nobody knows more.
#[test]
fn questions_are_bounded() {
    let record = Some(Revision::new(1, 7));
    for (from, record, evidence) in [
        (Some(SINCE), None, Evidence::NoRecord),
        (None, None, Evidence::NoRecord),
        (Some(SINCE), record, Evidence::Incomplete),
        (None, record, Evidence::Incomplete),
    ] {
        let all = nodes(40);
        let mut handover = asking(record);
        let mut asked = 0;
        let end = loop {
            match handover.next_step(&all, at(1)) {
                step @ HandoverStep::Ask(_) => asked += answer(&mut handover, &step, from),
                step => break step,
            }
        };
        assert_eq!((asked, end), (12, HandoverStep::Complete(evidence)));
    }
    let mut alone = asking(None);
    assert_eq!(alone.next_step(&[], at(0)), HandoverStep::Complete(Evidence::NoRecord));
}

/// Guards against endpoints that stay out of use because other nodes don't answer.
#[test]
fn unanswered_questions_end() {
    let all = nodes(3);
    let until = at(0) + Duration::from_secs(2);
    for (answers, evidence) in [(0, Evidence::Incomplete), (1, Evidence::Peers)] {
        let mut handover = asking(Some(Revision::new(1, 7)));
        assert_eq!(handover.next_step(&all, at(0)), HandoverStep::Ask(all.clone()));
        (0..answers).for_each(|_| handover.answered(Some(BEFORE)));
        assert_eq!(handover.next_step(&all, at(1)), HandoverStep::WaitUntil(until));
        assert_eq!(handover.next_step(&all, until), HandoverStep::Complete(evidence));
        handover.store_listed(3, None, until);
        assert_eq!(handover.next_step(&all, until), HandoverStep::Complete(evidence));
    }
}
