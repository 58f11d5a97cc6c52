//! Leases have one holder at a time, and former holders do no harm.

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

/// Opens an incident, whose later presence shows that the replicated state was not lost.
async fn open_incident(fleet: &Fleet) -> ScriptResult {
    send_command(fleet, 5, "INCIDENT OPEN minor tenant:acme ann seen by hand", "200 ").await.map(|_| ())
}

/// Waits until an instance has the incident of [`open_incident`].
async fn wait_for_incident(fleet: &Fleet, process: usize) -> ScriptResult {
    let known = |text: &str| text.contains("minor tenant:acme active");
    fleet.wait_for_answer(process, "INCIDENT", STEP_TIMEOUT, known).await.map(|_| ())
}

/// Waits for another holder of the coordinator's lease; fails unless its token is higher and it takes less
/// than 3 s.
async fn wait_for_takeover(fleet: &Fleet, previous: (usize, u64)) -> Result<(usize, u64), String> {
    let at = Instant::now();
    let now = fleet.wait_for_lease_holder(COORDINATOR_LEASE, &[previous.0], STEP_TIMEOUT).await?;
    println!("taken over from {previous:?} by {now:?} after {} ms", elapsed_ms(at));
    ensure(now.1 > previous.1, || format!("the token went from {} to {}", previous.1, now.1))?;
    ensure(elapsed_ms(at) < 3_000, || format!("the takeover took {} ms", elapsed_ms(at)))?;
    Ok(now)
}

async fn settled_holder(fleet: &Fleet) -> Result<(usize, u64), String> {
    wait_until_settled(fleet).await?;
    fleet.wait_for_lease_holder(COORDINATOR_LEASE, &[], STEP_TIMEOUT).await
}

#[test]
fn a_killed_holder_is_replaced_by_another_with_a_higher_token() {
    run_scenario("drill-duties", 3, "", |fleet| async move {
        let first = settled_holder(&fleet).await?;
        fleet.signal(first.0, ProcessSignal::Kill)?;
        let second = wait_for_takeover(&fleet, first).await?;
        fleet.start_process(first.0).await?;
        // The former holder is back, and the lease does not move again.
        fleet.wait_for_answer(first.0, "FLEET", STEP_TIMEOUT, |text| text.contains("gates open")).await?;
        sleep(Duration::from_secs(1)).await;
        let still = fleet.lease_holder(COORDINATOR_LEASE).await;
        ensure(still == Some(second), || format!("the lease moved from {second:?} to {still:?}"))
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
        ensure(now == Some(second), || format!("the holder changed from {second:?} to {now:?}"))
    });
}

#[test]
fn a_holder_that_can_only_receive_loses_its_lease() {
    run_scenario("drill-duties", 3, "", |fleet| async move {
        let first = settled_holder(&fleet).await?;
        // Messages from the holder are lost; messages to it arrive.
        inject_fault(&fleet, Fault::LoseFromClient, links_from(first.0))?;
        let second = wait_for_takeover(&fleet, first).await?;
        let before = fleet.transferred(links_from(first.0)).to_target;
        sleep(Duration::from_millis(500)).await;
        let after = fleet.transferred(links_from(first.0)).to_target;
        ensure(before == after, || "messages from the holder still pass".into())?;
        fleet.set_fault(Fault::None, links_from(first.0));
        fleet
            .wait_for_answer(first.0, "FLEET", STEP_TIMEOUT, |text| {
                text.contains(&format!("token {}", second.1))
            })
            .await?;
        ensure(fleet.lease_holder(COORDINATOR_LEASE).await == Some(second), || {
            "the lease moved when the link was restored".into()
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
        ensure(!text.contains("holds "), || format!("the former holder still reports the lease: {text}"))?;
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
        // Log lines are written asynchronously, a little later.
        let end = Instant::now() + STEP_TIMEOUT;
        let is_logged = |event: &str, token: u64| {
            fleet
                .audit_lines()
                .iter()
                .any(|line| line.action == event && line.token == token && line.lease == COORDINATOR_LEASE)
        };
        while !is_logged("holds", second.1) || !is_logged("lost", first.1) {
            ensure(Instant::now() < end, || "the audit lines of the handover are missing".into())?;
            sleep(Duration::from_millis(20)).await;
        }
        // The shutdown is recorded as a change without a permit; it needs none.
        fleet
            .wait_for_answer(second.0, "RECORD", STEP_TIMEOUT, |text| {
                text.contains("without a permit: SIGTERM at copy")
            })
            .await?;
        Ok(())
    });
    let time_of = |event: &str| {
        let found =
            run.audit_lines.iter().rfind(|line| line.lease == COORDINATOR_LEASE && line.action == event);
        found.map(|line| line.unix_ms).expect("an audit line")
    };
    let gap = time_of("holds") as i64 - time_of("lost") as i64;
    println!("handed over within {gap} ms");
    assert!(
        (0..200).contains(&gap),
        "{gap} ms from the end of one grant to the start of the next: {:#?}",
        run.audit_lines
    );
}

#[test]
fn acknowledged_writes_survive_the_crash_of_all_replicas_at_once() {
    run_scenario("drill-duties", 3, "", |fleet| async move {
        let first = settled_holder(&fleet).await?;
        open_incident(&fleet).await?;
        for replica in 0..3 {
            fleet.signal(replica, ProcessSignal::Kill)?;
        }
        let answer = fleet.admin_command(5, "CHANGE ASK drain tenant:acme tom").await.unwrap_or_default();
        ensure(answer.starts_with("504"), || format!("answer without replicas: {answer}"))?;
        for replica in 0..3 {
            fleet.start_process(replica).await?;
        }
        let second = fleet.wait_for_lease_holder(COORDINATOR_LEASE, &[], STEP_TIMEOUT).await?;
        ensure(second.1 > first.1, || "the token did not rise after the crash of all replicas".into())?;
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
                && text.lines().any(|line| {
                    line.starts_with("keeper ")
                        && line.split("members ").nth(1).is_some_and(|members| members.contains(&own))
                })
        });
        let new = new.await?;
        ensure(id(&new) != id(&old), || format!("the replica has kept its id {}", id(&old)))?;
        let members =
            fleet.wait_for_answer(first.0, "FLEET", STEP_TIMEOUT, |text| !text.contains(&id(&old))).await?;
        ensure(members.contains(&id(&new)), || members.clone())
    });
}

#[test]
fn all_initial_replicas_can_be_replaced_one_after_another() {
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
                line.split("members ").nth(1).is_some_and(|members| members.contains(own))
                    && !line.contains("changing")
            };
            fleet.wait_for_answer(replica, "FLEET", STEP_TIMEOUT, voter).await?;
        }
        wait_for_incident(&fleet, 6).await
    });
}

#[test]
fn a_replica_with_a_rolled_back_disk_does_not_vote() {
    run_scenario("drill-duties", 3, "", |fleet| async move {
        let first = settled_holder(&fleet).await?;
        let rolled_back = (first.0 + 1) % 3;
        kill_and_wait(&fleet, rolled_back).await?;
        let old = fleet.read_disk_file(rolled_back)?;
        fleet.start_process(rolled_back).await?;
        wait_until_settled(&fleet).await?;
        open_incident(&fleet).await?;
        kill_and_wait(&fleet, rolled_back).await?;
        fleet.write_disk_file(rolled_back, &old)?;
        fleet.start_process(rolled_back).await?;
        let log = fleet.processes[rolled_back].log();
        let end = Instant::now() + STEP_TIMEOUT;
        while !std::fs::read_to_string(&log)
            .unwrap_or_default()
            .contains("older than what this replica has confirmed")
        {
            ensure(Instant::now() < end, || "the replica has not detected the old disk".into())?;
            sleep(Duration::from_millis(50)).await;
        }
        wait_for_incident(&fleet, rolled_back).await
    });
}

#[test]
fn followers_switch_to_another_replica_when_theirs_is_unreachable() {
    run_scenario("drill-duties", 3, "", |fleet| async move {
        wait_until_settled(&fleet).await?;
        let follows = |text: &str| {
            text.lines().find_map(|line| line.strip_prefix("follows ")?.split(' ').next()?.parse().ok())
        };
        let text = fleet.admin_command(6, "FLEET").await.unwrap_or_default();
        let replica: usize = follows(&text).ok_or("instance 6 follows no replica")?;
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
