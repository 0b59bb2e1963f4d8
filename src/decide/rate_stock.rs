//! [`RateStock`]: the tokens of a workspace that one VM has in stock.
//!
//! Addresses VMs with 0.12 cores: tokens are asked for in batches ahead of the operations, and a VM
//! with many refused operations does not ask for each. Also decides how a VM continues while the
//! holder of the bucket cannot be reached.

use std::collections;
use std::time;

use crate::decide::{decayed_rate, rate_holder, rate_limit};

/// Span over which the demand is averaged.
const DEMAND_SPAN: time::Duration = time::Duration::from_secs(1);
/// Time of demand for which tokens are asked beyond those that operations wait for. Half of the
/// expiry, so that few tokens expire unused.
const ASK_SECONDS: f64 = 0.15;
/// Time of demand below which the stock is replenished before an operation has to wait.
const LOW_SECONDS: f64 = 0.05;
/// Demand per second from which that is done. Below, an ask costs an operation one round trip, and
/// tokens that are asked for too early would expire, which refuses operations below the limit.
const STEADY_DEMAND: f64 = 20.0;
/// Interval at which a VM without the holder asks it again.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Age of the last answer above which its scale no longer counts.
const SCALE_AGE: time::Duration = time::Duration::from_secs(10);
/// Time after the last ask at which a VM that has hardly any operations asks for a scale alone.
const SCALE_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Time for whose operations a VM without the holder may save up if the workspace has no burst.
const CREDIT_SECONDS: f64 = 0.5;
/// Time for whose operations it may save up at most, with what it may save of the burst. Savings of
/// many VMs may be spent at the same time.
const MOST_CREDIT_SECONDS: f64 = 1.5;
/// Most operations that a VM may start with if that is more than it may save up.
const START_OPERATIONS: f64 = 2.0;
/// Most operations per second of a VM without the holder that had hardly any before.
const MOST_SPARE: f64 = 0.5;
/// Time without an operation after which a stock is dropped.
const UNUSED_AFTER: time::Duration = time::Duration::from_secs(60);
/// Range of the time after which callers are told to come back, in seconds.
const RETRY_RANGE: (f64, f64) = (0.05, 2.0);

/// Why an operation finds no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum RefusalCause {
    /// The limit of the workspace is reached.
    Limit,
    /// The holder of the bucket cannot be reached.
    HolderUnreachable,
    /// The VM that was asked may not grant.
    HolderNotValid,
}

/// A spent token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateToken {
    expires_at: time::Duration,
}

/// What an operation finds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StockTake {
    /// A token.
    Token(RateToken),
    /// No token; an answer of the holder may bring one.
    Wait,
    /// No token, and none is expected.
    Refused(RefusalCause),
}

#[derive(Clone, Debug)]
struct AutonomyState {
    cause: RefusalCause,
    until: time::Duration,
    /// Whether the time was extended because a new holder does not grant yet.
    extended: bool,
    /// Operations per second.
    rate: f64,
    /// Operations that the VM may save up.
    most: f64,
    credit: f64,
    credited_at: time::Duration,
}

/// The stock of one VM.
#[derive(Clone, Debug)]
pub struct RateStock {
    limit: rate_limit::RateLimit,
    /// Tokens and when they expire, oldest first.
    lots: collections::VecDeque<(time::Duration, u32)>,
    demand: decayed_rate::DecayedRate,
    admitted: decayed_rate::DecayedRate,
    refused: decayed_rate::DecayedRate,
    scale: f64,
    answered_at: Option<time::Duration>,
    /// When the ask was sent that is not answered yet.
    asked_at: Option<time::Duration>,
    /// Tokens that the last ask wanted.
    wanted: u32,
    last_ask: time::Duration,
    /// Whether the last ask said that this VM stays in contact.
    kept: bool,
    /// Until when the holder has no token for this VM.
    refused_until: time::Duration,
    autonomy: Option<AutonomyState>,
    /// Number of VMs of the system; zero if it is not known.
    members: u32,
    /// Whether the holder has changed since the last grant.
    holder_changed: bool,
    /// Whether this VM learns of a new holder.
    informed: bool,
    /// Until when no other VM than the holder can grant.
    unreplaced_until: time::Duration,
    used_at: time::Duration,
    /// What this VM alone may spend, whatever was granted under an earlier configuration.
    cap: f64,
    capped_at: time::Duration,
}

impl RateStock {
    /// Creates an empty stock.
    #[must_use]
    pub fn new(limit: rate_limit::RateLimit, now: time::Duration) -> Self {
        Self {
            limit,
            lots: collections::VecDeque::new(),
            demand: decayed_rate::DecayedRate::new(DEMAND_SPAN),
            admitted: decayed_rate::DecayedRate::new(rate_limit::ADMITTED_SPAN),
            refused: decayed_rate::DecayedRate::new(DEMAND_SPAN),
            scale: 0.0,
            answered_at: None,
            asked_at: None,
            wanted: 0,
            last_ask: time::Duration::ZERO,
            kept: false,
            refused_until: time::Duration::ZERO,
            autonomy: None,
            members: 0,
            holder_changed: false,
            informed: true,
            unreplaced_until: time::Duration::ZERO,
            used_at: now,
            cap: cap_of(limit),
            capped_at: now,
        }
    }

    /// Applies other limits. A lower limit also reduces what is in stock.
    pub fn set_limit(&mut self, limit: rate_limit::RateLimit, now: time::Duration) {
        if limit == self.limit {
            return;
        }
        self.refill_cap(now);
        let old = std::mem::replace(&mut self.limit, limit);
        if limit.rate < old.rate {
            let factor = limit.rate / old.rate;
            for (_expires_at, count) in &mut self.lots {
                // The cast truncates to whole tokens.
                *count = (f64::from(*count) * factor) as u32;
            }
            self.admitted.scale(factor);
            if let Some(autonomy) = &mut self.autonomy {
                autonomy.rate *= factor;
                autonomy.most = (autonomy.most * factor).max(1.0);
                autonomy.credit = autonomy.credit.min(autonomy.most);
            }
        }
        if limit.rate > old.rate || limit.burst > old.burst {
            self.refused_until = time::Duration::ZERO;
        }
        self.cap = self.cap.min(cap_of(limit));
    }

    /// Sets the number of VMs of the system, among which the operations that the admitted rates leave
    /// without the holder are divided.
    pub const fn set_members(&mut self, members: u32) {
        self.members = members;
    }

    /// Sets whether this VM learns of a new holder. If it does not, it may continue without the holder
    /// only until a new one can grant.
    pub const fn set_informed(&mut self, informed: bool) {
        self.informed = informed;
    }

    /// Records that an operation arrived.
    pub fn record_arrival(&mut self, now: time::Duration) {
        self.demand.add(1.0, now);
        self.used_at = now;
    }

    /// Takes a token for an operation.
    pub fn take(&mut self, now: time::Duration) -> StockTake {
        self.refill_cap(now);
        self.drop_expired(now);
        if self.cap < 1.0 {
            return StockTake::Refused(RefusalCause::Limit);
        }
        if let Some((expires_at, count)) = self.lots.front_mut() {
            let token = RateToken {
                expires_at: *expires_at,
            };
            *count -= 1;
            self.record_admitted(now);
            return StockTake::Token(token);
        }
        let Some(autonomy) = &mut self.autonomy else {
            return if self.asked_at.is_none() && now < self.refused_until {
                StockTake::Refused(RefusalCause::Limit)
            } else {
                StockTake::Wait
            };
        };
        if !self.informed && now >= self.unreplaced_until {
            autonomy.pause(now);
        } else {
            autonomy.accrue(now);
        }
        if autonomy.credit < 1.0 {
            return StockTake::Refused(autonomy.cause);
        }
        autonomy.credit -= 1.0;
        self.record_admitted(now);
        StockTake::Token(RateToken { expires_at: now })
    }

    /// Takes back the token of an operation that no upstream has received.
    pub fn give_back(&mut self, token: RateToken, now: time::Duration) {
        if now >= token.expires_at {
            return;
        }
        self.admitted.add(-1.0, now);
        self.cap += 1.0;
        let at = self
            .lots
            .partition_point(|(expires_at, _count)| *expires_at < token.expires_at);
        match self.lots.get_mut(at) {
            Some((expires_at, count)) if *expires_at == token.expires_at => *count += 1,
            _ => self.lots.insert(at, (token.expires_at, 1)),
        }
    }

    /// Returns whether the holder is to be asked. `waiting` is the number of operations that wait for a
    /// token.
    #[must_use]
    pub fn is_ask_due(&self, waiting: u32, now: time::Duration) -> bool {
        if self.asked_at.is_some() {
            return false;
        }
        let since_ask = now.saturating_sub(self.last_ask);
        if self.autonomy.is_some() {
            return since_ask >= RETRY_INTERVAL;
        }
        let keeps_rate = self.keeps_rate(now);
        let stock = self.stock(now);
        let demand = self.demand.per_second(now);
        let low =
            waiting > stock || (demand >= STEADY_DEMAND && f64::from(stock) < demand * LOW_SECONDS);
        (low && now >= self.refused_until)
            || (keeps_rate && since_ask >= rate_limit::CONTACT_INTERVAL)
            || (self.kept && !keeps_rate)
            || (self.answered_at.is_some() && since_ask >= SCALE_INTERVAL)
    }

    /// Returns what to ask the holder for, if it is to be asked, and records the ask as sent.
    pub fn ask(&mut self, waiting: u32, now: time::Duration) -> Option<rate_limit::RateAsk> {
        if !self.is_ask_due(waiting, now) {
            return None;
        }
        let keeps_rate = self.keeps_rate(now);
        let demand = self.demand.per_second(now);
        // The cast truncates to whole tokens.
        let ahead = if waiting > 0 || demand >= STEADY_DEMAND {
            (demand * ASK_SECONDS) as u32
        } else {
            0
        };
        self.asked_at = Some(now);
        self.last_ask = now;
        self.kept = keeps_rate;
        self.wanted = waiting
            .saturating_add(ahead)
            .saturating_sub(self.stock(now));
        Some(rate_limit::RateAsk {
            wanted: self.wanted,
            demand,
            admitted: self.admitted.per_second(now),
            keeps_rate,
        })
    }

    fn keeps_rate(&self, now: time::Duration) -> bool {
        self.admitted.per_second(now) >= rate_limit::KEPT_RATE
    }

    fn stock(&self, now: time::Duration) -> u32 {
        let valid = self
            .lots
            .iter()
            .filter(|(expires_at, _count)| now < *expires_at);
        valid.map(|(_expires_at, count)| *count).sum()
    }

    /// Records the answer to the ask. Returns whether the VM had continued without the holder.
    pub fn record_grant(&mut self, grant: rate_limit::RateGrant, now: time::Duration) -> bool {
        let Some(asked_at) = self.asked_at.take() else {
            return false;
        };
        self.answered_at = Some(now);
        self.holder_changed = false;
        self.scale = grant.scale.clamp(0.0, rate_limit::MAX_SCALE);
        self.unreplaced_until = asked_at + grant.unreplaced_for;
        let expires_at = asked_at + rate_limit::TOKEN_EXPIRY;
        if grant.granted > 0 && now < expires_at {
            self.lots.push_back((expires_at, grant.granted));
        }
        if grant.granted < self.wanted {
            self.refused_until = now + grant.retry_after;
        }
        self.autonomy.take().is_some()
    }

    /// Records that the ask was not answered, or that the VM that was asked may not grant. `phase`
    /// is a random number from 0 to 1: VMs whose rates are far below one operation per second
    /// together admit as many as their rates allow. Returns whether the VM begins to continue
    /// without the holder.
    pub fn record_failure(
        &mut self,
        cause: RefusalCause,
        may_continue: bool,
        phase: f64,
        now: time::Duration,
    ) -> bool {
        self.asked_at = None;
        if let Some(autonomy) = &mut self.autonomy {
            autonomy.cause = cause;
            autonomy.accrue(now);
            if !may_continue && !self.kept {
                autonomy.rate = 0.0;
                autonomy.credit = 0.0;
            }
            let waits = cause == RefusalCause::HolderNotValid && self.holder_changed;
            if waits && !autonomy.extended {
                autonomy.extended = true;
                autonomy.until = autonomy.until.max(now + rate_holder::TAKEOVER_DELAY);
                autonomy.credited_at = now;
            }
            return false;
        }
        let fresh = self
            .answered_at
            .is_some_and(|answered_at| now.saturating_sub(answered_at) <= SCALE_AGE);
        let split = if fresh {
            rate_limit::ScaleSplit::new(self.scale, self.limit.rate)
        } else {
            // Without a recent scale, a whole burst may be in the average.
            let burst = self.limit.burst / rate_limit::ADMITTED_SPAN.as_secs_f64();
            rate_limit::ScaleSplit {
                factor: self.limit.rate / (self.limit.rate + burst).max(f64::MIN_POSITIVE),
                spare: 0.0,
            }
        };
        let mut rate = 0.0;
        let mut credit = phase.clamp(0.0, 1.0);
        if may_continue || self.kept {
            rate = (self.admitted.per_second(now) * split.factor).min(self.limit.rate);
        }
        // What a VM in contact may spend is reserved by the holder, without a part of the spare rate.
        if may_continue && !self.kept && self.members > 0 {
            rate += (split.spare / f64::from(self.members)).min(MOST_SPARE);
        }
        let saved = CREDIT_SECONDS + self.limit.burst / self.limit.rate.max(f64::MIN_POSITIVE);
        let saved = saved.min(MOST_CREDIT_SECONDS);
        let mut most = (rate * saved).max(1.0);
        if may_continue && self.members > 0 && fresh && self.scale > rate_limit::STEADY_SCALE {
            // All VMs together may start with what they may save up.
            let start = self.limit.rate * saved / f64::from(self.members);
            most = most.max(start.min(START_OPERATIONS));
            credit = (credit + start).min(most);
        }
        self.autonomy = Some(AutonomyState {
            cause,
            until: now + rate_limit::AUTONOMY_LIMIT,
            extended: false,
            rate,
            most,
            credit,
            credited_at: now,
        });
        true
    }

    /// Records that another VM is the holder from now on, which is to be asked at once.
    pub fn change_holder(&mut self) {
        self.asked_at = None;
        self.last_ask = time::Duration::ZERO;
        self.refused_until = time::Duration::ZERO;
        self.kept = false;
        self.holder_changed = true;
        self.unreplaced_until = time::Duration::ZERO;
    }

    /// Records a refused operation. Returns after which time its caller should come back; `phase`
    /// is a random number from 0 to 1 that spreads the callers.
    pub fn record_refusal(&mut self, phase: f64, now: time::Duration) -> time::Duration {
        self.refused.add(1.0, now);
        let admitted = self.admitted.per_second(now).max(0.5);
        let backlog = self.refused.per_second(now) / admitted;
        let (shortest, longest) = RETRY_RANGE;
        let pause = (backlog * (0.5 + phase)).clamp(shortest * (1.0 + phase), longest);
        time::Duration::try_from_secs_f64(pause).unwrap_or_default()
    }

    /// Returns the refused operations per second.
    #[must_use]
    pub fn refused_per_second(&self, now: time::Duration) -> f64 {
        self.refused.per_second(now)
    }

    /// Returns whether the VM continues without the holder.
    #[must_use]
    pub const fn is_autonomous(&self) -> bool {
        self.autonomy.is_some()
    }

    /// Returns whether an ask is not answered yet.
    #[must_use]
    pub const fn is_asking(&self) -> bool {
        self.asked_at.is_some()
    }

    /// Returns whether the stock holds nothing that matters.
    #[must_use]
    pub fn is_unused(&self, now: time::Duration) -> bool {
        now.saturating_sub(self.used_at) > UNUSED_AFTER && !self.kept
    }

    fn record_admitted(&mut self, now: time::Duration) {
        self.admitted.add(1.0, now);
        self.cap -= 1.0;
    }

    fn drop_expired(&mut self, now: time::Duration) {
        self.lots
            .retain(|(expires_at, count)| *count > 0 && now < *expires_at);
    }

    fn refill_cap(&mut self, now: time::Duration) {
        let elapsed = now.saturating_sub(self.capped_at).as_secs_f64();
        self.capped_at = self.capped_at.max(now);
        self.cap = (self.cap + self.limit.rate * elapsed).min(cap_of(self.limit));
    }
}

impl AutonomyState {
    /// Gives up what was saved, since another VM may be granting.
    const fn pause(&mut self, now: time::Duration) {
        self.credit = 0.0;
        self.credited_at = now;
    }

    fn accrue(&mut self, now: time::Duration) {
        let until = now.min(self.until);
        let elapsed = until.saturating_sub(self.credited_at).as_secs_f64();
        self.credited_at = self.credited_at.max(until);
        self.credit = (self.credit + self.rate * elapsed).min(self.most);
        if now >= self.until {
            self.credit = 0.0;
        }
    }
}

/// Returns what one VM may spend at once: the burst, and tokens that were granted but not spent
/// before they expire.
fn cap_of(limit: rate_limit::RateLimit) -> f64 {
    (limit.burst + limit.rate * rate_limit::TOKEN_EXPIRY.as_secs_f64()).max(1.0)
}
