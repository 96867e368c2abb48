//! The table that serving threads look things up in: compiled once, never changed, shared.

use std::borrow::{Borrow, Cow};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use foldhash::{HashMap, HashMapExt, HashSet};

use crate::message::{Configuration, Route};
use crate::rule::{self, ClientLimits, RouteRule, ServiceRule, SplitShare, TenantRule};

/// A compiled configuration.
#[derive(Debug, Default)]
pub struct RoutingTable {
    generation: u64,
    hosts: HashMap<Arc<str>, HostRoutes>,
    routes: Vec<Arc<RouteRule>>,
    services: HashMap<String, Arc<ServiceRule>>,
    tenants: Vec<Arc<TenantRule>>,
    keys: HashMap<Box<str>, Arc<TenantRule>>,
    limits: ClientLimits,
}

/// The routes of one host.
#[derive(Debug, Default)]
struct HostRoutes {
    by_prefix: HashSet<ByPrefix>,
    longest: usize,
    most_slashes: usize,
}

/// A route as its prefix, so that it is found by that without a copy of it.
#[derive(Debug)]
struct ByPrefix(Arc<RouteRule>);

impl Borrow<str> for ByPrefix {
    fn borrow(&self) -> &str {
        &self.0.prefix
    }
}

impl Hash for ByPrefix {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.prefix.hash(state);
    }
}

impl PartialEq for ByPrefix {
    fn eq(&self, other: &Self) -> bool {
        self.0.prefix == other.0.prefix
    }
}

impl Eq for ByPrefix {}

impl RoutingTable {
    /// Compiles a configuration that was read by [`crate::read`]. Of an unsound one, what can't be is left out.
    pub fn compile(configuration: &Configuration) -> RoutingTable {
        let services = compile_services(configuration);
        let mut table = RoutingTable {
            generation: configuration.generation,
            limits: ClientLimits::compile(configuration.limits.as_ref()),
            services,
            ..RoutingTable::default()
        };
        table.routes.reserve_exact(configuration.routes.len());
        for route in &configuration.routes {
            table.add_route(route);
        }
        for tenant in &configuration.tenants {
            table.add_tenant(Arc::new(TenantRule::compile(tenant)), &tenant.api_keys);
        }
        table
    }

    /// The configuration's number.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The route of a request, by its `Host` as sent and its path: the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        self.hosts.get(normal_host(host).as_ref())?.longest_prefix(path)
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceRule>> {
        self.services.get(name)
    }

    /// The tenant that holds a key.
    pub fn tenant_of_key(&self, key: &str) -> Option<&Arc<TenantRule>> {
        self.keys.get(key)
    }

    /// Whether requests need keys, except on public routes.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// What a client may send.
    pub fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// All routes, in the configuration's order.
    pub fn routes(&self) -> impl ExactSizeIterator<Item = &Arc<RouteRule>> {
        self.routes.iter()
    }

    /// All services, in no order.
    pub fn services(&self) -> impl ExactSizeIterator<Item = &Arc<ServiceRule>> {
        self.services.values()
    }

    /// All tenants, in the configuration's order.
    pub fn tenants(&self) -> impl ExactSizeIterator<Item = &Arc<TenantRule>> {
        self.tenants.iter()
    }

    fn add_route(&mut self, route: &Route) {
        let host = normal_host(&route.host);
        let host = match self.hosts.get_key_value(host.as_ref()) {
            Some((known, _)) => Arc::clone(known),
            None => Arc::from(host.as_ref()),
        };
        let shares = self.shares(route);
        let Some(rule) = RouteRule::compile(route, Arc::clone(&host), shares) else {
            return;
        };
        let rule = Arc::new(rule);
        self.hosts.entry(host).or_default().add(Arc::clone(&rule));
        self.routes.push(rule);
    }

    fn shares(&self, route: &Route) -> Vec<SplitShare> {
        if route.split.is_empty() {
            let single = self.services.get(&route.service).cloned();
            return rule::shares(single.into_iter().map(|service| (service, 1.0)));
        }
        let known = |name: &String| self.services.get(name).cloned();
        rule::shares(route.split.iter().filter_map(|split| Some((known(&split.service)?, split.weight))))
    }

    /// An empty key is nobody's.
    fn add_tenant(&mut self, tenant: Arc<TenantRule>, keys: &[String]) {
        for key in keys.iter().filter(|key| !key.is_empty()) {
            self.keys.insert(key.as_str().into(), Arc::clone(&tenant));
        }
        self.tenants.push(tenant);
    }
}

fn compile_services(configuration: &Configuration) -> HashMap<String, Arc<ServiceRule>> {
    let mut services = HashMap::with_capacity(configuration.services.len());
    for service in &configuration.services {
        services.insert(service.name.clone(), Arc::new(ServiceRule::compile(service)));
    }
    services
}

impl HostRoutes {
    fn add(&mut self, route: Arc<RouteRule>) {
        let slashes = route.prefix.bytes().filter(|byte| *byte == b'/').count();
        self.longest = self.longest.max(route.prefix.len());
        self.most_slashes = self.most_slashes.max(slashes);
        self.by_prefix.replace(ByPrefix(route));
    }

    /// Prefixes end with a slash, so only the path's beginnings up to a slash can be one: a look-up for each, from the
    /// shortest, and no more of them than the deepest prefix has slashes.
    fn longest_prefix(&self, path: &str) -> Option<&Arc<RouteRule>> {
        let reach = path.bytes().take(self.longest).take_while(|byte| *byte != b'?');
        let ends = reach.enumerate().filter(|(_, byte)| *byte == b'/').map(|(place, _)| place + 1);
        let known = ends.take(self.most_slashes).filter_map(|end| self.by_prefix.get(&path[..end]));
        known.last().map(|by_prefix| &by_prefix.0)
    }
}

/// A host as routes are compared by: in lower case, without its port, without the dot of a full name.
pub fn normal_host(host: &str) -> Cow<'_, str> {
    let host = without_port(host.trim_ascii());
    let host = host.strip_suffix('.').unwrap_or(host);
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(host.to_ascii_lowercase())
    } else {
        Cow::Borrowed(host)
    }
}

/// A colon begins the port, unless it stands within the brackets of an IPv6 address.
fn without_port(host: &str) -> &str {
    let end = match host.strip_prefix('[') {
        Some(rest) => rest.bytes().position(|byte| byte == b']').map(|place| place + 2),
        None => host.bytes().position(|byte| byte == b':'),
    };
    end.map_or(host, |end| &host[..end])
}
