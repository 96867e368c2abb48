//! Model check of one duty over every order of steps: two processes with the real `HeldLeases`, a receiver
//! with the real `Fence`, a change of leaders, messages that are delayed, duplicated or lost, and clocks that
//! drift.

use crankpick_fleet::lease::{Fence, HeldLeases, Timing};
use stateright::{Checker, Model, Property};

const LEASE: u64 = 3;
const LAST: u64 = 7;
const DUTY: &str = "outs";

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    /// From a process, with the time by its own clock.
    Renew {
        from: usize,
        sent: u64,
    },
    /// To a process: it owns the duty under this token.
    Renewed {
        to: usize,
        sent: u64,
        token: u64,
    },
    Publish {
        token: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    t: u64,
    /// How far each process's clock is behind the leader's.
    behind: [u64; 2],
    holding: [HeldLeases; 2],
    /// Committed state: owner and token.
    owner: usize,
    token: u64,
    /// The leader's own state: when it began to lead, and the owner's last renewal.
    since: u64,
    renewed: u64,
    changes: u8,
    /// Messages in transit, sorted. Publications may be delivered any number of times.
    in_transit: Vec<Message>,
    fence: Fence,
    /// Tokens accepted by the receiver: the last and the highest.
    taken: (u64, u64),
    refused: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    /// A clock falls behind by one unit within a lease, which the margin must absorb.
    Slow(usize),
    Renew(usize),
    Publish(usize),
    Deliver(Message),
    Grant,
    Leader,
}

struct Duty {
    margin: u64,
}

impl Duty {
    fn times(&self) -> Timing {
        Timing { lease_us: LEASE, margin_us: self.margin, ..Timing::new(LEASE) }
    }
}

impl State {
    fn clock(&self, of: usize) -> u64 {
        self.t - self.behind[of]
    }

    fn send(&mut self, packet: Message) {
        if !self.in_transit.contains(&packet) {
            self.in_transit.push(packet);
            self.in_transit.sort();
        }
    }
}

impl Model for Duty {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let holding = [HeldLeases::default(), HeldLeases::default()];
        vec![State {
            t: 1,
            behind: [0; 2],
            holding,
            owner: 0,
            token: 1,
            since: 1,
            renewed: 1,
            changes: 0,
            in_transit: Vec::new(),
            fence: Fence::default(),
            taken: (0, 0),
            refused: false,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.t < LAST {
            steps.push(Step::Tick);
        }
        for of in 0..2 {
            // It suffices to slow one clock: the other may run at the leader's pace.
            if of == 0 && state.behind[of] == 0 && state.t > 1 {
                steps.push(Step::Slow(of));
            }
            if state.in_transit.len() < 2 && state.owner == of {
                steps.push(Step::Renew(of));
            }
            if state.in_transit.len() < 2 && state.holding[of].token(state.clock(of), DUTY).is_some() {
                steps.push(Step::Publish(of));
            }
        }
        steps.extend(state.in_transit.iter().cloned().map(Step::Deliver));
        let previous = state.renewed.max(state.since);
        if state.t >= previous + LEASE && state.token < 2 {
            steps.push(Step::Grant);
        }
        if state.changes < 1 {
            steps.push(Step::Leader);
        }
    }

    fn next_state(&self, previous: &State, step: Step) -> Option<State> {
        let mut state = previous.clone();
        match step {
            Step::Tick => state.t += 1,
            Step::Slow(of) => state.behind[of] += 1,
            Step::Renew(from) => state.send(Message::Renew { from, sent: previous.clock(from) }),
            Step::Publish(of) => {
                let token = previous.holding[of].token(previous.clock(of), DUTY)?;
                state.send(Message::Publish { token });
            }
            Step::Deliver(Message::Renew { from, sent }) => {
                // The leader receives it now, whenever it was sent. A process that is not the owner gets no
                // answer.
                state.in_transit.retain(|packet| *packet != Message::Renew { from, sent });
                if state.owner == from {
                    state.renewed = state.t;
                    state.send(Message::Renewed { to: from, sent, token: previous.token });
                }
            }
            Step::Deliver(Message::Renewed { to, sent, token }) => {
                state.in_transit.retain(|packet| *packet != Message::Renewed { to, sent, token });
                let now = previous.clock(to);
                state.holding[to].renew(now, DUTY, token, sent, &self.times());
            }
            Step::Deliver(Message::Publish { token }) => match state.fence.accept(token) {
                Ok(()) => state.taken = (token, token.max(previous.taken.1)),
                Err(_) => state.refused = true,
            },
            Step::Grant => {
                (state.owner, state.token, state.renewed) =
                    (1 - previous.owner, previous.token + 1, previous.t);
            }
            // A new leader knows the committed state but no renewals.
            Step::Leader => {
                (state.since, state.renewed, state.changes) = (previous.t, 0, previous.changes + 1)
            }
        }
        (state != *previous).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("one owner at a time", |_, state| {
                let owns = |of: usize| state.holding[of].token(state.clock(of), DUTY).is_some();
                !(owns(0) && owns(1))
            }),
            Property::<Self>::always("no stale publication is accepted", |_, state| {
                state.taken.0 == state.taken.1
            }),
            Property::<Self>::sometimes("a stale publication is refused", |_, state| state.refused),
            Property::<Self>::sometimes("both own the duty in turn", |_, state| state.taken.0 == 2),
            Property::<Self>::sometimes("a second owner follows a change of leaders", |_, state| {
                state.changes > 0
                    && state.token == 2
                    && state.holding[1].token(state.clock(1), DUTY).is_some()
            }),
        ]
    }
}

#[test]
fn every_order_of_steps_has_one_owner_and_takes_nothing_stale() {
    let checker = Duty { margin: 1 }.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1_000);
}

/// The margin is what absorbs clock drift: without it the model finds two owners.
#[test]
fn without_the_margin_two_owners_are_found() {
    let checker = Duty { margin: 0 }.checker().threads(2).spawn_bfs().join();
    assert!(checker.discovery("one owner at a time").is_some());
}
