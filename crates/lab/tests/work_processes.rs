//! Machines out for work on several real processes: plans by the command line, a proxy that is cut off, proxies as
//! machines, and a short run of drawn faults.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use crankpick_fleet::work::Stage;
use crankpick_lab::rig::{program, Layout, Rig};
use crankpick_lab::work::{self, Order};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const SOON: Duration = Duration::from_secs(20);

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("crankpick-work-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

async fn fleet(name: &str, processes: usize, terms: &'static str) -> Rig {
    let layout = Layout { processes, backends: 4, zones: 2, terms, ..Layout::default() };
    let mut rig = Rig::new(layout, &folder(name)).await.expect("a rig");
    for at in 0..processes {
        rig.start(at).await.expect("it starts");
    }
    rig.settled(SOON).await.expect("a fleet");
    rig
}

async fn gone(mut rig: Rig) {
    rig.close().await;
    let _ = std::fs::remove_dir_all(&rig.dir);
}

/// Asks again until it is so.
async fn comes(what: &str, mut is: impl AsyncFnMut() -> bool) {
    let until = Instant::now() + SOON;
    while !is().await {
        assert!(Instant::now() < until, "{what}: it never comes");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn stage(rig: &Rig, plan: &str, machine: &str) -> Option<Stage> {
    work::plan(rig, plan).await.ok()?.machines.get(machine).map(|machine| machine.stage)
}

/// Status and head of one request to a proxy.
async fn get(rig: &Rig, at: usize, head: &str) -> String {
    let address = (*rig.procs[at].address.borrow()).expect("it listens");
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    stream
        .write_all(format!("{head}\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes())
        .await
        .expect("open");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer).await;
    answer
}

const BOUNDS: &str = "[bounds]\nmost_out = 1\nleast_spare = 1.1\nwarm_us = 0\ncalm_us = 0\n";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_week_of_patching_by_the_command_line_with_a_backend_out_by_hand_on_top() {
    let rig = fleet("shell", 3, "serve_unheard = false\n").await;
    let admin = rig.procs[1].admin.borrow().expect("listening").to_string();
    let ask = |words: &[&str]| {
        let mut command = std::process::Command::new(program().expect("built"));
        let done = command.arg("fleet").args(words).env("CRANKPICK_AT", &admin).output().expect("it runs");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (done.status.code(), text(&done.stdout), text(&done.stderr))
    };
    let file = rig.dir.join("plan.toml");
    let path = file.to_str().expect("a path");
    let write = |text: &str| std::fs::write(&file, text).expect("written");
    for (text, why) in [
        ("name = \"p\"\nwhy = \"x\"\n[bounds]\nmost_out = 0\n[[machines]]\nzone = \"a\"\n", ":4: most_out 0"),
        (
            "name = \"p\"\nwhy = \"x\"\n[bounds]\nmost_out = 2\nmost_out_zone = 3\n",
            ":5: most_out_zone 3: from 1 to 2",
        ),
        (
            "name = \"p\"\nwhy = \"x\"\n[bounds]\nmost_out = 1\nquiet_hours = [\"7-8\"]\n",
            ":5: quiet_hours \"7-8\"",
        ),
        ("name = \"p\"\nwhy = \"\"\n[bounds]\nmost_out = 1\n", ":2: why"),
        (
            "name = \"p\"\nwhy = \"x\"\n[bounds]\nmost_out = 1\n[[machines]]\ncell = 1\n",
            ":5: a machine: a backend",
        ),
        ("name = \"p\"\nwhy = \"x\"\nmost = 1\n", ":3: unknown field"),
    ] {
        write(text);
        let (code, _, told) = ask(&["work", "add", path]);
        assert!(code == Some(1) && told.contains(why), "{why}: {code:?} {told}");
    }
    write(&format!("name = \"week\"\nwhy = \"patches\"\n{BOUNDS}[[machines]]\nzone = \"nowhere\"\n"));
    assert!(ask(&["work", "add", path]).2.contains("no backend is listed in zone \"nowhere\""));
    write(&format!("name = \"week\"\nwhy = \"patches\"\n{BOUNDS}[[machines]]\nzone = \"a\"\n[[machines]]\nbackend = \"s-1\"\n"));
    let (code, said, told) = ask(&["work", "add", path]);
    assert_eq!((code, said.as_str(), told.as_str()), (Some(0), "agreed: plan week\n", ""));
    assert!(ask(&["work", "add", path]).2.contains("there already"));
    let first = work::plan(&rig, "week").await.expect("there");
    assert_eq!(first.machines.keys().collect::<Vec<_>>(), ["s-0", "s-1", "s-2"]);
    for turn in 0..3 {
        let mut under = String::new();
        comes("one under work", async || {
            let plan = work::plan(&rig, "week").await.expect("there");
            let found = plan.machines.iter().find(|(_, one)| one.stage == Stage::Working);
            under = found.map(|(id, _)| id.clone()).unwrap_or_default();
            !under.is_empty()
        })
        .await;
        let (_, said, _) = ask(&["work", "show", "week"]);
        assert!(said.contains(&format!("{under} (zone")) && said.contains("under work"), "{said}");
        if turn == 0 {
            // Out by hand and back by hand: it stays out for the work.
            rig.call(2, &format!("DETACH {under}")).await.expect("out by hand");
            rig.call(2, &format!("ATTACH {under}")).await.expect("back by hand");
            assert!(rig.status(0).await.expect("told").outs.contains(&under));
            assert!(ask(&["work", "failed", &under]).1.contains("agreed"));
            comes("failed", async || stage(&rig, "week", &under).await == Some(Stage::Failed)).await;
            assert!(ask(&["work", "pause", "week"]).1.contains("agreed"));
            assert!(ask(&["work", "list"]).1.contains("week: paused"));
            assert!(ask(&["work", "resume", "week"]).1.contains("agreed"));
        }
        assert!(ask(&["work", "done", &under]).1.contains("agreed"));
    }
    comes("the end", async || work::plan(&rig, "week").await.is_ok_and(|plan| plan.is_over())).await;
    let (_, said, _) = ask(&["work", "list"]);
    assert!(said.contains("week: done, 3 of 3 machines over, 0 out"), "{said}");
    assert!(rig.status(0).await.expect("told").outs.is_empty());
    assert!(ask(&["work", "done", "s-0"]).2.contains("in no open plan"));
    gone(rig).await;
}

/// Cut off it must send nothing, since a machine may be worked on by now: it says so at once, and when to come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_proxy_cut_off_turns_queries_away_by_its_own_clock_and_the_others_go_on() {
    let rig = fleet("cut", 4, "when_cut_off = \"drain\"\n").await;
    let query = "GET /read/1 HTTP/1.1\r\nX-Request-Id: q1\r\nX-Deadline: 900m";
    assert!(get(&rig, 3, query).await.starts_with("HTTP/1.1 200"));
    let cut = |is: bool| {
        let own = rig.relays.iter().filter(|((from, _), _)| *from == 3);
        own.for_each(|(_, relay)| relay.set(|mode| (mode.forth_cut, mode.back_cut) = (is, is)));
    };
    cut(true);
    comes("not ready", async || get(&rig, 3, "GET /-/ready HTTP/1.1").await.starts_with("HTTP/1.1 503"))
        .await;
    let answer = get(&rig, 3, query).await.to_ascii_lowercase();
    assert!(answer.starts_with("http/1.1 503") && answer.contains("retry-after: 0.500"), "{answer}");
    assert!(rig.call(3, "PING").await.is_err_and(|why| why.contains("cut off")));
    // What the others agree meanwhile needs no word of it.
    let draft = format!("name = \"one\"\nwhy = \"x\"\n{BOUNDS}[[machines]]\nbackend = \"s-0\"\n");
    work::add(&rig, &draft.replace("calm_us = 0", "calm_us = 0\nmost_silent = 0.5"), &rig.dir)
        .await
        .expect("agreed");
    comes("under work", async || stage(&rig, "one", "s-0").await == Some(Stage::Working)).await;
    cut(false);
    comes("ready", async || get(&rig, 3, "GET /-/ready HTTP/1.1").await.starts_with("HTTP/1.1 200")).await;
    let status = rig.settled(SOON).await.expect("whole again");
    assert!(status.outs.contains("s-0") && status.members.iter().all(|one| one.acted == status.version));
    rig.call(1, "FLEET WORK DONE d1 s-0").await.expect("done");
    comes("the end", async || work::plan(&rig, "one").await.is_ok_and(|plan| plan.is_over())).await;
    gone(rig).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn proxies_go_and_come_back_by_themselves_the_owner_last_handing_over_first() {
    let rig = fleet("proxies", 3, "serve_unheard = false\n").await;
    let owner = rig.owner("work").expect("one owns it");
    let plan = format!("name = \"own\"\nwhy = \"x\"\n{BOUNDS}[[machines]]\nproxy = \"n{owner}\"\n");
    work::add(&rig, &plan, &rig.dir).await.expect("agreed");
    let name = format!("n{owner}");
    comes("under work", async || stage(&rig, "own", &name).await == Some(Stage::Working)).await;
    assert!(get(&rig, owner, "GET /-/ready HTTP/1.1").await.starts_with("HTTP/1.1 503"));
    assert_ne!(rig.owner("work"), Some(owner));
    let other = (owner + 1) % 3;
    rig.call(other, &format!("FLEET WORK DONE e1 {name}")).await.expect("done");
    comes("ready", async || get(&rig, owner, "GET /-/ready HTTP/1.1").await.starts_with("HTTP/1.1 200"))
        .await;
    comes("the end", async || work::plan(&rig, "own").await.is_ok_and(|plan| plan.is_over())).await;
    gone(rig).await;
}

/// A short run of drawn faults; `make work-soak` plays long ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drawn_plan_keeps_every_promise() {
    let dir = folder("drawn");
    let order = Order {
        seed: 7,
        processes: 5,
        voters: 3,
        backends: 6,
        seconds: 8,
        lease_us: 1_000_000,
        rate: 20.0,
        without_plan: false,
        without_faults: false,
        quiet: true,
    };
    let summary = work::run(&order, &dir).await.expect("it runs");
    assert!(summary.breaches.is_empty(), "{:?}", summary.breaches);
    assert!(summary.machines == 6 && summary.queries.executions > 100, "{} machines", summary.machines);
    assert!(dir.join("history.jsonl").is_file() && dir.join("summary.json").is_file());
    let _ = std::fs::remove_dir_all(&dir);
}
