//! One process's whole part in the fleet: words in, words out, with what must be on disk before they go.
//! Called by the carrier with what its sockets and its clock say, and by tests in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::agree::{founding, Agree};
use crate::found::{Founding, Next};
use crate::kept::{Batch, Disk, Kept};
use crate::lead::Lead;
use crate::lease::Times;
use crate::order::{Before, Begin, Do, Owner};
use crate::session::Session;
use crate::sight::View;
use crate::state::{Command, Fleet, Outcome, MOST_ID};
use crate::words::{Ask, Publication, Renewal, Renewed, Seat, Status, Told, Who, Word, OUTS, WORK};
use crate::work::{Stage, Step, Terms};

/// How often an unstarted voter says where it stands.
const FOUNDING_US: u64 = 200_000;
/// How often a call that is not answered is made again.
const AGAIN_US: u64 = 300_000;
/// Calls in hand, this process's own and others' that the leader has yet to answer.
const MOST_CALLS: usize = 1_024;
/// How often an owner of the work looks at it though nothing was heard.
const WORK_US: u64 = 100_000;
/// Ids in one call.
const MOST_IDS: usize = 1_000;

/// A way to another process: a connection that this one opened to a voter, or one that it accepted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    Voter(String),
    Conn(u64),
}

/// Where an answer goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    Own,
    Link(Link),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Held {
        duty: String,
        token: u64,
        from_us: u64,
        until_us: u64,
    },
    Lapsed {
        duty: String,
        token: u64,
    },
    LetGo {
        duty: String,
        token: u64,
    },
    Effect {
        duty: String,
        token: u64,
        version: u64,
        owner: String,
    },
    StaleRefused {
        duty: String,
        token: u64,
        version: u64,
        owner: String,
        seen: u64,
    },
    Leads {
        term: u64,
    },
    LeadLost {
        term: u64,
    },
    Founded {
        voters: usize,
    },
    Listening,
    Replaced {
        name: String,
    },
    Superseded,
    Stranger {
        fleet: String,
        from: String,
    },
    DiskLost {
        why: String,
    },
    DiskBack,
    Granted {
        duty: String,
        token: u64,
        to: String,
    },
    /// A machine of a plan has come to another stage: told by the leader.
    Stepped {
        step: Step,
    },
    /// The maintenance system has not said yes.
    NotBegun {
        machine: String,
        why: String,
    },
}

/// What a maintenance system answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Begun {
    Yes,
    /// It has heard from an owner with a higher token.
    Stale(u64),
    No(String),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Say(Link, Word),
    /// Nothing more is to be heard from there.
    Close(Link),
    /// For the proxy: these are out for the whole fleet.
    Take(Publication),
    Told(u64, Told),
    Event(Event),
    /// From now on each connection begins with this; those that are open hear it too.
    Hello(Word),
    /// Until when the proxy may send anything to a backend, by its own clock.
    Right(u64),
    /// Whether the proxy itself is to be drained for work.
    Drain(bool),
    /// For the maintenance system.
    Begin(Begin),
}

/// What a process is by its file.
#[derive(Clone, Debug)]
pub struct Plan {
    pub fleet: String,
    pub name: String,
    /// The voters' names, this process's own among them if it is one.
    pub voters: Vec<String>,
    pub times: Times,
    pub terms: Terms,
}

struct Peer {
    who: Who,
    voter: bool,
}

struct Call {
    ask: Ask,
    until_us: u64,
    again_us: u64,
}

/// A command that this process proposed as leader, for the one who asked.
struct Asked {
    route: Route,
    who: Who,
    call: u64,
}

/// The part of a process that votes: none on other proxies, nor while the disk takes no writes.
struct Voter {
    founding: Founding,
    agree: Option<Agree>,
    founding_us: u64,
    tick_us: u64,
}

pub struct Node {
    plan: Plan,
    who: Who,
    seed: u64,
    kept: Kept,
    pub session: Session,
    voter: Option<Voter>,
    lead: Option<Lead<Route>>,
    /// Why the disk takes no writes, where it doesn't.
    disk: Option<String>,
    /// The voter that the session is with, in the plan's order.
    at: usize,
    peers: BTreeMap<u64, Peer>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    asked: BTreeMap<u64, Asked>,
    out: VecDeque<Out>,
    /// Written with the next pump.
    keep: Option<Publication>,
    ending: bool,
    hello_us: u64,
    /// While this process owns the work.
    owner: Option<Owner>,
    worked_us: u64,
    /// Unix time, as last told: for hours in which nothing goes, and for the record.
    pub wall_us: u64,
    /// As the proxy was last told.
    right_us: u64,
    drained: bool,
}

impl Node {
    pub fn new(now_us: u64, plan: Plan, incarnation: u64, kept: Kept, seed: u64) -> Self {
        let who = Who { name: plan.name.clone(), incarnation };
        let mut session = Session::new(who.clone(), plan.times, kept.taken.clone());
        session.terms = plan.terms;
        session.hurry(now_us);
        // Spread over the voters by name, so that a restart finds the same one.
        let spread =
            who.name.bytes().fold(0_usize, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte as usize));
        let plan_lease = plan.times.lease_us;
        let mut node = Node {
            at: spread % plan.voters.len().max(1),
            plan,
            who,
            seed,
            kept: Kept::default(),
            session,
            voter: None,
            lead: None,
            disk: None,
            peers: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            asked: BTreeMap::new(),
            out: VecDeque::new(),
            keep: None,
            ending: false,
            hello_us: now_us + plan_lease,
            owner: None,
            worked_us: 0,
            wall_us: 0,
            right_us: 0,
            drained: false,
        };
        node.tell_right();
        if let Some(taken) = &kept.taken {
            node.out.push_back(Out::Take(taken.clone()));
        }
        node.begin(now_us, kept);
        node
    }

    fn begin(&mut self, now_us: u64, kept: Kept) {
        self.kept = kept;
        self.session.kept = self.kept.taken.as_ref().map_or(0, |taken| taken.version);
        if !self.plan.voters.contains(&self.who.name) || self.kept.seat == 0 {
            return;
        }
        let started = self.kept.log.before() > 0;
        let seat = Seat { id: self.kept.seat, roster: self.kept.roster.clone(), started };
        let founding = Founding::new(seat, self.who.name.clone(), self.plan.voters.clone());
        self.voter = Some(Voter { founding, agree: None, founding_us: now_us, tick_us: now_us });
        let hello = self.hello();
        self.out.push_back(Out::Hello(hello));
        if started {
            self.start(now_us);
        }
    }

    fn start(&mut self, now_us: u64) {
        let seed = self.seed ^ self.who.incarnation ^ now_us;
        match Agree::new(&self.kept, self.who.incarnation, &self.plan.times, seed) {
            Ok(agree) => {
                if let Some(voter) = &mut self.voter {
                    voter.agree = Some(agree);
                    voter.founding.own.started = self.kept.log.before() > 0;
                    voter.tick_us = now_us;
                }
            }
            Err(why) => self.disk_lost(why),
        }
    }

    /// The disk takes writes again; this is what it holds, read anew.
    pub fn revive(&mut self, now_us: u64, kept: Kept) {
        if self.disk.take().is_some() {
            self.session.writable = true;
            self.event(Event::DiskBack);
            // What was taken meanwhile is not there yet.
            self.keep = self.session.taken.clone().filter(|taken| kept.taken.as_ref() != Some(taken));
            self.begin(now_us, kept);
            self.session.hurry(now_us);
        }
    }

    fn disk_lost(&mut self, why: String) {
        if self.disk.is_none() {
            self.event(Event::DiskLost { why: why.clone() });
        }
        self.disk = Some(why);
        self.session.writable = false;
        self.session.kept = 0;
        self.lost_lead();
        self.voter = None;
        let hello = self.hello();
        self.out.push_back(Out::Hello(hello));
        // Another that can write is to go on at once.
        let gone = self.session.let_go_all(u64::MIN);
        self.gave_up(gone);
        self.session.hurry(0);
        for conn in self.peers.keys() {
            self.out.push_back(Out::Say(Link::Conn(*conn), Word::Away));
        }
    }

    /// At a start on a disk that can't be had: as if it had been lost later.
    pub fn without_disk(&mut self, why: String) {
        self.disk_lost(why);
    }

    pub fn hello_name(&self) -> String {
        self.who.to_string()
    }

    /// Has the log, and is one of those who vote on it.
    pub fn votes(&self) -> bool {
        self.agreed().is_some_and(|agree| agree.started() && agree.votes())
    }

    /// Where this process stands, in a line for whoever looks for a fault.
    pub fn stands(&self) -> String {
        let agree = self.agreed().map(|agree| {
            let (term, leader) = (agree.term(), agree.leader().unwrap_or("nobody"));
            format!("term {term}, leader {leader}, voters {:?}", agree.fleet.seats)
        });
        let taken = self.session.taken.as_ref().map_or(0, |taken| taken.version);
        format!("seat {}, {agree:?}, version {taken}, led by {:?}", self.kept.seat, self.session.leader)
    }

    pub fn disk_trouble(&self) -> Option<&str> {
        self.disk.as_deref()
    }

    fn event(&mut self, event: Event) {
        self.out.push_back(Out::Event(event));
    }

    fn say(&mut self, link: Link, word: Word) {
        self.out.push_back(Out::Say(link, word));
    }

    /// A voter is who has that part running: the newer process of an upgrade goes by the same name and has not.
    pub fn hello(&self) -> Word {
        let voter = self.voter.is_some();
        Word::Hello { fleet: self.plan.fleet.clone(), who: self.who.clone(), voter }
    }

    fn agree(&mut self) -> Option<&mut Agree> {
        self.voter.as_mut()?.agree.as_mut()
    }

    fn agreed(&self) -> Option<&Agree> {
        self.voter.as_ref()?.agree.as_ref()
    }

    /// The agreed state, where this process votes.
    pub fn fleet(&self) -> Option<&Fleet> {
        self.agreed().filter(|agree| agree.started()).map(|agree| &agree.fleet)
    }

    pub fn leads(&self) -> bool {
        self.lead.is_some()
    }

    fn other_voters(&self) -> Vec<String> {
        self.plan.voters.iter().filter(|name| **name != self.who.name).cloned().collect()
    }

    /// Whoever can bring a word to the leader: the own voter, or the one that the session is with.
    fn upward(&self) -> Option<Link> {
        match self.agreed().filter(|agree| agree.started()) {
            Some(agree) if agree.leads() => None,
            Some(agree) => agree.leader().map(|leader| Link::Voter(leader.to_owned())),
            None => self.with().map(|voter| Link::Voter(voter.to_owned())),
        }
    }

    /// The other voter that the session is with, where this process is none or its own part is down.
    fn with(&self) -> Option<&str> {
        let voters = self.plan.voters.iter().cycle().skip(self.at).take(self.plan.voters.len());
        voters.map(String::as_str).find(|name| *name != self.who.name)
    }

    // Calls of the process itself.

    /// Asks the fleet; the answer comes as `Out::Told` under the number returned, within the time given.
    pub fn ask(&mut self, now_us: u64, ask: Ask, patience_us: u64) -> Result<u64, String> {
        if let Ask::Command(Command::Outs { ids, .. }) = &ask {
            if ids.is_empty() || ids.len() > MOST_IDS {
                return Err(format!("1 to {MOST_IDS} ids in a call"));
            }
            if ids.iter().any(|id| id.is_empty() || id.len() > MOST_ID) {
                return Err(format!("an id is 1 to {MOST_ID} bytes"));
            }
        }
        if matches!(&ask, Ask::Command(command) if !from_outside(command)) {
            return Err("no call for an operator".into());
        }
        self.call(now_us, ask, patience_us)
    }

    fn call(&mut self, now_us: u64, ask: Ask, patience_us: u64) -> Result<u64, String> {
        if self.calls.len() >= MOST_CALLS {
            return Err("too many calls in hand".into());
        }
        self.next_call += 1;
        let number = self.next_call;
        self.calls.insert(number, Call { ask, until_us: now_us + patience_us, again_us: now_us });
        self.calls_again(now_us);
        Ok(number)
    }

    /// The proxy has told its module of this version; at these of the backends out it still has something in hand.
    pub fn acted(&mut self, now_us: u64, version: u64, busy: BTreeSet<String>) {
        self.session.acts(now_us, version, busy);
        self.tell_right();
    }

    /// What the proxy sees of its backends.
    pub fn sees(&mut self, view: View) {
        self.session.sees(view);
    }

    /// Whether the proxy has nothing in hand.
    pub fn empty(&mut self, now_us: u64, empty: bool) {
        if self.session.empty != empty {
            self.session.empty = empty;
            self.session.hurry(now_us);
        }
    }

    /// The longest that an execution of the proxy may take.
    pub fn longest(&mut self, now_us: u64, longest_us: u64) {
        self.session.terms.longest_us = longest_us;
        self.session.hurry(now_us);
    }

    fn tell_right(&mut self) {
        let right_us = self.session.right_until();
        if right_us != self.right_us {
            self.right_us = right_us;
            self.out.push_back(Out::Right(right_us));
        }
    }

    /// The process ends now, and has answered all that it took.
    pub fn part(&mut self, now_us: u64) {
        let who = self.who.clone();
        self.heard_part(now_us, who);
    }

    fn heard_part(&mut self, now_us: u64, who: Who) {
        if let Some(lead) = &mut self.lead {
            lead.parted(who);
            self.tick(now_us);
        } else if let Some(link) = self.upward() {
            self.say(link, Word::Part(who));
        }
    }

    /// Whether this process would own duties: not while it is drained or ends.
    pub fn willing(&mut self, now_us: u64, willing: bool) {
        self.session.willing = willing && !self.ending;
        if !self.session.willing {
            let gone = self.session.let_go_all(now_us);
            self.gave_up(gone);
        }
        self.session.hurry(now_us);
    }

    /// The process is about to end: duties and the lead go to others at once.
    pub fn end(&mut self, now_us: u64) {
        self.ending = true;
        self.willing(now_us, false);
        if let Some(agree) = self.agree().filter(|agree| agree.leads()) {
            agree.hand_on();
        }
    }

    fn gave_up(&mut self, gone: Vec<(String, u64)>) {
        for (duty, token) in gone {
            self.event(Event::LetGo { duty: duty.clone(), token });
            self.release(Word::Release { duty, token, who: self.who.clone() });
        }
    }

    // What comes in.

    pub fn hear(&mut self, now_us: u64, link: Link, word: Word) {
        if let (Link::Conn(conn), Word::Hello { fleet, who, voter }) = (&link, &word) {
            if *fleet != self.plan.fleet {
                self.event(Event::Stranger { fleet: fleet.clone(), from: who.name.clone() });
                self.out.push_back(Out::Close(link));
                return;
            }
            let voter = *voter && self.plan.voters.contains(&who.name);
            self.peers.insert(*conn, Peer { who: who.clone(), voter });
            return;
        }
        let from = match &link {
            Link::Voter(name) => Some((name.clone(), true)),
            Link::Conn(conn) => self.peers.get(conn).map(|peer| (peer.who.name.clone(), peer.voter)),
        };
        let Some((from, voter)) = from else { return };
        match word {
            Word::Hello { .. } | Word::Beat => {}
            // Only a voter says these, whatever was last heard of its standing.
            Word::Seat(seat) if self.plan.voters.contains(&from) => self.seat(&from, seat),
            Word::Agree(message) if self.plan.voters.contains(&from) => {
                if let Some(agree) = self.agree() {
                    agree.step(&from, &message);
                }
            }
            Word::Seat(_) | Word::Agree(_) => {}
            Word::Renew(renewal) => self.renew(now_us, &from, voter, link, renewal),
            Word::Renewed(answer) if answer.who == self.who => self.renewed(now_us, answer),
            Word::Renewed(answer) => self.pass_on(answer.who.clone(), Word::Renewed(answer)),
            Word::Nudge(who) if who == self.who => self.session.hurry(now_us),
            Word::Nudge(who) => self.pass_on(who.clone(), Word::Nudge(who)),
            Word::Release { duty, token, who } => {
                // One hop: only what comes from the process itself is passed on, or two voters that each take the
                // other for the leader would do so for ever.
                if self.lead.is_some() || who.name == from {
                    self.release(Word::Release { duty, token, who });
                }
            }
            Word::Ask { who, call, ask } => self.asked(now_us, &from, voter, link, who, call, ask),
            Word::Told { who, call, told } if who == self.who => {
                // What only says "not now" is asked again until the call's time is over.
                if !matches!(told, Told::NotNow(_)) && self.calls.remove(&call).is_some() {
                    self.out.push_back(Out::Told(call, told));
                }
            }
            Word::Told { who, call, told } => self.pass_on(who.clone(), Word::Told { who, call, told }),
            Word::Publish { publication, passed } => self.published(link, publication, passed),
            Word::Stale { duty, token, .. } => {
                // Told by a receiver that it is one no longer: that stands, whatever the clock says.
                if self.session.holding.let_go(&duty, token) {
                    self.gave_up(vec![(duty, token)]);
                }
            }
            Word::Away => self.elsewhere(now_us),
            Word::Part(who) => {
                // One hop, as above; and nobody parts for another.
                if who.name == from || voter && self.lead.is_some() {
                    self.heard_part(now_us, who);
                }
            }
        }
    }

    /// A connection is gone.
    pub fn closed(&mut self, now_us: u64, link: &Link) {
        match link {
            Link::Conn(conn) => {
                self.peers.remove(conn);
            }
            Link::Voter(name) => {
                if self.with() == Some(name.as_str()) && self.voter.is_none() {
                    self.elsewhere(now_us);
                }
            }
        }
    }

    fn elsewhere(&mut self, now_us: u64) {
        let place = |name: &str| self.plan.voters.iter().position(|voter| voter == name);
        let at = self.with().and_then(place).unwrap_or(self.at);
        self.at = (at + 1) % self.plan.voters.len().max(1);
        self.session.hurry(now_us);
    }

    /// The fleet's answer to this process's own renewal.
    fn renewed(&mut self, now_us: u64, answer: Renewed) {
        let was = self.session.superseded;
        let changes = self.session.renewed(now_us, answer);
        if self.session.superseded && !was {
            self.event(Event::Superseded);
        }
        for (duty, held) in changes.held {
            let (from_us, until_us) = (held.from_us, held.until_us);
            self.event(Event::Held { duty, token: held.token, from_us, until_us });
        }
        for (duty, token) in changes.let_go {
            self.session.holding.let_go(&duty, token);
            self.gave_up(vec![(duty, token)]);
        }
        self.tell_right();
        if self.session.drained != self.drained {
            self.drained = self.session.drained;
            self.out.push_back(Out::Drain(self.drained));
            if self.drained {
                // Who is to go leads no more, as one that ends.
                if let Some(agree) = self.agree().filter(|agree| agree.leads()) {
                    agree.hand_on();
                }
            }
        }
        self.publish(now_us);
        self.work(now_us);
    }

    // The work, while this process owns it.

    fn work(&mut self, now_us: u64) {
        self.worked_us = now_us;
        let Some(token) = self.session.holding.token(now_us, WORK) else {
            (self.owner, self.session.desk) = (None, None);
            return;
        };
        let Some((desk, work)) =
            self.session.desk.as_ref().and_then(|desk| Some((desk, desk.work.as_ref()?)))
        else {
            return;
        };
        let outs = self.session.taken.as_ref().map(|taken| taken.outs.clone()).unwrap_or_default();
        let outs = &outs | &work.outs();
        let before = before(now_us, self.wall_us, work, &desk.sight, &outs, &self.plan, token);
        let all = self.owner.get_or_insert_default().next(&before);
        for one in all {
            match one {
                Do::Steps(steps) => self.steps(now_us, steps),
                Do::Waits { plan, why } => {
                    let _ = self.call(now_us, Ask::Command(Command::Waits { token, plan, why }), AGAIN_US);
                }
                Do::Begin(call) => self.out.push_back(Out::Begin(call)),
            }
        }
    }

    fn steps(&mut self, now_us: u64, steps: Vec<Step>) {
        // Refused or lost, they are settled anew from what is agreed by then.
        let _ = self.call(now_us, Ask::Command(Command::Steps(steps)), 2 * AGAIN_US);
    }

    /// What the maintenance system answered.
    pub fn begun(&mut self, now_us: u64, call: &Begin, begun: Begun) {
        match begun {
            Begun::Yes => {
                let token = self.session.holding.token(now_us, WORK);
                let desk = self.session.desk.as_ref();
                let known = token.zip(desk.and_then(|desk| Some((desk, desk.work.as_ref()?))));
                let step = known.and_then(|(token, (desk, work))| {
                    let outs = BTreeSet::new();
                    let before = before(now_us, self.wall_us, work, &desk.sight, &outs, &self.plan, token);
                    Owner::begun(&before, call)
                });
                self.steps(now_us, step.into_iter().collect());
            }
            Begun::Stale(seen) => {
                let why = format!("the maintenance system has heard of token {seen}");
                self.event(Event::NotBegun { machine: call.machine.clone(), why });
                if self.session.holding.let_go(WORK, call.token) {
                    self.gave_up(vec![(WORK.to_owned(), call.token)]);
                }
            }
            Begun::No(why) => self.event(Event::NotBegun { machine: call.machine.clone(), why }),
        }
    }

    /// To the process that this one has a connection from.
    fn pass_on(&mut self, who: Who, word: Word) {
        let conn = self.peers.iter().rev().find(|(_, peer)| peer.who == who && !peer.voter);
        let conn = conn.or_else(|| self.peers.iter().rev().find(|(_, peer)| peer.who == who));
        if let Some((conn, _)) = conn {
            self.say(Link::Conn(*conn), word);
        }
    }

    /// The way back to whoever a word came from: to a voter over our own connection.
    fn back(&self, from: &str, voter: bool, link: Link) -> Link {
        match voter && from != self.who.name {
            true => Link::Voter(from.to_owned()),
            false => link,
        }
    }

    fn seat(&mut self, from: &str, seat: Seat) {
        let Some(voter) = &mut self.voter else { return };
        let started = voter.agree.as_ref().is_some_and(Agree::started);
        if !started {
            voter.founding.hear(from, seat);
            return;
        }
        voter.founding.own.started = true;
        let answer = voter.founding.own.clone();
        if let Some(agree) = &mut voter.agree {
            agree.replace(from, seat.id);
        }
        if !seat.started {
            self.say(Link::Voter(from.to_owned()), Word::Seat(answer));
        }
    }

    fn renew(&mut self, now_us: u64, from: &str, voter: bool, link: Link, renewal: Renewal) {
        let own_session = renewal.who.name == from;
        if own_session {
            if let Some(missed) = self.session.missed_by(&renewal).cloned() {
                let back = self.back(from, voter, link.clone());
                self.say(back, Word::Publish { publication: missed, passed: true });
            }
        }
        let route = Route::Link(self.back(from, voter, link.clone()));
        if let Some(lead) = &mut self.lead {
            lead.hear(now_us, renewal, route);
            return;
        }
        if !own_session {
            return;
        }
        match self.agreed().and_then(Agree::leader).map(str::to_owned) {
            // One hop: the leader, or whoever was it a moment ago.
            Some(leader) if leader != self.who.name => self.say(Link::Voter(leader), Word::Renew(renewal)),
            _ if self.voter.is_none() => self.say(link, Word::Away),
            _ => {}
        }
    }

    fn release(&mut self, word: Word) {
        let Word::Release { duty, token, who } = &word else { return };
        if self.lead.is_some() {
            let command = Command::Release { duty: duty.clone(), token: *token };
            if let Some(lead) = &mut self.lead {
                lead.released(who);
            }
            self.propose(0, &command);
        } else if let Some(link) = self.upward() {
            self.say(link, word);
        }
    }

    /// Own calls have numbers from 1 on; 0 is nobody's.
    fn propose(&mut self, call: u64, command: &Command) -> bool {
        let proposed = self.agree().map(|agree| agree.propose(call, command));
        let sound = matches!(proposed, Some(Ok(())));
        if !sound {
            if let Some(lead) = &mut self.lead {
                lead.dropped(command);
            }
        }
        sound
    }

    fn asked(&mut self, now_us: u64, from: &str, voter: bool, link: Link, who: Who, call: u64, ask: Ask) {
        let route = Route::Link(self.back(from, voter, link.clone()));
        if self.lead.is_some() {
            self.answer(now_us, route, who, call, ask);
            return;
        }
        let leader = self.agreed().and_then(Agree::leader).map(str::to_owned);
        match leader.filter(|leader| *leader != self.who.name && who.name == from) {
            Some(leader) => self.say(Link::Voter(leader), Word::Ask { who, call, ask }),
            None => self.tell(route, who, call, Told::NotNow("nobody leads".into())),
        }
    }

    /// As leader.
    fn answer(&mut self, now_us: u64, route: Route, who: Who, call: u64, ask: Ask) {
        match ask {
            Ask::Status => {
                let status = self.status(now_us);
                self.tell(route, who, call, status);
            }
            Ask::Work => {
                let told = match (self.voter.as_ref().and_then(|voter| voter.agree.as_ref()), &mut self.lead)
                {
                    (Some(agree), Some(lead)) => {
                        let sight = lead.sight(now_us, &agree.fleet, &self.plan.times);
                        Told::Work(Box::new((agree.fleet.work.clone(), sight)))
                    }
                    _ => Told::NotNow("nobody leads".into()),
                };
                self.tell(route, who, call, told);
            }
            Ask::Command(command) => {
                if let Some(why) = self.unproved(now_us, &command) {
                    self.tell(route, who, call, Told::Done(Outcome::Refused(why)));
                    return;
                }
                if self.asked.len() >= MOST_CALLS {
                    self.tell(route, who, call, Told::NotNow("too much in hand".into()));
                    return;
                }
                self.next_call += 1;
                let number = self.next_call;
                if self.propose(number, &command) {
                    self.asked.insert(number, Asked { route, who, call });
                } else {
                    self.tell(route, who, call, Told::NotNow("the log takes nothing now".into()));
                }
            }
        }
    }

    /// Whatever its owner believes: no machine is said to be out while the leader knows of one that may send there.
    fn unproved(&mut self, now_us: u64, command: &Command) -> Option<String> {
        let Command::Steps(steps) = command else { return None };
        let fleet = &self.voter.as_ref()?.agree.as_ref()?.fleet;
        let lead = self.lead.as_ref()?;
        steps.iter().filter(|step| step.to == Stage::Out).find_map(|step| {
            let machine = fleet.work.plans.get(&step.plan)?.machines.get(&step.machine)?;
            let waits = lead.waits(now_us, &step.machine, machine, fleet, &self.plan.times);
            (!waits.is_empty()).then(|| format!("{}: {}", step.machine, waits.join(", ")))
        })
    }

    fn tell(&mut self, route: Route, who: Who, call: u64, told: Told) {
        match route {
            Route::Link(link) => self.say(link, Word::Told { who, call, told }),
            Route::Own => {
                if !matches!(told, Told::NotNow(_)) && self.calls.remove(&call).is_some() {
                    self.out.push_back(Out::Told(call, told));
                }
            }
        }
    }

    fn status(&self, now_us: u64) -> Told {
        let (Some(agree), Some(lead)) = (self.agreed(), &self.lead) else {
            return Told::NotNow("nobody leads".into());
        };
        let fleet = &agree.fleet;
        let owner = |owner: &Option<Who>| owner.as_ref().map(|who| who.name.clone());
        let duties = fleet.duties.iter();
        Told::Status(Box::new(Status {
            leader: self.who.name.clone(),
            term: agree.term(),
            version: fleet.version,
            outs: fleet.published(),
            duties: duties.map(|(name, duty)| (name.clone(), (owner(&duty.owner), duty.token))).collect(),
            members: lead.members(now_us),
            unheard: fleet.sessions.keys().filter(|name| !lead.heard_of(name)).cloned().collect(),
            absent: fleet.absent.values().cloned().collect(),
        }))
    }

    /// An owner's word, from wherever it comes: it is for this process and for all whose way it is on. Sessions
    /// hear what is news here; what one has missed it is told with its next renewal.
    fn published(&mut self, link: Link, publication: Publication, passed: bool) {
        let serves = self.voter.is_some();
        let news = self.take(Some(link), &publication);
        if serves && !passed {
            self.tell_voters(&publication);
        }
        if serves && news {
            self.tell_sessions(&publication);
        }
    }

    fn tell_voters(&mut self, publication: &Publication) {
        for name in self.other_voters() {
            let publication = publication.clone();
            self.say(Link::Voter(name), Word::Publish { publication, passed: true });
        }
    }

    fn tell_sessions(&mut self, publication: &Publication) {
        let conns = self.peers.iter().filter(|(_, peer)| !peer.voter).map(|(conn, _)| *conn);
        let conns: Vec<u64> = conns.collect();
        for conn in conns {
            let publication = publication.clone();
            self.say(Link::Conn(conn), Word::Publish { publication, passed: true });
        }
    }

    /// Through the fence, or back to where it came from with a reason. Whether it is news.
    fn take(&mut self, from: Option<Link>, publication: &Publication) -> bool {
        let Publication { token, version, owner, .. } = publication.clone();
        let duty = OUTS.to_owned();
        match self.session.take(publication) {
            Ok(false) => false,
            Ok(true) => {
                self.event(Event::Effect { duty, token, version, owner });
                self.keep = Some(publication.clone());
                self.out.push_back(Out::Take(publication.clone()));
                true
            }
            Err(seen) => {
                self.event(Event::StaleRefused { duty: duty.clone(), token, version, owner, seen });
                if let Some(link) = from {
                    self.say(link, Word::Stale { duty, token, seen });
                }
                false
            }
        }
    }

    fn publish(&mut self, now_us: u64) {
        let Some(publication) = self.session.publish(now_us) else { return };
        let news = self.take(None, &publication);
        if self.voter.is_some() {
            self.tell_voters(&publication);
            if news {
                self.tell_sessions(&publication);
            }
        } else if let Some(link) = self.upward() {
            self.say(link, Word::Publish { publication, passed: false });
        }
    }

    // Time.

    /// To be called once each tick of the plan's times, and after what came in.
    pub fn tick(&mut self, now_us: u64) {
        for (duty, token) in self.session.holding.lapsed(now_us) {
            self.event(Event::Lapsed { duty, token });
        }
        if now_us >= self.hello_us {
            // Said again from time to time: one that was lost would leave a voter taken for none, or the reverse.
            self.hello_us = now_us + self.plan.times.lease_us;
            let hello = self.hello();
            self.out.push_back(Out::Hello(hello));
        }
        self.tick_voter(now_us);
        self.renew_own(now_us);
        self.publish(now_us);
        if now_us >= self.worked_us + WORK_US {
            self.work(now_us);
        }
        self.calls_again(now_us);
    }

    fn tick_voter(&mut self, now_us: u64) {
        let tick_us = self.plan.times.tick_us;
        let Some(voter) = &mut self.voter else { return };
        if let Some(agree) = &mut voter.agree {
            // After a pause one tick stands for all that were missed: what others said meanwhile is yet to be
            // heard.
            if now_us >= voter.tick_us {
                agree.tick();
                voter.tick_us = if now_us > voter.tick_us + 4 * tick_us {
                    now_us + tick_us
                } else {
                    voter.tick_us + tick_us
                };
            }
        }
        let started = voter.agree.as_ref().is_some_and(Agree::started);
        if !started && now_us >= voter.founding_us {
            voter.founding_us = now_us + FOUNDING_US;
            let seat = voter.founding.own.clone();
            for name in self.other_voters() {
                self.say(Link::Voter(name), Word::Seat(seat.clone()));
            }
        }
    }

    fn renew_own(&mut self, now_us: u64) {
        if self.session.forsaken(now_us) && self.agreed().is_none_or(|agree| !agree.started()) {
            self.elsewhere(now_us);
        }
        let voter = self.voter.is_some();
        let Some(renewal) = self.session.due(now_us, voter) else { return };
        if let Some(lead) = &mut self.lead {
            lead.hear(now_us, renewal, Route::Own);
        } else if let Some(link) = self.upward() {
            self.say(link, Word::Renew(renewal));
        }
    }

    fn calls_again(&mut self, now_us: u64) {
        let over: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| now_us >= call.until_us)
            .map(|(number, _)| *number)
            .collect();
        for number in over {
            self.calls.remove(&number);
            let why = "the fleet did not answer in time: it may be agreed all the same";
            self.out.push_back(Out::Told(number, Told::NotNow(why.into())));
        }
        let due = self.calls.iter_mut().filter(|(_, call)| now_us >= call.again_us);
        let due: Vec<(u64, Ask)> = due
            .map(|(number, call)| {
                call.again_us = now_us + AGAIN_US;
                (*number, call.ask.clone())
            })
            .collect();
        for (call, ask) in due {
            let who = self.who.clone();
            match self.upward() {
                _ if self.lead.is_some() => self.answer(now_us, Route::Own, who, call, ask),
                Some(link) => self.say(link, Word::Ask { who, call, ask }),
                None => {}
            }
        }
    }

    // The disk, and what may be said once it has written.

    /// Carries everything as far as it goes now; what is to be done then comes from `take_out`.
    pub fn pump(&mut self, now_us: u64, disk: &mut dyn Disk) {
        if self.disk.is_some() {
            return;
        }
        if let Err(why) = self.pumped(now_us, disk) {
            self.disk_lost(why);
        }
    }

    fn pumped(&mut self, now_us: u64, disk: &mut dyn Disk) -> Result<(), String> {
        if let Some(taken) = self.keep.take() {
            let batch = Batch { taken: Some(taken.clone()), ..Batch::default() };
            if let Err(why) = disk.write(&batch) {
                self.keep = Some(taken);
                return Err(why);
            }
            if self.kept.seat != 0 {
                self.session.kept = taken.version;
            }
        }
        self.found(now_us, disk)?;
        // Rounds, proposals and their fruits bring one another on.
        for _ in 0..8 {
            let Some(agree) = self.agree() else { return Ok(()) };
            let progress = agree.pump(disk)?;
            let names: Vec<(Option<String>, Vec<u8>)> = progress
                .messages
                .into_iter()
                .map(|(to, message)| {
                    (self.agreed().and_then(|agree| agree.name(to)).map(str::to_owned), message)
                })
                .collect();
            for (name, message) in names {
                if let Some(name) = name {
                    self.say(Link::Voter(name), Word::Agree(message));
                }
            }
            for name in progress.replaced {
                self.event(Event::Replaced { name });
            }
            self.led(now_us);
            let mut moved = !progress.applied.is_empty();
            for (call, command, outcome) in progress.applied {
                self.applied(now_us, call, command, outcome);
            }
            for round in progress.confirmed {
                moved = true;
                self.confirmed(now_us, round);
            }
            if let Some(lead) = &mut self.lead {
                let Some(agree) = self.voter.as_mut().and_then(|voter| voter.agree.as_mut()) else {
                    return Ok(());
                };
                let round = if agree.confirms() { lead.round(now_us, &self.plan.times) } else { None };
                if let Some(round) = round {
                    agree.confirm(round);
                    moved = true;
                }
                let commands = lead.propose(now_us, &agree.fleet, &self.plan.times);
                for command in commands {
                    moved |= self.propose(0, &command);
                }
            }
            if !moved {
                break;
            }
        }
        Ok(())
    }

    fn found(&mut self, now_us: u64, disk: &mut dyn Disk) -> Result<(), String> {
        let Some(voter) = self.voter.as_mut().filter(|voter| voter.agree.is_none()) else { return Ok(()) };
        match voter.founding.next() {
            Next::Wait => {}
            Next::Seal(roster) => {
                let batch = Batch { roster: Some(roster.clone()), ..Batch::default() };
                disk.write(&batch)?;
                self.kept.absorb(&batch);
                voter.founding.own.roster = Some(roster);
                voter.founding_us = now_us;
            }
            Next::Start(roster) => {
                let batch = founding(&roster);
                disk.write(&batch)?;
                self.kept.absorb(&batch);
                let voters = roster.len();
                self.start(now_us);
                // The others must hear it even if they were bound first.
                let seat = self.voter.as_ref().map(|voter| voter.founding.own.clone());
                for name in self.other_voters() {
                    if let Some(seat) = &seat {
                        self.say(Link::Voter(name), Word::Seat(seat.clone()));
                    }
                }
                self.event(Event::Founded { voters });
            }
            Next::Listen => {
                self.start(now_us);
                self.event(Event::Listening);
            }
        }
        Ok(())
    }

    /// Notes whether this voter leads now.
    fn led(&mut self, now_us: u64) {
        let Some(agree) = self.agreed() else { return };
        let (leads, term) = (agree.leads(), agree.term());
        if self.lead.as_ref().is_some_and(|lead| !leads || lead.term != term) {
            self.lost_lead();
        }
        if leads && self.lead.is_none() {
            self.lead = Some(Lead::new(&self.who.name, term, now_us));
            self.event(Event::Leads { term });
            self.session.hurry(now_us);
            if self.ending {
                if let Some(agree) = self.agree() {
                    agree.hand_on();
                }
            }
        }
    }

    fn lost_lead(&mut self) {
        if let Some(lead) = self.lead.take() {
            self.event(Event::LeadLost { term: lead.term });
        }
        let why = "the lead was lost: it may be agreed all the same";
        for (_, asked) in std::mem::take(&mut self.asked) {
            self.tell(asked.route, asked.who, asked.call, Told::NotNow(why.into()));
        }
    }

    fn applied(&mut self, now_us: u64, call: Option<u64>, command: Command, outcome: Outcome) {
        let Some(lead) = &mut self.lead else { return };
        lead.applied(now_us, &command);
        // Whoever it concerns hears of it at once, not with its next renewal.
        let mut concerned: Vec<Who> = Vec::new();
        match &command {
            Command::Grant { duty, token, to } if outcome == Outcome::Granted => {
                let (duty, token) = (duty.clone(), *token);
                concerned.push(to.clone());
                self.event(Event::Granted { duty, token, to: to.to_string() });
            }
            Command::Join(all) => concerned.extend(all.iter().map(|(who, _)| who.clone())),
            Command::Outs { .. } => concerned.extend(self.owner_of(OUTS)),
            Command::Work { .. } => {
                concerned.extend([OUTS, WORK].iter().filter_map(|duty| self.owner_of(duty)))
            }
            Command::Steps(steps) => {
                concerned.extend([OUTS, WORK].iter().filter_map(|duty| self.owner_of(duty)));
                if let Outcome::Stepped(all) = &outcome {
                    let done = steps.iter().zip(all).filter(|(_, refused)| refused.is_none());
                    for (step, _) in done {
                        concerned.extend(self.proxy(&step.machine));
                        self.event(Event::Stepped { step: step.clone() });
                    }
                }
            }
            _ => {}
        }
        for who in concerned {
            self.nudge(now_us, who);
        }
        if let Some(asked) = call.and_then(|call| self.asked.remove(&call)) {
            self.tell(asked.route, asked.who, asked.call, Told::Done(outcome));
        }
    }

    fn owner_of(&self, duty: &str) -> Option<Who> {
        self.agreed()?.fleet.duties.get(duty)?.owner.clone()
    }

    /// The process that has a proxy's session.
    fn proxy(&self, name: &str) -> Option<Who> {
        let incarnation = self.agreed()?.fleet.sessions.get(name)?.incarnation;
        Some(Who { name: name.to_owned(), incarnation })
    }

    fn nudge(&mut self, now_us: u64, who: Who) {
        match self.lead.as_ref().and_then(|lead| lead.route(&who)).cloned() {
            Some(Route::Own) => {
                self.session.hurry(now_us);
                self.renew_own(now_us);
            }
            Some(Route::Link(link)) => self.say(link, Word::Nudge(who)),
            None => {}
        }
    }

    fn confirmed(&mut self, now_us: u64, round: u64) {
        let Some(fleet) =
            self.voter.as_ref().and_then(|voter| voter.agree.as_ref()).map(|agree| &agree.fleet)
        else {
            return;
        };
        let Some(lead) = &mut self.lead else { return };
        for (route, answer) in lead.confirmed(now_us, round, fleet, &self.plan.times) {
            let link = match route {
                Route::Link(link) => link,
                Route::Own => {
                    self.renewed(now_us, answer);
                    continue;
                }
            };
            self.say(link, Word::Renewed(answer));
        }
    }

    pub fn take_out(&mut self) -> impl Iterator<Item = Out> + '_ {
        self.out.drain(..)
    }
}

/// Commands that operators may give; all others are the leader's and owners'.
fn from_outside(command: &Command) -> bool {
    matches!(command, Command::Outs { .. } | Command::Work { .. })
}

fn before<'a>(
    now_us: u64, wall_us: u64, work: &'a crate::work::Work, sight: &'a crate::sight::Sight,
    outs: &'a BTreeSet<String>, plan: &'a Plan, token: u64,
) -> Before<'a> {
    let patience_us = plan.times.lease_us + plan.times.session_us;
    Before { now_us, wall_us, work, sight, outs, voters: &plan.voters, token, patience_us }
}
