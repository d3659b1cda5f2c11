//! The server table of the router and the selection of a server.

use std::time::Duration;

use quincevalve_names::{BackendServerName, Incarnation, TimePoint, mix, rendezvous_score};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use snafu::Snafu;

use crate::{
    LeavingEvidence, LoadReport, PoolKey, RoutingRequest, ServerIndex, ServerSpec, Target, Urgency,
    cache_hints::CacheHints,
    policy::{Candidate, Policy},
    pool::Pool,
    server::Server,
};

/// Number of candidates by rendezvous hashing on the prefix: a preferred server and one to overflow to.
const AFFINITY_CANDIDATES: usize = 2;
/// Number of random candidates. Two suffice for an even load, and they differ between routers.
const RANDOM_CANDIDATES: usize = 2;

/// Random numbers for one selection from a pool.
type Draws = [u32; RANDOM_CANDIDATES];

/// Settings of a router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterSettings {
    /// Utilization above which bulk requests wait, so that slots remain for interactive requests.
    pub max_bulk_utilization: f64,
    /// Utilization of the cheapest local server above which servers in other data centres are considered.
    pub spill_utilization: f64,
    /// Duration of a server's ejection after its first failure; doubles with each consecutive failure.
    pub base_ejection_time: Duration,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            max_bulk_utilization: 0.9,
            spill_utilization: 1.5,
            base_ejection_time: Duration::from_millis(500),
        }
    }
}

/// Result of a routing decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Selected server.
    pub server: ServerIndex,
    /// Predicted time to first token.
    pub predicted_first_token: Duration,
}

/// Reason why no server can take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum NoServer {
    /// The inventory contains no server for the target.
    #[snafu(display("nothing in the inventory serves this"))]
    Unknown,
    /// The bulk request has to wait, because starting it now would delay interactive requests.
    #[snafu(display("no server has room for bulk work now"))]
    Busy,
    /// Every server is leaving, drained, ejected after a failure, or already tried.
    #[snafu(display("no server can take the request now"))]
    Unavailable,
}

/// Router of one entry VM.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_names::TimePoint;
/// use quincevalve_routing::{PredictedFirstToken, Router, RoutingRequest, ServerSpec, Target, Urgency};
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
/// let request = RoutingRequest {
///     now: TimePoint::ZERO,
///     pool: &pool,
///     data_centre: &"perth-a".into(),
///     prefix: 1,
///     prompt_tokens: 100,
///     urgency: Urgency::Interactive,
///     tried: &[],
/// };
/// let choice = router.choose(&request).unwrap();
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
    /// Creates a router without servers.
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

    /// Sets how many routers send to the same servers, including this one.
    ///
    /// Load reports lag by more than the duration of most requests. Since all routers apply the same rules,
    /// this router's own traffic is the best available sample of what all of them have sent since the last
    /// report.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers.max(1);
    }

    /// Adds a server, or updates the description of a known one and keeps its outstanding work.
    pub fn upsert(&mut self, spec: ServerSpec) -> ServerIndex {
        if let Some(index) = self.by_name.get(&spec.name).copied() {
            let server = &mut self.servers[index.0 as usize];
            let pool_changed =
                server.spec.data_centre != spec.data_centre || server.spec.target != spec.target;
            server.spec = spec;
            if pool_changed {
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

    /// Selects a server without recording the request; call [`Router::record_sent`] when the request is sent.
    pub fn choose(&mut self, request: &RoutingRequest<'_>) -> Result<Choice, NoServer> {
        let draws = self.rng.random();
        let pool = self.pools.get(request.pool).ok_or(NoServer::Unknown)?;
        let local = pool.servers_in(request.data_centre);
        let best = self.cheapest_candidate(request, local, draws);
        if P::DEFERS_BULK && request.urgency == Urgency::Bulk {
            return self.choose_bulk(request, best, draws);
        }
        if let Some((index, _)) = best
            && self.servers[index.0 as usize].utilization() <= self.settings.spill_utilization
        {
            return Ok(self.choice(request, index));
        }
        self.spill(request, best).ok_or(NoServer::Unavailable)
    }

    /// Selects a server for bulk work only if enough of its slots stay free.
    ///
    /// If long responses filled every slot, interactive requests would wait for seconds or the fleet would
    /// have to be larger. Bulk work tolerates delay, so it waits for a server below the utilization limit.
    fn choose_bulk(
        &mut self,
        request: &RoutingRequest<'_>,
        local: Option<(ServerIndex, f64)>,
        draws: Draws,
    ) -> Result<Choice, NoServer> {
        let is_below_limit = |it: &ServerIndex| {
            self.servers[it.0 as usize].utilization() <= self.settings.max_bulk_utilization
        };
        if let Some((index, _)) = local.filter(|it| is_below_limit(&it.0)) {
            return Ok(self.choice(request, index));
        }
        let pool = self.pools.get(request.pool).ok_or(NoServer::Unknown)?;
        let (before, after) = {
            let all = pool.servers_in(request.data_centre);
            all.split_at(scale_to_index(draws[1], all.len()))
        };
        let anywhere = after.iter().chain(before).copied();
        let found = anywhere.filter(|it| self.is_usable(request, *it)).find(is_below_limit);
        match (found, local) {
            (Some(index), _) => Ok(self.choice(request, index)),
            (None, Some(_)) => Err(NoServer::Busy),
            (None, None) => self.spill(request, None).ok_or(NoServer::Unavailable),
        }
    }

    /// Considers other data centres, and selects the local server unless a remote one is cheaper.
    fn spill(
        &mut self,
        request: &RoutingRequest<'_>,
        local: Option<(ServerIndex, f64)>,
    ) -> Option<Choice> {
        let draws = self.rng.random();
        let pool = self.pools.get(request.pool)?;
        let others = pool.data_centres().iter().filter(|it| *it != request.data_centre);
        let remote = others
            .filter_map(|it| self.cheapest_candidate(request, pool.servers_in(it), draws))
            .min_by(|left, right| left.1.total_cmp(&right.1));
        let (index, _) = match (local, remote) {
            (Some(local), Some(remote)) if remote.1 + MIN_SPILL_GAIN_SECONDS < local.1 => remote,
            (Some(local), _) => local,
            (None, remote) => remote?,
        };
        Some(self.choice(request, index))
    }

    fn choice(&self, request: &RoutingRequest<'_>, server: ServerIndex) -> Choice {
        let predicted_first_token = self.candidate(request, server).predicted_first_token(request);
        Choice { server, predicted_first_token }
    }

    fn cheapest_candidate(
        &self,
        request: &RoutingRequest<'_>,
        pool: &[ServerIndex],
        draws: Draws,
    ) -> Option<(ServerIndex, f64)> {
        if P::SCANS_ALL {
            // Starts at a random position, so that routers don't all break ties in the same order.
            let (before, after) = pool.split_at(scale_to_index(draws[0], pool.len()));
            let all = after.iter().chain(before).copied();
            return self.cheapest(request, all.filter(|it| self.is_usable(request, *it)));
        }
        let affinity_candidates = self.affinity_candidates(request, pool, draws[0]);
        let random = draws.map(|it| self.random_candidate(request, pool, it));
        let sampled = affinity_candidates.into_iter().chain(random).flatten();
        // If all sampled servers are unusable, scans the pool so that a usable server is always found.
        self.cheapest(request, sampled).or_else(|| {
            let usable = pool.iter().copied().filter(|it| self.is_usable(request, *it));
            self.cheapest(request, usable)
        })
    }

    fn cheapest(
        &self,
        request: &RoutingRequest<'_>,
        servers: impl Iterator<Item = ServerIndex>,
    ) -> Option<(ServerIndex, f64)> {
        servers
            .map(|it| (it, self.policy.cost(request, &self.candidate(request, it))))
            .min_by(|left, right| left.1.total_cmp(&right.1))
    }

    /// Returns two servers of the prefix's replica set.
    ///
    /// A prefix is cached on as many servers as its traffic requires. Each replica number selects one server
    /// by rendezvous hashing of the prefix and the number. Two numbers are drawn at random and the cheaper
    /// server takes the request, so a frequently used prefix is spread evenly over its servers.
    fn affinity_candidates(
        &self,
        request: &RoutingRequest<'_>,
        pool: &[ServerIndex],
        draw: u32,
    ) -> [Option<ServerIndex>; AFFINITY_CANDIDATES] {
        let replica_count = self.replica_count(request, pool);
        let first = scale_to_index(draw, replica_count);
        let second =
            (first + 1 + scale_to_index(draw.rotate_left(16), replica_count - 1)) % replica_count;
        [first, second].map(|it| self.replica(request, pool, it as u64))
    }

    /// Returns the number of servers that cache a prefix: its estimated concurrent requests from all
    /// routers, extrapolated from this router's own rate, divided by half of a server's slots.
    fn replica_count(&self, request: &RoutingRequest<'_>, pool: &[ServerIndex]) -> usize {
        let rate = f64::from(self.hints.rate(request.prefix)) * f64::from(self.routers);
        let slots = pool.first().map_or(1, |it| self.servers[it.0 as usize].spec.slots);
        let servers = rate * SLOT_SECONDS / (f64::from(slots) * MAX_PREFIX_UTILIZATION);
        (servers.ceil() as usize).clamp(AFFINITY_CANDIDATES, pool.len().max(AFFINITY_CANDIDATES))
    }

    fn replica(
        &self,
        request: &RoutingRequest<'_>,
        pool: &[ServerIndex],
        number: u64,
    ) -> Option<ServerIndex> {
        let key = mix(request.prefix, number);
        let scored = pool.iter().copied().filter(|it| self.is_usable(request, *it));
        scored.max_by_key(|it| rendezvous_score(key, self.servers[it.0 as usize].hash))
    }

    fn random_candidate(
        &self,
        request: &RoutingRequest<'_>,
        pool: &[ServerIndex],
        draw: u32,
    ) -> Option<ServerIndex> {
        // An empty pool has no index 0.
        let index = *pool.get(scale_to_index(draw, pool.len()))?;
        self.is_usable(request, index).then_some(index)
    }

    fn is_usable(&self, request: &RoutingRequest<'_>, index: ServerIndex) -> bool {
        self.servers[index.0 as usize].accepts_requests(request.now)
            && !request.tried.contains(&index)
    }

    fn candidate(&self, request: &RoutingRequest<'_>, index: ServerIndex) -> Candidate<'_> {
        let cached = self.hints.holders(request.prefix).any(|it| it == index);
        Candidate::new(&self.servers[index.0 as usize], cached)
    }

    /// Records that a request was sent to `server`.
    pub fn record_sent(
        &mut self,
        now: TimePoint,
        server: ServerIndex,
        prefix: u64,
        prompt_tokens: u32,
    ) {
        let entry = &mut self.servers[server.0 as usize];
        entry.outstanding += 1;
        entry.outstanding_prompt += prompt_tokens;
        self.hints.record_use(prefix, now);
        self.hints.insert(prefix, server);
    }

    /// Records that the prompt left the prefill: the first token arrived, or the request ended before it.
    pub fn record_prefill_finished(&mut self, server: ServerIndex, prompt_tokens: u32) {
        let entry = &mut self.servers[server.0 as usize];
        entry.outstanding_prompt = entry.outstanding_prompt.saturating_sub(prompt_tokens);
    }

    /// Records that a request on `server` ended, with any result.
    pub fn record_finished(&mut self, server: ServerIndex) {
        let entry = &mut self.servers[server.0 as usize];
        entry.outstanding = entry.outstanding.saturating_sub(1);
    }

    /// Records a successful response, which resets the server's consecutive failures.
    pub fn record_success(&mut self, server: ServerIndex) {
        self.servers[server.0 as usize].failures = 0;
    }

    /// Records a failure and ejects the server for a time that doubles with each consecutive failure.
    pub fn record_failure(&mut self, now: TimePoint, server: ServerIndex) {
        let base = self.settings.base_ejection_time;
        let entry = &mut self.servers[server.0 as usize];
        entry.ejected_until = now + base * (1 << entry.failures.min(MAX_DOUBLINGS));
        entry.failures += 1;
    }

    /// Applies a load report unless a newer one has been received.
    pub fn update_load(&mut self, server: ServerIndex, report: LoadReport) {
        let entry = &mut self.servers[server.0 as usize];
        if report.at >= entry.report.at {
            entry.update_load(report);
        }
    }

    /// Applies a cache event: `server` caches the prefix, or evicted it.
    pub fn update_cache_hint(&mut self, server: ServerIndex, prefix: u64, holds: bool) {
        if holds {
            self.hints.insert(prefix, server);
        } else {
            self.hints.remove(prefix, server);
        }
    }

    /// Records evidence that a server is leaving. It gets no new requests from then on.
    ///
    /// `None` means the current incarnation.
    pub fn mark_leaving(
        &mut self,
        server: ServerIndex,
        incarnation: Option<Incarnation>,
        evidence: LeavingEvidence,
    ) {
        self.servers[server.0 as usize].leaving.record_leaving(incarnation, evidence);
    }

    /// Records that an incarnation of a server is live. Only a higher incarnation clears the leaving state.
    pub fn mark_live(&mut self, server: ServerIndex, incarnation: Incarnation) {
        self.servers[server.0 as usize].leaving.record_live(incarnation);
    }

    /// Returns whether the server is known to be leaving.
    pub fn is_leaving(&self, server: ServerIndex) -> bool {
        self.servers[server.0 as usize].leaving.is_leaving()
    }

    /// Returns the number of this router's outstanding requests on a server.
    pub fn outstanding(&self, server: ServerIndex) -> u32 {
        self.servers[server.0 as usize].outstanding
    }

    /// Returns the name of a server.
    pub fn name(&self, server: ServerIndex) -> &BackendServerName {
        &self.servers[server.0 as usize].spec.name
    }

    /// Returns the inventory's description of a server.
    pub fn spec(&self, server: ServerIndex) -> &ServerSpec {
        &self.servers[server.0 as usize].spec
    }

    /// Returns the server with the given name.
    pub fn find(&self, name: &BackendServerName) -> Option<ServerIndex> {
        self.by_name.get(name).copied()
    }

    /// Returns the server that most recently cached a prefix, among those that accept requests now.
    pub fn prefix_holder(&self, now: TimePoint, prefix: u64) -> Option<ServerIndex> {
        self.hints.holders(prefix).find(|it| self.servers[it.0 as usize].accepts_requests(now))
    }

    /// Returns the total slots of a target's servers in a data centre that accept requests now.
    pub fn available_slots(
        &self,
        now: TimePoint,
        target: &Target,
        data_centre: &quincevalve_names::DataCentreName,
    ) -> u32 {
        let Some(pool) = self.pools.get(target) else { return 0 };
        let usable = pool.servers_in(data_centre).iter().map(|it| &self.servers[it.0 as usize]);
        usable.filter(|it| it.accepts_requests(now)).map(|it| it.spec.slots).sum()
    }

    /// Returns the number of known servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}

/// Assumed time that a request occupies a slot, in seconds, for sizing a prefix's replica set.
const SLOT_SECONDS: f64 = 2.0;
/// Fraction of a server's slots that one prefix may occupy.
const MAX_PREFIX_UTILIZATION: f64 = 0.5;

/// Maps a random number to an index below `length`.
const fn scale_to_index(draw: u32, length: usize) -> usize {
    ((draw as u64 * length as u64) >> u32::BITS) as usize
}

/// Minimum cost advantage, in seconds, of a remote server over the best local one.
const MIN_SPILL_GAIN_SECONDS: f64 = 0.005;

/// The ejection of a failing server is limited to 2^6 times the first one.
const MAX_DOUBLINGS: u32 = 6;
