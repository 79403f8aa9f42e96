//! Bad scenarios, each with the one field that is named for it, and good ones.

use fernspan_model::scenario::{self, read};

const GOOD: &str = r#"{"name":"t","seconds":10,"sites":["a","b"],"proxies":{"count":4},
    "servers":[{"count":2,"rate":20},{"site":"b","count":1,"rate":10}],"callers":{"rate":10},"faults":[]}"#;

fn with(faults: &str) -> String {
    GOOD.replace("\"faults\":[]", &format!("\"faults\":[{faults}]"))
}

#[test]
fn a_bad_scenario_is_one_clear_line_that_names_the_field() {
    for (text, field, why) in [
        ("{".to_owned(), "(file)", "EOF"),
        (
            GOOD.replace("\"callers\":{\"rate\":10}", "\"callers\":{\"rte\":10}"),
            "callers.rte",
            "unknown field",
        ),
        (GOOD.replace("\"seconds\":10", "\"seconds\":\"ten\""), "seconds", "string"),
        (GOOD.replace("\"seconds\":10", "\"seconds\":-1"), "seconds", "above 0"),
        (GOOD.replace("\"site\":\"b\"", "\"site\":\"c\""), "servers[1].site", "no site c"),
        (GOOD.replace("\"count\":4", "\"count\":0"), "proxies.count", "from 1"),
        (
            with(r#"{"at_s":1,"for_s":1,"kind":"explode","servers":["s0"]}"#),
            "faults[0].kind",
            "unknown variant",
        ),
        (
            with(r#"{"at_s":1,"for_s":1,"kind":"slow","servers":["s9"]}"#),
            "faults[0].servers[0]",
            "there is no s9",
        ),
        (
            with(r#"{"at_s":1,"for_s":1,"kind":"slow","servers":["x"]}"#),
            "faults[0].servers[0]",
            "names nothing",
        ),
        (with(r#"{"at_s":1,"for_s":1,"kind":"kill","proxies":["@c"]}"#), "faults[0].proxies[0]", "no site c"),
        (with(r#"{"at_s":1,"for_s":1,"kind":"kill","proxies":["120%"]}"#), "faults[0].proxies", "no share"),
        (
            with(r#"{"at_s":1,"for_s":1,"kind":"kill","servers":["s0"],"proxies":["p0"]}"#),
            "faults[0].servers",
            "not for this kind",
        ),
        (with(r#"{"at_s":1,"for_s":1,"kind":"slow"}"#), "faults[0].servers", "has to name one"),
        (with(r#"{"at_s":99,"for_s":1,"kind":"kill","proxies":["p0"]}"#), "faults[0].at_s", "from 0 to 10"),
        (with(r#"{"at_s":1,"kind":"kill","proxies":["p0"]}"#), "faults[0].for_s", "needs a time"),
        (
            with(r#"{"at_s":1,"for_s":1,"kind":"kill","proxies":["p0"],"by":2}"#),
            "faults[0].by",
            "no such figure",
        ),
        (
            with(r#"{"at_s":1,"for_s":1,"kind":"kill","proxies":["p0"],"step_ms":2}"#),
            "faults[0].step_ms",
            "pause only",
        ),
        (
            with(
                r#"{"at_s":1,"for_s":3,"kind":"stall","servers":["s0"],"proxies":["p0"]},
                {"at_s":2,"for_s":3,"kind":"drop","servers":["all"],"proxies":["p0-p2"]}"#,
            ),
            "faults[1]",
            "overlaps faults[0] (stall at s0)",
        ),
        (
            with(
                r#"{"at_s":1,"for_s":3,"kind":"kill","proxies":["p1"]},
                {"at_s":3,"for_s":3,"kind":"pause","proxies":["50%"]}"#,
            ),
            "faults[1]",
            "overlaps faults[0]",
        ),
    ] {
        let bad = read(&text).expect_err("a bad scenario");
        assert_eq!(bad.field, field, "{bad}");
        assert!(bad.why.contains(why), "{bad}");
        assert!(!bad.to_string().contains('\n'), "{bad}");
    }
}

#[test]
fn faults_may_meet_at_different_subjects() {
    let text = with(
        r#"{"at_s":1,"for_s":3,"kind":"stall","servers":["s0"],"proxies":["p0"]},
        {"at_s":1,"for_s":3,"kind":"stall","servers":["s0"],"proxies":["p1"]},
        {"at_s":1,"for_s":3,"kind":"slow","servers":["s0"]},
        {"at_s":1,"for_s":3,"kind":"kill","proxies":["@a"]},
        {"at_s":5,"for_s":3,"kind":"kill","proxies":["70%"]}"#,
    );
    let plan = read(&text).expect("a good scenario").plan().expect("a good plan");
    assert_eq!(plan.len(), 5);
    assert_eq!(plan[3].proxies, scenario::Targets::Named(vec![0, 2]));
}

#[test]
fn another_size_keeps_the_load_of_each() {
    let mut scenario = read(GOOD).expect("a good scenario");
    scenario.resize(40).expect("ten times as large");
    assert_eq!((scenario.callers.rate, scenario.servers[0].rate), (100.0, 200.0));
}

#[test]
fn the_schema_has_what_the_form_has() {
    let schema = scenario::schema().to_string();
    for word in ["proxies", "half-open", "refuse_past_ms", "additionalProperties"] {
        assert!(schema.contains(word), "{word}");
    }
}
