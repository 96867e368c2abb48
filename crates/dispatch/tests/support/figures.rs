//! What a day came to.

use super::traffic::Site;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    /// `second` where it was refused before, `stalled` where its events paused for longer than they may.
    Answered {
        first_ms: f64,
        second: bool,
        stalled: bool,
    },
    Lost,
    Refused,
}

/// All requests of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassFigures {
    pub first_ms: Vec<f64>,
    /// Of these, those answered at a second try: on time they earn half.
    pub second: Vec<f64>,
    /// Of these, those whose events paused for too long: late whenever they began.
    pub stalled: Vec<f64>,
    pub lost: usize,
    pub refused: usize,
}

impl ClassFigures {
    pub fn count(&self) -> usize {
        self.first_ms.len() + self.lost + self.refused
    }

    pub fn quantile(&self, share: f64) -> f64 {
        let mut sorted = self.first_ms.clone();
        sorted.sort_by(f64::total_cmp);
        let last = sorted.len().saturating_sub(1);
        sorted.get((last as f64 * share) as usize).copied().unwrap_or(0.0)
    }

    /// Share of all that wasn't answered within this time.
    pub fn over(&self, ms: f64) -> f64 {
        let late = self.first_ms.iter().filter(|first| **first > ms).count();
        (late + self.lost + self.refused) as f64 / self.count().max(1) as f64
    }
}

/// A day's figures.
#[derive(Clone, Debug)]
pub struct Figures {
    pub classes: Vec<ClassFigures>,
    pub read_again: u64,
    /// By class, what is common and what is a session's.
    pub again_by: [u64; 8],
    pub read: u64,
    pub crossed_bytes: u64,
    pub further_sends: usize,
    pub into_dark: usize,
}

impl Figures {
    pub fn new(site: &Site) -> Figures {
        let classes = vec![ClassFigures::default(); site.classes.len()];
        Figures {
            classes,
            read_again: 0,
            again_by: [0; 8],
            read: 0,
            crossed_bytes: 0,
            further_sends: 0,
            into_dark: 0,
        }
    }

    pub fn count(&mut self, class: usize, ended: Ended) {
        let of = &mut self.classes[class];
        match ended {
            Ended::Answered { first_ms, second, stalled } => {
                of.stalled.extend(stalled.then_some(first_ms));
                of.first_ms.push(first_ms);
                of.second.extend(second.then_some(first_ms));
            }
            Ended::Lost => of.lost += 1,
            Ended::Refused => of.refused += 1,
        }
    }

    /// Worth earned over worth owed: before prices, then less the prices of crossing and reading again.
    pub fn worth(&self, site: &Site) -> (f64, f64) {
        let (mut earned, mut owed) = (0.0, 0.0);
        for (class, of) in site.classes.iter().zip(&self.classes) {
            let on_time = |of: &[f64]| of.iter().filter(|first| **first <= class.slo_ms).count();
            let (on_time, stalled) = (on_time(&of.first_ms), on_time(&of.stalled));
            let on_time = on_time - stalled;
            let late = of.first_ms.len() - on_time;
            let halved = of.second.iter().filter(|first| **first <= class.slo_ms).count();
            earned += (on_time as f64 - halved as f64 / 2.0) * class.worth + late as f64 * class.late_worth;
            owed += of.count() as f64 * class.worth;
        }
        let crossing = self.crossed_bytes as f64 * site.cross_zone_gb / 1e9;
        let read = self.read_again as f64 * site.read / 1e3;
        (earned / owed, (earned - crossing - read) / owed)
    }

    /// Over all engines' requests: the 95th percentile of the first event and the share over 600 ms.
    pub fn engines(&self, site: &Site) -> (f64, f64) {
        let mut all = ClassFigures::default();
        for (_, of) in site.classes.iter().zip(&self.classes).filter(|(class, _)| class.work.is_none()) {
            all.first_ms.extend(&of.first_ms);
            (all.lost, all.refused) = (all.lost + of.lost, all.refused + of.refused);
        }
        (all.quantile(0.95), all.over(600.0))
    }
}
