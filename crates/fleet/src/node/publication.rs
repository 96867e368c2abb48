//! Publications of the set of backends that are out: made by the duty's owner, checked by each receiver's
//! fence, and distributed by the voters.

use crate::messages::{Message, Publication, OUTS};

use super::{Event, Link, Node, Output};

impl Node {
    /// Publishes, if this process owns the duty and a publication is due.
    pub(super) fn publish(&mut self, now_us: u64) {
        let Some(publication) = self.session.publish(now_us) else { return };
        let is_news = self.apply_publication(None, &publication);
        if self.voter.is_some() {
            self.publish_to_voters(&publication);
            if is_news {
                self.publish_to_sessions(&publication);
            }
        } else if let Some(link) = self.link_to_leader() {
            self.send(link, Message::Publish { publication, passed: false });
        }
    }

    /// Handles a publication from another process, and forwards it to those that receive theirs through this
    /// process. Sessions are sent only changes; one that missed a change gets it after its next renewal.
    pub(super) fn receive_publication(&mut self, link: Link, publication: Publication, passed: bool) {
        let is_news = self.apply_publication(Some(link), &publication);
        if self.voter.is_none() {
            return;
        }
        if !passed {
            self.publish_to_voters(&publication);
        }
        if is_news {
            self.publish_to_sessions(&publication);
        }
    }

    fn publish_to_voters(&mut self, publication: &Publication) {
        self.send_to_voters(&Message::Publish { publication: publication.clone(), passed: true });
    }

    fn publish_to_sessions(&mut self, publication: &Publication) {
        for conn in self.session_connections() {
            let publication = publication.clone();
            self.send(Link::Conn(conn), Message::Publish { publication, passed: true });
        }
    }

    /// Applies the publication if it passes the fence; otherwise rejects it to its sender. Returns whether it
    /// changed anything.
    fn apply_publication(&mut self, from: Option<Link>, publication: &Publication) -> bool {
        let (duty, owner) = (OUTS.to_owned(), publication.owner.clone());
        let (token, version) = (publication.token, publication.version);
        match self.session.accept(publication) {
            Ok(false) => false,
            Ok(true) => {
                self.event(Event::PublicationApplied { duty, token, version, owner });
                self.unwritten = Some(publication.clone());
                self.outputs.push_back(Output::Apply(publication.clone()));
                true
            }
            Err(seen) => {
                self.event(Event::StalePublication { duty: duty.clone(), token, version, owner, seen });
                if let Some(link) = from {
                    self.send(link, Message::Stale { duty, token, seen });
                }
                false
            }
        }
    }
}
