//! What must hold at each moment while machines are out for work.

use crankpick_fleet::node::Node;

use crate::world::World;

impl World {
    /// Nobody may still send to what is under work, nor have anything in hand there.
    pub(super) fn check_nothing_sent(&mut self) {
        let mut breaches = Vec::new();
        for machine in self.upkeep.maintenance.under.keys().filter(|id| id.starts_with("s-")) {
            for host in self.hosts.iter().filter(|host| host.node.is_some()) {
                let (name, t) = (host.process(), self.t);
                if host.busy.get(machine).is_some_and(|until| *until > t) {
                    breaches.push(format!("{name} has something in hand at {machine}, which is under work"));
                }
                // What it sent last may take so long.
                let may = host.send_until_us == u64::MAX
                    || host.send_until_us > 0
                        && t < host.true_time(host.send_until_us) + self.terms.longest_us;
                if may && !host.outs.contains(machine) {
                    breaches.push(format!("{name} may send to {machine}, which is under work"));
                }
            }
        }
        breaches.into_iter().for_each(|what| self.breach(what));
    }

    /// The plan's bounds hold in whatever state the log is.
    pub(super) fn check_bounds(&mut self) {
        let Some(plans) = &self.setup.plans else { return };
        let bounds = plans.bounds.clone();
        let mut breaches = Vec::new();
        let mut most = 0;
        for fleet in self.hosts.iter().filter_map(|host| host.node.as_ref().and_then(Node::fleet)) {
            let count = fleet.work.count();
            most = most.max(count.all);
            let zones = count.zones.values().all(|out| *out <= bounds.most_out_zone);
            let cells = count.cells.values().all(|out| *out <= bounds.most_out_cell);
            if count.all > bounds.most_out || !zones || !cells || count.cold > bounds.most_cold {
                breaches.push(format!("a bound: {count:?}"));
            }
            let all = fleet.work.plans.values().flat_map(|plan| &plan.machines);
            let voters = all.filter(|(_, machine)| machine.votes && machine.stage.is_out()).count();
            if voters > (self.setup.voters - 1) / 2 {
                breaches.push(format!("{voters} voters out"));
            }
        }
        self.upkeep.most_out = self.upkeep.most_out.max(most);
        breaches.into_iter().for_each(|what| self.breach(what));
    }
}
