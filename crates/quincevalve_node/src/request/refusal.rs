//! Responses that the system generates itself, without a server's answer.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use quincevalve_names::Outcome;

use crate::request::body::AnswerBody;

/// Retry time sent to a caller by a VM that stops or is isolated. The caller reaches another VM at once.
pub(crate) const OTHER_VM_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Why a request is answered without a server's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The request is malformed.
    Malformed,
    /// No route matches its host and path.
    NoRoute,
    /// Its key is unknown.
    UnknownKey,
    /// Its body is larger than allowed.
    TooLarge,
    /// This VM has no memory for its body.
    OutOfMemory,
    /// Its account has used up its quota.
    OverQuota,
    /// This VM has no configuration, or none whose freshness was confirmed recently enough.
    StaleConfig,
    /// This VM stops before the request could complete.
    Stopping,
    /// No server of the service is known.
    NoServer,
    /// All servers are too busy to answer it in time.
    Busy,
    /// More urgent requests that arrived after it took the capacity that it waited for.
    Displaced,
    /// All servers have signalled limits, and this VM has used up its share of them.
    Limited,
    /// All servers have rejected this VM's requests and asked for rest.
    Resting,
    /// Servers refused it, and it may not be retried.
    ServersRefused,
    /// This VM can connect to no server of the service.
    CutOff,
    /// This VM processes its maximum of other VMs' requests.
    PeerFull,
    /// It is quarantined because servers exit while processing it.
    Quarantined,
    /// The version that began its stream is not known here, nor to the VMs that should know it.
    StreamUnknown,
    /// The version that began its stream has no server.
    VersionGone,
    /// Its deadline passed before it was sent.
    LateNotRun,
    /// Its deadline passed after it was sent.
    Late,
    /// A server failed while processing it, and it may have run.
    ServerFailed,
    /// The code that processed it panicked, and it may have run.
    Internal,
}

impl Refusal {
    /// All refusals.
    pub(crate) const ALL: [Self; 23] = [
        Self::Malformed,
        Self::NoRoute,
        Self::UnknownKey,
        Self::TooLarge,
        Self::OutOfMemory,
        Self::OverQuota,
        Self::StaleConfig,
        Self::Stopping,
        Self::NoServer,
        Self::Busy,
        Self::Displaced,
        Self::Limited,
        Self::Resting,
        Self::ServersRefused,
        Self::CutOff,
        Self::PeerFull,
        Self::Quarantined,
        Self::StreamUnknown,
        Self::VersionGone,
        Self::LateNotRun,
        Self::Late,
        Self::ServerFailed,
        Self::Internal,
    ];

    /// Returns the refusal with a name.
    pub(crate) fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|it| it.name() == name)
    }

    /// Returns the HTTP status. A status that [`promises_not_run`] is used only for [`Outcome::NotRun`].
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::OutOfMemory
            | Self::StaleConfig
            | Self::Stopping
            | Self::NoServer
            | Self::Busy
            | Self::Displaced
            | Self::Limited
            | Self::Resting
            | Self::ServersRefused
            | Self::CutOff
            | Self::PeerFull
            | Self::Quarantined
            | Self::StreamUnknown
            | Self::VersionGone
            | Self::LateNotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
            Self::ServerFailed => StatusCode::BAD_GATEWAY,
            Self::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Returns whether the request may have run.
    pub(crate) fn outcome(self) -> Outcome {
        match self {
            Self::Late | Self::ServerFailed | Self::Internal => Outcome::MayHaveRun,
            _ => Outcome::NotRun,
        }
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::NoRoute => "no-route",
            Self::UnknownKey => "unknown-key",
            Self::TooLarge => "too-large",
            Self::OutOfMemory => "out-of-memory",
            Self::OverQuota => "over-quota",
            Self::StaleConfig => "stale-config",
            Self::Stopping => "stopping",
            Self::NoServer => "no-server",
            Self::Busy => "busy",
            Self::Displaced => "displaced",
            Self::Limited => "limited",
            Self::Resting => "resting",
            Self::ServersRefused => "servers-refused",
            Self::CutOff => "cut-off",
            Self::PeerFull => "peer-full",
            Self::Quarantined => "quarantined",
            Self::StreamUnknown => "stream-unknown",
            Self::VersionGone => "version-gone",
            Self::LateNotRun => "late-not-run",
            Self::Late => "late",
            Self::ServerFailed => "server-failed",
            Self::Internal => "internal-error",
        }
    }

    /// Builds the response, with the time after which the caller should retry.
    pub(crate) fn answer(self, retry_after: Option<Duration>) -> Response<AnswerBody> {
        let body = format!("{{\"refused\":\"{}\"}}", self.name());
        let mut answer = Response::new(AnswerBody::whole(body));
        *answer.status_mut() = self.status();
        let headers = answer.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = retry_after
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
        {
            headers.insert(header::RETRY_AFTER, value);
        }
        answer
    }
}

/// Returns whether a status guarantees to the caller that its request has not run and will not run later.
pub(crate) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// A request that is refused, and the time after which its caller should retry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refused {
    pub(crate) refusal: Refusal,
    pub(crate) retry_after: Option<Duration>,
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self { refusal, retry_after: None }
    }
}
