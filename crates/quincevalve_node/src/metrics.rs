//! Counters and latency histograms, in the text format that scrapers read.

use std::{convert::Infallible, rc::Rc, time::Duration};

use http::{HeaderValue, Response, StatusCode, header};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use tokio::{net::TcpListener, task::spawn_local, time::sleep};

use crate::{clock, node::Node, request::body::AnswerBody};

/// Pause after a failure to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Buckets of the histograms: from 2 ms, doubling, to 16 s.
const FIRST_BUCKET_SECONDS: f64 = 0.002;
const BUCKETS: u16 = 14;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Ended {
    route: String,
    outcome: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ToRoute {
    route: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ToServer {
    service: String,
    result: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ToVersion {
    service: String,
    version: String,
}

/// All metrics of the process.
pub(crate) struct Metrics {
    registry: Registry,
    requests: Family<Ended, Counter>,
    first_answer: Family<ToRoute, Histogram>,
    between_events: Family<ToRoute, Histogram>,
    sendings: Family<ToServer, Counter>,
    sendings_by_version: Family<ToVersion, Counter>,
    in_flight: Gauge,
    servers: Gauge,
    limited_servers: Gauge,
    vms: Gauge,
    config_version: Gauge,
    proof_age_ms: Gauge,
    quarantined: Gauge,
    lines_left_out: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("quincevalve");
        let requests = Family::default();
        let [first_answer, between_events] = std::array::from_fn(|_| {
            Family::<ToRoute, Histogram>::new_with_constructor(|| {
                Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS))
            })
        });
        let sendings = Family::default();
        let sendings_by_version = Family::default();
        let [in_flight, servers, limited_servers, vms, config_version, proof_age_ms, quarantined] =
            std::array::from_fn(|_| Gauge::default());
        let lines_left_out = Counter::default();
        registry.register("requests", "Requests by route and outcome", requests.clone());
        registry.register(
            "first_answer_seconds",
            "Time to the first byte of a server's answer",
            first_answer.clone(),
        );
        registry.register(
            "between_events_seconds",
            "Time between two events of a stream, as they go to the caller",
            between_events.clone(),
        );
        registry.register("sendings", "Sendings to servers by result", sendings.clone());
        registry.register(
            "sendings_by_version",
            "Sendings to servers by their software's version",
            sendings_by_version.clone(),
        );
        registry.register("in_flight", "Requests and streams at present", in_flight.clone());
        registry.register("servers", "Servers that take new work", servers.clone());
        registry.register(
            "limited_servers",
            "Servers that name a limit of requests",
            limited_servers.clone(),
        );
        registry.register("vms", "Entry VMs that are known", vms.clone());
        registry.register("config_version", "Configuration in force", config_version.clone());
        registry.register("proof_age_ms", "Age of the newest proof", proof_age_ms.clone());
        registry.register("quarantined", "Requests kept from servers", quarantined.clone());
        registry.register("log_lines_left_out", "Log lines not written", lines_left_out.clone());
        Self {
            registry,
            requests,
            first_answer,
            between_events,
            sendings,
            sendings_by_version,
            in_flight,
            servers,
            limited_servers,
            vms,
            config_version,
            proof_age_ms,
            quarantined,
            lines_left_out,
        }
    }
}

impl Metrics {
    /// Counts a request that has ended.
    pub(crate) fn request(&self, route: &str, outcome: &str) {
        let labels = Ended { route: route.to_owned(), outcome: outcome.to_owned() };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a sending to a server of a version.
    pub(crate) fn sent_to(&self, service: &str, version: &str) {
        let labels = ToVersion { service: service.to_owned(), version: version.to_owned() };
        self.sendings_by_version.get_or_create(&labels).inc();
    }

    /// Takes the time to a first answer.
    pub(crate) fn first_answer(&self, route: &str, took: Duration) {
        let labels = ToRoute { route: route.to_owned() };
        self.first_answer.get_or_create(&labels).observe(took.as_secs_f64());
    }

    /// Takes the time between two events of a stream.
    pub(crate) fn between_events(&self, route: &str, took: Duration) {
        let labels = ToRoute { route: route.to_owned() };
        self.between_events.get_or_create(&labels).observe(took.as_secs_f64());
    }

    /// Counts a sending to a server.
    pub(crate) fn sending(&self, service: &str, result: &str) {
        let labels = ToServer { service: service.to_owned(), result: result.to_owned() };
        self.sendings.get_or_create(&labels).inc();
    }

    /// Counts log lines that were not written.
    pub(crate) fn left_out(&self, lines: u64) {
        self.lines_left_out.inc_by(lines);
    }

    fn text(&self, node: &Node) -> String {
        let now = clock::now();
        let servers = node.servers.borrow();
        let usable = servers.all().filter(|(_, it)| servers.is_usable(it, now)).count();
        let age = node.freshness.get().age(now).unwrap_or(Duration::MAX);
        self.in_flight.set(gauge(node.in_flight.get()));
        self.servers.set(gauge(usable));
        self.limited_servers
            .set(gauge(servers.all().filter(|(_, it)| it.limit().is_some()).count()));
        self.vms.set(gauge(node.vms()));
        self.config_version.set(node.config().map_or(0, |it| it.version.cast_signed()));
        self.proof_age_ms.set(i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        self.quarantined.set(gauge(node.poison.borrow().stored_entries().count()));
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

/// Serves the metrics for as long as the process lives.
pub(crate) async fn serve_metrics(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let node = node.clone();
        spawn_local(async move {
            let service = service_fn(|req| {
                let answer = answer(&node, &req);
                async move { Ok::<_, Infallible>(answer) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "metrics-connection-ended");
            }
        });
    }
}

fn answer<B>(node: &Node, req: &http::Request<B>) -> Response<AnswerBody> {
    if req.uri().path() != "/metrics" {
        let mut answer = Response::new(AnswerBody::whole("see /metrics"));
        *answer.status_mut() = StatusCode::NOT_FOUND;
        return answer;
    }
    let mut answer = Response::new(AnswerBody::whole(node.metrics.text(node)));
    let text = HeaderValue::from_static("application/openmetrics-text; version=1.0.0");
    answer.headers_mut().insert(header::CONTENT_TYPE, text);
    answer
}
