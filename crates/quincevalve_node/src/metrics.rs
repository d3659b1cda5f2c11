//! Counters, gauges and latency histograms, served in the `OpenMetrics` text format.

use std::{convert::Infallible, fmt::Debug, hash::Hash, rc::Rc, time::Duration};

use http::{HeaderValue, Response, StatusCode, header};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Metric, Registry},
};
use quincevalve_forwarding::memory_budget::Holding;
use tokio::net::TcpListener;

use crate::{
    clock,
    node::Node,
    request::{
        body::AnswerBody,
        http_server::{
            DEFAULT_IDLE_TIMEOUT, MAX_CHECK_CONNECTIONS, accept_few_connections,
            connection_settings,
        },
    },
};

/// Upper bound of the first histogram bucket; the bounds double from 2 ms to 16 s.
const FIRST_BUCKET_SECONDS: f64 = 0.002;
/// Number of histogram buckets.
const BUCKET_COUNT: u16 = 14;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RequestLabels {
    route: String,
    outcome: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RouteLabels {
    route: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct AttemptLabels {
    service: String,
    result: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct VersionLabels {
    service: String,
    version: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct DecisionLabels {
    by: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RecordLabels {
    of: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct HoldingLabels {
    of: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ClosedLabels {
    why: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TaskLabels {
    task: &'static str,
    how: &'static str,
}

/// All metrics of the process.
pub(crate) struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    first_answer: Family<RouteLabels, Histogram>,
    between_events: Family<RouteLabels, Histogram>,
    attempts: Family<AttemptLabels, Counter>,
    attempts_by_version: Family<VersionLabels, Counter>,
    in_flight: Gauge,
    servers: Gauge,
    limited_servers: Gauge,
    unreachable_servers: Gauge,
    vms: Gauge,
    config_version: Gauge,
    proof_age_ms: Gauge,
    quarantined: Gauge,
    quarantined_parts: Gauge,
    suppressed_lines: Counter,
    copies: Family<AttemptLabels, Counter>,
    forwardings: Family<AttemptLabels, Counter>,
    retries: Family<AttemptLabels, Counter>,
    taken_requests: Gauge,
    waiting: Family<ServiceLabels, Gauge>,
    wait: Family<ServiceLabels, Histogram>,
    quota_decisions: Family<DecisionLabels, Counter>,
    resumptions: Family<AttemptLabels, Counter>,
    stream_records: Family<RecordLabels, Gauge>,
    task_ends: Family<TaskLabels, Counter>,
    held_bytes: Family<HoldingLabels, Gauge>,
    held_bytes_limit: Gauge,
    callers: Gauge,
    closed_callers: Family<ClosedLabels, Counter>,
    skipped_windows: Counter,
}

/// Creates and registers a metric.
fn register<M>(registry: &mut Registry, name: &str, help: &str) -> M
where
    M: Clone + Default + Metric,
{
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}

/// Creates and registers histograms of seconds by label.
fn register_histogram<L>(registry: &mut Registry, name: &str, help: &str) -> Family<L, Histogram>
where
    L: Clone + Debug + EncodeLabelSet + Eq + Hash + Send + Sync + 'static,
{
    let family = Family::<L, Histogram>::new_with_constructor(|| {
        Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
    });
    registry.register(name, help, family.clone());
    family
}

impl Default for Metrics {
    fn default() -> Self {
        let mut all = Registry::with_prefix("quincevalve");
        let requests = register(&mut all, "requests", "Requests by route and outcome");
        let first_answer = register_histogram(
            &mut all,
            "first_answer_seconds",
            "Time to the first byte of a server's answer",
        );
        let between_events = register_histogram(
            &mut all,
            "between_events_seconds",
            "Time between two events of a stream, as they go to the caller",
        );
        let attempts = register(&mut all, "sendings", "Sendings to servers by result");
        let attempts_by_version = register(
            &mut all,
            "sendings_by_version",
            "Sendings to servers by their software's version",
        );
        let in_flight = register(&mut all, "in_flight", "Requests and streams at present");
        let servers = register(&mut all, "servers", "Servers that take new work");
        let limited_servers =
            register(&mut all, "limited_servers", "Servers that name a limit of requests");
        let unreachable_servers =
            register(&mut all, "unreachable_servers", "Servers to which this VM can't connect");
        let vms = register(&mut all, "vms", "Entry VMs that are known");
        let config_version = register(&mut all, "config_version", "Configuration in force");
        let proof_age_ms = register(&mut all, "proof_age_ms", "Age of the newest proof");
        let quarantined = register(&mut all, "quarantined", "Requests kept from servers");
        let quarantined_parts =
            register(&mut all, "quarantined_parts", "Parts of prompts kept from servers");
        let suppressed_lines = register(&mut all, "log_lines_left_out", "Log lines not written");
        let copies = register(&mut all, "copies", "Copies of runs by result");
        let retries = register(&mut all, "retries", "Retries by whether the budget paid for them");
        let forwardings =
            register(&mut all, "forwardings", "Requests forwarded to other VMs by result");
        let taken_requests =
            register(&mut all, "taken_requests", "Requests of other VMs at present");
        let waiting = register(&mut all, "waiting", "Requests that wait for a server");
        let wait = register_histogram(
            &mut all,
            "wait_seconds",
            "Time that requests waited until they were placed or refused",
        );
        let quota_decisions = register(
            &mut all,
            "quota_decisions",
            "Decisions on requests by their accounts' quotas",
        );
        let resumptions =
            register(&mut all, "resumptions", "Streams that callers took up, by result");
        let stream_records =
            register(&mut all, "stream_records", "Streams whose version is known here");
        let task_ends =
            register(&mut all, "task_ends", "Ends of tasks that live as long as the process");
        let held_bytes =
            register(&mut all, "held_bytes", "Memory held for callers, servers and peers");
        let held_bytes_limit =
            register(&mut all, "held_bytes_limit", "Memory that may be held for them");
        let callers = register(&mut all, "callers", "Open connections of callers");
        let closed_callers =
            register(&mut all, "closed_callers", "Connections of callers that this VM closed");
        let skipped_windows = register(
            &mut all,
            "skipped_usage_windows",
            "Usage windows that this VM left out as the holder of the duties",
        );
        Self {
            registry: all,
            requests,
            first_answer,
            between_events,
            attempts,
            attempts_by_version,
            in_flight,
            servers,
            limited_servers,
            unreachable_servers,
            vms,
            config_version,
            proof_age_ms,
            quarantined,
            quarantined_parts,
            suppressed_lines,
            copies,
            forwardings,
            retries,
            taken_requests,
            waiting,
            wait,
            quota_decisions,
            resumptions,
            stream_records,
            task_ends,
            held_bytes,
            held_bytes_limit,
            callers,
            closed_callers,
            skipped_windows,
        }
    }
}

impl Metrics {
    /// Counts a finished request.
    pub(crate) fn count_request(&self, route: &str, outcome: &str) {
        let labels = RequestLabels { route: route.to_owned(), outcome: outcome.to_owned() };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts an attempt by the server's version.
    pub(crate) fn count_attempt_by_version(&self, service: &str, version: &str) {
        let labels = VersionLabels { service: service.to_owned(), version: version.to_owned() };
        self.attempts_by_version.get_or_create(&labels).inc();
    }

    /// Records the time to the first byte of an answer.
    pub(crate) fn observe_first_answer(&self, route: &str, took: Duration) {
        let labels = RouteLabels { route: route.to_owned() };
        self.first_answer.get_or_create(&labels).observe(took.as_secs_f64());
    }

    /// Records the time between two events of a stream.
    pub(crate) fn observe_event_interval(&self, route: &str, took: Duration) {
        let labels = RouteLabels { route: route.to_owned() };
        self.between_events.get_or_create(&labels).observe(took.as_secs_f64());
    }

    /// Counts an attempt by its result.
    pub(crate) fn count_attempt(&self, service: &str, result: &str) {
        let labels = AttemptLabels { service: service.to_owned(), result: result.to_owned() };
        self.attempts.get_or_create(&labels).inc();
    }

    /// Counts a copy of a run by its result.
    pub(crate) fn count_copy(&self, service: &str, result: &str) {
        let labels = AttemptLabels { service: service.to_owned(), result: result.to_owned() };
        self.copies.get_or_create(&labels).inc();
    }

    /// Counts a request that was forwarded to another VM by its result.
    pub(crate) fn count_forwarding(&self, service: &str, result: &str) {
        let labels = AttemptLabels { service: service.to_owned(), result: result.to_owned() };
        self.forwardings.get_or_create(&labels).inc();
    }

    /// Counts a retry that was asked for, by whether the budget paid for it.
    pub(crate) fn count_retry(&self, service: &str, result: &str) {
        let labels = AttemptLabels { service: service.to_owned(), result: result.to_owned() };
        self.retries.get_or_create(&labels).inc();
    }

    /// Records how long a request waited for a server.
    pub(crate) fn observe_wait(&self, service: &str, waited: Duration) {
        let labels = ServiceLabels { service: service.to_owned() };
        self.wait.get_or_create(&labels).observe(waited.as_secs_f64());
    }

    /// Counts suppressed log lines.
    pub(crate) fn count_suppressed_lines(&self, lines: u64) {
        self.suppressed_lines.inc_by(lines);
    }

    /// Counts a decision on a request by its account's quota.
    pub(crate) fn count_quota_decision(&self, by: &'static str) {
        self.quota_decisions.get_or_create(&DecisionLabels { by }).inc();
    }

    /// Counts a stream that a caller took up by its result.
    pub(crate) fn count_resumption(&self, service: &str, result: &str) {
        let labels = AttemptLabels { service: service.to_owned(), result: result.to_owned() };
        self.resumptions.get_or_create(&labels).inc();
    }

    /// Counts a connection of a caller that this VM closed.
    pub(crate) fn count_closed_caller(&self, why: &'static str) {
        self.closed_callers.get_or_create(&ClosedLabels { why }).inc();
    }

    /// Counts usage windows that this VM, as the holder of the duties, didn't report.
    pub(crate) fn count_skipped_windows(&self, windows: u64) {
        self.skipped_windows.inc_by(windows);
    }

    /// Counts the end of a task that should live as long as the process.
    pub(crate) fn count_task_end(&self, task: &'static str, how: &'static str) {
        self.task_ends.get_or_create(&TaskLabels { task, how }).inc();
    }

    /// Updates the gauges and encodes all metrics.
    pub(crate) fn encode_text(&self, node: &Node) -> String {
        let now = clock::now();
        let servers = node.servers.borrow();
        let usable = servers.all().filter(|(_, it)| servers.is_usable(it, now)).count();
        let age = node.freshness.get().age(now).unwrap_or(Duration::MAX);
        self.in_flight.set(gauge(node.in_flight.get()));
        self.servers.set(gauge(usable));
        self.limited_servers
            .set(gauge(servers.all().filter(|(_, it)| it.limit().is_some()).count()));
        self.unreachable_servers.set(gauge(servers.unreachable_count()));
        self.taken_requests.set(gauge(node.peer_intake.count()));
        self.vms.set(gauge(node.vm_count()));
        self.config_version.set(node.config().map_or(0, |it| it.version.cast_signed()));
        self.proof_age_ms.set(i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        let poison = node.poison.borrow();
        self.quarantined.set(gauge(poison.stored_entries().count()));
        self.quarantined_parts.set(gauge(poison.stored_part_entries().count()));
        let (own, kept) = node.streams.versions.borrow().record_counts();
        for (of, count) in [("own", own), ("peers", kept)] {
            self.stream_records.get_or_create(&RecordLabels { of }).set(gauge(count));
        }
        node.memory.measure(|budget| {
            for holding in Holding::ALL {
                let labels = HoldingLabels { of: holding.name() };
                self.held_bytes.get_or_create(&labels).set(budget.held(holding).cast_signed());
            }
            self.held_bytes_limit.set(budget.limit().cast_signed());
        });
        self.callers.set(gauge(node.callers.count()));
        for (service, count) in node.waiting.counts() {
            let labels = ServiceLabels { service: service.as_str().to_owned() };
            self.waiting.get_or_create(&labels).set(gauge(count));
        }
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!(error:% = error; "metrics-not-encoded");
        }
        text
    }
}

fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Serves the metrics for as long as the process runs.
pub(crate) async fn serve_metrics(node: Rc<Node>, listener: Rc<TcpListener>) {
    let serve = |stream| {
        let node = node.clone();
        async move {
            let service = service_fn(|req| {
                let answer = answer(&node, &req);
                async move { Ok::<_, Infallible>(answer) }
            });
            let settings = connection_settings(DEFAULT_IDLE_TIMEOUT);
            let connection = settings.serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "metrics-connection-ended");
            }
        }
    };
    accept_few_connections(&listener, MAX_CHECK_CONNECTIONS, serve).await;
}

fn answer<B>(node: &Node, req: &http::Request<B>) -> Response<AnswerBody> {
    if req.uri().path() != "/metrics" {
        let mut answer = Response::new(AnswerBody::whole("see /metrics"));
        *answer.status_mut() = StatusCode::NOT_FOUND;
        return answer;
    }
    let mut answer = Response::new(AnswerBody::whole(node.metrics.encode_text(node)));
    let text = HeaderValue::from_static("application/openmetrics-text; version=1.0.0");
    answer.headers_mut().insert(header::CONTENT_TYPE, text);
    answer
}
