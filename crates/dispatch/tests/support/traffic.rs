//! Traffic of a deployment: its classes of requests, drawn as a Poisson process with bursts and a hot session.

use super::engine::EngineModel;
use crankpick_dispatch::PromptPart;
use fastrand::Rng;

/// A length drawn from a lognormal distribution with this mean.
#[derive(Clone, Copy, Debug)]
pub struct Length {
    pub mean: f64,
    pub spread: f64,
    pub max: f64,
}

impl Length {
    pub fn draw(&self, rng: &mut Rng) -> f64 {
        let (u, v) = (1.0 - rng.f64(), rng.f64());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        let value = self.mean * (self.spread * normal - self.spread * self.spread / 2.0).exp();
        value.min(self.max).max(1.0)
    }
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: &'static str,
    pub service: &'static str,
    pub per_s: f64,
    pub slo_ms: f64,
    pub deadline_ms: f64,
    /// The longest pause between events at which an answer is on time.
    pub gap_ms: f64,
    pub worth: f64,
    pub late_worth: f64,
    pub priority: u8,
    pub again: bool,
    pub request_bytes: u32,
    pub prompt: Length,
    pub pieces: Length,
    pub common: (Length, u64),
    pub own: (Length, u64),
    pub work: Option<Length>,
}

/// A deployment.
#[derive(Clone, Debug)]
pub struct Site {
    pub name: &'static str,
    pub engine: EngineModel,
    pub engines: Vec<usize>,
    pub engine_conns: u32,
    pub workers: usize,
    pub worker_conns: u32,
    pub gateways: Vec<usize>,
    pub zones: Vec<f64>,
    pub classes: Vec<Class>,
    pub cross_zone_gb: f64,
    pub read: f64,
}

/// A request as its client sends it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_us: u64,
    pub zone: usize,
    pub class: usize,
    pub parts: Vec<PromptPart>,
    pub answer_tokens: u32,
    pub work_ms: f64,
}

/// What is drawn: how long, how much, and what comes between.
#[derive(Clone, Copy, Debug)]
pub struct Day {
    pub seconds: f64,
    pub scale: f64,
    /// From when, until when, how many times the traffic.
    pub burst: Option<(f64, f64, f64)>,
    /// Class and share of it that is about one session.
    pub hot: Option<(usize, f64)>,
}

fn length_of(id: u64, length: Length) -> u32 {
    length.draw(&mut Rng::with_seed(id)) as u32
}

fn part(class: usize, level: u64, thing: u64, length: Length) -> PromptPart {
    let id = (class as u64 + 1) << 40 | level << 32 | thing;
    PromptPart { id, tokens: length_of(id, length) }
}

fn draw_request(site: &Site, day: &Day, class: usize, serial: u64, rng: &mut Rng) -> Arrival {
    let of = &site.classes[class];
    let hot = day.hot.filter(|(hot, share)| *hot == class && rng.f64() < *share);
    let skewed = |rng: &mut Rng, things: u64| (rng.f64().powf(1.3) * things as f64) as u64;
    let mut parts = Vec::new();
    if of.work.is_none() {
        let session = if hot.is_some() { 0 } else { skewed(rng, of.own.1) };
        parts.push(part(class, 1, session % of.common.1, of.common.0));
        parts.push(part(class, 2, session, of.own.0));
        parts.push(PromptPart { id: 1 << 60 | serial, tokens: of.prompt.draw(rng) as u32 });
    }
    Arrival {
        at_us: 0,
        zone: 0,
        class,
        parts,
        answer_tokens: (of.pieces.draw(rng) * f64::from(site.engine.stride)) as u32,
        work_ms: of.work.map_or(0.0, |work| work.draw(rng)),
    }
}

/// All requests of a day in their order.
pub fn arrivals(site: &Site, day: &Day, seed: u64) -> Vec<Arrival> {
    let mut rng = Rng::with_seed(seed);
    let whole: f64 = site.classes.iter().map(|class| class.per_s).sum::<f64>() * day.scale;
    let zones: f64 = site.zones.iter().sum();
    let most = day.burst.map_or(1.0, |burst| burst.2);
    let (mut at, mut all) = (0.0, Vec::new());
    while at < day.seconds {
        at += -(1.0 - rng.f64()).ln() / (whole * most);
        let now = day.burst.map_or(1.0, |(from, until, x)| if (from..until).contains(&at) { x } else { 1.0 });
        if rng.f64() * most > now {
            continue;
        }
        let mut drawn = rng.f64() * whole / day.scale;
        let class = site.classes.iter().position(|class| {
            drawn -= class.per_s;
            drawn < 0.0
        });
        let mut place = rng.f64() * zones;
        let zone = site.zones.iter().position(|zone| {
            place -= zone;
            place < 0.0
        });
        let mut request = draw_request(site, day, class.unwrap_or(0), all.len() as u64, &mut rng);
        (request.at_us, request.zone) = ((at * 1e6) as u64, zone.unwrap_or(0));
        all.push(request);
    }
    all
}
