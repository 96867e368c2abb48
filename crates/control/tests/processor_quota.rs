//! A processor that is given as a quota of each tenth of a second: a process runs at full speed for a while, then stands
//! still for up to 90 ms. Nobody is declared dead for that, no lease lapses, no head is replaced, and changes are taken.

mod simulation;

use std::time::Duration;

use crankpick_control::{CommandId, Outcome};
use simulation::{command, ms, run, submit, Core, World};

/// A quota's period, in steps.
const STEPS: usize = 10;
const STEP: u64 = 10;
/// A gateway leaves a home whose configuration was last confirmed longer ago.
const MAX_FRESH_AGE: Duration = ms(600);
/// Callers go elsewhere by themselves after a second.
const CALLERS_TIMEOUT: Duration = ms(1_000);

/// Who stands still, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stall {
    /// All at the same time.
    Together,
    /// Each at its own time: at most moments two of them don't run together.
    Apart,
    /// The head of the chain alone.
    Head,
    /// The tail alone.
    Tail,
}

/// Whether a process runs in a step.
fn runs(world: &World, stall: Stall, place: usize, step: usize) -> bool {
    let view = world.newest_view();
    let is = |id: Option<_>| id.and_then(|id| world.place_of(id)) == Some(place);
    match stall {
        Stall::Together => step == 0,
        Stall::Apart => step == place * 3 % STEPS,
        Stall::Head => step == 0 || !is(view.head()),
        Stall::Tail => step == 0 || !is(view.tail()),
    }
}

/// What was seen in a while of such stand-stills.
#[derive(Debug, Default)]
struct Seen {
    views: u64,
    taken: u64,
    oldest_confirmation: Duration,
    slowest_change: Duration,
}

/// One operator who sends a change after another, each at another process.
struct Caller {
    key: u64,
    place: usize,
    sent_at: Option<Duration>,
}

impl Caller {
    /// Sends the change if the process runs, or takes its answer.
    fn look(&mut self, world: &mut World, seen: &mut Seen) {
        let Some(sent_at) = self.sent_at else {
            if !world.nodes[self.place].frozen {
                self.sent_at = Some(world.now);
                submit(world, self.place, self.key, command(self.key, self.key + 1, 0));
            }
            return;
        };
        let is_answer = |(key, _): &&(CommandId, Outcome)| key.0 == self.key;
        let Some((_, outcome)) = world.heard.iter().find(is_answer) else { return };
        assert_eq!(*outcome, Outcome::Committed, "change {} at {}", self.key, self.place);
        seen.slowest_change = seen.slowest_change.max(world.now - sent_at);
        seen.taken += 1;
        *self = Caller { key: self.key + 1, place: (self.place + 1) % world.nodes.len(), sent_at: None };
    }
}

fn play(core: Core, stall: Stall, seed: u64) -> Seen {
    let mut world = core.starting(seed);
    run(&mut world, 7_000);
    let views = world.checks.views_changed;
    let mut seen = Seen::default();
    let mut caller = Caller { key: 0, place: 0, sent_at: None };
    for _ in 0..200 {
        for step in 0..STEPS {
            for place in 0..world.nodes.len() {
                if runs(&world, stall, place, step) {
                    world.thaw(place);
                } else {
                    world.freeze(place);
                }
            }
            caller.look(&mut world, &mut seen);
            run(&mut world, STEP);
            note_confirmations(&world, &mut seen);
        }
    }
    assert!(world.checks.breaches.is_empty(), "{core:?} {stall:?} seed {seed}: {:#?}", world.checks.breaches);
    seen.views = world.checks.views_changed - views;
    seen
}

/// The oldest confirmation that a running voter goes by.
fn note_confirmations(world: &World, seen: &mut Seen) {
    for node in world.nodes.iter().filter(|node| !node.frozen) {
        let Some(replica) = &node.replica else { continue };
        let age = replica.freshness(world.now - node.booted).unwrap_or(ms(99_000));
        seen.oldest_confirmation = seen.oldest_confirmation.max(age);
    }
}

#[test]
fn stand_stills_of_90_ms_in_each_100_change_no_view() {
    let cores =
        [Core { machines: 3, losses: 1 }, Core { machines: 5, losses: 2 }, Core { machines: 8, losses: 1 }];
    for core in cores {
        for stall in [Stall::Together, Stall::Apart, Stall::Head, Stall::Tail] {
            for seed in 0..6 {
                let seen = play(core, stall, 8_000 + seed);
                println!("{core:?} {stall:?} {seed}: {seen:?}");
                assert_eq!(seen.views, 0, "{core:?} {stall:?} seed {seed}: {seen:?}");
                assert!(seen.slowest_change <= CALLERS_TIMEOUT, "{core:?} {stall:?} seed {seed}: {seen:?}");
                assert!(
                    seen.oldest_confirmation <= MAX_FRESH_AGE,
                    "{core:?} {stall:?} seed {seed}: {seen:?}"
                );
            }
        }
    }
}
