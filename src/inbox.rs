//! Receives the host's events. Events that need no decision only update the state here; the others are
//! handled in `balance`. Hosts call it inside `Balancer::round`.

use crate::interface::Writer;
use crate::kept::Balancer;

/// How long a peer's note counts. The note that would revoke it may be lost.
const PEER_NOTE_TTL_US: u64 = 4_000_000;

/// Receives the events of one batch.
pub struct Inbox<'a> {
    pub(crate) balancer: &'a mut Balancer,
    pub(crate) writer: &'a mut dyn Writer,
    pub(crate) now_us: u64,
}

impl Inbox<'_> {
    /// A peer reports all its executions in flight on a backend that both use.
    pub fn peer_note(&mut self, peer: u32, note: &str) {
        self.balancer.record_peer_note(peer, note, self.now_us + PEER_NOTE_TTL_US);
    }

    /// The response has begun to stream to the client: no decision about the query is left.
    pub fn response_started(&mut self, id: &str) {
        self.balancer.queries.get_mut(id).into_iter().for_each(|qry| qry.finished = true);
    }

    /// The client has cancelled its query.
    pub fn withdrawn(&mut self, id: &str) {
        self.balancer.close(id, self.writer);
    }

    /// A timer set through `Writer::wake` has fired.
    pub fn timer_fired(&mut self, token: &str) {
        match token {
            "ask" => self.writer.subscribe(),
            _ => self.balancer.sweep_scheduled = false,
        }
    }

    /// The body of the latest execution has begun to be sent, after which no further execution is possible,
    /// or has been sent completely.
    pub fn body_progress(&mut self, id: &str, complete: bool) {
        self.balancer.body_progress(id, complete, self.now_us);
    }

    /// Operators drain a backend by hand, or return it to service, whatever its state in the list.
    pub fn set_manual_drain(&mut self, id: u32, drained: bool) {
        self.balancer.set_manual_drain(id, drained, self.now_us);
    }

    /// How many processes run as this proxy: during an upgrade each uses an equal part of its share.
    pub fn processes(&mut self, count: usize) {
        self.balancer.processes = count;
    }
}
