//! One lease holder at a time, and no harm by a former one.

use crate::scenario::{
    elapsed_ms, ensure, inject_fault, kill_and_wait, run_scenario, send_command, wait_until_settled,
    ScriptResult, COORDINATOR_LEASE, STEP_TIMEOUT,
};
use hillstall_fault_injection::coordination_fleet::{links_from, links_to_voter};
use hillstall_fault_injection::fleet::{Fleet, LinkEnds};
use hillstall_fault_injection::process_supervisor::ProcessSignal;
use hillstall_fault_injection::tcp_proxy::Fault;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Has a person open an incident, which no instance may forget.
async fn open_incident(fleet: &Fleet) -> ScriptResult {
    send_command(fleet, 5, "INCIDENT OPEN minor tenant:acme ann seen by hand", "200 ").await.map(|_| ())
}

/// Waits until an instance knows that incident.
async fn wait_for_incident(fleet: &Fleet, process: usize) -> ScriptResult {
    let known = |text: &str| text.contains("minor tenant:acme active");
    fleet.wait_for_answer(process, "INCIDENT", STEP_TIMEOUT, known).await.map(|_| ())
}

async fn wait_for_takeover(fleet: &Fleet, previous: (usize, u64)) -> Result<(usize, u64), String> {
    let at = Instant::now();
    let now = fleet.wait_for_lease_holder(COORDINATOR_LEASE, &[previous.0], STEP_TIMEOUT).await?;
    println!("taken over from {previous:?} by {now:?} after {} ms", elapsed_ms(at));
    ensure(now.1 > previous.1, || format!("the token went from {} to {}", previous.1, now.1))?;
    ensure(elapsed_ms(at) < 3_000, || format!("it took {} ms", elapsed_ms(at)))?;
    Ok(now)
}

async fn settled_holder(fleet: &Fleet) -> Result<(usize, u64), String> {
    wait_until_settled(fleet).await?;
    fleet.wait_for_lease_holder(COORDINATOR_LEASE, &[], STEP_TIMEOUT).await
}

#[test]
fn a_killed_holder_is_followed_by_another_with_a_higher_token() {
    run_scenario("drill-duties", 3, "", |fleet| async move {
        let first = settled_holder(&fleet).await?;
        fleet.signal(first.0, ProcessSignal::Kill)?;
        let second = wait_for_takeover(&fleet, first).await?;
        fleet.start_process(first.0).await?;
        // It is back and well, and the lease does not move again.
        fleet.wait_for_answer(first.0, "FLEET", STEP_TIMEOUT, |text| text.contains("gates open")).await?;
        sleep(Duration::from_secs(1)).await;
        let still = fleet.lease_holder(COORDINATOR_LEASE).await;
        ensure(still == Some(second), || format!("it moved from {second:?} to {still:?}"))
    });
}

#[test]
fn a_holder_that_was_suspended_knows_that_its_lease_is_lost() {
    run_scenario("drill-duties", 3, "", |fleet| async move {
        let first = settled_holder(&fleet).await?;
        fleet.signal(first.0, ProcessSignal::Stop)?;
        let second = wait_for_takeover(&fleet, first).await?;
        sleep(Duration::from_secs(2)).await;
        fleet.signal(first.0, ProcessSignal::Continue)?;
        let text = fleet
            .wait_for_answer(first.0, "FLEET", STEP_TIMEOUT, |text| {
                text.contains(&format!("token {}", second.1))
            })
            .await?;
        ensure(!text.contains("holds freeze/coordinator"), || text.clone())?;
        let now = fleet.lease_holder(COORDINATOR_LEASE).await;
        ensure(now == Some(second), || format!("{second:?} is followed by {now:?}"))
    });
}

#[test]
fn a_holder_whose_messages_are_lost_is_followed_though_it_receives() {
    run_scenario("drill-duties", 3, "", |fleet| async move {
        let first = settled_holder(&fleet).await?;
        // What it sends is lost; what others send it arrives.
        inject_fault(&fleet, Fault::LoseFromClient, links_from(first.0))?;
        let second = wait_for_takeover(&fleet, first).await?;
        let before = fleet.transferred(links_from(first.0)).to_target;
        sleep(Duration::from_millis(500)).await;
        let after = fleet.transferred(links_from(first.0)).to_target;
        ensure(before == after, || "its words still pass".into())?;
        fleet.set_fault(Fault::None, links_from(first.0));
        fleet
            .wait_for_answer(first.0, "FLEET", STEP_TIMEOUT, |text| {
                text.contains(&format!("token {}", second.1))
            })
            .await?;
        ensure(fleet.lease_holder(COORDINATOR_LEASE).await == Some(second), || {
            "it moved when the link was whole again".into()
        })
    });
}

#[test]
fn a_holder_that_receives_nothing_gives_up_by_itself() {
    run_scenario("drill-duties", 3, "", |fleet| async move {
        let first = settled_holder(&fleet).await?;
        let to_holder = links_to_voter(first.0);
        inject_fault(&fleet, Fault::LoseFromClient, to_holder)?;
        let second = wait_for_takeover(&fleet, first).await?;
        let text = fleet.admin_command(first.0, "FLEET").await.unwrap_or_default();
        ensure(!text.contains("holds "), || format!("it believes still that it holds: {text}"))?;
        fleet.set_fault(Fault::None, to_holder);
        fleet
            .wait_for_answer(first.0, "FLEET", STEP_TIMEOUT, |text| {
                text.contains(&format!("token {}", second.1))
            })
            .await
            .map(|_| ())
    });
}

#[test]
fn a_graceful_shutdown_hands_leases_over_without_a_gap() {
    let run = run_scenario("drill-duties", 3, "", |fleet| async move {
        let first = settled_holder(&fleet).await?;
        fleet.signal(first.0, ProcessSignal::Term)?;
        let second = fleet.wait_for_lease_holder(COORDINATOR_LEASE, &[first.0], STEP_TIMEOUT).await?;
        ensure(second.1 > first.1, || "the token did not rise".into())?;
        // Logs are written beside the loop, a little later.
        let end = Instant::now() + STEP_TIMEOUT;
        let is_logged = |what: &str, token: u64| {
            fleet
                .audit_lines()
                .iter()
                .any(|act| act.action == what && act.token == token && act.lease == COORDINATOR_LEASE)
        };
        while !is_logged("holds", second.1) || !is_logged("lost", first.1) {
            ensure(Instant::now() < end, || "the owners have not written down what they are".into())?;
            sleep(Duration::from_millis(20)).await;
        }
        // The signal is recorded; no rule holds it up.
        fleet
            .wait_for_answer(second.0, "RECORD", STEP_TIMEOUT, |text| {
                text.contains("without a permit: SIGTERM at copy")
            })
            .await?;
        Ok(())
    });
    let of = |what: &str| {
        let found = run.acts.iter().rfind(|act| act.lease == COORDINATOR_LEASE && act.action == what);
        found.map(|act| act.unix_ms).expect("it is written down")
    };
    let gap = of("holds") as i64 - of("lost") as i64;
    println!("handed over within {gap} ms");
    assert!((0..200).contains(&gap), "nobody held it for {gap} ms: {:#?}", run.acts);
}

#[test]
fn what_was_acknowledged_outlives_the_end_of_all_replicas_at_once() {
    run_scenario("drill-duties", 3, "", |fleet| async move {
        let first = settled_holder(&fleet).await?;
        open_incident(&fleet).await?;
        for replica in 0..3 {
            fleet.signal(replica, ProcessSignal::Kill)?;
        }
        let answer = fleet.admin_command(5, "CHANGE ASK drain tenant:acme tom").await.unwrap_or_default();
        ensure(answer.starts_with("504"), || format!("a permit without keepers: {answer}"))?;
        for replica in 0..3 {
            fleet.start_process(replica).await?;
        }
        let second = fleet.wait_for_lease_holder(COORDINATOR_LEASE, &[], STEP_TIMEOUT).await?;
        ensure(second.1 > first.1, || "tokens fell over the loss of all keepers".into())?;
        wait_for_incident(&fleet, 5).await
    });
}

#[test]
fn a_replica_without_its_disk_comes_back_as_a_new_member() {
    run_scenario("drill-duties", 3, "", |fleet| async move {
        let first = settled_holder(&fleet).await?;
        let lost = (first.0 + 1) % 3;
        let old = fleet.admin_command(lost, "FLEET").await.unwrap_or_default();
        let id = |text: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix("keeper "));
            line.and_then(|line| line.split(' ').next()).unwrap_or("?").to_owned()
        };
        kill_and_wait(&fleet, lost).await?;
        fleet.remove_disk_file(lost)?;
        fleet.start_process(lost).await?;
        let new = fleet.wait_for_answer(lost, "FLEET", STEP_TIMEOUT, |text| {
            let own = id(text);
            own != "?"
                && text.lines().any(|l| {
                    l.starts_with("keeper ") && l.split("members ").nth(1).is_some_and(|m| m.contains(&own))
                })
        });
        let new = new.await?;
        ensure(id(&new) != id(&old), || format!("it has its old name {}", id(&old)))?;
        let members =
            fleet.wait_for_answer(first.0, "FLEET", STEP_TIMEOUT, |text| !text.contains(&id(&old))).await?;
        ensure(members.contains(&id(&new)), || members.clone())
    });
}

#[test]
fn replicas_are_replaced_until_none_of_the_first_is_left() {
    run_scenario("drill-window", 3, "", |fleet| async move {
        wait_until_settled(&fleet).await?;
        open_incident(&fleet).await?;
        let mut token = 0;
        for replica in 0..3 {
            let now = fleet.wait_for_lease_holder(COORDINATOR_LEASE, &[], STEP_TIMEOUT).await?;
            ensure(now.1 >= token, || format!("tokens fell from {token} to {}", now.1))?;
            token = now.1;
            kill_and_wait(&fleet, replica).await?;
            fleet.remove_disk_file(replica)?;
            fleet.start_process(replica).await?;
            let voter = |text: &str| {
                let line = text.lines().find_map(|line| line.strip_prefix("keeper ")).unwrap_or("");
                let own = line.split(' ').next().unwrap_or("?");
                line.split("members ").nth(1).is_some_and(|m| m.contains(own)) && !line.contains("changing")
            };
            fleet.wait_for_answer(replica, "FLEET", STEP_TIMEOUT, voter).await?;
        }
        wait_for_incident(&fleet, 6).await
    });
}

#[test]
fn a_disk_that_was_rolled_back_does_not_vote_again() {
    run_scenario("drill-duties", 3, "", |fleet| async move {
        let first = settled_holder(&fleet).await?;
        let back = (first.0 + 1) % 3;
        kill_and_wait(&fleet, back).await?;
        let old = fleet.read_disk_file(back)?;
        fleet.start_process(back).await?;
        wait_until_settled(&fleet).await?;
        open_incident(&fleet).await?;
        kill_and_wait(&fleet, back).await?;
        fleet.write_disk_file(back, &old)?;
        fleet.start_process(back).await?;
        let log = fleet.processes[back].log();
        let end = Instant::now() + STEP_TIMEOUT;
        while !std::fs::read_to_string(&log)
            .unwrap_or_default()
            .contains("older than what this replica has confirmed")
        {
            ensure(Instant::now() < end, || "it does not see that its disk is old".into())?;
            sleep(Duration::from_millis(50)).await;
        }
        wait_for_incident(&fleet, back).await
    });
}

#[test]
fn followers_change_over_when_their_replica_is_gone() {
    run_scenario("drill-duties", 3, "", |fleet| async move {
        wait_until_settled(&fleet).await?;
        let follows = |text: &str| {
            text.lines().find_map(|l| l.strip_prefix("follows ")?.split(' ').next()?.parse().ok())
        };
        let text = fleet.admin_command(6, "FLEET").await.unwrap_or_default();
        let replica: usize = follows(&text).ok_or("it follows nobody")?;
        let link = move |ends: LinkEnds| matches!(ends, LinkEnds::ProxyToVoter { process: 6, slot } if slot == replica);
        inject_fault(&fleet, Fault::Silent, link)?;
        let other =
            |text: &str| follows(text).is_some_and(|now| now != replica) && text.contains("connected");
        fleet.wait_for_answer(6, "FLEET", STEP_TIMEOUT, other).await?;
        open_incident(&fleet).await?;
        fleet.wait_for_answer(6, "INCIDENT", STEP_TIMEOUT, |text| text.contains("tenant:acme")).await?;
        fleet.set_fault(Fault::None, link);
        Ok(())
    });
}
