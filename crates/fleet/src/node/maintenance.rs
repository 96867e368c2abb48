//! Maintenance scheduling, while this process owns the work duty: the next steps of the plans, and the calls
//! to the maintenance system.

use std::collections::BTreeSet;

use crate::order::{Before, Begin, Do, Owner};
use crate::sight::Sight;
use crate::state::Command;
use crate::words::{Ask, WORK};
use crate::work::{Step, Work};

use super::calls::RETRY_US;
use super::{Event, Node, Output, Plan, WorkStart};

/// How often the owner reviews the plans when nothing has changed.
const REVIEW_INTERVAL_US: u64 = 100_000;

impl Node {
    pub(super) fn review_work(&mut self, now_us: u64) {
        if now_us >= self.reviewed_us + REVIEW_INTERVAL_US {
            self.do_work(now_us);
        }
    }

    /// Takes the next steps of all plans, if this process owns the work duty and has received the plans from
    /// the leader.
    pub(super) fn do_work(&mut self, now_us: u64) {
        self.reviewed_us = now_us;
        let Some(token) = self.session.holding.token(now_us, WORK) else {
            (self.work_owner, self.session.desk) = (None, None);
            return;
        };
        let Some((work, sight)) =
            self.session.desk.as_ref().and_then(|desk| Some((desk.work.as_ref()?, &desk.sight)))
        else {
            return;
        };
        let taken = self.session.taken.as_ref().map(|taken| taken.outs.clone()).unwrap_or_default();
        let outs = &taken | &work.outs();
        let before = self.plan.before(now_us, self.wall_us, work, sight, &outs, token);
        for next in self.work_owner.get_or_insert_default().next(&before) {
            match next {
                Do::Steps(steps) => self.take_steps(now_us, steps),
                Do::Waits { plan, why } => {
                    let _ = self.call(now_us, Ask::Command(Command::Waits { token, plan, why }), RETRY_US);
                }
                Do::Begin(call) => self.outputs.push_back(Output::StartWork(call)),
            }
        }
    }

    /// Submits steps. If they are refused or lost, new ones are decided from the state then committed.
    fn take_steps(&mut self, now_us: u64, steps: Vec<Step>) {
        let _ = self.call(now_us, Ask::Command(Command::Steps(steps)), 2 * RETRY_US);
    }

    /// Handles the maintenance system's answer to `Output::StartWork`.
    pub fn work_start_answered(&mut self, now_us: u64, call: &Begin, answer: WorkStart) {
        match answer {
            WorkStart::Started => {
                let step = self.step_after_start(now_us, call);
                self.take_steps(now_us, step.into_iter().collect());
            }
            WorkStart::StaleToken(seen) => {
                let why = format!("the maintenance system has heard of token {seen}");
                self.event(Event::WorkNotStarted { machine: call.machine.clone(), why });
                self.lose_duty(WORK, call.token);
            }
            WorkStart::Refused(why) => {
                self.event(Event::WorkNotStarted { machine: call.machine.clone(), why });
            }
        }
    }

    fn step_after_start(&self, now_us: u64, call: &Begin) -> Option<Step> {
        let token = self.session.holding.token(now_us, WORK)?;
        let desk = self.session.desk.as_ref()?;
        let (work, outs) = (desk.work.as_ref()?, BTreeSet::new());
        let before = self.plan.before(now_us, self.wall_us, work, &desk.sight, &outs, token);
        Owner::begun(&before, call)
    }
}

impl Plan {
    /// The scheduler's input.
    fn before<'a>(
        &'a self,
        now_us: u64,
        wall_us: u64,
        work: &'a Work,
        sight: &'a Sight,
        outs: &'a BTreeSet<String>,
        token: u64,
    ) -> Before<'a> {
        let patience_us = self.times.lease_us + self.times.session_us;
        Before { now_us, wall_us, work, sight, outs, voters: &self.voters, token, patience_us }
    }
}
