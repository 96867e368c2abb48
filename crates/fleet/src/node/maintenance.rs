//! Maintenance scheduling, while this process owns the work duty: the next steps of the plans, and the calls
//! to the maintenance system.

use std::collections::BTreeSet;

use crate::messages::{Ask, WORK};
use crate::observation::FleetView;
use crate::scheduler::{Action, Owner, SchedulerInput, WorkStartRequest};
use crate::state::Command;
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
        let Some(token) = self.session.leases.token(now_us, WORK) else {
            (self.work_owner, self.session.work_context) = (None, None);
            return;
        };
        let Some((work, sight)) = self
            .session
            .work_context
            .as_ref()
            .and_then(|work_context| Some((work_context.work.as_ref()?, &work_context.sight)))
        else {
            return;
        };
        let taken = self.session.taken.as_ref().map(|taken| taken.outs.clone()).unwrap_or_default();
        let outs = &taken | &work.outs();
        let input = self.plan.input(now_us, self.wall_us, work, sight, &outs, token);
        for next in self.work_owner.get_or_insert_default().next(&input) {
            match next {
                Action::Steps(steps) => self.take_steps(now_us, steps),
                Action::Waits { plan, why } => {
                    let _ = self.call(now_us, Ask::Command(Command::Waits { token, plan, why }), RETRY_US);
                }
                Action::StartWork(call) => self.outputs.push_back(Output::StartWork(call)),
            }
        }
    }

    /// Submits steps. If they are refused or lost, new ones are decided from the state then committed.
    fn take_steps(&mut self, now_us: u64, steps: Vec<Step>) {
        let _ = self.call(now_us, Ask::Command(Command::Steps(steps)), 2 * RETRY_US);
    }

    /// Handles the maintenance system's answer to `Output::StartWork`.
    pub fn work_start_answered(&mut self, now_us: u64, call: &WorkStartRequest, answer: WorkStart) {
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

    fn step_after_start(&self, now_us: u64, call: &WorkStartRequest) -> Option<Step> {
        let token = self.session.leases.token(now_us, WORK)?;
        let work_context = self.session.work_context.as_ref()?;
        let (work, outs) = (work_context.work.as_ref()?, BTreeSet::new());
        let input = self.plan.input(now_us, self.wall_us, work, &work_context.sight, &outs, token);
        Owner::step_after_start(&input, call)
    }
}

impl Plan {
    /// The scheduler's input.
    fn input<'a>(
        &'a self,
        now_us: u64,
        wall_us: u64,
        work: &'a Work,
        sight: &'a FleetView,
        outs: &'a BTreeSet<String>,
        token: u64,
    ) -> SchedulerInput<'a> {
        let patience_us = self.times.lease_us + self.times.session_us;
        SchedulerInput { now_us, wall_us, work, sight, outs, voters: &self.voters, token, patience_us }
    }
}
