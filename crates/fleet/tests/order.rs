//! Scheduling decisions from aggregated observations alone: no processes, and no log but the plans
//! themselves.

use std::collections::{BTreeMap, BTreeSet};

use crankpick_fleet::observation::{BackendSummary, FleetView};
use crankpick_fleet::scheduler::{Action, Owner, SchedulerInput};
use crankpick_fleet::work::{Bounds, Machine, MachineKind, Order, Plan, Stage, Step, Work};

const TOKEN: u64 = 7;
const S: u64 = 1_000_000;

fn plan(bounds: Bounds, machines: &[(&str, &str, u32)]) -> Plan {
    let machine = |(id, zone, cell): &(&str, &str, u32)| {
        ((*id).to_owned(), Machine::new(MachineKind::Backend, zone, *cell, false))
    };
    Plan {
        why: "patches".into(),
        bounds: Bounds { calm_us: 0, ..bounds },
        maintenance: None,
        paused: false,
        cancelled: false,
        waits: String::new(),
        number: 0,
        machines: machines.iter().map(machine).collect::<BTreeMap<_, _>>(),
    }
}

fn work(plan: Plan) -> Work {
    let mut work = Work::default();
    work.apply_order(&Order::Add { name: "p".into(), plan: Box::new(plan) }).expect("a sound plan");
    work
}

fn sight(backends: &[(&str, &str, u32, f64, f64)]) -> FleetView {
    let one = |(id, zone, cell, load, max): &(&str, &str, u32, f64, f64)| {
        let aggregate =
            BackendSummary { zone: (*zone).into(), cell: *cell, load: *load, max: *max, by: 4, lost_by: 0 };
        ((*id).to_owned(), aggregate)
    };
    let backends = backends.iter().map(one).collect();
    FleetView {
        backends,
        proxies: 4,
        in_touch: 4,
        told: 4,
        queries: 100.0,
        considered: u64::MAX,
        ..FleetView::default()
    }
}

fn next(owner: &mut Owner, now_us: u64, work: &Work, sight: &FleetView) -> Vec<Action> {
    let (outs, voters) = (work.outs(), ["a", "b", "c"].map(str::to_owned));
    let wall_us = now_us;
    let (token, patience_us) = (TOKEN, S);
    owner.next(&SchedulerInput {
        now_us,
        wall_us,
        work,
        sight,
        outs: &outs,
        voters: &voters,
        token,
        patience_us,
    })
}

fn steps(all: Vec<Action>) -> Vec<Step> {
    let steps =
        all.into_iter().find_map(|one| if let Action::Steps(steps) = one { Some(steps) } else { None });
    steps.unwrap_or_default()
}

fn machines_moved(all: &[Step], to: Stage) -> Vec<&str> {
    all.iter().filter(|step| step.to == to).map(|step| step.machine.as_str()).collect()
}

fn waits(all: &[Action]) -> String {
    let reported =
        all.iter().find_map(|one| if let Action::Waits { why, .. } = one { Some(why.clone()) } else { None });
    reported.unwrap_or_default()
}

/// Applies all steps until no more are decided; proxies confirm each leaving machine at once.
fn apply_all(work: &mut Work, sight: &mut FleetView, owner: &mut Owner, now_us: u64) {
    for _ in 0..20 {
        let all = work.open_plans().flat_map(|(_, plan)| &plan.machines);
        let leaving = all.filter(|(_, one)| one.stage == Stage::Leaving).map(|(id, _)| (id.clone(), vec![]));
        sight.waits = leaving.collect();
        for step in steps(next(owner, now_us, work, sight)) {
            work.apply_step(&step, TOKEN, 3).expect("settled by the same bounds");
        }
    }
}

#[test]
fn the_roomiest_goes_first_then_the_least_loaded_then_by_name() {
    let all = [("b-1", "b", 0, 2.0, 20.0), ("b-2", "b", 0, 2.0, 20.0), ("b-3", "b", 0, 1.0, 20.0)];
    let others = [("a-1", "a", 0, 8.0, 20.0), ("a-2", "a", 0, 8.0, 20.0), ("a-3", "a", 0, 8.0, 20.0)];
    let sight = sight(&[all, others].concat());
    let machines: Vec<(&str, &str, u32)> =
        sight.backends.iter().map(|(id, one)| (id.as_str(), one.zone.as_str(), one.cell)).collect();
    for most_out in 1..=4 {
        let work = work(plan(Bounds { most_out, ..Bounds::default() }, &machines));
        let settled = steps(next(&mut Owner::default(), 0, &work, &sight));
        // Zone b has capacity to spare for one and then for a second; a third would leave less than 1.5 times
        // the demand.
        let first = ["b-3", "b-1", "a-1", "b-2"];
        let first = &first[..most_out as usize];
        let machines_moved = machines_moved(&settled, Stage::Agreed);
        assert_eq!(
            machines_moved.iter().collect::<BTreeSet<_>>(),
            first.iter().take(machines_moved.len()).collect(),
            "{most_out}"
        );
        assert!(settled[0].why.contains("times the need left"), "{:?}", settled[0]);
    }
}

#[test]
fn bounds_by_zone_and_cell_hold_and_every_machine_gets_its_turn() {
    let machines: Vec<(String, String, u32)> =
        (0..12).map(|n| (format!("s-{n:02}"), format!("z{}", n % 3), n / 3 % 2)).collect();
    let refs: Vec<(&str, &str, u32)> =
        machines.iter().map(|(a, b, c)| (a.as_str(), b.as_str(), *c)).collect();
    let bounds =
        Bounds { most_out: 5, most_out_zone: 2, most_out_cell: 1, most_cold: 1, ..Bounds::default() };
    let mut work = work(plan(Bounds { warm_us: S, ..bounds.clone() }, &refs));
    let full: Vec<(&str, &str, u32, f64, f64)> =
        refs.iter().map(|(id, zone, cell)| (*id, *zone, *cell, 1.0, 20.0)).collect();
    let (mut sight, mut owner) = (sight(&full), Owner::default());
    let (mut now_us, mut most) = (0, 0);
    while work.open_plans().next().is_some() {
        apply_all(&mut work, &mut sight, &mut owner, now_us);
        let count = work.count();
        assert!(count.all <= 5 && count.cold <= 1, "{count:?}");
        assert!(count.zones.values().all(|out| *out <= 2) && count.cells.values().all(|out| *out <= 1));
        most = most.max(count.all);
        let working: Vec<String> = work.plans["p"]
            .machines
            .iter()
            .filter(|(_, one)| one.stage == Stage::Working)
            .map(|(id, _)| id.clone())
            .collect();
        for machine in working {
            work.apply_order(&Order::Ended { machine, well: true }).expect("under work");
        }
        now_us += S / 2;
        assert!(now_us < 200 * S, "{work:?}");
    }
    assert!(most >= 4, "one at a time would do as well: {most}");
}

#[test]
fn trouble_calls_back_what_nobody_works_on_and_lets_nothing_more_go() {
    let full = [
        ("a", "z", 0, 1.0, 20.0),
        ("b", "z", 0, 1.0, 20.0),
        ("c", "z", 0, 1.0, 20.0),
        ("d", "z", 0, 1.0, 20.0),
    ];
    let machines = [("a", "z", 0), ("b", "z", 0), ("c", "z", 0), ("d", "z", 0)];
    let bounds = Bounds { most_out: 2, ..Bounds::default() };
    type Disturbance = fn(&mut FleetView);
    let troubles: [(&str, Disturbance); 5] = [
        ("are silent", |sight| (sight.in_touch, sight.told) = (2, 2)),
        ("are turned away", |sight| sight.rejected = 20.0),
        ("of the need", |sight| sight.backends.values_mut().for_each(|one| one.load = 19.0)),
        ("died beside", |sight| sight.backends.get_mut("d").expect("there").lost_by = 4),
        ("have told what they see", |sight| sight.told = 1),
    ];
    for (why, disturb) in troubles {
        let (mut work, mut owner, mut seen) =
            (work(plan(bounds.clone(), &machines)), Owner::default(), sight(&full));
        for _ in 0..2 {
            for step in steps(next(&mut owner, 0, &work, &seen)) {
                work.apply_step(&step, TOKEN, 3).expect("sound");
            }
        }
        let leaving = work.outs();
        assert_eq!(leaving.len(), 2);
        disturb(&mut seen);
        let all = next(&mut owner, 3 * S, &work, &seen);
        assert!(waits(&all).contains(why), "{why}: {}", waits(&all));
        let back = steps(all);
        match why {
            // A new leader's proxies have not reported yet: no machine is called back for that.
            "have told what they see" => assert!(back.is_empty(), "{back:?}"),
            _ => {
                assert_eq!(machines_moved(&back, Stage::Proposed).len(), 2, "{why}: {back:?}");
                assert!(back.iter().all(|step| step.why.contains("called back")));
            }
        }
        assert!(machines_moved(&back, Stage::Agreed).is_empty());
        // A machine under work stays out in any case.
        let mut kept = work.clone();
        kept.plans.get_mut("p").expect("there").machines.values_mut().for_each(|one| {
            if one.stage == Stage::Leaving {
                one.stage = Stage::Working;
            }
        });
        assert!(steps(next(&mut Owner::default(), S, &kept, &seen)).is_empty(), "{why}");
    }
}

#[test]
fn an_objection_delays_and_then_puts_back_with_its_reason() {
    let full = [("a", "z", 0, 1.0, 20.0), ("b", "z", 0, 1.0, 20.0), ("c", "z", 0, 1.0, 20.0)];
    let bounds = Bounds { hang_us: 10 * S, ..Bounds::default() };
    let mut work = work(plan(bounds, &[("a", "z", 0)]));
    let (mut owner, mut seen) = (Owner::default(), sight(&full));
    for step in steps(next(&mut owner, 0, &work, &seen)) {
        work.apply_step(&step, TOKEN, 3).expect("sound");
    }
    seen.objections.push(("n3".into(), "a".into(), "the only backend in reach".into()));
    let all = next(&mut owner, S, &work, &seen);
    assert_eq!(waits(&all), "a: n3 objects, the only backend in reach");
    assert!(steps(all).is_empty());
    let back = steps(next(&mut owner, 12 * S, &work, &seen));
    assert!(back[0].to == Stage::Proposed && back[0].why.contains("n3 objects"), "{back:?}");
    seen.objections.clear();
    seen.considered = 0;
    let late = steps(next(&mut owner, 13 * S, &work, &seen));
    // A proxy that does not consider the machine is not waited for indefinitely.
    assert_eq!(machines_moved(&late, Stage::Leaving), ["a"]);
}

#[test]
fn hours_in_which_none_goes_wrap_round_midnight() {
    let minute = 60 * S;
    for (quiet, at, goes) in [
        ((1_320, 390), 1_400, false),
        ((1_320, 390), 10, false),
        ((1_320, 390), 400, true),
        ((60, 120), 60, false),
        ((60, 120), 120, true),
    ] {
        let bounds = Bounds { quiet: vec![quiet], ..Bounds::default() };
        let work = work(plan(bounds, &[("a", "z", 0)]));
        let seen = sight(&[("a", "z", 0, 1.0, 20.0), ("b", "z", 0, 1.0, 20.0)]);
        let settled = steps(next(&mut Owner::default(), at * minute, &work, &seen));
        assert_eq!(!settled.is_empty(), goes, "{quiet:?} at {at}");
    }
}

/// With random observations: every step is accepted by the log, and equal input gives equal decisions.
#[test]
fn whatever_the_words_say_the_log_takes_each_step_and_bounds_hold() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let names: Vec<String> = (0..rng.usize(1..20)).map(|n| format!("s-{n}")).collect();
        let places: Vec<(String, u32)> =
            names.iter().map(|_| (format!("z{}", rng.u32(0..3)), rng.u32(0..3))).collect();
        let most_out = rng.u32(1..6);
        let bounds = Bounds {
            most_out,
            most_out_zone: rng.u32(1..=most_out),
            least_spare: 1.0 + rng.f64(),
            last_of_cell: rng.bool(),
            hang_us: 3 * S,
            warm_us: S,
            ..Bounds::default()
        };
        let machines: Vec<(&str, &str, u32)> =
            names.iter().zip(&places).map(|(id, (zone, cell))| (id.as_str(), zone.as_str(), *cell)).collect();
        let mut work = work(plan(bounds.clone(), &machines));
        let (mut owner, mut second_owner) = (Owner::default(), Owner::default());
        for turn in 0..60 {
            let mut observations = sight(&[]);
            for (id, (zone, cell)) in names.iter().zip(&places) {
                if rng.u32(0..10) == 0 {
                    continue;
                }
                let (load, max) = (3.0 * rng.f64(), 10.0 * rng.f64());
                let one = BackendSummary {
                    zone: zone.clone(),
                    cell: *cell,
                    load,
                    max,
                    by: 4,
                    lost_by: rng.u32(0..4),
                };
                observations.backends.insert(id.clone(), one);
            }
            (observations.in_touch, observations.told) = (rng.u32(2..5), rng.u32(1..5));
            observations.rejected = rng.f64() * 8.0;
            let all = work.open_plans().flat_map(|(_, plan)| &plan.machines);
            let leaving = all.filter(|(_, one)| one.stage == Stage::Leaving && rng.bool());
            observations.waits = leaving.map(|(id, _)| (id.clone(), vec![])).collect();
            let now_us = turn * S;
            let settled = next(&mut owner, now_us, &work, &observations);
            assert_eq!(settled, next(&mut second_owner, now_us, &work, &observations), "seed {seed}");
            for step in steps(settled) {
                // The log refuses a step with an older token, even if nothing else has changed.
                assert!(work
                    .clone()
                    .apply_step(&Step { token: TOKEN - 1, ..step.clone() }, TOKEN, 3)
                    .is_err());
                work.apply_step(&step, TOKEN, 3).unwrap_or_else(|why| panic!("seed {seed}: {step:?}: {why}"));
                let count = work.count();
                assert!(
                    count.all <= most_out && count.zones.values().all(|out| *out <= bounds.most_out_zone)
                );
                // It refuses a step that is meant for an earlier revision of the machine.
                assert!(work.clone().apply_step(&step, TOKEN, 3).is_err());
            }
            let working = work.open_plans().flat_map(|(_, plan)| &plan.machines);
            let working: Vec<String> = working
                .filter(|(_, one)| matches!(one.stage, Stage::Working | Stage::Failed) && rng.bool())
                .map(|(id, _)| id.clone())
                .collect();
            for machine in working {
                work.apply_order(&Order::Ended { machine, well: rng.u32(0..4) > 0 }).expect("under work");
            }
        }
    }
}

/// Steps that the log itself refuses, whatever the owner decided.
#[test]
fn the_log_refuses_old_tokens_old_times_out_cold_crowds_and_steps_of_no_owner() {
    let bounds = Bounds { most_out: 3, most_out_zone: 2, most_cold: 1, ..Bounds::default() };
    let mut work = work(plan(bounds, &[("a", "z", 0), ("b", "z", 0), ("c", "z", 0)]));
    let step = |work: &Work, id: &str, to: Stage| {
        let one = &work.plans["p"].machines[id];
        let (plan, machine, why) = ("p".to_owned(), id.to_owned(), String::new());
        Step { token: TOKEN, plan, machine, from: one.stage, to, revision: one.revision, why, wall_us: 0 }
    };
    let first = step(&work, "a", Stage::Agreed);
    assert!(work
        .apply_step(&Step { token: TOKEN - 1, ..first.clone() }, TOKEN, 3)
        .unwrap_err()
        .contains("token"));
    work.apply_step(&first, TOKEN, 3).expect("sound");
    let back = step(&work, "a", Stage::Proposed);
    work.apply_step(&back, TOKEN, 3).expect("nobody works there");
    // Proposed again: a step meant for the first time is not valid for the second.
    assert!(work.apply_step(&first, TOKEN, 3).unwrap_err().contains("by now"));
    for to in [Stage::Leaving, Stage::Out, Stage::Working, Stage::Done, Stage::Cancelled] {
        let skipped = step(&work, "a", to);
        assert!(work.apply_step(&skipped, TOKEN, 3).is_err(), "{}", to.name());
    }
    for id in ["a", "b", "c"] {
        let agreed = step(&work, id, Stage::Agreed);
        assert_eq!(work.apply_step(&agreed, TOKEN, 3).is_err(), id == "c", "two of a zone");
    }
    for id in ["a", "b"] {
        for to in [Stage::Leaving, Stage::Out, Stage::Beginning, Stage::Working] {
            let on = step(&work, id, to);
            work.apply_step(&on, TOKEN, 3).expect("in order");
        }
        // Once work has started, the machine cannot be called back, and only an operator can end the work.
        for to in [Stage::Proposed, Stage::Mended, Stage::Back, Stage::Cancelled] {
            let wrong = step(&work, id, to);
            assert!(work.apply_step(&wrong, TOKEN, 3).is_err(), "{}", to.name());
        }
        work.apply_order(&Order::Ended { machine: id.into(), well: true }).expect("under work");
    }
    let (a, b) = (step(&work, "a", Stage::Back), step(&work, "b", Stage::Back));
    work.apply_step(&a, TOKEN, 3).expect("the first");
    assert!(work.apply_step(&b, TOKEN, 3).unwrap_err().contains("cold"));
    // Of three voters, one may be out.
    let mut both = plan(Bounds { most_out: 3, ..Bounds::default() }, &[("v1", "v1", 0), ("v2", "v2", 0)]);
    both.machines.values_mut().for_each(|one| (one.is, one.votes) = (MachineKind::Proxy, true));
    let mut work = self::work(both);
    let (one, two) = (step(&work, "v1", Stage::Agreed), step(&work, "v2", Stage::Agreed));
    work.apply_step(&one, TOKEN, 3).expect("one of three");
    assert!(work.apply_step(&two, TOKEN, 3).unwrap_err().contains("bear the loss of 1"));
}
