//! The files that a process is started with.

use serde_json::{json, Value};

use super::Rig;

impl Rig {
    /// The configuration file of one process.
    pub(super) fn configuration(&self, at: usize) -> Value {
        let workload = |name: &str, repeat: &str| {
            json!({"Name": name, "Repeat": repeat, "Group": "all", "Importance": 1.0, "TardyImportance": 0.2,
                   "SloTimeUs": 500_000, "StatementTimeoutUs": 2_000_000, "WindowUs": 5_000_000})
        };
        json!({
            "name": self.procs[at].name, "listen": "127.0.0.1:0", "admin_addr": "127.0.0.1:0",
            "discovery": self.discovery.address.to_string(), "seed": format!("{:x}", self.layout.seed + at as u64),
            "limits": {"sockets": 512, "memory_mb": 64}, "peers": [], "known": self.discovery.known(),
            "settings": {
                "Balancers": self.layout.processes, "MyNumber": at, "Discovery": "subscribe",
                "Zones": (0..self.layout.zones).map(|zone| self.layout.place(zone).0).collect::<Vec<_>>(),
                "Limits": {"MaxExecutions": 4, "MayDuplicate": true, "Cancel": true, "RetryAfter": true,
                           "MaxRetryAfterUs": 2_000_000, "ConnectTimeoutUs": 250_000, "IdleCloseUs": 30_000_000},
                "Safety": {"StartCapacity": self.layout.nature.start_speed, "ColdUs": self.layout.nature.cold_us,
                           "TipMultiple": 3.0, "OverloadForUs": 1_000_000},
                "Workloads": [workload("read", "retryable"), workload("move", "dedup"), workload("pay", "fragile")],
                "Tenants": [],
            },
        })
    }

    /// The fleet's file of one process: it reaches the other voters through its own relays.
    pub(super) fn fleet_file(&self, at: usize) -> String {
        let mut text = format!(
            "fleet = \"lab\"\nname = \"{}\"\nstate = {:?}\nlease_us = {}\nhistory = true\n",
            self.procs[at].name,
            self.folder(at).join("state"),
            self.layout.lease_us
        );
        text += self.layout.terms;
        for to in 0..self.layout.voters {
            let address = self.relays.get(&(at, to)).map_or(self.procs[to].listen, |relay| relay.address);
            text += &format!("[[voters]]\nname = \"{}\"\naddress = \"{address}\"\n", self.procs[to].name);
        }
        text
    }
}
