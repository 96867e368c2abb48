//! Takes in news for the module: what needs no decision is remembered here, the rest is decided in `balance`.
//! Hosts call it inside `Balancer::round`.

use crate::interface::Writer;
use crate::kept::Balancer;

/// The last note may be lost: what was told counts no longer than this.
const TOLD_US: u64 = 4_000_000;

pub struct Inbox<'a> {
    pub(crate) balancer: &'a mut Balancer,
    pub(crate) out: &'a mut dyn Writer,
    pub(crate) now_us: u64,
}

impl Inbox<'_> {
    /// A peer tells of all that it has out on a backend that both use.
    pub fn told(&mut self, peer: u32, note: &str) {
        self.balancer.told(peer, note, self.now_us + TOLD_US);
    }

    /// A stream has started: the answer is the client's now and nothing is left to decide.
    pub fn begun(&mut self, id: &str) {
        self.balancer.queries.get_mut(id).into_iter().for_each(|qry| qry.over = true);
    }

    pub fn withdrawn(&mut self, id: &str) {
        self.balancer.close(id, self.out);
    }

    pub fn woken(&mut self, token: &str) {
        match token {
            "ask" => self.out.subscribe(),
            _ => self.balancer.sweeping = false,
        }
    }

    /// The latest execution's body has begun to go, so that there is no other, or has gone whole.
    pub fn sending(&mut self, id: &str, whole: bool) {
        self.balancer.sending(id, whole, self.now_us);
    }

    /// Operators take a backend out, or back, whatever the list says of it.
    pub fn by_hand(&mut self, id: u32, out: bool) {
        self.balancer.by_hand(id, out, self.now_us);
    }

    /// How many processes stand for this proxy: during an upgrade each keeps a part of its share.
    pub fn processes(&mut self, count: usize) {
        self.balancer.processes = count;
    }
}
