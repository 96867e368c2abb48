//! Backends that are restarted for what they hold: the rest is not driven into the same, and who is back is cold.

mod ledger;

use crankpick::balance::Balancer;
use crankpick::interface::*;
use ledger::*;

const BACKENDS: u32 = 6;

fn start(multiple: f64) -> (Ledger, Balancer) {
    let limits =
        ExecutionLimits { max_executions: 3, cancel: true, max_backoff_us: 2_000_000, may_duplicate: false };
    let workload = Workload { tardy_importance: 0.0, ..workload(Repeat::Idempotent, DedupGroup::All, 1.0) };
    let mut ledger = Ledger::new(vec![workload], limits);
    ledger.peers = true;
    ledger.cold = ColdRule { capacity_multiple: multiple, ..COLD };
    let mut balancer = ledger.balancer(5, 1, 0);
    let listed: Vec<Listed> = (0..BACKENDS).map(ready).collect();
    ledger.round(&mut balancer, 5_000, |ledger, inbox| ledger.tell(inbox, &listed));
    (ledger, balancer)
}

/// Backends that do one query in 60 ms, and a health check that looks each half second and restarts whoever held
/// four or more at three looks in a row. Returns how often that was.
fn restarts(rate_ms: u64, seconds: u64) -> usize {
    let (mut ledger, mut balancer) = start(3.0);
    let (mut free_us, mut looks, mut down_us) = ([0; 6], [0; 6], [0; 6]);
    let mut count = 0;
    for step in 0..seconds * 200 {
        let asks = step * 5 % rate_ms < 5;
        ledger.round(&mut balancer, 5_000, |ledger, inbox| {
            if asks {
                ledger.take(inbox, &format!("q{step:06}"), 0, 900_000, Some(20_000));
            }
            let mut held = [0; 6];
            for (id, number) in ledger.out() {
                let sent = &ledger.queries[&id].sent[number];
                let (at, now_us, until_us) = (sent.backend as usize, ledger.now_us, sent.until_us);
                held[at] += 1;
                if now_us < down_us[at] {
                    ledger.end(inbox, &id, number, Ended::Unreachable);
                } else if now_us >= until_us {
                    ledger.end(inbox, &id, number, Ended::TimedOut);
                } else if now_us >= sent.at_us.max(free_us[at]) + 60_000 {
                    free_us[at] = now_us;
                    ledger.end(inbox, &id, number, Ended::Completed);
                }
            }
            for at in (0..6).filter(|_| step % 100 == 0) {
                looks[at] = if held[at] >= 4 { looks[at] + 1 } else { 0 };
                if looks[at] >= 3 {
                    (looks[at], down_us[at], count) = (0, ledger.now_us + 1_500_000, count + 1);
                    let on = |out: &(String, usize)| ledger.queries[&out.0].sent[out.1].backend == at as u32;
                    let there: Vec<_> = ledger.out().into_iter().filter(on).collect();
                    there.iter().for_each(|(id, number)| ledger.end(inbox, id, *number, Ended::Dropped));
                }
            }
        });
    }
    count
}

/// A tenth more than they can do: without a bound from the first restart on each would be restarted in turn.
#[test]
fn one_restart_does_not_bring_the_next() {
    let count = restarts(9, 30);
    assert!((1..=8).contains(&count), "{count} restarts in half a minute");
}

/// The list tells nothing yet: that it broke what it had in work is news enough.
#[test]
fn who_breaks_what_he_holds_is_cold_when_he_is_back() {
    let (mut ledger, mut balancer) = start(1.0);
    let (mut sent, mut died_us) = ([0; 6], u64::MAX);
    for step in 0..800 {
        ledger.round(&mut balancer, 5_000, |ledger, inbox| {
            let id = format!("q{step:04}");
            ledger.take(inbox, &id, 0, 900_000, Some(20_000));
            let there = |ledger: &Ledger, of: &(String, usize)| ledger.queries[&of.0].sent[of.1].backend == 2;
            let held: Vec<_> = ledger.out().into_iter().filter(|of| there(ledger, of)).collect();
            let dies = step >= 400 && died_us == u64::MAX && held.len() >= 3;
            died_us = if dies { ledger.now_us } else { died_us };
            for (id, number) in ledger.out() {
                let stays = step >= 400 && died_us == u64::MAX;
                if dies && held.contains(&(id.clone(), number)) {
                    ledger.end(inbox, &id, number, Ended::Dropped);
                } else if !stays && ledger.now_us >= ledger.queries[&id].sent[number].at_us + 20_000 {
                    ledger.end(inbox, &id, number, Ended::Completed);
                }
            }
        });
        let new =
            ledger.queries.values().flat_map(|qry| &qry.sent).filter(|sent| sent.at_us == ledger.now_us);
        new.filter(|_| ledger.now_us > died_us).for_each(|new| sent[new.backend as usize] += 1);
    }
    assert!(sent[2] > 0 && sent[2] * 3 < sent[3] * 2, "as many as a warm one: {sent:?}");
    assert_eq!(ledger.wrong, Vec::<String>::new());
}

/// Answers that break off or can't be read one by one, at all backends, are no deaths: all go on being used in full.
#[test]
fn answers_that_break_off_one_by_one_are_no_deaths() {
    let (mut ledger, mut balancer) = start(1.0);
    let mut ended = 0;
    for step in 0..2_000 {
        ledger.round(&mut balancer, 5_000, |ledger, inbox| {
            ledger.take(inbox, &format!("q{step:04}"), 0, 900_000, Some(20_000));
            for (id, number) in ledger.out() {
                if ledger.now_us >= ledger.queries[&id].sent[number].at_us + 20_000 {
                    ended += 1;
                    let how = if ended % 12 == 0 { Ended::Dropped } else { Ended::Completed };
                    ledger.end(inbox, &id, number, how);
                }
            }
        });
    }
    let sent = ledger.queries.values().filter(|qry| !qry.sent.is_empty()).count();
    assert!(sent >= 1_980, "only {sent} of 2,000 were sent at all");
    assert_eq!(ledger.wrong, Vec::<String>::new());
}

/// The stamp may be early by the drift: the ramp begins at the latest start that it can mean, not after the news.
#[test]
fn a_start_stamp_that_may_be_off_counts_as_its_latest() {
    let sent_to = |drift_us: u64, stamp_ago_us: u64| {
        let (mut ledger, _) = start(0.3);
        ledger.standing.clocks.start_us = drift_us;
        let mut balancer = ledger.balancer(5, 1, 0);
        let listed: Vec<Listed> = (0..BACKENDS).map(ready).collect();
        ledger.round(&mut balancer, 5_000, |ledger, inbox| ledger.tell(inbox, &listed));
        for step in 0..800 {
            ledger.round(&mut balancer, 5_000, |ledger, inbox| {
                if step == 600 {
                    let since_us = ledger.now_us - stamp_ago_us;
                    ledger.tell(inbox, &[Listed { since_us, ..ready(2) }]);
                }
                ledger.take(inbox, &format!("q{step:04}"), 0, 900_000, Some(20_000));
                for (id, number) in ledger.out() {
                    if ledger.now_us >= ledger.queries[&id].sent[number].at_us + 20_000 {
                        ledger.end(inbox, &id, number, Ended::Completed);
                    }
                }
            });
        }
        assert_eq!(ledger.wrong, Vec::<String>::new());
        let late = ledger.queries.iter().filter(|(id, _)| id.as_str() >= "q0600");
        late.flat_map(|(_, qry)| &qry.sent).filter(|sent| sent.backend == 2).count()
    };
    let (told, off, fresh) = (sent_to(0, 7_900_000), sent_to(7_500_000, 7_900_000), sent_to(0, 400_000));
    assert!(
        off < told && off <= fresh + 2,
        "{off} where the stamp may be off, {told} else, {fresh} just started"
    );
}

/// Half of the backends stand still for 280 ms every two seconds: what they hold comes back late, and they are used on.
#[test]
fn a_pause_is_not_a_death() {
    let (mut ledger, mut balancer) = start(3.0);
    let mut used = [0; 6];
    for step in 0..2_000 {
        ledger.round(&mut balancer, 5_000, |ledger, inbox| {
            let id = format!("q{step:04}");
            if step % 3 == 0 {
                ledger.take(inbox, &id, 0, 900_000, Some(20_000));
            }
            for (id, number) in ledger.out() {
                let sent = &ledger.queries[&id].sent[number];
                let stands = sent.backend < 3 && step % 400 < 56;
                if !stands && ledger.now_us >= sent.at_us + 20_000 {
                    used[sent.backend as usize] += usize::from(step >= 400);
                    ledger.end(inbox, &id, number, Ended::Completed);
                }
            }
        });
    }
    let rejected = ledger.queries.values().filter(|qry| qry.answer != Some("completed")).count();
    assert!(used[..3].iter().all(|of| *of >= 40), "{used:?}");
    assert!(rejected <= 12, "{rejected} of 667 were not completed");
    assert_eq!(ledger.wrong, Vec::<String>::new());
}
