//! Decisions of the rate limits: division among VMs, stocks, and changes of limits.

use std::collections::BTreeMap;
use std::time::Duration;

use persimmontack::decide::place_evidence::{self, PlaceEvidence, PlaceView};
use persimmontack::decide::rate_bucket::{GrantMode, RateBucket};
use persimmontack::decide::rate_holder::{self, HolderFacts, RateHolder};
use persimmontack::decide::rate_limit::{self, RateAsk, RateGrant, RateLimit};
use persimmontack::decide::rate_stock::{RateStock, RefusalCause, StockTake};

const LIMIT: RateLimit = RateLimit::new(52.0, 52.0);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn ask(wanted: u32, demand: f64) -> RateAsk {
    RateAsk {
        wanted,
        demand,
        admitted: demand.min(26.0),
        keeps_rate: true,
    }
}

fn granted(granted: u32) -> RateGrant {
    RateGrant {
        granted,
        scale: 1.0,
        retry_after: ms(100),
        unreplaced_for: ms(9_000),
    }
}

/// Lets VMs with these demands ask every 100 ms, and returns what each got in 10 s.
fn replay(bucket: &mut RateBucket, demands: &[f64], start: u64) -> Vec<u32> {
    let mut got = vec![0; demands.len()];
    for step in 0..100 {
        for (vm, demand) in demands.iter().enumerate() {
            let now = ms(start + step * 100 + vm as u64);
            let wanted = (demand * 0.2).ceil() as u32;
            let name = format!("vm-{vm}");
            got[vm] += bucket
                .grant(&name, ask(wanted, *demand), GrantMode::Full, now)
                .granted;
        }
    }
    got
}

/// Guards against a division by arrival: a workspace at 7.5 times its rate on 5 of 67 VMs gets its
/// whole rate, each VM in proportion to its demand, also the one that asks last.
#[test]
fn a_flood_is_divided_by_demand() {
    let mut demands = vec![0.2; 67];
    for (vm, demand) in demands.iter_mut().enumerate().skip(62) {
        *demand = 26.0 * (vm - 61) as f64;
    }
    let mut bucket = RateBucket::new(LIMIT, ms(0));
    let got = replay(&mut bucket, &demands, 0);
    let sum: u32 = got.iter().sum();
    assert!((490..=572).contains(&sum), "{sum}");
    let flood: u32 = got[62..].iter().sum();
    for vm in 62..67 {
        let expected = f64::from(flood) * demands[vm] / demands[62..].iter().sum::<f64>();
        let share = f64::from(got[vm]);
        assert!((share - expected).abs() < 0.2 * expected + 3.0, "{got:?}");
    }
}

/// Guards against a lowered limit whose tokens in stock are still granted, and against a raised one
/// that takes effect late.
#[test]
fn a_changed_limit_applies_to_the_bucket() {
    let mut bucket = RateBucket::new(LIMIT, ms(0));
    bucket.set_limit(RateLimit::new(4.0, 4.0), ms(1_000));
    assert!(bucket.tokens() <= 4.0);
    let lowered: u32 = replay(&mut bucket, &[200.0, 200.0], 1_000).iter().sum();
    assert!((36..=46).contains(&lowered), "{lowered}");
    bucket.set_limit(RateLimit::new(100.0, 50.0), ms(11_000));
    let raised: u32 = replay(&mut bucket, &[200.0, 200.0], 11_000).iter().sum();
    assert!((950..=1_051).contains(&raised), "{raised}");
}

/// Guards against limits whose remainder always goes to the same VM: one token per second for three
/// VMs comes to each of them.
#[test]
fn whole_tokens_rotate() {
    let mut bucket = RateBucket::new(RateLimit::new(3.0, 1.0), ms(0));
    let got = replay(&mut bucket, &[20.0, 20.0, 20.0, 20.0, 20.0], 0);
    assert!(got.iter().all(|tokens| (4..=8).contains(tokens)), "{got:?}");
}

/// Guards against a holder that is cut off and grants what VMs on the other side spend as well.
#[test]
fn a_holder_that_is_cut_off_grants_the_recent_rate_of_those_that_ask() {
    let mut bucket = RateBucket::new(LIMIT, ms(0));
    replay(&mut bucket, &[40.0, 40.0], 0);
    let mode = GrantMode::CutOff { most_scale: 4.0 };
    let stranger = RateAsk {
        admitted: 0.0,
        ..ask(5, 50.0)
    };
    let mut got = 0;
    for step in 0..50 {
        let now = ms(10_000 + step * 100);
        got += bucket.grant("vm-0", ask(20, 200.0), mode, now).granted;
        got += bucket.grant("vm-9", stranger, mode, now).granted;
    }
    assert!((80..=130).contains(&got), "{got}");
}

/// Guards against a holder that another VM may replace and that grants more than all VMs together
/// may spend, or that refuses the VMs of a workspace far below its limit.
#[test]
fn a_pool_is_bounded_by_the_recent_rate_of_all_vms() {
    for (rate, least) in [(2.0, 35), (20.0, 210)] {
        let mut bucket = RateBucket::new(LIMIT, ms(0));
        replay(&mut bucket, &[rate, rate], 0);
        let mode = GrantMode::Pooled { most_scale: 4.0 };
        let mut got = 0;
        for step in 0..50 {
            for vm in 0..67 {
                let now = ms(10_000 + step * 100 + vm);
                let name = format!("vm-{vm}");
                got += bucket.grant(&name, ask(2, 8.0), mode, now).granted;
            }
        }
        // The share of the limit that is spent without a holder, and the credit of the pool.
        assert!((least..=274).contains(&got), "{rate}: {got}");
    }
}

fn asked_stock(tokens: u32, now: u64) -> RateStock {
    let mut stock = RateStock::new(LIMIT, ms(now));
    stock.record_arrival(ms(now));
    assert!(stock.ask(tokens, ms(now)).is_some());
    stock.record_grant(granted(tokens), ms(now + 2));
    stock
}

/// Guards against old grants that a VM spends after it was suspended, also if they are given back.
#[test]
fn tokens_expire_and_are_not_given_back_late() {
    let mut stock = asked_stock(3, 0);
    let StockTake::Token(token) = stock.take(ms(10)) else {
        panic!("expected a token");
    };
    stock.give_back(token, ms(20));
    for _token in 0..3 {
        assert!(matches!(stock.take(ms(30)), StockTake::Token(_)));
    }
    assert_eq!(stock.take(ms(30)), StockTake::Wait);
    let mut stock = asked_stock(3, 0);
    let StockTake::Token(token) = stock.take(ms(10)) else {
        panic!("expected a token");
    };
    let expired = rate_limit::TOKEN_EXPIRY;
    stock.give_back(token, expired);
    assert_eq!(stock.take(expired), StockTake::Wait);
}

/// Guards against an ask for each refused operation of a flood.
#[test]
fn a_refusing_holder_is_not_asked_again_at_once() {
    let mut stock = asked_stock(1, 0);
    assert!(matches!(stock.take(ms(3)), StockTake::Token(_)));
    assert!(stock.ask(1, ms(4)).is_some());
    stock.record_grant(granted(0), ms(6));
    for now in 7..106 {
        stock.record_arrival(ms(now));
        assert_eq!(stock.take(ms(now)), StockTake::Refused(RefusalCause::Limit));
        assert!(stock.ask(0, ms(now)).is_none());
    }
    assert_eq!(stock.take(ms(107)), StockTake::Wait);
    assert!(stock.ask(1, ms(107)).is_some());
}

/// Guards against a VM without the holder that goes on for ever, or above its recent rate.
#[test]
fn a_vm_without_the_holder_continues_for_a_bounded_time() {
    let mut stock = RateStock::new(LIMIT, ms(0));
    let mut now = 0;
    while now < 10_000 {
        stock.record_arrival(ms(now));
        if let Some(ask) = stock.ask(1, ms(now)) {
            stock.record_grant(granted(ask.wanted), ms(now));
        }
        assert!(matches!(stock.take(ms(now)), StockTake::Token(_)));
        now += 50;
    }
    let mut admitted = Vec::new();
    while now < 25_000 {
        if stock.ask(1, ms(now)).is_some() {
            stock.record_failure(RefusalCause::HolderUnreachable, true, 0.5, ms(now));
        }
        if matches!(stock.take(ms(now)), StockTake::Token(_)) {
            admitted.push(now);
        }
        now += 5;
    }
    let first = admitted.iter().filter(|at| **at < 15_000).count();
    assert!((80..=105).contains(&first), "{first}");
    let end = Duration::from_secs(10) + rate_limit::AUTONOMY_LIMIT + ms(500);
    assert!(admitted.iter().all(|at| ms(*at) < end));
}

/// Guards against callers that all come back at the same moment.
#[test]
fn refused_callers_are_spread() {
    let mut stock = asked_stock(1, 0);
    let pauses: Vec<_> = (0..100_u32)
        .map(|caller| stock.record_refusal(f64::from(caller % 10) / 10.0, ms(10)))
        .collect();
    assert!(
        pauses
            .iter()
            .all(|pause| *pause >= ms(50) && *pause <= ms(2_000))
    );
    assert!(pauses.iter().max() > pauses.iter().min());
    let mut few = asked_stock(1, 0);
    assert!(few.record_refusal(0.0, ms(10)) < ms(2_000));
}

fn facts(renewed_at: u64) -> HolderFacts {
    HolderFacts {
        renewed_at: Some(ms(renewed_at)),
        reaches_store: true,
        isolated: false,
        follows_peers: false,
        entry_vanished: false,
        place: PlaceEvidence::Unknown,
        may_take_over: true,
    }
}

/// Returns a VM that has held the bucket of `w` for long enough to grant, at 2 s.
fn ready_holder() -> RateHolder {
    let mut holder = RateHolder::new(ms(6_000), ms(2_500));
    let limits = BTreeMap::from([("w".to_owned(), LIMIT)]);
    holder.record_run(ms(0));
    holder.update(&limits, |_name| true, facts(0), ms(0));
    let before = rate_holder::TAKEOVER_DELAY - ms(1);
    let early = holder.grant("vm-1", "w", LIMIT, ask(9, 9.0), facts(0), before);
    assert_eq!(early, None, "the other VMs may not know of the new holder");
    for now in 1..=20 {
        holder.record_run(ms(now * 100));
    }
    holder
}

/// Guards against a holder that grants although another VM may have taken its place.
#[test]
fn a_holder_whose_entry_is_old_does_not_grant() {
    let mut holder = ready_holder();
    let grant = holder.grant("vm-1", "w", LIMIT, ask(9, 9.0), facts(0), ms(2_000));
    assert_eq!(grant.map(|grant| grant.granted), Some(9));
    let late = holder.grant("vm-1", "w", LIMIT, ask(9, 9.0), facts(0), ms(5_600));
    assert_eq!(late, None);
}

/// Guards against a holder that was suspended and grants for the time in which the other VMs
/// continued without it, or before it knows that its entry is still there.
#[test]
fn a_suspended_holder_renews_and_does_not_refill() {
    let mut holder = ready_holder();
    let first = holder.grant("vm-1", "w", LIMIT, ask(60, 60.0), facts(0), ms(2_000));
    assert!(first.is_some());
    assert_eq!(holder.record_run(ms(2_900)), None);
    let grant = holder.grant("vm-1", "w", LIMIT, ask(60, 60.0), facts(0), ms(2_910));
    assert!(grant.is_some_and(|grant| grant.granted <= 1), "{grant:?}");
    assert_eq!(holder.record_run(ms(5_000)), Some(ms(2_100)));
    let grant = holder.grant("vm-1", "w", LIMIT, ask(60, 60.0), facts(4_000), ms(5_010));
    assert_eq!(grant, None);
    let grant = holder.grant("vm-1", "w", LIMIT, ask(60, 60.0), facts(5_000), ms(5_020));
    assert!(grant.is_some_and(|grant| grant.granted <= 2), "{grant:?}");
}

/// Guards against a new workspace that waits as if another VM had granted its tokens.
#[test]
fn a_new_workspace_is_granted_at_once() {
    let mut holder = ready_holder();
    let limits = BTreeMap::from([("w".to_owned(), LIMIT), ("new".to_owned(), LIMIT)]);
    holder.update(&limits, |_name| true, facts(0), ms(2_000));
    let grant = holder.grant("vm-1", "new", LIMIT, ask(3, 9.0), facts(0), ms(2_100));
    assert_eq!(grant.map(|grant| grant.granted), Some(3));
    let changes = holder.update(&BTreeMap::new(), |_name| true, facts(0), ms(2_200));
    assert_eq!(
        changes.len(),
        2,
        "workspaces that are not listed are dropped"
    );
}

/// Returns the facts of a VM that the store does not answer.
fn turned_away(place: PlaceEvidence) -> HolderFacts {
    HolderFacts {
        reaches_store: false,
        place,
        ..facts(0)
    }
}

/// Guards against the failure of `review/8`: a holder that the store turns away grants on beside the VM that
/// has taken its place.
#[test]
fn a_holder_grants_no_longer_than_the_others_keep_its_entry() {
    let grant = |place, now| {
        let mut holder = ready_holder();
        for step in 21..now / 100 {
            holder.record_run(ms(step * 100));
        }
        holder.grant("vm-1", "w", LIMIT, ask(2, 9.0), turned_away(place), ms(now))
    };
    assert!(grant(PlaceEvidence::Unknown, 7_900).is_some());
    assert_eq!(grant(PlaceEvidence::Unknown, 8_000), None);
    assert_eq!(grant(PlaceEvidence::Lost, 6_000), None);
    assert!(grant(PlaceEvidence::Kept, 60_000).is_some());
    let cut_off = HolderFacts {
        isolated: true,
        ..turned_away(PlaceEvidence::Kept)
    };
    let late = ready_holder().grant("vm-1", "w", LIMIT, ask(2, 9.0), cut_off, ms(8_000));
    assert_eq!(late, None);
}

/// Guards against a VM that reaches neither the store nor the holder, and spends beside a new holder that
/// it does not know of.
#[test]
fn a_vm_that_learns_nothing_of_the_members_stops_before_a_new_holder_grants() {
    let mut holder = ready_holder();
    let grant = holder.grant("vm-1", "w", LIMIT, ask(9, 9.0), facts(0), ms(2_000));
    let grant = grant.expect("a grant");
    assert_eq!(grant.unreplaced_for, ms(6_500));
    let mut stock = RateStock::new(LIMIT, ms(0));
    for now in (0..2_000).step_by(50) {
        stock.record_arrival(ms(now));
        if let Some(ask) = stock.ask(1, ms(now)) {
            stock.record_grant(granted(ask.wanted), ms(now));
        }
        assert!(matches!(stock.take(ms(now)), StockTake::Token(_)));
    }
    assert!(stock.ask(9, ms(2_000)).is_some());
    stock.record_grant(grant, ms(2_000));
    stock.set_informed(false);
    assert!(stock.ask(9, ms(2_400)).is_some());
    stock.record_failure(RefusalCause::HolderUnreachable, true, 0.5, ms(2_400));
    let admitted = |stock: &mut RateStock, from: u64| {
        let times = (from..from + 2_000).step_by(5);
        times
            .filter(|now| matches!(stock.take(ms(*now)), StockTake::Token(_)))
            .count()
    };
    assert!(admitted(&mut stock, 6_400) > 0);
    assert_eq!(admitted(&mut stock, 8_500), 0);
    stock.set_informed(true);
    assert!(admitted(&mut stock, 9_500) > 0);
}

/// Guards against a VM that has just started and takes a bucket over which the others still ask another VM
/// for, whose entry has just vanished.
#[test]
fn a_vm_that_has_just_started_takes_over_only_what_nobody_holds() {
    let limits = BTreeMap::from([("w".to_owned(), LIMIT)]);
    let started = HolderFacts {
        may_take_over: false,
        ..facts(0)
    };
    let mut holder = RateHolder::new(ms(6_000), ms(2_500));
    assert!(
        holder
            .update(&limits, |_name| true, started, ms(100))
            .is_empty()
    );
    assert_eq!(
        holder
            .update(&limits, |_name| true, facts(0), ms(200))
            .len(),
        1
    );
}

fn view(reaches_store: bool, lists_caller: bool) -> Option<PlaceView> {
    Some(PlaceView {
        reaches_store,
        lists_caller,
        entry_vanished: false,
        established: true,
        same_members: lists_caller,
    })
}

/// Guards against a holder that takes silence for the news that nobody has taken its place.
#[test]
fn the_place_is_kept_only_if_an_informed_vm_says_so_or_all_lack_the_store() {
    let judge = PlaceEvidence::judge;
    assert_eq!(judge(&[view(true, true), None]), PlaceEvidence::Kept);
    assert_eq!(
        judge(&[view(true, true), view(true, false)]),
        PlaceEvidence::Lost
    );
    assert_eq!(
        judge(&[view(false, true), view(false, true)]),
        PlaceEvidence::Kept
    );
    assert_eq!(judge(&[view(false, true), None]), PlaceEvidence::Unknown);
    assert_eq!(
        judge(&[view(false, true), view(false, false)]),
        PlaceEvidence::Lost
    );
    assert_eq!(judge(&[]), PlaceEvidence::Unknown);
    let vanished = view(true, true).map(|view| PlaceView {
        entry_vanished: true,
        ..view
    });
    assert_eq!(judge(&[view(true, true), vanished]), PlaceEvidence::Unknown);
    assert!(place_evidence::knows_members(&[view(true, true), None]));
    assert!(!place_evidence::knows_members(&[
        view(true, false),
        view(false, true)
    ]));
    assert!(place_evidence::knows_members(&[view(false, true)]));
    let starting = PlaceView {
        reaches_store: true,
        lists_caller: true,
        entry_vanished: false,
        established: false,
        same_members: false,
    };
    assert!(place_evidence::may_take_over(&[Some(starting), None]));
    assert!(place_evidence::may_take_over(&[view(true, true)]));
    assert!(!place_evidence::may_take_over(&[
        view(true, false),
        Some(starting)
    ]));
    assert!(!place_evidence::may_take_over(&[None]));
    assert!(place_evidence::may_take_over(&[]));
}
