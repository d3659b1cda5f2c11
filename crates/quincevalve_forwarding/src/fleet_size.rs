//! How many servers of each kind a service should have in each data centre.

use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_names::{DataCentreName, TimePoint};

use crate::{
    config::{ForwardingConfig, QuotaUnit, Scaling},
    demand::MeasuredDemand,
    server_signals::RequestRate,
};

/// Servers in a data centre at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// Reclaimable ones that take new work.
    pub reclaimable: u32,
    /// On-demand ones that take new work.
    pub on_demand: u32,
}

/// The kind of a server, by what it costs and whether it can be taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServerKind {
    /// Cheap, and may be taken back at any time.
    Reclaimable,
    /// Stays until it is given back.
    OnDemand,
}

/// The number of servers of a kind to have in a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Where.
    pub data_centre: DataCentreName,
    /// Of which kind.
    pub kind: ServerKind,
    /// How many in all.
    pub count: u32,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was taken.
    Taken,
    /// None of the kind are to be had there at present.
    NoneAvailable,
    /// It may have been taken or not.
    Unknown,
}

/// The part of its time that a server is busy in a fleet of the wanted size; the rest is for waves of callers.
const WANTED_BUSY: f64 = 0.65;
/// The part of its time that a server may be busy while a data centre is lost: those that are left have its prompts to
/// read again.
const BEARABLE_BUSY: f64 = 0.72;
/// The part of its time that a server may be busy before an on-demand one, several times as dear as a reclaimable one, is
/// ordered beside it.
const ON_DEMAND_BUSY: f64 = 0.72;
/// The same for the few seconds that an on-demand server takes to start after the next reclaim: the servers that are left
/// have the prompts of those that went to read again.
const SHORT_BUSY: f64 = 0.72;
/// Data centres whose reclaimable servers may be gone at the same time without a server on demand.
const LOST_CENTRES: usize = 1;
/// The part of all on-demand servers that one data centre has.
///
/// Failure: all reclaimable servers are gone, those on demand stand where they are cheapest, and that data centre is
/// cut off. Symptom: nearly no server is left, for as long as others take to start. With a half, a cut leaves as
/// many as a wave's next step does, for a few hundredths of the price.
const MOST_IN_ONE_CENTRE: f64 = 0.5;
/// Accounts together use about this part of their quotas.
const QUOTA_USED: f64 = 0.5;
/// Tokens of quota that keep one server busy for a second: its prompts are partly kept in memory, and the
/// most that may be generated seldom is.
const QUOTA_TOKENS_PER_SERVER: f64 = 65_000.0;
/// Times what the quotas let expect that is prepared for at most at first: not all accounts have a quota.
const MOST_PROMISED: f64 = 1.5;
/// Time that a VM which starts needs to see all servers: they renew their entries within it.
const ACQUAINTANCE: Duration = Duration::from_millis(2_800);
/// Time for which fewer reclaimable servers must be enough before fewer are ordered: longer than the times
/// in which none can be had, so that the fleet doesn't shrink just before a data centre's servers go.
const SHRINK_RECLAIMABLE_AFTER: Duration = Duration::from_secs(30);
/// The same for on-demand servers, which cost several times as much.
const SHRINK_ON_DEMAND_AFTER: Duration = Duration::from_secs(2);
/// The same while reclaimable servers can't be had somewhere.
///
/// Failure: the demand turns out lower than was expected, and on-demand servers are given back between two steps of a
/// wave. Symptom: the next data centre goes, as many are ordered again, and for the five seconds of their start
/// most callers are late. The steps of a wave follow each other within some eight seconds.
const SHRINK_IN_A_WAVE_AFTER: Duration = Duration::from_secs(10);
/// From the end of a server's start to its being listed and known here.
const LISTING_TIME: Duration = Duration::from_millis(2_500);
/// Pause after an order that found none available.
const REFUSED_PAUSE: Duration = Duration::from_millis(2_500);
/// Pause after an order whose fate is unknown.
const UNKNOWN_PAUSE: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Sent {
    count: u32,
    /// Servers of the kind that were there then.
    there: u32,
    at: TimePoint,
    outcome: OrderOutcome,
}

/// The part of a wanted server's work that a server must be able to do to count as one.
const LEAST_CARRIED: f64 = 0.5;

/// Whether a server counts that takes no more than `limit`, where a request keeps a server busy for `busy_each` seconds.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::{fleet_size::counts_toward_fleet, server_signals::RequestRate};
/// assert!(counts_toward_fleet(RequestRate::new(8.0), Some(0.05)));
/// assert!(!counts_toward_fleet(RequestRate::new(1.2), Some(0.05)));
/// assert!(counts_toward_fleet(None, Some(0.05)));
/// ```
pub fn counts_toward_fleet(limit: Option<RequestRate>, busy_each: Option<f64>) -> bool {
    let carried = limit.zip(busy_each).map(|(limit, each)| limit.per_second() * each);
    carried.is_none_or(|it| it >= WANTED_BUSY * LEAST_CARRIED)
}

/// The demand that accounts' quotas let expect, in busy servers.
pub fn expected_demand(config: &ForwardingConfig) -> f64 {
    let quotas = config.accounts.values().filter_map(|it| it.quota);
    let tokens = quotas
        .filter(|it| matches!(it.unit, QuotaUnit::Tokens { .. }))
        .map(|it| it.per_second)
        .sum::<f64>();
    tokens * QUOTA_USED / QUOTA_TOKENS_PER_SERVER
}

/// The demand to expect before any was measured, in busy servers.
///
/// Failure: the duty passes to a VM that has not yet measured any demand. Symptom: it plans for none and
/// gives the fleet back. Until it has measured, it takes the fleet for the right size, unless quotas let
/// expect much less.
fn expected_at_first(promised: f64, present: &IndexMap<DataCentreName, ServerCounts>) -> f64 {
    let servers: u32 = present.values().map(|it| it.reclaimable + it.on_demand).sum();
    let carried = f64::from(servers) * WANTED_BUSY;
    if promised <= 0.0 { carried } else { carried.min(promised * MOST_PROMISED).max(promised) }
}

/// Plans the servers of one service.
///
/// Load: reclaimable servers cost a fraction of on-demand ones, and all of a data centre's go at once,
/// for a while perhaps without replacement. They are spread evenly over the data centres, so that the loss
/// of one leaves enough; what is missing while none can be had is ordered on demand where it is cheapest.
/// Reclaims come in waves that take one data centre after the other within seconds, less than a server needs
/// to start. While one data centre has lost its servers, the largest other one is therefore taken for lost
/// too, and replaced on demand before it goes.
#[derive(Clone, Debug)]
pub struct FleetPlanner {
    since: TimePoint,
    demand: MeasuredDemand,
    /// What was expected before any demand was measured, once all servers were seen.
    expected: Option<f64>,
    sent: IndexMap<(DataCentreName, ServerKind), Sent>,
    fewer_since: IndexMap<(DataCentreName, ServerKind), TimePoint>,
    /// The servers that the newest orders were reckoned from.
    seen: IndexMap<DataCentreName, ServerCounts>,
}

impl FleetPlanner {
    /// Begins to plan at a VM that has known the servers `since` then.
    ///
    /// Failure: entry VMs are restarted one after the other, and with them each holder of the duties. Symptom: no holder
    /// is there for long enough to give anything back, and servers on demand that nobody needs stay until the restarts are
    /// over. A VM that has known the servers for long need not see them anew.
    pub fn new(since: TimePoint) -> Self {
        Self {
            since,
            demand: MeasuredDemand::default(),
            expected: None,
            sent: IndexMap::new(),
            fewer_since: IndexMap::new(),
            seen: IndexMap::new(),
        }
    }

    /// Takes the work that entry VMs take on at present, in busy servers, of which `part` were heard, and
    /// returns the servers that are expected to be busy all the time. `promised` is what quotas let expect.
    ///
    /// Failure: the duty passes on, and its new holder hears the VMs one after the other. Symptom: with running
    /// totals each one's whole past counts as new demand, ten times too many servers are ordered, and for
    /// minutes nobody gives them back. Rates add up however late a VM is heard.
    pub fn observe(
        &mut self,
        rate: f64,
        part: f64,
        promised: f64,
        present: &IndexMap<DataCentreName, ServerCounts>,
        now: TimePoint,
    ) -> f64 {
        self.demand.observe(rate, part, now);
        let mut expected = self.expected.unwrap_or_else(|| expected_at_first(promised, present));
        if !self.is_new(now) {
            expected = *self.expected.get_or_insert(expected);
        }
        self.demand.busy(expected)
    }

    /// Busy servers as measured; `None` before enough was seen.
    pub fn measured(&self) -> Option<f64> {
        self.demand.measured()
    }

    /// Goes on from the demand that was measured here before, or by another planner.
    ///
    /// Failure: the holder's lease ends in an outage of the store, or it dies. Symptom: its successor knows no demand,
    /// takes the whole fleet for the right size, and orders on demand whatever of it is gone, several times what is
    /// needed, until it has measured for itself. All VMs hear what all take on, and measure it all the time.
    pub fn set_demand(&mut self, demand: MeasuredDemand) {
        self.demand = demand;
    }

    /// The orders that should be sent now for `busy` servers: reclaimable ones first, and with their answers
    /// the others at the next call.
    pub fn due_orders(
        &mut self,
        scaling: &Scaling,
        busy: f64,
        present: &IndexMap<DataCentreName, ServerCounts>,
        now: TimePoint,
    ) -> Vec<Order> {
        self.seen.clone_from(present);
        let each = reclaimable_each(scaling, busy, present.len());
        let mut wanted = Vec::new();
        if scaling.reclaimable_price.is_some() {
            let reclaimable = |it: &DataCentreName| Order {
                data_centre: it.clone(),
                kind: ServerKind::Reclaimable,
                count: each,
            };
            wanted.extend(present.keys().map(reclaimable));
            wanted.extend(self.on_demand(scaling, busy, now));
        } else {
            wanted.extend(present.keys().map(|it| Order {
                data_centre: it.clone(),
                kind: ServerKind::OnDemand,
                count: each,
            }));
        }
        let is_new = self.is_new(now);
        let is_fewer = |it: &Order| {
            let there = present.get(&it.data_centre).copied().unwrap_or_default();
            it.kind == ServerKind::OnDemand && it.count <= there.on_demand
        };
        // Nothing is given back before everything was seen: what looks superfluous may be all there is.
        let wanted = wanted.into_iter().filter(|it| !(is_new && is_fewer(it)));
        let started = scaling.boot_time + LISTING_TIME;
        let due: Vec<_> = wanted.filter(|it| self.is_due(it, started, now)).collect();
        // On-demand servers stand in for reclaimable ones that can't be had: that is known by the answers.
        let (reclaimable, on_demand): (Vec<_>, Vec<_>) =
            due.into_iter().partition(|it| it.kind == ServerKind::Reclaimable);
        if reclaimable.is_empty() { on_demand } else { reclaimable }
    }

    /// The on-demand servers that each data centre should have.
    ///
    /// Failure: reclaimable servers are ordered again after a wave, and the on-demand ones are given back for
    /// them before they serve. Symptom: for the seconds that they take to start, or until the next reclaim
    /// takes them too, there are far too few. Servers that start keep more from being ordered; only servers
    /// that serve let others go, unless there is nobody to serve yet.
    ///
    /// Failure: the duty has passed on, and its new holder has sent no order for on-demand servers. Symptom: the moment
    /// it can have reclaimable ones again it gives all others back, and for five seconds there is no server at all.
    fn on_demand(&self, scaling: &Scaling, busy: f64, now: TimePoint) -> Vec<Order> {
        let serve: Vec<u32> = self.seen.values().map(|it| it.reclaimable).collect();
        let soon: Vec<u32> = self
            .seen
            .iter()
            .map(|(centre, it)| it.reclaimable.max(self.coming(centre, scaling, now)))
            .collect();
        let least = on_demand_needed(busy, &soon);
        let most = on_demand_needed(busy, &serve).max(least);
        // What is there stands for the orders of the holder before.
        let ordered = |centre: &DataCentreName| {
            let sent = self.sent.get(&(centre.clone(), ServerKind::OnDemand));
            sent.map_or_else(|| self.there(centre, ServerKind::OnDemand), |it| it.count)
        };
        let now_ordered: u32 = self.seen.keys().map(ordered).sum();
        let is_idle = self.demand.has_no_observations();
        let mut wanted = if is_idle { least } else { now_ordered.clamp(least, most) };
        let all_wanted = wanted;
        let mut cheapest: Vec<_> = self.seen.keys().collect();
        cheapest.sort_by(|a, b| price(scaling, a).total_cmp(&price(scaling, b)));
        // What is ordered stays where it is as far as it is wanted; more goes where it is cheapest.
        let mut counts: IndexMap<&DataCentreName, u32> = IndexMap::new();
        for centre in &cheapest {
            let kept = ordered(centre).min(wanted);
            wanted -= kept;
            counts.insert(centre, kept);
        }
        // First as many as a data centre may have, then, where all have that, as many as there is room for.
        for most in [most_in_one_centre(all_wanted), u32::MAX] {
            for (centre, count) in &mut counts {
                let reclaimable = self.there(centre, ServerKind::Reclaimable);
                let room = scaling.max.saturating_sub(reclaimable + *count);
                let more = wanted.min(room).min(most.saturating_sub(*count));
                wanted -= more;
                *count += more;
            }
        }
        let order = |(centre, count): (&DataCentreName, u32)| Order {
            data_centre: centre.clone(),
            kind: ServerKind::OnDemand,
            count,
        };
        counts.into_iter().map(order).collect()
    }

    fn is_new(&self, now: TimePoint) -> bool {
        now.since(self.since) < ACQUAINTANCE
    }

    /// Notes an order that was sent.
    pub fn record_order(&mut self, order: &Order, outcome: OrderOutcome, now: TimePoint) {
        let there = self.there(&order.data_centre, order.kind);
        let sent = Sent { count: order.count, there, at: now, outcome };
        self.sent.insert((order.data_centre.clone(), order.kind), sent);
    }

    /// Servers of a kind that were there when the newest orders were reckoned.
    fn there(&self, centre: &DataCentreName, kind: ServerKind) -> u32 {
        let seen = self.seen.get(centre).copied().unwrap_or_default();
        match kind {
            ServerKind::Reclaimable => seen.reclaimable,
            ServerKind::OnDemand => seen.on_demand,
        }
    }

    /// Reclaimable servers in a data centre that were ordered and still start. A reclaim takes those that
    /// start too: where there are fewer than at the order, none are awaited.
    fn coming(&self, centre: &DataCentreName, scaling: &Scaling, now: TimePoint) -> u32 {
        let sent = self.sent.get(&(centre.clone(), ServerKind::Reclaimable));
        let started = scaling.boot_time + LISTING_TIME;
        let there = self.there(centre, ServerKind::Reclaimable);
        sent.filter(|it| it.outcome == OrderOutcome::Taken && now.since(it.at) < started)
            .filter(|it| there >= it.there)
            .map_or(0, |it| it.count)
    }

    /// Whether no reclaimable servers are to be had somewhere at present.
    fn is_in_a_wave(&self) -> bool {
        let is_dry = |(key, it): (&(DataCentreName, ServerKind), &Sent)| {
            key.1 == ServerKind::Reclaimable && it.outcome == OrderOutcome::NoneAvailable
        };
        self.sent.iter().any(is_dry)
    }

    /// Whether an order says something new, and fewer servers have been enough for long enough.
    ///
    /// Failure: servers are reclaimed or crash for good, and the order that brought them stands. Symptom:
    /// nobody replaces them. An order whose servers are lacking after their time to start is sent again.
    ///
    /// Failure: the duty passes on in a lull, and its new holder knows of no order. Symptom: it orders what the
    /// lull asks, and the next wave of callers meets half of the servers. What is there stands for the last order.
    fn is_due(&mut self, order: &Order, started: Duration, now: TimePoint) -> bool {
        let there = self.there(&order.data_centre, order.kind);
        let lacks = there < order.count;
        let key = (order.data_centre.clone(), order.kind);
        let last = self.sent.get(&key).copied();
        match last.map(|it| (it.outcome, now.since(it.at))) {
            Some((OrderOutcome::NoneAvailable, age)) => return age >= REFUSED_PAUSE,
            Some((OrderOutcome::Unknown, age)) => return age >= UNKNOWN_PAUSE,
            Some((OrderOutcome::Taken, age)) if lacks && age >= started => return true,
            Some((OrderOutcome::Taken, _)) | None => {}
        }
        let ordered = last.map_or(there, |it| it.count);
        if order.count >= ordered {
            self.fewer_since.swap_remove(&key);
            return order.count > ordered;
        }
        let since = *self.fewer_since.entry(key).or_insert(now);
        let patience = match order.kind {
            ServerKind::Reclaimable => SHRINK_RECLAIMABLE_AFTER,
            ServerKind::OnDemand if self.is_in_a_wave() => SHRINK_IN_A_WAVE_AFTER,
            ServerKind::OnDemand => SHRINK_ON_DEMAND_AFTER,
        };
        now.since(since) >= patience
    }
}

/// Reclaimable servers that each data centre should have for `busy` servers' worth of work.
fn reclaimable_each(scaling: &Scaling, busy: f64, centres: usize) -> u32 {
    let centres = centres.max(1);
    let wanted = (busy / WANTED_BUSY).max(1.0);
    let bearable = (busy / BEARABLE_BUSY).max(1.0);
    let left = centres.saturating_sub(LOST_CENTRES).max(1);
    let evenly = (wanted / centres as f64).max(bearable / left as f64);
    (evenly.ceil() as u32).clamp(scaling.min, scaling.max)
}

/// On-demand servers that are needed beside reclaimable ones, given by data centre.
fn on_demand_needed(busy: f64, reclaimable: &[u32]) -> u32 {
    let largest = reclaimable.iter().copied().max().unwrap_or_default();
    let at_risk = if reclaimable.contains(&0) { largest } else { 0 };
    let all = reclaimable.iter().sum::<u32>();
    let needed = |part: f64| (busy / part).ceil() as u32;
    let now = needed(ON_DEMAND_BUSY).saturating_sub(all);
    let after = needed(SHORT_BUSY).saturating_sub(all - at_risk);
    now.max(after)
}

/// On-demand servers that a data centre has at most while there is room in others.
fn most_in_one_centre(all: u32) -> u32 {
    (f64::from(all) * MOST_IN_ONE_CENTRE).ceil() as u32
}

fn price(scaling: &Scaling, centre: &DataCentreName) -> f64 {
    scaling.prices.get(centre).copied().unwrap_or(1.0)
}
