//! [`RateBucket`]: the token bucket of a workspace at its holder.
//!
//! Addresses one workspace at 7.5 times its rate: what the bucket has is divided among the VMs that
//! ask in proportion to their demand. In any window, it grants at most `rate` times the length of
//! the window plus `burst`.

use std::collections;
use std::time;

use crate::decide::{decayed_rate, rate_limit};
use crate::model::ids;

/// Time after which the demand that a VM reported no longer counts.
const DEMAND_AGE: time::Duration = time::Duration::from_millis(1_000);
/// Time over which an overloaded bucket hands out what it has in stock beyond its refill.
const DRAIN_SECONDS: f64 = 1.0;
/// Time of the demand of all VMs for which the bucket has to hold tokens beyond what a VM wants, so
/// that the VM gets all of it while the demand exceeds the rate. Short bursts do.
const SPARE_SECONDS: f64 = 0.1;
/// Time for whose tokens a VM may save up its share.
const CREDIT_SECONDS: f64 = 0.5;
/// Span of the longer average of the tokens granted.
const LONG_SPAN: time::Duration = time::Duration::from_secs(30);
/// Tokens that a pool holds when it is opened, and that it may save up at any rate.
const POOL_CREDIT: f64 = 4.0;
/// Shortest and longest time that a VM is told to wait for tokens.
const RETRY_RANGE: (f64, f64) = (0.02, 0.5);

/// How much a holder may grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GrantMode {
    /// Everything in the bucket.
    Full,
    /// From a pool that is refilled at the recent rate of all VMs: another VM may be about to take
    /// over. `most_scale` bounds the factor on that rate.
    Pooled {
        /// Largest factor on the recent rate.
        most_scale: f64,
    },
    /// From a pool that is refilled at the recent rates of the VMs that still ask: the holder is
    /// cut off, and VMs that it cannot reach continue at theirs.
    CutOff {
        /// Largest factor on the recent rates.
        most_scale: f64,
    },
}

#[derive(Clone, Debug)]
struct VmAccount {
    demand: f64,
    heard_at: time::Duration,
    /// When the VM last got a token.
    granted_at: time::Duration,
    /// Share of the refill that was not granted yet, while the bucket is overloaded.
    credit: f64,
    /// Rate of the VM when the pool was opened; zero for a VM that first asked later.
    pool_rate: f64,
    /// Admitted operations per second that the VM reported. A new holder does not know what the last
    /// one granted.
    reported: f64,
    keeps_rate: bool,
}

/// What a holder grants from that another VM may be about to replace, or that is cut off.
#[derive(Clone, Debug)]
struct TokenPool {
    opened_at: time::Duration,
    /// Recent rate of all VMs when the pool was opened. It does not decay: operations that a VM has
    /// seldom would be refused.
    rate: f64,
    credit: f64,
    refilled_at: time::Duration,
}

/// The token bucket of a workspace.
#[derive(Clone, Debug)]
pub struct RateBucket {
    limit: rate_limit::RateLimit,
    tokens: f64,
    started_at: time::Duration,
    refilled_at: time::Duration,
    /// VMs that have asked recently.
    accounts: collections::BTreeMap<ids::VmId, VmAccount>,
    /// Tokens granted per second. VMs with few operations report less: an ask is sent before the
    /// operation that it is for counts.
    granted: decayed_rate::DecayedRate,
    /// The same over a longer time. A few operations in 5 s say little about the rate.
    long_granted: decayed_rate::DecayedRate,
    /// In place except in [`GrantMode::Full`].
    pool: Option<TokenPool>,
}

impl RateBucket {
    /// Creates an empty bucket. A new holder does not know what the last one has granted.
    #[must_use]
    pub fn new(limit: rate_limit::RateLimit, now: time::Duration) -> Self {
        Self {
            limit,
            tokens: 0.0,
            started_at: now,
            refilled_at: now,
            accounts: collections::BTreeMap::new(),
            granted: decayed_rate::DecayedRate::new(rate_limit::ADMITTED_SPAN),
            long_granted: decayed_rate::DecayedRate::new(LONG_SPAN),
            pool: None,
        }
    }

    /// Returns the tokens in the bucket.
    #[must_use]
    pub const fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Applies other limits.
    pub fn set_limit(&mut self, limit: rate_limit::RateLimit, now: time::Duration) {
        if limit == self.limit {
            return;
        }
        self.refill(now);
        self.limit = limit;
        self.tokens = self.tokens.min(limit.burst);
        for account in self.accounts.values_mut() {
            account.credit = account.credit.min(limit.rate * CREDIT_SECONDS);
        }
    }

    /// Forgets the time until `now`, in which the holder was suspended: the other VMs have spent
    /// their rates without it.
    pub fn skip(&mut self, now: time::Duration) {
        self.refilled_at = self.refilled_at.max(now);
        if let Some(pool) = &mut self.pool {
            pool.refilled_at = pool.refilled_at.max(now);
        }
    }

    /// Stops to reserve the rate of a VM that has closed its stream, and thus does not spend it.
    pub fn release_vm(&mut self, vm: &str) {
        if let Some(account) = self.accounts.get_mut(vm) {
            account.keeps_rate = false;
        }
    }

    /// Grants whole tokens to a VM.
    pub fn grant(
        &mut self,
        vm: &str,
        ask: rate_limit::RateAsk,
        mode: GrantMode,
        now: time::Duration,
    ) -> rate_limit::RateGrant {
        self.refill(now);
        self.update_pool(mode, now);
        self.record_ask(vm, ask, now);
        let demand = self.demand(now);
        let stock = match &self.pool {
            Some(pool) => self.tokens.min(pool.credit),
            None => self.tokens,
        };
        let spare = stock - f64::from(ask.wanted);
        let enough = spare >= (demand * SPARE_SECONDS).min(self.limit.burst / 4.0);
        let overloaded = demand > self.limit.rate && !enough;
        let scale = self.scale(now);
        let rate = self.limit.rate;
        let before = self.count_before(vm, now);
        let Some(account) = self.accounts.get_mut(vm) else {
            return rate_limit::RateGrant {
                granted: 0,
                scale,
                retry_after: seconds(RETRY_RANGE.1),
                unreplaced_for: time::Duration::ZERO,
            };
        };
        let share = if overloaded {
            account.credit.min(stock - f64::from(before))
        } else {
            stock
        };
        let granted = whole(share).min(ask.wanted);
        let spent = f64::from(granted);
        self.tokens -= spent;
        account.credit = (account.credit - spent).max(0.0);
        if let Some(pool) = &mut self.pool {
            pool.credit -= spent;
        }
        self.granted.add(spent, now);
        self.long_granted.add(spent, now);
        if granted > 0 {
            account.granted_at = now;
        }
        let own_rate = rate * (account.demand / demand.max(rate)).min(1.0);
        let missing = 1.0 - (share - spent).clamp(0.0, 1.0);
        let pause = if own_rate > 0.0 {
            missing / own_rate
        } else {
            RETRY_RANGE.1
        };
        rate_limit::RateGrant {
            granted,
            scale,
            retry_after: seconds(pause.clamp(RETRY_RANGE.0, RETRY_RANGE.1)),
            // Known to the holder only.
            unreplaced_for: time::Duration::ZERO,
        }
    }

    fn refill(&mut self, now: time::Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.accounts.retain(|_vm, account| {
            let age = now.saturating_sub(account.heard_at);
            age < rate_limit::AUTONOMY_LIMIT
        });
        let demand = self.demand(now);
        let available = self.limit.rate + self.tokens.max(0.0) / DRAIN_SECONDS;
        for account in self.accounts.values_mut() {
            if is_recent(account, now) {
                let share = account.demand / demand.max(f64::MIN_POSITIVE);
                let most = (self.limit.rate * share * CREDIT_SECONDS).max(1.0);
                account.credit = (account.credit + available * share * elapsed).min(most);
            }
        }
        let refill = (self.limit.rate - self.reserved(now)).max(0.0);
        self.tokens = (self.tokens + refill * elapsed).min(self.limit.burst.max(1.0));
    }

    /// Opens, refills or closes the pool. Its refill and the rates of VMs that are silent make up
    /// [`rate_limit::AUTONOMY_SHARE`] of the limit at most.
    fn update_pool(&mut self, mode: GrantMode, now: time::Duration) {
        if mode == GrantMode::Full {
            self.pool = None;
            return;
        }
        if self.pool.is_none() {
            let mut reported = 0.0;
            for account in self.accounts.values_mut() {
                account.pool_rate = account.admitted(now);
                reported += account.pool_rate;
            }
            self.pool = Some(TokenPool {
                opened_at: now,
                rate: self
                    .granted
                    .per_second(now)
                    .max(self.long_granted.per_second(now))
                    .max(reported),
                credit: POOL_CREDIT,
                refilled_at: now,
            });
        }
        let most = self.limit.rate * rate_limit::AUTONOMY_SHARE;
        let reserved = self.reserved(now);
        let Some(pool) = &mut self.pool else {
            return;
        };
        let rate = match mode {
            GrantMode::Full => 0.0,
            GrantMode::Pooled { most_scale } => {
                (pool.rate * rate_limit::MAX_SCALE.min(most_scale)).min(most - reserved)
            }
            GrantMode::CutOff { most_scale } => {
                let asking = self
                    .accounts
                    .values()
                    .filter(|account| account.heard_at >= pool.opened_at);
                let asking: f64 = asking.map(|account| account.pool_rate).sum();
                let scale = most / pool.rate.max(f64::MIN_POSITIVE);
                asking * scale.min(rate_limit::MAX_SCALE).min(most_scale)
            }
        };
        let rate = rate.max(0.0);
        let elapsed = now.saturating_sub(pool.refilled_at).as_secs_f64();
        pool.refilled_at = pool.refilled_at.max(now);
        let fullest = (rate * CREDIT_SECONDS).max(POOL_CREDIT);
        pool.credit = (pool.credit + rate * elapsed).min(fullest);
    }

    fn record_ask(&mut self, vm: &str, ask: rate_limit::RateAsk, now: time::Duration) {
        let account = self
            .accounts
            .entry(vm.to_owned())
            .or_insert_with(|| VmAccount {
                demand: 0.0,
                heard_at: now,
                granted_at: now,
                credit: 0.0,
                pool_rate: 0.0,
                reported: 0.0,
                keeps_rate: false,
            });
        account.demand = valid_rate(ask.demand);
        account.reported = valid_rate(ask.admitted);
        account.heard_at = now;
        account.keeps_rate = ask.keeps_rate;
    }

    /// Returns how many VMs have a whole token to their credit and have waited longer than `vm`.
    /// Otherwise the VM that asks first would get each of a few tokens.
    fn count_before(&self, vm: &str, now: time::Duration) -> u32 {
        let Some(own) = self.accounts.get(vm) else {
            return 0;
        };
        let waits_longer = |account: &&VmAccount| {
            account.credit >= 1.0 && account.granted_at < own.granted_at && is_recent(account, now)
        };
        let count = self.accounts.values().filter(waits_longer).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn demand(&self, now: time::Duration) -> f64 {
        self.accounts
            .values()
            .filter(|account| is_recent(account, now))
            .map(|account| account.demand)
            .sum()
    }

    /// Returns the rate that VMs may spend which are silent although they were to stay in contact.
    fn reserved(&self, now: time::Duration) -> f64 {
        let scale = self.scale(now);
        let silent = self
            .accounts
            .values()
            .filter(|account| is_silent(account, now));
        silent.map(|account| account.admitted(now) * scale).sum()
    }

    fn scale(&self, now: time::Duration) -> f64 {
        let accounts = self.accounts.values();
        let reported: f64 = accounts.map(|account| account.admitted(now)).sum();
        let granted = reported.max(self.granted.per_second(now));
        let rate = self.limit.rate * rate_limit::AUTONOMY_SHARE;
        // A new holder has not heard of all VMs that spend.
        let most = if now.saturating_sub(self.started_at) < rate_limit::AUTONOMY_LIMIT {
            rate_limit::STEADY_SCALE
        } else {
            rate_limit::MAX_SCALE
        };
        if granted * most <= rate {
            most
        } else {
            rate / granted
        }
    }
}

impl VmAccount {
    /// Returns the rate of the VM. One that is silent continues at the rate that it had.
    fn admitted(&self, now: time::Duration) -> f64 {
        if is_silent(self, now) {
            return self.reported;
        }
        let age = now.saturating_sub(self.heard_at).as_secs_f64();
        self.reported * (-age / rate_limit::ADMITTED_SPAN.as_secs_f64()).exp()
    }
}

/// Returns a rate that another VM reported, or zero if it is none.
fn valid_rate(rate: f64) -> f64 {
    if rate.is_finite() { rate.max(0.0) } else { 0.0 }
}

/// Returns whether a VM may spend without this one, since it was to stay in contact and has not.
fn is_silent(account: &VmAccount, now: time::Duration) -> bool {
    let silence = now.saturating_sub(account.heard_at);
    account.keeps_rate && silence > rate_limit::SILENT_AFTER
}

fn is_recent(account: &VmAccount, now: time::Duration) -> bool {
    now.saturating_sub(account.heard_at) <= DEMAND_AGE
}

fn seconds(value: f64) -> time::Duration {
    time::Duration::try_from_secs_f64(value).unwrap_or_default()
}

/// Returns the whole tokens in `value`.
fn whole(value: f64) -> u32 {
    // The cast saturates. The margin offsets sums of fractions that end just below a whole number.
    (value + 1e-9).max(0.0) as u32
}
