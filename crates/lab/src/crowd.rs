//! `crankpick-lab sessions`: hundreds of sessions held from this process against real voters, and what they
//! cost those; `crankpick-lab pace`: what the fleet's part costs queries, with it on and off in turns.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crankpick_carry::clock::now_us;
use crankpick_carry::frames;
use crankpick_fleet::lease::Timing;
use crankpick_fleet::messages::{Message, ProcessId, Renewal};
use crankpick_fleet::observation::{BackendView, ProxyReport, Quantized, View};
use crankpick_fleet::work::{SendPolicy, Stage};
use serde_json::{json, Value};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::emulate::Nature;
use crate::load::Load;
use crate::rig::{Layout, Rig};
use crate::work;

/// Of the plan that is carried out before the sessions' eyes.
const BACKENDS: usize = 24;
const MACHINES_OUT: u32 = 6;
const SOON: Duration = Duration::from_secs(30);

fn place(number: usize) -> (String, u32) {
    Layout { zones: 3, cells: 2, ..Layout::default() }.place(number)
}

#[derive(Default)]
struct Counts {
    bytes_out: AtomicU64,
    bytes_in: AtomicU64,
    /// Sessions answered since they last connected.
    answered: AtomicUsize,
}

/// One session: its signs of life, and the versions it hears of.
struct Session {
    who: ProcessId,
    voter: SocketAddr,
    times: Timing,
    counts: Arc<Counts>,
    version: watch::Sender<u64>,
}

impl Session {
    async fn live(self, mut generation: watch::Receiver<u64>) {
        loop {
            let _ = generation.borrow_and_update();
            tokio::select! {
                () = self.connected() => sleep(Duration::from_millis(100)).await,
                changed = generation.changed() => if changed.is_err() { return },
            }
        }
    }

    /// As one of many proxies sees its few backends.
    fn view(&self) -> View {
        let mut rng = fastrand::Rng::with_seed(self.who.incarnation);
        let mut view = View { queries: Quantized::of(10.0), ..View::default() };
        for _ in 0..8 {
            let number = rng.usize(0..BACKENDS);
            let (zone, cell) = place(number);
            let sees = BackendView {
                zone,
                cell,
                load: Quantized::of(0.02 + 0.02 * rng.f64()),
                max: Quantized::of(30.0),
                lost: false,
            };
            view.backends.insert(format!("s-{number}"), sees);
        }
        view
    }

    async fn say(&self, stream: &mut (impl AsyncWriteExt + Unpin), word: &Message) -> Option<()> {
        let frame = frames::encode(word)?;
        stream.write_all(&frame).await.ok()?;
        self.counts.bytes_out.fetch_add(frame.len() as u64, Ordering::Relaxed);
        Some(())
    }

    async fn connected(&self) {
        let Ok(stream) = TcpStream::connect(self.voter).await else { return };
        let _ = stream.set_nodelay(true);
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        let hello = Message::Hello { fleet: "lab".into(), who: self.who.clone(), voter: false };
        if self.say(&mut writer, &hello).await.is_none() {
            return;
        }
        let (mut taken, mut token, mut first) = (0, 0, true);
        // While there is a plan: the revision looked at, and what is seen, told once to each leader.
        let (mut revision, mut view, mut leader) = (0, None, String::new());
        let mut next_at = Instant::now();
        // Apart from what is sent: a word that is read half must not be given up for a timer.
        let (send, mut heard) = mpsc::channel(64);
        let counts = Arc::clone(&self.counts);
        let _reading = Ends(tokio::spawn(async move {
            let mut room = Vec::new();
            while let Ok(word) = frames::read(&mut reader, &mut room).await {
                counts.bytes_in.fetch_add(room.len() as u64 + 4, Ordering::Relaxed);
                if send.send(word).await.is_err() {
                    return;
                }
            }
        }));
        loop {
            tokio::select! {
                () = sleep_until(next_at) => {
                    let renewal = Renewal {
                        who: self.who.clone(), sent_us: now_us(), willing: false, writable: true, voter: false,
                        taken_token: token, taken, acted: taken, heard: 0, kept: taken,
                        terms: SendPolicy { drains: false, waits: true, longest_us: 2_000_000 },
                        seen: ProxyReport { revision, view: view.take(), ..ProxyReport::default() }, work: None,
                    };
                    // As the real session: again soon while nobody answers.
                    let pace = if first { 2 * self.times.renew_us } else { self.times.session_us };
                    next_at = Instant::now() + Duration::from_micros(pace);
                    if self.say(&mut writer, &Message::Renew(renewal)).await.is_none() {
                        return;
                    }
                }
                word = heard.recv() => {
                    let Some(word) = word else { return };
                    match word {
                        Message::Renewed(answer) => {
                            if std::mem::take(&mut first) {
                                self.counts.answered.fetch_add(1, Ordering::Relaxed);
                            }
                            let Some((news, next)) = answer.next else { continue };
                            if leader != answer.leader {
                                (leader, view) = (answer.leader, Some(self.view()));
                                next_soon(&mut next_at);
                            }
                            if news != std::mem::replace(&mut revision, news) && !next.is_empty() {
                                next_soon(&mut next_at);
                            }
                        }
                        Message::Publish { publication, .. } => {
                            (taken, token) = (publication.version, publication.token);
                            // As a proxy that has acted on it says so at once.
                            next_soon(&mut next_at);
                            self.version.send_replace(taken);
                        }
                        Message::Nudge(_) => next_soon(&mut next_at),
                        _ => {}
                    }
                }
            }
        }
    }
}

fn next_soon(at: &mut Instant) {
    *at = Instant::now();
}

/// A task that ends with whoever holds this.
struct Ends(tokio::task::JoinHandle<()>);

impl Drop for Ends {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn until(within: Duration, is: impl Fn() -> bool) -> Result<Duration, String> {
    let start = Instant::now();
    while !is() {
        if start.elapsed() > within {
            return Err("it takes too long".into());
        }
        sleep(Duration::from_millis(5)).await;
    }
    Ok(start.elapsed())
}

/// What each process cost over some time, in CPU seconds a second and bytes.
async fn costs(rig: &Rig, over: Duration) -> Vec<Value> {
    let all = || (0..rig.procs.len()).map(|at| rig.cost(at).unwrap_or_default());
    let before: Vec<(f64, u64)> = all().collect();
    sleep(over).await;
    let pairs = before.iter().zip(all()).enumerate();
    let one = |at: usize, cpu: f64, bytes: u64| json!({"process": rig.procs[at].name, "cpu": cpu / over.as_secs_f64(), "resident_kb": bytes / 1024});
    pairs.map(|(at, (before, (cpu, bytes)))| one(at, cpu - before.0, bytes)).collect()
}

pub async fn sessions(count: usize, seconds: u64, lease_us: u64, dir: &Path) -> Result<Value, String> {
    let nature = Nature::default();
    let layout = Layout {
        processes: 4,
        backends: BACKENDS,
        nature,
        lease_us,
        seed: 1,
        zones: 3,
        cells: 2,
        ..Layout::default()
    };
    let mut rig = Rig::new(layout, dir).await?;
    rig.start_all().await?;
    rig.settled(SOON).await?;
    let over = Duration::from_secs(seconds);
    let alone = costs(&rig, over).await;
    let counts: Arc<Counts> = Arc::default();
    let (generation, on_generation) = watch::channel(0);
    let mut versions = Vec::new();
    for number in 0..count {
        let (version, on_version) = watch::channel(0);
        versions.push(on_version);
        let session = Session {
            who: ProcessId { name: format!("c{number}"), incarnation: now_us() },
            voter: rig.voter(number % 3),
            times: Timing::new(lease_us),
            counts: Arc::clone(&counts),
            version,
        };
        tokio::spawn(session.live(on_generation.clone()));
    }
    let first = until(SOON, || counts.answered.load(Ordering::Relaxed) >= count).await?;
    sleep(Duration::from_secs(2)).await;
    let bytes = || (counts.bytes_out.load(Ordering::Relaxed), counts.bytes_in.load(Ordering::Relaxed));
    let (sent, heard) = bytes();
    let with = costs(&rig, over).await;
    let (sent, heard) = (bytes().0 - sent, bytes().1 - heard);
    let asked = Instant::now();
    rig.call(3, "FLEET OUT 1 s-1").await?;
    let agreed = asked.elapsed();
    until(SOON, || versions.iter().all(|version| *version.borrow() >= 1)).await?;
    let acted = asked.elapsed();
    // All at once anew, as after a power cut on their side.
    counts.answered.store(0, Ordering::Relaxed);
    let before: Vec<_> = (0..4).map(|at| rig.cost(at).unwrap_or_default().0).collect();
    generation.send_modify(|generation| *generation += 1);
    let again = until(SOON, || counts.answered.load(Ordering::Relaxed) >= count).await?;
    let spent: Vec<f64> = (0..4).map(|at| rig.cost(at).unwrap_or_default().0 - before[at]).collect();
    rig.call(3, "FLEET BACK 2 s-1").await?;
    sleep(Duration::from_secs(3)).await;
    let plan = plan(&rig, &bytes).await?;
    let leader = rig.status(3).await?.leader;
    let per_s = |bytes: u64| bytes as f64 / seconds as f64 / count as f64;
    let told = json!({
        "sessions": count, "leader": leader, "alone": alone, "with_sessions": with,
        "bytes_per_session_s": {"out": per_s(sent), "in": per_s(heard)},
        "us": {"all_answered": first.as_micros() as u64, "agreed": agreed.as_micros() as u64,
               "all_acted": acted.as_micros() as u64, "all_again": again.as_micros() as u64},
        "cpu_s_all_again": spent, "plan": plan,
    });
    rig.close().await;
    Ok(told)
}

/// A plan over all backends, nothing in the way: what a machine costs, beside the sessions' own signs of life.
async fn plan(rig: &Rig, bytes: &impl Fn() -> (u64, u64)) -> Result<Value, String> {
    let text = format!(
        "name = \"week\"\nwhy = \"patches\"\n[bounds]\nmost_out = {MACHINES_OUT}\nleast_spare = 1.2\n\
         warm_us = 0\ncalm_us = 0\nlast_of_cell = true\n[[machines]]\nzone = \"a\"\n[[machines]]\nzone = \"b\"\n\
         [[machines]]\nzone = \"c\"\n"
    );
    let cpu = || (0..4).map(|at| rig.cost(at).unwrap_or_default().0).collect::<Vec<_>>();
    let (at_rest, rest) = (cpu(), bytes());
    let quiet = Instant::now();
    sleep(Duration::from_secs(5)).await;
    let (idle, still) = (cpu(), bytes());
    let idle_s = quiet.elapsed().as_secs_f64();
    work::add(rig, &text, &rig.dir).await?;
    let begun = Instant::now();
    loop {
        let plan = work::plan(rig, "week").await?;
        if plan.is_over() {
            break;
        }
        if begun.elapsed() > 4 * SOON {
            return Err(format!("the plan is not over: {}", plan.waits));
        }
        let under = plan.machines.iter().filter(|(_, machine)| machine.stage == Stage::Working);
        for (machine, _) in under {
            let call = format!("FLEET WORK DONE {:x} {machine}", fastrand::u128(1..));
            // One that has been done meanwhile says so.
            let _ = rig.call(3, &call).await;
        }
        sleep(Duration::from_millis(100)).await;
    }
    let (took, after, moved) = (begun.elapsed(), cpu(), bytes());
    let machines = BACKENDS as f64;
    let over = |at: usize| {
        let usual = (idle[at] - at_rest[at]) / idle_s * took.as_secs_f64();
        (after[at] - idle[at] - usual) / machines
    };
    let usual = |before: u64, now: u64| (now - before) as f64 / idle_s * took.as_secs_f64();
    let out = (moved.0 - still.0) as f64 - usual(rest.0, still.0);
    let back = (moved.1 - still.1) as f64 - usual(rest.1, still.1);
    Ok(json!({
        "machines": BACKENDS, "took_us": took.as_micros() as u64,
        "cpu_s_a_machine": (0..4).map(over).collect::<Vec<_>>(),
        "bytes_a_machine": {"from_sessions": out / machines, "to_sessions": back / machines},
    }))
}

/// Latency of queries with the fleet's part on and off, in turns on the same machine.
pub async fn pace(turns: u64, seconds: u64, rate: f64, dir: &Path) -> Result<Value, String> {
    let mut told = Vec::new();
    let mut ratios = Vec::new();
    for turn in 0..turns {
        let mut p99 = [0_u64; 2];
        // Which goes first changes, as the machine's mood does.
        for step in 0..2 {
            let fleet = (turn + step) % 2 == 0;
            let nature = Nature { cost_us: 1_000, ..Nature::default() };
            let layout = Layout {
                processes: 3,
                voters: 3,
                backends: 6,
                nature,
                lease_us: 3_000_000,
                fleet,
                seed: turn,
                ..Layout::default()
            };
            let mut rig = Rig::new(layout, &dir.join(format!("{turn}-{fleet}"))).await?;
            rig.start_all().await?;
            if fleet {
                rig.settled(SOON).await?;
            }
            let load = Arc::new(Load::new());
            let (over, on_over) = watch::channel(false);
            let mut clients = rig.clients(&load, rate, 1, &on_over);
            sleep(Duration::from_secs(seconds)).await;
            let _ = over.send(true);
            let _ = timeout(SOON, async { while clients.join_next().await.is_some() {} }).await;
            let (quantiles, completed) = {
                let tally = load.tally.lock().map_err(|_| "a broken tally")?;
                let quantile = |part| tally.latency_us.as_ref().map_or(0, |one| one.value_at_quantile(part));
                ([quantile(0.5), quantile(0.99)], tally.completed)
            };
            p99[usize::from(fleet)] = quantiles[1];
            told.push(json!({"turn": turn, "fleet": fleet, "completed": completed, "p50_us": quantiles[0], "p99_us": quantiles[1]}));
            rig.close().await;
        }
        ratios.push(p99[1] as f64 / p99[0].max(1) as f64);
    }
    ratios.sort_by(f64::total_cmp);
    Ok(json!({"turns": told, "p99_on_to_off": ratios, "median": ratios.get(ratios.len() / 2)}))
}
