//! Malformed input ends the run with a plain message; good input is translated and answered.

use super::run;

const CONFIG: &str = r#"{"balancers":2,"contract":{"answer_slack":20000,"cold":13000000,"fall":3000000,"fall_multiple":3.0,"start_capacity":0.32,"stop_sending_within":500000},"limits":{"cancel":true,"max_retry_after":2000000,"peers":true,"probes":true,"retry_after":true,"try_limit":4},"over_share_worth":0.2,"parties":[{"fraction":1.0}],"profiles":[{"credit":1.0,"effect":"safe","goal_time":1500000,"group":"all","hard_limit":9000000,"late_worth":0.25,"window":5000000}],"registry_mode":"automatic","report":{"columns":["spare","odd","cut_by","svc_ms"]},"specifics":{"allowed_pools":[[0,1]],"gives_wait":true,"release_guard":300000,"repeat":400000,"self_no":-1},"new_key":[1]}"#;
const SERVER: &str = "10.0.0.1:80";

fn play(lines: &str) -> Result<String, String> {
    let mut out = Vec::new();
    run(lines.as_bytes(), &mut out)?;
    Ok(String::from_utf8(out).expect("text"))
}

fn begin() -> String {
    format!(
        "CLOCK\t1000000\nFOR\t3\nHELLO\t5\t{CONFIG}\nCATALOG\t0\t1\nROW\t{SERVER}\t0\t-\tready\t0\t0\t1\n\
         REGISTRY\tSAVED\t1\t0\n"
    )
}

#[test]
fn a_call_is_sent_and_its_end_is_read() {
    let text = begin()
        + &format!(
            "INBOUND\t7\tline-a\t3000000\t-\t0\t1\t0\t-1\t0\t0\nEOF_BATCH\nCLOCK\t1100000\nFOR\t3\n\
             FINISHED\t7\t0\t14403\t0\t100000\tno_room\t{SERVER}\t5,9,0.1,-\nEOF_BATCH\n"
        );
    let out = play(&text).expect("well formed");
    assert!(out.starts_with("AT\t3\n"), "{out}");
    assert!(out.contains(&format!("TRY\t7\t-\t{SERVER}\n")), "{out}");
    assert_eq!(out.matches("EOR\n").count(), 2);
}

#[test]
fn catalog_numbers_are_resolved_in_order() {
    let text = begin()
        + "CATALOG\t0\t1\nROW\t10.0.0.2:80\t0\t-\tready\t0\t1\t1\nREGISTRY\tFULL\t2\t0\n\
           REGISTRY\tFAILED\t2\t-\nINBOUND\t7\tline-a\t3000000\t-\t-\t1\t0\t-1\t0\t0\nEOF_BATCH\n";
    let out = play(&text).expect("well formed");
    assert!(out.contains("TRY\t7\t-\t10.0.0.2:80\n"), "{out}");
}

#[test]
fn killed_and_started_again_in_one_batch() {
    let again = begin().replacen("CLOCK\t1000000\nFOR\t3\n", "KILLED\n", 1);
    assert!(play(&(begin() + &again + "EOF_BATCH\n")).is_ok());
    let error = play(&(begin() + "KILLED\nRING\t0\nEOF_BATCH\n")).expect_err("not started");
    assert!(error.contains("field i"), "{error}");
}

#[test]
fn free_lines_may_be_told_of_a_server_that_is_listed_later() {
    let text = begin()
        + "PONG\tpass\t10.0.0.2:80\t0\t5,9,-1,-1\nCATALOG\t0\t1\nROW\t10.0.0.2:80\t0\t-\tready\t0\t1\t1\n\
           REGISTRY\tFULL\t2\t0\nINBOUND\t7\tline-a\t3000000\t-\t-\t1\t0\t-1\t1\t0\nEOF_BATCH\n";
    assert!(play(&text).expect("well formed").contains("TRY\t7\t-\t10.0.0.2:80\n"));
    let unlisted = text.replace("REGISTRY\tFULL\t2\t0\n", "");
    assert!(play(&unlisted).expect("well formed").contains(&format!("TRY\t7\t-\t{SERVER}\n")));
}

#[test]
fn malformed_lines_name_line_and_field() {
    for (line, field) in [
        ("NONSENSE\t1", "NONSENSE"),
        ("RING\tx", "field ctx"),
        ("RING", "field ctx"),
        ("RING\t-4", "field ctx"),
        ("WITHDRAWN\t4503599627370496", "field handle"),
        ("WITHDRAWN\t1\t2", "unexpected"),
        ("FINISHED\t7\t2\t-\t0\t1\tpass\t10.0.0.1:80\t-", "field finished"),
        ("FINISHED\t7\t1\t-\t0\t1\tgood\t10.0.0.1:80\t-", "field status"),
        ("FINISHED\t7\t1\t-\t0\t1\tpass\t10.9.9.9:80\t-", "field server"),
        ("FINISHED\t7\t1\t-\t0\t1\tpass\t10.0.0.1:80\ta,b", "field usage"),
        ("FROM_PEER\t1\t!!", "field payload"),
        ("REGISTRY\tFULL\t1\t9", "field set_id"),
        ("HELLO\t5\t{}", "profiles"),
        ("HELLO\t5\t{", "field config"),
        ("ROW\t10.0.0.1:80\t0\t-\tready\t0\t0\t1", "CATALOG"),
        ("CLOCK\t9", "CLOCK"),
    ] {
        let error = play(&(begin() + line + "\nEOF_BATCH\n")).expect_err(line);
        assert!(error.starts_with("line 7: ") && error.contains(field), "{line}: {error}");
    }
    assert!(play("FOR\t1\n").is_err());
    assert!(play("CLOCK\t1\n").is_err());
    assert_eq!(play("").expect("end of input"), "");
}
