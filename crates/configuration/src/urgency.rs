//! The order of a configuration's requests: by their tenants' priorities, and among those of one priority by their
//! routes'.

use foldhash::HashSet;

use crate::rule::{RouteRule, TenantRule};

/// Urgencies that backends tell apart.
const LEVELS: usize = 10;

/// A request's own priority, which is its tenant's where it has one, and its route's.
type Priorities = (u8, u8);

fn priorities(tenant: Option<u8>, route: u8) -> Priorities {
    (tenant.unwrap_or(route), route)
}

/// Places of a configuration's requests in the order of their urgency.
#[derive(Debug, Default)]
pub(crate) struct Urgencies {
    /// Each pair that a request can have, the most urgent first; none where they are too many to be told apart.
    levels: Vec<Priorities>,
}

impl Urgencies {
    pub fn of<'a>(
        routes: impl Iterator<Item = &'a RouteRule>, tenants: impl Iterator<Item = &'a TenantRule>,
    ) -> Urgencies {
        let routes: HashSet<u8> = routes.map(|route| route.priority).collect();
        let mut tenants: HashSet<Option<u8>> = tenants.map(|tenant| tenant.priority).collect();
        tenants.insert(None);
        let pairs = routes.iter().flat_map(|route| tenants.iter().map(|tenant| priorities(*tenant, *route)));
        let mut levels: Vec<Priorities> = pairs.collect::<HashSet<_>>().into_iter().collect();
        levels.sort_unstable();
        if levels.len() > LEVELS {
            levels.clear();
        }
        Urgencies { levels }
    }

    /// From 0, the most urgent, to 9. Where levels are too many, routes of one tenant are not told apart.
    pub fn place(&self, tenant: Option<u8>, route: u8) -> u8 {
        let own = priorities(tenant, route);
        let place = self.levels.iter().position(|level| *level == own);
        place.map_or(own.0, |place| place as u8).min(LEVELS as u8 - 1)
    }
}

#[cfg(test)]
#[path = "../tests/unit/urgency.rs"]
mod tests;
