//! Incidents, change permits and the coordinator, while parts of the fleet fail.

use crate::scenario::{
    ensure, inject_fault, run_scenario, send_command, wait_until_settled, COORDINATOR_LEASE, STEP_TIMEOUT,
};
use hillstall_fault_injection::coordination_fleet::links_from;
use hillstall_fault_injection::fleet::LinkEnds;
use hillstall_fault_injection::process_supervisor::ProcessSignal;
use hillstall_fault_injection::tcp_proxy::Fault;
use std::time::Duration;
use tokio::time::sleep;

/// Three people, one of whom has two names.
const PEOPLE: &str = "people = [[\"mira\", \"m.k\"], [\"tom\"], [\"ann\"]]\n";

/// The number of the change or incident in an answer such as `200 7 permit`.
fn number(text: &str) -> String {
    text.split_whitespace().nth(1).unwrap_or("?").to_owned()
}

#[test]
fn an_incident_blocks_conflicting_changes_at_every_instance_but_not_its_remedy() {
    run_scenario("drill-duties", 3, PEOPLE, |fleet| async move {
        wait_until_settled(&fleet).await?;
        let before =
            send_command(&fleet, 4, "CHANGE ASK upgrade site:zone-1 tom reaction=undo", "200").await?;
        let incident = number(
            &send_command(&fleet, 3, "INCIDENT OPEN critical site:zone-0 ann boxes are gone", "200").await?,
        );
        for process in [0, 2, 5, 8, 12] {
            send_command(&fleet, process, "CHANGE ASK settings site:zone-2 tom", "409").await?;
        }
        fleet
            .wait_for_answer(6, "CHANGE", STEP_TIMEOUT, |text| {
                text.contains(&format!("{} upgrade site:zone-1 reacts", number(&before)))
            })
            .await?;
        send_command(&fleet, 4, &format!("CHANGE DONE {}", number(&before)), "200").await?;
        let remedy = number(&send_command(&fleet, 5, "CHANGE ASK drain site:zone-0 tom", "409").await?);
        send_command(&fleet, 6, &format!("INCIDENT REMEDY {incident} {remedy} ann"), "200").await?;
        fleet
            .wait_for_answer(5, "CHANGE", STEP_TIMEOUT, |text| {
                text.contains(&format!("{remedy} drain site:zone-0 in-flight"))
            })
            .await?;
        send_command(&fleet, 2, &format!("INCIDENT RESOLVE {incident} ann"), "200").await?;
        // A resolved incident blocks changes until it has cooled down.
        send_command(&fleet, 7, "CHANGE ASK operator-file site:zone-2 tom", "409").await.map(|_| ())
    });
}

#[test]
fn an_emergency_needs_two_people_not_two_names() {
    run_scenario("drill-duties", 3, PEOPLE, |fleet| async move {
        wait_until_settled(&fleet).await?;
        send_command(&fleet, 3, "INCIDENT OPEN critical fleet ann", "200").await?;
        send_command(&fleet, 4, "CHANGE EMERGENCY settings class:browse mira", "202").await?;
        send_command(&fleet, 9, "CHANGE EMERGENCY settings class:browse m.k", "400").await?;
        send_command(&fleet, 9, "CHANGE EMERGENCY settings class:browse eve", "400").await?;
        let given = send_command(&fleet, 6, "CHANGE EMERGENCY settings class:browse tom", "200").await?;
        fleet
            .wait_for_answer(11, "RECORD", STEP_TIMEOUT, |text| {
                text.contains(&format!("{} emergency seconded by tom", number(&given)))
            })
            .await?;
        // A change that overlaps one in flight waits, even if that one is an emergency.
        send_command(&fleet, 5, "CHANGE ASK upgrade fleet mira", "202").await.map(|_| ())
    });
}

#[test]
fn only_the_majority_of_replicas_gives_permits() {
    run_scenario("drill-duties", 5, PEOPLE, |fleet| async move {
        wait_until_settled(&fleet).await?;
        // Replicas 0 and 1 on one side, 2 to 4 on the other; all other instances reach both.
        let between = |ends: LinkEnds| {
            matches!(ends, LinkEnds::ProxyToVoter { process, slot }
            if process < 5 && (process < 2) != (slot < 2))
        };
        inject_fault(&fleet, Fault::Silent, between)?;
        let minority = send_command(&fleet, 0, "CHANGE ASK drain site:zone-0 tom", "504");
        let majority = send_command(&fleet, 3, "CHANGE ASK drain site:zone-0 mira", "200");
        let (minority, majority) = tokio::join!(minority, majority);
        minority?;
        let permit = match majority {
            Ok(text) => text,
            // The majority was still electing a leader.
            Err(_) => send_command(&fleet, 3, "CHANGE ASK drain site:zone-0 mira", "20").await?,
        };
        ensure(!permit.is_empty(), || "the majority gives no permit".into())?;
        let before = fleet.transferred(between);
        sleep(Duration::from_millis(300)).await;
        ensure(fleet.transferred(between) == before, || "messages pass between the two sides".into())?;
        fleet.set_fault(Fault::None, between);
        // Both sides converge on one state: one permit for the site, and nothing in flight beside it.
        let same = |text: &str| {
            text.lines().filter(|line| line.contains("drain site:zone-0 in-flight")).count() == 1
        };
        for process in 0..5 {
            fleet.wait_for_answer(process, "CHANGE", STEP_TIMEOUT, same).await?;
        }
        Ok(())
    });
}

#[test]
fn a_lost_site_becomes_an_incident_and_blocks_changes_though_its_coordinator_dies() {
    run_scenario("drill-duties", 3, PEOPLE, |fleet| async move {
        wait_until_settled(&fleet).await?;
        let (first, _) = fleet.wait_for_lease_holder(COORDINATOR_LEASE, &[], STEP_TIMEOUT).await?;
        send_command(&fleet, 4, "CHANGE ASK upgrade site:zone-1 tom", "200").await?;
        // All proxies lose their connections to all servers of one zone.
        let servers: Vec<usize> = fleet.servers_of_zone(1);
        let lost = |ends: LinkEnds| matches!(ends, LinkEnds::ProxyToBackend { server, .. } if servers.contains(&server));
        fleet.set_fault(Fault::Reset, lost);
        let is_open = |text: &str| text.lines().any(|line| line.contains("site:zone-1 active by=rule/"));
        fleet.wait_for_answer(9, "INCIDENT", STEP_TIMEOUT, is_open).await?;
        fleet
            .wait_for_answer(9, "CHANGE", STEP_TIMEOUT, |text| text.contains("upgrade site:zone-1 reacts"))
            .await?;
        // The coordinator that opened the incident dies; the incident stays.
        fleet.signal(first, ProcessSignal::Kill)?;
        fleet.wait_for_lease_holder(COORDINATOR_LEASE, &[first], STEP_TIMEOUT).await?;
        fleet.wait_for_answer(9, "INCIDENT", STEP_TIMEOUT, is_open).await?;
        let answer = fleet
            .admin_command((first + 1) % 3, "CHANGE ASK drain site:zone-1 mira")
            .await
            .unwrap_or_default();
        ensure(answer.starts_with("409") || answer.starts_with("202"), || answer.clone())?;
        fleet.set_fault(Fault::None, lost);
        Ok(fleet.start_process(first).await?)
    });
}

#[test]
fn a_healthy_fleet_has_no_incident() {
    run_scenario("drill-duties", 3, PEOPLE, |fleet| async move {
        wait_until_settled(&fleet).await?;
        for _ in 0..40 {
            sleep(Duration::from_millis(200)).await;
            let text = fleet.admin_command(4, "INCIDENT").await.unwrap_or_default();
            ensure(text == "EOF\n", || text.clone())?;
        }
        Ok(())
    });
}

#[test]
fn two_coordinators_that_both_believe_to_hold_the_lease_leave_one_history() {
    run_scenario("drill-duties", 3, PEOPLE, |fleet| async move {
        wait_until_settled(&fleet).await?;
        let (first, token) = fleet.wait_for_lease_holder(COORDINATOR_LEASE, &[], STEP_TIMEOUT).await?;
        // The holder is suspended; another takes over the lease, and the first one is resumed.
        fleet.signal(first, ProcessSignal::Stop)?;
        let (second, newer) = fleet.wait_for_lease_holder(COORDINATOR_LEASE, &[first], STEP_TIMEOUT).await?;
        ensure(newer > token, || format!("the second holder's token {newer} is not above {token}"))?;
        send_command(&fleet, second, "INCIDENT OPEN major site:zone-2 ann", "200").await?;
        inject_fault(&fleet, Fault::LoseFromTarget, links_from(first))?;
        fleet.signal(first, ProcessSignal::Continue)?;
        let answer = fleet
            .admin_command((first + 1) % 3, "CHANGE ASK drain site:zone-2 mira")
            .await
            .unwrap_or_default();
        ensure(answer.starts_with("409"), || answer.clone())?;
        fleet.set_fault(Fault::None, links_from(first));
        fleet
            .wait_for_answer(first, "INCIDENT", STEP_TIMEOUT, |text| {
                text.contains("major site:zone-2 active by=ann")
            })
            .await?;
        let now = fleet.wait_for_lease_holder(COORDINATOR_LEASE, &[], STEP_TIMEOUT).await?;
        ensure(now.1 >= newer, || format!("the holder is now {now:?}, with a token below {newer}"))
    });
}
