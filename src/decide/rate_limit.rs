//! [`RateLimit`]: the limits of a workspace, and the constants that the holder of its bucket and
//! the VMs that ask it share.

use std::time;

/// Time after an ask at which the tokens that it brought expire, by the clock of the VM that asked.
/// Spending lags grants by at most this time, which adds `rate` times it to a window.
pub const TOKEN_EXPIRY: time::Duration = time::Duration::from_millis(300);
/// Span of the average of admitted operations, from which a VM without the holder continues.
pub const ADMITTED_SPAN: time::Duration = time::Duration::from_secs(5);
/// Highest factor by which a VM without the holder may exceed its admitted rate, so that
/// fluctuations of a workspace below its limit are not refused.
pub const MAX_SCALE: f64 = 4.0;
/// Factor on its admitted rate that a VM without the holder uses before it leaves part of the scale to
/// VMs with few operations. It is also the highest scale of a holder that has not granted for long.
pub const STEADY_SCALE: f64 = 1.25;
/// Share of the limit that all VMs together may spend without the holder. The rest covers the time
/// until VMs and the holder notice that they do not reach each other.
pub const AUTONOMY_SHARE: f64 = 0.95;
/// Time for which a VM may continue without the holder. Another holder is named by then: the entry
/// of a lost VM expires after 6 s and is removed 2.5 s later, and a watch may be 1 s late.
pub const AUTONOMY_LIMIT: time::Duration = time::Duration::from_millis(9_500);
/// Admitted operations per second from which a VM stays in contact with the holder, which then
/// reserves this rate for it while it is silent.
pub const KEPT_RATE: f64 = 1.0;
/// Longest time between two asks of a VM whose rate the holder keeps.
pub const CONTACT_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Time without an ask after which such a VM may be cut off and spend without the holder.
pub const SILENT_AFTER: time::Duration = time::Duration::from_millis(450);

/// Limits of a workspace over all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Operations per second.
    pub rate: f64,
    /// Operations that may come at once.
    pub burst: f64,
}

/// How the VMs without the holder divide what they may spend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScaleSplit {
    /// Factor on the admitted rate of each VM.
    pub factor: f64,
    /// Operations per second of all VMs together that is left for VMs with few operations.
    pub spare: f64,
}

impl ScaleSplit {
    /// Splits the scale that a holder sent: the admitted rates add up to at most
    /// [`AUTONOMY_SHARE`] of `rate` divided by it, so that both parts do not exceed that share.
    #[must_use]
    pub fn new(scale: f64, rate: f64) -> Self {
        let factor = (scale / 2.0).max(scale.min(STEADY_SCALE));
        let spare = if scale > factor {
            rate * AUTONOMY_SHARE * (1.0 - factor / scale)
        } else {
            0.0
        };
        Self { factor, spare }
    }
}

impl RateLimit {
    /// Creates limits; values that are no numbers or negative count as zero.
    #[must_use]
    pub const fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate: rate.max(0.0),
            burst: burst.max(0.0),
        }
    }
}

/// What a VM asks the holder for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateAsk {
    /// Tokens wanted.
    pub wanted: u32,
    /// Recent arrivals at the VM per second, refused ones included.
    pub demand: f64,
    /// Recently admitted operations at the VM per second.
    pub admitted: f64,
    /// Whether the VM stays in contact, so that the holder reserves its rate while it is silent.
    pub keeps_rate: bool,
}

/// What the holder answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateGrant {
    /// Tokens granted.
    pub granted: u32,
    /// Factor on the admitted rate of a VM that loses the holder, so that the rates of all VMs
    /// together stay within the limit.
    pub scale: f64,
    /// If fewer tokens were granted than wanted: when the VM may expect the next one.
    pub retry_after: time::Duration,
    /// Time for which no other VM can grant from the bucket, also if the holder falls silent now.
    pub unreplaced_for: time::Duration,
}
