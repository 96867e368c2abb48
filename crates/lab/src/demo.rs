//! `crankpick-lab demo`: what a fleet does, shown on three proxies with some load in half a minute. It ends by
//! itself and leaves nothing running.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use crate::emulate::Nature;
use crate::load::Load;
use crate::rig::{Layout, Rig};
use crate::sync::lock;

const SOON: Duration = Duration::from_secs(20);

/// Executions by backend since they were last counted.
fn counted(rig: &Rig, from: &mut usize) -> String {
    let account = lock(&rig.account);
    let new = &account.executions[*from..];
    *from = account.executions.len();
    let of = |number: usize| new.iter().filter(|execution| execution.backend == number).count();
    let one = |number: usize| format!("{} {}", rig.backends[number].id, of(number));
    (0..rig.backends.len()).map(one).collect::<Vec<_>>().join(", ")
}

async fn stands(rig: &Rig) -> Result<String, String> {
    let status = rig.settled(SOON).await?;
    let duties = status.duties.iter();
    let duties: Vec<String> = duties
        .map(|(duty, (owner, token))| {
            format!("{duty} is {}'s (token {token})", owner.as_deref().unwrap_or("nobody"))
        })
        .collect();
    Ok(format!(
        "leader {}, {}, version {}, out {:?}",
        status.leader,
        duties.join(", "),
        status.version,
        status.outs
    ))
}

pub async fn run(dir: &Path) -> Result<(), String> {
    let nature = Nature::default();
    let layout = Layout { nature, seed: 1, ..Layout::default() };
    println!("three proxies, four emulated backends, 100 queries a second at each proxy");
    let mut rig = Rig::new(layout, dir).await?;
    rig.start_all().await?;
    for proc in &rig.procs {
        let place = |address: &watch::Sender<Option<std::net::SocketAddr>>| {
            address.borrow().map(|address| address.to_string()).unwrap_or_default()
        };
        println!(
            "  {}: clients at {}, second address {}",
            proc.name,
            place(&proc.address),
            place(&proc.admin)
        );
    }
    println!("the fleet: {}", stands(&rig).await?);
    let load = Arc::new(Load::new());
    let (over, on_over) = watch::channel(false);
    let mut clients = rig.clients(&load, 100.0, 1, &on_over);
    let mut from = 0;
    sleep(Duration::from_secs(2)).await;
    println!("executions in 2 s: {}", counted(&rig, &mut from));
    println!("\n$ crankpick fleet out s-1 --at (n2's second address)");
    println!("agreed: {}", rig.call(2, "FLEET OUT d1 s-1").await?);
    println!("the fleet: {}", stands(&rig).await?);
    sleep(Duration::from_millis(300)).await;
    counted(&rig, &mut from);
    sleep(Duration::from_secs(2)).await;
    println!("executions in 2 s: {}", counted(&rig, &mut from));
    let owner = rig.owner("outs").ok_or("nobody owns the duty")?;
    println!("\nthe owner, {}, is killed", rig.procs[owner].name);
    let seen = rig.seen();
    rig.kill(owner).await;
    let granted = rig.wait(seen, SOON, |seen| seen.code == "fleet_granted").await.ok_or("no other owner")?;
    println!("  {} has the duty, token {}", granted.line["to"], granted.line["token"]);
    let other = (owner + 1) % 3;
    println!("$ crankpick fleet back s-1 --at ({}'s second address)", rig.procs[other].name);
    println!("agreed: {}", rig.call(other, "FLEET BACK d2 s-1").await?);
    println!("{} is started again", rig.procs[owner].name);
    rig.start(owner).await?;
    println!("the fleet: {}", stands(&rig).await?);
    counted(&rig, &mut from);
    sleep(Duration::from_secs(2)).await;
    println!("executions in 2 s: {}", counted(&rig, &mut from));
    let _ = over.send(true);
    while clients.join_next().await.is_some() {}
    rig.close().await;
    let tally = load.tally.lock().map_err(|_| "a broken tally")?;
    println!(
        "\nqueries: {} sent, {} completed, {} rejected, {} aborted, {} cut off by the kill, {} lost",
        tally.sent,
        tally.completed,
        tally.rejected,
        tally.aborted,
        tally.excused,
        tally.lost.len()
    );
    Ok(())
}
