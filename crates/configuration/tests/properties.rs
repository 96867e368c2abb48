//! Random configurations: sound ones are taken, each kind of mutation is refused with its code, routing agrees with a
//! search through all prefixes, arbitrary bytes are read or refused.

use std::collections::HashSet;

use crankpick_configuration::{
    check_bytes, read, Configuration, ConfigurationCode, Limits, Route, RoutingTable, Service, Split, Tenant,
};
use quickcheck::{quickcheck, Arbitrary, Gen, TestResult};
use serde_json::{json, Value};

const EXAMPLE: &str = include_str!("documents/example.json");

/// A sound configuration.
#[derive(Clone, Debug)]
struct Sound(Configuration);

impl Arbitrary for Sound {
    fn arbitrary(gen: &mut Gen) -> Sound {
        let services: Vec<Service> =
            (0..1 + usize::arbitrary(gen) % 4).map(|place| service(gen, place)).collect();
        let mut taken = HashSet::new();
        let routes: Vec<Route> = (0..usize::arbitrary(gen) % 40)
            .map(|place| route(gen, place, &services))
            .filter(|route| taken.insert((route.host.clone(), route.prefix.clone())))
            .collect();
        let tenants = (0..usize::arbitrary(gen) % 4).map(|place| tenant(gen, place)).collect();
        let generation = u64::arbitrary(gen).max(1);
        let limits =
            bool::arbitrary(gen).then(|| Limits { max_body_bytes: u64::arbitrary(gen), ..Limits::default() });
        Sound(Configuration { generation, routes, services, limits, tenants })
    }
}

fn service(gen: &mut Gen, place: usize) -> Service {
    let health_path = if bool::arbitrary(gen) { "/healthz" } else { "" };
    Service {
        name: format!("service-{place}"),
        health_path: health_path.to_owned(),
        max_conns: u32::arbitrary(gen),
        ..Service::default()
    }
}

fn route(gen: &mut Gen, place: usize, services: &[Service]) -> Route {
    let hosts = ["a.example", "b.example"];
    let kinds = ["idempotent", "mutating", "streaming", "", "later"];
    let mut route = Route {
        name: format!("route-{place}"),
        host: (*gen.choose(&hosts).unwrap()).to_owned(),
        prefix: prefix(gen),
        kind: (*gen.choose(&kinds).unwrap()).to_owned(),
        timeout_ms: u64::arbitrary(gen).max(1),
        slo_ms: Option::arbitrary(gen),
        priority: Option::arbitrary(gen),
        retries: u32::arbitrary(gen),
        public: bool::arbitrary(gen),
        ..Route::default()
    };
    let service = gen.choose(services).unwrap().name.clone();
    if bool::arbitrary(gen) {
        let weight = 1.0 + f64::from(u8::arbitrary(gen));
        route.split =
            vec![Split { service: services[0].name.clone(), weight: 0.0 }, Split { service, weight }];
    } else {
        route.service = service;
    }
    route
}

/// Of few letters, so that prefixes often begin one another.
fn prefix(gen: &mut Gen) -> String {
    format!("/{}", segments(gen))
}

fn segments(gen: &mut Gen) -> String {
    (0..usize::arbitrary(gen) % 5).map(|_| gen.choose(&["a/", "b/", "/", "aa/"]).copied().unwrap()).collect()
}

fn tenant(gen: &mut Gen, place: usize) -> Tenant {
    let count = usize::arbitrary(gen) % 3;
    Tenant {
        name: format!("tenant-{place}"),
        api_keys: (0..count).map(|key| format!("key-{place}-{key}")).collect(),
        priority: Option::arbitrary(gen),
        rate_per_s: f64::from(u32::arbitrary(gen)),
        ..Tenant::default()
    }
}

/// A path, often one that some prefix begins.
#[derive(Clone, Debug)]
struct Path(String);

impl Arbitrary for Path {
    fn arbitrary(gen: &mut Gen) -> Path {
        let tail = gen.choose(&["", "a", "b", "2f"]).copied().unwrap();
        Path(format!("/{}{tail}", segments(gen)))
    }
}

fn bytes(configuration: &Configuration) -> Vec<u8> {
    serde_json::to_vec(configuration).unwrap()
}

/// Whether a changed configuration is refused with a code, by the reading and by the check alike.
fn refused_with(configuration: &Configuration, code: ConfigurationCode) -> bool {
    let bytes = bytes(configuration);
    let refused = read(&bytes).is_err_and(|error| error.code() == code);
    refused && check_bytes(&bytes).iter().any(|finding| finding.code == code)
}

fn with_route(
    sound: Sound,
    place: usize,
    change: impl FnOnce(&mut Route),
    code: ConfigurationCode,
) -> TestResult {
    let mut configuration = sound.0;
    if configuration.routes.is_empty() {
        return TestResult::discard();
    }
    let place = place % configuration.routes.len();
    change(&mut configuration.routes[place]);
    TestResult::from_bool(refused_with(&configuration, code))
}

/// The prefix found by looking at all routes.
fn naive<'a>(configuration: &'a Configuration, host: &str, path: &str) -> Option<&'a str> {
    let of_host = configuration.routes.iter().filter(|route| route.host == host);
    let begins = of_host.map(|route| route.prefix.as_str()).filter(|prefix| path.starts_with(prefix));
    begins.max_by_key(|prefix| prefix.len())
}

quickcheck! {
    fn sound_ones_are_taken_and_read_as_written(sound: Sound) -> bool {
        let bytes = bytes(&sound.0);
        read(&bytes).as_ref() == Ok(&sound.0) && check_bytes(&bytes).is_empty()
    }

    fn routing_agrees_with_a_search_through_all_prefixes(sound: Sound, paths: Vec<Path>) -> bool {
        let table = RoutingTable::compile(&sound.0);
        paths.iter().all(|Path(path)| ["a.example", "b.example", "c.example"].iter().all(|host| {
            let found = table.route(host, path).map(|route| &*route.prefix);
            found == naive(&sound.0, host, path)
        }))
    }

    fn draws_fall_to_services_with_a_weight(sound: Sound, draws: Vec<u32>) -> bool {
        let table = RoutingTable::compile(&sound.0);
        let agrees = |(rule, route): (&std::sync::Arc<crankpick_configuration::RouteRule>, &Route)| {
            draws.iter().all(|draw| {
                let service = rule.pick_service(*draw);
                let split = route.split.iter().any(|split| split.service == service && split.weight > 0.0);
                rule.leads_to(service) && (split || route.service == service)
            })
        };
        table.routes().len() == sound.0.routes.len() && table.routes().zip(&sound.0.routes).all(agrees)
    }

    fn keys_lead_to_their_tenants(sound: Sound) -> bool {
        let table = RoutingTable::compile(&sound.0);
        sound.0.tenants.iter().all(|tenant| {
            tenant.api_keys.iter().all(|key| table.tenant_of_key(key).is_some_and(|found| found.name == tenant.name))
        })
    }

    fn a_cut_is_refused(sound: Sound, length: usize) -> bool {
        let bytes = bytes(&sound.0);
        let length = length % bytes.len();
        read(&bytes[..length]).is_err_and(|error| error.code() == ConfigurationCode::CutShort)
    }

    fn bytes_after_the_end_are_refused(sound: Sound) -> bool {
        let mut bytes = bytes(&sound.0);
        bytes.extend_from_slice(b" {}");
        read(&bytes).is_err_and(|error| error.code() == ConfigurationCode::NotJson)
    }

    fn a_generation_not_above_the_current_one_is_refused(sound: Sound, current: u64) -> bool {
        let refused = sound.0.validate_against(current).is_err();
        refused == (current >= sound.0.generation)
    }

    fn an_unknown_service_is_refused(sound: Sound, place: usize) -> TestResult {
        let change = |route: &mut Route| match route.split.last_mut() {
            Some(split) => split.service = "nowhere".to_owned(),
            None => route.service = "nowhere".to_owned(),
        };
        with_route(sound, place, change, ConfigurationCode::UnknownService)
    }

    fn no_weight_is_refused(sound: Sound, place: usize) -> TestResult {
        let service = sound.0.services[0].name.clone();
        let change = |route: &mut Route| route.split = vec![Split { service, weight: 0.0 }; 3];
        with_route(sound, place, change, ConfigurationCode::NoWeight)
    }

    fn no_timeout_is_refused(sound: Sound, place: usize) -> TestResult {
        with_route(sound, place, |route| route.timeout_ms = 0, ConfigurationCode::NoTimeout)
    }

    fn neither_service_nor_split_is_refused(sound: Sound, place: usize) -> TestResult {
        let change = |route: &mut Route| {
            route.split.clear();
            route.service.clear();
        };
        with_route(sound, place, change, ConfigurationCode::NoService)
    }

    fn a_prefix_without_its_slash_is_refused(sound: Sound, place: usize) -> TestResult {
        with_route(sound, place, |route| route.prefix.push('x'), ConfigurationCode::Prefix)
    }

    fn no_host_is_refused(sound: Sound, place: usize) -> TestResult {
        with_route(sound, place, |route| route.host.clear(), ConfigurationCode::Host)
    }

    fn a_shared_prefix_is_refused(sound: Sound, place: usize, port: u16) -> TestResult {
        let mut configuration = sound.0;
        if configuration.routes.is_empty() {
            return TestResult::discard();
        }
        let mut copy = configuration.routes[place % configuration.routes.len()].clone();
        copy.host = format!("{}:{port}", copy.host.to_uppercase());
        configuration.routes.push(copy);
        TestResult::from_bool(refused_with(&configuration, ConfigurationCode::SharedPrefix))
    }

    fn a_shared_key_is_refused(sound: Sound, place: usize) -> TestResult {
        let mut configuration = sound.0;
        let keys: Vec<String> = configuration.tenants.iter().flat_map(|tenant| tenant.api_keys.clone()).collect();
        if keys.is_empty() {
            return TestResult::discard();
        }
        let api_keys = vec![keys[place % keys.len()].clone()];
        configuration.tenants.push(Tenant { name: "other".to_owned(), api_keys, ..Tenant::default() });
        TestResult::from_bool(refused_with(&configuration, ConfigurationCode::SharedKey))
    }

    fn shared_names_are_refused(sound: Sound) -> bool {
        let mut services = sound.0.clone();
        services.services.push(Service { tls: true, ..services.services[0].clone() });
        let mut tenants = sound.0;
        tenants.tenants.extend(vec![Tenant { name: "other".to_owned(), ..Tenant::default() }; 2]);
        [services, tenants].iter().all(|configuration| refused_with(configuration, ConfigurationCode::SharedName))
    }

    fn no_name_is_refused(sound: Sound) -> bool {
        let mut configuration = sound.0;
        configuration.services.push(Service::default());
        refused_with(&configuration, ConfigurationCode::Name)
    }

    fn a_missing_part_is_refused(sound: Sound, place: usize) -> bool {
        let mut document: Value = json!(sound.0);
        document.as_object_mut().unwrap().remove(["generation", "routes", "services"][place % 3]);
        let refused = read(document.to_string().as_bytes());
        refused.is_err_and(|error| error.code() == ConfigurationCode::WrongType)
    }

    fn unknown_fields_change_nothing(sound: Sound, text: String, number: i64) -> bool {
        let mut document: Value = json!(sound.0);
        document["later"] = json!([text, number, null, {"generation": number}]);
        for element in document["routes"].as_array_mut().unwrap() {
            element["later"] = json!({"timeout_ms": 0, "text": text});
        }
        read(document.to_string().as_bytes()) == Ok(sound.0)
    }

    fn arbitrary_bytes_are_read_or_refused(bytes: Vec<u8>) -> bool {
        read(&bytes).is_err() != check_bytes(&bytes).is_empty()
    }

    fn arbitrary_text_is_read_or_refused(text: String) -> bool {
        read(text.as_bytes()).is_err() != check_bytes(text.as_bytes()).is_empty()
    }

    fn the_example_with_bytes_exchanged(places: Vec<(usize, u8)>) -> bool {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        for (place, byte) in places.into_iter().take(3) {
            let place = place % bytes.len();
            bytes[place] = byte;
        }
        if let Ok(configuration) = read(&bytes) {
            let table = RoutingTable::compile(&configuration);
            table.route("api.example", "/chat/lookup/x");
        }
        read(&bytes).is_err() != check_bytes(&bytes).is_empty()
    }

    fn what_was_not_checked_compiles_all_the_same(sound: Sound, place: usize) -> TestResult {
        let mut configuration = sound.0;
        if configuration.routes.is_empty() {
            return TestResult::discard();
        }
        let place = place % configuration.routes.len();
        let nowhere = Split { service: "nowhere".to_owned(), weight: f64::NAN };
        configuration.routes[place].split = vec![nowhere];
        let table = RoutingTable::compile(&configuration);
        let compiled = table.routes().len();
        TestResult::from_bool(compiled == configuration.routes.len() - 1)
    }
}
