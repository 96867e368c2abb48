//! Log lines of the fleet. `run` calls it for each event of the node.

use crankpick_fleet::node::{Event, Node};

use crate::clock::now_us;
use crate::file::FleetFile;

/// Logs an event that operators may need to know of. `docs/on-call.md` explains each code.
pub(crate) fn log_event(event: Event, file: &FleetFile, node: &Node) {
    let (t_us, process) = (now_us(), node.process_name());
    match event {
        Event::LeaseHeld { duty, token, from_us, until_us } => {
            if file.history {
                tracing::info!(code = "fleet_held", t_us, duty, token, process, from_us, until_us, "renewed");
            }
        }
        Event::LeaseExpired { duty, token } => {
            tracing::warn!(
                code = "fleet_lapsed",
                t_us,
                duty,
                token,
                process,
                "the lease expired; this process no longer acts as the owner"
            );
        }
        Event::LeaseReleased { duty, token } => {
            tracing::info!(code = "fleet_let_go", t_us, duty, token, process, "given up");
        }
        Event::PublicationApplied { duty, token, version, owner } => {
            tracing::info!(
                code = "fleet_taken",
                t_us,
                duty,
                token,
                version,
                owner,
                process,
                "publication applied"
            );
        }
        Event::StalePublication { duty, token, version, owner, seen } => {
            tracing::warn!(
                code = "fleet_stale",
                t_us,
                duty,
                token,
                version,
                owner,
                process,
                seen,
                "an old owner's word, refused"
            );
        }
        Event::BecameLeader { term } => {
            tracing::info!(code = "fleet_leads", t_us, term, process, "became the leader of the voters")
        }
        Event::LostLeadership { term } => {
            tracing::info!(code = "fleet_lead_lost", t_us, term, process, "lost the leadership")
        }
        Event::LogFounded { voters } => {
            tracing::info!(code = "fleet_founded", t_us, voters, process, "created the replicated log")
        }
        Event::AwaitingAdmission => {
            tracing::warn!(
                code = "fleet_new_disk",
                t_us,
                process,
                "the log was created without this disk; waiting to be admitted"
            );
        }
        Event::VoterReplaced { name } => {
            tracing::warn!(
                code = "fleet_voter_replaced",
                t_us,
                voter = name,
                process,
                "a voter's new disk has replaced the old one"
            );
        }
        Event::Superseded => {
            tracing::info!(
                code = "fleet_superseded",
                t_us,
                process,
                "a newer process of this proxy has the session"
            );
        }
        Event::ForeignFleet { fleet, from } => {
            tracing::warn!(
                code = "fleet_stranger",
                t_us,
                fleet,
                from,
                process,
                "rejected a connection from another fleet"
            );
        }
        Event::DiskFailed { why } => {
            tracing::error!(
                code = "fleet_disk_lost",
                t_us,
                process,
                "neither votes nor owns duties until the disk accepts writes: {why}"
            );
        }
        Event::DiskRecovered => tracing::info!(code = "fleet_disk_back", t_us, process, "it can write again"),
        Event::DutyGranted { duty, token, to } => {
            tracing::info!(code = "fleet_granted", t_us, duty, token, to, process, "has an owner");
        }
        Event::WorkStepped { step } => {
            let (from, to) = (step.from.name(), step.to.name());
            tracing::info!(
                code = "fleet_work",
                t_us,
                plan = step.plan,
                machine = step.machine,
                token = step.token,
                from,
                to,
                process,
                "{}",
                step.why
            );
        }
        Event::WorkNotStarted { machine, why } => {
            tracing::warn!(code = "fleet_not_begun", t_us, machine, process, "{why}");
        }
    }
}
