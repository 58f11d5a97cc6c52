//! One owner at a time, and no harm by an old one.

use crate::talking::{cut, kill, says, settled, since, sure, talk, Told, COORDINATOR, SOON};
use hillstall_fault_injection::coordination_fleet::{from_process, to_keeper};
use hillstall_fault_injection::fleet::{Fleet, LinkEnds};
use hillstall_fault_injection::process_supervisor::ProcessSignal;
use hillstall_fault_injection::tcp_proxy::Fault;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Has a person open an incident, which no copy may forget.
async fn opened(fleet: &Fleet) -> Told {
    says(fleet, 5, "INCIDENT OPEN minor tenant:acme ann seen by hand", "200 ").await.map(|_| ())
}

/// Waits until a copy knows it.
async fn knows(fleet: &Fleet, process: usize) -> Told {
    let known = |text: &str| text.contains("minor tenant:acme active");
    fleet.until(process, "INCIDENT", SOON, known).await.map(|_| ())
}

async fn goes_over(fleet: &Fleet, was: (usize, u64)) -> Result<(usize, u64), String> {
    let at = Instant::now();
    let now = fleet.new_owner(COORDINATOR, &[was.0], SOON).await?;
    println!("taken over from {was:?} by {now:?} after {} ms", since(at));
    sure(now.1 > was.1, || format!("the token went from {} to {}", was.1, now.1))?;
    sure(since(at) < 3_000, || format!("it took {} ms", since(at)))?;
    Ok(now)
}

async fn owner(fleet: &Fleet) -> Result<(usize, u64), String> {
    settled(fleet).await?;
    fleet.new_owner(COORDINATOR, &[], SOON).await
}

#[test]
fn an_owner_that_is_killed_is_followed_by_another_with_a_higher_token() {
    talk("drill-duties", 3, "", |fleet| async move {
        let first = owner(&fleet).await?;
        fleet.signal(first.0, ProcessSignal::Kill)?;
        let second = goes_over(&fleet, first).await?;
        fleet.start_process(first.0).await?;
        // It is back and well, and the duty does not move again.
        fleet.until(first.0, "FLEET", SOON, |text| text.contains("gates open")).await?;
        sleep(Duration::from_secs(1)).await;
        let still = fleet.owner(COORDINATOR).await;
        sure(still == Some(second), || format!("it moved from {second:?} to {still:?}"))
    });
}

#[test]
fn an_owner_that_stood_still_knows_that_it_is_none_any_more() {
    talk("drill-duties", 3, "", |fleet| async move {
        let first = owner(&fleet).await?;
        fleet.signal(first.0, ProcessSignal::Stop)?;
        let second = goes_over(&fleet, first).await?;
        sleep(Duration::from_secs(2)).await;
        fleet.signal(first.0, ProcessSignal::Go)?;
        let text =
            fleet.until(first.0, "FLEET", SOON, |text| text.contains(&format!("token {}", second.1))).await?;
        sure(!text.contains("holds freeze/coordinator"), || text.clone())?;
        let now = fleet.owner(COORDINATOR).await;
        sure(now == Some(second), || format!("{second:?} is followed by {now:?}"))
    });
}

#[test]
fn an_owner_that_is_not_heard_is_followed_though_it_hears() {
    talk("drill-duties", 3, "", |fleet| async move {
        let first = owner(&fleet).await?;
        // Its own words are lost; all that others say to it arrives.
        cut(&fleet, Fault::LoseForth, from_process(first.0))?;
        let second = goes_over(&fleet, first).await?;
        let before = fleet.passed(from_process(first.0)).forth;
        sleep(Duration::from_millis(500)).await;
        let after = fleet.passed(from_process(first.0)).forth;
        sure(before == after, || "its words still pass".into())?;
        fleet.set(Fault::None, from_process(first.0));
        fleet.until(first.0, "FLEET", SOON, |text| text.contains(&format!("token {}", second.1))).await?;
        sure(fleet.owner(COORDINATOR).await == Some(second), || {
            "it moved when the link was whole again".into()
        })
    });
}

#[test]
fn an_owner_that_hears_nothing_gives_up_by_itself() {
    talk("drill-duties", 3, "", |fleet| async move {
        let first = owner(&fleet).await?;
        let deaf = to_keeper(first.0);
        cut(&fleet, Fault::LoseForth, deaf)?;
        let second = goes_over(&fleet, first).await?;
        let text = fleet.line(first.0, "FLEET").await.unwrap_or_default();
        sure(!text.contains("holds "), || format!("it believes still that it holds: {text}"))?;
        fleet.set(Fault::None, deaf);
        fleet
            .until(first.0, "FLEET", SOON, |text| text.contains(&format!("token {}", second.1)))
            .await
            .map(|_| ())
    });
}

#[test]
fn a_copy_that_ends_in_order_hands_its_duties_over_without_a_gap() {
    let told = talk("drill-duties", 3, "", |fleet| async move {
        let first = owner(&fleet).await?;
        fleet.signal(first.0, ProcessSignal::Term)?;
        let second = fleet.new_owner(COORDINATOR, &[first.0], SOON).await?;
        sure(second.1 > first.1, || "the token did not rise".into())?;
        // Logs are written beside the loop, a little later.
        let end = Instant::now() + SOON;
        let written = |what: &str, token: u64| {
            fleet.acts().iter().any(|act| act.what == what && act.token == token && act.duty == COORDINATOR)
        };
        while !written("holds", second.1) || !written("lost", first.1) {
            sure(Instant::now() < end, || "the owners have not written down what they are".into())?;
            sleep(Duration::from_millis(20)).await;
        }
        // What it did is written down, as no rule holds a signal up.
        fleet
            .until(second.0, "RECORD", SOON, |text| text.contains("without a permit: SIGTERM at copy"))
            .await?;
        Ok(())
    });
    let of = |what: &str| {
        let found = told.acts.iter().rfind(|act| act.duty == COORDINATOR && act.what == what);
        found.map(|act| act.at).expect("it is written down")
    };
    let gap = of("holds") as i64 - of("lost") as i64;
    println!("handed over within {gap} ms");
    assert!((0..200).contains(&gap), "nobody held it for {gap} ms: {:#?}", told.acts);
}

#[test]
fn what_was_acknowledged_outlives_the_end_of_all_keepers_at_once() {
    talk("drill-duties", 3, "", |fleet| async move {
        let first = owner(&fleet).await?;
        opened(&fleet).await?;
        for keeper in 0..3 {
            fleet.signal(keeper, ProcessSignal::Kill)?;
        }
        let nothing = fleet.line(5, "CHANGE ASK drain tenant:acme tom").await.unwrap_or_default();
        sure(nothing.starts_with("504"), || format!("a permit without keepers: {nothing}"))?;
        for keeper in 0..3 {
            fleet.start_process(keeper).await?;
        }
        let second = fleet.new_owner(COORDINATOR, &[], SOON).await?;
        sure(second.1 > first.1, || "tokens fell over the loss of all keepers".into())?;
        knows(&fleet, 5).await
    });
}

#[test]
fn a_keeper_without_its_disk_comes_back_as_a_new_member() {
    talk("drill-duties", 3, "", |fleet| async move {
        let first = owner(&fleet).await?;
        let lost = (first.0 + 1) % 3;
        let old = fleet.line(lost, "FLEET").await.unwrap_or_default();
        let id = |text: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix("keeper "));
            line.and_then(|line| line.split(' ').next()).unwrap_or("?").to_owned()
        };
        kill(&fleet, lost).await?;
        fleet.take_disk(lost)?;
        fleet.start_process(lost).await?;
        let new = fleet.until(lost, "FLEET", SOON, |text| {
            let own = id(text);
            own != "?"
                && text.lines().any(|l| {
                    l.starts_with("keeper ") && l.split("members ").nth(1).is_some_and(|m| m.contains(&own))
                })
        });
        let new = new.await?;
        sure(id(&new) != id(&old), || format!("it has its old name {}", id(&old)))?;
        let members = fleet.until(first.0, "FLEET", SOON, |text| !text.contains(&id(&old))).await?;
        sure(members.contains(&id(&new)), || members.clone())
    });
}

#[test]
fn keepers_are_replaced_until_none_of_the_first_is_left() {
    talk("drill-window", 3, "", |fleet| async move {
        settled(&fleet).await?;
        opened(&fleet).await?;
        let mut token = 0;
        for keeper in 0..3 {
            let now = fleet.new_owner(COORDINATOR, &[], SOON).await?;
            sure(now.1 >= token, || format!("tokens fell from {token} to {}", now.1))?;
            token = now.1;
            kill(&fleet, keeper).await?;
            fleet.take_disk(keeper)?;
            fleet.start_process(keeper).await?;
            let voter = |text: &str| {
                let line = text.lines().find_map(|line| line.strip_prefix("keeper ")).unwrap_or("");
                let own = line.split(' ').next().unwrap_or("?");
                line.split("members ").nth(1).is_some_and(|m| m.contains(own)) && !line.contains("changing")
            };
            fleet.until(keeper, "FLEET", SOON, voter).await?;
        }
        knows(&fleet, 6).await
    });
}

#[test]
fn a_disk_that_is_older_than_its_word_does_not_vote_again() {
    talk("drill-duties", 3, "", |fleet| async move {
        let first = owner(&fleet).await?;
        let back = (first.0 + 1) % 3;
        kill(&fleet, back).await?;
        let old = fleet.read_disk(back)?;
        fleet.start_process(back).await?;
        settled(&fleet).await?;
        opened(&fleet).await?;
        kill(&fleet, back).await?;
        fleet.put_disk(back, &old)?;
        fleet.start_process(back).await?;
        let log = fleet.processes[back].log();
        let end = Instant::now() + SOON;
        while !std::fs::read_to_string(&log).unwrap_or_default().contains("older than its word") {
            sure(Instant::now() < end, || "it does not see that its disk is old".into())?;
            sleep(Duration::from_millis(50)).await;
        }
        knows(&fleet, back).await
    });
}

#[test]
fn followers_change_over_when_their_keeper_is_gone() {
    talk("drill-duties", 3, "", |fleet| async move {
        settled(&fleet).await?;
        let follows = |text: &str| {
            text.lines().find_map(|l| l.strip_prefix("follows ")?.split(' ').next()?.parse().ok())
        };
        let text = fleet.line(6, "FLEET").await.unwrap_or_default();
        let keeper: usize = follows(&text).ok_or("it follows nobody")?;
        let link =
            move |ends: LinkEnds| matches!(ends, LinkEnds::Keeper { process: 6, slot } if slot == keeper);
        cut(&fleet, Fault::Silent, link)?;
        let other = |text: &str| follows(text).is_some_and(|now| now != keeper) && text.contains("connected");
        fleet.until(6, "FLEET", SOON, other).await?;
        opened(&fleet).await?;
        fleet.until(6, "INCIDENT", SOON, |text| text.contains("tenant:acme")).await?;
        fleet.set(Fault::None, link);
        Ok(())
    });
}
