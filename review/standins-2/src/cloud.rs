//! The platform's API for duties.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use crate::{
    http::{self, respond},
    record::Record,
};

/// One call for a duty.
#[derive(Clone, Debug)]
pub struct Call {
    pub at_ms: u64,
    pub from: SocketAddr,
    pub path: String,
    pub holder: String,
    pub token: u64,
    pub body: String,
}

/// A handle to the API.
#[derive(Clone)]
pub struct Cloud {
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Cloud {
    pub fn start(record: Arc<Record>) -> io::Result<Self> {
        let listener = http::bind("127.0.0.1".parse().expect("an address"))?;
        let cloud = Self { address: listener.local_addr()?, calls: Arc::default() };
        let calls = cloud.calls.clone();
        let handler: Arc<http::Handler> = Arc::new(move |head, body, stream| {
            let call = Call {
                at_ms: record.now_ms(),
                from: stream.peer_addr()?,
                path: head.path().to_owned(),
                holder: head.get("x-quincevalve-duty-holder").unwrap_or_default().to_owned(),
                token: head
                    .get("x-quincevalve-fencing-token")
                    .and_then(|it| it.parse().ok())
                    .unwrap_or_default(),
                body: String::from_utf8_lossy(&body).into_owned(),
            };
            record.line(format!(
                "platform: {} from {} holder {} token {} {}",
                call.path,
                call.from.ip(),
                call.holder,
                call.token,
                call.body
            ));
            calls.lock().expect("no panic under the lock").push(call);
            respond(stream, 200, &[], b"")?;
            Ok(true)
        });
        http::serve(listener, handler);
        Ok(cloud)
    }

    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().expect("no panic under the lock").clone()
    }
}
