//! Probes of replicas.

use super::response_head::read_head;
use super::{Endpoint, Fleet, within};
use crate::engine::AttemptOutcome;
use crate::net::codec::{Body, Head};
use crate::types::{ReplicaId, Verdict};

impl Fleet {
    /// Probes a replica; returns the verdict and the load report.
    pub async fn probe(&self, replica: &ReplicaId) -> AttemptOutcome {
        let Some(Endpoint { addr, .. }) = self.endpoint(replica) else {
            return Verdict::NoConnection.into();
        };
        let exchange = async {
            let Ok(mut connection) = self.connection(replica, addr).await else {
                return Verdict::NoConnection.into();
            };
            let request = format!("GET /_load HTTP/1.1\r\nHost: {addr}\r\n\r\n");
            let Ok(()) = connection.wire.write(request.as_bytes()).await else {
                return Verdict::NoConnection.into();
            };
            let Ok(head) = read_head(&mut connection.wire, &self.limits).await else {
                return Verdict::Reset.into();
            };
            let mut body = head.response_body().unwrap_or(Body::UntilClose);
            let mut text = Vec::new();
            while text.len() < self.limits.wire.event_bytes {
                match body.take(&mut connection.wire.buf, &mut text, &self.limits.wire) {
                    Ok(true) if head.status() == 200 => {
                        self.give_back(replica, addr, connection);
                        let load_report = (self.read_load)(&String::from_utf8_lossy(&text));
                        return AttemptOutcome { load_report, ..Verdict::Ok.into() };
                    }
                    Ok(false) if connection.wire.fill(&self.limits.wire).await.is_ok_and(|n| n > 0) => {}
                    _ => break,
                }
            }
            AttemptOutcome { load_report: self.load(&head), ..Verdict::Error.into() }
        };
        within(self.limits.discovery.response_timeout, exchange)
            .await
            .unwrap_or_else(|_| Verdict::TimedOut.into())
    }

    /// Parses the load report in the head of a response.
    pub(super) fn load(&self, head: &Head) -> Vec<f64> {
        head.get("x-load").map_or(Vec::new(), |text| (self.read_load)(text))
    }
}
