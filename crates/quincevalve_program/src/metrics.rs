//! Counters, gauges and timers, sent over StatsD.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use cadence::{
    Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

const DEFAULT_PREFIX: &str = "quincevalve";

/// The `[metrics]` section of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    /// Address of the StatsD collector. Without it, no metrics are sent.
    pub statsd: Option<SocketAddr>,
    /// The prefix of all metric keys.
    pub prefix: String,
}

impl Default for MetricsSettings {
    fn default() -> Self {
        Self { statsd: None, prefix: DEFAULT_PREFIX.to_owned() }
    }
}

/// The error for metrics that can't be set up.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// A local UDP socket can't be opened.
    #[snafu(display("metrics: no UDP socket: {source}"))]
    Socket {
        /// The cause.
        source: std::io::Error,
    },
    /// The collector's address can't be used.
    #[snafu(display("metrics.statsd: {source}"))]
    Collector {
        /// The cause.
        source: cadence::MetricError,
    },
}

/// The metrics of the process. Clones share one sender.
///
/// Metrics that can't be sent are dropped: metrics must never delay a request or make it fail.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Starts sending metrics to the collector in the settings.
    pub fn start(settings: &MetricsSettings) -> Result<Self, MetricsError> {
        let Some(collector) = settings.statsd else { return Ok(Self::silent()) };
        let socket = UdpSocket::bind(("0.0.0.0", 0)).context(SocketSnafu)?;
        socket.set_nonblocking(true).context(SocketSnafu)?;
        let sink = UdpMetricSink::from(collector, socket).context(CollectorSnafu)?;
        let client = StatsdClient::from_sink(&settings.prefix, QueuingMetricSink::from(sink));
        Ok(Self { client: Arc::new(client) })
    }

    /// Returns metrics that are not sent.
    ///
    /// ```
    /// quincevalve_program::Metrics::silent().count("requests", 1);
    /// ```
    pub fn silent() -> Self {
        Self { client: Arc::new(StatsdClient::from_sink(DEFAULT_PREFIX, NopMetricSink)) }
    }

    /// Adds `by` to a counter.
    pub fn count(&self, key: &str, by: i64) {
        let _ = self.client.count(key, by);
    }

    /// Sets a gauge.
    pub fn gauge(&self, key: &str, value: u64) {
        let _ = self.client.gauge(key, value);
    }

    /// Records a duration.
    pub fn time(&self, key: &str, value: Duration) {
        let _ = self.client.time(key, value);
    }
}
