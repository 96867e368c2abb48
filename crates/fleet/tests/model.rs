//! A model of one duty, every order of its steps tried: two processes with the real `HeldLeases`, a receiver with
//! the real `Fence`, a leader that changes, words that come late, twice or never, clocks that run unlike.

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
    /// Agreed: owner and token.
    owner: usize,
    token: u64,
    /// The leader's own: when it began, and the owner's last renewal.
    since: u64,
    renewed: u64,
    changes: u8,
    /// On their way; sorted, publications may be delivered any number of times.
    words: Vec<Message>,
    fence: Fence,
    /// Tokens taken by the receiver, the last and the highest.
    taken: (u64, u64),
    refused: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    /// A clock falls behind by one within a lease: what the margin is there for.
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

    fn say(&mut self, word: Message) {
        if !self.words.contains(&word) {
            self.words.push(word);
            self.words.sort();
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
            words: Vec::new(),
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
            // One clock is enough: the other may run as the leader's does.
            if of == 0 && state.behind[of] == 0 && state.t > 1 {
                steps.push(Step::Slow(of));
            }
            if state.words.len() < 2 && state.owner == of {
                steps.push(Step::Renew(of));
            }
            if state.words.len() < 2 && state.holding[of].token(state.clock(of), DUTY).is_some() {
                steps.push(Step::Publish(of));
            }
        }
        steps.extend(state.words.iter().cloned().map(Step::Deliver));
        let last = state.renewed.max(state.since);
        if state.t >= last + LEASE && state.token < 2 {
            steps.push(Step::Grant);
        }
        if state.changes < 1 {
            steps.push(Step::Leader);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Tick => state.t += 1,
            Step::Slow(of) => state.behind[of] += 1,
            Step::Renew(from) => state.say(Message::Renew { from, sent: last.clock(from) }),
            Step::Publish(of) => {
                let token = last.holding[of].token(last.clock(of), DUTY)?;
                state.say(Message::Publish { token });
            }
            Step::Deliver(Message::Renew { from, sent }) => {
                // The leader hears it now, whenever it was sent; one that is no owner is told nothing.
                state.words.retain(|word| *word != Message::Renew { from, sent });
                if state.owner == from {
                    state.renewed = state.t;
                    state.say(Message::Renewed { to: from, sent, token: last.token });
                }
            }
            Step::Deliver(Message::Renewed { to, sent, token }) => {
                state.words.retain(|word| *word != Message::Renewed { to, sent, token });
                let now = last.clock(to);
                state.holding[to].renew(now, DUTY, token, sent, &self.times());
            }
            Step::Deliver(Message::Publish { token }) => match state.fence.accept(token) {
                Ok(()) => state.taken = (token, token.max(last.taken.1)),
                Err(_) => state.refused = true,
            },
            Step::Grant => {
                (state.owner, state.token, state.renewed) = (1 - last.owner, last.token + 1, last.t);
            }
            // Another leads: it knows the agreed state, and of no renewals.
            Step::Leader => (state.since, state.renewed, state.changes) = (last.t, 0, last.changes + 1),
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("one owner at a time", |_, state| {
                let owns = |of: usize| state.holding[of].token(state.clock(of), DUTY).is_some();
                !(owns(0) && owns(1))
            }),
            Property::<Self>::always("no stale effect taken", |_, state| state.taken.0 == state.taken.1),
            Property::<Self>::sometimes("a stale word is refused", |_, state| state.refused),
            Property::<Self>::sometimes("both own in turn", |_, state| state.taken.0 == 2),
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

/// The margin is what unlike clocks are borne by: without it the model finds two owners.
#[test]
fn without_the_margin_two_owners_are_found() {
    let checker = Duty { margin: 0 }.checker().threads(2).spawn_bfs().join();
    assert!(checker.discovery("one owner at a time").is_some());
}
