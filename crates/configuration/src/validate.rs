//! What makes a configuration unsound, apart from its number.

use std::collections::hash_map::Entry;

use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};

use crate::code::ConfigurationCode;
use crate::message::{Configuration, Route, Service, Tenant};
use crate::table::normal_host;

/// The most routes of a configuration.
pub const MAX_ROUTES: usize = 50_000;
/// The most services of a configuration.
pub const MAX_SERVICES: usize = 10_000;
/// The most tenants of a configuration.
pub const MAX_TENANTS: usize = 50_000;
/// The most services of one split.
pub const MAX_SPLIT: usize = 1_024;
/// The most keys of one tenant.
pub const MAX_KEYS_OF_TENANT: usize = 10_000;
/// The longest name, host, prefix, path or key.
pub const MAX_TEXT_BYTES: usize = 8_192;

/// What part of a configuration a problem concerns, by its place in its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Subject {
    Document,
    Route(usize),
    Service(usize),
    Tenant(usize),
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Problem {
    pub(crate) code: ConfigurationCode,
    pub(crate) subject: Subject,
    pub(crate) text: String,
}

/// The first thing that is wrong, if any.
pub(crate) fn first_problem(configuration: &Configuration) -> Option<Problem> {
    problems(configuration, 1).into_iter().next()
}

/// Up to `bound` things that are wrong.
pub(crate) fn problems(configuration: &Configuration, bound: usize) -> Vec<Problem> {
    let mut validator = Validator { bound, problems: Vec::new() };
    validator.sizes(configuration);
    validator.services(configuration);
    validator.routes(configuration);
    validator.tenants(configuration);
    validator.problems
}

struct Validator {
    bound: usize,
    problems: Vec<Problem>,
}

impl Validator {
    fn full(&self) -> bool {
        self.problems.len() >= self.bound
    }

    fn found(&mut self, code: ConfigurationCode, subject: Subject, text: String) {
        if !self.full() {
            self.problems.push(Problem { code, subject, text });
        }
    }

    fn sizes(&mut self, configuration: &Configuration) {
        self.size("routes", configuration.routes.len(), MAX_ROUTES, Subject::Document);
        self.size("services", configuration.services.len(), MAX_SERVICES, Subject::Document);
        self.size("tenants", configuration.tenants.len(), MAX_TENANTS, Subject::Document);
    }

    fn size(&mut self, what: &str, size: usize, bound: usize, subject: Subject) {
        if size > bound {
            self.found(ConfigurationCode::TooMany, subject, format!("there are more than {bound} {what}"));
        }
    }

    fn length(&mut self, what: &str, text: &str, subject: Subject) {
        if text.len() > MAX_TEXT_BYTES {
            let text = format!("{what} is longer than {MAX_TEXT_BYTES} bytes");
            self.found(ConfigurationCode::TooLong, subject, text);
        }
    }

    fn services(&mut self, configuration: &Configuration) {
        let mut by_name: HashMap<&str, &Service> = HashMap::with_capacity(configuration.services.len());
        for (place, service) in configuration.services.iter().enumerate() {
            if self.full() {
                return;
            }
            let subject = Subject::Service(place);
            self.name("service", &service.name, subject);
            self.health_path(service, subject);
            match by_name.entry(&service.name) {
                Entry::Vacant(entry) => {
                    entry.insert(service);
                }
                Entry::Occupied(entry) if *entry.get() == service => {}
                Entry::Occupied(_) => {
                    let text = format!("two services are named {:?} and differ", service.name);
                    self.found(ConfigurationCode::SharedName, subject, text);
                }
            }
        }
    }

    fn name(&mut self, what: &str, name: &str, subject: Subject) {
        self.length("a name", name, subject);
        if name.is_empty() {
            self.found(ConfigurationCode::Name, subject, format!("a {what} has no name"));
        } else if name.chars().any(char::is_control) {
            let text = format!("the name of {what} {name:?} has control characters");
            self.found(ConfigurationCode::Name, subject, text);
        }
    }

    fn health_path(&mut self, service: &Service, subject: Subject) {
        let path = &service.health_path;
        self.length("health_path", path, subject);
        let sound = path.starts_with('/') && path.bytes().all(|byte| byte.is_ascii_graphic());
        if !path.is_empty() && !sound {
            let text = format!("service {:?} has health_path {path:?}", service.name);
            self.found(ConfigurationCode::HealthPath, subject, text);
        }
    }

    fn routes(&mut self, configuration: &Configuration) {
        let services: HashSet<&str> =
            configuration.services.iter().map(|service| service.name.as_str()).collect();
        let mut taken = HashMap::with_capacity(configuration.routes.len());
        for (place, route) in configuration.routes.iter().enumerate() {
            if self.full() {
                return;
            }
            let subject = Subject::Route(place);
            self.route(route, subject);
            self.targets(route, &services, subject);
            let spot = (normal_host(&route.host), route.prefix.as_str());
            if let Some(other) = taken.insert(spot, &route.name) {
                let text = format!(
                    "routes {other:?} and {:?} share host {:?} and prefix {:?}",
                    route.name, route.host, route.prefix
                );
                self.found(ConfigurationCode::SharedPrefix, subject, text);
            }
        }
    }

    fn route(&mut self, route: &Route, subject: Subject) {
        self.length("a name", &route.name, subject);
        self.length("a host", &route.host, subject);
        self.length("a prefix", &route.prefix, subject);
        let name = &route.name;
        if normal_host(&route.host).is_empty() {
            self.found(ConfigurationCode::Host, subject, format!("route {name:?} has no host"));
        }
        if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
            let text = format!("route {name:?} has prefix {:?}", route.prefix);
            self.found(ConfigurationCode::Prefix, subject, text);
        }
        if route.timeout_ms == 0 {
            self.found(ConfigurationCode::NoTimeout, subject, format!("route {name:?} has timeout_ms 0"));
        }
    }

    fn targets(&mut self, route: &Route, services: &HashSet<&str>, subject: Subject) {
        let name = &route.name;
        self.size("services in a split", route.split.len(), MAX_SPLIT, subject);
        if route.service.is_empty() && route.split.is_empty() {
            let text = format!("route {name:?} names neither a service nor a split");
            self.found(ConfigurationCode::NoService, subject, text);
        }
        let single = (!route.service.is_empty()).then_some(route.service.as_str());
        let named = single.into_iter().chain(route.split.iter().map(|split| split.service.as_str()));
        for service in named.filter(|service| !services.contains(service)) {
            let text = format!("route {name:?} names the unknown service {service:?}");
            self.found(ConfigurationCode::UnknownService, subject, text);
        }
        if !route.split.is_empty() && route.split.iter().all(|split| split.weight <= 0.0) {
            let text = format!("the weights of route {name:?} add up to 0");
            self.found(ConfigurationCode::NoWeight, subject, text);
        }
    }

    fn tenants(&mut self, configuration: &Configuration) {
        let mut names = HashSet::with_capacity(configuration.tenants.len());
        let mut holders: HashMap<&str, usize> = HashMap::new();
        for (place, tenant) in configuration.tenants.iter().enumerate() {
            if self.full() {
                return;
            }
            let subject = Subject::Tenant(place);
            self.name("tenant", &tenant.name, subject);
            if !names.insert(tenant.name.as_str()) {
                let text = format!("two tenants are named {:?}", tenant.name);
                self.found(ConfigurationCode::SharedName, subject, text);
            }
            self.keys(tenant, place, &mut holders, configuration);
        }
    }

    /// A key that stands twice with one tenant is its key all the same.
    fn keys<'a>(
        &mut self,
        tenant: &'a Tenant,
        place: usize,
        holders: &mut HashMap<&'a str, usize>,
        configuration: &Configuration,
    ) {
        let subject = Subject::Tenant(place);
        self.size("keys of a tenant", tenant.api_keys.len(), MAX_KEYS_OF_TENANT, subject);
        for key in &tenant.api_keys {
            self.length("a key", key, subject);
            let holder = *holders.entry(key).or_insert(place);
            if holder != place {
                let other = &configuration.tenants[holder].name;
                let text = format!("tenants {other:?} and {:?} share a key", tenant.name);
                self.found(ConfigurationCode::SharedKey, subject, text);
            }
        }
    }
}
