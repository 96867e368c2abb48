//! The calls of backends: heartbeats and sign-offs.

use std::sync::Arc;

use super::{LastHeartbeat, RegistrationOutcome, Registry};
use crate::departure::{BackendDeparture, DepartureKind};
use crate::heartbeat::{check_id, Heartbeat, HeartbeatError};
use crate::record::{BackendRecord, BackendState, Presence};
use crate::Now;

impl Registry {
    /// Takes a heartbeat of the backend `id`. One whose `seq` is not above the newest known changes nothing. One of an
    /// unknown backend is withheld while this process may lack its departure.
    ///
    /// # Errors
    ///
    /// Fails if the id or the heartbeat is not valid, or if the registry is full and `id` is not known.
    pub fn heartbeat(
        &mut self,
        now: Now,
        id: &str,
        heartbeat: Heartbeat,
    ) -> Result<RegistrationOutcome, HeartbeatError> {
        self.record_call(now);
        heartbeat.check(id)?;
        let known = self.store.get(id).map(|entry| entry.record.clone());
        if known.is_none() && self.store.len() + self.withheld.len() >= self.settings.max_backends {
            return Err(HeartbeatError::Full);
        }
        if known.is_none() && self.must_withhold(&heartbeat) {
            self.withheld.insert(now, id, heartbeat);
            return Ok(RegistrationOutcome::default());
        }
        if known.as_ref().is_some_and(|known| known.deleted || heartbeat.seq <= self.newest_seq(known)) {
            return Ok(RegistrationOutcome::default());
        }
        let mut record = BackendRecord::from_heartbeat(now, self.local_process, id, heartbeat);
        record.draining |= known.as_ref().is_some_and(|known| known.draining);
        record.update_state();
        self.record_heartbeat(now, id, record.seq);
        match known {
            Some(known) if known.origin == self.local_process && known.has_same_content(&record) => {
                Ok(RegistrationOutcome::default())
            }
            Some(_) => Ok(self.publish(now, vec![record])),
            None => {
                let mut records = self.displace_address_holders(&record);
                records.push(record);
                Ok(self.publish(now, records))
            }
        }
    }

    /// Takes the sign-off of the backend `id`, which ends it for good.
    ///
    /// # Errors
    ///
    /// Fails if the id is not valid, or if the registry is full and `id` is not known.
    pub fn leave(&mut self, now: Now, id: &str) -> Result<RegistrationOutcome, HeartbeatError> {
        self.record_call(now);
        check_id(id)?;
        self.last_heartbeats.remove(id);
        self.withheld.remove(id);
        let mut record = match self.store.get(id) {
            Some(entry) if entry.record.deleted => return Ok(RegistrationOutcome::default()),
            Some(entry) => entry.record.clone(),
            None if self.store.len() >= self.settings.max_backends => return Err(HeartbeatError::Full),
            None => {
                let departure = BackendDeparture { id: id.to_owned(), kind: DepartureKind::SignedOff };
                BackendRecord::departed(self.local_process, &departure)
            }
        };
        record.deleted = true;
        record.update_state();
        Ok(self.publish(now, vec![record]))
    }

    /// The newest `seq` of a backend that this process knows.
    pub(super) fn newest_seq(&self, record: &BackendRecord) -> u64 {
        let received = self.last_heartbeats.get(record.id.as_str()).map_or(0, |heartbeat| heartbeat.seq);
        received.max(record.seq)
    }

    fn record_heartbeat(&mut self, now: Now, id: &str, seq: u64) {
        let heartbeat = LastHeartbeat { seq, received_at: now };
        match self.last_heartbeats.get_mut(id) {
            Some(last) => *last = heartbeat,
            None => {
                self.last_heartbeats.insert(Arc::from(id), heartbeat);
            }
        }
    }

    /// Ends the older backends at the address of a new one, and returns their changed records.
    fn displace_address_holders(&mut self, new: &BackendRecord) -> Vec<BackendRecord> {
        let records = self.store.iter().map(|(_, entry)| &entry.record);
        let holders: Vec<BackendRecord> = records
            .filter(|record| record.address == new.address && record.state != BackendState::Gone)
            .cloned()
            .collect();
        holders.into_iter().map(|record| self.displace(record)).collect()
    }

    fn displace(&mut self, mut record: BackendRecord) -> BackendRecord {
        let seq = self.newest_seq(&record);
        record.set_presence(seq, Presence::Displaced);
        self.last_heartbeats.remove(record.id.as_str());
        record
    }
}
