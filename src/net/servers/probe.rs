//! Probes of real servers.

use super::response_head::read_head;
use super::{Fleet, within};
use crate::engine::Ending;
use crate::net::codec::{Body, Head};
use crate::types::{ReplicaId, Verdict};

impl Fleet {
    /// Probes a real server: its verdict and load.
    pub async fn probe(&self, server: &ReplicaId) -> Ending {
        let Some((addr, _)) = self.place(server) else { return Verdict::NoConnection.into() };
        let ask = async {
            let Ok(mut connection) = self.connection(server, addr).await else {
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
                        self.give_back(server, addr, connection);
                        let report = (self.gauges)(&String::from_utf8_lossy(&text));
                        return Ending { report, ..Verdict::Ok.into() };
                    }
                    Ok(false) if connection.wire.fill(&self.limits.wire).await.is_ok_and(|n| n > 0) => {}
                    _ => break,
                }
            }
            Ending { report: self.load(&head), ..Verdict::Error.into() }
        };
        within(self.limits.discovery_answer, ask).await.unwrap_or_else(|_| Verdict::TimedOut.into())
    }

    /// The load report in an answer's head.
    pub(super) fn load(&self, head: &Head) -> Vec<f64> {
        head.get("x-load").map_or(Vec::new(), |text| (self.gauges)(text))
    }
}
