//! The judge, by hand-written logs: every rule on both sides of each bound.

mod helper;

use fennelscale_rehearsal::judge::{Ending, Rule, judge};
use fennelscale_rehearsal::log::{Event, GatewayState, NodeState, Reply, TryId, What};
use helper::{CAPPED, KEYED, Run, SAFE, UNSAFE, drill, id};

// ---- One final answer ----

#[test]
fn an_answer_counts_until_its_slack_is_over_and_no_millisecond_longer() {
    for (late, kept) in [(1050.0, true), (1051.0, false)] {
        let mut run = Run::usual();
        run.asks(100.0, 1, SAFE).failed(100.0 + late, id(1));
        if kept { run.keeps_all() } else { run.breaks(Rule::OneAnswer) }
    }
}

#[test]
fn a_second_answer_breaks_the_rule_and_names_both_lines() {
    let mut run = Run::usual();
    run.asks(100.0, 1, SAFE).refused(150.0, id(1)).refused(160.0, id(1));
    let verdict = run.verdict();
    run.breaks(Rule::OneAnswer);
    // One line of header, six nodes, six gateway lines, offered, asked; then the two answers.
    assert_eq!((verdict.breaks[0].id, verdict.breaks[0].lines.as_slice()), (Some(id(1)), &[16, 17][..]));
    assert_eq!(verdict.breaks[0].t, 160.0);
}

#[test]
fn bytes_behind_the_final_answer_break_the_rule_unless_the_gateway_was_killed() {
    let mut run = Run::usual();
    run.push(100.0, What::Stray { gateway: 1, after: Some(id(1)) });
    run.breaks(Rule::OneAnswer);
    let mut run = Run::usual();
    run.gateway(99.0, 1, GatewayState::Killed).push(100.0, What::Stray { gateway: 1, after: None });
    run.keeps_all();
}

#[test]
fn a_try_that_is_never_answered_is_lost_and_one_whose_client_left_is_not() {
    let mut run = Run::usual();
    run.asks(100.0, 1, SAFE).left(1160.0, id(1), true);
    run.breaks(Rule::OneAnswer);
    let mut run = Run::usual();
    run.asks(100.0, 1, SAFE).left(700.0, id(1), false);
    run.keeps_all();
    // No word of an end at all.
    let mut run = Run::usual();
    run.asks(100.0, 1, SAFE);
    run.breaks(Rule::OneAnswer);
}

#[test]
fn what_a_killed_gateway_held_is_the_clients_and_half_an_answer_is_told_apart() {
    let mut run = Run::usual();
    run.asks(100.0, 1, SAFE).asks(100.0, 2, SAFE).gateway(300.0, 0, GatewayState::Killed);
    run.ended(301.0, id(1), 0).ended(301.0, id(2), 40);
    run.keeps_all();
    assert_eq!(run.verdict().figures.cut, [1, 1]);
    // The same with the gateway alive is a request lost, with half an answer or none: it had been sent on.
    for bytes in [0, 40] {
        let mut run = Run::usual();
        run.asks(100.0, 1, SAFE).received(110.0, 1, id(1), 0).ended(301.0, id(1), bytes);
        run.breaks(Rule::OneAnswer);
    }
    // Killed before and back before it was asked: no excuse.
    let mut run = Run::usual();
    run.gateway(10.0, 0, GatewayState::Killed).gateway(50.0, 0, GatewayState::Started);
    run.asks(100.0, 1, SAFE).received(110.0, 1, id(1), 0).ended(301.0, id(1), 0);
    run.breaks(Rule::OneAnswer);
}

#[test]
fn a_close_that_crosses_a_request_on_a_kept_connection_loses_nothing_if_nothing_was_sent_on() {
    let mut run = Run::usual();
    run.asks(100.0, 1, SAFE).ended(101.0, id(1), 0).asked(102.0, id(1), 0, 998.0).failed(300.0, id(1));
    run.keeps_all();
    let mut run = Run::usual();
    run.offered(100.0, 1, SAFE, "studio", 1);
    run.push(100.0, What::Asked { id: id(1), gateway: 0, patience: 1000.0, fresh: true }).ended(
        101.0,
        id(1),
        0,
    );
    run.breaks(Rule::OneAnswer);
}

#[test]
fn what_was_taken_before_a_planned_end_is_owed_its_answer_and_what_came_after_is_not() {
    let mut run = Run::usual();
    run.gateway(90.0, 0, GatewayState::AskedToEnd).asks(100.0, 1, SAFE).received(105.0, 1, id(1), 0);
    run.gateway(200.0, 0, GatewayState::Ended).ended(201.0, id(1), 0);
    run.breaks(Rule::OneAnswer);
    let mut run = Run::usual();
    run.gateway(90.0, 0, GatewayState::AskedToEnd).gateway(200.0, 0, GatewayState::Ended);
    run.offered(210.0, 1, SAFE, "studio", 1);
    run.push(210.0, What::Asked { id: id(1), gateway: 0, patience: 1000.0, fresh: true }).ended(
        211.0,
        id(1),
        0,
    );
    run.keeps_all();
}

#[test]
fn a_served_answer_must_be_what_a_node_answered_whole_for_that_try() {
    let mut run = Run::usual();
    run.asks(100.0, 1, SAFE).received(110.0, 1, id(1), 0).runs(150.0, 1).served(151.0, id(1), 1);
    run.keeps_all();
    // Of another try, of a spoilt answer, of none.
    let mut run = Run::usual();
    run.asks(100.0, 1, SAFE).received(110.0, 1, id(1), 0).runs(150.0, 1).served(151.0, id(1), 1);
    run.asks(200.0, 2, SAFE).served(250.0, id(2), 1);
    run.breaks(Rule::OneAnswer);
    let mut run = Run::usual();
    run.asks(100.0, 1, SAFE).received(110.0, 1, id(1), 0).replied(150.0, 1, Reply::Spoilt).served(
        151.0,
        id(1),
        1,
    );
    run.breaks(Rule::OneAnswer);
    let mut run = Run::usual();
    run.asks(100.0, 1, SAFE).served(151.0, id(1), 9);
    run.breaks(Rule::OneAnswer);
}

#[test]
fn nothing_is_sent_on_after_the_final_answer() {
    for (after, kept) in [(50.0, true), (51.0, false)] {
        let mut run = Run::usual();
        run.asks(100.0, 1, SAFE).failed(200.0, id(1)).received(200.0 + after, 1, id(1), 0).runs(260.0, 1);
        if kept { run.keeps_all() } else { run.breaks(Rule::OneAnswer) }
    }
}

// ---- No effect twice ----

#[test]
fn an_unsafe_try_is_sent_again_only_when_each_earlier_attempt_surely_never_ran() {
    let mut run = Run::usual();
    run.asks(100.0, 1, UNSAFE).received(110.0, 1, id(1), 0).declined(111.0, 1);
    run.received(112.0, 2, id(1), 1).runs(150.0, 2).served(151.0, id(1), 2);
    run.keeps_all();
    // Cut off before it came whole: the node has no word of it, so there is none in the log.
    let mut run = Run::usual();
    run.asks(100.0, 1, UNSAFE).received(112.0, 2, id(1), 1).runs(150.0, 2).served(151.0, id(1), 2);
    run.keeps_all();
    for reply in [Reply::Error, Reply::Spoilt, Reply::Cut] {
        let mut run = Run::usual();
        run.asks(100.0, 1, UNSAFE).received(110.0, 1, id(1), 0).replied(111.0, 1, reply);
        run.received(112.0, 2, id(1), 1).runs(150.0, 2).served(151.0, id(1), 2);
        run.breaks(Rule::NoRepeat);
    }
    // Its node died with it waiting: the gateway could not know.
    let mut run = Run::usual();
    run.asks(100.0, 1, UNSAFE).received(110.0, 1, id(1), 0).push(111.0, What::NodeDown { node: 0 });
    run.received(112.0, 2, id(1), 1).runs(150.0, 2).served(151.0, id(1), 2);
    run.breaks(Rule::NoRepeat);
}

#[test]
fn a_safe_try_may_be_sent_again_in_doubt() {
    let mut run = Run::usual();
    run.asks(100.0, 1, SAFE).received(110.0, 1, id(1), 0).replied(111.0, 1, Reply::Error);
    run.received(112.0, 2, id(1), 1).runs(150.0, 2).served(151.0, id(1), 2);
    run.keeps_all();
}

#[test]
fn a_keyed_try_stays_in_its_rack_and_within_its_memory() {
    let again = |node: usize, after: f64| {
        let mut run = Run::usual();
        run.offered(0.0, 1, KEYED, "studio", 1).asked(0.0, id(1), 0, 9000.0);
        run.received(10.0, 1, id(1), 0).replied(20.0, 1, Reply::Cut);
        run.received(10.0 + after, 2, id(1), node).runs(10.0 + after, 2).served(10.0 + after, id(1), 2);
        run
    };
    again(2, 100.0).keeps_all();
    again(1, 100.0).breaks(Rule::NoRepeat);
    // 4 s, and 50 ms for the way.
    again(0, 4050.0).keeps_all();
    again(0, 4051.0).breaks(Rule::NoRepeat);
}

#[test]
fn a_refusal_is_a_promise_that_nothing_has_run() {
    for (class, kept) in [(SAFE, true), (KEYED, false), (UNSAFE, false)] {
        let mut run = Run::usual();
        run.asks(100.0, 1, class)
            .received(110.0, 1, id(1), 0)
            .replied(120.0, 1, Reply::Cut)
            .refused(121.0, id(1));
        if kept {
            run.keeps_all()
        } else {
            run.breaks(Rule::NoRepeat)
        }
        let mut run = Run::usual();
        run.asks(100.0, 1, class).received(110.0, 1, id(1), 0).declined(120.0, 1).refused(121.0, id(1));
        run.keeps_all();
    }
}

#[test]
fn two_attempts_are_never_out_at_once_but_for_the_time_of_the_way() {
    for (beside, kept) in [(50.0, true), (51.0, false)] {
        let mut run = Run::usual();
        run.asks(100.0, 1, SAFE).received(110.0, 1, id(1), 0).received(200.0, 2, id(1), 1);
        run.hung_up(200.0 + beside, 1).runs(300.0, 2).served(301.0, id(1), 2);
        if kept { run.keeps_all() } else { run.breaks(Rule::NoRepeat) }
    }
    // One that never ends is out all the while.
    let mut run = Run::usual();
    run.asks(100.0, 1, SAFE).received(110.0, 1, id(1), 0).received(200.0, 2, id(1), 1);
    run.runs(220.0, 2).served(221.0, id(1), 2);
    run.breaks(Rule::NoRepeat);
}

#[test]
fn no_try_has_more_attempts_than_are_allowed() {
    for (attempts, kept) in [(6, true), (7, false)] {
        let mut run = Run::usual();
        run.asks(100.0, 1, SAFE);
        for n in 1..=attempts {
            run.received(100.0 + f64::from(n), n, id(1), 0).declined(100.0 + f64::from(n), n);
        }
        run.failed(200.0, id(1));
        if kept { run.keeps_all() } else { run.breaks(Rule::NoRepeat) }
    }
}

#[test]
fn what_no_client_asked_breaks_the_rule() {
    let mut run = Run::usual();
    run.received(100.0, 1, id(7), 0).runs(100.0, 1);
    run.breaks(Rule::NoRepeat);
    let mut run = Run::usual();
    run.push(100.0, What::Foreign { node: 0, id: "x".into() });
    run.breaks(Rule::NoRepeat);
}

#[test]
fn an_answer_after_its_client_gave_up_has_run_and_is_neither_served_nor_lost() {
    let mut run = Run::usual();
    run.asks(100.0, 1, KEYED).received(110.0, 1, id(1), 0).left(400.0, id(1), false).hung_up(401.0, 1);
    run.push(500.0, What::Ran { attempt: 1, repeat: false });
    // The client asks another gateway, with the same key, and is served there by a rack that does not know it.
    let again = TryId { request: 1, go: 1 };
    run.asked(450.0, again, 1, 600.0).received(460.0, 2, again, 1).runs(520.0, 2).served(521.0, again, 2);
    run.keeps_all();
    let figures = run.verdict().figures;
    assert_eq!((figures.ran_unheard, figures.requests, figures.tries, figures.resent), (1, 1, 2, 0));
    assert_eq!(figures.outcomes, [1, 0, 0, 0]);
}

// ---- Drains ----

#[test]
fn nothing_new_goes_to_a_node_after_the_grace() {
    for state in [NodeState::Terminating, NodeState::Terminated] {
        // 250 ms, and 50 ms for the way.
        for (after, kept) in [(300.0, true), (301.0, false)] {
            let mut run = Run::usual();
            run.news(100.0, 0, 3, state, true);
            run.asks(100.0 + after, 1, SAFE).received(100.0 + after, 1, id(1), 3).declined(100.0 + after, 1);
            run.refused(100.0 + after, id(1));
            if kept { run.keeps_all() } else { run.breaks(Rule::Drains) }
        }
    }
}

#[test]
fn a_drain_binds_who_was_told_from_the_first_word_until_the_node_is_back() {
    // Another gateway was told.
    let mut run = Run::usual();
    run.news(100.0, 1, 3, NodeState::Terminating, true);
    run.asks(900.0, 1, SAFE).received(900.0, 1, id(1), 3).runs(950.0, 1).served(950.0, id(1), 1);
    run.keeps_all();
    // Told again later: the first word counts.
    let mut run = Run::usual();
    run.news(100.0, 0, 3, NodeState::Terminating, true).news(800.0, 0, 3, NodeState::Terminated, true);
    run.asks(900.0, 1, SAFE).received(900.0, 1, id(1), 3).runs(950.0, 1).served(950.0, id(1), 1);
    run.breaks(Rule::Drains);
    // Back in service.
    let mut run = Run::usual();
    run.news(100.0, 0, 3, NodeState::Terminated, true).news_of(800.0, 0, 3, NodeState::InService, 1, true);
    run.asks(900.0, 1, SAFE).received(900.0, 1, id(1), 3).runs(950.0, 1).served(950.0, id(1), 1);
    run.keeps_all();
    // A new process knows nothing of it.
    let mut run = Run::usual();
    run.news(100.0, 0, 3, NodeState::Terminating, true);
    run.gateway(200.0, 0, GatewayState::Killed).gateway(700.0, 0, GatewayState::Started);
    run.asks(900.0, 1, SAFE).received(900.0, 1, id(1), 3).runs(950.0, 1).served(950.0, id(1), 1);
    run.keeps_all();
}

#[test]
fn news_that_a_gateway_never_asks_for_count_as_told_after_a_while() {
    for (after, kept) in [(6300.0, true), (6301.0, false)] {
        let mut run = Run::usual();
        run.news(100.0, 0, 3, NodeState::Terminating, false);
        run.asks(100.0 + after, 1, SAFE).received(100.0 + after, 1, id(1), 3).declined(100.0 + after, 1);
        run.refused(100.0 + after, id(1));
        if kept { run.keeps_all() } else { run.breaks(Rule::Drains) }
    }
}

// ---- Cold nodes ----

/// A node that starts cold at 0 with a power of 1: 4% of it at first, so 2 x 0.04 x 3000 = 240 ms of work.
fn cold(run: &mut Run, told: &[usize]) {
    run.push(0.0, What::NodeDown { node: 3 });
    run.push(0.0, What::NodeUp { node: 3, rack: 1, power: 1.0, cold: true });
    for gateway in told {
        run.news_of(0.0, *gateway, 3, NodeState::InService, 1, true);
    }
}

fn sends(run: &mut Run, request: u32, gateway: usize, work: f64) {
    run.offered(0.0, request, SAFE, "studio", request).asked(0.0, id(request), gateway, 1000.0);
    run.push(0.0, What::Received { attempt: request, id: id(request), node: 3, begun: 0.0, work });
    run.runs(0.0, request).served(0.0, id(request), request);
}

#[test]
fn a_cold_node_may_be_sent_its_budget_and_not_one_unit_more() {
    for (work, kept) in [(140.0, true), (141.0, false)] {
        let mut run = Run::usual();
        cold(&mut run, &[0, 1, 2]);
        sends(&mut run, 1, 0, 100.0);
        sends(&mut run, 2, 1, work);
        if kept { run.keeps_all() } else { run.breaks(Rule::Cold) }
    }
    // A warm one takes what it can.
    let mut run = Run::usual();
    sends(&mut run, 1, 0, 5000.0);
    run.keeps_all();
}

#[test]
fn a_fall_is_the_gateways_doing_if_two_thirds_came_from_those_who_knew() {
    for (knew, kept) in [(199.0, true), (200.0, false)] {
        let mut run = Run::usual();
        cold(&mut run, &[0]);
        sends(&mut run, 1, 0, knew);
        sends(&mut run, 2, 1, 300.0 - knew);
        if kept { run.keeps_all() } else { run.breaks(Rule::Cold) }
    }
}

// ---- Ceilings ----

#[test]
fn a_ceiling_holds_over_all_gateways_to_the_unit() {
    // 24 x 1.8 = 43.2 at once; slack 4.32, and 14 x 1.8 x 0.15 = 3.78 for the way: 51.3 at one moment.
    for (units, kept) in [(51, true), (52, false)] {
        let mut run = Run::usual();
        for n in 1..=units {
            run.offered(100.0, n, SAFE, CAPPED, 5).asked(100.0, id(n), (n % 3) as usize, 1000.0);
            run.received(100.0, n, id(n), 0).runs(100.0, n).served(100.0, id(n), n);
        }
        if kept { run.keeps_all() } else { run.breaks(Rule::Ceiling) }
    }
    // Further attempts take nothing; other accounts and plans have their own or none.
    let mut run = Run::usual();
    for n in 1..=120 {
        let (plan, account) = if n % 3 == 0 { ("studio", 6) } else { (CAPPED, n % 3) };
        run.offered(100.0, n, SAFE, plan, account).asked(100.0, id(n), 0, 1000.0);
        run.received(100.0, 2 * n, id(n), 0).declined(100.0, 2 * n);
        run.received(100.0, 2 * n + 1, id(n), 0).runs(100.0, 2 * n + 1).served(100.0, id(n), 2 * n + 1);
    }
    run.keeps_all();
}

#[test]
fn a_ceiling_refills_at_its_rate() {
    // 25.2 a second: 51 at once, then 252 in the ten seconds that follow, and not five more.
    for (extra, kept) in [(0, true), (5, false)] {
        let mut run = Run::usual();
        let mut number = 0;
        let mut send = |run: &mut Run, t: f64| {
            number += 1;
            run.offered(t, number, SAFE, CAPPED, 5).asked(t, id(number), 0, 1000.0);
            run.received(t, number, id(number), 0).runs(t, number).served(t, id(number), number);
        };
        (0..51).for_each(|_| send(&mut run, 0.0));
        (1..=252).for_each(|n| send(&mut run, f64::from(n) * 10_000.0 / 252.0));
        (0..extra).for_each(|_| send(&mut run, 10_000.0));
        assert_eq!(run.broken().is_empty(), kept);
    }
}

// ---- What the run comes to ----

fn over(mut run: Run, more: What) -> Ending {
    run.push(2000.0, more).push(9000.0, What::Over);
    judge(&drill(), &run.events).ending()
}

#[test]
fn a_late_kit_voids_the_run_whatever_was_found() {
    let lateness = |late, latest| What::Lateness { deeds: 1000, late, latest };
    assert_eq!(over(Run::usual(), lateness(20, 400.0)), Ending::Kept);
    assert_eq!(over(Run::usual(), lateness(21, 30.0)), Ending::TooSlow);
    assert_eq!(over(Run::usual(), lateness(1, 401.0)), Ending::TooSlow);
    let mut broken = Run::usual();
    broken.push(100.0, What::Stray { gateway: 1, after: None });
    assert_eq!(over(broken.clone(), lateness(0, 1.0)), Ending::Broken);
    assert_eq!(over(broken, lateness(21, 30.0)), Ending::TooSlow);
}

#[test]
fn a_gateway_that_ends_by_itself_has_crashed_also_on_a_slow_machine() {
    let mut run = Run::usual();
    run.push(50.0, What::Lateness { deeds: 1, late: 1, latest: 9999.0 });
    let crash = What::Gateway { gateway: 2, state: GatewayState::Crashed };
    assert_eq!(over(run, crash), Ending::Crashed);
}

#[test]
fn a_log_without_its_end_has_no_verdict() {
    let run = Run::usual();
    assert_eq!(judge(&drill(), &run.events).ending(), Ending::Unusable);
    assert_eq!(judge(&drill(), &[]).ending(), Ending::Unusable);
}

// ---- Service ----

#[test]
fn service_counts_worth_in_time_late_worth_and_nothing_beyond_the_quota() {
    // Preview: worth 2, in time 800 ms, late 20%. One in time, one late, one refused.
    let mut run = Run::usual();
    for (n, after) in [(1, 100.0), (2, 900.0)] {
        run.asks(100.0, n, SAFE).received(110.0, n, id(n), 0).runs(100.0 + after, n).served(
            100.0 + after,
            id(n),
            n,
        );
    }
    run.asks(100.0, 3, SAFE).refused(101.0, id(3));
    let verdict = run.verdict();
    assert!((verdict.score.whole - 1.2 / 3.0).abs() < 1e-9, "{:?}", verdict.score);
    assert_eq!(verdict.figures.outcomes, [1, 1, 1, 0]);
}

#[test]
fn what_is_sent_on_beyond_the_quota_earns_nothing_and_costs() {
    // osnovna: 3.5 at once, so three at one moment are inside; worth 2 x 0.88 each, beyond costs 120%.
    let mut run = Run::usual();
    for n in 1..=4 {
        run.offered(100.0, n, SAFE, "osnovna", 9).asked(100.0, id(n), 0, 1000.0);
        run.received(100.0, n, id(n), 0).runs(150.0, n).served(150.0, id(n), n);
    }
    let verdict = run.verdict();
    assert_eq!((verdict.figures.inside, verdict.figures.beyond), (3, 1));
    assert!((verdict.score.whole - (1.0 - 1.2 / 3.0)).abs() < 1e-9, "{:?}", verdict.score);
}

#[test]
fn a_retry_belongs_to_its_first_try() {
    let mut run = Run::usual();
    let again = TryId { request: 1, go: 1 };
    run.asks(100.0, 1, SAFE).refused(110.0, id(1)).asked(300.0, again, 1, 700.0);
    run.received(310.0, 1, again, 0).runs(850.0, 1).served(890.0, again, 1);
    // 790 ms after the first try: in time, though only just.
    let verdict = run.verdict();
    assert!((verdict.score.whole - 1.0).abs() < 1e-9);
    assert_eq!((verdict.figures.requests, verdict.figures.tries), (1, 2));
    // Refused twice is one request refused, not two.
    let mut run = Run::usual();
    run.asks(100.0, 1, SAFE).refused(110.0, id(1)).asked(300.0, again, 1, 700.0).refused(301.0, again);
    assert_eq!(run.verdict().figures.outcomes, [0, 0, 1, 0]);
}

#[test]
fn the_worst_window_and_the_worst_plan_weigh_on_the_score() {
    let mut run = Run::usual();
    for n in 0..300 {
        let t = f64::from(n) * 100.0;
        let plan = if n % 2 == 0 { "studio" } else { CAPPED };
        run.offered(t, n, SAFE, plan, n).asked(t, id(n), 0, 1000.0);
        // From 10 to 20 s nothing is served.
        if (100..200).contains(&n) {
            run.failed(t, id(n));
        } else {
            run.received(t, n, id(n), 0).runs(t, n).served(t, id(n), n);
        }
    }
    let score = run.verdict().score;
    assert!((score.whole - 2.0 / 3.0).abs() < 0.01, "{score:?}");
    assert!(score.worst_window < 0.02 && (score.worst_plan - 2.0 / 3.0).abs() < 0.01, "{score:?}");
    let expected = 0.65 * score.whole + 0.2 * score.worst_window + 0.15 * score.worst_plan - score.penalties;
    assert!((score.total - expected).abs() < 1e-9);
}

#[test]
fn a_verdict_is_the_same_however_often_it_is_given() {
    let mut run = Run::usual();
    for n in 0..200 {
        run.asks(f64::from(n), n, UNSAFE);
    }
    let events: Vec<Event> = run.events.clone();
    let first = format!("{:?}", judge(&drill(), &events).breaks);
    (0..5).for_each(|_| assert_eq!(format!("{:?}", judge(&drill(), &events).breaks), first));
}
