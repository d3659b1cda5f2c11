//! The platform's key-value service: messages and client.
//!
//! Every call counts against the service's rates, a waiting watch too. Callers keep their calls few and
//! independent of the number of nodes.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use quincevalve_names::FencingNumber;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::http_client::{CallError, HttpClient, Reach};

/// The largest value that the service takes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// The version of a key, given by the service; 0 means that the key is absent.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct KeyVersion(pub u64);

impl KeyVersion {
    /// The version of an absent key.
    pub const ABSENT: Self = Self(0);
}

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Versioned {
    /// The version.
    pub version: KeyVersion,
    /// The value, text.
    pub value: String,
}

/// A lease as the service grants it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// Who holds it.
    pub holder: String,
    /// Higher with each change of holder.
    pub fencing: FencingNumber,
    /// What is left of it, in milliseconds, when the service answered.
    pub left_ms: u64,
}

/// A call to the store that failed.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The key has another version than the one named; nothing was written.
    #[snafu(display("store: the key is at version {}", current.0))]
    Conflict {
        /// The version in the store.
        current: KeyVersion,
    },
    /// The store didn't take the call; nothing was written.
    #[snafu(display("store: unavailable: {source}"))]
    Unavailable {
        /// Why.
        source: CallError,
    },
    /// The call may have taken effect, its answer is lost.
    #[snafu(display("store: no answer, the write may have taken effect: {source}"))]
    Unknown {
        /// Why.
        source: CallError,
    },
    /// The value is too large.
    #[snafu(display("store: a value of {bytes} bytes; at most {MAX_VALUE_BYTES} are taken"))]
    TooLarge {
        /// Its size.
        bytes: usize,
    },
}

/// The store as its users see it. Tests drive cores and services with an in-memory one.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Versioned>, StoreError>> + Send;

    /// Writes a key if it is at version `expected`, and returns the new version.
    fn swap(
        &self,
        key: &str,
        expected: KeyVersion,
        value: &str,
    ) -> impl Future<Output = Result<KeyVersion, StoreError>> + Send;

    /// Deletes a key if it is at version `expected`.
    fn delete(
        &self,
        key: &str,
        expected: KeyVersion,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Waits until a key is at a version above `after`, at most for `wait`; then reads it.
    fn watch(
        &self,
        key: &str,
        after: KeyVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Versioned>, StoreError>> + Send;

    /// Takes or renews a lease; the answer names the holder, whoever it is.
    fn lease(
        &self,
        name: &str,
        holder: &str,
        ttl: Duration,
    ) -> impl Future<Output = Result<Lease, StoreError>> + Send;
}

/// The store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    http: HttpClient,
    address: SocketAddr,
    limit: Duration,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ConflictAnswer {
    current: KeyVersion,
}

impl HttpStore {
    /// Makes a client of the store at `address`; each call ends within `limit`.
    pub const fn new(http: HttpClient, address: SocketAddr, limit: Duration) -> Self {
        Self { http, address, limit }
    }

    async fn read(&self, path: &str, limit: Duration) -> Result<Option<Versioned>, StoreError> {
        let call = self.http.call(Method::GET, self.address, path, None::<&()>, limit).await;
        match call {
            Ok(value) => Ok(Some(value)),
            Err(CallError::Status { status: StatusCode::NOT_FOUND, .. }) => Ok(None),
            Err(source) => Err(StoreError::Unavailable { source }),
        }
    }
}

fn write_error(error: CallError) -> StoreError {
    if let CallError::Status { status, body, .. } = &error {
        if *status == StatusCode::CONFLICT
            && let Ok(answer) = serde_json::from_slice::<ConflictAnswer>(body)
        {
            return StoreError::Conflict { current: answer.current };
        }
        if *status == StatusCode::SERVICE_UNAVAILABLE {
            return StoreError::Unavailable { source: error };
        }
    }
    match error.reach() {
        Reach::NotSent => StoreError::Unavailable { source: error },
        Reach::MayHaveArrived => StoreError::Unknown { source: error },
    }
}

impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.read(&format!("/v1/kv/{key}"), self.limit).await
    }

    async fn swap(
        &self,
        key: &str,
        expected: KeyVersion,
        value: &str,
    ) -> Result<KeyVersion, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return TooLargeSnafu { bytes: value.len() }.fail();
        }
        let path = format!("/v1/kv/{key}?if={}", expected.0);
        let body = Bytes::copy_from_slice(value.as_bytes());
        let call = self.http.call_bytes(Method::PUT, self.address, &path, body, self.limit).await;
        let answer = call.map_err(write_error)?;
        let decoded = serde_json::from_slice(&answer);
        decoded.map_err(|source| {
            let source = CallError::Decode { address: self.address, source };
            StoreError::Unknown { source }
        })
    }

    async fn delete(&self, key: &str, expected: KeyVersion) -> Result<(), StoreError> {
        let path = format!("/v1/kv/{key}?if={}", expected.0);
        let body = Bytes::new();
        let call =
            self.http.call_bytes(Method::DELETE, self.address, &path, body, self.limit).await;
        call.map(drop).map_err(write_error)
    }

    async fn watch(
        &self,
        key: &str,
        after: KeyVersion,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        let path = format!("/v1/watch/{key}?after={}&wait_ms={}", after.0, wait.as_millis());
        self.read(&path, wait + self.limit).await
    }

    async fn lease(&self, name: &str, holder: &str, ttl: Duration) -> Result<Lease, StoreError> {
        let path = format!("/v1/lease/{name}?holder={holder}&ttl_ms={}", ttl.as_millis());
        let call = self.http.call(Method::POST, self.address, &path, None::<&()>, self.limit);
        call.await.map_err(write_error)
    }
}
