//! Computes how many servers of each kind a service should have in each data centre.

use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_names::{DataCentreName, TimePoint};

use crate::{
    config::{ForwardingConfig, QuotaUnit, Scaling},
    demand::MeasuredDemand,
    server_signals::RequestRate,
};

/// Number of servers of each kind that are present in a data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// Reclaimable servers that accept new work.
    pub reclaimable: u32,
    /// On-demand servers that accept new work.
    pub on_demand: u32,
}

/// The kind of a server, by its price and whether the platform can reclaim it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServerKind {
    /// Cheap; may be reclaimed at any time.
    Reclaimable,
    /// Stays until it is released.
    OnDemand,
}

/// An order for the total number of servers of a kind in a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The data centre of the servers.
    pub data_centre: DataCentreName,
    /// The kind of the servers.
    pub kind: ServerKind,
    /// The total number of servers, including those already present.
    pub count: u32,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The platform accepted the order.
    Taken,
    /// No servers of the kind are currently available in the data centre.
    NoneAvailable,
    /// The order may or may not have been accepted.
    Unknown,
}

/// Target utilization of a server in a fleet of the wanted size; the rest is headroom for bursts of callers.
const TARGET_UTILIZATION: f64 = 0.65;
/// Maximum utilization of a server while a data centre is lost; the remaining servers have to recompute the prompts
/// that were cached there.
const DEGRADED_UTILIZATION: f64 = 0.72;
/// Utilization of reclaimable servers above which additional on-demand servers are ordered, which cost several times as
/// much.
const ON_DEMAND_UTILIZATION: f64 = 0.72;
/// Maximum utilization for the few seconds that an on-demand server takes to start after the next reclaim; the
/// remaining servers have to recompute the prompts that the reclaimed ones had cached.
const TRANSIENT_UTILIZATION: f64 = 0.72;
/// Number of data centres that may lose their reclaimable servers at the same time without on-demand servers being
/// needed.
const TOLERATED_LOST_CENTRES: usize = 1;
/// Maximum fraction of all on-demand servers in one data centre.
///
/// If all on-demand servers were in the cheapest data centre, a network partition of that data centre while all
/// reclaimable servers are gone would leave nearly no server until others have started. With one half, a partition
/// leaves as many servers as the next step of a reclaim wave does, for a few percent of the price.
const MAX_SHARE_PER_CENTRE: f64 = 0.5;
/// Fraction of their quotas that all accounts together typically use.
const QUOTA_UTILIZATION: f64 = 0.5;
/// Number of quota tokens that keep one server busy for a second. Prompts are partly cached, and requests seldom
/// generate the maximum number of tokens.
const QUOTA_TOKENS_PER_SERVER: f64 = 65_000.0;
/// Maximum initial demand, as a multiple of the demand derived from quotas; above 1 since not all accounts have a
/// quota.
const MAX_INITIAL_DEMAND_FACTOR: f64 = 1.5;
/// Time that a starting VM needs to discover all servers; they renew their entries within it.
const DISCOVERY_WINDOW: Duration = Duration::from_millis(2_800);
/// Time for which fewer reclaimable servers must suffice before fewer are ordered. It is longer than the periods in
/// which none are available, so that the fleet doesn't shrink just before a data centre loses its servers.
const SHRINK_RECLAIMABLE_DELAY: Duration = Duration::from_secs(30);
/// Time for which fewer on-demand servers, which cost several times as much, must suffice before fewer are ordered.
const SHRINK_ON_DEMAND_DELAY: Duration = Duration::from_secs(2);
/// Time for which fewer on-demand servers must suffice while a data centre has no reclaimable servers available.
///
/// The steps of a reclaim wave follow each other within about eight seconds. If on-demand servers were released between
/// two steps, because the demand is lower than expected, the next data centre's loss would require ordering as many
/// again, and most callers' answers would be late for the five seconds that these take to start.
const SHRINK_IN_RECLAIM_WAVE_DELAY: Duration = Duration::from_secs(10);
/// Time from the end of a server's start until it is listed and known to this VM.
const LISTING_DELAY: Duration = Duration::from_millis(2_500);
/// Retry interval after an order that found no servers available.
const UNAVAILABLE_RETRY_INTERVAL: Duration = Duration::from_millis(2_500);
/// Retry interval after an order with an unknown outcome.
const UNKNOWN_RETRY_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct SentOrder {
    count: u32,
    /// Number of servers of the kind that were present when the order was sent.
    present: u32,
    at: TimePoint,
    outcome: OrderOutcome,
}

/// Minimum fraction of a regular server's work that a server must be able to do to count toward the fleet.
const MIN_CARRIED_FRACTION: f64 = 0.5;

/// Returns whether a server with the request limit `limit` counts toward the fleet.
///
/// A request keeps a server busy for `busy_seconds_per_request`.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::{fleet_size::counts_toward_fleet, server_signals::RequestRate};
/// assert!(counts_toward_fleet(RequestRate::new(8.0), Some(0.05)));
/// assert!(!counts_toward_fleet(RequestRate::new(1.2), Some(0.05)));
/// assert!(counts_toward_fleet(None, Some(0.05)));
/// ```
pub fn counts_toward_fleet(
    limit: Option<RequestRate>,
    busy_seconds_per_request: Option<f64>,
) -> bool {
    let carried = limit
        .zip(busy_seconds_per_request)
        .map(|(limit, busy_seconds)| limit.per_second() * busy_seconds);
    carried.is_none_or(|it| it >= TARGET_UTILIZATION * MIN_CARRIED_FRACTION)
}

/// Returns the demand to expect from the accounts' quotas, in fully utilized servers.
pub fn expected_demand(config: &ForwardingConfig) -> f64 {
    let quotas = config.accounts.values().filter_map(|it| it.quota);
    let tokens = quotas
        .filter(|it| matches!(it.unit, QuotaUnit::Tokens { .. }))
        .map(|it| it.per_second)
        .sum::<f64>();
    tokens * QUOTA_UTILIZATION / QUOTA_TOKENS_PER_SERVER
}

/// Returns the demand to assume before any was measured, in fully utilized servers.
///
/// A VM that takes over the scaling duty without having measured any demand must not plan for none, or it would release
/// the fleet. Until it has measured the demand, it assumes that the present fleet has the right size, unless the quotas
/// imply much less.
fn estimate_initial_demand(
    quota_demand: f64,
    present: &IndexMap<DataCentreName, ServerCounts>,
) -> f64 {
    let servers: u32 = present.values().map(|it| it.reclaimable + it.on_demand).sum();
    let carried = f64::from(servers) * TARGET_UTILIZATION;
    if quota_demand <= 0.0 {
        carried
    } else {
        carried.min(quota_demand * MAX_INITIAL_DEMAND_FACTOR).max(quota_demand)
    }
}

/// Plans the number of servers of one service.
///
/// Reclaimable servers cost a fraction of on-demand ones, but all of a data centre's reclaimable servers are reclaimed
/// at once, possibly without replacements being available for a while. They are spread evenly over the data centres, so
/// that the loss of one leaves enough. While replacements are unavailable, the missing capacity is ordered on demand
/// where it is cheapest. Reclaims come in waves that hit one data centre after the other within seconds, which is less
/// than a server needs to start. While one data centre has lost its servers, the planner therefore assumes that the
/// largest other one is lost too, and orders its replacement on demand in advance.
#[derive(Clone, Debug)]
pub struct FleetPlanner {
    since: TimePoint,
    demand: MeasuredDemand,
    /// The demand to assume before any was measured; set once the discovery window has passed.
    initial_demand: Option<f64>,
    sent_orders: IndexMap<(DataCentreName, ServerKind), SentOrder>,
    fewer_since: IndexMap<(DataCentreName, ServerKind), TimePoint>,
    /// The servers from which the newest orders were computed.
    present: IndexMap<DataCentreName, ServerCounts>,
}

impl FleetPlanner {
    /// Creates a planner for a VM that has known the servers since `since`.
    ///
    /// A VM that has known the servers for long need not discover them again when it becomes the duty holder.
    /// Otherwise, while entry VMs are restarted one after the other, no holder would plan for long enough to release
    /// servers, and unneeded on-demand servers would stay until the restarts are over.
    pub fn new(since: TimePoint) -> Self {
        Self {
            since,
            demand: MeasuredDemand::default(),
            initial_demand: None,
            sent_orders: IndexMap::new(),
            fewer_since: IndexMap::new(),
            present: IndexMap::new(),
        }
    }

    /// Records the current rate of work of the entry VMs, in fully utilized servers, and returns the demand to plan
    /// for.
    ///
    /// `reachable_fraction` is the fraction of the VMs whose reports `rate` contains; `quota_demand` is the demand
    /// expected from quotas.
    ///
    /// The input is a rate, since a new duty holder receives the first reports of the VMs one after the other. With
    /// running totals, each VM's whole past would count as new demand: ten times too many servers would be ordered and
    /// not be released for minutes. Rates add up correctly however late a VM's first report arrives.
    pub fn observe(
        &mut self,
        rate: f64,
        reachable_fraction: f64,
        quota_demand: f64,
        present: &IndexMap<DataCentreName, ServerCounts>,
        now: TimePoint,
    ) -> f64 {
        self.demand.observe(rate, reachable_fraction, now);
        let mut expected =
            self.initial_demand.unwrap_or_else(|| estimate_initial_demand(quota_demand, present));
        if !self.is_discovering(now) {
            expected = *self.initial_demand.get_or_insert(expected);
        }
        self.demand.busy(expected)
    }

    /// Returns the measured demand in fully utilized servers; `None` before there are enough observations.
    pub fn measured(&self) -> Option<f64> {
        self.demand.measured()
    }

    /// Replaces the planner's demand by one that was measured on this VM before, or by another planner.
    ///
    /// Each VM receives the reports of all VMs and measures the demand all the time. If the holder's lease expires
    /// during a store outage, or the holder dies, a successor without a measured demand would assume that the whole
    /// fleet has the right size. It would order replacements on demand for each lost server, several times what is
    /// needed, until it has measured the demand itself.
    pub fn set_demand(&mut self, demand: MeasuredDemand) {
        self.demand = demand;
    }

    /// Returns the orders to send now for a demand of `busy` fully utilized servers. Orders for reclaimable servers
    /// come first; on-demand ones follow at the next call, when the outcomes of the former are known.
    pub fn due_orders(
        &mut self,
        scaling: &Scaling,
        busy: f64,
        present: &IndexMap<DataCentreName, ServerCounts>,
        now: TimePoint,
    ) -> Vec<Order> {
        self.present.clone_from(present);
        let per_centre = reclaimable_per_centre(scaling, busy, present.len());
        let mut wanted = Vec::new();
        if scaling.reclaimable_price.is_some() {
            let reclaimable = |it: &DataCentreName| Order {
                data_centre: it.clone(),
                kind: ServerKind::Reclaimable,
                count: per_centre,
            };
            wanted.extend(present.keys().map(reclaimable));
            wanted.extend(self.on_demand_orders(scaling, busy, now));
        } else {
            wanted.extend(present.keys().map(|it| Order {
                data_centre: it.clone(),
                kind: ServerKind::OnDemand,
                count: per_centre,
            }));
        }
        let is_discovering = self.is_discovering(now);
        let is_fewer = |it: &Order| {
            let counts = present.get(&it.data_centre).copied().unwrap_or_default();
            it.kind == ServerKind::OnDemand && it.count <= counts.on_demand
        };
        // Releases nothing during the discovery window: servers that seem superfluous may be the only ones left.
        let wanted = wanted.into_iter().filter(|it| !(is_discovering && is_fewer(it)));
        let start_time = scaling.boot_time.saturating_add(LISTING_DELAY);
        let due: Vec<_> = wanted.filter(|it| self.is_due(it, start_time, now)).collect();
        // On-demand servers replace unavailable reclaimable ones, so those orders' outcomes must be known first.
        let (reclaimable, on_demand): (Vec<_>, Vec<_>) =
            due.into_iter().partition(|it| it.kind == ServerKind::Reclaimable);
        if reclaimable.is_empty() { on_demand } else { reclaimable }
    }

    /// Returns the orders for on-demand servers in each data centre.
    ///
    /// Starting reclaimable servers prevent further on-demand orders, but on-demand servers are released only when
    /// reclaimable ones are ready to serve, or while there is no demand yet. If they were released as soon as
    /// reclaimable servers are ordered again after a wave, there would be far too few servers until the new ones have
    /// started, or the next reclaim takes them too.
    ///
    /// A new duty holder that has sent no on-demand order counts the servers present as ordered. Otherwise it would
    /// release them all as soon as reclaimable servers are available again, and for five seconds no server would be
    /// left.
    fn on_demand_orders(&self, scaling: &Scaling, busy: f64, now: TimePoint) -> Vec<Order> {
        let ready: Vec<u32> = self.present.values().map(|it| it.reclaimable).collect();
        let ready_soon: Vec<u32> = self
            .present
            .iter()
            .map(|(centre, it)| it.reclaimable.max(self.starting(centre, scaling, now)))
            .collect();
        let min_wanted = on_demand_needed(busy, &ready_soon);
        let max_wanted = on_demand_needed(busy, &ready).max(min_wanted);
        // The servers present stand for the orders of the previous duty holder.
        let ordered = |centre: &DataCentreName| {
            let sent = self.sent_orders.get(&(centre.clone(), ServerKind::OnDemand));
            sent.map_or_else(|| self.present_count(centre, ServerKind::OnDemand), |it| it.count)
        };
        let now_ordered: u32 = self.present.keys().map(ordered).sum();
        let is_idle = self.demand.has_no_observations();
        let mut wanted =
            if is_idle { min_wanted } else { now_ordered.max(min_wanted).min(max_wanted) };
        let all_wanted = wanted;
        let mut cheapest: Vec<_> = self.present.keys().collect();
        cheapest.sort_by(|a, b| price(scaling, a).total_cmp(&price(scaling, b)));
        // Ordered servers stay in their data centre as far as they are wanted; more are added where they are cheapest.
        let mut counts: IndexMap<&DataCentreName, u32> = IndexMap::new();
        for centre in &cheapest {
            let retained = ordered(centre).min(wanted);
            wanted -= retained;
            counts.insert(centre, retained);
        }
        // Fills each data centre to its maximum share first; if that doesn't suffice, to its capacity.
        for max_count in [max_per_centre(all_wanted), u32::MAX] {
            for (centre, count) in &mut counts {
                let reclaimable = self.present_count(centre, ServerKind::Reclaimable);
                let capacity_left = scaling.max.saturating_sub(reclaimable + *count);
                let more = wanted.min(capacity_left).min(max_count.saturating_sub(*count));
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

    fn is_discovering(&self, now: TimePoint) -> bool {
        now.since(self.since) < DISCOVERY_WINDOW
    }

    /// Records a sent order and its outcome.
    pub fn record_order(&mut self, order: &Order, outcome: OrderOutcome, now: TimePoint) {
        let present = self.present_count(&order.data_centre, order.kind);
        let sent = SentOrder { count: order.count, present, at: now, outcome };
        self.sent_orders.insert((order.data_centre.clone(), order.kind), sent);
    }

    /// Returns the number of servers of a kind that were present when the newest orders were computed.
    fn present_count(&self, centre: &DataCentreName, kind: ServerKind) -> u32 {
        let counts = self.present.get(centre).copied().unwrap_or_default();
        match kind {
            ServerKind::Reclaimable => counts.reclaimable,
            ServerKind::OnDemand => counts.on_demand,
        }
    }

    /// Returns the number of reclaimable servers in a data centre that are ordered while the order's servers may still
    /// be starting. A reclaim takes starting servers too: if fewer servers are present than at the time of the order,
    /// none are expected.
    fn starting(&self, centre: &DataCentreName, scaling: &Scaling, now: TimePoint) -> u32 {
        let sent = self.sent_orders.get(&(centre.clone(), ServerKind::Reclaimable));
        let start_time = scaling.boot_time.saturating_add(LISTING_DELAY);
        let present = self.present_count(centre, ServerKind::Reclaimable);
        sent.filter(|it| it.outcome == OrderOutcome::Taken && now.since(it.at) < start_time)
            .filter(|it| present >= it.present)
            .map_or(0, |it| it.count)
    }

    /// Returns whether a data centre currently has no reclaimable servers available.
    fn is_in_reclaim_wave(&self) -> bool {
        let is_unavailable = |(key, it): (&(DataCentreName, ServerKind), &SentOrder)| {
            key.1 == ServerKind::Reclaimable && it.outcome == OrderOutcome::NoneAvailable
        };
        self.sent_orders.iter().any(is_unavailable)
    }

    /// Returns whether to send an order: it differs from the last one, its servers are missing, or fewer servers have
    /// sufficed for long enough.
    ///
    /// An order is sent again if its servers are missing after their start time. Otherwise, nothing would replace
    /// servers that were reclaimed or crashed permanently while their order stands.
    ///
    /// Without a last order, the servers present stand for it. Otherwise, a new holder that takes over during a lull
    /// would order only what the lull needs, and the next burst of callers would find only half of the servers that it
    /// needs.
    fn is_due(&mut self, order: &Order, start_time: Duration, now: TimePoint) -> bool {
        let present = self.present_count(&order.data_centre, order.kind);
        let is_short = present < order.count;
        let key = (order.data_centre.clone(), order.kind);
        let last = self.sent_orders.get(&key).copied();
        match last.map(|it| (it.outcome, now.since(it.at))) {
            Some((OrderOutcome::NoneAvailable, age)) => return age >= UNAVAILABLE_RETRY_INTERVAL,
            Some((OrderOutcome::Unknown, age)) => return age >= UNKNOWN_RETRY_INTERVAL,
            Some((OrderOutcome::Taken, age)) if is_short && age >= start_time => return true,
            Some((OrderOutcome::Taken, _)) | None => {}
        }
        let ordered = last.map_or(present, |it| it.count);
        if order.count >= ordered {
            self.fewer_since.swap_remove(&key);
            return order.count > ordered;
        }
        let since = *self.fewer_since.entry(key).or_insert(now);
        let shrink_delay = match order.kind {
            ServerKind::Reclaimable => SHRINK_RECLAIMABLE_DELAY,
            ServerKind::OnDemand if self.is_in_reclaim_wave() => SHRINK_IN_RECLAIM_WAVE_DELAY,
            ServerKind::OnDemand => SHRINK_ON_DEMAND_DELAY,
        };
        now.since(since) >= shrink_delay
    }
}

/// Returns the number of reclaimable servers that each data centre should have for a demand of `busy` fully utilized
/// servers.
fn reclaimable_per_centre(scaling: &Scaling, busy: f64, centres: usize) -> u32 {
    let centres = centres.max(1);
    let wanted = (busy / TARGET_UTILIZATION).max(1.0);
    let degraded = (busy / DEGRADED_UTILIZATION).max(1.0);
    let remaining = centres.saturating_sub(TOLERATED_LOST_CENTRES).max(1);
    let per_centre = (wanted / centres as f64).max(degraded / remaining as f64);
    (per_centre.ceil() as u32).min(scaling.max).max(scaling.min)
}

/// Returns the number of on-demand servers needed in addition to the reclaimable ones, which are given by data centre.
fn on_demand_needed(busy: f64, reclaimable: &[u32]) -> u32 {
    let largest = reclaimable.iter().copied().max().unwrap_or_default();
    let at_risk = if reclaimable.contains(&0) { largest } else { 0 };
    let all = reclaimable.iter().sum::<u32>();
    let needed = |utilization: f64| (busy / utilization).ceil() as u32;
    let now = needed(ON_DEMAND_UTILIZATION).saturating_sub(all);
    let after = needed(TRANSIENT_UTILIZATION).saturating_sub(all - at_risk);
    now.max(after)
}

/// Returns the maximum number of on-demand servers in one data centre while others have capacity left.
fn max_per_centre(all: u32) -> u32 {
    (f64::from(all) * MAX_SHARE_PER_CENTRE).ceil() as u32
}

fn price(scaling: &Scaling, centre: &DataCentreName) -> f64 {
    scaling.prices.get(centre).copied().unwrap_or(1.0)
}
