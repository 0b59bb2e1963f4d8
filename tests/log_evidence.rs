//! Which log may become that of the next primary.

use persimmontack::model::log_position::LogPosition;
use persimmontack::model::term_start::TermStart;
use persimmontack::node::log_evidence::{LogDeficit, LogEvidence};
use persimmontack::node::log_knowledge::LogKnowledge;

const fn at(term: u64, offset: u64) -> LogPosition {
    LogPosition::new(term, offset)
}

/// Returns evidence in which this VM and all others know the same.
fn evidence(knowledge: LogKnowledge, complete: bool) -> LogEvidence {
    LogEvidence {
        own: knowledge,
        hosts: knowledge,
        complete,
    }
}

fn started(term: u64, position: LogPosition) -> LogKnowledge {
    LogKnowledge {
        term,
        term_start: Some(TermStart { term, position }),
        ..LogKnowledge::default()
    }
}

/// Guards against the loss of review/2: a log of an earlier term is taken for complete because no
/// other replica has received more.
#[test]
fn a_log_of_an_earlier_term_has_to_reach_the_start_of_the_latest_one() {
    let known = evidence(started(2, at(1, 118)), true);
    assert_eq!(known.find_deficit(at(1, 110)), Some(LogDeficit::TermStart));
    assert_eq!(known.find_deficit(at(1, 118)), None);
    assert_eq!(known.find_deficit(at(1, 125)), None);
    assert_eq!(known.find_deficit(at(2, 119)), None);
    let later = evidence(started(3, at(2, 118)), true);
    assert_eq!(later.find_deficit(at(1, 125)), Some(LogDeficit::TermStart));
}

/// Guards against an earlier start that is used for a later term.
#[test]
fn without_the_start_of_the_latest_term_all_vms_have_to_know_less() {
    let knowledge = LogKnowledge {
        term: 3,
        ..started(2, at(1, 50))
    };
    let unknown = Some(LogDeficit::UnknownTermStart);
    assert_eq!(
        evidence(knowledge, false).find_deficit(at(1, 110)),
        unknown,
        "a host has not replied"
    );
    assert_eq!(evidence(knowledge, true).find_deficit(at(1, 110)), None);
    let mut acknowledged = evidence(knowledge, true);
    acknowledged.hosts.acknowledged = Some(at(2, 120));
    assert_eq!(acknowledged.find_deficit(at(1, 130)), unknown);
}

/// Guards against a replica of the latest term that lacks commits which another VM has told to
/// callers, and against a group without a primary because a VM knows of a commit that no replica may
/// have received.
#[test]
fn commits_that_any_vm_has_told_have_to_be_held() {
    let mut told = evidence(started(2, at(1, 118)), true);
    told.hosts.told = Some(at(2, 150));
    assert_eq!(told.find_deficit(at(2, 149)), Some(LogDeficit::ToldCommit));
    assert_eq!(told.find_deficit(at(2, 150)), None);
    told.hosts.acknowledged = Some(at(2, 152));
    assert_eq!(told.find_deficit(at(2, 150)), None);
    told.own.acknowledged = Some(at(2, 152));
    let own = Some(LogDeficit::AcknowledgedCommit);
    assert_eq!(told.find_deficit(at(2, 150)), own);
}
