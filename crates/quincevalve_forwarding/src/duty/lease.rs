//! Decides whether this VM holds the duty, and what it may send.

use std::time::Duration;

use quincevalve_names::{FencingNumber, Scaled, TimePoint};

use super::term::{Term, era_of};

/// Fraction of a lease during which the holder may act; the rest covers calls that are in flight when it ends.
const USABLE_FRACTION: f64 = 0.8;
/// Maximum difference in milliseconds between two VMs' estimates of wall-clock time.
const MAX_CLOCK_DIFFERENCE_MS: i64 = 500;
/// Milliseconds from now on from which a stored time is another writer's: no clock is that far ahead.
const MAX_CLOCK_LEAD_MS: i64 = 60_000;

/// An attempt to take the duty over.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// The term that begins.
    pub term: Term,
    /// Whether the store may have lost terms that came before.
    pub may_have_lost_terms: bool,
    era: u64,
    requested_at: TimePoint,
    acts_from: TimePoint,
}

/// Why the duty can't be taken over now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotNow {
    /// The term was read in an earlier era than the newest.
    EarlierEra,
    /// This VM can't act before this time, and others may be able to.
    Before(TimePoint),
}

/// What to send next to keep the term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Read the term's claim, whose revision is unknown.
    ReadClaim,
    /// Renew the lease.
    Renew,
    /// Nothing: the term is over.
    Over(TermEnd),
}

/// Why a term is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TermEnd {
    /// A whole lease passed by this VM's clock since the newest answered renewal was sent.
    Expired,
    /// The store answered that the lease has ended.
    LeaseEnded,
    /// The store doesn't have the claim, or has it under another lease.
    ClaimLost,
    /// The store has returned from an older copy.
    StoreReturned,
    /// This VM gave the term up.
    GivenUp,
}

/// A claim as read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRead {
    /// The claim's revision, with the era of the answer.
    pub revision: u64,
    /// The lease that the claim is attached to.
    pub lease: u64,
}

/// The store's confirmation that this VM holds the term with this number: an answered renewal, for one call.
///
/// A VM that is suspended can't tell how old a confirmation is, so each call needs one that was asked for it. From the
/// renewal on no other VM can take over for the duration of a lease, and the call ends sooner.
#[derive(Debug)]
pub struct Confirmation(FencingNumber);

/// A term that this VM holds, of the newest known era.
#[derive(Clone, Debug)]
struct HeldTerm {
    number: FencingNumber,
    lease: u64,
    /// Time at which the newest answered renewal was sent.
    renewal_sent_at: TimePoint,
    /// Earliest time to act: before it, the holder of a lost term may still act.
    acts_from: TimePoint,
    /// Revision of the claim, once read.
    claim: Option<u64>,
    lost_terms_until_ms: i64,
}

/// This VM's part in the duty: the term that it holds, if any, and what a next one depends on.
///
/// Answers that this VM gets are recorded with [`Self::record_era`] first. Times are those of a clock that counts time
/// spent suspended. If it doesn't, waits last longer, and a term that is over seems to be held; no call is made for it,
/// because each needs a [`Confirmation`].
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_forwarding::duty::{DutyLease, LeaseStep, Term, TermEnd};
/// use quincevalve_names::TimePoint;
///
/// let ms = TimePoint::from_millis;
/// let mut duty = DutyLease::new("vm-1", Duration::from_secs(3), ms(0), true);
/// let takeover = duty.begin_takeover(&Term::default(), 0, ms(1_000), 0).expect("no other era is known");
/// let number = takeover.term.number;
/// assert!(duty.complete_takeover(takeover, 7, ms(1_010)));
/// let confirmation = duty.record_renewal(ms(1_020), ms(1_025)).expect("the term is held");
/// assert_eq!(duty.begin_call(confirmation, ms(1_030)), Some(number));
/// // The VM is suspended for four seconds: no answer brings the term back.
/// assert_eq!(duty.next_step(ms(5_100)), LeaseStep::Over(TermEnd::Expired));
/// assert!(duty.record_renewal(ms(5_100), ms(5_110)).is_none());
/// ```
#[derive(Clone, Debug)]
pub struct DutyLease {
    me: String,
    ttl: Duration,
    started_at: TimePoint,
    /// Whether the whole system starts for the first time.
    is_first_start: bool,
    /// The store's first known era, if any, the newest, and when that was first known, or the process started.
    first_era: Option<u64>,
    era: u64,
    era_known_at: TimePoint,
    /// The term of the takeover that is under way.
    taking: Option<FencingNumber>,
    held: Option<HeldTerm>,
    ended: TermEnd,
    /// The newest number with which this process made calls, and when the newest of them began or ended.
    last_call: Option<(FencingNumber, TimePoint)>,
}

impl DutyLease {
    /// Creates the state of a VM whose process started at `started_at`. `ttl` is the duration of a lease.
    pub fn new(me: &str, ttl: Duration, started_at: TimePoint, is_first_start: bool) -> Self {
        Self {
            me: me.to_owned(),
            ttl,
            started_at,
            is_first_start,
            first_era: None,
            era: 0,
            era_known_at: started_at,
            taking: None,
            held: None,
            ended: TermEnd::GivenUp,
            last_call: None,
        }
    }

    /// Records an era that an answer of the store or another VM stated. A term of an earlier era is over.
    ///
    /// The copy may hold this VM's lease and claim although another VM has taken over since, under a higher number.
    pub fn record_era(&mut self, era: u64, now: TimePoint) {
        self.first_era.get_or_insert(era);
        if era > self.era {
            self.era = era;
            self.era_known_at = now;
            self.end(TermEnd::StoreReturned);
        }
    }

    /// Returns the newest known era of the store.
    pub const fn era(&self) -> u64 {
        self.era
    }

    /// Begins to take the duty over from the term `before`, which was read at the revision `read_at`. `wall_ms` is the
    /// wall-clock time in milliseconds since 1970.
    ///
    /// The first term of an era says until when holders of lost terms may have recorded calls: until the store returned,
    /// so before this VM knew of the era. The commit of the takeover leaves that to all later holders of the era, whose
    /// processes may be newer than the return.
    ///
    /// # Errors
    ///
    /// Returns an error if that was read in an earlier era than the newest, or if this VM's calls would look like delayed
    /// ones of an earlier term.
    pub fn begin_takeover(
        &mut self,
        before: &Term,
        read_at: u64,
        now: TimePoint,
        wall_ms: i64,
    ) -> Result<Takeover, NotNow> {
        self.taking = None;
        if era_of(read_at) < self.era {
            return Err(NotNow::EarlierEra);
        }
        let distinguishable_from = self.calls_distinguishable_from(before);
        if now < distinguishable_from {
            return Err(NotNow::Before(distinguishable_from));
        }
        // A holder of a lost term renewed it last before the store returned, and acts until that lease would have ended.
        let lost_terms_end = self.era_known_at + self.ttl;
        let must_wait = self.era > before.era();
        let mut term = before.next(&self.me, read_at);
        let era_known_ms = wall_ms.saturating_sub(millis(now.since(self.era_known_at)));
        // A VM that starts for the first time can't tell a system without terms from one whose first term was lost.
        if must_wait || term.lost_terms_until_ms > wall_ms.saturating_add(MAX_CLOCK_LEAD_MS) {
            term.lost_terms_until_ms = era_known_ms.saturating_add(MAX_CLOCK_DIFFERENCE_MS);
        }
        self.taking = Some(term.number);
        Ok(Takeover {
            term,
            may_have_lost_terms: self.may_have_lost_terms(before),
            era: self.era,
            requested_at: now,
            acts_from: if must_wait { now.max(lost_terms_end) } else { now },
        })
    }

    /// Returns whether the store may have lost terms that followed `before`.
    fn may_have_lost_terms(&self, before: &Term) -> bool {
        let is_first_term = *before == Term::default()
            && self.is_first_start
            && self.first_era.is_none_or(|it| it == self.era);
        self.era > before.era() && !is_first_term
    }

    /// Returns from when on the platform can tell this VM's calls from delayed ones of an earlier term.
    ///
    /// If others have acted since this VM did, its calls are a lease apart. A process that has just started doesn't know
    /// when its VM acted last.
    fn calls_distinguishable_from(&self, before: &Term) -> TimePoint {
        let acted_at = if let Some((number, at)) = self.last_call {
            (before.number != number).then_some(at)
        } else {
            let may_have_acted = before.may_have_been_held_before(&self.me);
            (before.holder != self.me && may_have_acted).then_some(self.started_at)
        };
        acted_at.map_or(TimePoint::ZERO, |it| it + self.ttl)
    }

    /// Abandons the takeover that is under way, if any: an answer that comes later doesn't complete it.
    pub const fn abandon_takeover(&mut self) {
        self.taking = None;
    }

    /// Completes a takeover whose commit the store has acknowledged. Returns whether this VM holds the term.
    ///
    /// It doesn't if the store has returned from an older copy meanwhile, which may lack the lease or the commit, or if
    /// the lease may be over already.
    pub fn complete_takeover(&mut self, takeover: Takeover, lease: u64, now: TimePoint) -> bool {
        let Takeover { term, era, requested_at, acts_from, .. } = takeover;
        let is_under_way = self.taking.take() == Some(term.number);
        if !is_under_way || era != self.era || now.since(requested_at) >= self.ttl {
            return false;
        }
        self.held = Some(HeldTerm {
            number: term.number,
            lease,
            renewal_sent_at: requested_at,
            acts_from,
            claim: None,
            lost_terms_until_ms: term.lost_terms_until_ms,
        });
        true
    }

    /// Returns what to send next to keep the term. A term that is over stays over.
    pub fn next_step(&mut self, now: TimePoint) -> LeaseStep {
        if self.held.is_some() && !self.is_held(now) {
            self.end(TermEnd::Expired);
        }
        match &self.held {
            None => LeaseStep::Over(self.ended),
            Some(held) if held.claim.is_none() => LeaseStep::ReadClaim,
            Some(_) => LeaseStep::Renew,
        }
    }

    /// Records the answer to a read of the term's claim; `None` if the store doesn't have it. Returns whether this VM holds
    /// the term.
    pub fn record_claim(&mut self, read: Option<ClaimRead>) -> bool {
        let Some(held) = &mut self.held else { return false };
        match read.filter(|it| it.lease == held.lease) {
            Some(read) => held.claim = Some(read.revision),
            None => self.end(TermEnd::ClaimLost),
        }
        self.held.is_some()
    }

    /// Records an answered renewal that was sent at `sent_at`. Returns the confirmation of the term, if this VM holds it.
    pub fn record_renewal(&mut self, sent_at: TimePoint, now: TimePoint) -> Option<Confirmation> {
        if !self.is_held(now) {
            return None;
        }
        let held = self.held.as_mut()?;
        held.renewal_sent_at = held.renewal_sent_at.max(sent_at);
        Some(Confirmation(held.number))
    }

    /// Ends the term.
    pub fn end(&mut self, why: TermEnd) {
        if self.held.take().is_some() {
            self.ended = why;
        }
    }

    /// Returns the number of the term that this VM holds, also while it may not act.
    pub fn held_number(&self) -> Option<FencingNumber> {
        self.held.as_ref().map(|it| it.number)
    }

    /// Returns until when earlier holders may have made calls whose records the store has lost, as
    /// [`Term::lost_terms_until_ms`] of the term that this VM holds; 0 if it holds none.
    pub fn lost_terms_until_ms(&self) -> i64 {
        self.held.as_ref().map_or(0, |it| it.lost_terms_until_ms)
    }

    /// Returns the lease of the term that this VM holds.
    pub fn lease(&self) -> Option<u64> {
        self.held.as_ref().map(|it| it.lease)
    }

    /// Returns whether this VM holds a term whose lease hasn't expired.
    pub fn is_held(&self, now: TimePoint) -> bool {
        // A renewal that is still to come was sent before the clock went back.
        let is_unexpired = |sent_at: TimePoint| sent_at <= now && now.since(sent_at) < self.ttl;
        self.held.as_ref().is_some_and(|it| is_unexpired(it.renewal_sent_at))
    }

    /// Returns the fencing number to act with, or `None` if this VM may not act. A renewal counts from when it was sent.
    pub fn fencing_number(&self, now: TimePoint) -> Option<FencingNumber> {
        let held = self.held.as_ref()?;
        let usable = self.ttl.scaled(USABLE_FRACTION);
        (now >= held.acts_from && now.since(held.renewal_sent_at) < usable).then_some(held.number)
    }

    /// Begins a call that only the holder may make, with a confirmation that was requested for it. The call must be dropped
    /// as soon as [`Self::may_finish_call`] is false, and [`Self::end_call`] follows it.
    pub fn begin_call(
        &mut self,
        confirmation: Confirmation,
        now: TimePoint,
    ) -> Option<FencingNumber> {
        let Confirmation(number) = confirmation;
        if self.fencing_number(now) != Some(number) {
            return None;
        }
        self.last_call = Some((number, now));
        Some(number)
    }

    /// Returns whether a call under a number may still be under way.
    pub fn may_finish_call(&self, number: FencingNumber, now: TimePoint) -> bool {
        self.is_held(now) && self.held_number() == Some(number)
    }

    /// Records that a call has ended, or was dropped.
    pub fn end_call(&mut self, now: TimePoint) {
        if let Some((_, at)) = &mut self.last_call {
            *at = now.max(*at);
        }
    }

    /// Returns the number and the revision of the claim that writes of the holder must expect, if they are known.
    pub fn claim(&self, now: TimePoint) -> Option<(FencingNumber, u64)> {
        let held = self.held.as_ref().filter(|_| self.is_held(now))?;
        Some((held.number, held.claim?))
    }

    /// Gives the term up. Returns the claim to remove so that another VM can take over at once, if it may.
    ///
    /// A holder that waits before it acts leaves its lease to expire: the next one doesn't know of the wait.
    pub fn give_up(&mut self, now: TimePoint) -> Option<(FencingNumber, u64)> {
        let claim = self.claim(now);
        let waits = self.held.as_ref().is_some_and(|it| now < it.acts_from);
        self.end(TermEnd::GivenUp);
        claim.filter(|_| !waits)
    }

    /// Returns whether the keys of a term that names this VM, although it holds none, may be removed.
    ///
    /// They usually end with their lease; after a loss, their lease's number may be one that another client keeps. They
    /// aren't removed within a lease after this VM's calls, nor after the store returned: the next holder doesn't wait.
    pub fn may_remove_own_keys(&self, now: TimePoint) -> bool {
        let last_call = self.last_call.map_or(TimePoint::ZERO, |(_, at)| at);
        let since = self.era_known_at.max(last_call);
        self.held.is_none() && self.taking.is_none() && now.since(since) >= self.ttl
    }
}

fn millis(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}
