//! The router: a table of servers, and the choice among them.

use std::time::Duration;

use quincevalve_names::{BackendServerName, Incarnation, TimePoint, mix, rendezvous_score};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use snafu::Snafu;

use crate::{
    Ask, LeavingEvidence, LoadReport, PoolKey, ServerIndex, ServerSpec, Target, Urgency,
    cache_hints::CacheHints,
    policy::{Candidate, Policy},
    pool::Pool,
    server::Server,
};

/// Candidates by rendezvous on the prefix: a first choice and where it overflows to.
const AFFINE: usize = 2;
/// Candidates at random: two are enough for an even spread, and differ between routers.
const RANDOM: usize = 2;

/// Random numbers for one look at a pool.
type Draws = [u32; RANDOM];

/// Settings of a router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterSettings {
    /// Fill above which bulk work waits instead of starting, so that interactive work finds a slot.
    pub bulk_fill: f64,
    /// Fill of the cheapest local server above which other data centres are asked.
    pub spill_fill: f64,
    /// How long a server is passed over after its first failure; doubles with each further one.
    pub shun: Duration,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self { bulk_fill: 0.9, spill_fill: 1.5, shun: Duration::from_millis(500) }
    }
}

/// The decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The server.
    pub server: ServerIndex,
    /// The predicted time to the first token.
    pub first_token: Duration,
}

/// No server can take the request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum NoServer {
    /// The inventory has no server for it.
    #[snafu(display("nothing in the inventory serves this"))]
    Unknown,
    /// Bulk work has to wait: starting it now would keep interactive work waiting.
    #[snafu(display("no server has room for bulk work now"))]
    Busy,
    /// Every server leaves, failed just now, or was tried.
    #[snafu(display("no server can take the request now"))]
    Unavailable,
}

/// The routing core of one entry VM.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_names::TimePoint;
/// use quincevalve_routing::{Ask, PredictedFirstToken, Router, ServerSpec, Target, Urgency};
///
/// let pool = Target::Model("dossier".into());
/// let mut router = Router::new(PredictedFirstToken, 7);
/// router.upsert(ServerSpec {
///     name: "perth-1".into(),
///     data_centre: "perth-a".into(),
///     target: pool.clone(),
///     slots: 8,
///     prefill_tokens_per_s: 8_000,
///     token_time: Duration::from_millis(30),
///     reclaimable: true,
///     drained: false,
/// });
/// let ask = Ask {
///     now: TimePoint::ZERO,
///     pool: &pool,
///     data_centre: &"perth-a".into(),
///     prefix: 1,
///     prompt_tokens: 100,
///     urgency: Urgency::Interactive,
///     tried: &[],
/// };
/// let choice = router.choose(&ask).unwrap();
/// assert_eq!(router.name(choice.server).as_str(), "perth-1");
/// ```
#[derive(Clone, Debug)]
pub struct Router<P> {
    policy: P,
    settings: RouterSettings,
    servers: Vec<Server>,
    by_name: FxHashMap<BackendServerName, ServerIndex>,
    pools: FxHashMap<PoolKey, Pool>,
    hints: CacheHints,
    routers: u32,
    rng: Pcg64Mcg,
}

impl<P> Router<P>
where
    P: Policy,
{
    /// Makes a router without servers.
    pub fn new(policy: P, seed: u64) -> Self {
        Self {
            policy,
            settings: RouterSettings::default(),
            servers: Vec::new(),
            by_name: FxHashMap::default(),
            pools: FxHashMap::default(),
            hints: CacheHints::default(),
            routers: 1,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Sets how many routers send to the same servers, this one included.
    ///
    /// Reports lag by longer than most requests take, so in between the own outstanding work is the best
    /// sample there is of what all routers have sent: each sends by the same rules.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers.max(1);
    }

    /// Adds a server, or takes new facts about a known one. Its outstanding work is kept.
    pub fn upsert(&mut self, spec: ServerSpec) -> ServerIndex {
        if let Some(index) = self.by_name.get(&spec.name).copied() {
            let server = &mut self.servers[index.0 as usize];
            let moved =
                server.spec.data_centre != spec.data_centre || server.spec.target != spec.target;
            server.spec = spec;
            if moved {
                self.rebuild_pools();
            }
            return index;
        }
        let index = ServerIndex(self.servers.len() as u32);
        self.by_name.insert(spec.name.clone(), index);
        self.pools.entry(spec.target.clone()).or_default().push(&spec.data_centre, index);
        self.servers.push(Server::new(spec));
        index
    }

    fn rebuild_pools(&mut self) {
        self.pools.clear();
        for (at, server) in self.servers.iter().enumerate() {
            let pool = self.pools.entry(server.spec.target.clone()).or_default();
            pool.push(&server.spec.data_centre, ServerIndex(at as u32));
        }
    }

    /// Chooses a server. Takes no note of it: call [`Router::sent`] when the request goes out.
    pub fn choose(&mut self, ask: &Ask<'_>) -> Result<Choice, NoServer> {
        let draws = self.rng.random();
        let pool = self.pools.get(ask.pool).ok_or(NoServer::Unknown)?;
        let local = pool.local(ask.data_centre);
        let best = self.best_of(ask, local, draws);
        if P::HOLDS_BULK && ask.urgency == Urgency::Bulk {
            return self.choose_bulk(ask, best, draws);
        }
        if let Some((index, _)) = best
            && self.servers[index.0 as usize].fill() <= self.settings.spill_fill
        {
            return Ok(self.choice(ask, index));
        }
        self.spill(ask, best).ok_or(NoServer::Unavailable)
    }

    /// Bulk work starts only where enough slots stay free.
    ///
    /// Failure: long answers fill every slot. Symptom: an interactive request waits for seconds, and the
    /// fleet has to be larger for it. Long work has time, so it waits for a server below the fill.
    fn choose_bulk(
        &mut self,
        ask: &Ask<'_>,
        local: Option<(ServerIndex, f64)>,
        draws: Draws,
    ) -> Result<Choice, NoServer> {
        let has_room =
            |it: &ServerIndex| self.servers[it.0 as usize].fill() <= self.settings.bulk_fill;
        if let Some((index, _)) = local.filter(|it| has_room(&it.0)) {
            return Ok(self.choice(ask, index));
        }
        let pool = self.pools.get(ask.pool).ok_or(NoServer::Unknown)?;
        let (before, after) = {
            let all = pool.local(ask.data_centre);
            all.split_at(scaled(draws[1], all.len()))
        };
        let anywhere = after.iter().chain(before).copied();
        let found = anywhere.filter(|it| self.is_usable(ask, *it)).find(has_room);
        match (found, local) {
            (Some(index), _) => Ok(self.choice(ask, index)),
            (None, Some(_)) => Err(NoServer::Busy),
            (None, None) => self.spill(ask, None).ok_or(NoServer::Unavailable),
        }
    }

    /// Looks in other data centres, and stays local unless one of them is cheaper.
    fn spill(&mut self, ask: &Ask<'_>, local: Option<(ServerIndex, f64)>) -> Option<Choice> {
        let draws = self.rng.random();
        let pool = self.pools.get(ask.pool)?;
        let others = pool.data_centres().iter().filter(|it| *it != ask.data_centre);
        let remote = others
            .filter_map(|it| self.best_of(ask, pool.local(it), draws))
            .min_by(|left, right| left.1.total_cmp(&right.1));
        let (index, _) = match (local, remote) {
            (Some(local), Some(remote)) if remote.1 + SPILL_SECONDS < local.1 => remote,
            (Some(local), _) => local,
            (None, remote) => remote?,
        };
        Some(self.choice(ask, index))
    }

    fn choice(&self, ask: &Ask<'_>, server: ServerIndex) -> Choice {
        let first_token = self.candidate(ask, server).predicted_first_token(ask);
        Choice { server, first_token }
    }

    fn best_of(
        &self,
        ask: &Ask<'_>,
        pool: &[ServerIndex],
        draws: Draws,
    ) -> Option<(ServerIndex, f64)> {
        if P::SCANS_ALL {
            // Starts anywhere, so that many routers don't all give equal servers in the same order.
            let (before, after) = pool.split_at(scaled(draws[0], pool.len()));
            let all = after.iter().chain(before).copied();
            return self.cheapest(ask, all.filter(|it| self.is_usable(ask, *it)));
        }
        let affine = self.affine(ask, pool, draws[0]);
        let random = draws.map(|it| self.draw(ask, pool, it));
        let few = affine.into_iter().chain(random).flatten();
        // Where draws hit only unusable servers, the pool is walked: a choice is never missed.
        self.cheapest(ask, few).or_else(|| {
            let usable = pool.iter().copied().filter(|it| self.is_usable(ask, *it));
            self.cheapest(ask, usable)
        })
    }

    fn cheapest(
        &self,
        ask: &Ask<'_>,
        servers: impl Iterator<Item = ServerIndex>,
    ) -> Option<(ServerIndex, f64)> {
        servers
            .map(|it| (it, self.policy.cost(ask, &self.candidate(ask, it))))
            .min_by(|left, right| left.1.total_cmp(&right.1))
    }

    /// Two of the servers that this prefix is kept on.
    ///
    /// A prefix is kept on as many servers as its traffic fills, each of them the rendezvous choice for
    /// the prefix and a number below that count. Two numbers are drawn: their better server takes the
    /// request, so a hot prefix spreads evenly over its servers.
    fn affine(
        &self,
        ask: &Ask<'_>,
        pool: &[ServerIndex],
        draw: u32,
    ) -> [Option<ServerIndex>; AFFINE] {
        let spread = self.spread(ask, pool);
        let first = scaled(draw, spread);
        let second = (first + 1 + scaled(draw.rotate_left(16), spread - 1)) % spread;
        [first, second].map(|it| self.keeper(ask, pool, it as u64))
    }

    /// On how many servers a prefix is kept: what all routers have of it at once, by the own rate, over
    /// half a server's slots.
    fn spread(&self, ask: &Ask<'_>, pool: &[ServerIndex]) -> usize {
        let rate = f64::from(self.hints.rate(ask.prefix)) * f64::from(self.routers);
        let slots = pool.first().map_or(1, |it| self.servers[it.0 as usize].spec.slots);
        let servers = rate * HOLD_SECONDS / (f64::from(slots) * KEPT_FILL);
        (servers.ceil() as usize).clamp(AFFINE, pool.len().max(AFFINE))
    }

    fn keeper(&self, ask: &Ask<'_>, pool: &[ServerIndex], number: u64) -> Option<ServerIndex> {
        let key = mix(ask.prefix, number);
        let scored = pool.iter().copied().filter(|it| self.is_usable(ask, *it));
        scored.max_by_key(|it| rendezvous_score(key, self.servers[it.0 as usize].hash))
    }

    fn draw(&self, ask: &Ask<'_>, pool: &[ServerIndex], draw: u32) -> Option<ServerIndex> {
        // An empty pool has no position 0.
        let index = *pool.get(scaled(draw, pool.len()))?;
        self.is_usable(ask, index).then_some(index)
    }

    fn is_usable(&self, ask: &Ask<'_>, index: ServerIndex) -> bool {
        self.servers[index.0 as usize].takes_work(ask.now) && !ask.tried.contains(&index)
    }

    fn candidate(&self, ask: &Ask<'_>, index: ServerIndex) -> Candidate<'_> {
        let cached = self.hints.holders(ask.prefix).any(|it| it == index);
        Candidate::new(&self.servers[index.0 as usize], cached)
    }

    /// Notes that a request went to `server`.
    pub fn sent(&mut self, now: TimePoint, server: ServerIndex, prefix: u64, prompt_tokens: u32) {
        let entry = &mut self.servers[server.0 as usize];
        entry.outstanding += 1;
        entry.outstanding_prompt += prompt_tokens;
        self.hints.used(prefix, now);
        self.hints.learn(prefix, server);
    }

    /// Notes that the prompt passed the prefill: the first token arrived, or the request ended first.
    pub fn prompt_done(&mut self, server: ServerIndex, prompt_tokens: u32) {
        let entry = &mut self.servers[server.0 as usize];
        entry.outstanding_prompt = entry.outstanding_prompt.saturating_sub(prompt_tokens);
    }

    /// Notes that a request left `server`, whatever its end.
    pub fn done(&mut self, server: ServerIndex) {
        let entry = &mut self.servers[server.0 as usize];
        entry.outstanding = entry.outstanding.saturating_sub(1);
    }

    /// Notes that a server answered well.
    pub fn succeeded(&mut self, server: ServerIndex) {
        self.servers[server.0 as usize].failures = 0;
    }

    /// Notes that a server failed: it is passed over for a time that doubles.
    pub fn failed(&mut self, now: TimePoint, server: ServerIndex) {
        let shun = self.settings.shun;
        let entry = &mut self.servers[server.0 as usize];
        entry.shunned_until = now + shun * (1 << entry.failures.min(MAX_DOUBLINGS));
        entry.failures += 1;
    }

    /// Takes a load report, unless a newer one is known.
    pub fn reported(&mut self, server: ServerIndex, report: LoadReport) {
        let entry = &mut self.servers[server.0 as usize];
        if report.at >= entry.report.at {
            entry.take_report(report);
        }
    }

    /// Takes a cache event: `server` holds, or lost, the prefix.
    pub fn cached(&mut self, server: ServerIndex, prefix: u64, holds: bool) {
        if holds {
            self.hints.learn(prefix, server);
        } else {
            self.hints.forget(prefix, server);
        }
    }

    /// Takes evidence that a server leaves. From here on it gets nothing new.
    ///
    /// `None` stands for whichever incarnation there is now.
    pub fn leaving(
        &mut self,
        server: ServerIndex,
        incarnation: Option<Incarnation>,
        evidence: LeavingEvidence,
    ) {
        self.servers[server.0 as usize].leaving.saw_leaving(incarnation, evidence);
    }

    /// Takes evidence that a server is live. Only a higher incarnation revives a leaving one.
    pub fn live(&mut self, server: ServerIndex, incarnation: Incarnation) {
        self.servers[server.0 as usize].leaving.saw_live(incarnation);
    }

    /// Whether the server is known to leave.
    pub fn is_leaving(&self, server: ServerIndex) -> bool {
        self.servers[server.0 as usize].leaving.is_leaving()
    }

    /// This router's own requests on a server.
    pub fn outstanding(&self, server: ServerIndex) -> u32 {
        self.servers[server.0 as usize].outstanding
    }

    /// The server's name.
    pub fn name(&self, server: ServerIndex) -> &BackendServerName {
        &self.servers[server.0 as usize].spec.name
    }

    /// What is known of the server from the inventory.
    pub fn spec(&self, server: ServerIndex) -> &ServerSpec {
        &self.servers[server.0 as usize].spec
    }

    /// The server of that name.
    pub fn find(&self, name: &BackendServerName) -> Option<ServerIndex> {
        self.by_name.get(name).copied()
    }

    /// The believed holder of a prefix, where it can take work now.
    pub fn prefix_holder(&self, now: TimePoint, prefix: u64) -> Option<ServerIndex> {
        self.hints.holders(prefix).find(|it| self.servers[it.0 as usize].takes_work(now))
    }

    /// Slots of all servers of a target in a data centre that take work now.
    pub fn slots(
        &self,
        now: TimePoint,
        target: &Target,
        data_centre: &quincevalve_names::DataCentreName,
    ) -> u32 {
        let Some(pool) = self.pools.get(target) else { return 0 };
        let usable = pool.local(data_centre).iter().map(|it| &self.servers[it.0 as usize]);
        usable.filter(|it| it.takes_work(now)).map(|it| it.spec.slots).sum()
    }

    /// Servers known.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}

/// Seconds that a request is assumed to hold a slot, for the spread of a prefix.
const HOLD_SECONDS: f64 = 2.0;
/// The part of a server's slots that one prefix may fill.
const KEPT_FILL: f64 = 0.5;

/// Scales a draw to a length.
const fn scaled(draw: u32, length: usize) -> usize {
    ((draw as u64 * length as u64) >> u32::BITS) as usize
}

/// Seconds by which another data centre must be better before work leaves the own one.
const SPILL_SECONDS: f64 = 0.005;

/// A failing server is tried again after at most 2^6 times the first wait.
const MAX_DOUBLINGS: u32 = 6;
